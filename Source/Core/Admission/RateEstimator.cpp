#include "Admission/RateEstimator.h"

#include <algorithm>

namespace Admission {

namespace {

/// Weight of a new sample in the exponential moving averages.
constexpr double SmoothingFactor = 0.05;

double smooth(double Mean, double Sample) {
  return Mean + SmoothingFactor * (Sample - Mean);
}

} // namespace

void RateEstimator::recordFirstToken(Common::Duration AfterDispatch) {
  if (!this->HasFirstToken)
    this->MeanTimeToFirstToken = AfterDispatch;
  this->HasFirstToken = true;
  this->MeanTimeToFirstToken =
      Common::fromSeconds(smooth(Common::toSeconds(this->MeanTimeToFirstToken),
                                 Common::toSeconds(AfterDispatch)));
}

void RateEstimator::recordCompletion(Cost Work,
                                     Common::Duration AfterDispatch) {
  const double Seconds = std::max(Common::toSeconds(AfterDispatch), 1e-6);
  const double CostUnits = static_cast<double>(Work.Value);
  this->MeanCost =
      this->HasCompletions ? smooth(this->MeanCost, CostUnits) : CostUnits;
  this->MeanSeconds =
      this->HasCompletions ? smooth(this->MeanSeconds, Seconds) : Seconds;
  this->HasCompletions = true;
}

double RateEstimator::costPerSlotSecond() const {
  return this->HasCompletions ? this->MeanCost / this->MeanSeconds : 0;
}

Common::Duration RateEstimator::estimateWait(Cost Work, double Slots,
                                             double Share) const {
  const double CostPerSecond = this->costPerSlotSecond() * Slots * Share;
  if (CostPerSecond <= 0)
    return Common::Duration(0);
  return Common::fromSeconds(static_cast<double>(Work.Value) / CostPerSecond);
}

} // namespace Admission
