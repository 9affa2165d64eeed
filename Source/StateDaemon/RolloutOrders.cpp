#include "StateDaemon/RolloutOrders.h"

namespace StateDaemon {

namespace {

/// For an order that was repeated just before its time limit, and wall clocks
/// that differ.
constexpr Common::Duration RepeatMargin = std::chrono::seconds(2);

} // namespace

std::optional<RolloutOrders::Result>
RolloutOrders::decideByState(const Platform::RolloutOrder &Order) const {
  const Rollout::ServiceRollout *Known =
      this->State.rollouts().find(Order.Service);
  if (!Known)
    return std::nullopt;
  const std::uint64_t Wall = this->OwnerHandlers.Time().Milliseconds;
  const auto RepeatMilliseconds = static_cast<std::uint64_t>(
      Common::toMilliseconds(this->AckTime + RepeatMargin));
  const bool HasTarget = Known->Target == Order.Target;
  const bool IsRepeat =
      HasTarget && Wall < Known->BegunAt.Milliseconds + RepeatMilliseconds;
  if (IsRepeat || (Known->isRunning() && HasTarget))
    return Result{Decision::Repeated, Known};
  if (Known->isRunning())
    return Result{Decision::Conflicting, Known};
  return std::nullopt;
}

void RolloutOrders::handle(const Platform::RolloutOrder &Order,
                           Callback OnDecided) {
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
