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

/// Raft's times here: links cross data centres and hosts have a third of a
/// core, and each message costs processor time.
constexpr Consensus::ReplicaTiming Timing{
    std::chrono::milliseconds(100), std::chrono::milliseconds(450),
    std::chrono::milliseconds(800), std::chrono::milliseconds(360)};
/// How often members are reviewed and an unknown leader is asked for.
constexpr Common::Duration ReviewPeriod = std::chrono::milliseconds(300);
/// A daemon without a leader for longer asks to be taken in.
constexpr Common::Duration JoinAfter = std::chrono::milliseconds(1000);
/// Freshness of servers is passed on in batches.
constexpr Common::Duration RefreshPeriod = std::chrono::milliseconds(300);
/// A server that was silent for longer is not told to daemons that come.
constexpr Common::Duration TellServersFor = std::chrono::seconds(5);
constexpr Common::Duration KeepServersFor = std::chrono::minutes(10);
constexpr Common::Duration ShutdownLimit = std::chrono::seconds(2);
constexpr std::size_t MaxDocumentBytes = 16u << 20;
constexpr Common::Duration IdleConnections = std::chrono::seconds(30);

const Network::HttpHeaders JsonType = {{"Content-Type", "application/json"}};

std::string errorBody(std::string_view Detail) {
  std::string Escaped;
  for (const char C : Detail) {
    if (C == '"' || C == '\\')
      Escaped.push_back('\\');
    if (static_cast<unsigned char>(C) >= ' ')
      Escaped.push_back(C);
  }
  return "{\"error\":\"" + Escaped + "\"}";
}

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
    this->Metrics.refused(Reason);
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
    this->Metrics.count("http_rejected_total");
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
    Network::Http1Server::Handlers Shown;
    Shown.OnRequest =
        [this](const std::shared_ptr<Network::Http1Exchange> &Exchange) {
          this->updateGauges();
          Exchange->reply(200, {{"Content-Type", "text/plain"}},
                          this->Metrics.render());
        };
    auto Opened = Network::Http1Server::create(
        this->Loop,
        Network::Address{this->Settings.Http.Ip, this->Settings.MetricsPort},
        std::move(Shown));
    if (!Opened.ok())
      return Opened.status();
    this->MetricsHttp = std::move(*Opened);
  }
  this->Host =
      std::make_unique<ReplicaHost>(this->Loop, this->replicaOptions(),
                                    this->replicaHandlers(), this->Metrics);
  return absl::OkStatus();
}

ReplicaHost::Options Controller::replicaOptions() const {
  ReplicaHost::Options Result;
  Result.DataPath = this->Settings.DataPath;
  Result.Name = this->Settings.Name.str();
  Result.Timing = Timing;
  if (!this->Settings.FirstStart)
    return Result;
  // The seeds found the group. All of them compute the same identities.
  const auto IdentityOf = [](const Network::Address &At) {
    return Consensus::ReplicaId("founder-" + At.Ip);
  };
  for (const Network::Address &Each : this->Settings.seedLinks()) {
    Consensus::Member Founder;
    Founder.Id = IdentityOf(Each);
    Founder.Address = Each;
    // A founder's data centre is not known to the others at this point.
    Founder.DataCentre = Common::DataCentreId(Each.Ip);
    Result.Founders.push_back(Founder);
    if (Each.Ip == this->Settings.Http.Ip)
      Result.FounderIdentity = Founder.Id;
  }
  if (Result.FounderIdentity.empty())
    Result.Founders.clear();
  return Result;
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
  if (!this->Duties && !this->Ledger)
    return;
  auto Map = Platform::decodeConfiguration(this->State.document());
  if (!Map.ok()) {
    // It was checked before it was proposed.
    Telemetry::log(Events::DeclarationUnreadable, this->State.version().Value,
                   Map.status().message());
    return;
  }
  this->Declared =
      std::make_shared<const Configuration::ServiceMap>(std::move(*Map));
  if (this->Duties)
    this->Duties->declared(this->Declared);
}

