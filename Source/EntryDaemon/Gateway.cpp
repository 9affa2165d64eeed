#include "EntryDaemon/Gateway.h"

#include "Common/Hash.h"
#include "Telemetry/LogEvents.h"
#include "platform/ConfigurationDocument.h"
#include "platform/ControlRequests.h"
#include "platform/RequestHeaders.h"

#include <absl/strings/str_cat.h>
#include <csignal>

namespace EntryDaemon {

namespace {

namespace Events = Telemetry::Events;

constexpr Common::Duration HousekeepingPeriod = std::chrono::seconds(5);
constexpr Common::Duration ReadinessCheckPeriod =
    std::chrono::milliseconds(500);
constexpr Common::Duration ResourceReportPeriod = std::chrono::seconds(1);
constexpr Common::Duration ShutdownCheckPeriod = std::chrono::milliseconds(50);
/// Delay until the next poll when a newer declaration exists than the one that
/// this daemon has.
constexpr Common::Duration CatchUpDelay = std::chrono::milliseconds(100);
/// Time for the state daemon to begin sending a newer declaration that answers
/// of the leader name. After that, the leader is asked for it.
constexpr Common::Duration PushDelay = std::chrono::milliseconds(300);
/// Token needs within this time share a request.
constexpr Common::Duration TokenRequestDelay = std::chrono::milliseconds(1);
/// The settings are also reloaded periodically, as they may change without a
/// signal.
constexpr Common::Duration SettingsReloadPeriod = std::chrono::seconds(5);

} // namespace

Routing::ServerTableOptions
GatewayContext::serverTableOptions(const GatewaySettings &Settings) {
  Routing::ServerTableOptions Result;
  Result.LocalDataCentre = Settings.DataCentre;
  Result.Seed = Common::hashBytes(Settings.Name.str());
  return Result;
}

Gateway::Gateway(Network::EventLoop &Loop, GatewaySettings Settings)
    : Loop(Loop), Context(Loop, std::move(Settings)),
      Resources(Loop.resources(), this->Context.Metrics) {}

absl::StatusOr<std::unique_ptr<Gateway>> Gateway::create(
    Network::EventLoop &Loop, GatewaySettings Settings,
    std::function<absl::StatusOr<GatewaySettings>()> ReloadSettings) {
  std::unique_ptr<Gateway> Result(new Gateway(Loop, std::move(Settings)));
  Result->ReloadSettings = std::move(ReloadSettings);
  Result->Context.Settings.Host.apply(Loop);
  Result->Context.Servers.awaitServices();
  if (absl::Status ListenStatus = Result->listen(); !ListenStatus.ok())
    return ListenStatus;
  Result->openControlLink();
  return Result;
}

absl::Status Gateway::listen() {
  Network::Http1Server::Handlers RequestHandlers;
  RequestHandlers.OnRequest =
      [this](const std::shared_ptr<Network::Http1Exchange> &Exchange) {
        this->handleRequest(Exchange);
      };
  RequestHandlers.OnRejected = [this](Network::Http1Server::Rejection Reason) {
    // In the order of the enum Rejection.
    constexpr const char *Names[] = {"malformed",      "headers_too_large",
                                     "body_too_large", "header_timeout",
                                     "body_stalled",   "overloaded"};
    const char *Name = Names[static_cast<std::size_t>(Reason)];
    this->Context.Metrics.incrementLabelledCounter("http_rejected_total",
                                                   "reason", Name);
    // Of a crowd, load_shed is one line for all.
    if (Reason < Network::Http1Server::Rejection::BodyStalled)
      Telemetry::log(Events::RequestUnreadable, Name);
  };
  RequestHandlers.OnClosed =
      [this](const Network::Http1Server::ClosedConnection &Closed) {
        this->recordClosedConnection(Closed);
      };
  auto RequestListener = Network::Http1Server::create(
      this->Loop, this->Context.Settings.Http, std::move(RequestHandlers));
  if (!RequestListener.ok())
    return RequestListener.status();
  this->RequestServer = std::move(*RequestListener);

  Network::Http1Server::Handlers ReadinessHandlers;
  ReadinessHandlers.OnRequest =
      [this](const std::shared_ptr<Network::Http1Exchange> &Exchange) {
        const bool PathMatches = Exchange->path() == Platform::ReadinessPath;
        Exchange->reply(!PathMatches      ? 404
                        : this->isReady() ? 200
                                          : 503,
                        {}, "");
      };
  auto ReadinessListener = Network::Http1Server::create(
      this->Loop, this->Context.Settings.ReadinessAddress,
      std::move(ReadinessHandlers));
  if (!ReadinessListener.ok())
    return ReadinessListener.status();
  this->ReadinessServer = std::move(*ReadinessListener);

  if (this->Context.Settings.MetricsPort == 0)
    return absl::OkStatus();
  auto MetricsListener = Network::Http1Server::serveText(
      this->Loop,
      Network::Address{this->Context.Settings.Http.Ip,
                       this->Context.Settings.MetricsPort},
      [this] {
        this->Context.Metrics.setGauge(
            "servers_resting",
            static_cast<double>(
                this->Context.Servers.countResting(this->Loop.now())));
        this->Context.Metrics.setGauge(
            "retry_budget_daemons",
            static_cast<double>(
                this->Context.Retries.sharingDaemons(this->Loop.now())));
        this->Context.Metrics.setGauge(
            "servers_of_other_speed",
            static_cast<double>(this->Context.Servers.countOfOtherSpeed()));
        return this->Context.Metrics.render();
      });
  if (!MetricsListener.ok())
    return MetricsListener.status();
  this->MetricsServer = std::move(*MetricsListener);
  return absl::OkStatus();
}

void Gateway::openControlLink() {
  ControlLink::Options LinkOptions;
  LinkOptions.Self = this->Context.Settings.Name;
  LinkOptions.DataCentre = this->Context.Settings.DataCentre;
  LinkOptions.Key = this->Context.Settings.Key;
  LinkOptions.Seeds = this->Context.Settings.seedLinkAddresses();
  LinkOptions.RandomSeed = Common::hashBytes(this->Context.Settings.Name.str());
  ControlLink::Handlers Handlers;
  Handlers.OnRegistryDelta = [this](const State::RegistryDelta &Delta) {
    return this->applyRegistryDelta(Delta);
  };
  Handlers.OnDeclaration = [this](const State::DeclarationPush &Push,
                                  const char *Source) {
    this->handleDeclaration(Push, Source);
  };
  Handlers.HeldVersion = [this] {
    return this->Context.Declaration
               ? std::optional(this->Context.Declaration->version())
               : std::nullopt;
  };
  Handlers.FillPoll = [this](State::EntryPoll &Poll) { this->fillPoll(Poll); };
  Handlers.OnPollAnswer = [this](const State::EntryPollResponse &Answer,
                                 Common::TimePoint PollSentAt) {
    this->applyPollAnswer(Answer, PollSentAt);
  };
  Handlers.OnTokenDecisions = [this](const State::TokenDecisions &Decided) {
    this->applyTokenDecisions(Decided);
  };
  Handlers.OnServerLoads = [this](const State::ServerLoads &Totals) {
    this->applyServerLoads(Totals);
  };
  Handlers.OnConnected = [this] { this->repeatTokenRequests(); };
  this->setReportHandlers(Handlers);
  if (this->Context.Settings.Rollouts)
    this->Context.Rollouts = std::make_unique<RolloutControl>(
        this->Context.Servers, this->Context.Metrics,
        [this] { this->Control->pollSoon(); });
  this->Control = std::make_unique<ControlLink>(
      this->Loop, std::move(LinkOptions), std::move(Handlers));
  this->Context.RequestTokensSoon = [this] {
    if (this->TokenRequestScheduled)
      return;
    this->TokenRequestScheduled = true;
    this->TokenRequestTimer = this->Loop.callAfter(
        TokenRequestDelay, [this] { this->sendTokenRequest(); });
  };
}

int Gateway::run() {
  const auto Stop = [this] { this->shutDown(); };
  this->EventHandles.push_back(this->Loop.onSignal(SIGTERM, Stop));
  this->EventHandles.push_back(this->Loop.onSignal(SIGINT, Stop));
  this->EventHandles.push_back(
      this->Loop.onSignal(SIGHUP, [this] { this->reloadSettings(); }));
  this->EventHandles.push_back(this->Loop.callEvery(
      SettingsReloadPeriod, [this] { this->reloadSettings(); }));
  this->EventHandles.push_back(this->Loop.callEvery(HousekeepingPeriod, [this] {
    this->Context.Servers.removeExpired(this->Loop.now());
    this->Context.Liveness.removeExpired(this->Loop.now());
  }));
  this->EventHandles.push_back(this->Loop.callEvery(
      ResourceReportPeriod, [this] { this->Resources.update(); }));
  this->EventHandles.push_back(this->Loop.callEvery(
      ReadinessCheckPeriod, [this] { this->logReadinessChange(); }));
  this->startRolloutTimers();
  Telemetry::log(Events::GatewayStarted, this->Context.Settings.Http.str());
  this->Loop.run();
  return 0;
}

void Gateway::handleRequest(
    const std::shared_ptr<Network::Http1Exchange> &Exchange) {
  this->Context.Metrics.incrementCounter("requests_total");
  std::make_shared<RoutedCall>(this->Context, Exchange)->start();
}

void Gateway::recordClosedConnection(
    const Network::Http1Server::ClosedConnection &Closed) {
  using Closure = Network::Http1Server::Closure;
  // In the order of the enum Closure.
  constexpr const char *Names[] = {"complete", "aborted", "expired",
                                   "disconnected", "stopped"};
  const char *Name = Names[static_cast<std::size_t>(Closed.Reason)];
  this->Context.Metrics.incrementLabelledCounter("connections_closed_total",
                                                 "reason", Name);
  if (Closed.HasUnreadInput)
    this->Context.Metrics.incrementLabelledCounter(
        "connections_closed_unread_total", "reason", Name);
  if (!Closed.Unfinished || Closed.Reason == Closure::Disconnected)
    return;
  this->Context.Metrics.incrementLabelledCounter("connections_cut_total",
                                                 "reason", Name);
  const Network::Http1Exchange &Exchange = *Closed.Unfinished;
  const char *Response = Closed.UnsentBytes != 0  ? "unsent"
                         : Exchange.isStreaming() ? "streaming"
                                                  : "none";
  Telemetry::log(
      Events::ConnectionCut, Platform::requestId(Exchange.head().Headers), Name,
      Response, Closed.UnsentBytes, Closed.HasUnreadInput ? "1" : "0",
      Common::toMilliseconds(this->Loop.now() - Exchange.receivedAt()),
      Common::toMilliseconds(this->Context.Shutdown.elapsed(this->Loop.now())));
}

std::vector<Common::BackendServerId>
Gateway::applyRegistryDelta(const State::RegistryDelta &Delta) {
  const Common::TimePoint Now = this->Loop.now();
  for (const Membership::ServerRecord &Each : Delta.Changed) {
    if (!this->Context.Servers.apply(Each, Now))
      continue;
    Telemetry::log(Events::ServerKnown, Each.Id.str(),
                   Membership::nameOf(Each.Phase), Each.StartedAt,
                   Each.Sequence);
  }
  using Outcome = Membership::ServerRegistry::RefreshOutcome;
  std::vector<Common::BackendServerId> Missing;
  for (const State::ServerRefresh &Each : Delta.Refreshed) {
    if (this->Context.Servers.refresh(Each.Id, Each.StartedAt, Each.Sequence,
                                      Each.Phase,
                                      Now) != Outcome::RecordMissing)
      continue;
    this->Context.Metrics.incrementCounter("server_records_missing_total");
    Telemetry::log(Events::ServerRecordMissing, Each.Id.str(), Each.StartedAt,
                   Each.Sequence);
    Missing.push_back(Each.Id);
  }
  if (this->Context.Rollouts)
    this->Context.Rollouts->refresh(Now);
  return Missing;
}

void Gateway::handleDeclaration(const State::DeclarationPush &Push,
                                const char *Source) {
  const Common::TimePoint ReceivedAt = this->Loop.now();
  const DeclarationOutcome Outcome = this->applyDeclaration(Push);
  // In the order of the enum DeclarationOutcome.
  constexpr const char *Names[] = {"installed", "not_newer", "unreadable"};
  const char *Name = Names[static_cast<std::size_t>(Outcome)];
  this->Context.Metrics.incrementLabelledCounter("declarations_received_total",
                                                 "outcome", Name);
  Telemetry::log(Events::DeclarationReceived, Push.Version.Value, Source,
                 Push.Document.size(), Name,
                 Common::toMilliseconds(this->Loop.now() - ReceivedAt));
}

Gateway::DeclarationOutcome
Gateway::applyDeclaration(const State::DeclarationPush &Push) {
  const auto IsNewer = [this](Common::ConfigurationVersion Version) {
    return !this->Context.Declaration ||
           Version > this->Context.Declaration->version();
  };
  if (!IsNewer(Push.Version)) {
    if (Push.Version == this->Context.Declaration->version())
      this->StoredVersion = Push.Version;
    return DeclarationOutcome::NotNewer;
  }
  auto Decoded = Platform::decodeStoredConfiguration(Push.Document);
  if (!Decoded.ok()) {
    Telemetry::log(Events::DeclarationUnreadable, Push.Version.Value,
                   Decoded.status().message());
    return DeclarationOutcome::Unreadable;
  }
  this->StoredVersion = Push.Version;
  if (!IsNewer(Decoded->version()))
    return DeclarationOutcome::NotNewer;
  this->Context.Declaration =
      std::make_shared<const Configuration::ServiceMap>(std::move(*Decoded));
  this->Context.Servers.setServices(this->Context.Declaration->serviceNames(),
                                    this->Loop.now());
  if (this->Context.Rollouts)
    this->Context.Rollouts->refresh(this->Loop.now());
  const Configuration::RequestLimits &Declared =
      this->Context.Declaration->limits();
  Network::Http1Server::Limits Limits;
  Limits.MaxHeaderBytes = Declared.MaxHeaderBytes;
  Limits.MaxBodyBytes = Declared.MaxBodyBytes;
  Limits.HeaderTimeout = Declared.HeaderTimeout;
  Limits.IdleTimeout = Declared.IdleTimeout;
  if (!this->Context.Shutdown.isStarted())
    this->RequestServer->setLimits(Limits);
  Telemetry::log(Events::DeclarationInForce, Push.Version.Value);
  // The state daemon may be about to send the next one.
  if (this->OutdatedSince)
    this->OutdatedSince = this->Loop.now();
  // Earlier polls were answered for the older version; only a new poll can
  // confirm this one.
  this->Control->pollSoon();
  return DeclarationOutcome::Installed;
}

void Gateway::fillPoll(State::EntryPoll &Poll) {
  const Common::TimePoint Now = this->Loop.now();
  if (this->Context.Declaration)
    Poll.InstalledVersion = this->Context.Declaration->version();
  Poll.Usage = this->Context.Usage.counts();
  for (const auto &Each : this->Context.Servers.reportLoads())
    Poll.Loads.push_back({Each.Id, Each.Requests, Each.PromptTokens});
  if (this->needsDeclarationFromLeader())
    Poll.NewestSeenVersion = this->NewestVersion;
  Poll.EntryCount = this->EntryCount;
  for (const auto &Each : this->Context.Grants.recent(Now))
    Poll.RecentGrants.push_back({Each.Team, Each.CumulativeTokens});
  for (const auto &[Service, Engines] : this->Context.Demand.busyEngines(Now))
    Poll.Services.push_back({Service, Engines});
  Poll.Crashes = this->Context.CrashingContents.recentReports(Now);
  this->Context.PromptCrashes.fillPoll(Poll, this->Context.Servers.registry(),
                                       this->Context.Liveness, Now);
  Poll.UsedRefusals = this->Context.Refusals.takeUsed();
}

bool Gateway::needsDeclarationFromLeader() const {
  return this->OutdatedSince &&
         this->Loop.now() - *this->OutdatedSince >= PushDelay &&
         !this->Control->isReceiving();
}

void Gateway::applyPollAnswer(const State::EntryPollResponse &Answer,
                              Common::TimePoint PollSentAt) {
  const Common::TimePoint Now = this->Loop.now();
  // Calls that wait for this answer are checked against its refusals.
  this->Context.Refusals.replace(Answer.Refusals, Now);
  this->Context.Refusals.grantProbes(Answer.Probes, Now);
  this->Context.PromptCrashes.setSuspects(Answer.Suspects);
  this->NewestVersion = std::max(this->NewestVersion, Answer.NewestVersion);
  if (Answer.Declaration)
    this->handleDeclaration(*Answer.Declaration, "poll_answer");
  const bool Current =
      this->Context.Declaration &&
      (Answer.NewestVersion <= this->Context.Declaration->version() ||
       Answer.NewestVersion == this->StoredVersion);
  const bool Outdated =
      !this->Context.Declaration ||
      Answer.NewestVersion > this->Context.Declaration->version();
  if (!Outdated)
    this->OutdatedSince.reset();
  else if (!this->OutdatedSince)
    this->OutdatedSince = Now;
  if (Current && (!this->Context.DeclarationConfirmedAt ||
                  *this->Context.DeclarationConfirmedAt < PollSentAt))
    this->Context.DeclarationConfirmedAt = PollSentAt;
  if (Current) {
    std::vector<std::shared_ptr<RoutedCall>> Calls;
    Calls.swap(this->Context.CallsAwaitingDeclaration);
    for (const auto &Each : Calls)
      Each->continueAfterStartup();
  }
  this->EntryCount = Answer.EntryCount;
  if (!Current)
    this->Control->schedulePoll(CatchUpDelay);
  this->Context.Retries.updateDaemons(Answer.EntryCount, PollSentAt, Now);
  if (Answer.ReferenceTime.Milliseconds != 0)
    this->Context.Usage.setReferenceTime(Answer.ReferenceTime, PollSentAt, Now);
}

void Gateway::applyServerLoads(const State::ServerLoads &Totals) {
  std::vector<Routing::ServerTable::Load> Loads;
  Loads.reserve(Totals.Loads.size());
  for (const State::ServerLoad &Each : Totals.Loads)
    Loads.push_back({Each.Id, Each.Requests, Each.PromptTokens});
  this->Context.Servers.setTotalLoads(Loads);
}

void Gateway::sendTokenRequest() {
  this->TokenRequestScheduled = false;
  // If the link is down, the needs are sent again once it is connected.
  if (this->Control->requestTokens(this->Context.PendingTokens))
    this->Context.PendingTokens.Returned.clear();
  this->Context.PendingTokens.Needs.clear();
}

void Gateway::repeatTokenRequests() {
  this->Context.PendingTokens.Needs.clear();
  for (const auto &Each : this->Context.CallsAwaitingTokens)
    this->Context.PendingTokens.Needs.push_back(Each.second->tokenNeed());
  if (!this->Context.PendingTokens.Needs.empty())
    this->Context.RequestTokensSoon();
}

void Gateway::applyTokenDecisions(const State::TokenDecisions &Decided) {
  for (const State::TokenDecision &Each : Decided.Decisions) {
    const auto Found = this->Context.CallsAwaitingTokens.find(Each.Number);
    if (Found == this->Context.CallsAwaitingTokens.end())
      continue;
    const std::shared_ptr<RoutedCall> Call = Found->second;
    Call->handleTokenDecision(Each);
  }
}

bool Gateway::isReady() const {
  return !this->Context.Shutdown.isStarted() &&
         this->Context.declarationValid(this->Loop.now());
}

void Gateway::logReadinessChange() {
  const bool Ready = this->isReady();
  if (Ready == this->LastReady)
    return;
  this->LastReady = Ready;
  Telemetry::log(Events::Readiness, Ready ? "1" : "0");
}

void Gateway::reloadSettings() {
  const auto Reloaded = this->ReloadSettings();
  if (!Reloaded.ok()) {
    Telemetry::log(Events::ReloadFailed, Reloaded.status().message());
    return;
  }
  if (Reloaded->Seeds == this->Context.Settings.Seeds)
    return;
  this->Context.Settings.Seeds = Reloaded->Seeds;
  this->Control->setSeeds(Reloaded->seedLinkAddresses());
  Telemetry::log(Events::Reload, "seeds");
}

void Gateway::shutDown() {
  if (this->Context.Shutdown.isStarted())
    return;
  this->Context.Shutdown.start(this->Loop.now());
  Telemetry::log(Events::GatewayShuttingDown,
                 this->RequestServer->openExchanges());
  // The listener stays open until the load balancer stops sending connections.
  this->RequestServer->startShutdown(
      this->Context.Shutdown.options().BalancerDrainTime);
  this->ShutdownTimer = this->Loop.callEvery(ShutdownCheckPeriod,
                                             [this] { this->checkShutdown(); });
}

void Gateway::checkShutdown() {
  using Action = Admission::ShutdownSchedule::Action;
  const Common::TimePoint Now = this->Loop.now();
  const std::size_t Open = this->RequestServer->openExchanges();
  const Action Next = this->Context.Shutdown.nextAction(Now, Open == 0);
  if (Next == Action::EndRequests) {
    while (!this->Context.OpenCalls.empty()) {
      const std::shared_ptr<RoutedCall> Call = *this->Context.OpenCalls.begin();
      Call->endBeforeStop();
      this->EndedRequests = true;
    }
    return;
  }
  if (Next != Action::Stop)
    return;
  this->RequestServer->closeAll();
  const char *Reason = Open != 0             ? "timed_out"
                       : this->EndedRequests ? "ended_requests"
                                             : "idle";
  Telemetry::log(Events::Stopped, Open, Reason,
                 Common::toMilliseconds(this->Context.Shutdown.elapsed(Now)));
  this->Loop.stop();
}

} // namespace EntryDaemon
