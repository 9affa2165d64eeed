#include "Routing/ServerConditions.h"

#include <algorithm>

namespace Routing {

ServerCondition *ServerConditions::record(const ServerIncarnation &Server) {
  const auto [Known, Added] = this->Conditions.try_emplace(
      Server.BackendServer, ServerCondition(Server.Incarnation));
  if (Known->second.lifetime() > Server.Incarnation)
    return nullptr;
  if (Known->second.lifetime() < Server.Incarnation)
    Known->second = ServerCondition(Server.Incarnation);
  return &Known->second;
}

const ServerCondition *
ServerConditions::find(const ServerIncarnation &Server) const {
  const auto Known = this->Conditions.find(Server.BackendServer);
  return Known != this->Conditions.end() &&
                 Known->second.lifetime() == Server.Incarnation
             ? &Known->second
             : nullptr;
}

bool ServerConditions::acceptsRequests(const ServerIncarnation &Server,
                                       Common::TimePoint Now) const {
  const ServerCondition *Known = this->find(Server);
  return !Known || Known->acceptsRequests(Now);
}

bool ServerConditions::isResting(const ServerIncarnation &Server,
                                 Common::TimePoint Now) const {
  const ServerCondition *Known = this->find(Server);
  return Known && Known->isResting(Now);
}

std::optional<Common::TimePoint>
ServerConditions::restEnd(const std::vector<ServerIncarnation> &Servers,
                          Common::TimePoint Now) const {
  std::optional<Common::TimePoint> Soonest;
  for (const ServerIncarnation &Each : Servers) {
    const ServerCondition *Known = this->find(Each);
    if (!Known || Known->acceptsRequests(Now))
      return std::nullopt;
    const Common::TimePoint End = std::max(Known->restEnd(), Now);
    Soonest = std::min(Soonest.value_or(End), End);
  }
  return Soonest;
}

std::size_t ServerConditions::countResting(Common::TimePoint Now) const {
  return static_cast<std::size_t>(std::count_if(
      this->Conditions.begin(), this->Conditions.end(),
      [Now](const auto &Each) { return Each.second.isResting(Now); }));
}

} // namespace Routing
