#ifndef SYCAMOREREACH_STATE_CLOCKMEDIAN_H
#define SYCAMOREREACH_STATE_CLOCKMEDIAN_H

#include "Common/Ids.h"
#include "Common/Time.h"

#include <algorithm>
#include <map>
#include <vector>

namespace State {

/// Wall time by the median of many daemons' clocks, as single clocks step.
class ClockMedian {
public:
  /// A reading older than this counts no more.
  static constexpr Common::Duration KeptFor = std::chrono::seconds(5);

  void reading(const Common::DaemonId &From, Common::WallTime Wall,
               Common::TimePoint Now) {
    const auto Local = std::chrono::duration_cast<std::chrono::milliseconds>(
        Now.time_since_epoch());
    this->Offsets[From] = {
        static_cast<std::int64_t>(Wall.Milliseconds) - Local.count(), Now};
  }

  /// The median; 0 without readings.
  Common::WallTime at(Common::TimePoint Now) {
    std::erase_if(this->Offsets, [Now](const auto &Each) {
      return Now - Each.second.ReadAt > KeptFor;
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
