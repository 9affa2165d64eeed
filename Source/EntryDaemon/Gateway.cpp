#include "EntryDaemon/Gateway.h"

#include "Common/Hash.h"
#include "Telemetry/LogEvents.h"
#include "platform/ConfigurationDocument.h"
#include "platform/ControlCalls.h"
#include "platform/RequestHeaders.h"

#include <absl/strings/str_cat.h>
#include <csignal>

namespace EntryDaemon {

namespace {

namespace Events = Telemetry::Events;

constexpr Common::Duration HousekeepingPeriod = std::chrono::seconds(5);
constexpr Common::Duration ReadinessPeriod = std::chrono::milliseconds(500);
/// The balancer has stopped sending connections by then: it asks once a
/// second and acts on two answers.
constexpr Common::Duration BalancerLeaves = std::chrono::milliseconds(3300);
/// Kept before the platform's own limit on shutting down.
constexpr Common::Duration ShutdownMargin = std::chrono::milliseconds(400);
constexpr Common::Duration ShutdownPoll = std::chrono::milliseconds(50);
/// A daemon that was told of a newer declaration asks again after this time.
constexpr Common::Duration CatchUpDelay = std::chrono::milliseconds(100);
/// Settings are read again this often, as they may change without a signal.
constexpr Common::Duration SettingsPeriod = std::chrono::seconds(5);

} // namespace

Routing::ServerTableOptions
GatewayContext::tableOptions(const GatewaySettings &Chosen) {
  Routing::ServerTableOptions Result;
  Result.Own = Chosen.DataCentre;
  Result.Seed = Common::hashBytes(Chosen.Name.str());
  return Result;
}

Gateway::Gateway(Network::EventLoop &Loop, GatewaySettings Settings)
    : Loop(Loop), Context(Loop, std::move(Settings)) {}

absl::StatusOr<std::unique_ptr<Gateway>>
Gateway::create(Network::EventLoop &Loop, GatewaySettings Settings,
                std::function<absl::StatusOr<GatewaySettings>()> Reread) {
  std::unique_ptr<Gateway> Made(new Gateway(Loop, std::move(Settings)));
  Made->Reread = std::move(Reread);
  if (absl::Status Listening = Made->listen(); !Listening.ok())
    return Listening;
  Made->openControlLink();
  return Made;
}

absl::Status Gateway::listen() {
  Network::Http1Server::Handlers Handle;
  Handle.OnRequest =
      [this](const std::shared_ptr<Network::Http1Exchange> &Exchange) {
        this->accept(Exchange);
      };
  Handle.OnRejected = [this](Network::Http1Server::Rejection Why) {
    constexpr const char *Names[] = {"malformed", "headers_too_large",
                                     "body_too_large", "header_timeout"};
    const char *Name = Names[static_cast<std::size_t>(Why)];
    this->Context.Metrics.incrementLabelledCounter("http_rejected_total",
                                                   "reason", Name);
    Telemetry::log(Events::RequestUnreadable, Name);
  };
  auto Front = Network::Http1Server::create(
      this->Loop, this->Context.Settings.Http, std::move(Handle));
  if (!Front.ok())
    return Front.status();
  this->Callers = std::move(*Front);

  Network::Http1Server::Handlers Asked;
  Asked.OnRequest =
      [this](const std::shared_ptr<Network::Http1Exchange> &Exchange) {
        const bool Path = Exchange->path() == Platform::ReadinessPath;
        Exchange->reply(!Path ? 404 : this->ready() ? 200 : 503, {}, "");
      };
  auto Ready = Network::Http1Server::create(
      this->Loop, this->Context.Settings.Ready, std::move(Asked));
  if (!Ready.ok())
    return Ready.status();
  this->Readiness = std::move(*Ready);

  if (this->Context.Settings.MetricsPort == 0)
    return absl::OkStatus();
  auto Opened = Network::Http1Server::serveText(
      this->Loop,
      Network::Address{this->Context.Settings.Http.Ip,
                       this->Context.Settings.MetricsPort},
      [this] { return this->Context.Metrics.render(); });
  if (!Opened.ok())
    return Opened.status();
  this->MetricsHttp = std::move(*Opened);
  return absl::OkStatus();
}

void Gateway::openControlLink() {
  ControlLink::Options Wanted;
  Wanted.Self = this->Context.Settings.Name;
  Wanted.DataCentre = this->Context.Settings.DataCentre;
  Wanted.Key = this->Context.Settings.Key;
  Wanted.Seeds = this->Context.Settings.seedLinks();
  Wanted.RandomSeed = Common::hashBytes(this->Context.Settings.Name.str());
  ControlLink::Handlers Handle;
  Handle.OnServers = [this](const State::RegistryDelta &Delta) {
    this->serversChanged(Delta);
  };
  Handle.OnDeclaration = [this](const State::DeclarationPush &Push) {
    this->declared(Push);
  };
  Handle.FillPoll = [this](State::EntryPoll &Asked) { this->fillPoll(Asked); };
  Handle.OnAnswer = [this](const State::EntryPollAnswer &Answer,
                           Common::TimePoint AskedAt) {
    this->answered(Answer, AskedAt);
  };
  this->Control = std::make_unique<ControlLink>(this->Loop, std::move(Wanted),
                                                std::move(Handle));
  this->Context.PollSoon = [this] { this->Control->pollSoon(); };
}

int Gateway::run() {
  const auto Stop = [this] { this->shutDown(); };
  this->Handles.push_back(this->Loop.onSignal(SIGTERM, Stop));
  this->Handles.push_back(this->Loop.onSignal(SIGINT, Stop));
  this->Handles.push_back(
      this->Loop.onSignal(SIGHUP, [this] { this->reload(); }));
  this->Handles.push_back(
      this->Loop.callEvery(SettingsPeriod, [this] { this->reload(); }));
  this->Handles.push_back(this->Loop.callEvery(HousekeepingPeriod, [this] {
    this->Context.Servers.forgetOld(this->Loop.now());
  }));
  this->Handles.push_back(this->Loop.callEvery(
      ReadinessPeriod, [this] { this->noticeReadiness(); }));
  Telemetry::log(Events::GatewayStarted, this->Context.Settings.Http.str());
  this->Loop.run();
  return 0;
}

void Gateway::accept(const std::shared_ptr<Network::Http1Exchange> &Exchange) {
  this->Context.Metrics.incrementCounter("requests_total");
  if (this->ShuttingDown &&
      this->Loop.now() - this->StoppingSince > BalancerLeaves) {
    // It could not be carried to its end any more; another daemon can.
    this->Context.Metrics.incrementLabelledCounter("call_failures_total",
                                                   "reason", "shutting_down");
    Telemetry::log(Events::RequestRefused,
                   Platform::requestId(Exchange->head().Headers),
                   "shutting_down");
    Exchange->reply(503, {{"Retry-After", "0.05"}}, "");
    return;
  }
  std::make_shared<RoutedCall>(this->Context, Exchange)->begin();
}

void Gateway::serversChanged(const State::RegistryDelta &Delta) {
  const Common::TimePoint Now = this->Loop.now();
  for (const Membership::ServerRecord &Each : Delta.Changed) {
    if (!this->Context.Servers.apply(Each, Now))
      continue;
    Telemetry::log(Events::ServerKnown, Each.Id.str(),
                   Membership::nameOf(Each.Phase), Each.StartedAt,
                   Each.Sequence);
  }
  for (const State::ServerRefresh &Each : Delta.Refreshed)
    this->Context.Servers.refresh(Each.Id, Each.StartedAt, Each.Sequence, Now);
}

void Gateway::declared(const State::DeclarationPush &Push) {
  const bool Newer = !this->Context.Declared ||
                     Push.Version > this->Context.Declared->version();
  if (!Newer)
    return;
  auto Read = Platform::decodeConfiguration(Push.Document);
  if (!Read.ok()) {
    Telemetry::log(Events::DeclarationUnreadable, Push.Version.Value,
                   Read.status().message());
    return;
  }
  this->Context.Declared =
      std::make_shared<const Configuration::ServiceMap>(std::move(*Read));
  const Configuration::RequestLimits &Given = this->Context.Declared->limits();
  Network::Http1Server::Limits Bounds;
  Bounds.MaxHeaderBytes = Given.MaxHeaderBytes;
  Bounds.MaxBodyBytes = Given.MaxBodyBytes;
  Bounds.HeaderTime = Given.HeaderTime;
  Bounds.IdleTime = Given.IdleTime;
  if (!this->ShuttingDown)
    this->Callers->setLimits(Bounds);
  this->Context.Allowances.limitsChanged(*this->Context.Declared);
  Telemetry::log(Events::DeclarationInForce, Push.Version.Value);
  // The question that was answered before spoke of the older version.
  this->Control->pollSoon();
}

void Gateway::fillPoll(State::EntryPoll &Asked) {
  const Common::TimePoint Now = this->Loop.now();
  if (this->Context.Declared)
    Asked.Have = this->Context.Declared->version();
  for (const auto &Each : this->Context.Allowances.demands(Now))
    Asked.Demands.push_back({Each.Team, Each.Needed, Each.Stock});
  Asked.Usage = this->Context.Usage.counts();
  for (const auto &Each : this->Context.Servers.ownLoads())
    Asked.Loads.push_back({Each.Id, Each.Requests, Each.PromptTokens});
  Asked.HeardOf = this->HeardOf;
  Asked.EntryCount = this->EntryCount;
  for (const auto &Each : this->Context.Allowances.grantedLately(Now))
    Asked.Used.push_back({Each.Team, Each.Within});
  for (const auto &[Service, Engines] : this->Context.Demand.engines(Now))
    Asked.Services.push_back({Service, Engines});
  Asked.Crashes = this->Context.Contents.reports(Now);
}

void Gateway::answered(const State::EntryPollAnswer &Answer,
                       Common::TimePoint AskedAt) {
  const Common::TimePoint Now = this->Loop.now();
  this->HeardOf = std::max(this->HeardOf, Answer.Newest);
  if (Answer.Declaration)
    this->declared(*Answer.Declaration);
  const bool Current = this->Context.Declared &&
                       Answer.Newest <= this->Context.Declared->version();
  if (Current &&
      (!this->Context.ConfirmedAt || *this->Context.ConfirmedAt < AskedAt))
    this->Context.ConfirmedAt = AskedAt;
  if (Current) {
    std::vector<std::shared_ptr<RoutedCall>> Early;
    Early.swap(this->Context.AwaitingDeclaration);
    for (const auto &Each : Early)
      Each->declarationArrived();
  }
  this->EntryCount = Answer.EntryCount;
  if (!Current)
    this->Control->pollAfter(CatchUpDelay);
  this->Context.Retries.setDaemons(Answer.EntryCount);
  this->Context.Allowances.setDaemons(Answer.EntryCount);
  if (Answer.Time.Milliseconds != 0)
    this->Context.Usage.timeIs(Answer.Time, AskedAt, Now);
  this->Context.Contents.refuse(Answer.Refused, Now);
  this->Context.Servers.clearOthersLoad();
  for (const State::ServerLoad &Each : Answer.Loads)
    this->Context.Servers.setOthersLoad(Each.Id, Each.Requests,
                                        Each.PromptTokens);
  for (const State::TokenGrant &Each : Answer.Grants)
    this->Context.Allowances.granted(Each.Team, Each.Tokens, Now);
  std::vector<std::shared_ptr<RoutedCall>> Waiting;
  Waiting.swap(this->Context.AwaitingTokens);
  for (const auto &Each : Waiting)
    Each->tokensGranted(AskedAt);
  this->Context.Allowances.dropSurplus();
}

bool Gateway::ready() const {
  return !this->ShuttingDown && this->Context.trusted(this->Loop.now());
}

void Gateway::noticeReadiness() {
  const bool Ready = this->ready();
  if (Ready == this->WasReady)
    return;
  this->WasReady = Ready;
  Telemetry::log(Events::Readiness, Ready ? "1" : "0");
}

void Gateway::reload() {
  const auto Fresh = this->Reread();
  if (!Fresh.ok()) {
    Telemetry::log(Events::ReloadFailed, Fresh.status().message());
    return;
  }
  if (Fresh->Seeds == this->Context.Settings.Seeds)
    return;
  this->Context.Settings.Seeds = Fresh->Seeds;
  this->Control->setSeeds(Fresh->seedLinks());
  Telemetry::log(Events::Reload, "seeds");
}

void Gateway::shutDown() {
  if (this->ShuttingDown)
    return;
  this->ShuttingDown = true;
  this->StoppingSince = this->Loop.now();
  Telemetry::log(Events::GatewayShuttingDown, this->Callers->openExchanges());
  // The listener stays open until the balancer has left.
  this->Callers->startClosing(BalancerLeaves);
  this->StopTimer =
      this->Loop.callEvery(ShutdownPoll, [this] { this->checkShutdown(); });
}

void Gateway::checkShutdown() {
  const Common::Duration Passed = std::chrono::duration_cast<Common::Duration>(
      this->Loop.now() - this->StoppingSince);
  const bool Idle = this->Callers->openExchanges() == 0;
  const bool OutOfTime =
      Passed > this->Context.Settings.ShutdownTime - ShutdownMargin;
  if ((Idle && Passed > BalancerLeaves) || OutOfTime) {
    Telemetry::log(Events::Stopped, this->Callers->openExchanges());
    this->Loop.stop();
  }
}

} // namespace EntryDaemon
