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
constexpr Common::Duration ClockPeriod = std::chrono::seconds(10);
constexpr Common::Duration ShutdownLimit = std::chrono::seconds(2);
/// A log larger than this is replaced by a snapshot.
constexpr std::size_t CompactAtLogBytes = 32u << 20;
constexpr std::uint64_t CompactAtEntries = 50'000;
constexpr int DiskFailureExitCode = 1;

std::uint64_t seedOf(const Consensus::ReplicaId &Id) {
  return Common::hashBytes(Id.str());
}

/// On its first start a founder writes the founding membership down.
absl::Status found(const StateSettings &Settings, Storage::OpenedFolder &Found,
                   Storage::DataFolder &Folder) {
  const bool Blank = Found.State.Base.Membership.members().empty() &&
                     Found.State.Base.Index.Value == 0 &&
                     Found.State.Entries.empty();
  if (!Blank || Settings.Founders.empty())
    return absl::OkStatus();
  auto Group = Consensus::Membership::create(Settings.Founders);
  if (!Group.ok())
    return Group.status();
  if (!Group->find(Found.Identity))
    return absl::OkStatus();
  Found.State.Base.Membership = std::move(*Group);
  const Consensus::ReplicatedLog Log(Found.State.Base, {});
  return Folder.compact(Found.State.Hard, Log);
}

} // namespace

