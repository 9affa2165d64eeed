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
constexpr Common::Duration AskLimit = std::chrono::milliseconds(1500);
constexpr Common::Duration CloudLimit = std::chrono::seconds(5);
constexpr int StatusOk = 200;
constexpr int StatusUnavailable = 503;
const State::LeaseName FleetLease{"fleet"};

} // namespace

absl::StatusOr<std::unique_ptr<FleetDaemon>>
FleetDaemon::create(Network::EventLoop &Loop, FleetSettings Settings) {
  std::unique_ptr<FleetDaemon> Daemon(
      new FleetDaemon(Loop, std::move(Settings)));
  if (absl::Status Listening = Daemon->listen(); !Listening.ok())
    return Listening;
  return Daemon;
}

FleetDaemon::FleetDaemon(Network::EventLoop &Loop, FleetSettings Settings)
    : Loop(Loop), Settings(std::move(Settings)), Http(Loop),
      Holder(this->Settings.Name.str() + "-" + Common::randomIdentity()) {}

absl::Status FleetDaemon::listen() {
  State::StateClient::Options Options;
  Options.Daemons = this->Settings.State;
  Options.Key = this->Settings.Key;
  this->Client =
      std::make_unique<State::StateClient>(this->Loop, Options, this->Metrics);
  this->Client->watch([this](const Configuration::Declaration &Newer) {
    if (Newer.version() > this->Declared.version())
      this->Declared = Newer;
  });
  auto Server = Network::HttpServer::create(
      this->Loop, this->Settings.Http, {},
      [this](const std::shared_ptr<Network::HttpExchange> &Exchange) {
        this->handle(Exchange);
      });
  if (!Server.ok())
    return Server.status();
  this->Server = std::move(*Server);
  return absl::OkStatus();
}

int FleetDaemon::run() {
  const auto Stop = [this] { this->Loop.stop(); };
  this->Handles.push_back(this->Loop.onSignal(SIGTERM, Stop));
  this->Handles.push_back(this->Loop.onSignal(SIGINT, Stop));
  this->Handles.push_back(
      this->Loop.callEvery(TickPeriod, [this] { this->tick(); }));
  Telemetry::log(Events::FleetDaemonStarted, this->Holder.str());
  this->Loop.run();
  return 0;
}

void FleetDaemon::handle(
    const std::shared_ptr<Network::HttpExchange> &Exchange) {
  const std::string Path = Exchange->request().path();
  Network::HttpAnswer Answer{StatusOk, {{"Content-Type", "text/plain"}}, ""};
  if (Path == "/healthz") {
    Answer.Body = "ok\n";
  } else if (Path == "/readyz") {
    const bool Ready = this->Declared.version().Value > 0;
    Answer.Status = Ready ? StatusOk : StatusUnavailable;
    Answer.Body = Ready ? "ready\n" : "no configuration yet\n";
  } else if (Path == "/metrics") {
    this->Metrics.setGauge("fleet_leading", this->mayAct() ? 1 : 0);
    this->Metrics.setGauge("fleet_fencing",
                           double(this->Lease.fencing().Value));
    Answer.Body = this->Metrics.render();
  } else {
    this->Metrics.recordRefusal(Common::RefusalReason::UnknownRoute);
    Answer = Network::problemAnswer(
        {Common::RefusalReason::UnknownRoute, "no route " + Path});
  }
  Exchange->reply(Answer);
}

bool FleetDaemon::mayAct() const { return this->Lease.valid(this->Loop.now()); }

void FleetDaemon::tick() {
  if (!this->LeaseAsked &&
      (!this->mayAct() || this->Lease.wantsRenewal(this->Loop.now())))
    this->askForLease();
  if (this->mayAct() && !this->RoundUnderWay &&
      this->Declared.version().Value > 0)
    this->beginRound();
}

