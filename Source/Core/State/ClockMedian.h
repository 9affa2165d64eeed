#ifndef SYCAMOREREACH_STATE_CLOCKMEDIAN_H
#define SYCAMOREREACH_STATE_CLOCKMEDIAN_H

#include "Common/Ids.h"
#include "Common/Time.h"

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

namespace State {

/// Estimates wall time as the median of the daemons' clocks, so that a step of
/// a single clock has no effect.
class ClockMedian {
public:
  /// Older readings are discarded.
  static constexpr Common::Duration MaxReadingAge = std::chrono::seconds(5);
  /// The median is sorted out again after this time.
  static constexpr Common::Duration RefreshPeriod =
      std::chrono::milliseconds(100);

  void addReading(const Common::DaemonId &From, Common::WallTime Wall,
                  Common::TimePoint Now) {
    const auto Local = std::chrono::duration_cast<std::chrono::milliseconds>(
        Now.time_since_epoch());
    this->Offsets[From] = {
        static_cast<std::int64_t>(Wall.Milliseconds) - Local.count(), Now};
  }

  /// Returns the median wall time at Now; 0 without readings.
  Common::WallTime timeAt(Common::TimePoint Now) {
    const auto Local = std::chrono::duration_cast<std::chrono::milliseconds>(
        Now.time_since_epoch());
    if (!this->Median || Now - this->MedianAt >= RefreshPeriod)
      this->refresh(Now);
    if (!this->Median)
      return {};
    return Common::WallTime{
        static_cast<std::uint64_t>(*this->Median + Local.count())};
  }

private:
  struct Offset {
    std::int64_t Milliseconds = 0;
    Common::TimePoint ReadAt;
  };
  void refresh(Common::TimePoint Now) {
    std::erase_if(this->Offsets, [Now](const auto &Each) {
      return Now - Each.second.ReadAt > MaxReadingAge;
    });
    this->Median.reset();
    if (this->Offsets.empty())
      return;
    std::vector<std::int64_t> Sorted;
    Sorted.reserve(this->Offsets.size());
    for (const auto &Each : this->Offsets)
      Sorted.push_back(Each.second.Milliseconds);
    const auto Middle =
        Sorted.begin() + static_cast<std::ptrdiff_t>(Sorted.size() / 2);
    std::nth_element(Sorted.begin(), Middle, Sorted.end());
    this->Median = *Middle;
    this->MedianAt = Now;
  }

  std::map<Common::DaemonId, Offset> Offsets;
  /// Median offset from the local clock; absent without readings.
  std::optional<std::int64_t> Median;
  Common::TimePoint MedianAt;
};

} // namespace State

#endif
