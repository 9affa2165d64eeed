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

/// Work in tokens: prompt tokens plus expected output tokens. Once the server
/// is known, cached prompt tokens and output tokens already received are left
/// out.
using Cost = Common::StrongNumber<struct CostTag>;

/// A queued request.
struct WaitingRequest {
  Common::RequestId Id;
  Common::CallerId Caller;
  double CallerWeight = 1;
  Admission::Cost Cost;
  /// Time after which the request, if it still waits, is refused;
  /// TimePoint::max() if it is not refused for waiting too long.
  Common::TimePoint Deadline;
};

/// Weighted fair queue for the waiting requests of one priority. The next
/// request comes from the caller with the lowest recent usage per unit of
/// weight, at this and the other entry daemons. The token counters per caller
/// follow Y. Sheng et al., "Fairness in Serving Large Language Models", OSDI
/// 2024, except that they decay exponentially instead of being lifted when a
/// caller becomes active again.
class FairQueue {
public:
  /// Half-life of recorded service.
  static constexpr Common::Duration UsageHalfLife = std::chrono::seconds(5);

  void push(const WaitingRequest &Added);
  /// Adds a request ahead of all other requests of its caller.
  void pushFront(const WaitingRequest &Added);
  /// The request to run next, which stays in the queue; nullptr if the queue is
  /// empty.
  const WaitingRequest *front(Common::TimePoint Now) const;
  /// Removes and returns the request that front returns. The queue must not be
  /// empty.
  WaitingRequest pop(Common::TimePoint Now);
  bool remove(Common::RequestId Id);
  /// Removes and returns the requests whose deadlines have passed.
  std::vector<WaitingRequest> takeExpired(Common::TimePoint Now);
  /// Adds a caller's usage at other entry daemons.
  void charge(const Common::CallerId &Caller, Cost Usage,
              Common::TimePoint Now);

  /// Estimated work that is served before a new request of Caller with cost
  /// Added, under fair scheduling.
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
    /// Decayed cost of the service received, as of UsageUpdatedAt.
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
  /// Callers that have waiting requests.
  std::set<Common::CallerId> WaitingCallers;
  std::size_t Count = 0;
  Cost TotalCost;
};

} // namespace Admission

#endif
