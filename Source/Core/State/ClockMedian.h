#ifndef SYCAMOREREACH_STATE_CLOCKMEDIAN_H
#define SYCAMOREREACH_STATE_CLOCKMEDIAN_H

#include "Common/Ids.h"
#include "Common/Time.h"

#include <algorithm>
#include <map>
#include <vector>

namespace State {

/// Estimates wall time as the median of the daemons' clocks, so that a step of
/// a single clock has no effect.
class ClockMedian {
public:
  /// Older readings are discarded.
  static constexpr Common::Duration MaxReadingAge = std::chrono::seconds(5);

  void addReading(const Common::DaemonId &From, Common::WallTime Wall,
                  Common::TimePoint Now) {
    const auto Local = std::chrono::duration_cast<std::chrono::milliseconds>(
        Now.time_since_epoch());
    this->Offsets[From] = {
        static_cast<std::int64_t>(Wall.Milliseconds) - Local.count(), Now};
  }

  /// Returns the median wall time at Now; 0 without readings.
  Common::WallTime timeAt(Common::TimePoint Now) {
    std::erase_if(this->Offsets, [Now](const auto &Each) {
      return Now - Each.second.ReadAt > MaxReadingAge;
    });
    if (this->Offsets.empty())
      return {};
    std::vector<std::int64_t> Sorted;
    Sorted.reserve(this->Offsets.size());
    for (const auto &Each : this->Offsets)
      Sorted.push_back(Each.second.Milliseconds);
    std::sort(Sorted.begin(), Sorted.end());
    const auto Local = std::chrono::duration_cast<std::chrono::milliseconds>(
        Now.time_since_epoch());
    return Common::WallTime{
        static_cast<std::uint64_t>(Sorted[Sorted.size() / 2] + Local.count())};
  }

private:
  struct Offset {
    std::int64_t Milliseconds = 0;
    Common::TimePoint ReadAt;
  };
  std::map<Common::DaemonId, Offset> Offsets;
};

} // namespace State

#endif
