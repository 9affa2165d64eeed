#include "EntryDaemon/ConfigurationSync.h"

#include "Common/Hash.h"
#include "Network/Codec.h"
#include "Telemetry/LogEvents.h"

#include <absl/strings/str_cat.h>

namespace EntryDaemon {

namespace {

// Each poll is delayed by a random time between these bounds, so that the
// daemons do not poll the state daemons in lockstep.
constexpr Common::Duration MinPollInterval = std::chrono::milliseconds(700);
constexpr Common::Duration MaxPollInterval = std::chrono::milliseconds(1300);
constexpr Common::Duration FetchTimeout = std::chrono::seconds(1);

} // namespace

ConfigurationSync::ConfigurationSync(EntryContext &Context,
                                     const Membership::PeerTable &Peers,
                                     OnChange NotifyChange)
    : Context(Context), Peers(Peers), NotifyChange(std::move(NotifyChange)),
      Jitter(Common::hashBytes(Context.Settings.Name.str())) {}

absl::StatusOr<std::unique_ptr<ConfigurationSync>>
ConfigurationSync::create(EntryContext &Context,
                          const Membership::PeerTable &Peers,
                          OnChange NotifyChange) {
  std::unique_ptr<ConfigurationSync> Sync(
      new ConfigurationSync(Context, Peers, std::move(NotifyChange)));
  if (absl::Status Listening = Sync->listen(); !Listening.ok())
    return Listening;
  Sync->poll();
  return Sync;
}

absl::Status ConfigurationSync::listen() {
  Network::FrameServer::Handlers Handlers;
  Handlers.OnPayload = [this](Network::ConnectionId From,
                              const std::string &Payload) {
    this->handleFetch(From, Payload);
  };
  Handlers.OnRefused = [this](Common::RefusalReason Reason) {
    this->Context.Metrics.recordRefusal(Reason);
  };
  auto Listening = Network::FrameServer::create(
      this->Context.Loop, this->Context.Settings.Peer,
      this->Context.Settings.Key, std::move(Handlers));
  if (!Listening.ok())
    return Listening.status();
  this->Server = std::move(*Listening);
  return absl::OkStatus();
}

void ConfigurationSync::schedulePoll() {
  this->PollTimer = this->Context.Loop.callAfter(
      this->Jitter.between(MinPollInterval, MaxPollInterval),
      [this] { this->poll(); });
}

void ConfigurationSync::poll() {
  if (!this->Subscribed && this->Peers.isRelay(this->Context.Loop.now())) {
    this->Subscribed = true;
    this->Context.State.watchConfiguration(
        [this](const Configuration::Declaration &Newer) {
          this->apply(Newer);
        });
  }
  this->Context.State.sendToAny(
      State::FetchConfiguration{this->Context.Declared.version()}, FetchTimeout,
      [this](const State::RequestResult &Result) {
        const auto *Answer = std::get_if<State::ResponseBody>(&Result);
        const auto *Reply =
            Answer ? std::get_if<State::ConfigurationResponse>(Answer)
                   : nullptr;
        if (Reply && Reply->Newer)
          this->apply(*Reply->Newer);
        this->schedulePoll();
      });
}

void ConfigurationSync::apply(const Configuration::Declaration &Newer) {
  if (Newer.version() <= this->Context.Declared.version())
    return;
  this->Context.Declared = Newer;
  Telemetry::log(Telemetry::Events::ConfigurationInForce,
                 Newer.version().Value);
  this->NotifyChange();
}

void ConfigurationSync::fetchFrom(const Common::DaemonId &Peer) {
  auto &Link = this->Links[Peer];
  const Membership::Peer *PeerEntry = this->Peers.find(Peer);
  if (!PeerEntry)
    return;
  if (!Link) {
    Network::FrameClient::Handlers Handlers;
    Handlers.OnPayload = [this](const std::string &Payload) {
      this->handleAnswer(Payload);
    };
    Handlers.OnConnected = [this, Peer] { this->fetchFrom(Peer); };
    Handlers.OnRefused = [this](Common::RefusalReason Reason) {
      this->Context.Metrics.recordRefusal(Reason);
    };
    Link = std::make_unique<Network::FrameClient>(
        this->Context.Loop, PeerEntry->Address, this->Context.Settings.Key,
        std::move(Handlers));
    return;
  }
  const State::Request Question{
      State::Correlation{1},
      State::FetchConfiguration{this->Context.Declared.version()}};
  Link->send(Network::encode(State::Frame(Question)));
}

void ConfigurationSync::handleFetch(Network::ConnectionId To,
                                    const std::string &Payload) {
  const auto Received = Network::decode<State::Frame>(Payload);
  const auto *Question =
      Received.ok() ? std::get_if<State::Request>(&*Received) : nullptr;
  const auto *Fetch =
      Question ? std::get_if<State::FetchConfiguration>(&Question->Body)
               : nullptr;
  if (!Fetch) {
    this->Context.Metrics.recordRefusal(
        Common::RefusalReason::UndecodableFrame);
    return;
  }
  State::ConfigurationResponse Reply;
  if (this->Context.Declared.version() > Fetch->InstalledVersion)
    Reply.Newer = this->Context.Declared;
  this->Server->send(To, Network::encode(State::Frame(
                             State::Response{Question->Correlation, Reply})));
}

void ConfigurationSync::handleAnswer(const std::string &Payload) {
  const auto Received = Network::decode<State::Frame>(Payload);
  const auto *Answer =
      Received.ok() ? std::get_if<State::Response>(&*Received) : nullptr;
  const auto *Reply =
      Answer ? std::get_if<State::ConfigurationResponse>(&Answer->Body)
             : nullptr;
  if (!Reply)
    this->Context.Metrics.recordRefusal(
        Common::RefusalReason::UndecodableFrame);
  else if (Reply->Newer)
    this->apply(*Reply->Newer);
}

} // namespace EntryDaemon
