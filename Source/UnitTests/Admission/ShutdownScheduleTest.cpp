#include "Admission/ShutdownSchedule.h"

#include <boost/test/unit_test.hpp>

namespace UnitTests {

namespace {

using namespace std::chrono_literals;
using Admission::ShutdownSchedule;
using Action = ShutdownSchedule::Action;

struct Fixture {
  Fixture() { this->Clock.advance(1h); }
  bool accepts(Common::Duration TimeLeft) const {
    return this->Schedule.accepts(this->Clock.now(), TimeLeft);
  }
  Action nextAction(bool Idle) {
    return this->Schedule.nextAction(this->Clock.now(), Idle);
  }

  Common::ManualClock Clock;
  ShutdownSchedule Schedule{ShutdownSchedule::Options()};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ShutdownSchedule_, Fixture)

BOOST_AUTO_TEST_CASE(EverythingIsAcceptedBeforeTheStart) {
  BOOST_TEST(accepts(60s));
  BOOST_TEST((Schedule.elapsed(Clock.now()) == 0s));
}

// LOST: a long request that arrived 3.2 s after SIGTERM was cut at the end.
BOOST_AUTO_TEST_CASE(LateRequestsAreAcceptedOnlyIfTheirDeadlineIsBeforeTheEnd) {
  Schedule.start(Clock.now());
  Clock.advance(1s);
  BOOST_TEST(accepts(12s));
  // Callers may send requests for 3 s that are cut at the end.
  Clock.advance(2s);
  BOOST_TEST(!accepts(12s));
  BOOST_TEST(accepts(3s));
  Clock.advance(4s);
  BOOST_TEST(!accepts(3s));
  BOOST_TEST(accepts(500ms));
}

BOOST_AUTO_TEST_CASE(AnIdleDaemonStopsOnceTheBalancerSendsNothingMore) {
  BOOST_TEST((nextAction(true) == Action::Continue));
  Schedule.start(Clock.now());
  Clock.advance(2900ms);
  BOOST_TEST((nextAction(true) == Action::Continue));
  Clock.advance(1s);
  BOOST_TEST((nextAction(true) == Action::Stop));
  BOOST_TEST((nextAction(false) == Action::Continue));
}

// LOST: calls that waited when the limit was reached got no answer, as the
// process stopped at that moment.
BOOST_AUTO_TEST_CASE(RequestsAreEndedAndWrittenBeforeTheStop) {
  Schedule.start(Clock.now());
  Clock.advance(7700ms);
  BOOST_TEST((nextAction(false) == Action::EndRequests));
  BOOST_TEST((nextAction(true) == Action::Stop));
  Clock.advance(200ms);
  BOOST_TEST((nextAction(false) == Action::Stop));
}

// LOST: a process that was held up until the limit stopped without answering.
BOOST_AUTO_TEST_CASE(ALateCheckEndsTheRequestsFirst) {
  Schedule.start(Clock.now());
  Clock.advance(7950ms);
  BOOST_TEST((nextAction(false) == Action::EndRequests));
  BOOST_TEST((nextAction(false) == Action::Stop));
}

BOOST_AUTO_TEST_CASE(NothingIsAcceptedAtTheEndOfAShortLimit) {
  ShutdownSchedule::Options Timing;
  Timing.Limit = 1s;
  ShutdownSchedule Short(Timing);
  Short.start(Clock.now());
  Clock.advance(500ms);
  BOOST_TEST(Short.accepts(Clock.now(), 12s));
  Clock.advance(200ms);
  BOOST_TEST(!Short.accepts(Clock.now(), 12s));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
