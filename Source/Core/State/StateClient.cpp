#include "State/StateClient.h"

#include "Network/Codec.h"

#include <algorithm>

namespace State {

namespace {

/// Limits the rate of attempts when two daemons redirect to each other.
constexpr Common::Duration RedirectDelay = std::chrono::milliseconds(3);

} // namespace

struct StateClient::PendingRequest {
  RequestBody Body;
  ResponseHandler OnDone;
  Common::TimePoint Deadline;
  bool SingleAttempt = false;
  /// Whether any attempt was sent and not refused.
  bool MayHaveExecuted = false;
  /// Attempts in a row that were answered by NotLeader, NoQuorum or
  /// OutcomeUnknown.
  std::size_t ConsecutiveUnservedAttempts = 0;
  bool Finished = false;
  Correlation CurrentCorrelation;
  std::size_t Link = 0;
  Network::EventHandle Timer;
};

StateClient::StateClient(Network::EventLoop &Loop, Options Settings,
                         Telemetry::Metrics &Metrics)
    : Loop(Loop), Settings(std::move(Settings)), Metrics(Metrics) {
  for (std::size_t I = 0; I < this->Settings.Daemons.size(); ++I) {
    Network::FrameClient::Handlers Handlers;
    Handlers.OnPayload = [this, I](const std::string &Payload) {
      this->handlePayload(I, Payload);
    };
    Handlers.OnConnected = [this, I] { this->onLinkUp(I); };
    Handlers.OnDisconnected = [this, I] { this->onLinkDown(I); };
    Handlers.OnRefused = [this](Common::RefusalReason Reason) {
      this->Metrics.recordRefusal(Reason);
    };
    this->Links.push_back(std::make_unique<Network::FrameClient>(
        Loop, this->Settings.Daemons[I], this->Settings.Key,
        std::move(Handlers)));
  }
}

std::size_t StateClient::aliveLinkCount() const {
  return std::count_if(this->Links.begin(), this->Links.end(),
                       [](const auto &Link) { return Link->isResponsive(); });
}

bool StateClient::isLeaderless() const {
  return this->LeaderlessSince && this->Loop.now() - *this->LeaderlessSince >
                                      this->Settings.LeaderlessTimeout;
}

void StateClient::noteLeaderMissing() {
  if (!this->LeaderlessSince)
    this->LeaderlessSince = this->Loop.now();
}

void StateClient::sendToLeader(RequestBody Body, Common::Duration Timeout,
                               ResponseHandler OnDone) {
  auto Pending = std::make_shared<PendingRequest>();
  Pending->Body = std::move(Body);
  Pending->OnDone = std::move(OnDone);
  Pending->Deadline = this->Loop.now() + Timeout;
  this->attempt(Pending);
}

void StateClient::sendToAny(RequestBody Body, Common::Duration Timeout,
                            ResponseHandler OnDone) {
  auto Pending = std::make_shared<PendingRequest>();
  Pending->Body = std::move(Body);
  Pending->OnDone = std::move(OnDone);
  Pending->Deadline = this->Loop.now() + Timeout;
  Pending->SingleAttempt = true;
  this->attempt(Pending);
}

void StateClient::watchConfiguration(ConfigurationHandler Handler) {
  this->OnConfiguration = std::move(Handler);
  for (std::size_t I = 0; I < this->Links.size(); ++I)
    if (this->Links[I]->isConnected())
      this->onLinkUp(I);
}

std::size_t StateClient::chooseLink() {
  for (std::size_t I = 0; I < this->Links.size(); ++I) {
    const std::size_t Candidate =
        (this->PreferredLink + I) % this->Links.size();
    if (this->Links[Candidate]->isResponsive())
      return Candidate;
  }
  return this->Links.size();
}

void StateClient::attempt(const PendingRequestPtr &Pending) {
  const Common::TimePoint Now = this->Loop.now();
  const bool NoLeaderReachable =
      this->isLeaderless() && !Pending->MayHaveExecuted &&
      Pending->ConsecutiveUnservedAttempts >= this->aliveLinkCount();
  if (Now >= Pending->Deadline || NoLeaderReachable) {
    const RequestFailure Failure = Pending->MayHaveExecuted
                                       ? RequestFailure::MayHaveExecuted
                                       : RequestFailure::NotExecuted;
    this->Loop.defer(
        [this, Pending, Failure] { this->finish(Pending, Failure); });
    return;
  }
  const std::size_t Link = this->chooseLink();
  if (Link >= this->Links.size()) {
    this->noteLeaderMissing();
    this->retryAfter(Pending, this->Settings.RetryDelay);
    return;
  }
  this->LastCorrelation = Correlation{this->LastCorrelation.Value + 1};
  Pending->CurrentCorrelation = this->LastCorrelation;
  Pending->Link = Link;
  Request Message{Pending->CurrentCorrelation, Pending->Body};
  const bool Sent =
      this->Links[Link]->send(Network::encode(Frame(std::move(Message))));
  if (!Sent) {
    this->retryAfter(Pending, this->Settings.RetryDelay);
    return;
  }
  this->InFlight[Pending->CurrentCorrelation] = Pending;
  const Common::Duration Timeout =
      std::min(this->Settings.AttemptTimeout, Pending->Deadline - Now);
  Pending->Timer = this->Loop.callAfter(
      Timeout, [this, Pending] { this->handleMissingResponse(Pending); });
}

void StateClient::handleMissingResponse(const PendingRequestPtr &Pending) {
  this->InFlight.erase(Pending->CurrentCorrelation);
  Pending->MayHaveExecuted = true;
  Pending->ConsecutiveUnservedAttempts = 0;
  this->Metrics.recordRetry(Common::RetryReason::StateTimeout);
  if (!this->Links.empty())
    this->PreferredLink = (Pending->Link + 1) % this->Links.size();
  if (Pending->SingleAttempt)
    this->finish(Pending, RequestFailure::MayHaveExecuted);
  else
    this->attempt(Pending);
}

void StateClient::retryAfter(const PendingRequestPtr &Pending,
                             Common::Duration Delay) {
  Pending->Timer =
      this->Loop.callAfter(Delay, [this, Pending] { this->attempt(Pending); });
}

void StateClient::finish(const PendingRequestPtr &Pending,
                         RequestResult Result) {
  if (Pending->Finished)
    return;
  Pending->Finished = true;
  Pending->Timer.cancel();
  Pending->OnDone(std::move(Result));
}

void StateClient::handlePayload(std::size_t From, const std::string &Payload) {
  auto Received = Network::decode<Frame>(Payload);
  if (!Received.ok() || !std::holds_alternative<Response>(*Received)) {
    this->Metrics.recordRefusal(Common::RefusalReason::UndecodableFrame);
    return;
  }
  this->handleResponse(From, std::get<Response>(*Received));
}

void StateClient::handleResponse(std::size_t From, const Response &Received) {
  if (const auto *Pushed = std::get_if<ConfigurationResponse>(&Received.Body);
      Pushed && Received.Correlation.Value == 0) {
    if (Pushed->Newer && this->OnConfiguration)
      this->OnConfiguration(*Pushed->Newer);
    return;
  }
  const auto Found = this->InFlight.find(Received.Correlation);
  if (Found == this->InFlight.end())
    return;
  const PendingRequestPtr Pending = Found->second;
  this->InFlight.erase(Found);
  Pending->Timer.cancel();
  const bool HasNoQuorum = std::holds_alternative<NoQuorum>(Received.Body);
  const auto *Redirection = std::get_if<NotLeader>(&Received.Body);
  const bool OutcomeIsUnknown =
      std::holds_alternative<OutcomeUnknown>(Received.Body);
  if (!HasNoQuorum && !Redirection && !OutcomeIsUnknown) {
    const bool FromLeader =
        !std::holds_alternative<ConfigurationResponse>(Received.Body);
    if (FromLeader) {
      this->PreferredLink = From;
      this->LeaderlessSince.reset();
    }
    this->finish(Pending, Received.Body);
    return;
  }
  this->Metrics.recordRetry(Common::RetryReason::StateLeaderMoved);
  Pending->MayHaveExecuted = Pending->MayHaveExecuted || OutcomeIsUnknown;
  ++Pending->ConsecutiveUnservedAttempts;
  this->noteLeaderMissing();
  const bool Redirected = Redirection && this->redirect(*Redirection);
  if (!Redirected)
    this->PreferredLink = (From + 1) % this->Links.size();
  if (Pending->SingleAttempt)
    this->finish(Pending, Received.Body);
  else
    this->retryAfter(Pending,
                     Redirected ? RedirectDelay : this->Settings.RetryDelay);
}

bool StateClient::redirect(const NotLeader &Redirection) {
  for (std::size_t I = 0; I < this->Links.size(); ++I) {
    if (this->Links[I]->peer() != Redirection.Leader ||
        !this->Links[I]->isConnected())
      continue;
    this->PreferredLink = I;
    return true;
  }
  return false;
}

void StateClient::onLinkUp(std::size_t Link) {
  if (!this->OnConfiguration)
    return;
  const Request Watch{Correlation(), WatchConfiguration{}};
  this->Links[Link]->send(Network::encode(Frame(Watch)));
}

void StateClient::onLinkDown(std::size_t Link) {
  std::vector<PendingRequestPtr> Lost;
  for (const auto &[Id, Pending] : this->InFlight)
    if (Pending->Link == Link)
      Lost.push_back(Pending);
  for (const PendingRequestPtr &Pending : Lost)
    this->handleMissingResponse(Pending);
}

} // namespace State
