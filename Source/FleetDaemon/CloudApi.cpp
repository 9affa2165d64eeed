#include "FleetDaemon/CloudApi.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace FleetDaemon {

namespace {

using Json = nlohmann::json;

Fleet::Pool parsePool(const Json &Row) {
  return {Common::DataCentreId(Row.value("datacentre", "")),
          Fleet::MachineClass(Row.value("class", "")),
          Row.value("reclaimable", true)};
}

Fleet::HostState parseHostState(const std::string &Name) {
  if (Name == "starting")
    return Fleet::HostState::Starting;
  if (Name == "leaving")
    return Fleet::HostState::Leaving;
  return Fleet::HostState::Running;
}

absl::Status malformedResponse() {
  return absl::InvalidArgumentError("malformed response from the cloud; check "
                                    "the address given with --cloud");
}

} // namespace

absl::StatusOr<std::vector<Fleet::Offer>> parseOffers(const std::string &Text) {
  const Json Rows = Json::parse(Text, nullptr, false);
  if (!Rows.is_array())
    return malformedResponse();
  std::vector<Fleet::Offer> Result;
  for (const Json &Row : Rows) {
    if (!Row.is_object())
      return malformedResponse();
    Result.push_back({parsePool(Row), Row.value("price", 0.0)});
  }
  return Result;
}

absl::StatusOr<std::vector<Fleet::ProvisionedHost>>
parseHosts(const std::string &Text) {
  const Json Object = Json::parse(Text, nullptr, false);
  if (!Object.is_object() || !Object.contains("hosts") ||
      !Object["hosts"].is_array())
    return malformedResponse();
  std::vector<Fleet::ProvisionedHost> Result;
  for (const Json &Row : Object["hosts"]) {
    if (!Row.is_object())
      return malformedResponse();
    Fleet::ProvisionedHost Host;
    Host.Id = Common::HostId(Row.value("name", ""));
    Host.Pool = parsePool(Row);
    Host.State = parseHostState(Row.value("state", ""));
    Host.PricePerHour = Row.value("price", 0.0);
    Host.Service = Common::ServiceName(Row.value("service", ""));
    Host.Model = Common::ModelName(Row.value("model", ""));
    Host.ModelVersion = Row.value("version", "");
    Host.Loading = Row.value("loading", false);
    Result.push_back(std::move(Host));
  }
  return Result;
}

std::string encodeStartHost(const Fleet::StartHost &Action,
                            Common::FencingNumber Fencing) {
  return Json{{"datacentre", Action.Pool.DataCentre.str()},
              {"class", Action.Pool.Class.str()},
              {"reclaimable", Action.Pool.Reclaimable},
              {"service", Action.Service.str()},
              {"fencing", Fencing.Value}}
      .dump();
}

std::string encodeLoadModel(const Fleet::LoadModel &Action,
                            Common::FencingNumber Fencing) {
  return Json{{"service", Action.Service.str()},
              {"model", Action.Model.str()},
              {"version", Action.ModelVersion},
              {"fencing", Fencing.Value}}
      .dump();
}

std::vector<Fleet::ServiceRequirement>
serviceRequirements(const Configuration::Declaration &Declaration) {
  double UrgentFloor = 0;
  std::uint64_t BestRank = ~0ULL;
  for (const auto &[Name, Priority] : Declaration.priorities())
    if (Priority.Rank < BestRank) {
      BestRank = Priority.Rank;
      UrgentFloor = Priority.Floor;
    }
  std::vector<Fleet::ServiceRequirement> Result;
  for (const auto &[Name, Service] : Declaration.services()) {
    if (Service.Kind != Configuration::ServiceKind::Model)
      continue;
    Fleet::ServiceRequirement Requirement;
    Requirement.Service = Name;
    Requirement.Model = Service.Model;
    Requirement.ModelVersion = Service.ModelVersion;
    Requirement.Replicas = Service.Replicas;
    Requirement.UrgentFloor = static_cast<std::uint64_t>(
        std::ceil(UrgentFloor * double(Service.Replicas)));
    Result.push_back(std::move(Requirement));
  }
  return Result;
}

} // namespace FleetDaemon
