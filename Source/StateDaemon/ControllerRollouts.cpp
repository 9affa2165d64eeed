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
  this->Orders.handle(
      *Order, [this, Exchange, Order](const RolloutOrders::Result &Decided) {
        this->answerRolloutOrder(*Exchange, *Order, Decided);
      });
}

RolloutOrders::Handlers Controller::rolloutOrderHandlers() {
  RolloutOrders::Handlers Result;
  Result.Propose = [this](const Rollout::BeginRolloutCommand &Command,
                          ReplicaDriver::ProposalCallback OnDone) {
    return this->Driver->propose(
        Network::encode(State::ControlCommand(Command)), std::move(OnDone));
  };
  Result.Time = [this] { return this->rolloutTime(this->Loop.now()); };
  return Result;
}

void Controller::answerRolloutOrder(Network::Http1Exchange &Exchange,
                                    const Platform::RolloutOrder &Order,
                                    const RolloutOrders::Result &Decided) {
  const auto Log = [&](const char *Outcome) {
    Telemetry::log(Events::RolloutOrdered, Order.Service.str(),
                   Decided.Recorded ? Decided.Recorded->Number.Value : 0,
                   Order.Target.str(), Order.DurationMilliseconds, Outcome);
  };
  switch (Decided.Outcome) {
  case RolloutOrders::Decision::Begun:
    Log("acknowledged");
    this->Metrics.incrementCounter("rollout_orders_total");
    replyAccepted(Exchange);
    return;
  case RolloutOrders::Decision::Repeated:
    Log("repeated");
    replyAccepted(Exchange);
    return;
  case RolloutOrders::Decision::Conflicting:
    this->Metrics.incrementCounter("rollout_orders_conflicting_total");
    Telemetry::log(Events::RolloutRefused, "another rollout is running");
    replyError(
        Exchange, 409,
        absl::StrCat("a rollout of this service to ",
                     Decided.Recorded->Target.str(), " in ",
                     Decided.Recorded->DurationMilliseconds,
                     " ms is running; wait until read returns completed or "
                     "rolled_back, then send the order again"));
    return;
  case RolloutOrders::Decision::Ambiguous:
    Log("ambiguous");
    replyRetry(
        Exchange,
        "an equal order was acknowledged shortly before, and its rollout "
        "has ended; send the order again after Retry-After",
        Decided.RetryAfter);
    return;
  case RolloutOrders::Decision::Unknown:
    Log("unknown");
    replyRetry(Exchange, "outcome unknown; send the order again");
    return;
  case RolloutOrders::Decision::NotLeading:
    this->redirectToLeader(Exchange, Exchange.head().Target);
    return;
  }
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