absl::StatusOr<std::unique_ptr<StateDaemon>>
StateDaemon::create(Network::EventLoop &Loop, StateSettings Settings) {
  Storage::OpenedFolder Found;
  auto Folder = Storage::DataFolder::open(Settings.DataPath, Found);
  if (!Folder.ok())
    return Folder.status();
  if (Found.TornBytes != 0)
    Telemetry::log(Events::TornLogEndCut, Found.TornBytes);
  if (absl::Status Founded = found(Settings, Found, *Folder); !Founded.ok())
    return Founded;
  auto Machine = State::StateMachine::restore(Found.State.Base.Data);
  if (!Machine.ok())
    return Machine.status();
  Consensus::ReplicaOptions Options;
  Options.Group = Consensus::GroupId{1};
  Options.Self = Found.Identity;
  Options.Seed = seedOf(Found.Identity);
  auto Replica =
      Consensus::Replica::create(Options, std::move(Found.State), Loop.now());
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
  Network::FrameServer::Handlers Handle;
  Handle.OnPayload = [this](Network::ConnectionId From,
                            const std::string &Payload) {
    this->received(From, Payload);
  };
  Handle.OnClosed = [this](Network::ConnectionId From) {
    this->Watchers.erase(From);
  };
  Handle.OnRefused = [this](Common::RefusalReason Reason) {
    this->Metrics.recordRefusal(Reason);
  };
  auto Frames = Network::FrameServer::create(
      this->Loop, this->Settings.Listen, this->Settings.Key, std::move(Handle));
  if (!Frames.ok())
    return Frames.status();
  this->Server = std::move(*Frames);
  State::StateClient::Options ClientOptions;
  ClientOptions.Daemons = this->Settings.State;
  ClientOptions.Key = this->Settings.Key;
  this->Client = std::make_unique<State::StateClient>(this->Loop, ClientOptions,
                                                      this->Metrics);
  this->Endpoint = std::make_unique<Operator::OperatorEndpoint>(
      this->Settings.OperatorToken, *this->Client, this->Metrics,
      [this](Operator::View Shown) { return this->view(Shown); });
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
  this->Handles.push_back(this->Loop.onSignal(SIGTERM, Stop));
  this->Handles.push_back(this->Loop.onSignal(SIGINT, Stop));
  this->Handles.push_back(this->Loop.callEvery(TickPeriod, [this] {
    this->Replica.tick(this->Loop.now());
    this->flush();
  }));
  this->Handles.push_back(this->Loop.callEvery(ClockPeriod, [this] {
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
  // Deferred, so that what arrived together shares one sync.
  this->Loop.defer([this] {
    this->FlushScheduled = false;
    this->flush();
  });
}

void StateDaemon::flush() {
  while (this->ExitCode == 0) {
    Consensus::Actions Work = this->Replica.take(this->Loop.now());
    this->noticeLeadership();
    if (Work.empty())
      break;
    if (!this->carryOut(Work))
      return;
  }
  this->pushConfiguration();
  this->syncLinks();
  this->compactIfLarge();
}

bool StateDaemon::carryOut(Consensus::Actions &Work) {
  this->send(Work.SendAtOnce);
  if (Work.needsSync()) {
    const Common::TimePoint Before = this->Loop.now();
    if (absl::Status Saved = this->Folder.save(Work); !Saved.ok()) {
      this->stopOnDiskFailure(Saved);
      return false;
    }
    this->Metrics.observeSummary("disk_sync_seconds",
                                 this->Loop.now() - Before);
    this->Replica.persisted(this->Loop.now());
  }
  this->send(Work.SendAfterSync);
  if (Work.InstallSnapshot) {
    auto Machine = State::StateMachine::restore(Work.InstallSnapshot->Data);
    if (!Machine.ok()) {
      this->stopOnDiskFailure(Machine.status());
      return false;
    }
    this->Machine = std::move(*Machine);
  }
  for (const Consensus::LogEntry &Entry : Work.Apply)
    this->apply(Entry);
  return true;
}

void StateDaemon::apply(const Consensus::LogEntry &Entry) {
  State::CommandResult Result;
  if (Entry.Kind == Consensus::EntryKind::Command) {
    auto Command = Network::decode<State::Command>(Entry.Payload);
    if (!Command.ok()) {
      // Skipping it would let this replica's state differ from the others'.
      this->stopOnDiskFailure(Command.status());
      return;
    }
    Result = this->Machine.apply(Entry.Index, *Command);
    const Common::TimePoint Now = this->Loop.now();
    if (const auto *Grant =
            std::get_if<State::AcquireLeaseCommand>(&Command->Body))
      this->Guard.observed(Grant->Name, Now);
    if (const auto *Renewal =
            std::get_if<State::RenewLeaseCommand>(&Command->Body)) {
      const auto *Outcome = std::get_if<State::LeaseResult>(&Result);
      if (Outcome && Outcome->Granted)
        this->Guard.observed(Renewal->Name, Now);
    }
  }
  const auto Waiting = this->Proposals.find(Entry.Index);
  if (Waiting == this->Proposals.end())
    return;
  const Proposal Asked = Waiting->second;
  this->Proposals.erase(Waiting);
  if (Asked.Term != Entry.Term)
    this->answer(Asked.Connection, Asked.Correlation, State::OutcomeUnknown{});
  else if (Entry.Kind == Consensus::EntryKind::MembershipChange)
    this->answer(Asked.Connection, Asked.Correlation,
                 State::ReplicasChanged{true, ""});
  else
    this->answer(Asked.Connection, Asked.Correlation, Result);
}

void StateDaemon::stopOnDiskFailure(const absl::Status &Failure) {
  // After a failed sync the state of the disk is unknown: acknowledge
  // nothing more.
  Telemetry::log(Events::DiskFailure, Failure.message());
  this->ExitCode = DiskFailureExitCode;
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

void StateDaemon::noticeLeadership() {
  const bool Leads = this->Replica.state() == Consensus::Replica::State::Leader;
  if (this->Leading && (!Leads || this->Replica.term() != this->LedTerm)) {
    this->Leading = false;
    this->failProposals();
    Telemetry::log(Events::LeadershipLost, this->LedTerm.Value);
  }
  if (Leads && !this->Leading) {
    this->Leading = true;
    this->LedTerm = this->Replica.term();
    this->Guard.startedLeading(this->Loop.now());
    Telemetry::log(Events::LeadershipGained, this->LedTerm.Value);
  }
}

void StateDaemon::failProposals() {
  const auto Lost = std::move(this->Proposals);
  this->Proposals.clear();
  for (const auto &Each : Lost)
    this->answer(Each.second.Connection, Each.second.Correlation,
                 State::OutcomeUnknown{});
}

void StateDaemon::syncLinks() {
  for (const Consensus::Member &Each : this->Replica.membership().members()) {
    if (Each.Id == this->Replica.self() || this->Links.count(Each.Id) != 0)
      continue;
    Network::FrameLink::Handlers Handle;
    Handle.OnPayload = [](const std::string &) {};
    Handle.OnRefused = [this](Common::RefusalReason Reason) {
      this->Metrics.recordRefusal(Reason);
    };
    this->Links[Each.Id] = std::make_unique<Network::FrameLink>(
        this->Loop, Each.Address, this->Settings.Key, std::move(Handle));
  }
  for (auto Each = this->Links.begin(); Each != this->Links.end();) {
    const bool Gone = !this->Replica.membership().find(Each->first);
    Each = Gone ? this->Links.erase(Each) : std::next(Each);
  }
}

void StateDaemon::compactIfLarge() {
  const std::uint64_t Entries = this->Replica.appliedIndex().Value -
                                this->Replica.log().baseIndex().Value;
  const bool Large = this->Folder.logBytes() > CompactAtLogBytes;
  if (Entries == 0 || (!Large && Entries < CompactAtEntries))
    return;
  this->Replica.compact(this->Replica.appliedIndex(), this->Machine.snapshot());
  Consensus::HardState Hard = this->Replica.hardState();
  if (absl::Status Saved = this->Folder.compact(Hard, this->Replica.log());
      !Saved.ok())
    this->stopOnDiskFailure(Saved);
}

void StateDaemon::received(Network::ConnectionId From,
                           const std::string &Payload) {
  auto Received = Network::decode<State::Frame>(Payload);
  if (!Received.ok()) {
    this->Metrics.recordRefusal(Common::RefusalReason::UndecodableFrame);
    return;
  }
  if (const auto *Message = std::get_if<Consensus::Message>(&*Received)) {
    this->Replica.step(this->Loop.now(), *Message);
    this->scheduleFlush();
  } else if (const auto *Asked = std::get_if<State::Question>(&*Received)) {
    this->handle(From, *Asked);
  }
}

void StateDaemon::handle(Network::ConnectionId From,
                         const State::Question &Asked) {
  const auto &Body = Asked.Body;
  if (const auto *Fetch = std::get_if<State::FetchConfiguration>(&Body)) {
    this->answer(From, Asked.Correlation,
                 this->newerConfiguration(Fetch->Have));
    return;
  }

  if (std::holds_alternative<State::WatchConfiguration>(Body)) {
    this->Watchers.insert(From);
    this->answer(From, State::Correlation(), this->newerConfiguration({}));
    return;
  }
  if (this->Replica.state() != Consensus::Replica::State::Leader) {
    this->answerNotLeader(From, Asked.Correlation);
    return;
  }
  if (!this->Replica.canServe(this->Loop.now())) {
    this->answer(From, Asked.Correlation, State::NoQuorum{});
    return;
  }
  if (const auto *Command = std::get_if<State::CommandBody>(&Body)) {
    this->propose(From, Asked.Correlation, *Command);
  } else if (const auto *Find = std::get_if<State::FindRequest>(&Body)) {
    this->answer(From, Asked.Correlation,
                 State::CommandResult(this->Machine.journal().find(Find->Key)));
  } else if (std::holds_alternative<State::FetchLeases>(Body)) {
    this->answer(From, Asked.Correlation,
                 State::LeasesAnswer{this->Machine.leases().leases()});
  } else if (std::holds_alternative<State::FetchReplicas>(Body)) {
    State::ReplicasAnswer Answer;
    Answer.Group = this->Replica.membership();
    Answer.Leader = this->Replica.self();
    Answer.Term = this->Replica.term();
    Answer.Commit = this->Replica.commitIndex();
    this->answer(From, Asked.Correlation, Answer);
  } else if (const auto *Change = std::get_if<State::ChangeReplicas>(&Body)) {
    this->changeReplicas(From, Asked.Correlation, *Change);
  }
}

void StateDaemon::propose(Network::ConnectionId From,
                          State::Correlation Correlation,
                          State::CommandBody Body) {
  const Common::TimePoint Now = this->Loop.now();
  if (auto *Acquire = std::get_if<State::AcquireLeaseCommand>(&Body)) {
    const auto &Leases = this->Machine.leases().leases();
    const auto Found = Leases.find(Acquire->Name);
    const State::Lease Current =
        Found == Leases.end() ? State::Lease() : Found->second;
    if (!this->Guard.mayGrant(Acquire->Name, Current, Acquire->Holder, Now)) {
      this->answer(From, Correlation, State::LeaseHeld{Current});
      return;
    }
    Acquire->Previous = Current.Fencing;
  }
  const State::Command Command{this->Loop.wallNow(), std::move(Body)};
  const auto Index = this->Replica.propose(Now, Network::encode(Command));
  if (!Index.ok()) {
    this->answer(From, Correlation, State::NoQuorum{});
    return;
  }
  this->Metrics.incrementCounter("proposals_total");
  if (Correlation.Value != 0)
    this->Proposals[*Index] = Proposal{this->Replica.term(), From, Correlation};
  this->scheduleFlush();
}

void StateDaemon::changeReplicas(Network::ConnectionId To,
                                 State::Correlation Correlation,
                                 const State::ChangeReplicas &Wanted) {
  const Common::TimePoint Now = this->Loop.now();
  absl::StatusOr<Consensus::LogIndex> Index =
      absl::InvalidArgumentError("unknown change");
  if (Wanted.Verb == State::ReplicaVerb::AddLearner)
    Index = this->Replica.addLearner(Now, Wanted.Member);
  else if (Wanted.Verb == State::ReplicaVerb::Promote)
    Index = this->Replica.promote(Now, Wanted.Member.Id);
  else
    Index = this->Replica.remove(Now, Wanted.Member.Id);
  if (!Index.ok()) {
    this->answer(
        To, Correlation,
        State::ReplicasChanged{false, std::string(Index.status().message())});
    return;
  }
  this->Proposals[*Index] = Proposal{this->Replica.term(), To, Correlation};
  this->scheduleFlush();
}

void StateDaemon::answer(Network::ConnectionId To,
                         State::Correlation Correlation,
                         State::AnswerBody Body) {
  const State::Answer Carrier{Correlation, std::move(Body)};
  this->Server->send(To, Network::encode(State::Frame(Carrier)));
}

void StateDaemon::answerNotLeader(Network::ConnectionId To,
                                  State::Correlation Correlation) {
  State::NotLeader Answer;
  const Consensus::Member *Leader =
      this->Replica.membership().find(this->Replica.leader());
  if (Leader)
    Answer.Leader = Leader->Address;
  this->answer(To, Correlation, Answer);
}

State::ConfigurationAnswer
StateDaemon::newerConfiguration(Common::ConfigurationVersion Have) const {
  const auto &Current = this->Machine.configuration().current();
  State::ConfigurationAnswer Answer;
  if (Current.version() > Have)
    Answer.Newer = Current;
  return Answer;
}

void StateDaemon::pushConfiguration() {
  const auto Version = this->Machine.configuration().current().version();
  if (Version <= this->PushedVersion)
    return;
  this->PushedVersion = Version;
  for (const Network::ConnectionId Watcher : this->Watchers)
    this->answer(Watcher, State::Correlation(), this->newerConfiguration({}));
}

void StateDaemon::handleHttp(
    const std::shared_ptr<Network::HttpExchange> &Exchange) {
  const std::string Path = Exchange->request().path();
  if (Path == "/v1/operator") {
    this->Endpoint->handle(Exchange);
    return;
  }
  Network::HttpAnswer Answer;
  Answer.Status = 200;
  Answer.Headers.push_back({"Content-Type", "text/plain"});
  if (Path == "/healthz") {
    Answer.Body = "ok\n";
  } else if (Path == "/readyz") {
    const bool Ready = !this->ShuttingDown && !this->Replica.leader().empty();
    Answer.Status = Ready ? 200 : 503;
    Answer.Body = Ready ? "ready\n" : "no leader is known yet\n";
  } else if (Path == "/metrics") {
    this->updateGauges();
    Answer.Body = this->Metrics.render();
  } else {
    this->Metrics.recordRefusal(Common::RefusalReason::UnknownRoute);
    Answer = Network::problemAnswer(
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
  Gauge("journal_answer_bytes", Counts.AnswerBytes);
  Gauge("configuration_version",
        this->Machine.configuration().current().version().Value);
}

std::optional<Operator::Table> StateDaemon::view(Operator::View Shown) const {
  const auto &Declared = this->Machine.configuration().current();
  switch (Shown) {
  case Operator::View::Priorities:
    return Operator::priorityTable(Declared);
  case Operator::View::Callers:
    return Operator::callerTable(Declared);
  case Operator::View::Configuration:
    return Operator::configurationTable(Declared);
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
  const Common::TimePoint EndsAt = this->Loop.now() + ShutdownLimit;
  constexpr Common::Duration Poll = std::chrono::milliseconds(20);
  this->StopTimer = this->Loop.callEvery(Poll, [this, EndsAt] {
    const bool Leads =
        this->Replica.state() == Consensus::Replica::State::Leader;
    const bool Idle = this->Http->openExchanges() == 0;
    if ((!Leads && Idle) || this->Loop.now() >= EndsAt)
      this->Loop.stop();
  });
}

} // namespace StateDaemon
