#include "EntryDaemon/RoutedCall.h"

#include "Routing/EngineCost.h"
#include "Telemetry/LogEvents.h"

#include <absl/strings/match.h>

// The attempts of a routed call: where each goes, and what its end means.

namespace EntryDaemon {

namespace {

namespace Events = Telemetry::Events;

/// Servers to which no connection could be made before a request is given up.
constexpr std::size_t MostUnreachable = 4;
/// How long callers wait for a stream's first event: this many times the
/// route's target and at least so long, as the callers' interface states.
constexpr int PatienceInTargets = 4;
constexpr Common::Duration LeastPatience = std::chrono::seconds(2);
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
/// Kept connections for calls that may not be repeated are used only while
/// they are fresh, since a server may close an idle one at any time.
constexpr Common::Duration ReuseForOnce = std::chrono::milliseconds(800);
constexpr Common::Duration ReuseForIdempotent = std::chrono::seconds(4);
constexpr Common::Duration RetryAfterNoServer = std::chrono::milliseconds(300);
constexpr Common::Duration RetryAfterRejected = std::chrono::milliseconds(250);
/// Weight of the newest answer in a route's average output.
constexpr double OutputWeight = 0.1;

} // namespace

void RoutedCall::dispatch() {
  const Common::TimePoint Now = this->Context.Loop.now();
  const auto Chosen = this->Context.Servers.choose(this->placement(), Now);
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
      this->fail(CallFailure::ServerLost, HttpStatus::BadGateway);
    else
      this->fail(CallFailure::NoServer, HttpStatus::Unavailable,
                 RetryAfterNoServer);
    return;
  }
  // Who would leave before the answer begins is told at once.
  const Common::Duration Patience = this->patience();
  if (Chosen->ReadingTime > Patience && !this->Streaming) {
    this->fail(CallFailure::Overloaded,
               this->MayHaveRun ? HttpStatus::BadGateway
                                : HttpStatus::Unavailable,
               Chosen->ReadingTime - Patience / 2);
    return;
  }
  this->send(*Chosen);
}

Common::Duration RoutedCall::patience() const {
  // Engines admit the most urgent ahead of all that wait there.
  if (this->priority() == 0)
    return this->timeLeft();
  const Common::Duration Waits =
      std::max(LeastPatience, this->route().Target * PatienceInTargets);
  return std::min(Waits, this->timeLeft());
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
    Set.Priority = this->priority();
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
                 Common::toMilliseconds(To.ExpectedWait), To.UncachedTokens,
                 To.OwnRequests, To.OthersRequests,
                 Common::toMilliseconds(To.AnnouncedAgo),
                 Common::toMilliseconds(this->timeLeft()));
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
  // Silence alone is no reason to end what may still be answered.
  if (Silent >= Bound && OthersHeard && !this->Paused && this->canMove()) {
    this->serverSilent();
    return;
  }
  this->SilenceTimer = this->Context.Loop.callAfter(
      std::max(LeastServerSilence, Bound - Silent),
      [Self = this->shared_from_this()] { Self->watchSilence(); });
}

bool RoutedCall::canMove() {
  const Common::TimePoint Now = this->Context.Loop.now();
  Routing::Placement Wanted = this->placement();
  Wanted.Tried.insert(this->At->Id);
  const auto Chosen = this->Context.Servers.choose(Wanted, Now);
  if (!Chosen || Chosen->ReadingTime > this->patience())
    return false;
  this->RepeatTaken = this->Context.Retries.take(this->Service, Now);
  return this->RepeatTaken;
}

Routing::Placement RoutedCall::placement() const {
  Routing::Placement Result;
  Result.Service = this->Service;
  Result.Prompt = this->Said.Prompt ? &*this->Said.Prompt : nullptr;
  Result.Tried = this->Tried;
  return Result;
}

void RoutedCall::serverSilent() {
  Telemetry::log(Events::ServerSilent, this->Said.RequestId, this->At->Id.str(),
                 Common::toMilliseconds(this->Context.Servers.silence(
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
    this->Context.Metrics.incrementCounter("foreign_answers_total");
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
  if (HttpStatus::promisesNotRun(Head.Status)) {
    this->MayHaveRun = true;
    this->endAttempt(Routing::ServerOutcome::Failed);
    this->fail(CallFailure::BadAnswer, HttpStatus::BadGateway);
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

/// A server that says nothing is itself why the caller or the time went.
Routing::ServerOutcome RoutedCall::outcomeIfAbandoned() const {
  const bool Silent =
      this->Context.Servers.silence(*this->At, this->Context.Loop.now()) >
      MostServerSilence;
  return Silent ? Routing::ServerOutcome::Unreachable
                : Routing::ServerOutcome::Abandoned;
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
      this->mayRetry(How) && (How == AttemptEnd::NotSent || this->RepeatTaken ||
                              this->Context.Retries.take(this->Service, Now));
  this->RepeatTaken = false;
  if (How != AttemptEnd::NotSent)
    ++this->Attempts;
  if (How == AttemptEnd::MayHaveRun || How == AttemptEnd::Broken) {
    this->MayHaveRun = true;
    this->noteBegan();
  }
  Telemetry::log(Events::AttemptFailed, this->Said.RequestId, Server,
                 nameOf(Why), this->Attempts, Retry ? "1" : "0");
  if (Retry) {
    this->Context.Metrics.incrementLabelledCounter("call_retries_total",
                                                   "reason", nameOf(Why));
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
  this->fail(Why, Promise ? HttpStatus::Unavailable : HttpStatus::BadGateway,
             Promise ? std::optional(RetryAfterRejected) : std::nullopt);
}

} // namespace EntryDaemon