void FleetDaemon::askForLease() {
  this->LeaseAsked = true;
  const Common::TimePoint AskedAt = this->Loop.now();
  const bool Renewal = this->mayAct();
  State::CommandBody Body = State::AcquireLeaseCommand{
      FleetLease, this->Holder, LeaseMilliseconds, {}};
  if (Renewal)
    Body = State::RenewLeaseCommand{FleetLease, this->Holder,
                                    this->Lease.fencing()};
  this->Client->ask(Body, AskLimit,
                    [this, AskedAt, Renewal](const State::AskResult &Result) {
                      this->LeaseAsked = false;
                      this->leaseAnswered(AskedAt, Renewal, Result);
                    });
}

void FleetDaemon::leaseAnswered(Common::TimePoint AskedAt, bool Renewal,
                                const State::AskResult &Result) {
  const auto *Answer = std::get_if<State::AnswerBody>(&Result);
  const auto *Reply =
      Answer ? std::get_if<State::CommandResult>(Answer) : nullptr;
  const auto *Grant = Reply ? std::get_if<State::LeaseResult>(Reply) : nullptr;
  if (!Grant)
    return;
  if (!Grant->Granted) {
    this->Lease.lost();
    return;
  }
  if (!Renewal) {
    this->Metrics.incrementCounter("fleet_leases_acquired_total");
    Telemetry::log(Events::LeaseAcquired, Grant->Current.Fencing.Value);
  }
  this->Lease.granted(AskedAt, Grant->Current);
}

void FleetDaemon::beginRound() {
  this->RoundUnderWay = true;
  this->Seen = Fleet::Observation();
  this->Seen.Needs = needsOf(this->Declared);
  this->Seen.BudgetPerHour = this->Declared.budgetPerHour();
  this->Seen.BackedOff = this->Backoff.backedOff(this->Loop.now());
  this->fetchOffers();
}

void FleetDaemon::endRound() { this->RoundUnderWay = false; }

void FleetDaemon::fetchOffers() {
  this->callCloud(Network::HttpMethod::Get, "/v1/offers", "", "",
                  [this](const Network::HttpAnswer &Answer) {
                    const auto Offers = parseOffers(Answer.Body);
                    if (Answer.Status != StatusOk || !Offers.ok()) {
                      this->endRound();
                      return;
                    }
                    this->Seen.Offers = *Offers;
                    this->fetchHosts();
                  });
}

void FleetDaemon::fetchHosts() {
  this->callCloud(Network::HttpMethod::Get, "/v1/hosts", "", "",
                  [this](const Network::HttpAnswer &Answer) {
                    const auto Hosts = parseHosts(Answer.Body);
                    if (Answer.Status != StatusOk || !Hosts.ok()) {
                      this->endRound();
                      return;
                    }
                    this->Seen.Hosts = *Hosts;
                    this->act();
                  });
}

void FleetDaemon::act() {
  const Fleet::Plan Made = Fleet::planFleet(this->Seen, this->Loop.now());
  this->Metrics.setGauge("fleet_price_per_hour", Made.PricePerHour);
  this->Metrics.setGauge("fleet_replicas_missing", double(Made.Missing));
  this->Metrics.setGauge("fleet_hosts", double(this->Seen.Hosts.size()));
  this->OpenOrders = 1;
  for (const Fleet::Order &Each : Made.Orders) {
    // The lease may have run out while the cloud was asked.
    if (!this->mayAct())
      break;
    this->carryOut(Each);
  }
  if (--this->OpenOrders == 0)
    this->endRound();
}

void FleetDaemon::carryOut(const Fleet::Order &Each) {
  if (const auto *Start = std::get_if<Fleet::StartHost>(&Each))
    this->start(*Start);
  else if (const auto *Load = std::get_if<Fleet::LoadModel>(&Each))
    this->load(*Load);
  else if (const auto *Drain = std::get_if<Fleet::DrainHost>(&Each))
    this->drain(*Drain);
  else if (const auto *Stop = std::get_if<Fleet::StopHost>(&Each))
    this->stop(*Stop);
}

