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
constexpr const char *HostsPath = "/v1/hosts/";

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
                     FakeCloudOptions Given)
    : Loop(Loop), Http(Http), Options(std::move(Given)) {}

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
  const bool OneHost = Path.compare(0, 10, HostsPath) == 0;
  const std::string Rest = OneHost ? Path.substr(10) : "";
  const std::size_t Slash = Rest.find('/');
  if (Path == "/v1/offers")
    this->listOffers(Exchange);
  else if (Path == "/v1/hosts" && Method == HttpMethod::Get)
    this->listHosts(Exchange);
  else if (Path == "/v1/hosts" && Method == HttpMethod::Post)
    this->startHost(Exchange);
  else if (OneHost && Method == HttpMethod::Delete)
    this->stopHost(Exchange, Rest);
  else if (OneHost && Slash != std::string::npos)
    this->load(Exchange, Rest.substr(0, Slash));
  else if (Path == "/v1/reclaim")
    this->reclaim(Exchange);
  else if (Path == "/v1/refuse") {
    this->Refusing.push_back(
        Json::parse(Exchange->request().Body).value("datacentre", ""));
    reply(Exchange, StatusOk, Json::object());
  } else
    Exchange->reply(
        Network::problemResponse({Common::RefusalReason::UnknownRoute, Path}));
}

void FakeCloud::listOffers(const ExchangePtr &Exchange) const {
  Json Offers = Json::array();
  for (const std::string &Centre : this->Options.DataCentres)
    for (const bool Reclaimable : {true, false})
      Offers.push_back(
          {{"datacentre", Centre},
           {"class", "gpu"},
           {"reclaimable", Reclaimable},
           {"price", Reclaimable ? ReclaimablePrice : OnDemandPrice}});
  reply(Exchange, StatusOk, Offers);
}

void FakeCloud::listHosts(const ExchangePtr &Exchange) const {
  Json Rows = Json::array();
  for (const auto &[Name, Each] : this->Hosts)
    Rows.push_back(
        {{"name", Name},
         {"datacentre", Each->DataCentre},
         {"class", "gpu"},
         {"reclaimable", Each->Reclaimable},
         {"price", Each->Reclaimable ? ReclaimablePrice : OnDemandPrice},
         {"state", Each->State},
         {"service", Each->Service},
         {"model", Each->Model},
         {"version", Each->Version},
         {"loading", Each->Loading}});
  reply(Exchange, StatusOk,
        {{"hosts", Rows}, {"refused_orders", this->RefusedOrders}});
}

void FakeCloud::startHost(const ExchangePtr &Exchange) {
  const Json Body = Json::parse(Exchange->request().Body);
  const std::string Key =
      Network::findHeader(Exchange->request().Headers, "Idempotency-Key")
          .value_or("");
  const auto Known = this->StartedBy.find(Key);
  if (Known != this->StartedBy.end()) {
    reply(Exchange, StatusOk, {{"name", Known->second}});
    return;
  }
  const std::string Centre = Body.value("datacentre", "");
  if (std::find(this->Refusing.begin(), this->Refusing.end(), Centre) !=
      this->Refusing.end()) {
    reply(Exchange, StatusUnavailable, {{"error", "no capacity"}});
    return;
  }
  auto Started = std::make_unique<Host>();
  Started->Name = "c" + std::to_string(++this->LastHost);
  Started->DataCentre = Centre;
  Started->Reclaimable = Body.value("reclaimable", true);
  Started->Service = Body.value("service", "");
  Started->Port =
      static_cast<std::uint16_t>(this->Options.FirstHostPort + this->LastHost);
  const std::string Name = Started->Name;
  this->StartedBy[Key] = Name;
  this->Hosts[Name] = std::move(Started);
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

void FakeCloud::load(const ExchangePtr &Exchange, const std::string &Name) {
  const auto Found = this->Hosts.find(Name);
  const Json Body = Json::parse(Exchange->request().Body);
  const auto Fencing = Body.value("fencing", std::uint64_t(0));
  if (Fencing < this->HighestFencing) {
    ++this->RefusedOrders;
    reply(Exchange, StatusConflict, {{"error", "old fencing number"}});
    return;
  }
  this->HighestFencing = Fencing;
  if (Found == this->Hosts.end() || Found->second->State != "running") {
    reply(Exchange, StatusConflict, {{"error", "host is not running"}});
    return;
  }
  Host &Target = *Found->second;
  Target.Loading = true;
  if (Target.Engine)
    Target.Engine->leave();
  Target.Service = Body.value("service", "");
  const std::string Model = Body.value("model", "");
  const std::string Version = Body.value("version", "");
  const Common::TimePoint Now = this->Loop.now();
  this->StoreFreeAt =
      std::max(this->StoreFreeAt, Now) + this->Options.LoadDelay;
  this->Timers.push_back(this->Loop.callAfter(
      this->StoreFreeAt - Now, [this, Name, Model, Version] {
        const auto Still = this->Hosts.find(Name);
        if (Still == this->Hosts.end())
          return;
        Still->second->Model = Model;
        Still->second->Version = Version;
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
  Engine.About.BackendServer = Common::BackendServerId("engine-" + Name);
  Engine.About.Service = Common::ServiceName(Target.Service);
  Engine.About.Model = Common::ModelName(Target.Model);
  Engine.About.ModelVersion = Target.Version;
  Engine.About.Host = Common::HostId(Name);
  Engine.About.DataCentre = Common::DataCentreId(Target.DataCentre);
  Engine.About.Capacity = {8, 4096};
  Engine.About.ChecksFencing = true;
  Engine.About.PricePerHour =
      Target.Reclaimable ? ReclaimablePrice : OnDemandPrice;
  auto Made = FakeEngine::create(this->Loop, this->Http, Engine);
  if (!Made.ok())
    return;
  Target.Engine = std::move(*Made);
  Target.Engine->announce();
}

void FakeCloud::reclaim(const ExchangePtr &Exchange) {
  const Json Body = Json::parse(Exchange->request().Body);
  const std::string Centre = Body.value("datacentre", "");
  const auto Notice = std::chrono::milliseconds(Body.value("notice_ms", 5000));
  for (const auto &[Name, Each] : this->Hosts) {
    if (Each->DataCentre != Centre || !Each->Reclaimable)
      continue;
    Each->State = "leaving";
    const std::string Taken = Name;
    this->Timers.push_back(this->Loop.callAfter(
        Notice, [this, Taken] { this->Hosts.erase(Taken); }));
  }
  reply(Exchange, StatusOk, Json::object());
}

} // namespace Fakes
