#include "Admission/ShutdownSchedule.h"

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
  return Elapsed <= this->Timing.LongRequestIntake ||
         Elapsed + TimeLeft <= this->Timing.Limit - this->Timing.EndMargin;
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
