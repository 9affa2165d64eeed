#include "EntryDaemon/RoutedCall.h"

#include "Telemetry/LogEvents.h"

// A second attempt beside the current one, which is left only when the second
// server has accepted the request.

namespace EntryDaemon {

namespace {

namespace Events = Telemetry::Events;

/// Both servers may work on a stream that moves for this long.
constexpr Common::Duration MaxMoveTime = std::chrono::milliseconds(400);
/// Delay after a failed takeover before another one, times their number, since
/// each takes a retry from the budget.
constexpr Common::Duration TakeoverDelay = std::chrono::milliseconds(400);

} // namespace

bool RoutedCall::moveAway(const std::string &Reason) {
  if (this->Done || !this->CurrentAttempt || this->SecondAttempt ||
      !this->Streaming || !this->CurrentAttempt->Splitter ||
      this->CurrentAttempt->ReadingPaused ||
      !this->canRetry(AttemptResult::StreamInterrupted))
    return false;
  const auto Chosen = this->reserveRetry();
  if (!Chosen)
    return false;
  // What the first server sends from now on, the second one sends again.
  Network::Http1Client::pauseReading(this->CurrentAttempt->Call, true);
  this->PausedForMove = true;
  this->Context.Speeds.skipGap(this->CurrentAttempt->Measured);
  this->MoveTimer = this->Context.Loop.callAfter(
      MaxMoveTime,
      [Self = this->shared_from_this()] { Self->cancelSecond("timed_out"); });
  this->openSecond(*Chosen, Reason);
  return true;
}

void RoutedCall::openSecond(const Routing::PlacementChoice &To,
                            const std::string &Reason) {
  this->TakeoverReason = Reason;
  Telemetry::log(Events::Takeover, this->CallerHeaders.RequestId,
                 this->CurrentAttempt->Server.Id.str(), To.Id.str(), "opened",
                 Reason);
  this->sendTo(To, /*AsSecond=*/true);
}

bool RoutedCall::handleSecondHead(const Network::Http1Head &Head) {
  if (this->Done || !this->SecondAttempt)
    return true;
  const Platform::ResponseHeaders Decoded =
      Platform::decodeResponseHeaders(Head.Status, Head.Headers);
  const AnswerOwner Owner =
      this->attribute(*this->SecondAttempt, Head.Status, Decoded);
  this->noteLeaving(*this->SecondAttempt, Decoded);
  if (Owner == AnswerOwner::OtherRequest)
    return false;
  this->noteRetryAfter(*this->SecondAttempt, Head.Status, Decoded);
  if (Owner == AnswerOwner::Unknown) {
    Network::Http1Client::cancel(this->SecondAttempt->Call);
    this->endSecond(Routing::ServerOutcome::Failed, true, "bad_answer");
    return true;
  }
  if (this->isAcceptance(Head, Decoded)) {
    this->leaveFirst();
    return this->handleHead(Head);
  }
  this->SecondAttempt->ResponseHead = Head;
  std::swap(this->CurrentAttempt, this->SecondAttempt);
  this->noteServerActivity();
  std::swap(this->CurrentAttempt, this->SecondAttempt);
  return true;
}

void RoutedCall::leaveFirst() {
  const Common::BackendServerId First = this->CurrentAttempt->Server.Id;
  Telemetry::log(Events::Takeover, this->CallerHeaders.RequestId, First.str(),
                 this->SecondAttempt->Server.Id.str(), "accepted",
                 this->TakeoverReason);
  Network::Http1Client::cancel(this->CurrentAttempt->Call);
  this->endAttempt(this->PausedForMove ? Routing::ServerOutcome::Abandoned
                                       : Routing::ServerOutcome::Unreachable);
  ++this->Attempts;
  ++this->Executions;
  this->ServersThatMayHaveExecuted.insert(First);
  this->MayHaveExecuted = true;
  this->recordExecutionStarted();
  Telemetry::log(Events::AttemptFailed, this->CallerHeaders.RequestId,
                 First.str(), this->TakeoverReason, this->Attempts, "1");
  this->Context.Metrics.incrementLabelledCounter("call_retries_total", "reason",
                                                 this->TakeoverReason);
  this->adoptSecond();
}

bool RoutedCall::adoptSecond() {
  if (!this->SecondAttempt)
    return false;
  this->CurrentAttempt = std::move(this->SecondAttempt);
  this->SecondAttempt.reset();
  *this->CurrentAttempt->IsSecond = false;
  this->PausedForMove = false;
  this->MoveTimer.cancel();
  this->observeSent();
  this->checkServerSilence();
  return true;
}

void RoutedCall::handleSecondEnd(Network::Http1CallResult End) {
  if (this->Done || !this->SecondAttempt)
    return;
  using Result = Network::Http1CallResult;
  using Outcome = Routing::ServerOutcome;
  if (End == Result::NotSent || End == Result::Withheld) {
    this->endSecond(End == Result::NotSent ? Outcome::Unreachable
                                           : Outcome::Abandoned,
                    false, "not_sent");
  } else if (End == Result::NoResponse) {
    this->endSecond(Outcome::Unreachable, true, "lost");
  } else if (End == Result::Malformed) {
    this->endSecond(Outcome::Failed, true, "bad_answer");
  } else {
    const Network::Http1Head &Head = *this->SecondAttempt->ResponseHead;
    const Platform::ResponseHeaders Decoded =
        Platform::decodeResponseHeaders(Head.Status, Head.Headers);
    if (Decoded.NotExecuted)
      this->endSecond(Outcome::Rejected, false, "rejected");
    else
      this->endSecond(Outcome::Failed, true,
                      End == Result::Complete ? "bad_answer" : "lost");
  }
}

void RoutedCall::endSecond(Routing::ServerOutcome Outcome, bool MayHaveRun,
                           const char *Cause) {
  this->recordSecondEnd(Outcome, MayHaveRun, Cause);
  this->resumePausedFirst();
  // Another server may be asked later.
  ++this->FailedTakeovers;
  this->CurrentAttempt->SilenceTimer = this->Context.Loop.callAfter(
      TakeoverDelay * static_cast<int>(this->FailedTakeovers),
      [Self = this->shared_from_this()] {
        if (!Self->Done)
          Self->checkServerSilence();
      });
}

void RoutedCall::cancelSecond(const char *Cause) {
  if (!this->SecondAttempt)
    return;
  Network::Http1Client::cancel(this->SecondAttempt->Call);
  this->recordSecondEnd(Routing::ServerOutcome::Abandoned, true, Cause);
  if (this->Done)
    return;
  this->resumePausedFirst();
  if (this->CurrentAttempt)
    this->checkServerSilence();
}

void RoutedCall::recordSecondEnd(Routing::ServerOutcome Outcome,
                                 bool MayHaveRun, const char *Cause) {
  const Common::BackendServerId Second = this->SecondAttempt->Server.Id;
  Telemetry::log(Events::Takeover, this->CallerHeaders.RequestId,
                 this->CurrentAttempt ? this->CurrentAttempt->Server.Id.str()
                                      : "",
                 Second.str(), Cause, this->TakeoverReason);
  std::swap(this->CurrentAttempt, this->SecondAttempt);
  if (MayHaveRun && Outcome != Routing::ServerOutcome::Abandoned &&
      std::string_view(Cause) == "lost")
    this->reportCrash();
  this->endAttempt(Outcome);
  std::swap(this->CurrentAttempt, this->SecondAttempt);
  ++this->Attempts;
  if (!MayHaveRun)
    return;
  ++this->Executions;
  this->ServersThatMayHaveExecuted.insert(Second);
  this->MayHaveExecuted = true;
}

void RoutedCall::resumePausedFirst() {
  this->MoveTimer.cancel();
  if (!std::exchange(this->PausedForMove, false) || !this->CurrentAttempt)
    return;
  Network::Http1Client::pauseReading(this->CurrentAttempt->Call, false);
}

} // namespace EntryDaemon
