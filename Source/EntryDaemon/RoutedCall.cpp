#include "EntryDaemon/RoutedCall.h"

#include "Common/Hash.h"
#include "Routing/EngineCost.h"
#include "Telemetry/LogEvents.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <array>

namespace EntryDaemon {

namespace {

namespace Events = Telemetry::Events;

constexpr int BadRequest = 400;
constexpr int Unauthorized = 401;
constexpr int NotFound = 404;
constexpr int RequestTimeout = 408;
constexpr int MisdirectedRequest = 421;
constexpr int TooManyRequests = 429;
constexpr int BadGateway = 502;
constexpr int Unavailable = 503;
constexpr int GatewayTimeout = 504;

/// Waiting for a team's tokens, as a share of the route's target, and bounds.
constexpr double TokenWaitShare = 0.25;
constexpr Common::Duration LeastTokenWait = std::chrono::milliseconds(60);
constexpr Common::Duration MostTokenWait = std::chrono::milliseconds(300);
/// Servers to which no connection could be made before a request is given up.
constexpr std::size_t MostUnreachable = 4;
/// An answer that is no stream is kept whole up to this size.
constexpr std::size_t MostWholeAnswer = 16u << 20;
/// A caller that reads slowly is waited for beyond this many bytes.
constexpr std::size_t MostUnsent = 256u << 10;
constexpr Common::Duration DrainCheck = std::chrono::milliseconds(50);
/// Beyond a request's own time, before its connection counts as silent.
constexpr Common::Duration LeastSilence = std::chrono::seconds(2);
/// A server from which this daemon has had no byte for this share of the
/// route's target, or this many times its longest pause between events, is
/// given up for requests that another server may go on with.
constexpr double SilentShareOfTarget = 0.5;
constexpr int SilentPauses = 3;
/// Bounds of that silence, beyond twice the expected wait.
constexpr Common::Duration LeastServerSilence = std::chrono::milliseconds(250);
constexpr Common::Duration MostServerSilence = std::chrono::seconds(2);
/// Routes without a deadline of the caller's and without a time-out.
constexpr Common::Duration DefaultDeadline = std::chrono::seconds(60);
/// Kept connections for calls that may not be repeated are used only while
/// they are fresh, since a server may close an idle one at any time.
constexpr Common::Duration ReuseForOnce = std::chrono::milliseconds(800);
constexpr Common::Duration ReuseForIdempotent = std::chrono::seconds(4);
constexpr Common::Duration RetryAfterNoServer = std::chrono::milliseconds(300);
constexpr Common::Duration RetryAfterNoControl = std::chrono::milliseconds(500);
constexpr Common::Duration RetryAfterRejected = std::chrono::milliseconds(250);
/// How long a request waits for a daemon that has just started.
constexpr Common::Duration LongestStartWait = std::chrono::milliseconds(900);
/// Weight of the newest answer in a route's average output.
constexpr double OutputWeight = 0.1;

constexpr std::array FailureNames = {
    "no_declaration",  "stale_declaration", "bad_headers",     "unknown_route",
    "unknown_key",     "over_allowance",    "content_refused", "no_server",
    "server_rejected", "server_lost",       "server_silent",   "bad_answer",
    "deadline_passed"};

const char *nameOf(CallFailure Why) {
  return FailureNames[static_cast<std::size_t>(Why)];
}

std::string hostWithoutPort(const std::string &Host) {
  return Host.substr(0, Host.find(':'));
}

bool promisesNotRun(int Status) {
  return Status == RequestTimeout || Status == MisdirectedRequest ||
         Status == TooManyRequests || Status == Unavailable;
}

std::string milliseconds(Common::Duration Span) {
  return absl::StrCat(
      std::chrono::duration_cast<std::chrono::milliseconds>(Span).count());
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
    this->fail(CallFailure::NoDeclaration, Unavailable, RetryAfterNoControl);
    return false;
  }
  auto Headers = Platform::decodeCallerHeaders(this->Exchange->head().Headers);
  if (!Headers.ok()) {
    this->fail(CallFailure::BadHeaders, BadRequest);
    return false;
  }
  this->Said = std::move(*Headers);
  const bool Trusted = this->Context.trusted(this->Context.Loop.now());
  this->Route = this->Declared->route(hostWithoutPort(this->Said.Host),
                                      this->Exchange->path());
  if (!this->Route) {
    if (Trusted)
      this->fail(CallFailure::UnknownRoute, NotFound);
    else
      this->fail(CallFailure::StaleDeclaration, Unavailable,
                 RetryAfterNoControl);
    return false;
  }
  if (!this->Route->Public && this->Declared->keysNeeded()) {
    if (!Trusted) {
      this->fail(CallFailure::StaleDeclaration, Unavailable,
                 RetryAfterNoControl);
      return false;
    }
    this->Team = this->Declared->teamOfKey(this->Said.Key);
    if (!this->Team) {
      this->fail(CallFailure::UnknownKey, Unauthorized);
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
    this->fail(CallFailure::ContentCrashesServers, Unavailable);
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
  Telemetry::log(Events::AllowanceShort, this->Said.RequestId,
                 this->Team->Name.str(), this->Tokens,
                 this->Context.Allowances.held(this->Team->Name),
                 this->Team->TokenRate, this->Team->TokenBurst,
                 milliseconds(this->Context.Loop.now() - this->AwaitingSince),
                 milliseconds(Wait));
  this->fail(CallFailure::OverAllowance, TooManyRequests, Wait);
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

void RoutedCall::dispatch() {
  const Common::TimePoint Now = this->Context.Loop.now();
  Routing::Placement Wanted;
  Wanted.Service = this->Service;
  Wanted.Prompt = this->Said.Prompt ? &*this->Said.Prompt : nullptr;
  Wanted.Tried = this->Tried;
  const auto Chosen = this->Context.Servers.choose(Wanted, Now);
  if (this->Said.Prompt && this->Attempts == 0 && this->Tried.empty()) {
    const auto Known = this->Context.OutputTokens.find(this->route().Name);
    const double Output =
        Known != this->Context.OutputTokens.end()
            ? Known->second
            : static_cast<double>(this->Said.Prompt->MostOutputTokens) / 2;
    const std::uint64_t Read =
        Chosen ? Chosen->UncachedTokens : this->Said.Prompt->PromptTokens;
    this->Context.Demand.asked(
        this->Service, Routing::EngineCost::milliseconds(Read, Output), Now);
  }
  if (!Chosen) {
    if (this->MayHaveRun)
      this->fail(CallFailure::ServerLost, BadGateway);
    else
      this->fail(CallFailure::NoServer, Unavailable, RetryAfterNoServer);
    return;
  }
  this->send(*Chosen);
}

Common::Duration RoutedCall::timeLeft() const {
  return std::max(Common::Duration::zero(),
                  std::chrono::duration_cast<Common::Duration>(
                      this->Deadline - this->Context.Loop.now()));
}

void RoutedCall::send(const Routing::PlacementChoice &To) {
  this->At = To;
  this->AnswerHead.reset();
  this->AnswerBody.clear();
  this->Began = false;
  Platform::OnwardHeaders Set;
  Set.TimeLeft = this->timeLeft();
  Set.Server = To.Id;
  if (this->Team)
    Set.Team = this->Team->Name;
  if (this->Said.Prompt)
    Set.Priority = this->route().Priority;
  if (this->LastEvent)
    Set.AfterEvent = this->LastEvent;
  Network::Http1Call Wanted;
  Wanted.To = To.Address;
  Wanted.Method = this->Exchange->head().Method;
  Wanted.Target = this->Exchange->head().Target;
  Wanted.Headers =
      Platform::encodeOnwardHeaders(this->Exchange->head().Headers, Set);
  Wanted.Body = this->Exchange->body();
  Wanted.Silence = this->timeLeft() + LeastSilence;
  Wanted.ReuseIdle =
      this->route().idempotent() ? ReuseForIdempotent : ReuseForOnce;
  const auto Self = this->shared_from_this();
  Network::Http1CallHandlers Handle;
  Handle.OnHead = [Self](const Network::Http1Head &Head) {
    return Self->headArrived(Head);
  };
  Handle.OnBody = [Self](const std::string &Bytes) {
    Self->bodyArrived(Bytes);
  };
  Handle.OnDone = [Self](Network::CallEnd End) { Self->attemptDone(End); };
  Telemetry::log(Events::RequestSent, this->Said.RequestId, this->route().Name,
                 this->Team ? this->Team->Name.str() : "", this->Tokens,
                 this->Declared->version().Value, To.Id.str(), this->Attempts,
                 milliseconds(To.ExpectedWait), To.UncachedTokens,
                 To.OwnRequests, To.OthersRequests,
                 milliseconds(To.AnnouncedAgo), milliseconds(this->timeLeft()));
  this->Context.Servers.started(
      To, this->Said.Prompt ? &*this->Said.Prompt : nullptr,
      this->Context.Loop.now());
  this->Call = this->Context.Client.start(std::move(Wanted), std::move(Handle));
  this->watchSilence();
}

/// Another attempt is worth its cost only where the server says nothing to any
/// request of this daemon: one that answers others has this one in its queue.
void RoutedCall::watchSilence() {
  this->SilenceTimer.cancel();
  if (!this->At || !this->mayRetry(AttemptEnd::MayHaveRun))
    return;
  Common::Duration Bound;
  if (this->Began)
    Bound = this->route().LongestPause * SilentPauses;
  else
    Bound = std::chrono::duration_cast<Common::Duration>(this->route().Target *
                                                         SilentShareOfTarget);
  Bound = std::clamp(Bound, LeastServerSilence, MostServerSilence);
  if (!this->Began)
    Bound += 2 * this->At->ExpectedWait;
  const Common::TimePoint Now = this->Context.Loop.now();
  const Common::Duration Silent = this->Context.Servers.silence(*this->At, Now);
  // Where no other server was heard from either, the fault may lie here.
  const bool OthersHeard =
      this->Context.Servers.lastHeard() > Now - Silent + Bound / 2;
  if (Silent >= Bound && OthersHeard && !this->Paused) {
    this->serverSilent();
    return;
  }
  this->SilenceTimer = this->Context.Loop.callAfter(
      std::max(LeastServerSilence, Bound - Silent),
      [Self = this->shared_from_this()] { Self->watchSilence(); });
}

void RoutedCall::serverSilent() {
  Telemetry::log(Events::ServerSilent, this->Said.RequestId, this->At->Id.str(),
                 milliseconds(this->Context.Servers.silence(
                     *this->At, this->Context.Loop.now())));
  Network::Http1Client::cancel(this->Call);
  this->attemptFailed(this->Began ? AttemptEnd::Broken : AttemptEnd::MayHaveRun,
                      CallFailure::ServerSilent,
                      Routing::ServerOutcome::Unreachable);
}

bool RoutedCall::headArrived(const Network::Http1Head &Head) {
  if (this->Done)
    return true;
  const Platform::AnswerFacts Facts =
      Platform::decodeAnswer(Head.Status, Head.Headers);
  // An answer that names another request is a late one of that request.
  if (!Facts.RequestId.empty() && Facts.RequestId != this->Said.RequestId) {
    this->Context.Metrics.count("foreign_answers_total");
    return false;
  }
  this->heard();
  this->AnswerHead = Head;
  const bool Success = Head.Status >= 200 && Head.Status < 300;
  if (!Success || !Facts.Signed ||
      Network::findHeader(Head.Headers, "Content-Encoding"))
    return true;
  const auto Type = Network::findHeader(Head.Headers, "Content-Type");
  if (this->route().Kind == Configuration::Repeatability::Streamed && Type &&
      absl::StartsWith(*Type, "text/event-stream"))
    this->startStream(Head);
  return true;
}

void RoutedCall::startStream(const Network::Http1Head &Head) {
  this->Events.emplace();
  if (this->Streaming)
    return;
  this->Streaming = true;
  this->Exchange->startStream(Head.Status,
                              Platform::encodeAnswerHeaders(Head.Headers));
}

std::string RoutedCall::labels() const {
  if (!this->Route)
    return {};
  return absl::StrCat("service=\"", this->Service.str(), "\",priority=\"",
                      this->Route->Priority, "\"");
}

void RoutedCall::noteBegan() {
  if (!this->Began && this->At) {
    this->Began = true;
    this->Context.Servers.beganOutput(*this->At);
  }
  if (this->Counted)
    return;
  this->Counted = true;
  this->Context.Metrics.sample("call_first_output_seconds", this->labels(),
                               this->Context.Loop.now() - this->ArrivedAt);
  if (this->Team)
    this->Context.Usage.began(this->Team->Name, this->Context.Loop.now());
}

void RoutedCall::heard() {
  if (this->At)
    this->Context.Servers.heard(*this->At, this->Context.Loop.now());
}

void RoutedCall::bodyArrived(const std::string &Bytes) {
  if (this->Done)
    return;
  this->heard();
  if (!this->Events) {
    this->AnswerBody += Bytes;
    if (this->AnswerBody.size() > MostWholeAnswer) {
      Network::Http1Client::cancel(this->Call);
      this->attemptFailed(AttemptEnd::MayHaveRun, CallFailure::BadAnswer,
                          Routing::ServerOutcome::Failed);
    }
    return;
  }
  const std::string Whole = this->Events->feed(Bytes);
  if (Whole.empty())
    return;
  this->noteBegan();
  if (this->Events->lastId())
    this->LastEvent = this->Events->lastId();
  this->Exchange->sendChunk(Whole);
  if (this->Exchange->unsentBytes() <= MostUnsent || this->Paused)
    return;
  this->Paused = true;
  Network::Http1Client::pauseReading(this->Call, true);
  this->DrainTimer = this->Context.Loop.callEvery(
      DrainCheck, [Self = this->shared_from_this()] {
        if (Self->Done || Self->Exchange->unsentBytes() > MostUnsent / 2)
          return;
        Self->Paused = false;
        Network::Http1Client::pauseReading(Self->Call, false);
        Self->DrainTimer.cancel();
      });
}

void RoutedCall::attemptDone(Network::CallEnd End) {
  if (this->Done)
    return;
  if (End == Network::CallEnd::NotSent) {
    this->attemptFailed(AttemptEnd::NotSent, CallFailure::NoServer,
                        Routing::ServerOutcome::Unreachable);
    return;
  }
  if (End == Network::CallEnd::Lost) {
    this->suspect();
    this->attemptFailed(AttemptEnd::MayHaveRun, CallFailure::ServerLost,
                        Routing::ServerOutcome::Unreachable);
    return;
  }
  const Platform::AnswerFacts Facts = Platform::decodeAnswer(
      this->AnswerHead->Status, this->AnswerHead->Headers);
  if (Facts.NotRun) {
    this->attemptFailed(AttemptEnd::SaidNotRun, CallFailure::ServerRejected,
                        Routing::ServerOutcome::Rejected);
    return;
  }
  const bool Whole = End == Network::CallEnd::Complete;
  if (this->Events) {
    if (Whole && !this->Events->midEvent()) {
      this->endAttempt(Routing::ServerOutcome::Answered);
      this->noteOutput();
      this->logServed(this->AnswerHead->Status);
      this->Exchange->endStream();
      this->finish();
      return;
    }
    this->suspect();
    this->attemptFailed(AttemptEnd::Broken, CallFailure::ServerLost,
                        Routing::ServerOutcome::Failed);
    return;
  }
  if (!Whole) {
    this->suspect();
    this->attemptFailed(AttemptEnd::MayHaveRun, CallFailure::ServerLost,
                        Routing::ServerOutcome::Failed);
    return;
  }
  this->finishWhole();
}

void RoutedCall::noteOutput() {
  const Configuration::ServiceEntry *Entry =
      this->Declared->service(this->Service);
  if (!Entry || !Entry->Engine)
    return;
  const double Tokens =
      static_cast<double>(this->Events->events()) * Entry->Engine->EventTokens;
  const auto [Known, Fresh] =
      this->Context.OutputTokens.try_emplace(this->route().Name, Tokens);
  Known->second += OutputWeight * (Tokens - Known->second);
}

void RoutedCall::finishWhole() {
  const Network::Http1Head &Head = *this->AnswerHead;
  const Platform::AnswerFacts Facts =
      Platform::decodeAnswer(Head.Status, Head.Headers);
  const bool Success = Head.Status >= 200 && Head.Status < 300;
  const bool Encoded =
      Network::findHeader(Head.Headers, "Content-Encoding").has_value();
  if (Success && (!Facts.Signed || Facts.RequestId.empty() || Encoded)) {
    this->attemptFailed(AttemptEnd::MayHaveRun, CallFailure::BadAnswer,
                        Routing::ServerOutcome::Failed);
    return;
  }
  if (!Success && Head.Status >= 500 && this->route().idempotent() &&
      !this->Streaming && this->mayRetry(AttemptEnd::MayHaveRun)) {
    this->attemptFailed(AttemptEnd::MayHaveRun, CallFailure::BadAnswer,
                        Routing::ServerOutcome::Failed);
    return;
  }
  this->noteBegan();
  if (this->Streaming) {
    // A failure in place of a resumed stream cannot be told any more.
    this->attemptFailed(AttemptEnd::Broken, CallFailure::BadAnswer,
                        Routing::ServerOutcome::Failed);
    return;
  }
  // Without the server's statement these would promise what nobody knows.
  if (promisesNotRun(Head.Status)) {
    this->MayHaveRun = true;
    this->endAttempt(Routing::ServerOutcome::Failed);
    this->fail(CallFailure::BadAnswer, BadGateway);
    return;
  }
  this->endAttempt(Success ? Routing::ServerOutcome::Answered
                           : Routing::ServerOutcome::Failed);
  this->logServed(Head.Status);
  this->Exchange->reply(Head.Status,
                        Platform::encodeAnswerHeaders(Head.Headers),
                        this->AnswerBody);
  this->finish();
}

void RoutedCall::logServed(int Status) const {
  Telemetry::log(Events::RequestServed, this->Said.RequestId, Status,
                 this->Attempts + 1,
                 milliseconds(this->Context.Loop.now() - this->ArrivedAt));
}

void RoutedCall::endAttempt(Routing::ServerOutcome Outcome) {
  if (!this->At)
    return;
  this->SilenceTimer.cancel();
  if (Outcome == Routing::ServerOutcome::Answered)
    this->Context.Contents.answered(this->contentHash());
  if (!this->Began)
    this->Context.Servers.beganOutput(*this->At);
  this->Context.Servers.ended(*this->At, Outcome, this->Context.Loop.now());
  this->Tried.insert(this->At->Id);
  this->At.reset();
  this->Call.reset();
}

void RoutedCall::suspect() {
  if (this->At)
    this->Context.Contents.serverFailed(this->contentHash(), this->At->Id,
                                        this->At->StartedAt,
                                        this->Context.Loop.now());
}

bool RoutedCall::mayRetry(AttemptEnd How) const {
  if (How == AttemptEnd::NotSent)
    return this->Tried.size() < MostUnreachable;
  const bool Safe = How == AttemptEnd::SaidNotRun || this->route().idempotent();
  // This attempt is not counted yet.
  return Safe && this->Attempts + 1 < this->route().MaxAttempts;
}

void RoutedCall::attemptFailed(AttemptEnd How, CallFailure Why,
                               Routing::ServerOutcome Outcome) {
  const Common::TimePoint Now = this->Context.Loop.now();
  const std::string Server = this->At ? this->At->Id.str() : "";
  this->endAttempt(Outcome);
  const bool Retry =
      this->mayRetry(How) && (How == AttemptEnd::NotSent ||
                              this->Context.Retries.take(this->Service, Now));
  if (How != AttemptEnd::NotSent)
    ++this->Attempts;
  if (How == AttemptEnd::MayHaveRun || How == AttemptEnd::Broken) {
    this->MayHaveRun = true;
    this->noteBegan();
  }
  Telemetry::log(Events::AttemptFailed, this->Said.RequestId, Server,
                 nameOf(Why), this->Attempts, Retry ? "1" : "0");
  if (Retry) {
    this->Context.Metrics.countBy("call_retries_total", "reason", nameOf(Why));
    this->dispatch();
    return;
  }
  if (this->Streaming) {
    Telemetry::log(Events::StreamBroken, this->Said.RequestId,
                   this->LastEvent.value_or(""));
    this->Exchange->abort();
    this->finish();
    return;
  }
  const bool Promise = !this->MayHaveRun && (How == AttemptEnd::NotSent ||
                                             How == AttemptEnd::SaidNotRun);
  this->fail(Why, Promise ? Unavailable : BadGateway,
             Promise ? std::optional(RetryAfterRejected) : std::nullopt);
}

void RoutedCall::callerGone() {
  if (this->Done)
    return;
  this->Context.Metrics.count("callers_gone_total");
  Telemetry::log(Events::CallerGone, this->Said.RequestId,
                 milliseconds(this->Context.Loop.now() - this->ArrivedAt));
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
  this->fail(CallFailure::DeadlinePassed, Sent ? GatewayTimeout : Unavailable);
}

void RoutedCall::fail(CallFailure Why, int Status,
                      std::optional<Common::Duration> RetryAfter) {
  if (this->Done)
    return;
  this->Context.Metrics.countBy("call_failures_total", "reason", nameOf(Why));
  Telemetry::log(
      Events::RequestFailed, this->Said.RequestId,
      this->Route ? this->Route->Name : "", nameOf(Why), Status, this->Attempts,
      this->Team ? this->Team->Name.str() : "", this->Tokens,
      milliseconds(this->Context.Loop.now() - this->ArrivedAt),
      this->Declared ? absl::StrCat(this->Declared->version().Value) : "");
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
  this->Context.Metrics.sample("call_seconds", this->labels(),
                               this->Context.Loop.now() - this->ArrivedAt);
  this->DeadlineTimer.cancel();
  this->TokenTimer.cancel();
  this->StartTimer.cancel();
  this->DrainTimer.cancel();
  this->SilenceTimer.cancel();
  const Network::Http1Client::CallPtr Open = this->Call;
  if (this->At) {
    this->MayHaveRun = true;
    // A server that says nothing is why the caller or the time went.
    const bool Silent =
        this->Context.Servers.silence(*this->At, this->Context.Loop.now()) >
        MostServerSilence;
    this->endAttempt(Silent ? Routing::ServerOutcome::Unreachable
                            : Routing::ServerOutcome::Abandoned);
  }
  Network::Http1Client::cancel(Open);
  if (this->TokensTaken && !this->MayHaveRun && !this->Counted)
    this->Context.Allowances.giveBack(*this->Team, this->Tokens);
}

} // namespace EntryDaemon
