#include "Fakes/FakeCloud.h"

#include "Network/Problem.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Fakes {

namespace {

using Json = nlohmann::json;

constexpr double ReclaimablePrice = 1;
constexpr double OnDemandPrice = 3;
constexpr int StatusOk = 200;
constexpr int StatusConflict = 409;
constexpr int StatusUnavailable = 503;
constexpr const char *HostPathPrefix = "/v1/hosts/";

void reply(const std::shared_ptr<Network::HttpExchange> &Exchange, int Status,
           const Json &Body) {
  Exchange->reply(
      {Status, {{"Content-Type", "application/json"}}, Body.dump()});
}

} // namespace

struct FakeCloud::Host {
  std::string Name;
  std::string DataCentre;
  bool Reclaimable = true;
  std::string State = "starting";
  std::uint16_t Port = 0;
  std::string Service;
  std::string Model;
  std::string Version;
  bool Loading = false;
  std::unique_ptr<FakeEngine> Engine;
};

FakeCloud::FakeCloud(Network::EventLoop &Loop, Network::HttpClient &Http,
                     FakeCloudOptions Options)
    : Loop(Loop), Http(Http), Options(std::move(Options)) {}

FakeCloud::~FakeCloud() = default;

absl::StatusOr<std::unique_ptr<FakeCloud>>
FakeCloud::create(Network::EventLoop &Loop, Network::HttpClient &Http,
                  FakeCloudOptions Options) {
  std::unique_ptr<FakeCloud> Cloud(
      new FakeCloud(Loop, Http, std::move(Options)));
  FakeCloud *Self = Cloud.get();
  auto Server = Network::HttpServer::create(
      Loop, Self->Options.Listen, {},
      [Self](const ExchangePtr &Exchange) { Self->handle(Exchange); });
  if (!Server.ok())
    return Server.status();
  Cloud->Server = std::move(*Server);
  return Cloud;
}

void FakeCloud::handle(const ExchangePtr &Exchange) {
  using Network::HttpMethod;
  const std::string Path = Exchange->request().path();
  const HttpMethod Method = Exchange->request().Method;
  const bool HasHostPath = Path.compare(0, 10, HostPathPrefix) == 0;
  const std::string HostPath = HasHostPath ? Path.substr(10) : "";
  const std::size_t Slash = HostPath.find('/');
  if (Path == "/v1/offers")
    this->listOffers(Exchange);
  else if (Path == "/v1/hosts" && Method == HttpMethod::Get)
    this->listHosts(Exchange);
  else if (Path == "/v1/hosts" && Method == HttpMethod::Post)
    this->startHost(Exchange);
  else if (HasHostPath && Method == HttpMethod::Delete)
    this->stopHost(Exchange, HostPath);
  else if (HasHostPath && Slash != std::string::npos)
    this->startLoad(Exchange, HostPath.substr(0, Slash));
  else if (Path == "/v1/reclaim")
    this->reclaim(Exchange);
  else if (Path == "/v1/refuse") {
    this->DataCentresWithoutCapacity.push_back(
        Json::parse(Exchange->request().Body).value("datacentre", ""));
    reply(Exchange, StatusOk, Json::object());
  } else
    Exchange->reply(
        Network::problemResponse({Common::RefusalReason::UnknownRoute, Path}));
}

void FakeCloud::listOffers(const ExchangePtr &Exchange) const {
  Json Offers = Json::array();
  for (const std::string &DataCentre : this->Options.DataCentres)
    for (const bool Reclaimable : {true, false})
      Offers.push_back(
          {{"datacentre", DataCentre},
           {"class", "gpu"},
           {"reclaimable", Reclaimable},
           {"price", Reclaimable ? ReclaimablePrice : OnDemandPrice}});
  reply(Exchange, StatusOk, Offers);
}

void FakeCloud::listHosts(const ExchangePtr &Exchange) const {
  Json HostList = Json::array();
  for (const auto &[Name, Entry] : this->Hosts)
    HostList.push_back(
        {{"name", Name},
         {"datacentre", Entry->DataCentre},
         {"class", "gpu"},
         {"reclaimable", Entry->Reclaimable},
         {"price", Entry->Reclaimable ? ReclaimablePrice : OnDemandPrice},
         {"state", Entry->State},
         {"service", Entry->Service},
         {"model", Entry->Model},
         {"version", Entry->Version},
         {"loading", Entry->Loading}});
  reply(Exchange, StatusOk,
        {{"hosts", HostList}, {"refused_orders", this->RejectedLoads}});
}

