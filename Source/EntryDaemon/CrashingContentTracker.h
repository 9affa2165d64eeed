#ifndef SYCAMOREREACH_ENTRYDAEMON_CRASHINGCONTENTTRACKER_H
#define SYCAMOREREACH_ENTRYDAEMON_CRASHINGCONTENTTRACKER_H

#include "State/ControlProtocol.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <vector>

namespace EntryDaemon {

/// What one entry daemon knows of contents that may crash servers. The leader
/// sums the reports of all daemons and tells which contents are refused.
class CrashingContentTracker {
public:
  /// The server failed while it ran the content. A content that was answered
  /// here before is not suspected: answers are lost for other reasons.
  void recordCrash(std::uint64_t Content, const Common::BackendServerId &Server,
                   std::uint64_t StartedAt, Common::TimePoint Now) {
    if (this->Harmless.count(Content) != 0)
      return;
    this->Reports.push_back({{Content, Server, StartedAt}, Now});
    if (this->Reports.size() > MostReports)
      this->Reports.pop_front();
  }

  void recordSuccess(std::uint64_t Content) {
    if (!this->Harmless.insert(Content).second)
      return;
    this->HarmlessOrder.push_back(Content);
    if (this->HarmlessOrder.size() <= MostHarmless)
      return;
    this->Harmless.erase(this->HarmlessOrder.front());
    this->HarmlessOrder.pop_front();
  }

  /// Reports that a leader may not have heard yet.
  std::vector<State::CrashReport> pendingReports(Common::TimePoint Now) {
    while (!this->Reports.empty() && Now - this->Reports.front().At > ReportFor)
      this->Reports.pop_front();
    std::vector<State::CrashReport> Result;
    for (const Report &Each : this->Reports)
      Result.push_back(Each.Said);
    return Result;
  }

  void refuse(const std::vector<std::uint64_t> &Contents,
              Common::TimePoint Now) {
    for (const std::uint64_t Each : Contents)
      this->RefusedUntil[Each] = Now + RefuseFor;
  }

  bool isRefused(std::uint64_t Content, Common::TimePoint Now) {
    const auto Found = this->RefusedUntil.find(Content);
    if (Found == this->RefusedUntil.end())
      return false;
    if (Now < Found->second)
      return true;
    this->RefusedUntil.erase(Found);
    return false;
  }

private:
  /// Reports are repeated this long, over a change of the leader.
  static constexpr Common::Duration ReportFor = std::chrono::seconds(5);
  /// A refusal that no leader repeats any more ends after this time.
  static constexpr Common::Duration RefuseFor = std::chrono::seconds(30);
  static constexpr std::size_t MostReports = 32;
  static constexpr std::size_t MostHarmless = 8192;

  struct Report {
    State::CrashReport Said;
    Common::TimePoint At;
  };
  std::deque<Report> Reports;
  std::set<std::uint64_t> Harmless;
  /// Oldest first.
  std::deque<std::uint64_t> HarmlessOrder;
  std::map<std::uint64_t, Common::TimePoint> RefusedUntil;
};

} // namespace EntryDaemon

#endif
