#include "Admission/ShutdownSchedule.h"

#include <algorithm>

namespace Admission {

Common::Duration ShutdownSchedule::elapsed(Common::TimePoint Now) const {
  if (!this->StartedAt)
    return Common::Duration::zero();
  return std::chrono::duration_cast<Common::Duration>(Now - *this->StartedAt);
}

bool ShutdownSchedule::accepts(Common::TimePoint Now,
                               Common::Duration TimeLeft) const {
  if (!this->StartedAt)
    return true;
  const Common::Duration Elapsed = this->elapsed(Now);
  const Common::Duration End = this->Timing.Limit - this->Timing.EndMargin;
  return Elapsed <= std::min(this->Timing.LongRequestIntake, End) ||
         Elapsed + TimeLeft <= End;
}

ShutdownSchedule::Action ShutdownSchedule::nextAction(Common::TimePoint Now,
                                                      bool Idle) {
  if (!this->StartedAt)
    return Action::Continue;
  const Common::Duration Elapsed = this->elapsed(Now);
  const bool Ending = Elapsed > this->Timing.Limit - this->Timing.EndMargin;
  if (Idle && (Ending || Elapsed > this->Timing.BalancerDrainTime))
    return Action::Stop;
  if (!Ending)
    return Action::Continue;
  // Also when a process that was held up checks late for the first time.
  if (this->RequestsEnded &&
      Elapsed > this->Timing.Limit - this->Timing.StopMargin)
    return Action::Stop;
  this->RequestsEnded = true;
  return Action::EndRequests;
}

} // namespace Admission
