#include "Routing/RetryShare.h"

#include "Common/Random.h"

#include <boost/test/unit_test.hpp>

namespace UnitTests {

BOOST_AUTO_TEST_SUITE(RetryShare_)

// Every request fails and would be retried, at daemons with uneven shares of
// the traffic. Guards against retries beyond the common budget.
BOOST_AUTO_TEST_CASE(AllDaemonsTogetherStayWithinTheBudget) {
  using namespace std::chrono_literals;
  const Routing::RetryShareOptions Options{0.2, 56, 10s};
  const Common::ServiceName Service("shop");
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    Common::Random Randomness(Seed);
    std::vector<Routing::RetryShare> Daemons(8, Routing::RetryShare(Options));
    std::deque<Common::TimePoint> Requests;
    std::deque<Common::TimePoint> Retries;
    for (Common::TimePoint Now(0s); Now < Common::TimePoint(40s); Now += 10ms) {
      for (auto &Each : Daemons)
        Each.updateDaemons(Daemons.size(), Now, Now);
      auto &Daemon = Daemons[Randomness.below(Randomness.below(8) + 1)];
      Requests.push_back(Now);
      Daemon.recordRequest(Service, Now);
      while (Daemon.tryConsume(Service, Now))
        Retries.push_back(Now);
      while (Now - Requests.front() > 10s)
        Requests.pop_front();
      while (!Retries.empty() && Now - Retries.front() > 10s)
        Retries.pop_front();
      BOOST_REQUIRE_LE(static_cast<double>(Retries.size()),
                       0.2 * static_cast<double>(Requests.size()) + 56);
    }
  }
}

// Guards against a share that an earlier process may have used already.
BOOST_AUTO_TEST_CASE(ANewDaemonHasNoPartOfTheExtraRetriesForAWindow) {
  using namespace std::chrono_literals;
  Routing::RetryShare Share({0.2, 56, 10s});
  const Common::ServiceName Service("shop");
  const auto Poll = [&Share](Common::TimePoint Now) {
    Share.updateDaemons(8, Now, Now);
  };
  BOOST_CHECK(!Share.tryConsume(Service, Common::TimePoint(0s)));
  for (Common::TimePoint Now(0s); Now < Common::TimePoint(10s); Now += 400ms) {
    Poll(Now);
    BOOST_REQUIRE_EQUAL(Share.sharingDaemons(Now), 0);
    BOOST_REQUIRE(!Share.tryConsume(Service, Now));
  }
  // Its own requests count at once.
  for (int I = 0; I < 10; ++I)
    Share.recordRequest(Service, Common::TimePoint(9s));
  BOOST_CHECK(Share.tryConsume(Service, Common::TimePoint(9s)));
  BOOST_CHECK(!Share.tryConsume(Service, Common::TimePoint(9s)));
  for (Common::TimePoint Now(10s); Now < Common::TimePoint(15s); Now += 400ms)
    Poll(Now);
  BOOST_CHECK_EQUAL(Share.sharingDaemons(Common::TimePoint(15s)), 8);
  BOOST_CHECK(Share.tryConsume(Service, Common::TimePoint(15s)));
}

// Guards against a part that is used when the leader may no longer count the
// daemon: the time runs from when the poll was sent, not from its answer.
BOOST_AUTO_TEST_CASE(ThePartEndsWithoutAnAnsweredPoll) {
  using namespace std::chrono_literals;
  Routing::RetryShare Share({0.2, 56, 10s});
  Common::TimePoint Now(0s);
  for (; Now < Common::TimePoint(20s); Now += 400ms)
    Share.updateDaemons(8, Now, Now);
  Share.updateDaemons(8, Common::TimePoint(20s), Common::TimePoint(21s));
  BOOST_CHECK_EQUAL(Share.sharingDaemons(Common::TimePoint(22500ms)), 8);
  BOOST_CHECK_EQUAL(Share.sharingDaemons(Common::TimePoint(22501ms)), 0);
  // The change of a leader does not cost the part.
  Share.updateDaemons(8, Common::TimePoint(24s), Common::TimePoint(24s));
  BOOST_CHECK_EQUAL(Share.sharingDaemons(Common::TimePoint(24s)), 8);
  // After a longer gap, others may have used it.
  Share.updateDaemons(8, Common::TimePoint(30s), Common::TimePoint(30s));
  BOOST_CHECK_EQUAL(Share.sharingDaemons(Common::TimePoint(30s)), 0);
}

// Guards against parts that grow while daemons that are no longer counted, or
// not yet by a new leader, still use theirs.
BOOST_AUTO_TEST_CASE(ASmallerCountTakesEffectLater) {
  using namespace std::chrono_literals;
  Routing::RetryShare Share({0.2, 56, 10s});
  Common::TimePoint Now(0s);
  const auto PollUntil = [&](std::size_t Count, Common::TimePoint End) {
    for (; Now < End; Now += 400ms)
      Share.updateDaemons(Count, Now, Now);
  };
  PollUntil(8, Common::TimePoint(20s));
  PollUntil(2, Common::TimePoint(32s));
  BOOST_CHECK_EQUAL(Share.sharingDaemons(Now), 8);
  PollUntil(2, Common::TimePoint(40s));
  BOOST_CHECK_EQUAL(Share.sharingDaemons(Now), 2);
  PollUntil(5, Now + 1ms);
  BOOST_CHECK_EQUAL(Share.sharingDaemons(Now), 5);
}

// Guards against two windows' retries in one window at the servers: a retry may
// be written later than it was decided.
BOOST_AUTO_TEST_CASE(RetriesWrittenLateStayInTheWindow) {
  using namespace std::chrono_literals;
  Routing::RetryShare Share({0.2, 0, 10s});
  const Common::ServiceName Service("shop");
  const auto ConsumeAll = [&](Common::TimePoint Now) {
    for (int I = 0; I < 100; ++I)
      Share.recordRequest(Service, Now);
    int Result = 0;
    while (Share.tryConsume(Service, Now))
      ++Result;
    return Result;
  };
  BOOST_CHECK_EQUAL(ConsumeAll(Common::TimePoint(1s)), 16);
  BOOST_CHECK_EQUAL(ConsumeAll(Common::TimePoint(11900ms)), 0);
  BOOST_CHECK_EQUAL(ConsumeAll(Common::TimePoint(12100ms)), 32);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
