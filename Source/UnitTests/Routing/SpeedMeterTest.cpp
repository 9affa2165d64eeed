#include "Routing/SpeedMeter.h"

#include <boost/test/unit_test.hpp>

namespace UnitTests {

namespace {

using namespace Routing;
using std::chrono::milliseconds;

struct Fixture {
  Common::TimePoint Now{std::chrono::seconds(100)};
  SpeedMeter Meter;

  Fixture() { this->Meter.take(this->Now); }
  SpeedMeter::StreamNumber begin(std::uint64_t Tokens = 6000) {
    SpeedMeter::Stream Begun;
    Begun.Server = Common::BackendServerId("a");
    Begun.StartedAt = 1;
    Begun.Service = Common::ServiceName("models");
    Begun.PrefillTokens = Tokens;
    Begun.ExpectedWait = milliseconds(100);
    Begun.TokensPerEvent = 7;
    return this->Meter.begin(Begun, this->Now);
  }
  ServerTiming takeOne() {
    const auto Taken = this->Meter.take(this->Now);
    BOOST_REQUIRE(Taken.size() == 1U);
    return Taken.front();
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(SpeedMeter_)

// The first event also takes the decoding steps of one event, which are no
// prefill.
BOOST_AUTO_TEST_CASE(SeparatesPrefillFromDecoding) {
  Fixture Test;
  const auto Number = Test.begin();
  Test.Now += milliseconds(150);
  Test.Meter.recordEvents(Number, 1, 10, Test.Now);
  Test.Now += milliseconds(80);
  Test.Meter.recordEvents(Number, 2, 10, Test.Now);
  const ServerTiming Sum = Test.takeOne();
  BOOST_TEST(Sum.PrefillTokens == 6000);
  BOOST_TEST(std::abs(Sum.PrefillMilliseconds - 110) < 0.1);
  BOOST_TEST(Sum.DecodeSteps == 14);
  BOOST_TEST(Sum.DecodeRequestSteps == 140);
  BOOST_TEST(std::abs(Sum.DecodeMilliseconds - 80) < 0.1);
}

// A server that became slow must be known before its late answers arrive, and
// each millisecond counts once.
BOOST_AUTO_TEST_CASE(OverdueAnswersCountBeforeTheyArrive) {
  Fixture Test;
  const auto Number = Test.begin();
  Test.Now += milliseconds(250);
  BOOST_TEST(Test.Meter.take(Test.Now).empty());
  Test.Now += milliseconds(100);
  ServerTiming Sum = Test.takeOne();
  BOOST_TEST(Sum.PrefillTokens == 6000);
  BOOST_TEST(std::abs(Sum.PrefillMilliseconds - 350) < 0.1);
  Test.Now += milliseconds(100);
  Test.Meter.recordEvents(Number, 1, 10, Test.Now);
  Sum = Test.takeOne();
  BOOST_TEST(Sum.PrefillTokens == 0);
  BOOST_TEST(std::abs(Sum.PrefillMilliseconds - 100) < 0.1);
}

// A daemon that was frozen must not report that all servers were slow.
BOOST_AUTO_TEST_CASE(OwnSuspensionIsNotMeasured) {
  Fixture Test;
  const auto Number = Test.begin();
  Test.Now += milliseconds(100);
  Test.Meter.recordEvents(Number, 1, 10, Test.Now);
  Test.Now += milliseconds(40);
  Test.Meter.recordEvents(Number, 1, 10, Test.Now);
  Test.Meter.take(Test.Now);
  Test.Now += std::chrono::seconds(4);
  BOOST_TEST(Test.Meter.take(Test.Now).empty());
  Test.Now += milliseconds(1);
  Test.Meter.recordEvents(Number, 1, 10, Test.Now);
  BOOST_TEST(Test.Meter.take(Test.Now).empty());
}

// A report names each service once.
BOOST_AUTO_TEST_CASE(ServiceIsNamedOnce) {
  Fixture Test;
  for (const char *Id : {"a", "b"}) {
    SpeedMeter::Stream Begun;
    Begun.Server = Common::BackendServerId(Id);
    Begun.StartedAt = 1;
    Begun.Service = Common::ServiceName("models");
    const auto Number = Test.Meter.begin(Begun, Test.Now);
    Test.Meter.recordEvents(Number, 1, 1, Test.Now);
    Test.Meter.recordEvents(Number, 1, 1, Test.Now + milliseconds(40));
  }
  const auto Taken = Test.Meter.take(Test.Now + milliseconds(40));
  BOOST_REQUIRE(Taken.size() == 2U);
  BOOST_TEST(Taken[0].Service.str() == "models");
  BOOST_TEST(Taken[1].Service.empty());
}

// Short prompts take about as long as a decoding step, and lost answers end
// without a result.
BOOST_AUTO_TEST_CASE(ShortPromptsAndLostAnswersAreNotMeasured) {
  Fixture Test;
  const auto Short = Test.begin(300);
  const auto Lost = Test.begin();
  Test.Now += milliseconds(60);
  Test.Meter.recordEvents(Short, 1, 10, Test.Now);
  Test.Meter.end(Lost);
  Test.Meter.end(Short);
  BOOST_TEST(Test.Meter.take(Test.Now).empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
