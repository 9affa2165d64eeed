#include "EntryDaemon/RoutedCall.h"

#include "Common/Hash.h"
#include "Telemetry/LogEvents.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

namespace EntryDaemon {

namespace {

namespace Events = Telemetry::Events;

/// Waiting for a team's tokens, as a share of the route's target, and bounds.
constexpr double TokenWaitShare = 0.25;
constexpr Common::Duration LeastTokenWait = std::chrono::milliseconds(60);
constexpr Common::Duration MostTokenWait = std::chrono::milliseconds(300);
/// Routes without a deadline of the caller's and without a time-out.
constexpr Common::Duration DefaultDeadline = std::chrono::seconds(60);
constexpr Common::Duration RetryAfterNoControl = std::chrono::milliseconds(500);
/// How long a request waits for a daemon that has just started.
constexpr Common::Duration LongestStartWait = std::chrono::milliseconds(900);

std::string hostWithoutPort(const std::string &Host) {
  return Host.substr(0, Host.find(':'));
}

} // namespace

RoutedCall::RoutedCall(GatewayContext &Context,
                       std::shared_ptr<Network::Http1Exchange> Exchange)
    : Context(Context), Exchange(std::move(Exchange)),
      ArrivedAt(Context.Loop.now()) {}

void RoutedCall::begin() {
  this->Exchange->onCallerGone(
      [Self = this->shared_from_this()] { Self->callerGone(); });
  if (!this->Context.starting(this->ArrivedAt)) {
    this->declarationArrived();
    return;
  }
  this->Context.AwaitingDeclaration.push_back(this->shared_from_this());
  this->StartTimer = this->Context.Loop.callAfter(
      LongestStartWait,
      [Self = this->shared_from_this()] { Self->declarationArrived(); });
}

void RoutedCall::declarationArrived() {
  if (this->Identified || this->Done)
    return;
  this->Identified = true;
  this->StartTimer.cancel();
  if (this->identify())
    this->admit();
}

bool RoutedCall::identify() {
  this->Declared = this->Context.Declared;
  if (!this->Declared) {
    this->fail(CallFailure::NoDeclaration, HttpStatus::Unavailable,
               RetryAfterNoControl);
    return false;
  }
  auto Headers = Platform::decodeCallerHeaders(this->Exchange->head().Headers);
  if (!Headers.ok()) {
    this->fail(CallFailure::BadHeaders, HttpStatus::BadRequest);
    return false;
  }
  this->Said = std::move(*Headers);
  const bool Trusted = this->Context.trusted(this->Context.Loop.now());
  this->Route = this->Declared->route(hostWithoutPort(this->Said.Host),
                                      this->Exchange->path());
  if (!this->Route) {
    if (Trusted)
      this->fail(CallFailure::UnknownRoute, HttpStatus::NotFound);
    else
      this->fail(CallFailure::StaleDeclaration, HttpStatus::Unavailable,
                 RetryAfterNoControl);
    return false;
  }
  if (!this->Route->Public && this->Declared->keysNeeded()) {
    if (!Trusted) {
      this->fail(CallFailure::StaleDeclaration, HttpStatus::Unavailable,
                 RetryAfterNoControl);
      return false;
    }
    this->Team = this->Declared->teamOfKey(this->Said.Key);
    if (!this->Team) {
      this->fail(CallFailure::UnknownKey, HttpStatus::Unauthorized);
      return false;
    }
  }
  Common::Duration Limit = this->Route->Timeout;
  if (this->Said.TimeLeft)
    Limit = std::min(Limit, *this->Said.TimeLeft);
  if (Limit <= Common::Duration::zero())
    Limit = DefaultDeadline;
  this->Deadline = this->ArrivedAt + Limit;
  this->DeadlineTimer = this->Context.Loop.callAfter(
      this->timeLeft(),
      [Self = this->shared_from_this()] { Self->deadlinePassed(); });
  if (this->Context.Contents.refused(this->contentHash(),
                                     this->Context.Loop.now())) {
    this->fail(CallFailure::ContentCrashesServers, HttpStatus::Unavailable);
    return false;
  }
  // A request keeps to one service of a split, also over its attempts.
  std::uint64_t Sum = 0;
  for (const Configuration::WeightedService &Each : this->Route->Services)
    Sum += Each.Weight;
  std::uint64_t Drawn = Common::hashBytes(this->Said.RequestId) % Sum;
  for (const Configuration::WeightedService &Each : this->Route->Services) {
    if (Drawn < Each.Weight) {
      this->Service = Each.Service;
      break;
    }
    Drawn -= Each.Weight;
  }
  this->Context.Retries.requestSeen(this->Service, this->ArrivedAt);
  return true;
}

std::uint64_t RoutedCall::contentHash() const {
  const std::uint64_t Of = Common::hashBytes(this->Exchange->head().Target);
  const std::uint64_t With = Common::hashBytes(this->Said.Key, Of);
  return Common::hashBytes(this->Exchange->body(), With);
}

void RoutedCall::admit() {
  if (!this->Team || this->Team->TokenRate <= 0) {
    this->dispatch();
    return;
  }
  const bool Counted = this->Team->CountsTokens && this->Said.Prompt;
  this->Tokens = Counted ? static_cast<double>(this->Said.Prompt->totalTokens())
                         : this->Team->PlainRequestTokens;
  if (this->Context.Allowances.take(*this->Team, this->Tokens,
                                    this->ArrivedAt)) {
    this->TokensTaken = true;
    this->dispatch();
    return;
  }
  const auto Share = std::chrono::duration_cast<Common::Duration>(
      this->route().Target * TokenWaitShare);
  const Common::Duration Wait =
      std::clamp(Share, LeastTokenWait, MostTokenWait);
  this->Awaiting = true;
  this->AwaitingSince = this->Context.Loop.now();
  this->Context.AwaitingTokens.push_back(this->shared_from_this());
  this->Context.PollSoon();
  this->TokenTimer = this->Context.Loop.callAfter(
      Wait, [Self = this->shared_from_this()] { Self->refuseOverAllowance(); });
}

void RoutedCall::refuseOverAllowance() {
  if (!this->Awaiting || this->Done)
    return;
  this->Awaiting = false;
  const Common::Duration Wait =
      this->Context.Allowances.waitFor(*this->Team, this->Tokens);
  Telemetry::log(
      Events::AllowanceShort, this->Said.RequestId, this->Team->Name.str(),
      this->Tokens, this->Context.Allowances.held(this->Team->Name),
      this->Team->TokenRate, this->Team->TokenBurst,
      Common::toMilliseconds(this->Context.Loop.now() - this->AwaitingSince),
      Common::toMilliseconds(Wait));
  this->fail(CallFailure::OverAllowance, HttpStatus::TooManyRequests, Wait);
}

void RoutedCall::tokensGranted(Common::TimePoint AskedAt) {
  if (!this->Awaiting || this->Done)
    return;
  if (!this->Context.Allowances.retake(*this->Team, this->Tokens)) {
    // The leader knew of this request and had nothing left for it.
    if (AskedAt > this->AwaitingSince)
      this->refuseOverAllowance();
    else
      this->Context.AwaitingTokens.push_back(this->shared_from_this());
    return;
  }
  this->Awaiting = false;
  this->TokensTaken = true;
  this->TokenTimer.cancel();
  this->dispatch();
}

Common::Duration RoutedCall::timeLeft() const {
  return std::max(Common::Duration::zero(),
                  std::chrono::duration_cast<Common::Duration>(
                      this->Deadline - this->Context.Loop.now()));
}

std::uint32_t RoutedCall::priority() const {
  return this->Declared->rank(this->route(), this->Team);
}

std::string RoutedCall::labels() const {
  if (!this->Route)
    return {};
  return absl::StrCat("service=\"", this->Service.str(), "\",priority=\"",
                      this->priority(), "\"");
}

void RoutedCall::noteBegan() {
  if (!this->Began && this->At) {
    this->Began = true;
    this->Context.Servers.beganOutput(*this->At);
  }
  if (this->Counted)
    return;
  this->Counted = true;
  this->Context.Metrics.observeHistogram(
      "call_first_output_seconds", this->labels(),
      this->Context.Loop.now() - this->ArrivedAt);
  if (this->Team)
    this->Context.Usage.began(this->Team->Name, this->Context.Loop.now());
}

void RoutedCall::logServed(int Status) const {
  Telemetry::log(
      Events::RequestServed, this->Said.RequestId, Status, this->Attempts + 1,
      Common::toMilliseconds(this->Context.Loop.now() - this->ArrivedAt));
}

void RoutedCall::callerGone() {
  if (this->Done)
    return;
  this->Context.Metrics.incrementCounter("callers_gone_total");
  Telemetry::log(
      Events::CallerGone, this->Said.RequestId,
      Common::toMilliseconds(this->Context.Loop.now() - this->ArrivedAt));
  this->finish();
}

void RoutedCall::deadlinePassed() {
  if (this->Done)
    return;
  if (this->Streaming) {
    Telemetry::log(Events::StreamOutOfTime, this->Said.RequestId);
    this->Exchange->abort();
    this->finish();
    return;
  }
  const bool Sent = this->At.has_value() || this->MayHaveRun;
  this->fail(CallFailure::DeadlinePassed,
             Sent ? HttpStatus::GatewayTimeout : HttpStatus::Unavailable);
}

void RoutedCall::fail(CallFailure Why, int Status,
                      std::optional<Common::Duration> RetryAfter) {
  if (this->Done)
    return;
  this->Context.Metrics.incrementLabelledCounter("call_failures_total",
                                                 "reason", nameOf(Why));
  Telemetry::log(
      Events::RequestFailed, this->Said.RequestId,
      this->Route ? this->Route->Name : "", nameOf(Why), Status, this->Attempts,
      this->Team ? this->Team->Name.str() : "", this->Tokens,
      Common::toMilliseconds(this->Context.Loop.now() - this->ArrivedAt),
      this->Declared ? absl::StrCat(this->Declared->version().Value) : "");
  if (this->Streaming) {
    // The answer has begun; only the end of its connection can tell.
    Telemetry::log(Events::StreamBroken, this->Said.RequestId,
                   this->LastEvent.value_or(""));
    this->Exchange->abort();
    this->finish();
    return;
  }
  Network::HttpHeaders Headers = {{"Content-Type", "application/json"}};
  if (!this->Said.RequestId.empty())
    Headers.push_back({"X-Request-Outcome", nameOf(Why)});
  if (RetryAfter)
    Headers.push_back(
        {"Retry-After",
         absl::StrFormat("%.3f", Common::toSeconds(*RetryAfter))});
  this->Exchange->reply(
      Status, Headers,
      absl::StrCat("{\"error\":{\"message\":\"", nameOf(Why), "\"}}"));
  this->finish();
}

void RoutedCall::finish() {
  if (this->Done)
    return;
  this->Done = true;
  this->Context.Metrics.observeHistogram("call_seconds", this->labels(),
                                         this->Context.Loop.now() -
                                             this->ArrivedAt);
  this->DeadlineTimer.cancel();
  this->TokenTimer.cancel();
  this->StartTimer.cancel();
  this->DrainTimer.cancel();
  this->SilenceTimer.cancel();
  const Network::Http1Client::CallPtr Open = this->Call;
  if (this->At) {
    this->MayHaveRun = true;
    this->endAttempt(this->outcomeIfAbandoned());
  }
  Network::Http1Client::cancel(Open);
  if (this->TokensTaken && !this->MayHaveRun && !this->Counted)
    this->Context.Allowances.giveBack(*this->Team, this->Tokens);
}

} // namespace EntryDaemon
