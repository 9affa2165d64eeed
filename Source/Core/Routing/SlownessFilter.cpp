#include "Routing/SlownessFilter.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace Routing {

namespace {

/// Periods over which the value is averaged: 15 s. Shorter ones follow the slow
/// periods of a second that are usual on shared hosts.
constexpr double MaxWeight = 150;
/// Weight after a sudden change, so that the value is soon corrected.
constexpr double ChangedWeight = 10;
/// A change by less than this factor, as a logarithm, is left to the average.
constexpr double MinChange = 0.65;
/// Bound while the value is still moving, as the first periods after a change
/// contain work from before it.
constexpr double MinFurtherChange = 0.1;
/// Periods with samples within the window that a sudden change requires.
constexpr std::size_t MinPeriods = 4;
/// One prompt that was cached against expectation, or one answer that waited
/// for a lost packet, counts at most this much.
constexpr double MaxLog = 2.3;

} // namespace

void SlownessFilter::record(double Measured, double Expected,
                            Common::TimePoint Now) {
  if (this->PeriodEnd == Common::TimePoint())
    this->PeriodEnd = Now + Period;
  this->Current.Measured += Measured;
  this->Current.Expected += Expected;
}

void SlownessFilter::closePeriod() {
  const Sum Closed = std::exchange(this->Current, Sum());
  this->Recent[this->Next] = Closed;
  this->Next = (this->Next + 1) % Window;
  if (Closed.Expected <= 0 || Closed.Measured <= 0)
    return;
  const double Log = std::clamp(std::log(Closed.Measured / Closed.Expected),
                                this->Value - MaxLog, this->Value + MaxLog);
  this->Weight = std::min(this->Weight + 1, MaxWeight);
  this->Value += (Log - this->Value) / this->Weight;
}

double SlownessFilter::update(Common::TimePoint Now) {
  if (this->PeriodEnd == Common::TimePoint() || Now < this->PeriodEnd)
    return 0;
  for (std::size_t I = 0; I < Window && this->PeriodEnd <= Now; ++I) {
    this->closePeriod();
    this->PeriodEnd += Period;
  }
  if (this->PeriodEnd <= Now)
    this->PeriodEnd = Now + Period;
  std::vector<double> Logs;
  for (const Sum &Each : this->Recent)
    if (Each.Expected > 0 && Each.Measured > 0)
      Logs.push_back(std::log(Each.Measured / Each.Expected));
  if (Logs.size() < MinPeriods)
    return 0;
  std::sort(Logs.begin(), Logs.end());
  // One period may disagree.
  const double Low = Logs[1];
  const double High = Logs[Logs.size() - 2];
  const double Before = this->Value;
  const double Bound = Now < this->SettledAt ? MinFurtherChange : MinChange;
  if (Low > this->Value + Bound)
    this->Value = Low;
  else if (High < this->Value - Bound)
    this->Value = High;
  else
    return 0;
  this->SettledAt = Now + Period * Window;
  this->Weight = std::min(this->Weight, ChangedWeight);
  return this->Value - Before;
}

void SlownessFilter::shift(double Change) {
  this->Value += Change;
  this->Weight = std::min(this->Weight, ChangedWeight);
}

} // namespace Routing
