#include "Common/Hash.h"
#include "EntryDaemon/RoutedCall.h"
#include "Telemetry/LogEvents.h"

#include <absl/strings/str_cat.h>

// Admission of a routed call while its service is short of room.

namespace EntryDaemon {

namespace {

namespace Events = Telemetry::Events;

/// Callers honour a Retry-After up to a third of the time that they have left.
constexpr double MaxRetryAfterShare = 0.33;
/// If the time that callers have left bounds their Retry-After, it is spread
/// over this fraction of that bound.
constexpr double BoundedSpread = 0.4;
/// Work of a plain request. Only ratios within a service matter.
constexpr double PlainWork = 1;

std::uint64_t admissionHash(const std::string &RequestId) {
  // Independent of the choice of a weighted service and of a version, which
  // use the hash of the id as well.
  static const std::uint64_t Seed = Common::hashBytes("admission");
  return Common::hashBytes(RequestId, Seed);
}

} // namespace

double RoutedCall::expectedOutputTokens() const {
  const auto Mean = this->Context.MeanOutputTokens.find(this->route().Name);
  return Mean != this->Context.MeanOutputTokens.end()
             ? Mean->second
             : static_cast<double>(
                   this->CallerHeaders.Prompt->MaxOutputTokens) /
                   2;
}

double RoutedCall::estimateWork() const {
  if (!this->CallerHeaders.Prompt)
    return PlainWork;
  const Routing::ModelPrompt &Prompt = *this->CallerHeaders.Prompt;
  return this->Context.Servers.provisioningCost(this->Service)
      .milliseconds(Prompt.unsharedTokens(), this->expectedOutputTokens());
}

double RoutedCall::timeLeftShare() const {
  const double Timeout = Common::toSeconds(this->route().Timeout);
  return Timeout > 0 ? Common::toSeconds(this->timeLeft()) / Timeout : 1;
}

bool RoutedCall::refuseByLevel() {
  if (!this->Context.Settings.AdmissionControl)
    return false;
  const Common::TimePoint Now = this->Context.Loop.now();
  this->OfferedWork = this->estimateWork();
  Admission::AdmissionQuery Query;
  Query.Service = this->Service;
  Query.Rank = this->priority();
  Query.Team = this->Team ? this->Team->Name.str() : "";
  Query.Work = this->OfferedWork;
  Query.RequestHash = admissionHash(this->CallerHeaders.RequestId);
  Query.TimeLeft = this->timeLeft();
  Query.TimeLeftShare = this->timeLeftShare();
  const Admission::AdmissionDecision Decision =
      this->Context.Gate.decide(Query, Now);
  if (!Decision.Level)
    return false;
  this->Context.Metrics.incrementLabelledCounter(
      "admission_decisions_total", "outcome",
      Decision.Admitted ? "admitted" : "refused");
  if (Decision.Admitted)
    return false;
  const Common::Duration RetryAfter = this->spreadReturn(*Decision.Level);
  Telemetry::log(Events::AdmissionRefused, this->CallerHeaders.RequestId,
                 this->Service.str(), Query.Rank, Decision.Level->Rank,
                 Decision.Level->Share, Decision.Fraction,
                 Decision.IsOwnLevel ? "own" : "leader", Query.Work,
                 Common::toMilliseconds(RetryAfter));
  this->Context.Metrics.observeHistogram("admission_retry_after_seconds",
                                         this->metricLabels(), RetryAfter);
  this->fail(CallFailure::AdmissionLimited, HttpStatus::Unavailable,
             RetryAfter);
  return true;
}

void RoutedCall::noteRoom(const Routing::PlacementChoice &Chosen) {
  // Engines admit requests of the most urgent rank ahead of their queue.
  const bool WaitsInQueue = this->CallerHeaders.Prompt && this->priority() != 0;
  const Common::Duration Allowed =
      WaitsInQueue && this->route().Target > Common::Duration::zero()
          ? this->route().Target
          : this->maxQueueingTime();
  if (Chosen.QueuedPrefillTime > Allowed)
    this->recordWithoutRoom();
}

bool RoutedCall::missesDeadline(const Routing::PlacementChoice &Chosen) const {
  if (!this->Context.Settings.AdmissionControl || !this->CallerHeaders.Prompt)
    return false;
  Common::Duration Needed = Common::fromSeconds(
      static_cast<double>(Chosen.UncachedTokens) /
      this->Context.Servers.prefillRate(this->Service) / 1000);
  // Engines admit requests of the most urgent rank ahead of their queue.
  if (this->priority() != 0)
    Needed += Chosen.QueuedPrefillTime;
  return Needed > this->timeLeft();
}

void RoutedCall::recordWithoutRoom() {
  if (this->WithoutRoomRecorded || this->OfferedWork <= 0 ||
      this->MayHaveExecuted)
    return;
  this->WithoutRoomRecorded = true;
  this->Context.Gate.meter().recordWithoutRoom(this->Service, this->priority());
}

Common::Duration RoutedCall::retryAfterShortage(Common::Duration Otherwise) {
  if (!this->Context.Settings.AdmissionControl)
    return Otherwise;
  const auto Level =
      this->Context.Gate.level(this->Service, this->Context.Loop.now());
  return Level ? this->spreadReturn(*Level) : Otherwise;
}

Common::Duration
RoutedCall::spreadReturn(const Admission::AdmissionLevel &Level) {
  const Common::TimePoint Now = this->Context.Loop.now();
  const Common::Duration Result = this->Context.Returns.add(
      this->Service, {this->priority(), this->timeLeftShare()},
      Now + std::chrono::milliseconds(Level.RetryAfterMilliseconds), Now);
  const double Limit = Common::toSeconds(this->timeLeft()) * MaxRetryAfterShare;
  if (Common::toSeconds(Result) <= Limit)
    return Result;
  const double Position =
      static_cast<double>(admissionHash(this->CallerHeaders.RequestId) % 1000) /
      1000;
  return Common::fromSeconds(Limit * (1 - BoundedSpread * Position));
}

} // namespace EntryDaemon
