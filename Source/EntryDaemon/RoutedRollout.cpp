#include "EntryDaemon/RoutedCall.h"
#include "Telemetry/LogEvents.h"

// The part of a routed call in rollouts.

namespace EntryDaemon {

namespace {

namespace Events = Telemetry::Events;

constexpr int FirstServerError = 500;

} // namespace

void RoutedCall::observeSent() {
  if (this->Context.Rollouts && this->CurrentAttempt)
    this->Context.Rollouts->observer().recordSent(
        this->CurrentAttempt->Observed, this->Context.Loop.now());
}

void RoutedCall::observeOutput() {
  if (this->Context.Rollouts && this->CurrentAttempt)
    this->Context.Rollouts->observer().recordOutput(
        this->CurrentAttempt->Observed, this->Context.Loop.now());
}

void RoutedCall::observePause() {
  if (this->Context.Rollouts && this->CurrentAttempt)
    this->Context.Rollouts->observer().recordPause(
        this->CurrentAttempt->Observed);
}

void RoutedCall::observeStatus(int Status) {
  if (this->Context.Rollouts && this->CurrentAttempt &&
      Status >= FirstServerError)
    this->Context.Rollouts->recordFailure(this->CurrentAttempt->Observed,
                                          this->Service,
                                          this->Context.Loop.now());
}

void RoutedCall::observeEnd(Routing::ServerOutcome Outcome) {
  if (!this->Context.Rollouts || !this->CurrentAttempt)
    return;
  this->Context.Rollouts->recordEnd(this->CurrentAttempt->Observed, Outcome,
                                    this->Context.Loop.now());
  // The failed request is tried again at another version.
  if (Outcome != Routing::ServerOutcome::Answered &&
      this->CurrentAttempt->Server.Group == Routing::ServerGroup::Canary)
    this->FailedAtCanary = true;
}

bool RoutedCall::moveStream() {
  if (this->Done || !this->CurrentAttempt || !this->LastEventId)
    return false;
  const Attempt &Current = *this->CurrentAttempt;
  if (!Current.OutputStarted || Current.ReadingPaused ||
      !this->Context.Rollouts->shouldMove(Current.Server,
                                          this->Context.Loop.now()) ||
      !this->moveAway("version_replaced"))
    return false;
  this->Context.Metrics.incrementCounter("streams_moved_total");
  Telemetry::log(Events::StreamMoved, this->CallerHeaders.RequestId,
                 this->CurrentAttempt->Server.Id.str(), *this->LastEventId);
  return true;
}

} // namespace EntryDaemon
