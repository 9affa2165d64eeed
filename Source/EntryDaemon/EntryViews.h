#ifndef SYCAMOREREACH_ENTRYDAEMON_ENTRYVIEWS_H
#define SYCAMOREREACH_ENTRYDAEMON_ENTRYVIEWS_H

#include "EntryDaemon/EntryContext.h"
#include "EntryDaemon/ServiceDispatchers.h"
#include "Membership/PeerTable.h"
#include "Operator/OperatorEndpoint.h"

#include <optional>

namespace EntryDaemon {

/// Builds the table of an operator view; nullopt for views that an entry daemon
/// does not provide.
std::optional<Operator::Table> entryView(Operator::View Requested,
                                         const EntryContext &Context,
                                         const Membership::PeerTable &Peers,
                                         const ServiceDispatchers &Dispatchers);

/// All known backend servers as a JSON array, for the fleet daemon.
std::string backendsJson(const EntryContext &Context);

} // namespace EntryDaemon

#endif
