#include "EntryDaemon/ControlLink.h"

#include "Network/Codec.h"
#include "Telemetry/LogEvents.h"

#include <algorithm>

namespace EntryDaemon {

namespace {

namespace Events = Telemetry::Events;

constexpr Common::Duration PollPeriod = std::chrono::milliseconds(400);
/// Requests for an immediate poll within this time share one poll.
constexpr Common::Duration PollBatchDelay = std::chrono::milliseconds(2);
/// Without an answer for this long, another state daemon is tried.
constexpr Common::Duration AnswerTimeout = std::chrono::milliseconds(1100);
/// Beyond this number the oldest unanswered poll is forgotten.
constexpr std::size_t MaxOutstandingPolls = 64;

} // namespace

ControlLink::ControlLink(Network::EventLoop &Loop, Options Opts,
                         Handlers EventHandlers)
    : Loop(Loop), Opts(std::move(Opts)),
      EventHandlers(std::move(EventHandlers)),
      Randomness(this->Opts.RandomSeed), Incarnation{static_cast<std::uint64_t>(
                                             Loop.wallNow().Milliseconds)} {
  this->Candidates = this->connectionOrder();
  this->connect();
  this->PollTimer =
      Loop.callEvery(PollPeriod, [this] { this->checkConnection(); });
}

void ControlLink::setSeeds(std::vector<Network::Address> Seeds) {
  this->Opts.Seeds = std::move(Seeds);
}

std::vector<Network::Address> ControlLink::connectionOrder() {
  std::vector<Network::Address> SameDataCentre;
  std::vector<Network::Address> Others;
  for (const State::StateEndpoint &Each : this->StateDaemons)
    (Each.DataCentre == this->Opts.DataCentre ? SameDataCentre : Others)
        .push_back(Each.Address);
  for (const Network::Address &Each : this->Opts.Seeds)
    if (std::find(SameDataCentre.begin(), SameDataCentre.end(), Each) ==
            SameDataCentre.end() &&
        std::find(Others.begin(), Others.end(), Each) == Others.end())
      Others.push_back(Each);
  // A random order spreads the entry daemons over the state daemons.
  for (std::size_t I = Others.size(); I > 1; --I)
    std::swap(Others[I - 1], Others[this->Randomness.below(I)]);
  SameDataCentre.insert(SameDataCentre.end(), Others.begin(), Others.end());
  return SameDataCentre;
}

void ControlLink::connect() {
  if (this->NextCandidate >= this->Candidates.size()) {
    this->Candidates = this->connectionOrder();
    this->NextCandidate = 0;
  }
  const Network::Address StateDaemon = this->Candidates[this->NextCandidate++];
  this->ConnectStartedAt = this->Loop.now();
  Network::FrameClient::Handlers LinkHandlers;
  LinkHandlers.OnPayload = [this](const std::string &Payload) {
    this->handleFrame(Payload);
  };
  LinkHandlers.OnConnected = [this, StateDaemon] {
    Telemetry::log(Events::StateDaemonConnected, StateDaemon.str());
    this->Link->send(Network::encode(
        State::ControlFrame(State::EntryHello{this->Opts.Self})));
    this->poll();
    this->EventHandlers.OnConnected();
  };
  LinkHandlers.OnDisconnected = [StateDaemon] {
    Telemetry::log(Events::StateDaemonLost, StateDaemon.str());
  };
  LinkHandlers.OnRefused = [](Common::RefusalReason) {};
  this->Link = std::make_unique<Network::FrameClient>(
      this->Loop, StateDaemon, this->Opts.Key, std::move(LinkHandlers));
}

void ControlLink::reconnect(const char *Reason) {
  Telemetry::log(Events::StateDaemonChanged, this->Link->peer().str(), Reason);
  this->connect();
}

void ControlLink::checkConnection() {
  const Common::TimePoint Now = this->Loop.now();
  const Common::TimePoint LastContactAt =
      std::max(this->LastAnswerAt, this->ConnectStartedAt);
  if (Now - LastContactAt > AnswerTimeout) {
    this->reconnect("no answer from the leader before the timeout");
    return;
  }
  if (Now - this->LastPollAt >= PollPeriod / 2)
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
  return this->Link->send(
      Network::encode(State::ControlFrame(std::move(Request))));
}

void ControlLink::poll() {
  if (!this->Link->isConnected())
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
  this->Link->send(Network::encode(State::ControlFrame(std::move(Poll))));
}

void ControlLink::handleFrame(const std::string &Payload) {
  const auto Frame = Network::decode<State::ControlFrame>(Payload);
  if (!Frame.ok()) {
    Telemetry::log(Events::FrameUndecodable, Frame.status().message());
    return;
  }
  if (const auto *Delta = std::get_if<State::RegistryDelta>(&*Frame)) {
    this->EventHandlers.OnRegistryDelta(*Delta);
  } else if (const auto *Push = std::get_if<State::DeclarationPush>(&*Frame)) {
    this->EventHandlers.OnDeclaration(*Push);
  } else if (const auto *Decided =
                 std::get_if<State::TokenDecisions>(&*Frame)) {
    if (Decided->Entry == this->Opts.Self &&
        Decided->Incarnation == this->Incarnation)
      this->EventHandlers.OnTokenDecisions(*Decided);
  } else if (const auto *Totals = std::get_if<State::ServerLoads>(&*Frame)) {
    this->EventHandlers.OnServerLoads(*Totals);
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
    this->EventHandlers.OnPollAnswer(*Answer, SentAt);
  }
}

} // namespace EntryDaemon
