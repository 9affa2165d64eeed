#include "Common/RecentMaximum.h"

#include <boost/test/unit_test.hpp>

namespace UnitTests {

using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(RecentMaximum_)

BOOST_AUTO_TEST_CASE(SamplesCountForOneToTwoPeriods) {
  Common::ManualClock Clock;
  Clock.advance(1h);
  Common::RecentMaximum<int> Recent(10s);
  BOOST_TEST(!Recent.maximum(Clock.now()).has_value());
  Recent.record(7, Clock.now());
  Recent.record(3, Clock.now());
  BOOST_TEST(*Recent.maximum(Clock.now()) == 7);
  Clock.advance(10s);
  Recent.record(5, Clock.now());
  BOOST_TEST(*Recent.maximum(Clock.now()) == 7);
  Clock.advance(10s);
  BOOST_TEST(*Recent.maximum(Clock.now()) == 5);
  Clock.advance(20s);
  BOOST_TEST(!Recent.maximum(Clock.now()).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
