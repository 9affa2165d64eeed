#ifndef SYCAMOREREACH_STATEDAEMON_ROLLOUTORDERS_H
#define SYCAMOREREACH_STATEDAEMON_ROLLOUTORDERS_H

#include "State/ControlState.h"
#include "StateDaemon/ReplicaDriver.h"
#include "platform/RolloutDocuments.h"

#include <functional>

namespace StateDaemon {

/// Decides operators' rollout orders while this daemon leads. An order is
/// answered by what became of its own command: orders that are proposed
/// together compete for the next number of the RolloutBook, and those that lose
/// are decided again by the state that resulted.
class RolloutOrders {
public:
  enum class Decision {
    /// A rollout was begun for this order, and is recorded.
    Begun,
    /// A rollout is recorded that an equal order began.
    Repeated,
    /// Another rollout of the service is running.
    Conflicting,
    /// It cannot be told whether the order repeats an equal one whose rollout
    /// has ended. It can be told after RetryAfter.
    Ambiguous,
    /// Leadership was lost before the outcome was known.
    Unknown,
    /// This daemon does not lead.
    NotLeading,
  };
  struct Result {
    Decision Outcome = Decision::Unknown;
    /// The service's recorded rollout; null if there is none.
    const Rollout::ServiceRollout *Recorded = nullptr;
    Common::Duration RetryAfter{};
  };
  /// Called once, possibly before handle returns.
  using Callback = std::function<void(const Result &)>;
  struct Handlers {
    /// As ReplicaDriver::propose.
    std::function<bool(const Rollout::BeginRolloutCommand &,
                       ReplicaDriver::ProposalCallback)>
        Propose;
    /// The time of rollouts; see Controller::rolloutTime.
    std::function<Common::WallTime()> Time;
  };

  /// State is the replicated state as this daemon has applied it. Operators
  /// repeat an order for AckTime at most.
  RolloutOrders(const State::ControlState &State, Common::Duration AckTime,
                Handlers OwnerHandlers)
      : State(State), AckTime(AckTime),
        OwnerHandlers(std::move(OwnerHandlers)) {}

  void handle(const Platform::RolloutOrder &Order, const Callback &OnDecided);

private:
  /// Nothing if a rollout is to be begun.
  std::optional<Result>
  decideByState(const Platform::RolloutOrder &Order) const;

  const State::ControlState &State;
  Common::Duration AckTime;
  Handlers OwnerHandlers;
};

} // namespace StateDaemon

#endif