void FleetDaemon::callCloud(
    Network::HttpMethod Method, const std::string &Target,
    const std::string &Body, const std::string &Key,
    std::function<void(const Network::HttpAnswer &)> Done) {
  Network::HttpCall Call;
  Call.To = this->Settings.Cloud;
  Call.Timeout = CloudLimit;
  Call.Request.Method = Method;
  Call.Request.Target = Target;
  Call.Request.Body = Body;
  Call.Request.Headers = {{"Content-Type", "application/json"}};
  if (!Key.empty())
    Call.Request.Headers.push_back({"Idempotency-Key", Key});
  Network::HttpCallHandlers Handle;
  Handle.OnDone = [Done = std::move(Done)](Network::CallResult,
                                           const Network::HttpAnswer &Given) {
    Done(Given);
  };
  this->Http.start(std::move(Call), std::move(Handle));
}

void FleetDaemon::start(const Fleet::StartHost &Wanted) {
  ++this->OpenOrders;
  const std::string Key =
      absl::StrCat(this->Holder.str(), "-", ++this->LastStart);
  const Fleet::Pool Which = Wanted.Pool;
  this->Metrics.incrementCounter("fleet_starts_ordered_total");
  this->callCloud(Network::HttpMethod::Post, "/v1/hosts",
                  startBody(Wanted, this->Lease.fencing()), Key,
                  [this, Which](const Network::HttpAnswer &Answer) {
                    if (Answer.Status == StatusOk) {
                      this->Backoff.started(Which);
                    } else {
                      this->Backoff.refused(Which, this->Loop.now());
                      this->Metrics.incrementCounter(
                          "fleet_starts_refused_total");
                    }
                    if (--this->OpenOrders == 0)
                      this->endRound();
                  });
}

void FleetDaemon::load(const Fleet::LoadModel &Wanted) {
  ++this->OpenOrders;
  this->Metrics.incrementCounter("fleet_loads_ordered_total");
  this->callCloud(
      Network::HttpMethod::Post, "/v1/hosts/" + Wanted.Host.str() + "/load",
      loadBody(Wanted, this->Lease.fencing()), "",
      [this](const Network::HttpAnswer &Answer) {
        if (Answer.Status != StatusOk)
          this->Metrics.incrementCounter("fleet_loads_refused_total");
        if (--this->OpenOrders == 0)
          this->endRound();
      });
}

void FleetDaemon::drain(const Fleet::DrainHost &Wanted) {
  if (!this->Drained.insert(Wanted.Host).second)
    return;
  this->Metrics.incrementCounter("fleet_drains_total");
  Telemetry::log(Events::Drain, Wanted.Host.str());
  const nlohmann::json Body = {{"host", Wanted.Host.str()}};
  // All entry daemons are told, so that a cut hides it from few.
  for (const Network::Address &Entry : this->Settings.Entries) {
    Network::HttpCall Call;
    Call.To = Entry;
    Call.Timeout = CloudLimit;
    Call.Request.Method = Network::HttpMethod::Post;
    Call.Request.Target = "/v1/reclaims";
    Call.Request.Headers = {
        {"Authorization", "Bearer " + this->Settings.OperatorToken}};
    Call.Request.Body = Body.dump();
    this->Http.start(std::move(Call), {});
  }
}

void FleetDaemon::stop(const Fleet::StopHost &Wanted) {
  ++this->OpenOrders;
  this->Metrics.incrementCounter("fleet_stops_ordered_total");
  this->callCloud(Network::HttpMethod::Delete, "/v1/hosts/" + Wanted.Host.str(),
                  "", "", [this](const Network::HttpAnswer &) {
                    if (--this->OpenOrders == 0)
                      this->endRound();
                  });
}

} // namespace FleetDaemon
