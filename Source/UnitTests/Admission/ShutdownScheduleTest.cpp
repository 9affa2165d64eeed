#include "Admission/ShutdownSchedule.h"

#include <boost/test/unit_test.hpp>

namespace UnitTests {

namespace {

using namespace std::chrono_literals;
using Admission::ShutdownSchedule;

struct Fixture {
  Fixture() { this->Clock.advance(1h); }
  bool accepts(Common::Duration TimeLeft,
               std::optional<Common::Duration> ExpectedDuration = {}) const {
    return this->Schedule.accepts(this->Clock.now(), TimeLeft,
                                  ExpectedDuration);
  }

  Common::ManualClock Clock;
  ShutdownSchedule Schedule{ShutdownSchedule::Options()};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ShutdownSchedule_, Fixture)

BOOST_AUTO_TEST_CASE(EverythingIsAcceptedBeforeTheStart) {
  BOOST_TEST(accepts(60s, 60s));
  BOOST_TEST((Schedule.elapsed(Clock.now()) == 0s));
}

// LOST: a long request that arrived 3.2 s after SIGTERM was cut at the end.
BOOST_AUTO_TEST_CASE(LateRequestsAreAcceptedOnlyIfTheirDeadlineIsBeforeTheEnd) {
  Schedule.start(Clock.now());
  // Callers may send requests for 3 s that are cut at the end.
  Clock.advance(2900ms);
  BOOST_TEST(!accepts(12s));
  BOOST_TEST(!accepts(12s, 100ms));
  BOOST_TEST(accepts(3s));
  Clock.advance(4s);
  BOOST_TEST(!accepts(3s));
  BOOST_TEST(accepts(500ms));
}

BOOST_AUTO_TEST_CASE(EarlyRequestsAreAcceptedIfTheyUsuallyEndInTime) {
  Schedule.start(Clock.now());
  Clock.advance(1s);
  BOOST_TEST(accepts(12s));
  BOOST_TEST(accepts(12s, 4s));
  BOOST_TEST(!accepts(12s, 7s));
}

BOOST_AUTO_TEST_CASE(AnIdleDaemonStopsOnceTheBalancerSendsNothingMore) {
  BOOST_TEST(!Schedule.shouldStop(Clock.now(), true));
  Schedule.start(Clock.now());
  Clock.advance(2900ms);
  BOOST_TEST(!Schedule.shouldStop(Clock.now(), true));
  Clock.advance(1s);
  BOOST_TEST(Schedule.shouldStop(Clock.now(), true));
  BOOST_TEST(!Schedule.shouldStop(Clock.now(), false));
  Clock.advance(4s);
  BOOST_TEST(Schedule.shouldStop(Clock.now(), false));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
