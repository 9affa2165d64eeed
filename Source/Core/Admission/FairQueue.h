#ifndef SYCAMOREREACH_ADMISSION_FAIRQUEUE_H
#define SYCAMOREREACH_ADMISSION_FAIRQUEUE_H

#include "Common/Ids.h"
#include "Common/Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <vector>

namespace Admission {

/// Work in tokens: those of the prompt that are not cached, and those
/// expected in the answer.
using Cost = Common::StrongNumber<struct CostTag>;

/// A request that waits.
struct WaitingRequest {
  Common::RequestId Id;
  Common::CallerId Caller;
  double CallerWeight = 1;
  Admission::Cost Cost;
  /// The answer is useless when it has not begun by then.
  Common::TimePoint Deadline;
};

/// The waiting requests of one priority, shared fairly among callers: the
/// next request is that of the caller that was served least lately, in cost
/// for each unit of weight, here and at other entry daemons. Counting tokens
/// for each caller is after Y. Sheng and others, "Fairness in Serving Large
/// Language Models", OSDI 2024; the counts fade instead of being lifted.
class FairQueue {
public:
  /// Time in which past service counts half.
  static constexpr Common::Duration UsageHalfLife = std::chrono::seconds(5);

  void push(const WaitingRequest &Added);
  /// Puts a request before all others of its caller.
  void pushFront(const WaitingRequest &Added);
  /// The request to run next; nullptr when empty. It stays in the queue.
  const WaitingRequest *front(Common::TimePoint Now) const;
  /// Takes out what front gave.
  WaitingRequest pop(Common::TimePoint Now);
  bool remove(Common::RequestId Id);
  /// Takes out what can no longer begin in time.
  std::vector<WaitingRequest> takeExpired(Common::TimePoint Now);
  /// Counts use of other daemons against a caller.
  void charge(const Common::CallerId &Caller, Cost Usage,
              Common::TimePoint Now);

  /// Work that is served before a new request of Caller with this cost, when
  /// each caller gets its fair turn.
  Cost workAhead(const Common::CallerId &Caller, Cost Added,
                 Common::TimePoint Now) const;

  bool empty() const { return this->Count == 0; }
  std::size_t size() const { return this->Count; }
  Cost queuedCost() const { return this->TotalCost; }

private:
  struct CallerQueue {
    std::deque<WaitingRequest> Waiting;
    Cost QueuedCost;
    double Weight = 1;
    /// Cost served lately, as of UsedAt.
    double Usage = 0;
    Common::TimePoint UsageUpdatedAt;

    double usageAt(Common::TimePoint Now) const;
    void addUsage(double Units, Common::TimePoint Now);
  };

  CallerQueue &addToTotals(const WaitingRequest &Added);
  void removeAt(const Common::CallerId &Caller, CallerQueue &Queue,
                std::size_t Position);
  const Common::CallerId *leastServedCaller(Common::TimePoint Now) const;

  std::map<Common::CallerId, CallerQueue> Callers;
  /// Callers with waiting requests.
  std::set<Common::CallerId> WaitingCallers;
  std::size_t Count = 0;
  Cost TotalCost;
};

} // namespace Admission

#endif
