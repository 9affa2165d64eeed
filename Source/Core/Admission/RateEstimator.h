#ifndef SYCAMOREREACH_ADMISSION_RATEESTIMATOR_H
#define SYCAMOREREACH_ADMISSION_RATEESTIMATOR_H

#include "Admission/FairQueue.h"
#include "Common/Time.h"

namespace Admission {

/// Estimates from finished requests how fast a slot of a backend server
/// works, and how long an answer takes to begin.
class RateEstimator {
public:
  void recordFirstToken(Common::Duration AfterDispatch);
  void recordCompletion(Cost Work, Common::Duration AfterDispatch);

  /// Cost units that one busy slot works off in a second; 0 when unknown.
  double costPerSlotSecond() const;
  Common::Duration timeToFirstToken() const {
    return this->MeanTimeToFirstToken;
  }

  /// Time until Work is dispatched by Slots of which Share is available;
  /// zero while nothing is known.
  Common::Duration estimateWait(Cost Work, double Slots, double Share) const;

private:
  Common::Duration MeanTimeToFirstToken{};
  double MeanCost = 0;
  double MeanSeconds = 0;
  bool HasCompletions = false;
  bool HasFirstToken = false;
};

} // namespace Admission

#endif
