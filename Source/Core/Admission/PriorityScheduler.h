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

/// The declared settings of a priority.
struct PriorityRule {
  /// Lower is more urgent.
  std::uint64_t Rank = 0;
  /// Minimum fraction of the recently served cost that the priority receives
  /// while it has waiting work.
  double Floor = 0;
  /// If several priorities are below their floors, the one with the largest
  /// deficit times DeficitWeight is served first.
  double DeficitWeight = 1;
};

/// Chooses which priority to serve: the most urgent one, unless a less urgent
/// one with waiting work has received less than its floor.
class PriorityScheduler {
public:
  /// Half-life of recorded service.
  static constexpr Common::Duration ServiceHalfLife = std::chrono::seconds(2);

  /// Replaces the rules. Priorities that remain keep their recorded service.
  void configure(const std::map<Common::PriorityName, PriorityRule> &Rules);

  /// The priority to serve next among Waiting, those with waiting work.
  std::optional<Common::PriorityName>
  choose(const std::vector<Common::PriorityName> &Waiting,
         Common::TimePoint Now);
  void recordService(const Common::PriorityName &Priority, Cost Work,
                     Common::TimePoint Now);
  /// Subtracts work that was recorded as served but not done.
  void refundService(const Common::PriorityName &Priority, Cost Work,
                     Common::TimePoint Now);

  /// The share of capacity available to new work of Priority while the
  /// priorities in Waiting have work.
  double availableShare(const Common::PriorityName &Priority,
                        const std::vector<Common::PriorityName> &Waiting,
                        Common::TimePoint Now);
  /// The minimum share of Priority while more urgent work waits.
  double floorOf(const Common::PriorityName &Priority) const;
  /// The share of recent service that Priority received.
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
