#ifndef SYCAMOREREACH_ENTRYDAEMON_USAGECOUNTER_H
#define SYCAMOREREACH_ENTRYDAEMON_USAGECOUNTER_H

#include "State/ControlProtocol.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace EntryDaemon {

/// Counts the requests that began to run, by usage window and team. Windows
/// follow the time that the leader tells, as the host's own clock may step.
class UsageCounter {
public:
  explicit UsageCounter(Common::Duration Window) : Window(Window) {}

  /// The leader's time, halfway between question and answer.
  void timeIs(Common::WallTime Told, Common::TimePoint AskedAt,
              Common::TimePoint Now) {
    const Common::TimePoint Middle = AskedAt + (Now - AskedAt) / 2;
    this->Offset =
        static_cast<std::int64_t>(Told.Milliseconds) - milliseconds(Middle);
  }

  /// Before the time is known nothing can be assigned to a window.
  void began(const Configuration::TeamName &Team, Common::TimePoint Now) {
    if (!this->Offset)
      return;
    const std::int64_t Time = milliseconds(Now) + *this->Offset;
    const auto Length =
        std::chrono::duration_cast<std::chrono::milliseconds>(this->Window)
            .count();
    const State::UsageWindow At{static_cast<std::uint64_t>(Time / Length)};
    ++this->Windows[At][Team];
    while (this->Windows.size() > KeptWindows)
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
  /// Windows told with each poll, so that a new leader learns them.
  static constexpr std::size_t KeptWindows = 4;
  static std::int64_t milliseconds(Common::TimePoint At) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               At.time_since_epoch())
        .count();
  }

  Common::Duration Window;
  std::optional<std::int64_t> Offset;
  std::map<State::UsageWindow, State::UsageCounts> Windows;
};

} // namespace EntryDaemon

#endif
