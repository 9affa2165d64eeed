#ifndef SYCAMOREREACH_ADMISSION_RATEESTIMATOR_H
#define SYCAMOREREACH_ADMISSION_RATEESTIMATOR_H

#include "Admission/FairQueue.h"
#include "Common/Time.h"

namespace Admission {

/// Estimates the throughput of a backend server's slot and the time to the
/// first token from finished requests.
class RateEstimator {
public:
  void recordFirstToken(Common::Duration AfterDispatch);
  void recordCompletion(Cost Work, Common::Duration AfterDispatch);

  /// Cost units that a busy slot completes per second; 0 if unknown.
  double costPerSlotSecond() const;
  Common::Duration timeToFirstToken() const {
    return this->MeanTimeToFirstToken;
  }

  /// Estimated time until Work is dispatched on Slots slots of which the
  /// fraction Share is available; zero if the throughput is unknown.
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
