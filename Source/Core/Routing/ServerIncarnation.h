#ifndef SYCAMOREREACH_ROUTING_SERVERINCARNATION_H
#define SYCAMOREREACH_ROUTING_SERVERINCARNATION_H

#include "Common/Ids.h"

namespace Routing {

/// A backend server process between one start and the next.
struct ServerIncarnation {
  Common::BackendServerId BackendServer;
  Common::Incarnation Incarnation;
  auto operator<=>(const ServerIncarnation &) const = default;
};

} // namespace Routing

#endif
