#include "StateDaemon/RolloutOrders.h"

#include <algorithm>

namespace StateDaemon {

namespace {

/// For an order that was repeated just before its time limit and took long to
/// arrive, and wall clocks that differ.
constexpr Common::Duration RepeatMargin = std::chrono::seconds(2);

} // namespace

std::optional<RolloutOrders::Result>
RolloutOrders::decideByState(const Platform::RolloutOrder &Order) const {
  const Rollout::ServiceRollout *Known =
      this->State.rollouts().find(Order.Service);
  if (!Known)
    return std::nullopt;
  const bool IsEqual =
      Known->Target == Order.Target &&
      Known->DurationMilliseconds == Order.DurationMilliseconds;
  if (IsEqual && Known->isRunning())
    return Result{Decision::Repeated, Known};
  if (Known->isRunning())
    return Result{Decision::Conflicting, Known};
  // Clocks may differ, so that the time of the order may be still to come.
  const std::uint64_t Now = std::max(this->OwnerHandlers.Time().Milliseconds,
                                     Known->BegunAt.Milliseconds);
  const Common::Duration Age =
      std::chrono::milliseconds(Now - Known->BegunAt.Milliseconds);
  if (IsEqual && Age < this->AckTime)
    return Result{Decision::Repeated, Known};
  if (IsEqual && Age < this->AckTime + RepeatMargin)
    return Result{Decision::Ambiguous, Known,
                  this->AckTime + RepeatMargin - Age};
  return std::nullopt;
}

void RolloutOrders::handle(const Platform::RolloutOrder &Order,
                           const Callback &OnDecided) {
  if (const auto Decided = this->decideByState(Order)) {
    OnDecided(*Decided);
    return;
  }
  Rollout::BeginRolloutCommand Command;
  Command.Service = Order.Service;
  Command.Number = this->State.rollouts().nextNumber();
  Command.Target = Order.Target;
  Command.DurationMilliseconds = Order.DurationMilliseconds;
  Command.BegunAt = this->OwnerHandlers.Time();
  const bool Appended = this->OwnerHandlers.Propose(
      Command,
      [this, Order, OnDecided](ReplicaDriver::ProposalOutcome Outcome) {
        const Rollout::ServiceRollout *Recorded =
            this->State.rollouts().find(Order.Service);
        switch (Outcome) {
        case ReplicaDriver::ProposalOutcome::Applied:
          OnDecided({Decision::Begun, Recorded});
          return;
        case ReplicaDriver::ProposalOutcome::Ignored:
          // Another order was recorded first, so this ends once all of those
          // are.
          this->handle(Order, OnDecided);
          return;
        case ReplicaDriver::ProposalOutcome::Unknown:
          OnDecided({Decision::Unknown, Recorded});
          return;
        }
      });
  if (!Appended)
    OnDecided({Decision::NotLeading});
}

} // namespace StateDaemon
