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
      this->Timing.Limit - this->Timing.StopMargin - Elapsed;
  if (TimeLeft <= Available)
    return true;
  return Elapsed <= this->Timing.LongRequestIntake &&
         ExpectedDuration.value_or(Common::Duration::zero()) <= Available;
}

bool ShutdownSchedule::shouldStop(Common::TimePoint Now, bool Idle) const {
  if (!this->StartedAt)
    return false;
  const Common::Duration Elapsed = this->elapsed(Now);
  return (Idle && Elapsed > this->Timing.BalancerDrainTime) ||
         Elapsed > this->Timing.Limit - this->Timing.StopMargin;
}

} // namespace Admission
