#ifndef SYCAMOREREACH_STATE_USAGELEDGER_H
#define SYCAMOREREACH_STATE_USAGELEDGER_H

#include "State/ControlProtocol.h"

#include <map>
#include <utility>

namespace State {

/// Sums what entry daemons counted in each usage window. Counts of one life
/// of a daemon only rise, so repeats and reordering do no harm.
class UsageLedger {
public:
  void counted(const Common::DaemonId &Entry, Common::Incarnation Life,
               const std::vector<UsageCount> &Counts) {
    for (const UsageCount &Each : Counts) {
      std::uint64_t &Held =
          this->Windows[Each.Window][{Entry, Life}][Each.Team];
      Held = std::max(Held, Each.Requests);
    }
  }

  UsageCounts total(UsageWindow Of) const {
    UsageCounts Sum;
    const auto Found = this->Windows.find(Of);
    if (Found == this->Windows.end())
      return Sum;
    for (const auto &Daemon : Found->second)
      for (const auto &[Team, Requests] : Daemon.second)
        Sum[Team] += Requests;
    return Sum;
  }

  void forgetBefore(UsageWindow Oldest) {
    this->Windows.erase(this->Windows.begin(),
                        this->Windows.lower_bound(Oldest));
  }

private:
  using DaemonLife = std::pair<Common::DaemonId, Common::Incarnation>;
  std::map<UsageWindow, std::map<DaemonLife, UsageCounts>> Windows;
};

} // namespace State

#endif
