#ifndef SYCAMOREREACH_ENTRYDAEMON_ENTRYVIEWS_H
#define SYCAMOREREACH_ENTRYDAEMON_ENTRYVIEWS_H

#include "EntryDaemon/EntryContext.h"
#include "EntryDaemon/Lanes.h"
#include "Membership/PeerTable.h"
#include "Operator/OperatorEndpoint.h"

#include <optional>

namespace EntryDaemon {

/// What an entry daemon shows operators.
std::optional<Operator::Table> entryView(Operator::View Shown,
                                         const EntryContext &Context,
                                         const Membership::PeerTable &Peers,
                                         const Lanes &Services);

/// All known backend servers, for the fleet daemon.
std::string backendsJson(const EntryContext &Context);

} // namespace EntryDaemon

#endif
