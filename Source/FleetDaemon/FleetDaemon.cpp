#include "FleetDaemon/FleetDaemon.h"

#include "Common/Hash.h"
#include "FleetDaemon/CloudApi.h"
#include "Network/Problem.h"
#include "Telemetry/LogEvents.h"

#include <absl/strings/str_cat.h>
#include <csignal>
#include <nlohmann/json.hpp>

namespace FleetDaemon {

namespace {

namespace Events = Telemetry::Events;

constexpr Common::Duration TickPeriod = std::chrono::milliseconds(200);
constexpr std::uint64_t LeaseMilliseconds = 3000;
constexpr Common::Duration StateRequestTimeout =
    std::chrono::milliseconds(1500);
constexpr Common::Duration CloudTimeout = std::chrono::seconds(5);
/// How long a stop waits for its HTTP answers to be written.
constexpr Common::Duration ShutdownLimit = std::chrono::seconds(2);
constexpr int StatusOk = 200;
constexpr int StatusServiceUnavailable = 503;
const State::LeaseName FleetLease{"fleet"};

} // namespace

absl::StatusOr<std::unique_ptr<FleetDaemon>>
FleetDaemon::create(Network::EventLoop &Loop, FleetSettings Settings) {
  std::unique_ptr<FleetDaemon> Daemon(
      new FleetDaemon(Loop, std::move(Settings)));
  if (absl::Status Status = Daemon->initialize(); !Status.ok())
    return Status;
  return Daemon;
}

FleetDaemon::FleetDaemon(Network::EventLoop &Loop, FleetSettings Settings)
    : Loop(Loop), Settings(std::move(Settings)), Http(Loop),
      HolderId(this->Settings.Name.str() + "-" + Common::randomHexId()) {}

absl::Status FleetDaemon::initialize() {
  State::StateClient::Options Options;
  Options.Daemons = this->Settings.State;
  Options.Key = this->Settings.Key;
  this->Client =
      std::make_unique<State::StateClient>(this->Loop, Options, this->Metrics);
  this->Client->watchConfiguration(
      [this](const Configuration::Declaration &Update) {
        if (Update.version() > this->Declaration.version())
          this->Declaration = Update;
      });
  auto Server = Network::HttpServer::create(
      this->Loop, this->Settings.Http, {},
      [this](const std::shared_ptr<Network::HttpExchange> &Exchange) {
        this->handleHttpRequest(Exchange);
      });
  if (!Server.ok())
    return Server.status();
  this->Server = std::move(*Server);
  return absl::OkStatus();
}

int FleetDaemon::run() {
  const auto Stop = [this] { this->shutDown(); };
  this->EventHandles.push_back(this->Loop.onSignal(SIGTERM, Stop));
  this->EventHandles.push_back(this->Loop.onSignal(SIGINT, Stop));
  // All settings are read at the start only, so SIGHUP reloads nothing.
  this->EventHandles.push_back(this->Loop.onSignal(
      SIGHUP, [] { Telemetry::log(Events::Reload, "nothing"); }));
  this->EventHandles.push_back(
      this->Loop.callEvery(TickPeriod, [this] { this->tick(); }));
  Telemetry::log(Events::FleetDaemonStarted, this->HolderId.str());
  this->Loop.run();
  return 0;
}

void FleetDaemon::shutDown() {
  if (this->ShuttingDown)
    return;
  this->ShuttingDown = true;
  Telemetry::log(Events::ShuttingDown);
  this->Server->startShutdown();
  this->Server->stopAccepting();
  const Common::TimePoint EndsAt = this->Loop.now() + ShutdownLimit;
  constexpr Common::Duration CheckPeriod = std::chrono::milliseconds(20);
  this->ShutdownTimer = this->Loop.callEvery(CheckPeriod, [this, EndsAt] {
    if (this->Server->openExchanges() == 0 || this->Loop.now() >= EndsAt)
      this->Loop.stop();
  });
}

void FleetDaemon::handleHttpRequest(
    const std::shared_ptr<Network::HttpExchange> &Exchange) {
  const std::string Path = Exchange->request().path();
  Network::HttpResponse Response{
      StatusOk, {{"Content-Type", "text/plain"}}, ""};
  if (Path == "/healthz") {
    Response.Body = "ok\n";
  } else if (Path == "/readyz") {
    const bool Ready = this->Declaration.version().Value > 0;
    Response.Status = Ready ? StatusOk : StatusServiceUnavailable;
    Response.Body = Ready ? "ready\n" : "no configuration yet\n";
  } else if (Path == "/metrics") {
    this->Metrics.setGauge("fleet_leading", this->holdsLease() ? 1 : 0);
    this->Metrics.setGauge("fleet_fencing",
                           double(this->Lease.fencing().Value));
    Response.Body = this->Metrics.render();
  } else {
    this->Metrics.recordRefusal(Common::RefusalReason::UnknownRoute);
    Response = Network::problemResponse(
        {Common::RefusalReason::UnknownRoute, "no route " + Path});
  }
  Exchange->reply(Response);
}

bool FleetDaemon::holdsLease() const {
  return this->Lease.isValid(this->Loop.now());
}

void FleetDaemon::tick() {
  // What a round of this daemon would order is left to the next holder.
  if (this->ShuttingDown)
    return;
  if (!this->LeaseRequestPending &&
      (!this->holdsLease() || this->Lease.needsRenewal(this->Loop.now())))
    this->requestLease();
  if (this->holdsLease() && !this->RoundInProgress &&
      this->Declaration.version().Value > 0)
    this->beginRound();
}

void FleetDaemon::requestLease() {
  this->LeaseRequestPending = true;
  const Common::TimePoint RequestedAt = this->Loop.now();
  const bool IsRenewal = this->holdsLease();
  State::CommandBody Body = State::AcquireLeaseCommand{
      FleetLease, this->HolderId, LeaseMilliseconds, {}};
  if (IsRenewal)
    Body = State::RenewLeaseCommand{FleetLease, this->HolderId,
                                    this->Lease.fencing()};
  this->Client->sendToLeader(
      Body, StateRequestTimeout,
      [this, RequestedAt, IsRenewal](const State::RequestResult &Result) {
        this->LeaseRequestPending = false;
        this->handleLeaseResponse(RequestedAt, IsRenewal, Result);
      });
}

void FleetDaemon::handleLeaseResponse(Common::TimePoint RequestedAt,
                                      bool IsRenewal,
                                      const State::RequestResult &Result) {
  const auto *Response = std::get_if<State::ResponseBody>(&Result);
  const auto *CommandResult =
      Response ? std::get_if<State::CommandResult>(Response) : nullptr;
  const auto *LeaseResult =
      CommandResult ? std::get_if<State::LeaseResult>(CommandResult) : nullptr;
  if (!LeaseResult)
    return;
  if (!LeaseResult->Granted) {
    this->Lease.onLost();
    return;
  }
  if (!IsRenewal) {
    this->Metrics.incrementCounter("fleet_leases_acquired_total");
    Telemetry::log(Events::LeaseAcquired, LeaseResult->Current.Fencing.Value);
  }
  this->Lease.onGranted(RequestedAt, LeaseResult->Current);
}

void FleetDaemon::beginRound() {
  this->RoundInProgress = true;
  this->Snapshot = Fleet::FleetSnapshot();
  this->Snapshot.Requirements = serviceRequirements(this->Declaration);
  this->Snapshot.BudgetPerHour = this->Declaration.budgetPerHour();
  this->Snapshot.BackoffUntil = this->Backoff.activeBackoffs(this->Loop.now());
  this->fetchOffers();
}

void FleetDaemon::endRound() { this->RoundInProgress = false; }

void FleetDaemon::fetchOffers() {
  this->callCloud(Network::HttpMethod::Get, "/v1/offers", "", "",
                  [this](const Network::HttpResponse &Response) {
                    const auto Offers = parseOffers(Response.Body);
                    if (Response.Status != StatusOk || !Offers.ok()) {
                      this->endRound();
                      return;
                    }
                    this->Snapshot.Offers = *Offers;
                    this->fetchHosts();
                  });
}

void FleetDaemon::fetchHosts() {
  this->callCloud(Network::HttpMethod::Get, "/v1/hosts", "", "",
                  [this](const Network::HttpResponse &Response) {
                    const auto Hosts = parseHosts(Response.Body);
                    if (Response.Status != StatusOk || !Hosts.ok()) {
                      this->endRound();
                      return;
                    }
                    this->Snapshot.Hosts = *Hosts;
                    this->executePlan();
                  });
}

void FleetDaemon::executePlan() {
  const Fleet::Plan Plan = Fleet::planFleet(this->Snapshot, this->Loop.now());
  this->Metrics.setGauge("fleet_price_per_hour", Plan.PricePerHour);
  this->Metrics.setGauge("fleet_replicas_missing",
                         double(Plan.MissingReplicas));
  this->Metrics.setGauge("fleet_hosts", double(this->Snapshot.Hosts.size()));
  this->PendingActions = 1;
  for (const Fleet::Action &Action : Plan.Actions) {
    // The lease may have expired while the cloud was queried.
    if (!this->holdsLease())
      break;
    this->executeAction(Action);
  }
  if (--this->PendingActions == 0)
    this->endRound();
}

void FleetDaemon::executeAction(const Fleet::Action &Action) {
  if (const auto *Start = std::get_if<Fleet::StartHost>(&Action))
    this->startHost(*Start);
  else if (const auto *Load = std::get_if<Fleet::LoadModel>(&Action))
    this->loadModel(*Load);
  else if (const auto *Drain = std::get_if<Fleet::DrainHost>(&Action))
    this->drainHost(*Drain);
  else if (const auto *Stop = std::get_if<Fleet::StopHost>(&Action))
    this->stopHost(*Stop);
}

void FleetDaemon::callCloud(
    Network::HttpMethod Method, const std::string &Target,
    const std::string &Body, const std::string &Key,
    std::function<void(const Network::HttpResponse &)> OnResponse) {
  Network::HttpCall Call;
  Call.To = this->Settings.Cloud;
  Call.Timeout = CloudTimeout;
  Call.Request.Method = Method;
  Call.Request.Target = Target;
  Call.Request.Body = Body;
  Call.Request.Headers = {{"Content-Type", "application/json"}};
  if (!Key.empty())
    Call.Request.Headers.push_back({"Idempotency-Key", Key});
  Network::HttpCallHandlers Handlers;
  Handlers.OnDone = [OnResponse = std::move(OnResponse)](
                        Network::HttpCallResult,
                        const Network::HttpResponse &Response) {
    OnResponse(Response);
  };
  this->Http.start(std::move(Call), std::move(Handlers));
}

void FleetDaemon::startHost(const Fleet::StartHost &Action) {
  ++this->PendingActions;
  const std::string Key =
      absl::StrCat(this->HolderId.str(), "-", ++this->StartsRequested);
  const Fleet::Pool Pool = Action.Pool;
  this->Metrics.incrementCounter("fleet_starts_ordered_total");
  this->callCloud(Network::HttpMethod::Post, "/v1/hosts",
                  encodeStartHost(Action, this->Lease.fencing()), Key,
                  [this, Pool](const Network::HttpResponse &Response) {
                    if (Response.Status == StatusOk) {
                      this->Backoff.onStarted(Pool);
                    } else {
                      this->Backoff.onStartFailed(Pool, this->Loop.now());
                      this->Metrics.incrementCounter(
                          "fleet_starts_refused_total");
                    }
                    if (--this->PendingActions == 0)
                      this->endRound();
                  });
}

void FleetDaemon::loadModel(const Fleet::LoadModel &Action) {
  ++this->PendingActions;
  this->Metrics.incrementCounter("fleet_loads_ordered_total");
  this->callCloud(
      Network::HttpMethod::Post, "/v1/hosts/" + Action.Host.str() + "/load",
      encodeLoadModel(Action, this->Lease.fencing()), "",
      [this](const Network::HttpResponse &Response) {
        if (Response.Status != StatusOk)
          this->Metrics.incrementCounter("fleet_loads_refused_total");
        if (--this->PendingActions == 0)
          this->endRound();
      });
}

void FleetDaemon::drainHost(const Fleet::DrainHost &Action) {
  if (!this->DrainedHosts.insert(Action.Host).second)
    return;
  this->Metrics.incrementCounter("fleet_drains_total");
  Telemetry::log(Events::Drain, Action.Host.str());
  const nlohmann::json Body = {{"host", Action.Host.str()}};
  // Send the drain directly to every entry daemon, so that in a network
  // partition each reachable one receives it. Entry daemons handle it like a
  // reclaim. It is not retried.
  for (const Network::Address &EntryDaemon : this->Settings.Entries) {
    Network::HttpCall Call;
    Call.To = EntryDaemon;
    Call.Timeout = CloudTimeout;
    Call.Request.Method = Network::HttpMethod::Post;
    Call.Request.Target = "/v1/reclaims";
    Call.Request.Headers = {
        {"Authorization", "Bearer " + this->Settings.OperatorToken}};
    Call.Request.Body = Body.dump();
    this->Http.start(std::move(Call), {});
  }
}

void FleetDaemon::stopHost(const Fleet::StopHost &Action) {
  ++this->PendingActions;
  this->Metrics.incrementCounter("fleet_stops_ordered_total");
  this->callCloud(Network::HttpMethod::Delete, "/v1/hosts/" + Action.Host.str(),
                  "", "", [this](const Network::HttpResponse &) {
                    if (--this->PendingActions == 0)
                      this->endRound();
                  });
}

} // namespace FleetDaemon
