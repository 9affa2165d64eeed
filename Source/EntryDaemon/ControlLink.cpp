#include "EntryDaemon/ControlLink.h"

#include "Network/Codec.h"
#include "Telemetry/LogEvents.h"

#include <algorithm>

namespace EntryDaemon {

namespace {

namespace Events = Telemetry::Events;

constexpr Common::Duration PollPeriod = std::chrono::milliseconds(400);
/// Polls that are asked for at once are gathered for this long.
constexpr Common::Duration SoonDelay = std::chrono::milliseconds(2);
/// Another state daemon is tried after this time without an answer.
constexpr Common::Duration SilenceLimit = std::chrono::milliseconds(1100);
constexpr std::size_t MostOpenPolls = 64;

} // namespace

ControlLink::ControlLink(Network::EventLoop &Loop, Options Wanted,
                         Handlers Handle)
    : Loop(Loop), Wanted(std::move(Wanted)), Handle(std::move(Handle)),
      Randomness(this->Wanted.RandomSeed), Life{static_cast<std::uint64_t>(
                                               Loop.wallNow().Milliseconds)} {
  this->Order = this->order();
  this->connect();
  this->PollTimer = Loop.callEvery(PollPeriod, [this] { this->check(); });
}

void ControlLink::setSeeds(std::vector<Network::Address> Seeds) {
  this->Wanted.Seeds = std::move(Seeds);
}

std::vector<Network::Address> ControlLink::order() {
  std::vector<Network::Address> Own;
  std::vector<Network::Address> Others;
  for (const State::StatePlace &Each : this->Places)
    (Each.DataCentre == this->Wanted.DataCentre ? Own : Others)
        .push_back(Each.Address);
  for (const Network::Address &Each : this->Wanted.Seeds)
    if (std::find(Own.begin(), Own.end(), Each) == Own.end() &&
        std::find(Others.begin(), Others.end(), Each) == Others.end())
      Others.push_back(Each);
  // Daemons spread over the state daemons by lot.
  for (std::size_t I = Others.size(); I > 1; --I)
    std::swap(Others[I - 1], Others[this->Randomness.below(I)]);
  Own.insert(Own.end(), Others.begin(), Others.end());
  return Own;
}

void ControlLink::connect() {
  if (this->NextInOrder >= this->Order.size()) {
    this->Order = this->order();
    this->NextInOrder = 0;
  }
  const Network::Address To = this->Order[this->NextInOrder++];
  this->ConnectedAt = this->Loop.now();
  Network::FrameClient::Handlers Framed;
  Framed.OnPayload = [this](const std::string &Payload) {
    this->received(Payload);
  };
  Framed.OnConnected = [this, To] {
    Telemetry::log(Events::StateDaemonConnected, To.str());
    this->Link->send(Network::encode(
        State::ControlFrame(State::EntryHello{this->Wanted.Self})));
    this->poll();
  };
  Framed.OnDisconnected = [To] {
    Telemetry::log(Events::StateDaemonLost, To.str());
  };
  Framed.OnRefused = [](Common::RefusalReason) {};
  this->Link = std::make_unique<Network::FrameClient>(
      this->Loop, To, this->Wanted.Key, std::move(Framed));
}

void ControlLink::moveOn(const char *Reason) {
  Telemetry::log(Events::StateDaemonChanged, this->Link->peer().str(), Reason);
  this->connect();
}

void ControlLink::check() {
  const Common::TimePoint Now = this->Loop.now();
  const Common::TimePoint Since = std::max(this->AnsweredAt, this->ConnectedAt);
  if (Now - Since > SilenceLimit) {
    this->moveOn("no answer from the leader through it");
    return;
  }
  if (Now - this->PolledAt >= PollPeriod / 2)
    this->poll();
}

void ControlLink::pollSoon() {
  this->SoonTimer.cancel();
  this->Soon = false;
  this->pollAfter(SoonDelay);
}

void ControlLink::pollAfter(Common::Duration Delay) {
  if (this->Soon)
    return;
  this->Soon = true;
  this->SoonTimer = this->Loop.callAfter(Delay, [this] {
    this->Soon = false;
    this->poll();
  });
}

void ControlLink::poll() {
  if (!this->Link->isConnected())
    return;
  State::EntryPoll Asked;
  Asked.Entry = this->Wanted.Self;
  Asked.Life = this->Life;
  Asked.DataCentre = this->Wanted.DataCentre;
  Asked.Sequence = ++this->Sequence;
  Asked.Wall = this->Loop.wallNow();
  this->Handle.FillPoll(Asked);
  const Common::TimePoint Now = this->Loop.now();
  this->PolledAt = Now;
  this->SentAt[Asked.Sequence] = Now;
  if (this->SentAt.size() > MostOpenPolls)
    this->SentAt.erase(this->SentAt.begin());
  this->Link->send(Network::encode(State::ControlFrame(std::move(Asked))));
}

void ControlLink::received(const std::string &Payload) {
  const auto Frame = Network::decode<State::ControlFrame>(Payload);
  if (!Frame.ok()) {
    Telemetry::log(Events::FrameUndecodable, Frame.status().message());
    return;
  }
  if (const auto *Delta = std::get_if<State::RegistryDelta>(&*Frame)) {
    this->Handle.OnServers(*Delta);
  } else if (const auto *Push = std::get_if<State::DeclarationPush>(&*Frame)) {
    this->Handle.OnDeclaration(*Push);
  } else if (const auto *Known = std::get_if<State::StatePlaces>(&*Frame)) {
    if (!Known->Places.empty())
      this->Places = Known->Places;
  } else if (const auto *Answer =
                 std::get_if<State::EntryPollAnswer>(&*Frame)) {
    const auto Sent = this->SentAt.find(Answer->Sequence);
    if (Answer->Entry != this->Wanted.Self || Answer->Life != this->Life ||
        Sent == this->SentAt.end())
      return;
    const Common::TimePoint AskedAt = Sent->second;
    this->SentAt.erase(Sent);
    this->AnsweredAt = this->Loop.now();
    this->Handle.OnAnswer(*Answer, AskedAt);
  }
}

} // namespace EntryDaemon
