#include "StateDaemon/Controller.h"

#include "Network/Codec.h"
#include "Telemetry/LogEvents.h"
#include "platform/ConfigurationDocument.h"
#include "platform/ControlRequests.h"
#include "platform/Heartbeat.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <csignal>

namespace StateDaemon {

namespace {

namespace Events = Telemetry::Events;

/// How often the leader checks its members, and a daemon without a leader asks
/// to join.
constexpr Common::Duration GroupCheckPeriod = std::chrono::milliseconds(300);
/// Heartbeats that change nothing but the time of the last one are forwarded in
/// batches, once per period.
constexpr Common::Duration RefreshFlushPeriod = std::chrono::milliseconds(300);
/// Entry daemons only need them often enough not to take a server for silent.
constexpr Common::Duration EntryRefreshPeriod = std::chrono::milliseconds(900);
constexpr Common::Duration LoadPublishPeriod = std::chrono::milliseconds(250);
constexpr Common::Duration RefusalPlanPeriod = std::chrono::milliseconds(100);
constexpr Common::Duration ReportPublishPeriod = std::chrono::milliseconds(100);
/// Token needs within this time share a request to the leader.
constexpr Common::Duration TokenDemandDelay = std::chrono::milliseconds(2);
/// How often reserves are refilled and expired needs are refused.
constexpr Common::Duration TokenCheckPeriod = std::chrono::milliseconds(100);
/// Must be far longer than any delay of a heartbeat, so that a late one cannot
/// bring back a server that has left.
constexpr Common::Duration ServerRetention = std::chrono::minutes(10);
constexpr Common::Duration ExpiryPeriod = std::chrono::minutes(1);
constexpr Common::Duration ShutdownLimit = std::chrono::seconds(2);
constexpr std::size_t MaxDocumentBytes = 16u << 20;
constexpr Common::Duration ResourceReportPeriod = std::chrono::seconds(1);
constexpr Common::Duration HttpIdleTimeout = std::chrono::seconds(30);

} // namespace

Controller::Controller(Network::EventLoop &Loop, ControllerSettings Settings)
    : Loop(Loop), Settings(std::move(Settings)),
      ServerEnds(this->State, this->serverEndHandlers()),
      Orders(this->State, this->Settings.AckTime, this->rolloutOrderHandlers()),
      Tokens(this->Settings.Tolerance),
      Resources(Loop.resources(), this->Metrics) {}

absl::StatusOr<std::unique_ptr<Controller>>
Controller::create(Network::EventLoop &Loop, ControllerSettings Settings) {
  std::unique_ptr<Controller> Result(new Controller(Loop, std::move(Settings)));
  Result->Settings.Host.apply(Loop);
  Result->Registry.awaitServices();
  if (absl::Status Listening = Result->listen(); !Listening.ok())
    return Listening;
  return Result;
}

absl::Status Controller::listen() {
  this->Client = std::make_unique<Network::Http1Client>(this->Loop);
  Network::FrameServer::Handlers FrameHandlers;
  FrameHandlers.OnPayload = [this](Network::ConnectionId From,
                                   const std::string &Payload) {
    this->handleFrame(From, Payload);
  };
  FrameHandlers.OnClosed = [this](Network::ConnectionId From) {
    std::erase_if(this->Entries,
                  [From](const auto &Each) { return Each.second == From; });
    std::erase_if(this->PeerLevels, [From](const auto &Each) {
      return Each.second.Connection == From;
    });
    this->Declarations.remove(From);
  };
  FrameHandlers.OnRefused = [this](Common::RefusalReason Reason) {
    this->Metrics.recordRefusal(Reason);
  };
  const Network::Address LinkAddress{this->Settings.Http.Ip,
                                     this->Settings.LinkPort};
  auto Server = Network::FrameServer::create(
      this->Loop, LinkAddress, this->Settings.Key, std::move(FrameHandlers));
  if (!Server.ok())
    return Server.status();
  this->LinkServer = std::move(*Server);

  Network::Http1Server::Handlers HttpHandlers;
  HttpHandlers.OnRequest =
      [this](const std::shared_ptr<Network::Http1Exchange> &Exchange) {
        this->handleHttp(Exchange);
      };
  HttpHandlers.OnRejected = [this](Network::Http1Server::Rejection) {
    this->Metrics.incrementCounter("http_rejected_total");
  };
  auto Http = Network::Http1Server::create(this->Loop, this->Settings.Http,
                                           std::move(HttpHandlers));
  if (!Http.ok())
    return Http.status();
  this->Http = std::move(*Http);
  Network::Http1Server::Limits Limits;
  Limits.MaxBodyBytes = MaxDocumentBytes;
  Limits.IdleTimeout = HttpIdleTimeout;
  this->Http->setLimits(Limits);

  if (this->Settings.MetricsPort != 0) {
    auto MetricsServer = Network::Http1Server::serveText(
        this->Loop,
        Network::Address{this->Settings.Http.Ip, this->Settings.MetricsPort},
        [this] {
          this->updateGauges();
          return this->Metrics.render();
        });
    if (!MetricsServer.ok())
      return MetricsServer.status();
    this->MetricsHttp = std::move(*MetricsServer);
  }
  this->Driver =
      std::make_unique<ReplicaDriver>(this->Loop, this->replicaOptions(),
                                      this->replicaHandlers(), this->Metrics);
  return absl::OkStatus();
}

ReplicaDriver::Handlers Controller::replicaHandlers() {
  ReplicaDriver::Handlers Result;
  Result.Restore = [this](const std::string &Data) -> absl::Status {
    auto Restored = State::ControlState::restore(Data);
    if (!Restored.ok())
      return Restored.status();
    this->State = std::move(*Restored);
    this->applyServerEnds(this->State.serverEnds());
    this->schedulePushDeclaration();
    return absl::OkStatus();
  };
  Result.Apply = [this](const Consensus::LogEntry &Entry) {
    return this->apply(Entry);
  };
  Result.TakeSnapshot = [this] { return this->State.snapshot(); };
  Result.Send = [this](const Consensus::Message &Message) {
    this->sendMessage(Message);
  };
  Result.OnChange = [this] {
    // Deferred, as the driver may be in the middle of processing actions.
    this->Loop.defer([this] { this->handleGroupChange(); });
  };
  return Result;
}

int Controller::run() {
  const auto Stop = [this] { this->shutDown(); };
  this->EventHandles.push_back(this->Loop.onSignal(SIGTERM, Stop));
  this->EventHandles.push_back(this->Loop.onSignal(SIGINT, Stop));
  // All settings are read at the start only, so SIGHUP reloads nothing.
  this->EventHandles.push_back(this->Loop.onSignal(
      SIGHUP, [] { Telemetry::log(Events::Reload, "nothing"); }));
  this->EventHandles.push_back(this->Loop.callEvery(
      ResourceReportPeriod, [this] { this->Resources.update(); }));
  this->EventHandles.push_back(this->Loop.callEvery(GroupCheckPeriod, [this] {
    this->requestJoin();
    this->adjustMembership();
    this->raiseProtocolLevel();
    this->correctDeclarationVersion();
    if (this->Tracker)
      this->Tracker->addOwnClock(this->Settings.Name, this->Loop.wallNow(),
                                 this->Loop.now());
  }));
  this->EventHandles.push_back(this->Loop.callEvery(
      RefreshFlushPeriod, [this] { this->flushRefreshes(); }));
  this->EventHandles.push_back(this->Loop.callEvery(
      EntryRefreshPeriod, [this] { this->flushEntryRefreshes(); }));
  this->EventHandles.push_back(this->Loop.callEvery(
      LoadPublishPeriod, [this] { this->publishLoads(); }));
  this->EventHandles.push_back(this->Loop.callEvery(TokenCheckPeriod, [this] {
    this->Tokens.refuseExpired(this->Loop.now());
    this->sendTokenDemand();
    this->sendTokenDecisions();
  }));
  this->EventHandles.push_back(this->Loop.callEvery(
      RefusalPlanPeriod, [this] { this->proposeRefusals(); }));
  this->EventHandles.push_back(this->Loop.callEvery(
      ReportPublishPeriod, [this] { this->publishReports(); }));
  this->EventHandles.push_back(this->Loop.callEvery(ExpiryPeriod, [this] {
    this->Registry.removeExpired(this->Loop.now(), ServerRetention);
  }));
  this->LeaderLastKnownAt = this->Loop.now();
  Telemetry::log(Events::ControllerStarted, this->Settings.Http.str(),
                 this->Settings.FirstStart ? "1" : "0");
  this->Driver->open();
  this->Loop.run();
  return 0;
}

absl::StatusOr<State::CommandEffect>
Controller::apply(const Consensus::LogEntry &Entry) {
  auto Command = Network::decode<State::ControlCommand>(Entry.Payload);
  if (!Command.ok())
    return Command.status();
  const State::CommandEffect Effect = this->State.apply(*Command);
  if (const auto *Recorded =
          std::get_if<State::RecordServerEndsCommand>(&*Command))
    this->applyServerEnds(Recorded->Ends);
  this->schedulePushDeclaration();
  return Effect;
}

void Controller::schedulePushDeclaration() {
  if (this->DeclarationPushScheduled)
    return;
  this->DeclarationPushScheduled = true;
  this->Loop.defer([this] {
    this->DeclarationPushScheduled = false;
    this->pushDeclaration();
  });
}

void Controller::pushDeclaration() {
  const Common::ConfigurationVersion Version = this->State.declarationVersion();
  // A replica that is opened again replays its log.
  const bool Replayed =
      this->Declaration && Version < this->Declaration->version();
  if (!this->State.hasDeclaration() || Replayed ||
      Version == this->PushedVersion)
    return;
  this->PushedVersion = Version;
  Telemetry::log(Events::DeclarationInForce, Version.Value);
  this->publishDeclaration();
  this->decodeDeclaration();
  if (this->Duties)
    this->Duties->setDeclaration(this->Declaration);
}

void Controller::decodeDeclaration() {
  auto Map = Platform::decodeStoredConfiguration(this->State.document());
  if (!Map.ok()) {
    // Unexpected: the document was decoded once before it was proposed.
    Telemetry::log(Events::DeclarationUnreadable,
                   this->State.declarationVersion().Value,
                   Map.status().message());
    this->DocumentVersion = this->State.declarationVersion();
    return;
  }
  this->DocumentVersion = Map->version();
  this->Declaration =
      std::make_shared<const Configuration::ServiceMap>(std::move(*Map));
  this->Tokens.setDeclaration(this->Declaration);
  for (const Membership::ServerRecord &Each : this->Registry.setServices(
           this->Declaration->serviceNames(), this->Loop.now()))
    this->updateServer(Each);
}

Common::ConfigurationVersion Controller::declaredVersion() const {
  const Common::ConfigurationVersion Stored = this->State.declarationVersion();
  // Otherwise the document has not been decoded yet.
  const bool IsDecoded = this->PushedVersion == Stored;
  return IsDecoded ? std::min(Stored, this->DocumentVersion) : Stored;
}

bool Controller::isNewerThanDeclaration(
    Common::ConfigurationVersion Version) const {
  return !this->State.hasDeclaration() || Version > this->declaredVersion();
}

bool Controller::takesEffect(Common::ConfigurationVersion Version) const {
  if (this->State.hasDeclaration())
    return Version > this->State.declarationVersion();
  return Version.Value != 0 ||
         this->State.protocolLevel() >= State::CorrectedVersionsLevel;
}

void Controller::correctDeclarationVersion() {
  const Common::ConfigurationVersion Stored = this->State.declarationVersion();
  const Common::ConfigurationVersion Corrected = this->declaredVersion();
  if (Corrected == Stored || !this->Driver->holdsLeadership() ||
      this->State.protocolLevel() < State::CorrectedVersionsLevel)
    return;
  this->Driver->propose(
      Network::encode(State::ControlCommand(
          State::CorrectVersionCommand{Stored, Corrected})),
      [Stored, Corrected](ReplicaDriver::ProposalOutcome Outcome) {
        if (Outcome == ReplicaDriver::ProposalOutcome::Applied)
          Telemetry::log(Events::DeclarationVersionCorrected, Stored.Value,
                         Corrected.Value);
      });
}

void Controller::handleFrame(Network::ConnectionId From,
                             const std::string &Payload) {
  auto Frame = Network::decode<State::ControlFrame>(Payload);
  if (!Frame.ok()) {
    this->Metrics.recordRefusal(Common::RefusalReason::UndecodableFrame);
    return;
  }
  if (const auto *Message = std::get_if<Consensus::Message>(&*Frame)) {
    const auto *Replica = this->Driver->replica();
    if (Replica && !Replica->membership().find(Message->From))
      this->NonMemberConnections[Message->From] = From;
    this->Driver->step(*Message);
  } else if (const auto *Join = std::get_if<State::JoinRequest>(&*Frame))
    this->handleJoinRequest(*Join);
  else if (const auto *Leave = std::get_if<State::LeaveRequest>(&*Frame))
    this->handleLeaveRequest(From, *Leave);
  else if (const auto *Delta = std::get_if<State::RegistryDelta>(&*Frame))
    this->mergeRegistryDelta(From, *Delta);
  else if (const auto *Versions = std::get_if<State::ServerVersions>(&*Frame))
    this->mergeServerVersions(*Versions);
  else if (const auto *Hello = std::get_if<State::EntryHello>(&*Frame))
    this->handleEntryHello(From, *Hello);
  else if (auto *Poll = std::get_if<State::EntryPoll>(&*Frame))
    this->handleEntryPoll(From, std::move(*Poll));
  else if (const auto *Needs = std::get_if<State::TokenRequest>(&*Frame))
    this->handleTokenRequest(*Needs);
  else if (const auto *Demand = std::get_if<State::TokenPoolRequest>(&*Frame))
    this->handleTokenPoolRequest(From, *Demand);
  else if (const auto *Ends = std::get_if<State::ServerEndRequest>(&*Frame))
    this->handleServerEndRequest(From, *Ends);
  else if (const auto *Peer = std::get_if<State::PeerHello>(&*Frame))
    this->handlePeerHello(From, *Peer);
  else if (const auto *Wanted = std::get_if<State::DeclarationRequest>(&*Frame))
    this->handleDeclarationRequest(From, *Wanted);
  else if (const auto *Request =
               std::get_if<State::ServerRecordRequest>(&*Frame))
    for (const auto &Each : this->registryFrames(this->recordsOf(*Request)))
      this->sendTo(From, Each);
  else if (auto *Report = std::get_if<State::EntryReport>(&*Frame))
    this->handleEntryReport(From, std::move(*Report));
  else if (std::get_if<State::ServerLoads>(&*Frame) ||
           std::get_if<State::EntryDirectives>(&*Frame) ||
           std::get_if<State::ServerSpeeds>(&*Frame))
    // Passed on as received.
    this->LinkServer->broadcast(this->entryConnections(), Payload);
}

void Controller::handleLinkFrame(const Network::Address &Peer,
                                 const std::string &Payload) {
  auto Frame = Network::decode<State::ControlFrame>(Payload);
  if (!Frame.ok()) {
    this->Metrics.recordRefusal(Common::RefusalReason::UndecodableFrame);
    return;
  }
  if (const auto *Answer = std::get_if<State::EntryPollResponse>(&*Frame))
    this->forwardPollAnswer(*Answer);
  else if (const auto *Directives =
               std::get_if<State::EntryDirectives>(&*Frame))
    this->forwardDirectives(*Directives);
  else if (const auto *Grant = std::get_if<State::TokenPoolGrant>(&*Frame))
    this->handleTokenPoolGrant(*Grant);
  else if (const auto *Message = std::get_if<Consensus::Message>(&*Frame))
    this->Driver->step(*Message);
  else if (const auto *Confirmed =
               std::get_if<State::ServerEndConfirmation>(&*Frame))
    this->ServerEnds.confirm(Confirmed->Ends);
  else if (std::get_if<State::LeaveConfirmation>(&*Frame))
    this->LeaveConfirmed = true;
  else if (const auto *Request =
               std::get_if<State::ServerRecordRequest>(&*Frame)) {
    const auto Link = this->Links.find(Peer);
    if (Link == this->Links.end())
      return;
    for (const auto &Each : this->registryFrames(this->recordsOf(*Request)))
      Link->second->send(Network::encode(Each));
  }
}

void Controller::sendTo(Network::ConnectionId To,
                        const State::ControlFrame &Frame) {
  this->LinkServer->send(To, Network::encode(Frame));
}

void Controller::broadcastToEntries(const State::ControlFrame &Frame) {
  if (this->Entries.empty())
    return;
  this->LinkServer->broadcast(this->entryConnections(), Network::encode(Frame));
}

std::vector<Network::ConnectionId> Controller::entryConnections() const {
  std::vector<Network::ConnectionId> Result;
  Result.reserve(this->Entries.size());
  for (const auto &Each : this->Entries)
    Result.push_back(Each.second);
  return Result;
}

void Controller::broadcastToPeers(const State::ControlFrame &Frame) {
  const std::string Payload = Network::encode(Frame);
  for (const auto &Each : this->Links)
    Each.second->send(Payload);
}

State::StateEndpoints Controller::stateEndpoints() const {
  State::StateEndpoints Result;
  const auto *Replica = this->Driver->replica();
  if (Replica)
    for (const Consensus::Member &Each : Replica->membership().members())
      Result.Endpoints.push_back({Each.Address, Each.DataCentre});
  return Result;
}

void Controller::handleEntryHello(Network::ConnectionId From,
                                  const State::EntryHello &Hello) {
  this->Entries[Hello.Entry] = From;
  Telemetry::log(Events::EntryConnected, Hello.Entry.str());
  this->sendTo(From, this->stateEndpoints());
  for (const auto &Each : this->registryFrames(this->registrySnapshot()))
    this->sendTo(From, Each);
  if (this->State.hasDeclaration() && !this->Declarations.contains(From))
    this->sendTo(From, State::DeclarationPush{this->State.declarationVersion(),
                                              this->State.document()});
}

void Controller::handleEntryPoll(Network::ConnectionId From,
                                 State::EntryPoll Poll) {
  if (this->Driver->holdsLeadership() && this->Tracker) {
    auto Answer = this->Tracker->handlePoll(
        Poll, this->State.hasDeclaration() ? this->Declaration.get() : nullptr,
        this->State, this->Loop.now());
    this->sendTo(From, Answer);
    return;
  }
  const bool FromEntry =
      this->Entries.count(Poll.Entry) != 0 && this->Entries[Poll.Entry] == From;
  // A poll is forwarded at most once: only if it comes directly from the entry
  // daemon.
  if (!FromEntry)
    return;
  if (Network::FrameClient *Leader = this->leaderLink())
    Leader->send(Network::encode(State::ControlFrame(std::move(Poll))));
}

Network::FrameClient *Controller::leaderLink() {
  const auto *Replica = this->Driver->replica();
  if (!Replica)
    return nullptr;
  const Consensus::Member *Leader =
      Replica->membership().find(Replica->leader());
  if (!Leader || Leader->Id == Replica->self())
    return nullptr;
  const auto Link = this->Links.find(Leader->Address);
  return Link == this->Links.end() ? nullptr : Link->second.get();
}

void Controller::handleTokenRequest(const State::TokenRequest &Request) {
  this->Tokens.handleRequest(Request, this->Loop.now());
  this->sendTokenDecisions();
  if (this->Tokens.hasWaiting())
    this->scheduleTokenDemand();
}

void Controller::scheduleTokenDemand() {
  if (this->TokenDemandScheduled)
    return;
  this->TokenDemandScheduled = true;
  this->TokenDemandTimer = this->Loop.callAfter(TokenDemandDelay, [this] {
    this->TokenDemandScheduled = false;
    this->sendTokenDemand();
    this->sendTokenDecisions();
  });
}

void Controller::sendTokenDemand() {
  const Common::TimePoint Now = this->Loop.now();
  const auto *Replica = this->Driver->replica();
  if (!Replica)
    return;
  this->Tokens.setHolders(Replica->membership().members().size());
  const bool Leads = this->Driver->holdsLeadership() && this->Tracker;
  Network::FrameClient *Leader = Leads ? nullptr : this->leaderLink();
  if (!Leads && (!Leader || !Leader->isConnected()))
    return;
  const auto Demand = this->Tokens.takeDemand(Now);
  if (!Demand)
    return;
  if (Leads)
    this->Tokens.handleGrant(
        this->Tracker->grantTokens(*Demand, this->Declaration.get(), Now), Now);
  else
    Leader->send(Network::encode(State::ControlFrame(*Demand)));
}

void Controller::handleTokenPoolRequest(
    Network::ConnectionId From, const State::TokenPoolRequest &Request) {
  if (this->Driver->holdsLeadership() && this->Tracker)
    this->sendTo(From, this->Tracker->grantTokens(
                           Request, this->Declaration.get(), this->Loop.now()));
}

void Controller::handleTokenPoolGrant(const State::TokenPoolGrant &Grant) {
  this->Tokens.handleGrant(Grant, this->Loop.now());
  this->sendTokenDecisions();
}

void Controller::sendTokenDecisions() {
  for (State::TokenDecisions &Each : this->Tokens.takeDecisions()) {
    const auto Entry = this->Entries.find(Each.Entry);
    if (Entry != this->Entries.end())
      this->sendTo(Entry->second, std::move(Each));
  }
}

void Controller::publishLoads() {
  if (!this->Tracker || !this->Driver->holdsLeadership())
    return;
  this->Tracker->expire(this->Loop.now());
  const State::ControlFrame Frame = this->Tracker->totalLoads();
  this->broadcastToPeers(Frame);
  this->broadcastToEntries(Frame);
}

void Controller::proposeRefusals() {
  if (!this->Tracker || !this->Driver->holdsLeadership())
    return;
  for (const State::ControlCommand &Each : this->Tracker->planRefusals(
           this->State, this->Registry, this->Loop.now()))
    this->Driver->propose(Network::encode(Each), nullptr);
}

void Controller::forwardPollAnswer(const State::EntryPollResponse &Answer) {
  const auto Entry = this->Entries.find(Answer.Entry);
  if (Entry != this->Entries.end())
    this->sendTo(Entry->second, Answer);
}

void Controller::updateGauges() {
  const auto *Replica = this->Driver->replica();
  this->Metrics.setGauge("replica_open", Replica ? 1 : 0);
  this->Metrics.setGauge(
      "declaration_version",
      static_cast<double>(this->State.declarationVersion().Value));
  this->Metrics.setGauge("refusals_in_force",
                         static_cast<double>(this->State.refusals().size()));
  this->Metrics.setGauge(
      "protocol_level", static_cast<double>(this->State.protocolLevel().Value));
  this->Metrics.setGauge("server_ends_pending",
                         static_cast<double>(this->ServerEnds.pending()));
  std::size_t RunningRollouts = 0;
  for (const auto &Each : this->State.rollouts().services())
    RunningRollouts += Each.second.isRunning() ? 1 : 0;
  this->Metrics.setGauge("rollouts_running",
                         static_cast<double>(RunningRollouts));
  this->Metrics.setGauge("entries_connected",
                         static_cast<double>(this->Entries.size()));
  this->Metrics.setGauge("leading", this->Driver->holdsLeadership() ? 1 : 0);
  if (!Replica)
    return;
  this->Metrics.setGauge("term", static_cast<double>(Replica->term().Value));
  this->Metrics.setGauge(
      "voters", static_cast<double>(Replica->membership().voterCount()));
  this->Metrics.setGauge(
      "members", static_cast<double>(Replica->membership().members().size()));
  double LostOrBehind = 0;
  if (this->Driver->holdsLeadership())
    for (const auto &Each : this->memberHealth())
      LostOrBehind += Each.second.IdentityLost || !Each.second.CaughtUp ? 1 : 0;
  this->Metrics.setGauge("members_lost_or_behind", LostOrBehind);
}

void Controller::shutDown() {
  if (this->ShuttingDown)
    return;
  this->ShuttingDown = true;
  Telemetry::log(Events::ShuttingDown);
  this->Duties.reset();
  this->Driver->transferLeadership();
  this->Http->startShutdown(std::chrono::milliseconds(0));
  const Common::TimePoint EndsAt = this->Loop.now() + ShutdownLimit;
  constexpr Common::Duration CheckPeriod = std::chrono::milliseconds(20);
  this->ShutdownTimer = this->Loop.callEvery(CheckPeriod, [this, EndsAt] {
    const auto *Replica = this->Driver->replica();
    const bool Leads =
        Replica && Replica->state() == Consensus::Replica::State::Leader;
    const bool Idle = this->Http->openExchanges() == 0;
    const bool Leaving = !Leads && this->requestLeave();
    if ((!Leads && !Leaving && Idle) || this->Loop.now() >= EndsAt)
      this->Loop.stop();
  });
}

} // namespace StateDaemon
