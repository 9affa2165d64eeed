#include "Configuration/ServiceMap.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <set>

namespace Configuration {

namespace {

std::string routeKey(const std::string &Host, std::string_view Prefix) {
  return absl::StrCat(Host, "\n", std::string(Prefix));
}

absl::Status validateRoute(const Route &Checked,
                           const std::set<Common::ServiceName> &Known) {
  const auto Error = [&Checked](const std::string &Message) {
    return absl::InvalidArgumentError(
        absl::StrCat("route '", Checked.Name, "' ", Message));
  };
  if (Checked.HostHeader.empty())
    return Error("has no host; set it to the Host header that callers send");
  if (Checked.PathPrefix.empty() || Checked.PathPrefix.front() != '/' ||
      Checked.PathPrefix.back() != '/')
    return Error("has a path prefix that does not begin and end with '/'");
  if (Checked.Timeout <= Common::Duration::zero())
    return Error("has no time-out; give a number of milliseconds above 0");
  std::uint64_t Sum = 0;
  for (const WeightedService &Each : Checked.Services) {
    if (Known.count(Each.Service) == 0)
      return Error(
          absl::StrCat("names the unknown service '", Each.Service.str(),
                       "'; add the service to 'services' of the document"));
    Sum += Each.Weight;
  }
  if (Sum == 0)
    return Error("has no service with a weight above 0; set a weight");
  return absl::OkStatus();
}

} // namespace

absl::StatusOr<ServiceMap> ServiceMap::create(ServiceMapParts Parts) {
  std::set<Common::ServiceName> Services;
  for (const ServiceEntry &Each : Parts.Services)
    if (!Services.insert(Each.Name).second)
      return absl::InvalidArgumentError(
          absl::StrCat("service '", Each.Name.str(),
                       "' is declared twice; declare it once"));
  std::set<std::string> RouteKeys;
  for (const Route &Each : Parts.Routes) {
    if (absl::Status Checked = validateRoute(Each, Services); !Checked.ok())
      return Checked;
    if (!RouteKeys.insert(routeKey(Each.HostHeader, Each.PathPrefix)).second)
      return absl::InvalidArgumentError(
          absl::StrCat("route '", Each.Name,
                       "' has the host and prefix of another route; "
                       "give each route its own"));
  }
  std::set<std::string> Keys;
  for (const Team &Each : Parts.Teams)
    for (const std::string &Key : Each.Keys)
      if (!Keys.insert(Key).second)
        return absl::InvalidArgumentError(
            absl::StrCat("team '", Each.Name.str(),
                         "' shares a key with another team or lists it twice; "
                         "give each key to one team"));
  return ServiceMap(std::move(Parts));
}

ServiceMap::ServiceMap(ServiceMapParts Parts) : Parts(std::move(Parts)) {
  for (std::size_t I = 0; I < this->Parts.Routes.size(); ++I) {
    const Route &Each = this->Parts.Routes[I];
    this->RouteIndexes[routeKey(Each.HostHeader, Each.PathPrefix)] = I;
  }
  for (std::size_t I = 0; I < this->Parts.Teams.size(); ++I)
    for (const std::string &Key : this->Parts.Teams[I].Keys)
      this->TeamIndexes[Key] = I;
  std::set<PriorityPair> Known;
  for (const Route &Each : this->Parts.Routes) {
    Known.insert(priorityPair(Each, nullptr));
    for (const Team &Sender : this->Parts.Teams)
      Known.insert(priorityPair(Each, &Sender));
  }
  this->PriorityPairs.assign(Known.begin(), Known.end());
}

ServiceMap::PriorityPair ServiceMap::priorityPair(const Route &Matched,
                                                  const Team *Sender) {
  const bool HasTeamPriority = Sender && Sender->Priority;
  return {HasTeamPriority ? *Sender->Priority : Matched.Priority,
          Matched.Priority};
}

std::uint32_t ServiceMap::rank(const Route &Matched, const Team *Sender) const {
  const auto Lower =
      std::lower_bound(this->PriorityPairs.begin(), this->PriorityPairs.end(),
                       priorityPair(Matched, Sender));
  const auto Position =
      static_cast<std::uint32_t>(Lower - this->PriorityPairs.begin());
  const auto Count = static_cast<std::uint32_t>(this->PriorityPairs.size());
  return Count <= RankCount ? Position : Position * RankCount / Count;
}

const Route *ServiceMap::route(const std::string &Host,
                               const std::string &Path) const {
  std::size_t End = Path.rfind('/');
  while (End != std::string::npos) {
    const auto Found = this->RouteIndexes.find(
        routeKey(Host, std::string_view(Path).substr(0, End + 1)));
    if (Found != this->RouteIndexes.end())
      return &this->Parts.Routes[Found->second];
    if (End == 0)
      break;
    End = Path.rfind('/', End - 1);
  }
  return nullptr;
}

const Team *ServiceMap::findTeamByKey(const std::string &Key) const {
  if (Key.empty())
    return nullptr;
  const auto Found = this->TeamIndexes.find(Key);
  return Found == this->TeamIndexes.end() ? nullptr
                                          : &this->Parts.Teams[Found->second];
}

const Team *ServiceMap::team(const TeamName &Name) const {
  for (const Team &Each : this->Parts.Teams)
    if (Each.Name == Name)
      return &Each;
  return nullptr;
}

std::set<Common::ServiceName> ServiceMap::serviceNames() const {
  std::set<Common::ServiceName> Result;
  for (const ServiceEntry &Each : this->Parts.Services)
    Result.insert(Each.Name);
  return Result;
}

const ServiceEntry *ServiceMap::service(const Common::ServiceName &Name) const {
  for (const ServiceEntry &Each : this->Parts.Services)
    if (Each.Name == Name)
      return &Each;
  return nullptr;
}

} // namespace Configuration
