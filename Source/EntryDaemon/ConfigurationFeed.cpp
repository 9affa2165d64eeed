#include "EntryDaemon/ConfigurationFeed.h"

#include "Common/Hash.h"
#include "Network/Codec.h"
#include "Telemetry/LogEvents.h"

#include <absl/strings/str_cat.h>

namespace EntryDaemon {

namespace {

/// The backstop's period; drawn anew each time, so that daemons do not ask
/// in step.
constexpr Common::Duration PollLeast = std::chrono::milliseconds(700);
constexpr Common::Duration PollMost = std::chrono::milliseconds(1300);
constexpr Common::Duration AskLimit = std::chrono::seconds(1);

} // namespace

ConfigurationFeed::ConfigurationFeed(EntryContext &Context,
                                     const Membership::PeerTable &Peers,
                                     OnChange Changed)
    : Context(Context), Peers(Peers), Changed(std::move(Changed)),
      Jitter(Common::hashBytes(Context.Settings.Name.str())) {}

absl::StatusOr<std::unique_ptr<ConfigurationFeed>>
ConfigurationFeed::create(EntryContext &Context,
                          const Membership::PeerTable &Peers,
                          OnChange Changed) {
  std::unique_ptr<ConfigurationFeed> Feed(
      new ConfigurationFeed(Context, Peers, std::move(Changed)));
  if (absl::Status Listening = Feed->listen(); !Listening.ok())
    return Listening;
  Feed->poll();
  return Feed;
}

absl::Status ConfigurationFeed::listen() {
  Network::FrameServer::Handlers Handle;
  Handle.OnPayload = [this](Network::ConnectionId From,
                            const std::string &Payload) {
    this->answer(From, Payload);
  };
  Handle.OnRefused = [this](Common::RefusalReason Reason) {
    this->Context.Metrics.recordRefusal(Reason);
  };
  auto Listening = Network::FrameServer::create(
      this->Context.Loop, this->Context.Settings.Peer,
      this->Context.Settings.Key, std::move(Handle));
  if (!Listening.ok())
    return Listening.status();
  this->Server = std::move(*Listening);
  return absl::OkStatus();
}

void ConfigurationFeed::schedulePoll() {
  this->Timer = this->Context.Loop.callAfter(
      this->Jitter.between(PollLeast, PollMost), [this] { this->poll(); });
}

void ConfigurationFeed::poll() {
  if (!this->Watching && this->Peers.isRelay(this->Context.Loop.now())) {
    this->Watching = true;
    this->Context.State.watch([this](const Configuration::Declaration &Newer) {
      this->apply(Newer);
    });
  }
  this->Context.State.askAny(
      State::FetchConfiguration{this->Context.Declared.version()}, AskLimit,
      [this](const State::AskResult &Result) {
        const auto *Answer = std::get_if<State::AnswerBody>(&Result);
        const auto *Given =
            Answer ? std::get_if<State::ConfigurationAnswer>(Answer) : nullptr;
        if (Given && Given->Newer)
          this->apply(*Given->Newer);
        this->schedulePoll();
      });
}

void ConfigurationFeed::apply(const Configuration::Declaration &Newer) {
  if (Newer.version() <= this->Context.Declared.version())
    return;
  this->Context.Declared = Newer;
  Telemetry::log(Telemetry::Events::ConfigurationInForce,
                 Newer.version().Value);
  this->Changed();
}

void ConfigurationFeed::fetchFrom(const Common::DaemonId &Peer) {
  auto &Link = this->Links[Peer];
  const Membership::Peer *Known = this->Peers.find(Peer);
  if (!Known)
    return;
  if (!Link) {
    Network::FrameLink::Handlers Handle;
    Handle.OnPayload = [this](const std::string &Payload) {
      this->received(Payload);
    };
    Handle.OnUp = [this, Peer] { this->fetchFrom(Peer); };
    Handle.OnRefused = [this](Common::RefusalReason Reason) {
      this->Context.Metrics.recordRefusal(Reason);
    };
    Link = std::make_unique<Network::FrameLink>(
        this->Context.Loop, Known->Address, this->Context.Settings.Key,
        std::move(Handle));
    return;
  }
  const State::Question Asked{
      State::Correlation{1},
      State::FetchConfiguration{this->Context.Declared.version()}};
  Link->send(Network::encode(State::Frame(Asked)));
}

void ConfigurationFeed::answer(Network::ConnectionId To,
                               const std::string &Payload) {
  const auto Received = Network::decode<State::Frame>(Payload);
  const auto *Asked =
      Received.ok() ? std::get_if<State::Question>(&*Received) : nullptr;
  const auto *Fetch =
      Asked ? std::get_if<State::FetchConfiguration>(&Asked->Body) : nullptr;
  if (!Fetch) {
    this->Context.Metrics.recordRefusal(
        Common::RefusalReason::UndecodableFrame);
    return;
  }
  State::ConfigurationAnswer Given;
  if (this->Context.Declared.version() > Fetch->Have)
    Given.Newer = this->Context.Declared;
  this->Server->send(To, Network::encode(State::Frame(
                             State::Answer{Asked->Correlation, Given})));
}

void ConfigurationFeed::received(const std::string &Payload) {
  const auto Received = Network::decode<State::Frame>(Payload);
  const auto *Answer =
      Received.ok() ? std::get_if<State::Answer>(&*Received) : nullptr;
  const auto *Given =
      Answer ? std::get_if<State::ConfigurationAnswer>(&Answer->Body) : nullptr;
  if (!Given)
    this->Context.Metrics.recordRefusal(
        Common::RefusalReason::UndecodableFrame);
  else if (Given->Newer)
    this->apply(*Given->Newer);
}

} // namespace EntryDaemon
