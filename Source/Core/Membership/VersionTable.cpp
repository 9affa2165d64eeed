#include "Membership/VersionTable.h"

#include <algorithm>

namespace Membership {

bool VersionTable::set(const Common::BackendServerId &Id,
                       std::uint64_t StartedAt,
                       const Common::SoftwareVersion &Version,
                       Common::TimePoint Now) {
  if (Version.empty())
    return false;
  auto &Incarnations = this->Servers[Id];
  if (Incarnations.size() >= IncarnationsPerServer &&
      StartedAt < Incarnations.begin()->first)
    return false;
  const bool Inserted =
      Incarnations.try_emplace(StartedAt, Received{Version, Now}).second;
  if (Incarnations.size() > IncarnationsPerServer)
    Incarnations.erase(Incarnations.begin());
  return Inserted;
}

std::optional<Common::SoftwareVersion>
VersionTable::find(const Common::BackendServerId &Id,
                   std::uint64_t StartedAt) const {
  const auto Server = this->Servers.find(Id);
  if (Server == this->Servers.end())
    return std::nullopt;
  const auto Incarnation = Server->second.find(StartedAt);
  if (Incarnation == Server->second.end())
    return std::nullopt;
  return Incarnation->second.Version;
}

void VersionTable::removeExpired(
    Common::TimePoint Now, Common::Duration RetentionTime,
    const std::function<bool(const Common::BackendServerId &)> &IsKnown) {
  std::erase_if(this->Servers, [&](const auto &Each) {
    return !IsKnown(Each.first) &&
           std::all_of(Each.second.begin(), Each.second.end(),
                       [&](const auto &Incarnation) {
                         return Now - Incarnation.second.At > RetentionTime;
                       });
  });
}

} // namespace Membership
