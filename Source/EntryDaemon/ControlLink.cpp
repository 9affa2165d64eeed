#include "EntryDaemon/ControlLink.h"

#include "Network/Codec.h"
#include "Network/Compression.h"
#include "Telemetry/LogEvents.h"

#include <algorithm>

namespace EntryDaemon {

namespace {

namespace Events = Telemetry::Events;

constexpr Common::Duration PollPeriod = std::chrono::milliseconds(400);
/// Requests for an immediate poll within this time share one poll.
constexpr Common::Duration PollBatchDelay = std::chrono::milliseconds(2);
/// Without an answer for this long, other state daemons are tried if the
/// current one is silent.
constexpr Common::Duration AnswerTimeout = std::chrono::milliseconds(1100);
/// The same if the current one is not silent. An election takes about that
/// long, in which the others have no leader either.
constexpr Common::Duration LeaderTimeout = std::chrono::milliseconds(1700);
/// Delay until the next state daemon is tried beside those that did not answer.
constexpr Common::Duration AttemptDelay = std::chrono::milliseconds(200);
/// An attempt that reached a state daemon without a leader is given up after
/// this time, so that a group without a leader is not asked for a snapshot
/// again and again.
constexpr Common::Duration LeaderlessAttemptTimeout = std::chrono::seconds(3);
/// Each one gets a snapshot of the registry and the declaration.
constexpr std::size_t MaxAttempts = 4;
/// Beyond this number the oldest unanswered poll is forgotten.
constexpr std::size_t MaxOutstandingPolls = 64;

} // namespace

ControlLink::ControlLink(Network::EventLoop &Loop, Options Opts,
                         Handlers EventHandlers)
    : Loop(Loop), Opts(std::move(Opts)),
      EventHandlers(std::move(EventHandlers)),
      Randomness(this->Opts.RandomSeed), Incarnation{static_cast<std::uint64_t>(
                                             Loop.wallNow().Milliseconds)} {
  this->Current = this->connect(this->nextCandidate());
  this->PollTimer =
      Loop.callEvery(PollPeriod, [this] { this->checkConnection(); });
}

void ControlLink::setSeeds(std::vector<Network::Address> Seeds) {
  this->Opts.Seeds = std::move(Seeds);
}

std::vector<Network::Address> ControlLink::connectionOrder() {
  std::vector<Network::Address> Result;
  std::vector<Network::Address> Others;
  for (const State::StateEndpoint &Each : this->StateDaemons)
    (Each.DataCentre == this->Opts.DataCentre ? Result : Others)
        .push_back(Each.Address);
  // A random order spreads the entry daemons over the state daemons.
  const auto AddShuffled = [this,
                            &Result](std::vector<Network::Address> Added) {
    for (std::size_t I = Added.size(); I > 1; --I)
      std::swap(Added[I - 1], Added[this->Randomness.below(I)]);
    for (const Network::Address &Each : Added)
      if (std::find(Result.begin(), Result.end(), Each) == Result.end())
        Result.push_back(Each);
  };
  AddShuffled(std::move(Others));
  // Seeds that are not members may have been replaced long ago.
  AddShuffled(this->Opts.Seeds);
  return Result;
}

Network::Address ControlLink::nextCandidate() {
  if (this->NextCandidate >= this->Candidates.size()) {
    this->Candidates = this->connectionOrder();
    this->NextCandidate = 0;
  }
  return this->Candidates[this->NextCandidate++];
}

ControlLink::StateLink
ControlLink::connect(const Network::Address &StateDaemon) {
  const LinkNumber Number{++this->LastLinkNumber.Value};
  Network::FrameClient::Handlers LinkHandlers;
  LinkHandlers.OnPayload = [this, Number](const std::string &Payload) {
    this->handleFrame(Number, Payload);
  };
  LinkHandlers.OnConnected = [this, Number] { this->handleConnected(Number); };
  LinkHandlers.OnDisconnected = [StateDaemon] {
    Telemetry::log(Events::StateDaemonLost, StateDaemon.str());
  };
  LinkHandlers.OnRefused = [](Common::RefusalReason) {};
  return {Number,
          std::make_unique<Network::FrameClient>(
              this->Loop, StateDaemon, this->Opts.Key, std::move(LinkHandlers)),
          this->Loop.now()};
}

Network::FrameClient *ControlLink::find(LinkNumber Number) {
  if (this->Current.Number == Number)
    return this->Current.Client.get();
  for (const StateLink &Each : this->Attempts)
    if (Each.Number == Number)
      return Each.Client.get();
  return nullptr;
}

void ControlLink::handleConnected(LinkNumber Number) {
  Network::FrameClient *Link = this->find(Number);
  if (!Link)
    return;
  Telemetry::log(Events::StateDaemonConnected, Link->peer().str());
  // Ahead of the greeting, so that the state daemon does not send its
  // declaration unasked.
  this->requestDeclaration(*Link);
  Link->send(
      Network::encode(State::ControlFrame(State::EntryHello{this->Opts.Self})));
  this->sendPoll(*Link);
  if (this->Current.Number == Number)
    this->EventHandlers.OnConnected();
}

bool ControlLink::isAnswerOverdue() const {
  const Common::Duration Waited =
      this->Loop.now() - std::max(this->LastAnswerAt, this->Current.StartedAt);
  return Waited >
         (this->Current.Client->isResponsive() ? LeaderTimeout : AnswerTimeout);
}

void ControlLink::closeFailedAttempts() {
  const Common::TimePoint Now = this->Loop.now();
  std::erase_if(this->Attempts, [Now](const StateLink &Each) {
    return Now - Each.StartedAt > (Each.Client->isResponsive()
                                       ? LeaderlessAttemptTimeout
                                       : AnswerTimeout);
  });
}

bool ControlLink::isTried(const Network::Address &StateDaemon) const {
  const auto IsPeer = [&StateDaemon](const StateLink &Each) {
    return Each.Client->peer() == StateDaemon;
  };
  return IsPeer(this->Current) ||
         std::any_of(this->Attempts.begin(), this->Attempts.end(), IsPeer);
}

void ControlLink::tryNextCandidate() {
  this->closeFailedAttempts();
  if (!this->isAnswerOverdue() || this->Attempts.size() >= MaxAttempts)
    return;
  // Each link takes at most one place in the order.
  for (std::size_t I = 0; I <= this->Attempts.size() + 1; ++I) {
    const Network::Address Next = this->nextCandidate();
    if (this->isTried(Next))
      continue;
    this->Attempts.push_back(this->connect(Next));
    return;
  }
}

void ControlLink::changeTo(LinkNumber Number) {
  const auto Found = std::find_if(
      this->Attempts.begin(), this->Attempts.end(),
      [Number](const StateLink &Each) { return Each.Number == Number; });
  if (Found == this->Attempts.end())
    return;
  Telemetry::log(Events::StateDaemonChanged, this->Current.Client->peer().str(),
                 "no answer from the leader before the timeout");
  this->Current = std::move(*Found);
  this->Attempts.clear();
  this->EventHandlers.OnConnected();
}

void ControlLink::checkConnection() {
  if (this->isAnswerOverdue()) {
    if (!this->AttemptTimer.isActive()) {
      // What was known of the order is older than the last answer.
      this->NextCandidate = this->Candidates.size();
      this->tryNextCandidate();
      this->AttemptTimer = this->Loop.callEvery(
          AttemptDelay, [this] { this->tryNextCandidate(); });
    }
  } else {
    this->AttemptTimer.cancel();
    this->Attempts.clear();
  }
  if (this->Loop.now() - this->LastPollAt >= PollPeriod / 2)
    this->poll();
}

void ControlLink::pollSoon() {
  this->ScheduledPollTimer.cancel();
  this->PollScheduled = false;
  this->schedulePoll(PollBatchDelay);
}

void ControlLink::schedulePoll(Common::Duration Delay) {
  if (this->PollScheduled)
    return;
  this->PollScheduled = true;
  this->ScheduledPollTimer = this->Loop.callAfter(Delay, [this] {
    this->PollScheduled = false;
    this->poll();
  });
}

bool ControlLink::requestTokens(State::TokenRequest Request) {
  Request.Entry = this->Opts.Self;
  Request.Incarnation = this->Incarnation;
  return this->Current.Client->send(
      Network::encode(State::ControlFrame(std::move(Request))));
}

void ControlLink::poll() {
  this->sendPoll(*this->Current.Client);
  for (const StateLink &Each : this->Attempts)
    this->sendPoll(*Each.Client);
}

void ControlLink::sendPoll(Network::FrameClient &To) {
  if (!To.isConnected())
    return;
  State::EntryPoll Poll;
  Poll.Entry = this->Opts.Self;
  Poll.Incarnation = this->Incarnation;
  Poll.DataCentre = this->Opts.DataCentre;
  Poll.Sequence = ++this->Sequence;
  Poll.Wall = this->Loop.wallNow();
  this->EventHandlers.FillPoll(Poll);
  const Common::TimePoint Now = this->Loop.now();
  this->LastPollAt = Now;
  this->PollSentAt[Poll.Sequence] = Now;
  if (this->PollSentAt.size() > MaxOutstandingPolls)
    this->PollSentAt.erase(this->PollSentAt.begin());
  To.send(Network::encode(State::ControlFrame(std::move(Poll))));
  this->sendReport(To);
}

void ControlLink::sendReport(Network::FrameClient &To) {
  State::EntryReport Report;
  Report.Entry = this->Opts.Self;
  Report.Incarnation = this->Incarnation;
  Report.Sequence = this->Sequence;
  this->EventHandlers.FillReport(Report);
  this->ReportSentAt[Report.Sequence] = this->Loop.now();
  if (this->ReportSentAt.size() > MaxOutstandingPolls)
    this->ReportSentAt.erase(this->ReportSentAt.begin());
  To.send(Network::encode(State::ControlFrame(std::move(Report))));
}

void ControlLink::requestDeclaration(Network::FrameClient &From) {
  From.send(Network::encode(State::ControlFrame(
      State::DeclarationRequest{this->EventHandlers.HeldVersion()})));
}

void ControlLink::handleRequestedDeclaration(
    const State::RequestedDeclaration &Received) {
  auto Document = Network::decompress(Received.CompressedDocument,
                                      Network::FrameCodec::MaxPayloadBytes);
  if (!Document.ok()) {
    Telemetry::log(Events::DeclarationUnreadable, Received.Version.Value,
                   Document.status().message());
    return;
  }
  this->EventHandlers.OnDeclaration({Received.Version, std::move(*Document)},
                                    "request");
}

void ControlLink::handleDirectives(const State::EntryDirectives &Directives) {
  if (Directives.Entry.empty()) {
    this->EventHandlers.OnDirectives(Directives, std::nullopt);
    return;
  }
  const auto Sent = this->ReportSentAt.find(Directives.Sequence);
  if (Directives.Entry != this->Opts.Self ||
      Directives.Incarnation != this->Incarnation ||
      Sent == this->ReportSentAt.end())
    return;
  const Common::TimePoint SentAt = Sent->second;
  this->ReportSentAt.erase(Sent);
  this->EventHandlers.OnDirectives(Directives, SentAt);
}

void ControlLink::handleRegistryDelta(LinkNumber From,
                                      const State::RegistryDelta &Delta) {
  State::ServerRecordRequest Request{
      this->EventHandlers.OnRegistryDelta(Delta)};
  if (Request.Servers.empty())
    return;
  if (Network::FrameClient *Link = this->find(From))
    Link->send(Network::encode(State::ControlFrame(std::move(Request))));
}

void ControlLink::handleFrame(LinkNumber From, const std::string &Payload) {
  const auto Frame = Network::decode<State::ControlFrame>(Payload);
  if (!Frame.ok()) {
    Telemetry::log(Events::FrameUndecodable, Frame.status().message());
    return;
  }
  if (const auto *Delta = std::get_if<State::RegistryDelta>(&*Frame)) {
    this->handleRegistryDelta(From, *Delta);
  } else if (const auto *Push = std::get_if<State::DeclarationPush>(&*Frame)) {
    this->EventHandlers.OnDeclaration(*Push, "push");
  } else if (const auto *Requested =
                 std::get_if<State::RequestedDeclaration>(&*Frame)) {
    this->handleRequestedDeclaration(*Requested);
    if (Network::FrameClient *Link = this->find(From))
      this->requestDeclaration(*Link);
  } else if (const auto *Decided =
                 std::get_if<State::TokenDecisions>(&*Frame)) {
    if (Decided->Entry == this->Opts.Self &&
        Decided->Incarnation == this->Incarnation)
      this->EventHandlers.OnTokenDecisions(*Decided);
  } else if (const auto *Totals = std::get_if<State::ServerLoads>(&*Frame)) {
    this->EventHandlers.OnServerLoads(*Totals);
  } else if (const auto *Directives =
                 std::get_if<State::EntryDirectives>(&*Frame)) {
    this->handleDirectives(*Directives);
  } else if (const auto *Speeds = std::get_if<State::ServerSpeeds>(&*Frame)) {
    this->EventHandlers.OnServerSpeeds(*Speeds);
  } else if (const auto *Versions =
                 std::get_if<State::ServerVersions>(&*Frame)) {
    this->EventHandlers.OnServerVersions(*Versions);
  } else if (const auto *Known = std::get_if<State::StateEndpoints>(&*Frame)) {
    if (!Known->Endpoints.empty())
      this->StateDaemons = Known->Endpoints;
  } else if (const auto *Answer =
                 std::get_if<State::EntryPollResponse>(&*Frame)) {
    const auto Sent = this->PollSentAt.find(Answer->Sequence);
    if (Answer->Entry != this->Opts.Self ||
        Answer->Incarnation != this->Incarnation ||
        Sent == this->PollSentAt.end())
      return;
    const Common::TimePoint SentAt = Sent->second;
    this->PollSentAt.erase(Sent);
    this->LastAnswerAt = this->Loop.now();
    this->changeTo(From);
    this->EventHandlers.OnPollAnswer(*Answer, SentAt);
  }
}

} // namespace EntryDaemon
