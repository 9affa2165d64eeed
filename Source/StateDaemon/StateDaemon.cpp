#include "StateDaemon/StateDaemon.h"

#include "Common/Hash.h"
#include "Network/Codec.h"
#include "Network/Problem.h"
#include "Telemetry/LogEvents.h"

#include <absl/strings/str_cat.h>
#include <csignal>

namespace StateDaemon {

namespace {

namespace Events = Telemetry::Events;

constexpr Common::Duration TickPeriod = std::chrono::milliseconds(10);
constexpr Common::Duration ClockCommandPeriod = std::chrono::seconds(10);
constexpr Common::Duration ShutdownLimit = std::chrono::seconds(2);
/// Time after the limit in which the answers to operators are written.
constexpr Common::Duration InterruptedReplyTime = std::chrono::seconds(1);
/// Log size above which the log is replaced by a snapshot.
constexpr std::size_t CompactAtLogBytes = 32u << 20;
/// Number of applied entries from which on the log is replaced by a snapshot.
constexpr std::uint64_t CompactAtEntries = 50'000;
constexpr int StorageFailureExitCode = 1;

std::uint64_t deriveSeed(const Consensus::ReplicaId &Id) {
  return Common::hashBytes(Id.str());
}

/// Stores the founding membership at a founder's first start.
absl::Status bootstrapIfBlank(const StateSettings &Settings,
                              Storage::RecoveredState &Contents,
                              Storage::DataFolder &Folder) {
  const bool Blank = Contents.State.BaseSnapshot.Membership.members().empty() &&
                     Contents.State.BaseSnapshot.Index.Value == 0 &&
                     Contents.State.Entries.empty();
  if (!Blank || Settings.Founders.empty())
    return absl::OkStatus();
  auto Group = Consensus::Membership::create(Settings.Founders);
  if (!Group.ok())
    return Group.status();
  if (!Group->find(Contents.Identity))
    return absl::OkStatus();
  Contents.State.BaseSnapshot.Membership = std::move(*Group);
  const Consensus::ReplicatedLog Log(Contents.State.BaseSnapshot, {});
  return Folder.compact(Contents.State.Hard, Log);
}

} // namespace

absl::StatusOr<std::unique_ptr<StateDaemon>>
StateDaemon::create(Network::EventLoop &Loop, StateSettings Settings) {
  Settings.Host.apply(Loop);
  Storage::RecoveredState Contents;
  auto Folder = Storage::DataFolder::open(Settings.DataPath, Contents);
  if (!Folder.ok())
    return Folder.status();
  if (Contents.TruncatedBytes != 0)
    Telemetry::log(Events::TornLogEndCut, Contents.TruncatedBytes);
  if (absl::Status Bootstrapped = bootstrapIfBlank(Settings, Contents, *Folder);
      !Bootstrapped.ok())
    return Bootstrapped;
  auto Machine = State::StateMachine::restore(Contents.State.BaseSnapshot.Data);
  if (!Machine.ok())
    return Machine.status();
  Consensus::ReplicaOptions Options;
  Options.Group = Consensus::GroupId{1};
  Options.Self = Contents.Identity;
  Options.Seed = deriveSeed(Contents.Identity);
  auto Replica = Consensus::Replica::create(Options, std::move(Contents.State),
                                            Loop.now());
  if (!Replica.ok())
    return Replica.status();
  std::unique_ptr<StateDaemon> Daemon(
      new StateDaemon(Loop, std::move(Settings), std::move(*Folder),
                      std::move(*Replica), std::move(*Machine)));
  if (absl::Status Listening = Daemon->listen(); !Listening.ok())
    return Listening;
  return Daemon;
}

StateDaemon::StateDaemon(Network::EventLoop &Loop, StateSettings Settings,
                         Storage::DataFolder Folder, Consensus::Replica Replica,
                         State::StateMachine Machine)
    : Loop(Loop), Settings(std::move(Settings)), Folder(std::move(Folder)),
      Replica(std::move(Replica)), Machine(std::move(Machine)) {}

absl::Status StateDaemon::listen() {
  Network::FrameServer::Handlers FrameHandlers;
  FrameHandlers.OnPayload = [this](Network::ConnectionId From,
                                   const std::string &Payload) {
    this->handleFrame(From, Payload);
  };
  FrameHandlers.OnClosed = [this](Network::ConnectionId From) {
    this->Watchers.erase(From);
  };
  FrameHandlers.OnRefused = [this](Common::RefusalReason Reason) {
    this->Metrics.recordRefusal(Reason);
  };
  auto FrameServer = Network::FrameServer::create(
      this->Loop, this->Settings.Listen, this->Settings.Key,
      std::move(FrameHandlers));
  if (!FrameServer.ok())
    return FrameServer.status();
  this->Server = std::move(*FrameServer);
  State::StateClient::Options ClientOptions;
  ClientOptions.Daemons = this->Settings.State;
  ClientOptions.Key = this->Settings.Key;
  this->Client = std::make_unique<State::StateClient>(this->Loop, ClientOptions,
                                                      this->Metrics);
  this->Endpoint = std::make_unique<Operator::OperatorEndpoint>(
      this->Settings.OperatorToken, *this->Client, this->Metrics,
      [this](Operator::View View) { return this->tableFor(View); });
  auto Http = Network::HttpServer::create(
      this->Loop, this->Settings.Http, {},
      [this](const std::shared_ptr<Network::HttpExchange> &Exchange) {
        this->handleHttp(Exchange);
      });
  if (!Http.ok())
    return Http.status();
  this->Http = std::move(*Http);
  return absl::OkStatus();
}

int StateDaemon::run() {
  const auto Stop = [this] { this->shutDown(); };
  this->EventHandles.push_back(this->Loop.onSignal(SIGTERM, Stop));
  this->EventHandles.push_back(this->Loop.onSignal(SIGINT, Stop));
  // All settings are read at the start only, so SIGHUP reloads nothing.
  this->EventHandles.push_back(this->Loop.onSignal(
      SIGHUP, [] { Telemetry::log(Events::Reload, "nothing"); }));
  this->EventHandles.push_back(this->Loop.callEvery(TickPeriod, [this] {
    this->Replica.tick(this->Loop.now());
    this->flush();
  }));
  this->EventHandles.push_back(this->Loop.callEvery(ClockCommandPeriod, [this] {
    if (this->Replica.canServe(this->Loop.now()))
      this->propose({}, {}, State::ClockCommand{});
  }));
  this->syncLinks();
  Telemetry::log(Events::StateDaemonStarted, this->Replica.self().str(),
                 this->Settings.Listen.str());
  this->Loop.run();
  return this->ExitCode;
}

void StateDaemon::scheduleFlush() {
  if (this->FlushScheduled)
    return;
  this->FlushScheduled = true;
  // Deferred, so that messages that arrived together share one disk sync.
  this->Loop.defer([this] {
    this->FlushScheduled = false;
    this->flush();
  });
}

void StateDaemon::flush() {
  while (this->ExitCode == 0) {
    Consensus::Actions Actions = this->Replica.takeActions(this->Loop.now());
    this->updateLeadership();
    if (Actions.empty())
      break;
    if (!this->executeActions(Actions))
      return;
  }
  this->pushConfiguration();
  this->syncLinks();
  this->compactIfLarge();
}

bool StateDaemon::executeActions(Consensus::Actions &Actions) {
  this->send(Actions.SendImmediately);
  if (Actions.needsSync()) {
    const Common::TimePoint Before = this->Loop.now();
    if (absl::Status Saved = this->Folder.save(Actions); !Saved.ok()) {
      this->stopOnStorageFailure(Saved);
      return false;
    }
    this->Metrics.observeSummary("disk_sync_seconds",
                                 this->Loop.now() - Before);
    this->Replica.markPersisted(this->Loop.now());
  }
  this->send(Actions.SendAfterSync);
  if (Actions.InstallSnapshot) {
    auto Machine = State::StateMachine::restore(Actions.InstallSnapshot->Data);
    if (!Machine.ok()) {
      this->stopOnStorageFailure(Machine.status());
      return false;
    }
    this->Machine = std::move(*Machine);
  }
  for (const Consensus::LogEntry &Entry : Actions.Apply)
    this->apply(Entry);
  return true;
}

void StateDaemon::apply(const Consensus::LogEntry &Entry) {
  State::CommandResult Result;
  if (Entry.Kind == Consensus::EntryKind::Command) {
    auto Command = Network::decode<State::Command>(Entry.Payload);
    if (!Command.ok()) {
      // Skipping an entry would make this replica's state diverge from the
      // others'.
      this->stopOnStorageFailure(Command.status());
      return;
    }
    Result = this->Machine.apply(Entry.Index, *Command);
    const Common::TimePoint Now = this->Loop.now();
    if (const auto *Acquire =
            std::get_if<State::AcquireLeaseCommand>(&Command->Body))
      this->Guard.recordGrant(Acquire->Name, Now);
    if (const auto *Renewal =
            std::get_if<State::RenewLeaseCommand>(&Command->Body)) {
      const auto *Outcome = std::get_if<State::LeaseResult>(&Result);
      if (Outcome && Outcome->Granted)
        this->Guard.recordGrant(Renewal->Name, Now);
    }
  }
  const auto Waiting = this->Proposals.find(Entry.Index);
  if (Waiting == this->Proposals.end())
    return;
  const Proposal Pending = Waiting->second;
  this->Proposals.erase(Waiting);
  if (Pending.Term != Entry.Term)
    this->reply(Pending.Connection, Pending.Correlation,
                State::OutcomeUnknown{});
  else if (Entry.Kind == Consensus::EntryKind::MembershipChange)
    this->reply(Pending.Connection, Pending.Correlation,
                State::ChangeReplicasResponse{true, ""});
  else
    this->reply(Pending.Connection, Pending.Correlation, Result);
}

void StateDaemon::stopOnStorageFailure(const absl::Status &Failure) {
  // After a failed write the contents of the disk are unknown, and after an
  // undecodable entry or snapshot the state is incomplete, so nothing more may
  // be acknowledged.
  Telemetry::log(Events::DiskFailure, Failure.message());
  this->ExitCode = StorageFailureExitCode;
  this->Loop.stop();
}

void StateDaemon::send(const std::vector<Consensus::Message> &Messages) {
  for (const Consensus::Message &Each : Messages) {
    const auto Link = this->Links.find(Each.To);
    if (Link == this->Links.end())
      continue;
    Link->second->send(Network::encode(State::Frame(Each)));
    this->Metrics.incrementCounter("peer_messages_sent_total");
  }
}

void StateDaemon::updateLeadership() {
  const bool Leads = this->Replica.state() == Consensus::Replica::State::Leader;
  if (this->Leading && (!Leads || this->Replica.term() != this->LeaderTerm)) {
    this->Leading = false;
    this->failProposals();
    Telemetry::log(Events::LeadershipLost, this->LeaderTerm.Value);
  }
  if (Leads && !this->Leading) {
    this->Leading = true;
    this->LeaderTerm = this->Replica.term();
    this->Guard.onLeadershipGained(this->Loop.now());
    Telemetry::log(Events::LeadershipGained, this->LeaderTerm.Value);
  }
}

void StateDaemon::failProposals() {
  const auto Failed = std::move(this->Proposals);
  this->Proposals.clear();
  for (const auto &Each : Failed)
    this->reply(Each.second.Connection, Each.second.Correlation,
                State::OutcomeUnknown{});
}

void StateDaemon::syncLinks() {
  for (const Consensus::Member &Each : this->Replica.membership().members()) {
    if (Each.Id == this->Replica.self() || this->Links.count(Each.Id) != 0)
      continue;
    Network::FrameClient::Handlers LinkHandlers;
    LinkHandlers.OnPayload = [](const std::string &) {};
    LinkHandlers.OnRefused = [this](Common::RefusalReason Reason) {
      this->Metrics.recordRefusal(Reason);
    };
    this->Links[Each.Id] = std::make_unique<Network::FrameClient>(
        this->Loop, Each.Address, this->Settings.Key, std::move(LinkHandlers));
  }
  for (auto Each = this->Links.begin(); Each != this->Links.end();) {
    const bool Removed = !this->Replica.membership().find(Each->first);
    Each = Removed ? this->Links.erase(Each) : std::next(Each);
  }
}

void StateDaemon::compactIfLarge() {
  const std::uint64_t Entries = this->Replica.appliedIndex().Value -
                                this->Replica.log().snapshotIndex().Value;
  const bool Large = this->Folder.logBytes() > CompactAtLogBytes;
  if (Entries == 0 || (!Large && Entries < CompactAtEntries))
    return;
  this->Replica.compact(this->Replica.appliedIndex(), this->Machine.snapshot());
  Consensus::HardState Hard = this->Replica.hardState();
  if (absl::Status Saved = this->Folder.compact(Hard, this->Replica.log());
      !Saved.ok())
    this->stopOnStorageFailure(Saved);
}

void StateDaemon::handleFrame(Network::ConnectionId From,
                              const std::string &Payload) {
  auto Frame = Network::decode<State::Frame>(Payload);
  if (!Frame.ok()) {
    this->Metrics.recordRefusal(Common::RefusalReason::UndecodableFrame);
    return;
  }
  if (const auto *Message = std::get_if<Consensus::Message>(&*Frame)) {
    this->Replica.step(this->Loop.now(), *Message);
    this->scheduleFlush();
  } else if (const auto *Request = std::get_if<State::Request>(&*Frame)) {
    this->handleRequest(From, *Request);
  }
}

void StateDaemon::handleRequest(Network::ConnectionId From,
                                const State::Request &Request) {
  const auto &Body = Request.Body;
  if (const auto *Fetch = std::get_if<State::FetchConfiguration>(&Body)) {
    this->reply(From, Request.Correlation,
                this->newerConfiguration(Fetch->InstalledVersion));
    return;
  }

  if (std::holds_alternative<State::WatchConfiguration>(Body)) {
    this->Watchers.insert(From);
    this->reply(From, State::Correlation(), this->newerConfiguration({}));
    return;
  }
  if (this->Replica.state() != Consensus::Replica::State::Leader) {
    this->replyNotLeader(From, Request.Correlation);
    return;
  }
  if (!this->Replica.canServe(this->Loop.now())) {
    this->reply(From, Request.Correlation, State::NoQuorum{});
    return;
  }
  if (const auto *Command = std::get_if<State::CommandBody>(&Body)) {
    this->propose(From, Request.Correlation, *Command);
  } else if (const auto *Find =
                 std::get_if<State::FindJournaledRequest>(&Body)) {
    this->reply(From, Request.Correlation,
                State::CommandResult(this->Machine.journal().find(Find->Key)));
  } else if (std::holds_alternative<State::FetchLeases>(Body)) {
    this->reply(From, Request.Correlation,
                State::LeasesResponse{this->Machine.leases().leases()});
  } else if (std::holds_alternative<State::FetchReplicas>(Body)) {
    State::ReplicasResponse Answer;
    Answer.Group = this->Replica.membership();
    Answer.Leader = this->Replica.self();
    Answer.Term = this->Replica.term();
    Answer.Commit = this->Replica.commitIndex();
    this->reply(From, Request.Correlation, Answer);
  } else if (const auto *Change = std::get_if<State::ChangeReplicas>(&Body)) {
    this->changeReplicas(From, Request.Correlation, *Change);
  }
}

void StateDaemon::propose(Network::ConnectionId From,
                          State::Correlation Correlation,
                          State::CommandBody Body) {
  const Common::TimePoint Now = this->Loop.now();
  if (auto *Acquire = std::get_if<State::AcquireLeaseCommand>(&Body)) {
    const auto &Leases = this->Machine.leases().leases();
    const auto Existing = Leases.find(Acquire->Name);
    const State::Lease Current =
        Existing == Leases.end() ? State::Lease() : Existing->second;
    if (!this->Guard.canGrant(Acquire->Name, Current, Acquire->Holder, Now)) {
      this->reply(From, Correlation, State::LeaseHeld{Current});
      return;
    }
    Acquire->PreviousFencing = Current.Fencing;
  }
  const State::Command Command{this->Loop.wallNow(), std::move(Body)};
  const auto Index = this->Replica.propose(Now, Network::encode(Command));
  if (!Index.ok()) {
    this->reply(From, Correlation, State::NoQuorum{});
    return;
  }
  this->Metrics.incrementCounter("proposals_total");
  if (Correlation.Value != 0)
    this->Proposals[*Index] = Proposal{this->Replica.term(), From, Correlation};
  this->scheduleFlush();
}

void StateDaemon::changeReplicas(Network::ConnectionId To,
                                 State::Correlation Correlation,
                                 const State::ChangeReplicas &Change) {
  const Common::TimePoint Now = this->Loop.now();
  absl::StatusOr<Consensus::LogIndex> Index =
      absl::InvalidArgumentError("unknown kind of membership change");
  if (Change.Kind == State::ReplicaChangeKind::AddLearner)
    Index = this->Replica.addLearner(Now, Change.Member);
  else if (Change.Kind == State::ReplicaChangeKind::Promote)
    Index = this->Replica.promote(Now, Change.Member.Id);
  else
    Index = this->Replica.remove(Now, Change.Member.Id);
  if (!Index.ok()) {
    this->reply(To, Correlation,
                State::ChangeReplicasResponse{
                    false, std::string(Index.status().message())});
    return;
  }
  this->Proposals[*Index] = Proposal{this->Replica.term(), To, Correlation};
  this->scheduleFlush();
}

void StateDaemon::reply(Network::ConnectionId To,
                        State::Correlation Correlation,
                        State::ResponseBody Body) {
  const State::Response Reply{Correlation, std::move(Body)};
  this->Server->send(To, Network::encode(State::Frame(Reply)));
}

void StateDaemon::replyNotLeader(Network::ConnectionId To,
                                 State::Correlation Correlation) {
  State::NotLeader Answer;
  const Consensus::Member *Leader =
      this->Replica.membership().find(this->Replica.leader());
  if (Leader)
    Answer.Leader = Leader->Address;
  this->reply(To, Correlation, Answer);
}

State::ConfigurationResponse StateDaemon::newerConfiguration(
    Common::ConfigurationVersion KnownVersion) const {
  const auto &Current = this->Machine.configuration().current();
  State::ConfigurationResponse Answer;
  if (Current.version() > KnownVersion)
    Answer.Newer = Current;
  return Answer;
}

void StateDaemon::pushConfiguration() {
  const auto Version = this->Machine.configuration().current().version();
  if (Version <= this->PushedVersion)
    return;
  this->PushedVersion = Version;
  for (const Network::ConnectionId Watcher : this->Watchers)
    this->reply(Watcher, State::Correlation(), this->newerConfiguration({}));
}

void StateDaemon::handleHttp(
    const std::shared_ptr<Network::HttpExchange> &Exchange) {
  const std::string Path = Exchange->request().path();
  if (Path == "/v1/operator") {
    this->Endpoint->handle(Exchange);
    return;
  }
  Network::HttpResponse Answer;
  Answer.Status = 200;
  Answer.Headers.push_back({"Content-Type", "text/plain"});
  if (Path == "/healthz") {
    Answer.Body = "ok\n";
  } else if (Path == "/readyz") {
    const bool Ready = !this->ShuttingDown && !this->Replica.leader().empty();
    Answer.Status = Ready ? 200 : 503;
    Answer.Body = Ready ? "ready\n" : "no leader is known, or shutting down\n";
  } else if (Path == "/metrics") {
    this->updateGauges();
    Answer.Body = this->Metrics.render();
  } else {
    this->Metrics.recordRefusal(Common::RefusalReason::UnknownRoute);
    Answer = Network::problemResponse(
        {Common::RefusalReason::UnknownRoute, "no route " + Path});
  }
  Exchange->reply(Answer);
}

void StateDaemon::updateGauges() {
  const auto Counts = this->Machine.journal().counts();
  const auto Gauge = [this](const char *Name, std::uint64_t Value) {
    this->Metrics.setGauge(Name, static_cast<double>(Value));
  };
  Gauge("state_leading", this->Leading ? 1 : 0);
  Gauge("state_term", this->Replica.term().Value);
  Gauge("state_commit_index", this->Replica.commitIndex().Value);
  Gauge("state_applied_index", this->Replica.appliedIndex().Value);
  Gauge("state_log_bytes", this->Folder.logBytes());
  Gauge("journal_requests", Counts.Requests);
  Gauge("journal_unfinished", Counts.Unfinished);
  Gauge("journal_answer_bytes", Counts.ResponseBytes);
  Gauge("configuration_version",
        this->Machine.configuration().current().version().Value);
}

std::optional<Operator::Table>
StateDaemon::tableFor(Operator::View View) const {
  const auto &Current = this->Machine.configuration().current();
  switch (View) {
  case Operator::View::Priorities:
    return Operator::priorityTable(Current);
  case Operator::View::Callers:
    return Operator::callerTable(Current);
  case Operator::View::Configuration:
    return Operator::configurationTable(Current);
  case Operator::View::Refusals:
    return Operator::refusalTable(this->Metrics);
  case Operator::View::Retries:
    return Operator::retryTable(this->Metrics);
  case Operator::View::Latency:
    return Operator::latencyTable(this->Metrics);
  default:
    return std::nullopt;
  }
}

void StateDaemon::shutDown() {
  if (this->ShuttingDown)
    return;
  this->ShuttingDown = true;
  Telemetry::log(Events::ShuttingDown);
  this->Replica.transferLeadership(this->Loop.now());
  this->flush();
  this->Http->startShutdown();
  this->ShutdownStartedAt = this->Loop.now();
  constexpr Common::Duration CheckPeriod = std::chrono::milliseconds(20);
  this->ShutdownTimer =
      this->Loop.callEvery(CheckPeriod, [this] { this->checkShutdown(); });
}

void StateDaemon::checkShutdown() {
  const Common::TimePoint EndsAt = this->ShutdownStartedAt + ShutdownLimit;
  const bool TimedOut = this->Loop.now() >= EndsAt;
  // The leader that is waited for may not come; the operators are told that
  // the outcome of their statements is unknown.
  if (TimedOut)
    this->Http->interruptExchanges();
  const bool Leads = this->Replica.state() == Consensus::Replica::State::Leader;
  const bool Idle = this->Http->openExchanges() == 0;
  if ((Idle && (!Leads || TimedOut)) ||
      this->Loop.now() >= EndsAt + InterruptedReplyTime)
    this->Loop.stop();
}

} // namespace StateDaemon
