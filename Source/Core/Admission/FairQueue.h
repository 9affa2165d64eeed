#ifndef SYCAMOREREACH_ADMISSION_FAIRQUEUE_H
#define SYCAMOREREACH_ADMISSION_FAIRQUEUE_H

#include "Common/Ids.h"
#include "Common/Time.h"

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
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

/// The waiting requests of one priority, shared fairly among callers by
/// deficit round robin: M. Shreedhar, G. Varghese, "Efficient Fair Queueing
/// Using Deficit Round Robin", SIGCOMM 1995. A caller's use at other entry
/// daemons counts against it here.
class FairQueue {
public:
  /// Credit that a caller of weight 1 gets in a round.
  static constexpr double QuantumCost = 512;
  /// Time in which a caller's use elsewhere is half forgotten.
  static constexpr Common::Duration DebtHalfLife = std::chrono::seconds(5);

  void push(const WaitingRequest &Added);
  /// Puts a request before all others of its caller.
  void pushFront(const WaitingRequest &Added);
  /// The request to run next; nullptr when empty. It stays in the queue.
  const WaitingRequest *front(Common::TimePoint Now);
  /// Takes out what front gave.
  WaitingRequest pop(Common::TimePoint Now);
  bool remove(Common::RequestId Id);
  /// Takes out what can no longer begin in time.
  std::vector<WaitingRequest> takeExpired(Common::TimePoint Now);
  /// Counts use of other daemons against a caller.
  void charge(const Common::CallerId &Caller, Cost Used, Common::TimePoint Now);

  /// Work that is served before a new request of Caller with this cost, when
  /// each caller gets its fair turn.
  Cost workBefore(const Common::CallerId &Caller, Cost Added) const;

  bool empty() const { return this->Count == 0; }
  std::size_t size() const { return this->Count; }
  Cost queued() const { return this->Total; }
  std::size_t sizeOf(const Common::CallerId &Caller) const;
  /// The earliest deadline; nothing when empty.
  std::optional<Common::TimePoint> earliestDeadline() const;

private:
  struct CallerQueue {
    std::deque<WaitingRequest> Waiting;
    Cost Queued;
    double Weight = 1;
    /// Negative when more was used than the rounds so far gave.
    double Credit = 0;
    Common::TimePoint CreditAt;
    bool Active = false;
  };

  CallerQueue &touch(const WaitingRequest &Added);
  void activate(const Common::CallerId &Caller, CallerQueue &Queue);
  void deactivateIfEmpty(const Common::CallerId &Caller, CallerQueue &Queue);
  void forgetDebt(CallerQueue &Queue, Common::TimePoint Now) const;
  void giveCredit();

  std::map<Common::CallerId, CallerQueue> Callers;
  /// Callers with waiting requests; the first one is served next.
  std::list<Common::CallerId> Round;
  std::size_t Count = 0;
  Cost Total;
};

} // namespace Admission

#endif
