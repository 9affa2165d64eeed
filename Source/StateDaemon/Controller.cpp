#include "StateDaemon/Controller.h"

#include "Network/Codec.h"
#include "Telemetry/LogEvents.h"
#include "platform/ConfigurationDocument.h"
#include "platform/ControlCalls.h"
#include "platform/Heartbeat.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <csignal>

namespace StateDaemon {

namespace {

namespace Events = Telemetry::Events;

/// How often members are reviewed and an unknown leader is asked for.
constexpr Common::Duration ReviewPeriod = std::chrono::milliseconds(300);
/// Freshness of servers is passed on in batches.
constexpr Common::Duration RefreshPeriod = std::chrono::milliseconds(300);
/// A server that was silent for longer is not told to daemons that come.
constexpr Common::Duration TellServersFor = std::chrono::seconds(5);
/// Long beyond the lateness of a server's message, so that an old one cannot
/// bring a server back that is gone.
constexpr Common::Duration KeepServersFor = std::chrono::minutes(10);
constexpr Common::Duration ForgetPeriod = std::chrono::minutes(1);
constexpr Common::Duration ShutdownLimit = std::chrono::seconds(2);
constexpr std::size_t MaxDocumentBytes = 16u << 20;
constexpr Common::Duration IdleConnections = std::chrono::seconds(30);

} // namespace

Controller::Controller(Network::EventLoop &Loop, ControllerSettings Settings)
    : Loop(Loop), Settings(std::move(Settings)) {}

absl::StatusOr<std::unique_ptr<Controller>>
Controller::create(Network::EventLoop &Loop, ControllerSettings Settings) {
  std::unique_ptr<Controller> Made(new Controller(Loop, std::move(Settings)));
  if (absl::Status Listening = Made->listen(); !Listening.ok())
    return Listening;
  return Made;
}

absl::Status Controller::listen() {
  this->Client = std::make_unique<Network::Http1Client>(this->Loop);
  Network::FrameServer::Handlers Framed;
  Framed.OnPayload = [this](Network::ConnectionId From,
                            const std::string &Payload) {
    this->received(From, Payload);
  };
  Framed.OnClosed = [this](Network::ConnectionId From) {
    std::erase_if(this->Entries,
                  [From](const auto &Each) { return Each.second == From; });
  };
  Framed.OnRefused = [this](Common::RefusalReason Reason) {
    this->Metrics.recordRefusal(Reason);
  };
  const Network::Address LinkAddress{this->Settings.Http.Ip,
                                     this->Settings.LinkPort};
  auto Server = Network::FrameServer::create(
      this->Loop, LinkAddress, this->Settings.Key, std::move(Framed));
  if (!Server.ok())
    return Server.status();
  this->Frames = std::move(*Server);

  Network::Http1Server::Handlers Plain;
  Plain.OnRequest =
      [this](const std::shared_ptr<Network::Http1Exchange> &Exchange) {
        this->handleHttp(Exchange);
      };
  Plain.OnRejected = [this](Network::Http1Server::Rejection) {
    this->Metrics.incrementCounter("http_rejected_total");
  };
  auto Http = Network::Http1Server::create(this->Loop, this->Settings.Http,
                                           std::move(Plain));
  if (!Http.ok())
    return Http.status();
  this->Http = std::move(*Http);
  Network::Http1Server::Limits Bounds;
  Bounds.MaxBodyBytes = MaxDocumentBytes;
  Bounds.IdleTime = IdleConnections;
  this->Http->setLimits(Bounds);

  if (this->Settings.MetricsPort != 0) {
    auto Opened = Network::Http1Server::serveText(
        this->Loop,
        Network::Address{this->Settings.Http.Ip, this->Settings.MetricsPort},
        [this] {
          this->updateGauges();
          return this->Metrics.render();
        });
    if (!Opened.ok())
      return Opened.status();
    this->MetricsHttp = std::move(*Opened);
  }
  this->Host =
      std::make_unique<ReplicaHost>(this->Loop, this->replicaOptions(),
                                    this->replicaHandlers(), this->Metrics);
  return absl::OkStatus();
}

ReplicaHost::Handlers Controller::replicaHandlers() {
  ReplicaHost::Handlers Handle;
  Handle.Restore = [this](const std::string &Data) -> absl::Status {
    auto Read = State::ControlState::restore(Data);
    if (!Read.ok())
      return Read.status();
    this->State = std::move(*Read);
    this->pushDeclaration();
    return absl::OkStatus();
  };
  Handle.Apply = [this](const Consensus::LogEntry &Entry) {
    return this->apply(Entry);
  };
  Handle.TakeSnapshot = [this] { return this->State.snapshot(); };
  Handle.Send = [this](const Consensus::Message &Sent) { this->send(Sent); };
  Handle.OnChange = [this] {
    // The host may be in the middle of its own work.
    this->Loop.defer([this] { this->groupChanged(); });
  };
  return Handle;
}

int Controller::run() {
  const auto Stop = [this] { this->shutDown(); };
  this->Handles.push_back(this->Loop.onSignal(SIGTERM, Stop));
  this->Handles.push_back(this->Loop.onSignal(SIGINT, Stop));
  // Seeds and bounds are read at the start only; a change needs nothing here.
  this->Handles.push_back(this->Loop.onSignal(
      SIGHUP, [] { Telemetry::log(Events::Reload, "nothing"); }));
  this->Handles.push_back(this->Loop.callEvery(ReviewPeriod, [this] {
    this->askToJoin();
    this->planMembers();
    if (this->Ledger)
      this->Ledger->ownClock(this->Settings.Name, this->Loop.wallNow(),
                             this->Loop.now());
  }));
  this->Handles.push_back(
      this->Loop.callEvery(RefreshPeriod, [this] { this->flushRefreshes(); }));
  this->Handles.push_back(this->Loop.callEvery(ForgetPeriod, [this] {
    this->Registry.forgetOld(this->Loop.now(), KeepServersFor);
  }));
  this->LeaderKnownAt = this->Loop.now();
  Telemetry::log(Events::ControllerStarted, this->Settings.Http.str(),
                 this->Settings.FirstStart ? "1" : "0");
  this->Host->open();
  this->Loop.run();
  return 0;
}

absl::Status Controller::apply(const Consensus::LogEntry &Entry) {
  auto Command = Network::decode<State::ControlCommand>(Entry.Payload);
  if (!Command.ok())
    return Command.status();
  this->State.apply(*Command);
  this->pushDeclaration();
  return absl::OkStatus();
}

void Controller::pushDeclaration() {
  if (this->State.version() <= this->Pushed)
    return;
  this->Pushed = this->State.version();
  Telemetry::log(Events::DeclarationInForce, this->Pushed.Value);
  this->toEntries(
      State::DeclarationPush{this->State.version(), this->State.document()});
  // Duties exist beside a ledger only.
  if (!this->Ledger)
    return;
  this->decodeDeclaration();
  if (this->Duties)
    this->Duties->declared(this->Declared);
}

void Controller::decodeDeclaration() {
  auto Map = Platform::decodeConfiguration(this->State.document());
  if (!Map.ok()) {
    // It was checked before it was proposed.
    Telemetry::log(Events::DeclarationUnreadable, this->State.version().Value,
                   Map.status().message());
    return;
  }
  this->Declared =
      std::make_shared<const Configuration::ServiceMap>(std::move(*Map));
}

void Controller::received(Network::ConnectionId From,
                          const std::string &Payload) {
  auto Frame = Network::decode<State::ControlFrame>(Payload);
  if (!Frame.ok()) {
    this->Metrics.recordRefusal(Common::RefusalReason::UndecodableFrame);
    return;
  }
  if (const auto *Message = std::get_if<Consensus::Message>(&*Frame)) {
    const auto *Replica = this->Host->replica();
    if (Replica && !Replica->membership().find(Message->From))
      this->ConnectionOf[Message->From] = From;
    this->Host->step(*Message);
  } else if (const auto *Join = std::get_if<State::JoinRequest>(&*Frame))
    this->admit(*Join);
  else if (const auto *Delta = std::get_if<State::RegistryDelta>(&*Frame))
    this->merge(*Delta, true);
  else if (const auto *Hello = std::get_if<State::EntryHello>(&*Frame))
    this->greet(From, *Hello);
  else if (auto *Asked = std::get_if<State::EntryPoll>(&*Frame))
    this->poll(From, std::move(*Asked));
}

void Controller::receivedOnLink(const std::string &Payload) {
  auto Frame = Network::decode<State::ControlFrame>(Payload);
  if (!Frame.ok()) {
    this->Metrics.recordRefusal(Common::RefusalReason::UndecodableFrame);
    return;
  }
  if (const auto *Answer = std::get_if<State::EntryPollAnswer>(&*Frame))
    this->answerPoll(*Answer);
  else if (const auto *Message = std::get_if<Consensus::Message>(&*Frame))
    this->Host->step(*Message);
}

void Controller::sendTo(Network::ConnectionId To,
                        const State::ControlFrame &Frame) {
  this->Frames->send(To, Network::encode(Frame));
}

void Controller::toEntries(const State::ControlFrame &Frame) {
  if (this->Entries.empty())
    return;
  const std::string Payload = Network::encode(Frame);
  for (const auto &Each : this->Entries)
    this->Frames->send(Each.second, Payload);
}

void Controller::toPeers(const State::ControlFrame &Frame) {
  const std::string Payload = Network::encode(Frame);
  for (const auto &Each : this->Links)
    Each.second->send(Payload);
}

State::StatePlaces Controller::places() const {
  State::StatePlaces Result;
  const auto *Replica = this->Host->replica();
  if (Replica)
    for (const Consensus::Member &Each : Replica->membership().members())
      Result.Places.push_back({Each.Address, Each.DataCentre});
  return Result;
}

void Controller::greet(Network::ConnectionId From,
                       const State::EntryHello &Hello) {
  this->Entries[Hello.Entry] = From;
  Telemetry::log(Events::EntryConnected, Hello.Entry.str());
  this->sendTo(From, this->places());
  this->sendTo(From, this->wholeRegistry());
  if (this->State.version().Value != 0)
    this->sendTo(From, State::DeclarationPush{this->State.version(),
                                              this->State.document()});
}

void Controller::poll(Network::ConnectionId From, State::EntryPoll Asked) {
  if (this->Host->leads() && this->Ledger) {
    const bool Known = this->State.version().Value != 0;
    auto Answer =
        this->Ledger->answer(Asked, Known ? this->Declared.get() : nullptr,
                             this->State, this->Loop.now());
    this->sendTo(From, Answer);
    return;
  }
  const auto *Replica = this->Host->replica();
  const bool FromEntry = this->Entries.count(Asked.Entry) != 0 &&
                         this->Entries[Asked.Entry] == From;
  // Passed on once at most: only what came from the entry daemon itself.
  if (!Replica || !FromEntry)
    return;
  const Consensus::Member *Leader =
      Replica->membership().find(Replica->leader());
  if (!Leader || Leader->Id == Replica->self())
    return;
  const auto Link = this->Links.find(Leader->Address);
  if (Link != this->Links.end())
    Link->second->send(Network::encode(State::ControlFrame(Asked)));
}

void Controller::answerPoll(const State::EntryPollAnswer &Answer) {
  const auto Entry = this->Entries.find(Answer.Entry);
  if (Entry != this->Entries.end())
    this->sendTo(Entry->second, Answer);
}

void Controller::announced(const Membership::ServerRecord &Said) {
  const auto Outcome = this->Registry.offer(Said, this->Loop.now());
  switch (Outcome) {
  case Membership::ServerRegistry::Outcome::Changed:
    this->spread(this->Registry.find(Said.Id)->Record, true);
    return;
  case Membership::ServerRegistry::Outcome::Refreshed:
    this->Refreshes.push_back({Said.Id, Said.StartedAt, Said.Sequence});
    return;
  case Membership::ServerRegistry::Outcome::Stale:
    this->Metrics.incrementCounter("heartbeats_stale_total");
    return;
  }
}

void Controller::spread(const Membership::ServerRecord &Changed, bool ToPeers) {
  Telemetry::log(Events::ServerChanged, Changed.Id.str(), Changed.Service.str(),
                 Changed.DataCentre.str(), Changed.Address.str(),
                 Membership::nameOf(Changed.Phase), Changed.StartedAt,
                 Changed.Sequence, Changed.Reclaimable ? "1" : "0");
  State::RegistryDelta Delta;
  Delta.Changed.push_back(Changed);
  if (ToPeers)
    this->toPeers(Delta);
  this->toEntries(Delta);
}

void Controller::flushRefreshes() {
  if (this->Refreshes.empty())
    return;
  State::RegistryDelta Delta;
  Delta.Refreshed.swap(this->Refreshes);
  this->toPeers(Delta);
  this->toEntries(Delta);
}

void Controller::merge(const State::RegistryDelta &Delta, bool FromPeer) {
  const Common::TimePoint Now = this->Loop.now();
  for (const Membership::ServerRecord &Each : Delta.Changed) {
    const auto Outcome = this->Registry.offer(Each, Now);
    if (Outcome == Membership::ServerRegistry::Outcome::Changed)
      this->spread(this->Registry.find(Each.Id)->Record, !FromPeer);
  }
  State::RegistryDelta Fresh;
  for (const State::ServerRefresh &Each : Delta.Refreshed) {
    this->Registry.refresh(Each.Id, Each.StartedAt, Each.Sequence, Now);
    Fresh.Refreshed.push_back(Each);
  }
  if (!Fresh.Refreshed.empty())
    this->toEntries(Fresh);
}

State::RegistryDelta Controller::wholeRegistry() const {
  State::RegistryDelta Result;
  const Common::TimePoint Now = this->Loop.now();
  for (const auto &Each : this->Registry.entries())
    if (Now - Each.second.HeardAt < TellServersFor ||
        Each.second.Record.Phase != Membership::ServerPhase::Serving)
      Result.Changed.push_back(Each.second.Record);
  return Result;
}

void Controller::updateGauges() {
  const auto *Replica = this->Host->replica();
  this->Metrics.setGauge("replica_open", Replica ? 1 : 0);
  this->Metrics.setGauge("declaration_version",
                         static_cast<double>(this->State.version().Value));
  this->Metrics.setGauge("entries_connected",
                         static_cast<double>(this->Entries.size()));
  this->Metrics.setGauge("leading", this->Host->leads() ? 1 : 0);
  if (!Replica)
    return;
  this->Metrics.setGauge("term", static_cast<double>(Replica->term().Value));
  this->Metrics.setGauge(
      "voters", static_cast<double>(Replica->membership().voterCount()));
  this->Metrics.setGauge(
      "members", static_cast<double>(Replica->membership().members().size()));
  double Lost = 0;
  if (this->Host->leads())
    for (const auto &Each : this->memberConditions())
      Lost += Each.second.Replaced || !Each.second.CaughtUp ? 1 : 0;
  this->Metrics.setGauge("members_lost_or_behind", Lost);
}

void Controller::shutDown() {
  if (this->ShuttingDown)
    return;
  this->ShuttingDown = true;
  Telemetry::log(Events::ShuttingDown);
  this->Duties.reset();
  this->Host->transferLeadership();
  this->Http->startClosing(std::chrono::milliseconds(0));
  const Common::TimePoint EndsAt = this->Loop.now() + ShutdownLimit;
  constexpr Common::Duration Poll = std::chrono::milliseconds(20);
  this->StopTimer = this->Loop.callEvery(Poll, [this, EndsAt] {
    const auto *Replica = this->Host->replica();
    const bool Leads =
        Replica && Replica->state() == Consensus::Replica::State::Leader;
    const bool Idle = this->Http->openExchanges() == 0;
    if ((!Leads && Idle) || this->Loop.now() >= EndsAt)
      this->Loop.stop();
  });
}

} // namespace StateDaemon
