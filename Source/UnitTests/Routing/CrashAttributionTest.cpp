#include "Routing/CrashAttribution.h"

#include "Routing/AnswerProgress.h"

#include <boost/test/unit_test.hpp>

namespace UnitTests {

namespace {

using namespace std::chrono_literals;
using Routing::AnswerProgress;
using Routing::CrashAttribution;

Routing::ServerIncarnation server(std::uint64_t Start) {
  return {Common::BackendServerId("s"), {Start}};
}

/// The parts that are found to crash servers 10 s after the start.
std::vector<Common::CauseSet>
found(const CrashAttribution &Evidence,
      const std::vector<Common::CauseSet> &Refused = {}) {
  std::vector<Common::CauseSet> Result;
  for (const auto &Each : Evidence.findCauses(Refused, Common::TimePoint(10s)))
    Result.push_back(Each.Parts);
  return Result;
}

using Sets = std::vector<Common::CauseSet>;

} // namespace

BOOST_AUTO_TEST_SUITE(CrashAttribution_)

BOOST_AUTO_TEST_CASE(PartsThatWereAlwaysTogetherAreOneCause) {
  CrashAttribution Evidence;
  for (std::uint64_t I = 1; I <= 3; ++I)
    Evidence.recordLostRun(server(I), {1, 5, 100 + I},
                           Common::TimePoint(I * 1s));
  BOOST_TEST((found(Evidence) == Sets{{1, 5}}));
  // An answer that began after the last crash and went on acquits its part.
  Evidence.recordSurvival(1, Common::TimePoint(3500ms));
  BOOST_TEST((found(Evidence) == Sets{{5}}));
  BOOST_TEST(found(Evidence, {{5}}).empty());
}

BOOST_AUTO_TEST_CASE(ARepeatedReportDoesNotUndoAnAcquittal) {
  CrashAttribution Evidence;
  for (int Repeat = 0; Repeat < 2; ++Repeat) {
    for (std::uint64_t I = 1; I <= 3; ++I)
      Evidence.recordLostRun(server(I), {1}, Common::TimePoint(I * 1s));
    Evidence.recordSurvival(1, Common::TimePoint(4s));
  }
  // Neither does the late report of another daemon.
  Evidence.recordLostRun(server(3), {1, 2}, Common::TimePoint(3s));
  BOOST_TEST(found(Evidence).empty());
}

BOOST_AUTO_TEST_CASE(AnAnswerThatBeganBeforeTheCrashAcquitsNothing) {
  CrashAttribution Evidence;
  for (std::uint64_t I = 1; I <= 3; ++I)
    Evidence.recordLostRun(server(I), {1}, Common::TimePoint(I * 1s));
  Evidence.recordSurvival(1, Common::TimePoint(900ms));
  BOOST_TEST((found(Evidence) == Sets{{1}}));
}

BOOST_AUTO_TEST_CASE(CrashesInOneMomentCountOnce) {
  CrashAttribution Evidence;
  for (std::uint64_t I = 1; I <= 20; ++I)
    Evidence.recordLostRun(server(I), {1}, Common::TimePoint(1s + I * 1ms));
  BOOST_TEST(found(Evidence).empty());
  // So do several runs that one crash ended.
  for (std::uint64_t I = 1; I <= 20; ++I)
    Evidence.recordLostRun(server(1), {1, 50 + I}, Common::TimePoint(I * 1s));
  BOOST_TEST(found(Evidence).empty());
}

BOOST_AUTO_TEST_CASE(AServerThatIsHeardOfDidNotCrash) {
  CrashAttribution Evidence;
  const auto HeardAt = [](const Routing::ServerIncarnation &Server)
      -> std::optional<Common::TimePoint> {
    if (Server.Incarnation.Value == 2)
      return Common::TimePoint(5s);
    return Common::TimePoint(0s);
  };
  for (int Repeat = 0; Repeat < 2; ++Repeat) {
    for (std::uint64_t I = 1; I <= 3; ++I)
      Evidence.recordLostRun(server(I), {1}, Common::TimePoint(I * 1s));
    BOOST_TEST(Evidence.discardDisproved(HeardAt) == (Repeat == 0));
  }
  BOOST_TEST(found(Evidence).empty());
  BOOST_TEST(!Evidence.supports({1}));
  Evidence.recordLostRun(server(4), {1}, Common::TimePoint(4s));
  BOOST_TEST((found(Evidence) == Sets{{1}}));
}

BOOST_AUTO_TEST_CASE(RecentCrashesAreNoVerdictYet) {
  CrashAttribution Evidence;
  for (std::uint64_t I = 1; I <= 3; ++I)
    Evidence.recordLostRun(server(I), {1}, Common::TimePoint(9s + I * 200ms));
  BOOST_TEST(found(Evidence).empty());
  BOOST_TEST(Evidence.findCauses({}, Common::TimePoint(11s)).size() == 1u);
}

BOOST_AUTO_TEST_CASE(TwoCausesAreFoundSideBySide) {
  CrashAttribution Evidence;
  for (std::uint64_t I = 1; I <= 3; ++I) {
    Evidence.recordLostRun(server(I), {1, 100 + I}, Common::TimePoint(I * 1s));
    Evidence.recordLostRun(server(10 + I), {2, 200 + I},
                           Common::TimePoint(I * 1s + 500ms));
  }
  BOOST_TEST((found(Evidence) == Sets{{1}, {2}}));
  BOOST_TEST((found(Evidence, {{1}}) == Sets{{2}}));
}

// A daemon that is stopped between two reads of an answer sees the bytes and
// the server's crash afterwards. The time between them is none of writing.
BOOST_AUTO_TEST_CASE(AGapBetweenTwoReadsIsNoSurvival) {
  AnswerProgress Progress;
  Progress.recordBytes(Common::TimePoint(1s));
  Progress.recordBytes(Common::TimePoint(5s));
  BOOST_TEST(!Progress.hasSurvived());
  for (int I = 1; I <= 12; ++I)
    Progress.recordBytes(Common::TimePoint(5s + I * 40ms));
  BOOST_TEST(Progress.hasSurvived());
  BOOST_TEST((*Progress.beganAt() == Common::TimePoint(1s)));
  AnswerProgress Short;
  Short.recordBytes(Common::TimePoint(1s));
  Short.recordFramedEnd(Common::TimePoint(1s));
  BOOST_TEST(Short.hasSurvived());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
