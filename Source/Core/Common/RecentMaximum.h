#ifndef SYCAMOREREACH_COMMON_RECENTMAXIMUM_H
#define SYCAMOREREACH_COMMON_RECENTMAXIMUM_H

#include "Common/Time.h"

#include <algorithm>
#include <optional>

namespace Common {

/// The largest of the samples of the last one to two periods.
template <typename Value> class RecentMaximum {
public:
  explicit RecentMaximum(Duration Period) : Period(Period) {}

  void record(Value Sample, TimePoint Now) {
    if (Now - this->PeriodStart >= this->Period) {
      this->Previous = this->isExpired(Now) ? std::nullopt : this->Current;
      this->Current.reset();
      this->PeriodStart = Now;
    }
    this->Current = std::max(this->Current.value_or(Sample), Sample);
  }

  /// Nothing without a recent sample.
  std::optional<Value> maximum(TimePoint Now) const {
    if (this->isExpired(Now))
      return std::nullopt;
    return Now - this->PeriodStart < this->Period
               ? std::max(this->Current, this->Previous)
               : this->Current;
  }

private:
  bool isExpired(TimePoint Now) const {
    return Now - this->PeriodStart >= 2 * this->Period;
  }

  Duration Period;
  TimePoint PeriodStart{};
  std::optional<Value> Current;
  std::optional<Value> Previous;
};

} // namespace Common

#endif
