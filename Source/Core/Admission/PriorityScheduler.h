#ifndef SYCAMOREREACH_ADMISSION_PRIORITYSCHEDULER_H
#define SYCAMOREREACH_ADMISSION_PRIORITYSCHEDULER_H

#include "Admission/FairQueue.h"
#include "Common/Ids.h"
#include "Common/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Admission {

/// What is declared of a priority.
struct PriorityRule {
  std::uint64_t Rank = 0;
  double Floor = 0;
  double Worth = 1;
};

/// Chooses between priorities: the most urgent first, except while a less
/// urgent one with waiting work was served less than its floor.
class PriorityScheduler {
public:
  /// Time in which past service counts half.
  static constexpr Common::Duration ServiceHalfLife = std::chrono::seconds(2);

  /// Keeps what was measured of priorities that stay.
  void configure(const std::map<Common::PriorityName, PriorityRule> &Rules);

  /// The priority to serve among those with waiting work.
  std::optional<Common::PriorityName>
  choose(const std::vector<Common::PriorityName> &Waiting,
         Common::TimePoint Now);
  void recordService(const Common::PriorityName &Priority, Cost Work,
                     Common::TimePoint Now);
  /// Takes back what was counted and not done.
  void refundService(const Common::PriorityName &Priority, Cost Work,
                     Common::TimePoint Now);

  /// The share of capacity that new work of Priority can count on while
  /// the priorities in Waiting have work.
  double availableShare(const Common::PriorityName &Priority,
                        const std::vector<Common::PriorityName> &Waiting,
                        Common::TimePoint Now);
  /// The share that Priority gets while more urgent work waits.
  double floorOf(const Common::PriorityName &Priority) const;
  /// The share of recent service that went to Priority.
  double recentShare(const Common::PriorityName &Priority,
                     Common::TimePoint Now);
  const PriorityRule *find(const Common::PriorityName &Priority) const;

private:
  struct PriorityState {
    PriorityRule Rule;
    double ServedCost = 0;
  };
  void decay(Common::TimePoint Now);
  double totalServedCost() const;

  std::map<Common::PriorityName, PriorityState> Priorities;
  Common::TimePoint DecayedAt;
};

} // namespace Admission

#endif