void Controller::groupChanged() {
  this->syncLinks();
  const auto *Replica = this->Host->replica();
  const bool Leads =
      Replica && Replica->state() == Consensus::Replica::State::Leader;
  if (Leads && !this->Ledger) {
    const Common::TimePoint Now = this->Loop.now();
    this->LeadingSince = Now;
    this->Ledger = std::make_unique<EntryLedger>(this->Settings.Borne, Now);
    this->Ledger->ownClock(this->Settings.Name, this->Loop.wallNow(), Now);
    if (!this->State.document().empty()) {
      auto Map = Platform::decodeConfiguration(this->State.document());
      if (Map.ok())
        this->Declared =
            std::make_shared<const Configuration::ServiceMap>(std::move(*Map));
    }
    if (!this->Settings.DutyAddress.empty()) {
      this->Duties = std::make_unique<DutyRunner>(DutyRunner::Parts{
          this->Loop, this->Settings, *this->Client, *this->Host, this->State,
          this->Registry, *this->Ledger, this->Metrics});
      this->Duties->declared(this->Declared);
    }
  }
  if (!Leads && this->Ledger) {
    this->Duties.reset();
    this->Ledger.reset();
  }
  this->toEntries(this->places());
}

void Controller::syncLinks() {
  const auto *Replica = this->Host->replica();
  std::set<Network::Address> Wanted;
  const auto Add = [this, &Wanted](const Network::Address &At) {
    if (At.Ip != this->Settings.Http.Ip)
      Wanted.insert(At);
  };
  if (Replica)
    for (const Consensus::Member &Each : Replica->membership().members())
      Add(Each.Address);
  // The seeds are asked as long as this daemon is no member.
  const bool Member =
      Replica && Replica->membership().find(Replica->self()) != nullptr;
  if (!Member)
    for (const Network::Address &Each : this->Settings.seedLinks())
      Add(Each);
  std::erase_if(this->Links, [&Wanted](const auto &Each) {
    return Wanted.count(Each.first) == 0;
  });
  for (const Network::Address &Each : Wanted) {
    if (this->Links.count(Each) != 0)
      continue;
    Network::FrameLink::Handlers Handle;
    Handle.OnPayload = [this](const std::string &Payload) {
      this->receivedOnLink(Payload);
    };
    Handle.OnUp = [this, Each] {
      Telemetry::log(Events::PeerConnected, Each.str());
      const auto Found = this->Links.find(Each);
      if (Found != this->Links.end())
        Found->second->send(
            Network::encode(State::ControlFrame(this->wholeRegistry())));
    };
    Handle.OnDown = [Each] { Telemetry::log(Events::PeerLost, Each.str()); };
    Handle.OnRefused = [this](Common::RefusalReason Reason) {
      this->Metrics.refused(Reason);
    };
    this->Links[Each] = std::make_unique<Network::FrameLink>(
        this->Loop, Each, this->Settings.Key, std::move(Handle));
  }
}

void Controller::send(const Consensus::Message &Sent) {
  const auto *Replica = this->Host->replica();
  const Consensus::Member *To =
      Replica ? Replica->membership().find(Sent.To) : nullptr;
  this->Metrics.count("peer_messages_sent_total");
  if (To) {
    const auto Link = this->Links.find(To->Address);
    if (Link != this->Links.end())
      Link->second->send(Network::encode(State::ControlFrame(Sent)));
    return;
  }
  // A new replica answers a leader that it knows no address of yet.
  const auto Known = this->ConnectionOf.find(Sent.To);
  if (Known != this->ConnectionOf.end())
    this->sendTo(Known->second, Sent);
}

void Controller::askToJoin() {
  const auto *Replica = this->Host->replica();
  if (!Replica)
    return;
  const Common::TimePoint Now = this->Loop.now();
  if (!Replica->leader().empty())
    this->LeaderKnownAt = Now;
  if (Now - this->LeaderKnownAt < JoinAfter)
    return;
  State::JoinRequest Asked;
  Asked.Self.Id = Replica->self();
  Asked.Self.Address =
      Network::Address{this->Settings.Http.Ip, this->Settings.LinkPort};
  Asked.Self.DataCentre = this->Settings.DataCentre;
  this->syncLinks();
  this->toPeers(Asked);
}

