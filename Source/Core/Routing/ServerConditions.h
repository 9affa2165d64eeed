#ifndef SYCAMOREREACH_ROUTING_SERVERCONDITIONS_H
#define SYCAMOREREACH_ROUTING_SERVERCONDITIONS_H

#include "Routing/ServerCondition.h"
#include "Routing/ServerIncarnation.h"

#include <map>
#include <vector>

namespace Routing {

/// The conditions of the backend servers that this daemon has dealt with, each
/// of the newest known lifetime. They do not depend on whether the server is
/// announced at the moment, so that a record that is lost and comes back finds
/// the condition as it was.
class ServerConditions {
public:
  /// The condition to record into; a new lifetime starts with a clean one. Null
  /// if a later lifetime is known: late news of an earlier one are dropped.
  ServerCondition *record(const ServerIncarnation &Server);
  /// Null if nothing was recorded of this lifetime.
  const ServerCondition *find(const ServerIncarnation &Server) const;
  /// Whether the server may be chosen for a request.
  bool acceptsRequests(const ServerIncarnation &Server,
                       Common::TimePoint Now) const;
  bool isResting(const ServerIncarnation &Server, Common::TimePoint Now) const;
  std::size_t countResting(Common::TimePoint Now) const;
  /// When the first of Servers takes requests again; nothing unless all of them
  /// rest or are being probed after a rest.
  std::optional<Common::TimePoint>
  restEnd(const std::vector<ServerIncarnation> &Servers,
          Common::TimePoint Now) const;
  /// Removes the conditions of servers that IsKnown does not list, once their
  /// rests are over.
  template <typename Predicate>
  void removeExpired(Common::TimePoint Now, const Predicate &IsKnown) {
    std::erase_if(this->Conditions, [&](const auto &Each) {
      return !Each.second.isResting(Now) && !IsKnown(Each.first);
    });
  }

private:
  std::map<Common::BackendServerId, ServerCondition> Conditions;
};

} // namespace Routing

#endif