void FakeCloud::startHost(const ExchangePtr &Exchange) {
  const Json Body = Json::parse(Exchange->request().Body);
  const std::string Key =
      Network::findHeader(Exchange->request().Headers, "Idempotency-Key")
          .value_or("");
  const auto Existing = this->HostsByIdempotencyKey.find(Key);
  if (Existing != this->HostsByIdempotencyKey.end()) {
    reply(Exchange, StatusOk, {{"name", Existing->second}});
    return;
  }
  const std::string DataCentre = Body.value("datacentre", "");
  if (std::find(this->DataCentresWithoutCapacity.begin(),
                this->DataCentresWithoutCapacity.end(),
                DataCentre) != this->DataCentresWithoutCapacity.end()) {
    reply(Exchange, StatusUnavailable, {{"error", "no capacity"}});
    return;
  }
  auto NewHost = std::make_unique<Host>();
  NewHost->Name = "c" + std::to_string(++this->LastHostNumber);
  NewHost->DataCentre = DataCentre;
  NewHost->Reclaimable = Body.value("reclaimable", true);
  NewHost->Service = Body.value("service", "");
  NewHost->Port = static_cast<std::uint16_t>(this->Options.FirstHostPort +
                                             this->LastHostNumber);
  const std::string Name = NewHost->Name;
  this->HostsByIdempotencyKey[Key] = Name;
  this->Hosts[Name] = std::move(NewHost);
  this->Timers.push_back(
      this->Loop.callAfter(this->Options.StartDelay, [this, Name] {
        const auto Found = this->Hosts.find(Name);
        if (Found != this->Hosts.end() && Found->second->State == "starting")
          Found->second->State = "running";
      }));
  reply(Exchange, StatusOk, {{"name", Name}});
}

void FakeCloud::stopHost(const ExchangePtr &Exchange, const std::string &Name) {
  this->Hosts.erase(Name);
  reply(Exchange, StatusOk, Json::object());
}

void FakeCloud::startLoad(const ExchangePtr &Exchange,
                          const std::string &Name) {
  const auto Found = this->Hosts.find(Name);
  const Json Body = Json::parse(Exchange->request().Body);
  const auto Fencing = Body.value("fencing", std::uint64_t(0));
  if (Fencing < this->HighestFencingNumber) {
    ++this->RejectedLoads;
    reply(Exchange, StatusConflict, {{"error", "outdated fencing number"}});
    return;
  }
  this->HighestFencingNumber = Fencing;
  if (Found == this->Hosts.end() || Found->second->State != "running") {
    reply(Exchange, StatusConflict, {{"error", "host is not running"}});
    return;
  }
  Host &Target = *Found->second;
  Target.Loading = true;
  if (Target.Engine)
    Target.Engine->announceLeaving();
  Target.Service = Body.value("service", "");
  const std::string Model = Body.value("model", "");
  const std::string Version = Body.value("version", "");
  const Common::TimePoint Now = this->Loop.now();
  this->WeightStoreFreeAt =
      std::max(this->WeightStoreFreeAt, Now) + this->Options.LoadDelay;
  this->Timers.push_back(this->Loop.callAfter(
      this->WeightStoreFreeAt - Now, [this, Name, Model, Version] {
        const auto LoadedHost = this->Hosts.find(Name);
        if (LoadedHost == this->Hosts.end())
          return;
        LoadedHost->second->Model = Model;
        LoadedHost->second->Version = Version;
        this->finishLoad(Name);
      }));
  reply(Exchange, StatusOk, Json::object());
}

void FakeCloud::finishLoad(const std::string &Name) {
  Host &Target = *this->Hosts.at(Name);
  Target.Loading = false;
  Target.Engine.reset();
  FakeEngineOptions Engine;
  Engine.Listen = {this->Options.Listen.Ip, Target.Port};
  Engine.Entries = this->Options.Entries;
  Engine.BackendToken = this->Options.BackendToken;
  Engine.Announcement.BackendServer = Common::BackendServerId("engine-" + Name);
  Engine.Announcement.Service = Common::ServiceName(Target.Service);
  Engine.Announcement.Model = Common::ModelName(Target.Model);
  Engine.Announcement.ModelVersion = Target.Version;
  Engine.Announcement.Host = Common::HostId(Name);
  Engine.Announcement.DataCentre = Common::DataCentreId(Target.DataCentre);
  Engine.Announcement.Capacity = {8, 4096};
  Engine.Announcement.ChecksFencing = true;
  Engine.Announcement.PricePerHour =
      Target.Reclaimable ? ReclaimablePrice : OnDemandPrice;
  auto Created = FakeEngine::create(this->Loop, this->Http, Engine);
  if (!Created.ok())
    return;
  Target.Engine = std::move(*Created);
  Target.Engine->announce();
}

void FakeCloud::reclaim(const ExchangePtr &Exchange) {
  const Json Body = Json::parse(Exchange->request().Body);
  const std::string DataCentre = Body.value("datacentre", "");
  const auto Notice = std::chrono::milliseconds(Body.value("notice_ms", 5000));
  for (const auto &[Name, Entry] : this->Hosts) {
    if (Entry->DataCentre != DataCentre || !Entry->Reclaimable)
      continue;
    Entry->State = "leaving";
    const std::string ReclaimedName = Name;
    this->Timers.push_back(this->Loop.callAfter(
        Notice, [this, ReclaimedName] { this->Hosts.erase(ReclaimedName); }));
  }
  reply(Exchange, StatusOk, Json::object());
}

} // namespace Fakes
