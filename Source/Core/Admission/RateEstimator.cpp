#include "Admission/RateEstimator.h"

#include <algorithm>

namespace Admission {

namespace {

/// Weight of a new sample in the running means.
constexpr double Gain = 0.05;

double mix(double Mean, double Sample) { return Mean + Gain * (Sample - Mean); }

} // namespace

void RateEstimator::firstToken(Common::Duration AfterDispatch) {
  if (!this->FirstTokenKnown)
    this->FirstToken = AfterDispatch;
  this->FirstTokenKnown = true;
  this->FirstToken = Common::fromSeconds(mix(
      Common::toSeconds(this->FirstToken), Common::toSeconds(AfterDispatch)));
}

void RateEstimator::finished(Cost Work, Common::Duration AfterDispatch) {
  const double Seconds = std::max(Common::toSeconds(AfterDispatch), 1e-6);
  const double Units = static_cast<double>(Work.Value);
  this->MeanCost = this->Known ? mix(this->MeanCost, Units) : Units;
  this->MeanSeconds = this->Known ? mix(this->MeanSeconds, Seconds) : Seconds;
  this->Known = true;
}

double RateEstimator::costPerSlotSecond() const {
  return this->Known ? this->MeanCost / this->MeanSeconds : 0;
}

Common::Duration RateEstimator::waitFor(Cost Work, double Slots,
                                        double Share) const {
  const double Rate = this->costPerSlotSecond() * Slots * Share;
  if (Rate <= 0)
    return Common::Duration(0);
  return Common::fromSeconds(static_cast<double>(Work.Value) / Rate);
}

} // namespace Admission
