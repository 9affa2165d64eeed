#include "EntryDaemon/RoutedCall.h"

#include "Common/Hash.h"
#include "Telemetry/LogEvents.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

namespace EntryDaemon {

namespace {

namespace Events = Telemetry::Events;

/// How long a call waits for tokens of its team's allowance: a share of the
/// route's target time, within these bounds.
constexpr double TokenWaitTargetShare = 0.25;
constexpr Common::Duration MinTokenWait = std::chrono::milliseconds(60);
constexpr Common::Duration MaxTokenWait = std::chrono::milliseconds(300);
/// Added for the way to the state daemon and back, which refuses the call in
/// time unless the connection to it is lost.
constexpr Common::Duration TokenWaitMargin = std::chrono::milliseconds(50);
/// Retry-After of calls that got no decision on their tokens: by then, this
/// daemon has connected to another state daemon.
constexpr Common::Duration RetryAfterNoDecision =
    std::chrono::milliseconds(900);
/// Applies if neither the route has a timeout nor the caller sets a deadline.
constexpr Common::Duration DefaultTimeout = std::chrono::seconds(60);
constexpr Common::Duration RetryAfterNoDeclaration =
    std::chrono::milliseconds(500);
/// The caller's next attempt goes to another daemon.
constexpr Common::Duration RetryAfterShuttingDown =
    std::chrono::milliseconds(50);
/// A refusal of what crashes servers does not end soon.
constexpr Common::Duration RetryAfterContentRefused = std::chrono::seconds(30);
/// How long a call waits for the first declaration during startup.
constexpr Common::Duration MaxStartupWait = std::chrono::milliseconds(900);

std::string hostWithoutPort(const std::string &Host) {
  return Host.substr(0, Host.find(':'));
}

} // namespace

RoutedCall::RoutedCall(GatewayContext &Context,
                       std::shared_ptr<Network::Http1Exchange> Exchange)
    : Context(Context), Exchange(std::move(Exchange)),
      ArrivedAt(Context.Loop.now()), LastEventAt(ArrivedAt) {}

void RoutedCall::start() {
  this->Context.OpenCalls.insert(this->shared_from_this());
  this->Exchange->onCallerDisconnected(
      [Self = this->shared_from_this()] { Self->handleDisconnect(); });
  if (!this->Context.startingUp(this->ArrivedAt)) {
    this->continueAfterStartup();
    return;
  }
  this->Context.CallsAwaitingDeclaration.push_back(this->shared_from_this());
  this->StartupWaitTimer = this->Context.Loop.callAfter(
      MaxStartupWait,
      [Self = this->shared_from_this()] { Self->continueAfterStartup(); });
}

void RoutedCall::continueAfterStartup() {
  if (this->Resolved || this->Done)
    return;
  this->Resolved = true;
  this->StartupWaitTimer.cancel();
  if (this->resolve())
    this->admit();
}

bool RoutedCall::resolve() {
  this->Declaration = this->Context.Declaration;
  if (!this->Declaration) {
    this->fail(CallFailure::NoDeclaration, HttpStatus::Unavailable,
               RetryAfterNoDeclaration);
    return false;
  }
  auto Decoded = Platform::decodeCallerHeaders(this->Exchange->head().Headers);
  if (!Decoded.ok()) {
    this->fail(CallFailure::BadHeaders, HttpStatus::BadRequest);
    return false;
  }
  this->CallerHeaders = std::move(*Decoded);
  this->Route = this->Declaration->route(
      hostWithoutPort(this->CallerHeaders.Host), this->Exchange->path());
  const bool NeedsKey =
      this->Route && !this->Route->Public && this->Declaration->requiresKeys();
  // What the declaration says of routes and teams may be out of date as a
  // whole: a newer one may have taken away any key that a request brings.
  const bool NeedsValidDeclaration =
      !this->Route || NeedsKey || !this->CallerHeaders.Key.empty();
  if (NeedsValidDeclaration &&
      !this->Context.declarationValid(this->Context.Loop.now())) {
    this->fail(CallFailure::StaleDeclaration, HttpStatus::Unavailable,
               RetryAfterNoDeclaration);
    return false;
  }
  if (!this->Route) {
    this->fail(CallFailure::UnknownRoute, HttpStatus::NotFound);
    return false;
  }
  if (NeedsKey) {
    this->Team = this->Declaration->findTeamByKey(this->CallerHeaders.Key);
    if (!this->Team) {
      this->fail(CallFailure::UnknownKey, HttpStatus::Unauthorized);
      return false;
    }
  }
  // A deadline of 0 ms is over. It must not be taken for a missing one.
  if (this->CallerHeaders.TimeLeft &&
      *this->CallerHeaders.TimeLeft <= Common::Duration::zero()) {
    this->fail(CallFailure::DeadlinePassed, HttpStatus::Unavailable);
    return false;
  }
  Common::Duration Limit = this->Route->Timeout;
  if (this->CallerHeaders.TimeLeft)
    Limit = std::min(Limit, *this->CallerHeaders.TimeLeft);
  if (Limit <= Common::Duration::zero())
    Limit = DefaultTimeout;
  this->Deadline = this->ArrivedAt + Limit;
  if (!this->Context.Shutdown.accepts(this->Context.Loop.now(),
                                      this->timeLeft())) {
    this->fail(CallFailure::ShuttingDown, HttpStatus::Unavailable,
               RetryAfterShuttingDown);
    return false;
  }
  this->DeadlineTimer = this->Context.Loop.callAfter(
      this->timeLeft(),
      [Self = this->shared_from_this()] { Self->handleDeadline(); });
  this->chooseService();
  this->setCauses();
  if (this->failIfRefused())
    return false;
  this->Context.Retries.recordRequest(this->Service, this->ArrivedAt);
  return true;
}

void RoutedCall::chooseService() {
  // The hash of the request id selects one of the weighted services, so that
  // all attempts of this call go to the same service.
  std::uint64_t TotalWeight = 0;
  for (const Configuration::WeightedService &Each : this->Route->Services)
    TotalWeight += Each.Weight;
  std::uint64_t Position =
      Common::hashBytes(this->CallerHeaders.RequestId) % TotalWeight;
  for (const Configuration::WeightedService &Each : this->Route->Services) {
    if (Position < Each.Weight) {
      this->Service = Each.Service;
      break;
    }
    Position -= Each.Weight;
  }
}

void RoutedCall::setCauses() {
  std::vector<Common::CauseHash> Parts;
  if (this->CallerHeaders.Prompt) {
    const auto &Declared = this->CallerHeaders.Prompt->Parts;
    const std::uint64_t ServiceHash = Common::hashBytes(this->Service.str());
    // The last part belongs to this request only.
    for (std::size_t I = 0; I + 1 < Declared.size(); ++I)
      Parts.push_back(Common::hashBytes(Declared[I].Id, ServiceHash));
  }
  this->SharedParts = Common::makeCauseSet(Parts);
  Parts.push_back(this->contentHash());
  this->Causes = Common::makeCauseSet(std::move(Parts));
}

bool RoutedCall::failIfRefused() {
  if (this->IsProbe)
    return false;
  switch (
      this->Context.Refusals.check(this->Causes, this->Context.Loop.now())) {
  case RefusalList::Decision::Allowed:
    return false;
  case RefusalList::Decision::Probe:
    this->IsProbe = true;
    Telemetry::log(Events::ProbeSent, this->CallerHeaders.RequestId,
                   this->route().Name);
    return false;
  case RefusalList::Decision::Refused:
    break;
  }
  if (this->mayHaveExecuted())
    this->fail(CallFailure::ContentRefused, HttpStatus::BadGateway);
  else
    this->fail(CallFailure::ContentRefused, HttpStatus::Unavailable,
               RetryAfterContentRefused);
  return true;
}

std::uint64_t RoutedCall::contentHash() const {
  const std::uint64_t TargetHash =
      Common::hashBytes(this->Exchange->head().Target);
  const std::uint64_t KeyedHash =
      Common::hashBytes(this->CallerHeaders.Key, TargetHash);
  return Common::hashBytes(this->Exchange->body(), KeyedHash);
}

void RoutedCall::admit() {
  if (this->refuseByLevel())
    return;
  if (!this->Team || this->Team->TokenRate <= 0) {
    this->dispatch();
    return;
  }
  const bool CountsTokens =
      this->Team->CountsTokens && this->CallerHeaders.Prompt;
  this->TokenCost =
      CountsTokens
          ? static_cast<double>(this->CallerHeaders.Prompt->totalTokens())
          : this->Team->PlainRequestTokens;
  const auto TargetShare = std::chrono::duration_cast<Common::Duration>(
      this->route().Target * TokenWaitTargetShare);
  const Common::Duration Wait =
      std::clamp(TargetShare, MinTokenWait, MaxTokenWait);
  this->AwaitingTokensSince = this->Context.Loop.now();
  this->TokenWaitEnd = this->AwaitingTokensSince + Wait;
  this->TokenNeedNumber = ++this->Context.LastTokenNeed;
  this->Context.CallsAwaitingTokens[this->TokenNeedNumber] =
      this->shared_from_this();
  this->Context.PendingTokens.Needs.push_back(this->tokenNeed());
  this->Context.RequestTokensSoon();
  this->TokenWaitTimer = this->Context.Loop.callAfter(
      Wait + TokenWaitMargin, [Self = this->shared_from_this()] {
        if (Self->TokenNeedNumber != 0)
          Self->refuseOverAllowance(RetryAfterNoDecision);
      });
}

State::TokenNeed RoutedCall::tokenNeed() const {
  const auto Wait = std::chrono::duration_cast<Common::Duration>(
      this->TokenWaitEnd - this->Context.Loop.now());
  const std::int64_t Milliseconds =
      std::max<std::int64_t>(Common::toMilliseconds(Wait), 0);
  return {this->TokenNeedNumber, this->Team->Name, this->TokenCost,
          static_cast<std::uint64_t>(Milliseconds)};
}

void RoutedCall::stopAwaitingTokens() {
  this->Context.CallsAwaitingTokens.erase(this->TokenNeedNumber);
  this->TokenNeedNumber = 0;
  this->TokenWaitTimer.cancel();
}

void RoutedCall::refuseOverAllowance(Common::Duration RetryAfter) {
  Telemetry::log(Events::AllowanceShort, this->CallerHeaders.RequestId,
                 this->Team->Name.str(), this->TokenCost, this->TokenNeedNumber,
                 this->Team->TokenRate, this->Team->TokenBurst,
                 Common::toMilliseconds(this->Context.Loop.now() -
                                        this->AwaitingTokensSince),
                 Common::toMilliseconds(RetryAfter));
  this->stopAwaitingTokens();
  this->fail(CallFailure::OverAllowance, HttpStatus::TooManyRequests,
             RetryAfter);
}

void RoutedCall::handleTokenDecision(const State::TokenDecision &Decision) {
  if (this->Done || Decision.Number != this->TokenNeedNumber)
    return;
  if (!Decision.Granted) {
    this->refuseOverAllowance(
        std::chrono::milliseconds(Decision.RetryAfterMilliseconds));
    return;
  }
  this->stopAwaitingTokens();
  this->TokensCharged = true;
  this->Context.Grants.record(this->Team->Name, this->TokenCost,
                              this->Context.Loop.now());
  this->dispatch();
}

Common::Duration RoutedCall::timeLeft() const {
  return std::max(Common::Duration::zero(),
                  std::chrono::duration_cast<Common::Duration>(
                      this->Deadline - this->Context.Loop.now()));
}

std::uint32_t RoutedCall::priority() const {
  return this->Declaration->rank(this->route(), this->Team);
}

std::string RoutedCall::metricLabels() const {
  if (!this->Route)
    return {};
  return absl::StrCat("service=\"", this->Service.str(), "\",priority=\"",
                      this->priority(), "\"");
}

void RoutedCall::recordExecutionStarted() {
  if (this->CurrentAttempt && !this->CurrentAttempt->OutputStarted) {
    this->CurrentAttempt->OutputStarted = true;
    this->Context.Servers.recordFirstOutput(this->CurrentAttempt->Server);
  }
  if (this->ExecutionStartRecorded)
    return;
  this->ExecutionStartRecorded = true;
  if (this->OfferedWork > 0)
    this->Context.Gate.meter().recordServed(this->Service, this->priority(),
                                            this->OfferedWork);
  this->Context.Metrics.observeHistogram(
      "call_first_output_seconds", this->metricLabels(),
      this->Context.Loop.now() - this->ArrivedAt);
  if (this->Team)
    this->Context.Usage.countRequest(this->Team->Name,
                                     this->Context.Loop.now());
}

void RoutedCall::logServed(int Status) const {
  Telemetry::log(
      Events::RequestServed, this->CallerHeaders.RequestId, Status,
      this->Attempts + 1,
      Common::toMilliseconds(this->Context.Loop.now() - this->ArrivedAt));
}

void RoutedCall::handleDisconnect() {
  if (this->Done)
    return;
  this->Context.Metrics.incrementCounter("callers_gone_total");
  Telemetry::log(
      Events::CallerGone, this->CallerHeaders.RequestId,
      Common::toMilliseconds(this->Context.Loop.now() - this->ArrivedAt));
  this->finish();
}

void RoutedCall::handleDeadline() {
  if (this->Done)
    return;
  if (this->Streaming) {
    Telemetry::log(Events::StreamOutOfTime, this->CallerHeaders.RequestId);
    this->Exchange->abort();
    this->finish();
    return;
  }
  this->fail(CallFailure::DeadlinePassed, this->mayHaveExecuted()
                                              ? HttpStatus::GatewayTimeout
                                              : HttpStatus::Unavailable);
}

void RoutedCall::endBeforeStop() {
  if (this->mayHaveExecuted())
    this->fail(CallFailure::ShuttingDown, HttpStatus::BadGateway);
  else
    this->fail(CallFailure::ShuttingDown, HttpStatus::Unavailable,
               RetryAfterShuttingDown);
}

void RoutedCall::fail(CallFailure Failure, int Status,
                      std::optional<Common::Duration> RetryAfter) {
  if (this->Done)
    return;
  this->Context.Metrics.incrementLabelledCounter("call_failures_total",
                                                 "reason", nameOf(Failure));
  Telemetry::log(
      Events::RequestFailed, this->CallerHeaders.RequestId,
      this->Route ? this->Route->Name : "", nameOf(Failure), Status,
      this->Attempts, this->Team ? this->Team->Name.str() : "", this->TokenCost,
      Common::toMilliseconds(this->Context.Loop.now() - this->ArrivedAt),
      this->Declaration ? absl::StrCat(this->Declaration->version().Value)
                        : "");
  if (this->Streaming) {
    // The response has begun, so closing the connection is the only way left to
    // signal an error.
    Telemetry::log(Events::StreamBroken, this->CallerHeaders.RequestId,
                   this->LastEventId.value_or(""));
    this->Exchange->abort();
    this->finish();
    return;
  }
  Network::HttpHeaders Headers = {{"Content-Type", "application/json"}};
  if (!this->CallerHeaders.RequestId.empty())
    Headers.push_back({"X-Request-Outcome", nameOf(Failure)});
  if (RetryAfter)
    Headers.push_back(
        {"Retry-After",
         absl::StrFormat("%.3f", Common::toSeconds(*RetryAfter))});
  this->Exchange->reply(
      Status, Headers,
      absl::StrCat("{\"error\":{\"message\":\"", nameOf(Failure), "\"}}"));
  this->finish();
}

void RoutedCall::finish() {
  if (this->Done)
    return;
  this->Done = true;
  const auto Self = this->shared_from_this();
  this->Context.OpenCalls.erase(Self);
  this->Context.Metrics.observeHistogram("call_seconds", this->metricLabels(),
                                         this->Context.Loop.now() -
                                             this->ArrivedAt);
  this->DeadlineTimer.cancel();
  this->stopAwaitingTokens();
  this->StartupWaitTimer.cancel();
  this->RetryTimer.cancel();
  this->cancelSecond("call_ended");
  if (this->CurrentAttempt) {
    const Network::Http1Client::CallPtr OpenCall = this->CurrentAttempt->Call;
    this->MayHaveExecuted = true;
    this->endAttempt(this->outcomeIfAbandoned());
    Network::Http1Client::cancel(OpenCall);
  }
  if (this->TokensCharged && !this->MayHaveExecuted &&
      !this->ExecutionStartRecorded) {
    this->Context.PendingTokens.Returned[this->Team->Name] += this->TokenCost;
    this->Context.RequestTokensSoon();
  }
}

} // namespace EntryDaemon
