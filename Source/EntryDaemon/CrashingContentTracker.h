#ifndef SYCAMOREREACH_ENTRYDAEMON_CRASHINGCONTENTTRACKER_H
#define SYCAMOREREACH_ENTRYDAEMON_CRASHINGCONTENTTRACKER_H

#include "State/ControlProtocol.h"

#include <cstdint>
#include <deque>
#include <set>
#include <vector>

namespace EntryDaemon {

/// Tracks request contents, by hash, that may crash backend servers. The leader
/// aggregates the reports of all entry daemons and decides which contents are
/// refused (RefusalList).
class CrashingContentTracker {
public:
  /// Records that the server failed while it executed the content. A content
  /// that this daemon has seen answered is ignored, as responses are also lost
  /// for other reasons.
  void recordCrash(std::uint64_t Content, const Common::BackendServerId &Server,
                   std::uint64_t StartedAt, Common::TimePoint Now) {
    if (this->Harmless.count(Content) != 0)
      return;
    this->Reports.push_back({{Content, Server, StartedAt, 0}, Now});
    if (this->Reports.size() > MaxReports)
      this->Reports.pop_front();
  }

  void recordSuccess(std::uint64_t Content) {
    if (!this->Harmless.insert(Content).second)
      return;
    this->HarmlessOrder.push_back(Content);
    if (this->HarmlessOrder.size() <= MaxHarmless)
      return;
    this->Harmless.erase(this->HarmlessOrder.front());
    this->HarmlessOrder.pop_front();
  }

  /// Removes reports older than ReportRetention and returns the rest.
  std::vector<State::CrashReport> recentReports(Common::TimePoint Now) {
    while (!this->Reports.empty() &&
           Now - this->Reports.front().RecordedAt > ReportRetention)
      this->Reports.pop_front();
    std::vector<State::CrashReport> Result;
    for (const Report &Each : this->Reports) {
      Result.push_back(Each.Crash);
      Result.back().AgeMilliseconds = static_cast<std::uint64_t>(
          Common::toMilliseconds(std::chrono::duration_cast<Common::Duration>(
              Now - Each.RecordedAt)));
    }
    return Result;
  }

private:
  /// Reports are sent repeatedly for this long, so that a newly elected leader
  /// receives them too.
  static constexpr Common::Duration ReportRetention = std::chrono::seconds(5);
  static constexpr std::size_t MaxReports = 32;
  static constexpr std::size_t MaxHarmless = 8192;

  struct Report {
    State::CrashReport Crash;
    Common::TimePoint RecordedAt;
  };
  std::deque<Report> Reports;
  /// Contents that were executed successfully.
  std::set<std::uint64_t> Harmless;
  /// Oldest first.
  std::deque<std::uint64_t> HarmlessOrder;
};

} // namespace EntryDaemon

#endif
