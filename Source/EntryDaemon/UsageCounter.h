#ifndef SYCAMOREREACH_ENTRYDAEMON_USAGECOUNTER_H
#define SYCAMOREREACH_ENTRYDAEMON_USAGECOUNTER_H

#include "State/ControlProtocol.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace EntryDaemon {

/// Counts the requests that began to execute, by usage window and team. Windows
/// follow the time reported by the leader, since this host's wall clock may
/// step.
class UsageCounter {
public:
  explicit UsageCounter(Common::Duration Window) : Window(Window) {}

  /// Sets the clock offset from the leader's time, which is taken to be that
  /// of the midpoint between sending the poll and receiving its answer.
  void setReferenceTime(Common::WallTime ReferenceTime,
                        Common::TimePoint PollSentAt, Common::TimePoint Now) {
    const Common::TimePoint Midpoint = PollSentAt + (Now - PollSentAt) / 2;
    this->OffsetMs = static_cast<std::int64_t>(ReferenceTime.Milliseconds) -
                     toMilliseconds(Midpoint);
  }

  /// Requests are not counted before a reference time is set, as their window
  /// is unknown.
  void countRequest(const Configuration::TeamName &Team,
                    Common::TimePoint Now) {
    if (!this->OffsetMs)
      return;
    const std::int64_t TimeMs = toMilliseconds(Now) + *this->OffsetMs;
    const auto WindowMs =
        std::chrono::duration_cast<std::chrono::milliseconds>(this->Window)
            .count();
    const State::UsageWindow Current{
        static_cast<std::uint64_t>(TimeMs / WindowMs)};
    ++this->Windows[Current][Team];
    while (this->Windows.size() > MaxWindows)
      this->Windows.erase(this->Windows.begin());
  }

  std::vector<State::UsageCount> counts() const {
    std::vector<State::UsageCount> Result;
    for (const auto &[Window, Teams] : this->Windows)
      for (const auto &[Team, Requests] : Teams)
        Result.push_back({Window, Team, Requests});
    return Result;
  }

private:
  /// All kept windows are sent with each poll, so that a new leader receives
  /// them.
  static constexpr std::size_t MaxWindows = 4;
  static std::int64_t toMilliseconds(Common::TimePoint Time) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               Time.time_since_epoch())
        .count();
  }

  Common::Duration Window;
  /// Reference time minus this host's monotonic clock, in milliseconds.
  std::optional<std::int64_t> OffsetMs;
  std::map<State::UsageWindow, State::UsageCounts> Windows;
};

} // namespace EntryDaemon

#endif
