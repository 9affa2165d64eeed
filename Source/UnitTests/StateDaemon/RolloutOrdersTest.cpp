#include "StateDaemon/RolloutOrders.h"

#include <boost/test/unit_test.hpp>
#include <deque>

namespace UnitTests {

namespace {

using namespace std::chrono_literals;
using StateDaemon::ReplicaDriver;
using StateDaemon::RolloutOrders;
using Decision = RolloutOrders::Decision;

constexpr Common::Duration AckTime = 5s;

Platform::RolloutOrder order(const std::string &Service,
                             const char *Target = "v2",
                             std::uint64_t DurationMilliseconds = 60'000) {
  return {Common::ServiceName(Service), Common::SoftwareVersion(Target),
          DurationMilliseconds};
}

/// A leader that applies what it has proposed when told to.
struct Leader {
  State::ControlState State;
  Common::WallTime Now{1'000'000};
  bool Leads = true;
  struct Proposal {
    Rollout::BeginRolloutCommand Command;
    ReplicaDriver::ProposalCallback OnDone;
  };
  std::deque<Proposal> Log;
  RolloutOrders Orders{State,
                       AckTime,
                       {[this](const Rollout::BeginRolloutCommand &Command,
                               ReplicaDriver::ProposalCallback OnDone) {
                          if (this->Leads)
                            this->Log.push_back({Command, std::move(OnDone)});
                          return this->Leads;
                        },
                        [this] { return this->Now; }}};

  void applyAll() {
    while (!this->Log.empty()) {
      const Proposal Next = std::move(this->Log.front());
      this->Log.pop_front();
      const bool Applied =
          this->State.apply(Next.Command) == State::CommandEffect::Applied;
      Next.OnDone(Applied ? ReplicaDriver::ProposalOutcome::Applied
                          : ReplicaDriver::ProposalOutcome::Ignored);
    }
  }
  std::vector<Decision> handle(const std::vector<Platform::RolloutOrder> &All) {
    std::vector<std::optional<Decision>> Decided(All.size());
    for (std::size_t I = 0; I < All.size(); ++I)
      this->Orders.handle(All[I],
                          [&Decided, I](const RolloutOrders::Result &Each) {
                            BOOST_TEST(!Decided[I].has_value());
                            Decided[I] = Each.Outcome;
                          });
    this->applyAll();
    std::vector<Decision> Result;
    for (const auto &Each : Decided)
      Result.push_back(Each.value());
    return Result;
  }
  Decision handle(const Platform::RolloutOrder &Single) {
    return this->handle(std::vector<Platform::RolloutOrder>{Single}).front();
  }
  const Rollout::ServiceRollout &rollout(const std::string &Service) const {
    return *this->State.rollouts().find(Common::ServiceName(Service));
  }
  void rollBack(const std::string &Service) {
    this->State.apply(Rollout::EndRolloutCommand{Common::ServiceName(Service),
                                                 this->rollout(Service).Number,
                                                 false, "no_servers", ""});
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(RolloutOrders_)

// Guards against an order that is acknowledged because of an earlier rollout
// with the same target, while another order took its number.
BOOST_AUTO_TEST_CASE(OrdersThatAreProposedTogetherAllBegin) {
  Leader Test;
  BOOST_CHECK(Test.handle(order("chat")) == Decision::Begun);
  Test.rollBack("chat");
  Test.Now.Milliseconds += 9'000;
  std::vector<Platform::RolloutOrder> All;
  for (int I = 1; I < 8; ++I)
    All.push_back(order("pool-" + std::to_string(I)));
  All.push_back(order("chat"));
  for (const Decision Each : Test.handle(All))
    BOOST_CHECK(Each == Decision::Begun);
  for (const Platform::RolloutOrder &Each : All)
    BOOST_TEST(Test.rollout(Each.Service.str()).isRunning());
}

BOOST_AUTO_TEST_CASE(OrdersOfOneServiceBeginOneRollout) {
  Leader Test;
  const auto Decided = Test.handle(
      {order("chat"), order("chat"), order("chat", "v3"), order("pool")});
  BOOST_CHECK(Decided[0] == Decision::Begun);
  BOOST_CHECK(Decided[1] == Decision::Repeated);
  BOOST_CHECK(Decided[2] == Decision::Conflicting);
  BOOST_CHECK(Decided[3] == Decision::Begun);
  BOOST_TEST(Test.rollout("chat").Target.str() == "v2");
}

BOOST_AUTO_TEST_CASE(WithoutLeadershipTheOutcomeIsUnknown) {
  Leader Test;
  std::optional<Decision> Decided;
  Test.Orders.handle(order("chat"), [&](const RolloutOrders::Result &Each) {
    Decided = Each.Outcome;
  });
  BOOST_TEST(!Decided.has_value());
  Test.Log.front().OnDone(ReplicaDriver::ProposalOutcome::Unknown);
  BOOST_CHECK(Decided == Decision::Unknown);
  Test.Leads = false;
  BOOST_CHECK(Test.handle(order("chat")) == Decision::NotLeading);
}

// Guards against LOST: a new order that equals one which has ended was taken
// for a late repeat of it, or an order with another duration for the same
// order.
BOOST_AUTO_TEST_CASE(OnlyARepeatIsAnsweredForTheRolloutBefore) {
  Leader Test;
  BOOST_CHECK(Test.handle(order("chat")) == Decision::Begun);
  BOOST_CHECK(Test.handle(order("chat", "v2", 30'000)) ==
              Decision::Conflicting);
  Test.rollBack("chat");
  const Rollout::RolloutNumber First = Test.rollout("chat").Number;
  // Operators repeat an order for AckTime at most.
  Test.Now.Milliseconds += 4'900;
  BOOST_CHECK(Test.handle(order("chat")) == Decision::Repeated);
  Test.Now.Milliseconds += 200;
  std::optional<RolloutOrders::Result> Decided;
  Test.Orders.handle(order("chat"), [&](const RolloutOrders::Result &Each) {
    Decided = Each;
  });
  BOOST_REQUIRE(Decided.has_value());
  BOOST_CHECK(Decided->Outcome == Decision::Ambiguous);
  BOOST_CHECK(Test.rollout("chat").Number == First);
  Test.Now.Milliseconds += Common::toMilliseconds(Decided->RetryAfter);
  BOOST_CHECK(Test.handle(order("chat")) == Decision::Begun);
  BOOST_TEST(Test.rollout("chat").isRunning());
  Test.rollBack("chat");
  BOOST_CHECK(Test.handle(order("chat", "v2", 30'000)) == Decision::Begun);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
