#include "Routing/LivenessEvidence.h"

#include <boost/test/unit_test.hpp>

namespace UnitTests {

namespace {

using namespace std::chrono_literals;

const Routing::ServerIncarnation Process{Common::BackendServerId("i-1"), {7}};

Common::TimePoint at(Common::Duration Time) { return Common::TimePoint(Time); }

} // namespace

// Guards against a crash being taken for disproved by what was sent before it.
BOOST_AUTO_TEST_SUITE(LivenessEvidence_)

BOOST_AUTO_TEST_CASE(BytesLongAfterTheTimeProveThatTheProcessRan) {
  Routing::LivenessEvidence Evidence;
  BOOST_TEST(!Evidence.hasSurvived(Process, at(2s)));
  Evidence.recordBytes(Process, at(1s), at(2100ms));
  BOOST_TEST(!Evidence.hasSurvived(Process, at(2s)));
  Evidence.recordBytes(Process, at(1s), at(2400ms));
  BOOST_TEST(Evidence.hasSurvived(Process, at(2s)));
  BOOST_TEST(!Evidence.hasSurvived({Process.BackendServer, {8}}, at(2s)));
}

BOOST_AUTO_TEST_CASE(AnswersOfTheNextProcessProveNothing) {
  Routing::LivenessEvidence Evidence;
  Evidence.recordBytes(Process, at(3s), at(3500ms));
  BOOST_TEST(!Evidence.hasSurvived(Process, at(2s)));
  BOOST_TEST(Evidence.hasSurvived(Process, at(2900ms)));
}

BOOST_AUTO_TEST_CASE(AnOldAnswerIsNotCrowdedOutByNewOnes) {
  Routing::LivenessEvidence Evidence;
  for (int I = 0; I < 100; ++I) {
    Evidence.recordBytes(Process, at(5s + I * 10ms), at(5s + I * 11ms));
    Evidence.recordBytes(Process, at(1s), at(5s + I * 11ms + 1ms));
  }
  BOOST_TEST(Evidence.hasSurvived(Process, at(2s)));
  Evidence.removeExpired(at(60s));
  BOOST_TEST(!Evidence.hasSurvived(Process, at(2s)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