void Controller::admit(const State::JoinRequest &Request) {
  const Consensus::Member &Asked = Request.Self;
  this->Joined[Asked.Address] = Asked.Id;
  const auto *Replica = this->Host->replica();
  if (!Replica)
    return;
  if (!this->Host->leads()) {
    // The leader has a link of its own to every member.
    const Consensus::Member *Leader =
        Replica->membership().find(Replica->leader());
    if (Leader && Leader->Id != Replica->self() && !Request.Relayed) {
      const auto Link = this->Links.find(Leader->Address);
      if (Link != this->Links.end())
        Link->second->send(Network::encode(
            State::ControlFrame(State::JoinRequest{Asked, true})));
    }
    return;
  }
  if (Replica->membership().find(Asked.Id))
    return;
  const absl::Status Added = this->Host->change(
      [&Asked](Consensus::Replica &Of, Common::TimePoint Now) {
        return Of.addLearner(Now, Asked);
      });
  Telemetry::log(Events::StateDaemonJoins, Asked.Id.str(), Asked.Address.str(),
                 Added.ok() ? "added" : std::string(Added.message()));
  this->Loop.defer([this] { this->groupChanged(); });
}

std::map<Consensus::ReplicaId, Consensus::MemberCondition>
Controller::memberConditions() const {
  std::map<Consensus::ReplicaId, Consensus::MemberCondition> Result;
  const Consensus::Replica &Replica = *this->Host->replica();
  const Common::TimePoint Now = this->Loop.now();
  for (const Consensus::Member &Each : Replica.membership().members()) {
    const auto View = Replica.peer(Each.Id);
    if (!View)
      continue;
    Consensus::MemberCondition Known;
    Known.Silence = Now - std::max(View->Contact, this->LeadingSince);
    Known.CaughtUp = View->Match >= Replica.commitIndex();
    const auto Holder = this->Joined.find(Each.Address);
    Known.Replaced = Holder != this->Joined.end() && Holder->second != Each.Id;
    Result[Each.Id] = Known;
  }
  return Result;
}

void Controller::planMembers() {
  if (!this->Host->leads())
    return;
  const Consensus::Replica &Replica = *this->Host->replica();
  Consensus::VoterPlanOptions Options;
  Options.Voters = 2 * this->Settings.ToleratedHosts + 1;
  const auto Next = Consensus::planVoters(Replica.membership(), Replica.self(),
                                          this->memberConditions(), Options);
  if (!Next)
    return;
  const bool Promotes = Next->What == Consensus::VoterChange::Kind::Promote;
  const absl::Status Done = this->Host->change(
      [&Next, Promotes](Consensus::Replica &Of, Common::TimePoint Now) {
        return Promotes ? Of.promote(Now, Next->Id) : Of.remove(Now, Next->Id);
      });
  Telemetry::log(Events::MembersChange, Promotes ? "promote" : "remove",
                 Next->Id.str(),
                 Done.ok() ? "proposed" : std::string(Done.message()));
}

