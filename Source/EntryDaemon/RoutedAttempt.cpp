#include "EntryDaemon/RoutedCall.h"

#include "Telemetry/LogEvents.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

// The attempts of a routed call: server selection, forwarding, and how the end
// of an attempt is handled.

namespace EntryDaemon {

namespace {

namespace Events = Telemetry::Events;

/// A request fails after this many servers were tried and the last one could
/// not be connected to.
constexpr std::size_t MaxUnreachableServers = 4;
/// A request fails after this many servers rejected it.
constexpr std::uint32_t MaxRejections = 3;
/// Delay before a request that a server may have executed is tried again,
/// because no server took it over at once.
constexpr Common::Duration LaterRetryDelay = std::chrono::milliseconds(120);
/// For how long such a request is tried again. A stream that has begun is tried
/// for longer, until its caller abandons it, but less often, since each attempt
/// that is rejected takes a retry from the budget.
constexpr Common::Duration MaxLaterRetryTime = std::chrono::milliseconds(1500);
constexpr Common::Duration ReducedLaterRetryDelay =
    std::chrono::milliseconds(400);
/// With less time left, it is not tried again.
constexpr Common::Duration MinRetryTime = std::chrono::milliseconds(250);
/// Callers abandon a stream after a longer pause, also before its first event,
/// as documented in the callers' interface: the longest of this multiple of the
/// route's target time, this multiple of its MaxEventGap, and the minimum.
constexpr int AbandonTargetMultiple = 4;
constexpr int AbandonPauseMultiple = 8;
constexpr Common::Duration MinAbandonPause = std::chrono::seconds(2);
/// Reading from the server pauses while more than this is unsent to the caller.
constexpr std::size_t MaxUnsentBytes = 256u << 10;
constexpr Common::Duration BackpressureCheckPeriod =
    std::chrono::milliseconds(50);
/// Added to a request's remaining time to get its connection's idle timeout.
constexpr Common::Duration ConnectionTimeoutMargin = std::chrono::seconds(2);
/// A server is abandoned, for requests that another server can take over, if it
/// has sent no byte to this daemon for longer than a limit. Before the first
/// output, the limit is this share of the route's target time.
constexpr double SilenceTargetShare = 0.5;
/// After the first output, the limit is this multiple of the route's
/// MaxEventGap.
constexpr int SilencePauseMultiple = 3;
/// The limit is clamped to these bounds; before the first output, twice the
/// server's expected wait is then added.
constexpr Common::Duration MinServerSilence = std::chrono::milliseconds(250);
constexpr Common::Duration MaxServerSilence = std::chrono::seconds(2);
/// How long a pooled connection may have been idle to be reused. The limit is
/// shorter for calls that must not be repeated, since a server may close an
/// idle connection at any time.
constexpr Common::Duration MaxReuseIdleNonIdempotent =
    std::chrono::milliseconds(800);
constexpr Common::Duration MaxReuseIdleIdempotent = std::chrono::seconds(4);
constexpr Common::Duration RetryAfterNoServer = std::chrono::milliseconds(300);
constexpr Common::Duration RetryAfterRejected = std::chrono::milliseconds(250);
/// Weight of the newest response in a route's moving average of output tokens.
constexpr double MeanOutputWeight = 0.1;

/// The prompt parts in a log line are cut off at this length.
constexpr std::size_t MaxLoggedPartsLength = 160;

/// Whether an event may follow another one in a stream, whose ids increase.
bool canFollow(const std::string &EventId, const std::string &PreviousId) {
  std::uint64_t Number = 0;
  std::uint64_t PreviousNumber = 0;
  if (absl::SimpleAtoi(EventId, &Number) &&
      absl::SimpleAtoi(PreviousId, &PreviousNumber))
    return Number > PreviousNumber;
  return EventId != PreviousId;
}

bool isSuccess(int Status) { return Status >= 200 && Status < 300; }

/// Whether a success with these headers is a response of the server to this
/// request, and unaltered.
bool isTrustworthy(const Network::Http1Head &Head,
                   const Platform::ResponseHeaders &Decoded) {
  return Decoded.HasSignatureHeader && !Decoded.RequestId.empty() &&
         !Network::findHeader(Head.Headers, "Content-Encoding");
}

} // namespace

void RoutedCall::dispatch() {
  // The verdict may have come while the call waited or was tried.
  if (this->failIfRefused())
    return;
  const Common::TimePoint Now = this->Context.Loop.now();
  const auto Chosen = this->Context.Servers.choose(this->placement(), Now);
  if (this->CallerHeaders.Prompt && this->Attempts == 0 &&
      this->TriedServers.empty()) {
    const std::uint64_t PrefillTokens =
        Chosen ? Chosen->UncachedTokens
               : this->CallerHeaders.Prompt->PromptTokens;
    this->Context.Demand.record(
        this->Service,
        this->Context.Servers.provisioningCost(this->Service)
            .milliseconds(PrefillTokens, this->expectedOutputTokens()),
        Now);
  }
  if (!Chosen) {
    if (this->Rejections > 0)
      this->recordWithoutRoom();
    if (this->retryLater())
      return;
    if (this->MayHaveExecuted)
      this->fail(CallFailure::ServerLost, HttpStatus::BadGateway);
    else if (this->Context.Servers.restEnd(this->Service, Now))
      this->fail(CallFailure::ServersResting, HttpStatus::Unavailable,
                 this->retryAfterRejection());
    else
      this->fail(CallFailure::NoServer, HttpStatus::Unavailable,
                 RetryAfterNoServer);
    return;
  }
  // Refuse now if the queue of the chosen server is longer than the caller
  // waits for the first output.
  const Common::Duration MaxQueueing = this->maxQueueingTime();
  this->noteRoom(*Chosen);
  if ((Chosen->QueuedPrefillTime > MaxQueueing ||
       this->missesDeadline(*Chosen)) &&
      !this->Streaming) {
    if (this->retryLater())
      return;
    this->fail(
        CallFailure::Overloaded,
        this->MayHaveExecuted ? HttpStatus::BadGateway
                              : HttpStatus::Unavailable,
        this->retryAfterShortage(std::max(
            RetryAfterRejected, Chosen->QueuedPrefillTime - MaxQueueing / 2)));
    return;
  }
  this->sendTo(*Chosen);
}

Common::Duration RoutedCall::maxQueueingTime() const {
  // Engines admit requests of the most urgent priority ahead of their queue.
  if (this->priority() == 0)
    return this->timeLeft();
  // A request is not sent to a server with a longer queue than callers wait.
  const Common::Duration MaxQueueing =
      std::max(MinAbandonPause, this->route().Target * AbandonTargetMultiple);
  return std::min(MaxQueueing, this->timeLeft());
}

Common::Duration RoutedCall::abandonPause() const {
  return std::max({MinAbandonPause,
                   this->route().Target * AbandonTargetMultiple,
                   this->route().MaxEventGap * AbandonPauseMultiple});
}

void RoutedCall::sendTo(const Routing::PlacementChoice &To, bool AsSecond) {
  std::optional<Attempt> &Started =
      AsSecond ? this->SecondAttempt : this->CurrentAttempt;
  Started.emplace(To, this->Context.Loop.now());
  Started->ResumedAfter = this->LastEventId;
  const auto IsSecond = std::make_shared<bool>(AsSecond);
  Started->IsSecond = IsSecond;
  Platform::ForwardedHeaders Forwarded;
  Forwarded.TimeLeft = this->timeLeft();
  Forwarded.Server = To.Id;
  if (this->Team)
    Forwarded.Team = this->Team->Name;
  if (this->CallerHeaders.Prompt)
    Forwarded.Priority = this->priority();
  if (this->LastEventId)
    Forwarded.LastEventId = this->LastEventId;
  Network::Http1Call Request;
  Request.To = To.Address;
  Request.Method = this->Exchange->head().Method;
  Request.Target = this->Exchange->head().Target;
  Request.Headers = Platform::encodeForwardedHeaders(
      this->Exchange->head().Headers, Forwarded);
  Request.CorrelationId = this->CallerHeaders.RequestId;
  Request.SharedBody = this->Exchange->sharedBody();
  Request.IdleTimeout = this->timeLeft() + ConnectionTimeoutMargin;
  Request.MaxReuseIdleTime = this->route().isIdempotent()
                                 ? MaxReuseIdleIdempotent
                                 : MaxReuseIdleNonIdempotent;
  // A response without an id is accepted on a new connection only.
  Request.OwnConnection = this->CallerHeaders.RequestId.empty();
  const auto Self = this->shared_from_this();
  Network::Http1CallHandlers Handlers;
  Handlers.MayWrite = [Self, To] {
    const Common::TimePoint Now = Self->Context.Loop.now();
    return Self->Context.Rollouts ? Self->Context.Rollouts->mayWrite(To, Now)
                                  : Self->Context.Servers.mayWrite(To, Now);
  };
  Handlers.OnSent = [Self, IsSecond] { Self->handleSent(*IsSecond); };
  Handlers.OnHead = [Self, IsSecond](const Network::Http1Head &Head) {
    return *IsSecond ? Self->handleSecondHead(Head) : Self->handleHead(Head);
  };
  Handlers.OnBody = [Self, IsSecond](const std::string &Bytes) {
    if (!*IsSecond)
      Self->handleBody(Bytes);
  };
  Handlers.OnDone = [Self, IsSecond](Network::Http1CallResult End) {
    if (End == Network::Http1CallResult::Malformed)
      Self->noteMalformed(*IsSecond);
    if (*IsSecond)
      Self->handleSecondEnd(End);
    else
      Self->handleAttemptEnd(End);
  };
  Telemetry::log(Events::RequestSent, this->CallerHeaders.RequestId,
                 this->route().Name, this->Team ? this->Team->Name.str() : "",
                 this->TokenCost, this->Declaration->version().Value,
                 To.Id.str(), this->Attempts,
                 Common::toMilliseconds(To.ExpectedWait), To.UncachedTokens,
                 To.LocalRequests, To.RemoteRequests,
                 Common::toMilliseconds(To.AnnouncementAge),
                 Common::toMilliseconds(this->timeLeft()));
  const bool IsProbe = this->Context.Servers.recordStart(
      To, this->CallerHeaders.Prompt ? &*this->CallerHeaders.Prompt : nullptr,
      this->Context.Loop.now());
  if (IsProbe)
    Telemetry::log(Events::ServerCondition, To.Id.str(), To.ServerStartedAt,
                   "probed", "rest_over", this->CallerHeaders.RequestId, "");
  this->startMeasuring(*Started);
  if (this->Context.Rollouts)
    Started->Observed =
        this->Context.Rollouts->recordStart(To, this->route().Name);
  Started->Call =
      this->Context.Client.start(std::move(Request), std::move(Handlers));
  if (!AsSecond)
    this->checkServerSilence();
}

/// Asks another server as well if the current one has sent nothing to this
/// daemon, for any request, for too long. A server that answers other requests
/// is assumed to have queued this one, so it is not abandoned.
void RoutedCall::checkServerSilence() {
  if (!this->CurrentAttempt)
    return;
  Attempt &Current = *this->CurrentAttempt;
  Current.SilenceTimer.cancel();
  if (this->SecondAttempt || !this->canRetry(AttemptResult::MayHaveExecuted))
    return;
  Common::Duration Limit;
  if (Current.OutputStarted)
    Limit = this->route().MaxEventGap * SilencePauseMultiple;
  else
    Limit = std::chrono::duration_cast<Common::Duration>(this->route().Target *
                                                         SilenceTargetShare);
  Limit = std::clamp(Limit, MinServerSilence, MaxServerSilence);
  if (!Current.OutputStarted)
    Limit += 2 * Current.Server.ExpectedWait;
  const Common::TimePoint Now = this->Context.Loop.now();
  const Common::Duration SilentFor =
      this->Context.Servers.silenceDuration(Current.Server, Now);
  // If no other server has sent anything either, the fault may be on this host.
  const bool OthersResponding =
      this->Context.Servers.lastActivity() > Now - SilentFor + Limit / 2;
  // The attempt may still be answered, so it is ended only when another server
  // has accepted the request.
  if (SilentFor >= Limit && OthersResponding && !Current.ReadingPaused)
    if (const auto Chosen = this->reserveRetry()) {
      Telemetry::log(Events::ServerSilent, this->CallerHeaders.RequestId,
                     Current.Server.Id.str(),
                     Common::toMilliseconds(SilentFor));
      this->openSecond(*Chosen, nameOf(CallFailure::ServerSilent));
      return;
    }
  Current.SilenceTimer = this->Context.Loop.callAfter(
      std::max(MinServerSilence, Limit - SilentFor),
      [Self = this->shared_from_this()] { Self->checkServerSilence(); });
}

std::optional<Routing::PlacementChoice> RoutedCall::reserveRetry() {
  const Common::TimePoint Now = this->Context.Loop.now();
  Routing::PlacementRequest Alternative = this->placement();
  if (this->CurrentAttempt)
    Alternative.Excluded.insert(this->CurrentAttempt->Server.Id);
  auto Chosen = this->Context.Servers.choose(Alternative, Now);
  if (!Chosen)
    return std::nullopt;
  // A stream without a server goes to any that accepts it.
  const bool MayQueue = this->Streaming && !this->CurrentAttempt;
  if (!MayQueue && Chosen->QueuedPrefillTime > this->maxQueueingTime())
    return std::nullopt;
  if (!this->takeRetry(Now))
    return std::nullopt;
  return Chosen;
}

Routing::PlacementRequest RoutedCall::placement() const {
  Routing::PlacementRequest Result;
  Result.Service = this->Service;
  Result.Prompt =
      this->CallerHeaders.Prompt ? &*this->CallerHeaders.Prompt : nullptr;
  Result.Excluded = this->TriedServers;
  Result.Excluded.insert(this->ServersThatMayHaveExecuted.begin(),
                         this->ServersThatMayHaveExecuted.end());
  Result.Target = this->route().Target;
  if (this->Context.Rollouts && !this->FailedAtCanary)
    Result.Group = this->Context.Rollouts->groupFor(
        this->Service, this->CallerHeaders.RequestId, this->Context.Loop.now());
  return Result;
}

void RoutedCall::noteRetryAfter(const Attempt &Receiver, int Status,
                                const Platform::ResponseHeaders &Decoded) {
  const Routing::PlacementChoice &From = Receiver.Server;
  if (!Decoded.RetryAfter.ok()) {
    this->Context.Metrics.incrementCounter("retry_after_invalid_total");
    Telemetry::log(Events::RetryAfterInvalid, this->CallerHeaders.RequestId,
                   From.Id.str(), Decoded.RetryAfter.status().message());
    return;
  }
  if (!*Decoded.RetryAfter)
    return;
  this->Context.Metrics.incrementLabelledCounter(
      "rests_requested_total", "status", std::to_string(Status));
  Telemetry::log(
      Events::RestRequested, this->CallerHeaders.RequestId, From.Id.str(),
      From.ServerStartedAt, Status, Decoded.NotExecuted ? "1" : "0",
      Common::toMilliseconds(**Decoded.RetryAfter),
      Common::toMilliseconds(this->Context.Loop.now() - Receiver.SentAt));
  const Common::TimePoint Now = this->Context.Loop.now();
  const auto RestEnd =
      this->Context.Servers.recordRetryAfter(From, **Decoded.RetryAfter, Now);
  if (RestEnd)
    Telemetry::log(Events::ServerCondition, From.Id.str(), From.ServerStartedAt,
                   "resting", "retry_after", this->CallerHeaders.RequestId,
                   Common::toMilliseconds(*RestEnd - Now));
}

void RoutedCall::noteAcceptance() {
  const Routing::PlacementChoice &From = this->CurrentAttempt->Server;
  if (this->Context.Servers.recordAnswerBegun(From))
    Telemetry::log(Events::ServerCondition, From.Id.str(), From.ServerStartedAt,
                   "accepting", "answer", this->CallerHeaders.RequestId, "");
}

bool RoutedCall::handleHead(const Network::Http1Head &Head) {
  if (this->Done)
    return true;
  const Platform::ResponseHeaders Decoded =
      Platform::decodeResponseHeaders(Head.Status, Head.Headers);
  const AnswerOwner Owner =
      this->attribute(*this->CurrentAttempt, Head.Status, Decoded);
  this->noteLeaving(*this->CurrentAttempt, Decoded);
  // The Retry-After of an extra answer was counted with the answer that it
  // repeats, as only complete answers leave a connection open.
  if (Owner == AnswerOwner::OtherRequest)
    return false;
  this->noteRetryAfter(*this->CurrentAttempt, Head.Status, Decoded);
  if (Owner == AnswerOwner::Unknown) {
    this->rejectResponse(AttemptResult::MayHaveExecuted);
    return true;
  }
  this->noteServerActivity();
  if (isSuccess(Head.Status))
    this->cancelSecond("first_went_on");
  if (!Decoded.NotExecuted && !HttpStatus::impliesNotExecuted(Head.Status))
    this->noteAcceptance();
  this->CurrentAttempt->ResponseHead = Head;
  this->CurrentAttempt->HeadAt = this->Context.Loop.now();
  if (isSuccess(Head.Status))
    this->CurrentAttempt->Progress.recordBytes(this->Context.Loop.now());
  if (isSuccess(Head.Status) && !isTrustworthy(Head, Decoded)) {
    // Its body cannot make it valid, and may have no end.
    this->rejectResponse(AttemptResult::MayHaveExecuted);
    return true;
  }
  if (!isSuccess(Head.Status) || Network::hasNoBody(Head.Status))
    return true;
  const auto Type = Network::findHeader(Head.Headers, "Content-Type");
  if (this->route().Kind == Configuration::RouteKind::Streamed && Type &&
      absl::StartsWith(*Type, "text/event-stream"))
    this->startStream(Head);
  return true;
}

bool RoutedCall::isAcceptance(const Network::Http1Head &Head,
                              const Platform::ResponseHeaders &Decoded) const {
  if (!isSuccess(Head.Status) || Decoded.NotExecuted ||
      !isTrustworthy(Head, Decoded))
    return false;
  const auto Type = Network::findHeader(Head.Headers, "Content-Type");
  return !this->Streaming || (!Network::hasNoBody(Head.Status) && Type &&
                              absl::StartsWith(*Type, "text/event-stream"));
}

void RoutedCall::startStream(const Network::Http1Head &Head) {
  this->CurrentAttempt->Splitter.emplace();
  if (this->Streaming)
    return;
  this->Streaming = true;
  this->Exchange->startStream(Head.Status,
                              Platform::encodeResponseHeaders(Head.Headers));
}

void RoutedCall::noteServerActivity() {
  if (!this->CurrentAttempt)
    return;
  const Attempt &Current = *this->CurrentAttempt;
  const Common::TimePoint Now = this->Context.Loop.now();
  this->Context.Servers.recordActivity(Current.Server, Now);
  this->Context.Liveness.recordBytes(
      {Current.Server.Id, {Current.Server.ServerStartedAt}}, Current.SentAt,
      Now);
}

void RoutedCall::handleBody(const std::string &Bytes) {
  if (this->Done)
    return;
  this->noteServerActivity();
  if (this->CurrentAttempt->ResponseHead &&
      isSuccess(this->CurrentAttempt->ResponseHead->Status))
    this->cancelSecond("first_went_on");
  Attempt &Current = *this->CurrentAttempt;
  if (!Current.OutputAt)
    Current.OutputAt = this->Context.Loop.now();
  if (Current.Progress.beganAt()) {
    Current.Progress.recordBytes(this->Context.Loop.now());
    this->noteSurvival();
  }
  if (!Current.Splitter) {
    const auto Reject = [Self = this->weak_from_this()] {
      if (const auto Call = Self.lock())
        Call->rejectResponse(AttemptResult::MayHaveExecuted);
    };
    if (Current.ResponseBody->append(this->Context.Loop, Bytes, Reject) ==
        ResponseBuffer::Result::TooLarge)
      Reject();
    return;
  }
  const std::uint64_t EarlierEvents = Current.Splitter->eventCount();
  const std::string CompleteEvents = Current.Splitter->feed(Bytes);
  if (Current.Splitter->isOversized()) {
    this->rejectResponse(AttemptResult::StreamInterrupted);
    return;
  }
  if (CompleteEvents.empty())
    return;
  const auto &FirstId = Current.Splitter->firstEventId();
  if (FirstId && Current.ResumedAfter &&
      !canFollow(*FirstId, *Current.ResumedAfter)) {
    this->rejectResponse(AttemptResult::StreamInterrupted);
    return;
  }
  this->RetryingLaterSince.reset();
  if (!Current.OutputStarted && !this->LastEventId)
    this->Context.Servers.recordPrefillTime(Current.Server,
                                            this->Context.Loop.now());
  this->recordExecutionStarted();
  this->observeOutput();
  if (Current.Splitter->lastEventId())
    this->LastEventId = Current.Splitter->lastEventId();
  this->LastEventAt = this->Context.Loop.now();
  this->Context.Speeds.recordEvents(
      Current.Measured, Current.Splitter->eventCount() - EarlierEvents,
      this->Context.Servers.runningRequests(Current.Server.Id),
      this->Context.Loop.now());
  this->Exchange->sendChunk(CompleteEvents);
  if (this->Exchange->unsentBytes() <= MaxUnsentBytes || Current.ReadingPaused)
    return;
  Current.ReadingPaused = true;
  this->Context.Speeds.skipGap(Current.Measured);
  this->observePause();
  Network::Http1Client::pauseReading(Current.Call, true);
  Current.BackpressureTimer = this->Context.Loop.callEvery(
      BackpressureCheckPeriod, [Self = this->shared_from_this()] {
        if (Self->Done || Self->Exchange->unsentBytes() > MaxUnsentBytes / 2)
          return;
        Attempt &Paused = *Self->CurrentAttempt;
        Paused.ReadingPaused = false;
        Network::Http1Client::pauseReading(Paused.Call, false);
        Paused.BackpressureTimer.cancel();
      });
}

void RoutedCall::rejectResponse(AttemptResult Result) {
  Network::Http1Client::cancel(this->CurrentAttempt->Call);
  this->handleAttemptFailure(Result, CallFailure::BadAnswer,
                             Routing::ServerOutcome::Failed);
}

void RoutedCall::handleAttemptEnd(Network::Http1CallResult End) {
  if (this->Done)
    return;
  if (End == Network::Http1CallResult::NotSent) {
    this->handleAttemptFailure(AttemptResult::NotSent, CallFailure::NoServer,
                               Routing::ServerOutcome::Unreachable);
    return;
  }
  if (End == Network::Http1CallResult::Withheld) {
    this->Context.Metrics.incrementCounter("requests_withheld_total");
    this->handleAttemptFailure(AttemptResult::NotSent,
                               CallFailure::ServersResting,
                               Routing::ServerOutcome::Abandoned);
    return;
  }
  if (End == Network::Http1CallResult::NoResponse) {
    this->reportCrash();
    this->handleAttemptFailure(AttemptResult::MayHaveExecuted,
                               CallFailure::ServerLost,
                               Routing::ServerOutcome::Unreachable);
    return;
  }
  Attempt &Current = *this->CurrentAttempt;
  if (End == Network::Http1CallResult::Malformed) {
    // No crash, which would have ended the connection.
    this->handleAttemptFailure(
        Current.Splitter ? AttemptResult::StreamInterrupted
                         : AttemptResult::MayHaveExecuted,
        CallFailure::BadAnswer, Routing::ServerOutcome::Failed);
    return;
  }
  const Platform::ResponseHeaders Decoded = Platform::decodeResponseHeaders(
      Current.ResponseHead->Status, Current.ResponseHead->Headers);
  if (Decoded.NotExecuted) {
    this->handleAttemptFailure(AttemptResult::NotExecuted,
                               CallFailure::ServerRejected,
                               Routing::ServerOutcome::Rejected);
    return;
  }
  const bool Complete = End == Network::Http1CallResult::Complete;
  if (Current.Splitter) {
    if (Complete && !Current.Splitter->hasPartialEvent()) {
      this->recordCompleteAnswer();
      this->updateMeanOutput();
      this->logServed(Current.ResponseHead->Status);
      this->endAttempt(Routing::ServerOutcome::Answered);
      this->Exchange->endStream();
      this->finish();
      return;
    }
    this->reportCrash();
    this->handleAttemptFailure(AttemptResult::StreamInterrupted,
                               CallFailure::ServerLost,
                               Routing::ServerOutcome::Failed);
    return;
  }
  if (!Complete) {
    this->reportCrash();
    this->handleAttemptFailure(AttemptResult::MayHaveExecuted,
                               CallFailure::ServerLost,
                               Routing::ServerOutcome::Failed);
    return;
  }
  this->finishBuffered();
}

void RoutedCall::updateMeanOutput() {
  const Configuration::ServiceEntry *Entry =
      this->Declaration->service(this->Service);
  if (!Entry || !Entry->Engine)
    return;
  const double Tokens =
      static_cast<double>(this->CurrentAttempt->Splitter->eventCount()) *
      Entry->Engine->TokensPerEvent;
  const auto [Mean, Inserted] =
      this->Context.MeanOutputTokens.try_emplace(this->route().Name, Tokens);
  Mean->second += MeanOutputWeight * (Tokens - Mean->second);
}

void RoutedCall::finishBuffered() {
  this->recordCompleteAnswer();
  // The attempt ends before its response is sent.
  const Network::Http1Head Head =
      std::move(*this->CurrentAttempt->ResponseHead);
  const std::string Body = this->CurrentAttempt->ResponseBody->take();
  const Platform::ResponseHeaders Decoded =
      Platform::decodeResponseHeaders(Head.Status, Head.Headers);
  const bool Success = isSuccess(Head.Status);
  this->observeStatus(Head.Status);
  if (Success && !isTrustworthy(Head, Decoded)) {
    this->handleAttemptFailure(AttemptResult::MayHaveExecuted,
                               CallFailure::BadAnswer,
                               Routing::ServerOutcome::Failed);
    return;
  }
  if (!Success && Head.Status >= 500 && this->route().isIdempotent() &&
      !this->Streaming && this->canRetry(AttemptResult::MayHaveExecuted)) {
    this->handleAttemptFailure(AttemptResult::MayHaveExecuted,
                               CallFailure::BadAnswer,
                               Routing::ServerOutcome::Failed);
    return;
  }
  this->recordExecutionStarted();
  if (this->Streaming) {
    // The resumed stream was answered with a response that is not a stream, and
    // the caller has already received a response head.
    this->handleAttemptFailure(AttemptResult::StreamInterrupted,
                               CallFailure::BadAnswer,
                               Routing::ServerOutcome::Failed);
    return;
  }
  // These statuses would guarantee that the request was not executed, which the
  // server has not confirmed.
  if (HttpStatus::impliesNotExecuted(Head.Status)) {
    this->MayHaveExecuted = true;
    this->endAttempt(Routing::ServerOutcome::Failed);
    this->fail(CallFailure::BadAnswer, HttpStatus::BadGateway);
    return;
  }
  this->endAttempt(Success ? Routing::ServerOutcome::Answered
                           : Routing::ServerOutcome::Failed);
  this->logServed(Head.Status);
  this->Exchange->reply(Head.Status,
                        Platform::encodeResponseHeaders(Head.Headers), Body);
  this->finish();
}

void RoutedCall::endAttempt(Routing::ServerOutcome Outcome) {
  if (!this->CurrentAttempt)
    return;
  const Attempt &Current = *this->CurrentAttempt;
  this->Context.Speeds.end(Current.Measured);
  if (!Current.OutputStarted)
    this->Context.Servers.recordFirstOutput(Current.Server);
  this->Context.Servers.recordEnd(Current.Server, Outcome,
                                  this->Context.Loop.now());
  this->observeEnd(Outcome);
  this->TriedServers.insert(Current.Server.Id);
  this->CurrentAttempt.reset();
}

/// The outcome to record if the caller disconnects or the deadline passes
/// during an attempt: Unreachable if the server has been silent for longer than
/// MaxServerSilence.
Routing::ServerOutcome RoutedCall::outcomeIfAbandoned() const {
  const bool Silent = this->Context.Servers.silenceDuration(
                          this->CurrentAttempt->Server,
                          this->Context.Loop.now()) > MaxServerSilence;
  return Silent ? Routing::ServerOutcome::Unreachable
                : Routing::ServerOutcome::Abandoned;
}

void RoutedCall::reportCrash() {
  if (!this->CurrentAttempt)
    return;
  this->logLostRun();
  this->Context.CrashingContents.recordCrash(
      this->contentHash(), this->CurrentAttempt->Server.Id,
      this->CurrentAttempt->Server.ServerStartedAt, this->Context.Loop.now());
  const Routing::AnswerProgress &Progress = this->CurrentAttempt->Progress;
  this->Context.Metrics.incrementLabelledCounter(
      "runs_lost_total", "answer",
      !Progress.beganAt()      ? "not_begun"
      : Progress.hasSurvived() ? "going_on"
                               : "begun");
  if (!Progress.beganAt() || Progress.hasSurvived())
    return;
  const PromptCrashReporter::Run Lost = this->currentRun();
  this->Context.PromptCrashes.recordLostRun(Lost, this->Context.Loop.now());
  this->Context.Refusals.ownEvidence().recordLostRun(
      {Lost.Server, {Lost.ServerStartedAt}}, Lost.Parts,
      this->Context.Loop.now());
}

PromptCrashReporter::Run RoutedCall::currentRun() const {
  const Attempt &Current = *this->CurrentAttempt;
  return {this->SharedParts, this->Causes, Current.Server.Id,
          Current.Server.ServerStartedAt, *Current.Progress.beganAt()};
}

void RoutedCall::noteSurvival() {
  Attempt &Current = *this->CurrentAttempt;
  if (Current.SurvivalRecorded || !Current.Progress.hasSurvived())
    return;
  Current.SurvivalRecorded = true;
  const Common::TimePoint BegunAt = *Current.Progress.beganAt();
  this->Context.CrashingContents.recordSuccess(this->contentHash());
  this->Context.PromptCrashes.recordSurvival(this->Causes, BegunAt);
  for (const Common::CauseHash Each : this->SharedParts)
    this->Context.Refusals.ownEvidence().recordSurvival(Each, BegunAt);
}

void RoutedCall::recordCompleteAnswer() {
  Attempt &Current = *this->CurrentAttempt;
  if (!Current.Progress.beganAt())
    return;
  if (!Current.ResponseHead->CloseDelimited)
    Current.Progress.recordFramedEnd(this->Context.Loop.now());
  this->noteSurvival();
  if (!Current.SurvivalRecorded)
    this->Context.PromptCrashes.recordUncertainEnd(this->currentRun(),
                                                   this->Context.Loop.now());
}

void RoutedCall::logLostRun() const {
  const Attempt &Current = *this->CurrentAttempt;
  const Common::TimePoint Now = this->Context.Loop.now();
  const auto MillisecondsSince =
      [Now](const std::optional<Common::TimePoint> &Time) {
        return Time ? absl::StrCat(Common::toMilliseconds(Now - *Time)) : "";
      };
  std::string Parts;
  if (this->CallerHeaders.Prompt)
    for (const Routing::PromptPart &Each : this->CallerHeaders.Prompt->Parts)
      absl::StrAppend(&Parts, Parts.empty() ? "" : ",", Each.Id);
  const char *Framing = !Current.ResponseHead                  ? "none"
                        : Current.ResponseHead->CloseDelimited ? "close"
                                                               : "framed";
  Telemetry::log(
      Events::RunLost, this->CallerHeaders.RequestId, Current.Server.Id.str(),
      Current.Server.ServerStartedAt, this->route().Name,
      absl::Hex(this->contentHash()), Parts.substr(0, MaxLoggedPartsLength),
      MillisecondsSince(Current.SentAt), MillisecondsSince(Current.HeadAt),
      MillisecondsSince(Current.OutputAt),
      Current.Splitter ? Current.Splitter->eventCount() : 0, Framing);
}

bool RoutedCall::canRetry(AttemptResult Result) const {
  if (this->IsProbe && Result != AttemptResult::NotSent &&
      Result != AttemptResult::NotExecuted)
    return false;
  if (Result == AttemptResult::NotSent)
    return this->TriedServers.size() < MaxUnreachableServers;
  // The current attempt is not yet included in the counts.
  if (Result == AttemptResult::NotExecuted)
    return this->Executions < this->route().MaxAttempts &&
           this->Rejections + 1 < MaxRejections;
  return this->route().isIdempotent() &&
         this->Executions + 1 < this->route().MaxAttempts;
}

bool RoutedCall::retryLater() {
  if (!this->MayHaveExecuted || this->IsProbe ||
      !this->route().isIdempotent() ||
      this->Executions >= this->route().MaxAttempts)
    return false;
  // A begun stream is broken off only when its time is over.
  if (this->timeLeft() < MinRetryTime)
    return this->Streaming;
  const Common::TimePoint Now = this->Context.Loop.now();
  if (!this->RetryingLaterSince)
    this->RetryingLaterSince = Now;
  const Common::TimePoint ReducedFrom =
      *this->RetryingLaterSince + MaxLaterRetryTime;
  Common::TimePoint End = ReducedFrom;
  if (this->Streaming)
    End = std::max(End, this->LastEventAt + this->abandonPause());
  if (Now > End)
    return false;
  const auto RestEnd = this->Context.Servers.restEnd(this->Service, Now);
  if (!this->Streaming && RestEnd && *RestEnd > std::min(End, this->Deadline))
    return false;
  this->RetryTimer = this->Context.Loop.callAfter(
      Now < ReducedFrom ? LaterRetryDelay : ReducedLaterRetryDelay,
      [Self = this->shared_from_this()] {
        if (Self->Done)
          return;
        // By now, the servers that rejected the request may accept it.
        Self->TriedServers.clear();
        Self->Rejections = 0;
        if (Self->reserveRetry())
          Self->dispatch();
        else if (!Self->retryLater())
          Self->fail(CallFailure::ServerLost, HttpStatus::BadGateway);
      });
  return true;
}

void RoutedCall::handleAttemptFailure(AttemptResult Result, CallFailure Failure,
                                      Routing::ServerOutcome Outcome) {
  const Common::TimePoint Now = this->Context.Loop.now();
  const std::string ServerId =
      this->CurrentAttempt ? this->CurrentAttempt->Server.Id.str() : "";
  this->endAttempt(Outcome);
  const bool Retry = !this->SecondAttempt && this->canRetry(Result) &&
                     (Result == AttemptResult::NotSent || this->takeRetry(Now));
  if (Result != AttemptResult::NotSent)
    ++this->Attempts;
  if (Result == AttemptResult::NotExecuted)
    ++this->Rejections;
  if (Result == AttemptResult::MayHaveExecuted ||
      Result == AttemptResult::StreamInterrupted) {
    ++this->Executions;
    this->ServersThatMayHaveExecuted.insert(Common::BackendServerId(ServerId));
    this->MayHaveExecuted = true;
    this->recordExecutionStarted();
  }
  Telemetry::log(Events::AttemptFailed, this->CallerHeaders.RequestId, ServerId,
                 nameOf(Failure), this->Attempts,
                 Retry || this->SecondAttempt ? "1" : "0");
  if (this->adoptSecond())
    return;
  if (Retry) {
    this->Context.Metrics.incrementLabelledCounter("call_retries_total",
                                                   "reason", nameOf(Failure));
    this->dispatch();
    return;
  }
  if (this->retryLater())
    return;
  const bool NeverExecuted =
      !this->MayHaveExecuted && (Result == AttemptResult::NotSent ||
                                 Result == AttemptResult::NotExecuted);
  if (Result == AttemptResult::NotExecuted)
    this->recordWithoutRoom();
  if (NeverExecuted)
    this->fail(Failure, HttpStatus::Unavailable, this->retryAfterRejection());
  else
    this->fail(Failure, HttpStatus::BadGateway);
}

Common::Duration RoutedCall::retryAfterRejection() {
  const Common::TimePoint Now = this->Context.Loop.now();
  const auto RestEnd = this->Context.Servers.restEnd(this->Service, Now);
  if (!RestEnd)
    return this->retryAfterShortage(RetryAfterRejected);
  return this->Context.Returns.add(
      this->Service, {this->priority(), this->timeLeftShare()}, *RestEnd, Now);
}

} // namespace EntryDaemon
