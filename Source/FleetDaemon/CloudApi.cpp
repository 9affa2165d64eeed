#include "FleetDaemon/CloudApi.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace FleetDaemon {

namespace {

using Json = nlohmann::json;

Fleet::Pool poolOf(const Json &Row) {
  return {Common::DataCentreId(Row.value("datacentre", "")),
          Fleet::MachineClass(Row.value("class", "")),
          Row.value("reclaimable", true)};
}

Fleet::HostState stateOf(const std::string &Name) {
  if (Name == "starting")
    return Fleet::HostState::Starting;
  if (Name == "leaving")
    return Fleet::HostState::Leaving;
  return Fleet::HostState::Running;
}

absl::Status badAnswer() {
  return absl::InvalidArgumentError(
      "the cloud's answer is not as expected; check --cloud");
}

} // namespace

absl::StatusOr<std::vector<Fleet::Offer>> parseOffers(const std::string &Text) {
  const Json Rows = Json::parse(Text, nullptr, false);
  if (!Rows.is_array())
    return badAnswer();
  std::vector<Fleet::Offer> Result;
  for (const Json &Row : Rows) {
    if (!Row.is_object())
      return badAnswer();
    Result.push_back({poolOf(Row), Row.value("price", 0.0)});
  }
  return Result;
}

absl::StatusOr<std::vector<Fleet::HeldHost>>
parseHosts(const std::string &Text) {
  const Json Object = Json::parse(Text, nullptr, false);
  if (!Object.is_object() || !Object.contains("hosts") ||
      !Object["hosts"].is_array())
    return badAnswer();
  std::vector<Fleet::HeldHost> Result;
  for (const Json &Row : Object["hosts"]) {
    if (!Row.is_object())
      return badAnswer();
    Fleet::HeldHost Host;
    Host.Id = Common::HostId(Row.value("name", ""));
    Host.Pool = poolOf(Row);
    Host.State = stateOf(Row.value("state", ""));
    Host.PricePerHour = Row.value("price", 0.0);
    Host.Service = Common::ServiceName(Row.value("service", ""));
    Host.Model = Common::ModelName(Row.value("model", ""));
    Host.ModelVersion = Row.value("version", "");
    Host.Loading = Row.value("loading", false);
    Result.push_back(std::move(Host));
  }
  return Result;
}

std::string startBody(const Fleet::StartHost &Wanted,
                      Common::FencingNumber Fencing) {
  return Json{{"datacentre", Wanted.Pool.DataCentre.str()},
              {"class", Wanted.Pool.Class.str()},
              {"reclaimable", Wanted.Pool.Reclaimable},
              {"service", Wanted.Service.str()},
              {"fencing", Fencing.Value}}
      .dump();
}

std::string loadBody(const Fleet::LoadModel &Wanted,
                     Common::FencingNumber Fencing) {
  return Json{{"service", Wanted.Service.str()},
              {"model", Wanted.Model.str()},
              {"version", Wanted.ModelVersion},
              {"fencing", Fencing.Value}}
      .dump();
}

std::vector<Fleet::ServiceNeed>
needsOf(const Configuration::Declaration &Declared) {
  double UrgentFloor = 0;
  std::uint64_t BestRank = ~0ULL;
  for (const auto &[Name, Each] : Declared.priorities())
    if (Each.Rank < BestRank) {
      BestRank = Each.Rank;
      UrgentFloor = Each.Floor;
    }
  std::vector<Fleet::ServiceNeed> Result;
  for (const auto &[Name, Each] : Declared.services()) {
    if (Each.Kind != Configuration::ServiceKind::Model)
      continue;
    Fleet::ServiceNeed Need;
    Need.Service = Name;
    Need.Model = Each.Model;
    Need.ModelVersion = Each.ModelVersion;
    Need.Replicas = Each.Replicas;
    Need.UrgentFloor = static_cast<std::uint64_t>(
        std::ceil(UrgentFloor * double(Each.Replicas)));
    Result.push_back(std::move(Need));
  }
  return Result;
}

} // namespace FleetDaemon