void Controller::received(Network::ConnectionId From,
                          const std::string &Payload) {
  auto Frame = Network::decode<State::ControlFrame>(Payload);
  if (!Frame.ok()) {
    this->Metrics.refused(Common::RefusalReason::UndecodableFrame);
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
    this->Metrics.refused(Common::RefusalReason::UndecodableFrame);
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
    this->Metrics.count("heartbeats_stale_total");
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

void Controller::handleHttp(
    const std::shared_ptr<Network::Http1Exchange> &Exchange) {
  const Platform::ControlCall Call =
      Platform::decodeControlCall(Exchange->head().Method, Exchange->path());
  if (const auto *Beat = std::get_if<Platform::HeartbeatCall>(&Call))
    this->heartbeat(*Exchange, Beat->Server);
  else if (const auto *Leaves = std::get_if<Platform::DepartureCall>(&Call))
    this->departure(*Exchange, Leaves->Server);
  else if (std::holds_alternative<Platform::DeclareCall>(Call))
    this->declare(Exchange);
  else if (std::holds_alternative<Platform::ReadCall>(Call))
    this->read(*Exchange);
  else
    Exchange->reply(404, JsonType, errorBody("no such call"));
}

void Controller::heartbeat(Network::Http1Exchange &Exchange,
                           const Common::BackendServerId &Id) {
  const auto Said = Platform::decodeHeartbeat(Id, Exchange.body());
  if (!Said.ok()) {
    this->Metrics.count("heartbeats_bad_total");
    Telemetry::log(Events::HeartbeatRefused, Id.str(), Said.status().message());
    Exchange.reply(400, JsonType,
                   errorBody(std::string(Said.status().message())));
    return;
  }
  this->Metrics.count("heartbeats_total");
  this->announced(*Said);
  Exchange.reply(200, JsonType, "{}");
}

void Controller::departure(Network::Http1Exchange &Exchange,
                           const Common::BackendServerId &Id) {
  const std::uint64_t Start = Platform::departureStart(Exchange.body());
  if (this->Registry.leave(Id, Start, this->Loop.now()))
    this->spread(this->Registry.find(Id)->Record, true);
  Exchange.reply(200, JsonType, "{}");
}

void Controller::declare(
    const std::shared_ptr<Network::Http1Exchange> &Exchange) {
  auto Map = Platform::decodeConfiguration(Exchange->body());
  if (!Map.ok()) {
    this->Metrics.count("declarations_invalid_total");
    Telemetry::log(Events::DeclarationRefused, Map.status().message());
    Exchange->reply(400, JsonType,
                    errorBody(std::string(Map.status().message())));
    return;
  }
  if (!this->Host->leads()) {
    this->redirectToLeader(*Exchange, Exchange->head().Target);
    return;
  }
  const Common::ConfigurationVersion Version = Map->version();
  if (Version <= this->State.version()) {
    Telemetry::log(Events::DeclarationNotNewer, Version.Value,
                   this->State.version().Value);
    Exchange->reply(200, JsonType, "{}");
    return;
  }
  State::DeclareCommand Command{Version, Exchange->body()};
  const bool Appended = this->Host->propose(
      Network::encode(State::ControlCommand(std::move(Command))),
      [this, Exchange, Version](ReplicaHost::ProposalEnd End) {
        const bool Applied = End == ReplicaHost::ProposalEnd::Applied;
        Telemetry::log(Events::DeclarationDecided, Version.Value,
                       Applied ? "acknowledged" : "unknown");
        if (Applied)
          Exchange->reply(200, JsonType, "{}");
        else
          // In force or not: the operator sends it again and learns which.
          Exchange->reply(500, JsonType,
                          errorBody("the leader changed; send it again"));
      });
  if (!Appended)
    this->redirectToLeader(*Exchange, Exchange->head().Target);
}

void Controller::read(Network::Http1Exchange &Exchange) {
  if (!this->Host->leads()) {
    this->redirectToLeader(Exchange, Exchange.head().Target);
    return;
  }
  if (this->State.document().empty())
    Exchange.reply(503, JsonType, errorBody("nothing was declared yet"));
  else
    Exchange.reply(200, JsonType, this->State.document());
}

void Controller::redirectToLeader(Network::Http1Exchange &Exchange,
                                  const std::string &Path) {
  const auto *Replica = this->Host->replica();
  const Consensus::Member *Leader =
      Replica ? Replica->membership().find(Replica->leader()) : nullptr;
  if (!Leader || Leader->Id == Replica->self()) {
    Exchange.reply(503, {{"Retry-After", "0.3"}},
                   errorBody("no leader is known; retry shortly"));
    return;
  }
  const Network::Address To{Leader->Address.Ip, this->Settings.Http.Port};
  Exchange.reply(307, {{"Location", "http://" + To.str() + Path}}, "");
}

void Controller::updateGauges() {
  const auto *Replica = this->Host->replica();
  this->Metrics.gauge("replica_open", Replica ? 1 : 0);
  this->Metrics.gauge("declaration_version",
                      static_cast<double>(this->State.version().Value));
  this->Metrics.gauge("entries_connected",
                      static_cast<double>(this->Entries.size()));
  this->Metrics.gauge("leading", this->Host->leads() ? 1 : 0);
  if (!Replica)
    return;
  this->Metrics.gauge("term", static_cast<double>(Replica->term().Value));
  this->Metrics.gauge("voters",
                      static_cast<double>(Replica->membership().voterCount()));
  this->Metrics.gauge(
      "members", static_cast<double>(Replica->membership().members().size()));
  double Lost = 0;
  if (this->Host->leads())
    for (const auto &Each : this->memberConditions())
      Lost += Each.second.Replaced || !Each.second.CaughtUp ? 1 : 0;
  this->Metrics.gauge("members_lost_or_behind", Lost);
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
