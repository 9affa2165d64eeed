#ifndef SYCAMOREREACH_STATE_USAGEAGGREGATOR_H
#define SYCAMOREREACH_STATE_USAGEAGGREGATOR_H

#include "State/ControlProtocol.h"

#include <map>
#include <utility>

namespace State {

/// Sums the request counts of all entry daemons per usage window. The counts of
/// one incarnation of a daemon only increase, so its highest count is used and
/// repeated or reordered messages have no effect.
class UsageAggregator {
public:
  void update(const Common::DaemonId &Entry, Common::Incarnation Incarnation,
              const std::vector<UsageCount> &Counts) {
    for (const UsageCount &Each : Counts) {
      std::uint64_t &Highest =
          this->Windows[Each.Window][{Entry, Incarnation}][Each.Team];
      Highest = std::max(Highest, Each.Requests);
    }
  }

  UsageCounts total(UsageWindow Window) const {
    UsageCounts Sum;
    const auto Found = this->Windows.find(Window);
    if (Found == this->Windows.end())
      return Sum;
    for (const auto &Daemon : Found->second)
      for (const auto &[Team, Requests] : Daemon.second)
        Sum[Team] += Requests;
    return Sum;
  }

  void removeBefore(UsageWindow FirstRetained) {
    this->Windows.erase(this->Windows.begin(),
                        this->Windows.lower_bound(FirstRetained));
  }

private:
  using DaemonIncarnation = std::pair<Common::DaemonId, Common::Incarnation>;
  std::map<UsageWindow, std::map<DaemonIncarnation, UsageCounts>> Windows;
};

} // namespace State

#endif
