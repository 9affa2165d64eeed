#include "StateDaemon/Controller.h"

#include "Network/Codec.h"
#include "Telemetry/LogEvents.h"
#include "platform/RolloutDocuments.h"

#include <absl/strings/str_cat.h>

// Rollouts: the operators' calls, and the leader's proposals.

namespace StateDaemon {

namespace {

namespace Events = Telemetry::Events;

const Network::HttpHeaders JsonType = {{"Content-Type", "application/json"}};

/// For an order that was repeated just before its time limit, and wall clocks
/// that differ.
constexpr Common::Duration RepeatMargin = std::chrono::seconds(2);

} // namespace

Common::WallTime Controller::rolloutTime(Common::TimePoint Now) const {
  return this->Tracker ? this->Tracker->medianTime(Now) : this->Loop.wallNow();
}

RolloutDirector::Dependencies Controller::rolloutDependencies() {
  // Numbers of directives in one term; a leader changes one at most every
  // 100 ms.
  constexpr unsigned RevisionBits = 32;
  return {this->State,
          this->Registry,
          this->Metrics,
          this->Settings.Exposure,
          this->Driver->replica()->term().Value << RevisionBits,
          [this](Common::TimePoint Now) { return this->rolloutTime(Now); }};
}

void Controller::planRollouts(Common::TimePoint Now) {
  for (const State::ControlCommand &Each : this->Reports->rollouts().plan(
           this->Tracker ? this->Tracker->liveEntryCount() : 0, Now))
    this->Driver->propose(Network::encode(Each), nullptr);
}

void Controller::handleBeginRollout(
    const std::shared_ptr<Network::Http1Exchange> &Exchange) {
  if (!this->Settings.Rollouts) {
    replyError(*Exchange, 404,
               "rollouts are not enabled; set SYCAMORE_ROLLOUTS=true");
    return;
  }
  const auto Refuse = [&](const std::string &Detail) {
    this->Metrics.incrementCounter("rollout_orders_invalid_total");
    Telemetry::log(Events::RolloutRefused, Detail);
    replyError(*Exchange, 400, Detail);
  };
  const auto Order = Platform::decodeRolloutOrder(Exchange->body());
  if (!Order.ok()) {
    Refuse(std::string(Order.status().message()));
    return;
  }
  if (!this->Driver->holdsLeadership()) {
    this->redirectToLeader(*Exchange, Exchange->head().Target);
    return;
  }
  if (!this->Declaration || !this->State.hasDeclaration()) {
    replyRetry(*Exchange, "no declaration has been accepted yet");
    return;
  }
  if (!this->Declaration->service(Order->Service)) {
    Refuse("the service is unknown; use one of the declared services");
    return;
  }
  if (this->State.protocolLevel() < State::RolloutsLevel) {
    replyRetry(*Exchange, "a state daemon of an earlier release is a member of "
                          "the group; retry when all are updated");
    return;
  }
  if (!this->answerWithoutRollout(*Exchange, *Order))
    this->proposeRollout(Exchange, *Order);
}

bool Controller::answerWithoutRollout(Network::Http1Exchange &Exchange,
                                      const Platform::RolloutOrder &Order) {
  const Rollout::ServiceRollout *Known =
      this->State.rollouts().find(Order.Service);
  if (!Known)
    return false;
  const std::uint64_t Wall = this->rolloutTime(this->Loop.now()).Milliseconds;
  const auto RepeatMilliseconds = static_cast<std::uint64_t>(
      Common::toMilliseconds(this->Settings.AckTime + RepeatMargin));
  const bool IsRepeat = Known->Target == Order.Target &&
                        Wall < Known->BegunAt.Milliseconds + RepeatMilliseconds;
  if (IsRepeat || (Known->isRunning() && Known->Target == Order.Target)) {
    Telemetry::log(Events::RolloutOrdered, Order.Service.str(),
                   Known->Number.Value, Order.Target.str(),
                   Order.DurationMilliseconds, "repeated");
    replyAccepted(Exchange);
    return true;
  }
  if (!Known->isRunning())
    return false;
  this->Metrics.incrementCounter("rollout_orders_conflicting_total");
  Telemetry::log(Events::RolloutRefused, "another rollout is running");
  replyError(Exchange, 409,
             absl::StrCat("a rollout of this service to ", Known->Target.str(),
                          " is running; wait until read returns completed or "
                          "rolled_back, then send the order again"));
  return true;
}

void Controller::proposeRollout(
    const std::shared_ptr<Network::Http1Exchange> &Exchange,
    const Platform::RolloutOrder &Order) {
  Rollout::BeginRolloutCommand Command;
  Command.Service = Order.Service;
  Command.Number = this->State.rollouts().nextNumber();
  Command.Target = Order.Target;
  Command.DurationMilliseconds = Order.DurationMilliseconds;
  Command.BegunAt = this->rolloutTime(this->Loop.now());
  const bool Appended = this->Driver->propose(
      Network::encode(State::ControlCommand(Command)),
      [this, Exchange, Order](ReplicaDriver::ProposalOutcome Outcome) {
        const bool Applied = Outcome == ReplicaDriver::ProposalOutcome::Applied;
        const Rollout::ServiceRollout *Known =
            this->State.rollouts().find(Order.Service);
        // Another order may have been applied first.
        const bool InForce = Applied && Known && Known->Target == Order.Target;
        Telemetry::log(Events::RolloutOrdered, Order.Service.str(),
                       Known ? Known->Number.Value : 0, Order.Target.str(),
                       Order.DurationMilliseconds,
                       InForce ? "acknowledged" : "unknown");
        if (InForce) {
          this->Metrics.incrementCounter("rollout_orders_total");
          replyAccepted(*Exchange);
        } else {
          replyRetry(*Exchange, "outcome unknown; send the order again");
        }
      });
  if (!Appended)
    this->redirectToLeader(*Exchange, Exchange->head().Target);
}

void Controller::handleReadRollout(Network::Http1Exchange &Exchange,
                                   const Common::ServiceName &Service,
                                   bool Explain) {
  if (!this->Driver->holdsLeadership()) {
    this->redirectToLeader(Exchange, Exchange.head().Target);
    return;
  }
  const Rollout::ServiceRollout *Known = this->State.rollouts().find(Service);
  if (!Known) {
    replyError(Exchange, 404, "no rollout of this service was ever ordered");
    return;
  }
  const std::string Details = Explain && this->Reports
                                  ? this->Reports->rollouts().describe(Service)
                                  : std::string();
  Exchange.reply(200, JsonType,
                 Explain ? Platform::encodeRolloutEvidence(*Known, Details)
                         : Platform::encodeRolloutState(*Known));
}

} // namespace StateDaemon
