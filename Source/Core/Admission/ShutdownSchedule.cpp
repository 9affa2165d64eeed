#include "Admission/ShutdownSchedule.h"

#include <algorithm>

namespace Admission {

Common::Duration ShutdownSchedule::elapsed(Common::TimePoint Now) const {
  if (!this->StartedAt)
    return Common::Duration::zero();
  return std::chrono::duration_cast<Common::Duration>(Now - *this->StartedAt);
}

bool ShutdownSchedule::accepts(
    Common::TimePoint Now, Common::Duration TimeLeft,
    std::optional<Common::Duration> ExpectedDuration) const {
  if (!this->StartedAt)
    return true;
  const Common::Duration Elapsed = this->elapsed(Now);
  const Common::Duration Available =
      this->Timing.Limit - this->Timing.EndMargin - Elapsed;
  if (TimeLeft <= Available)
    return true;
  return Elapsed <= this->Timing.LongRequestIntake &&
         ExpectedDuration.value_or(Common::Duration::zero()) <= Available;
}

ShutdownSchedule::Action ShutdownSchedule::nextAction(Common::TimePoint Now,
                                                      bool Idle) const {
  if (!this->StartedAt)
    return Action::Continue;
  const Common::Duration Elapsed = this->elapsed(Now);
  const bool Ending = Elapsed > this->Timing.Limit - this->Timing.EndMargin;
  if (Idle && (Ending || Elapsed > this->Timing.BalancerDrainTime))
    return Action::Stop;
  if (Elapsed > this->Timing.Limit - this->Timing.StopMargin)
    return Action::Stop;
  return Ending ? Action::EndRequests : Action::Continue;
}

} // namespace Admission
