#include "EntryDaemon/PromptCrashReporter.h"

#include <boost/test/unit_test.hpp>

namespace UnitTests {

namespace {

using namespace std::chrono_literals;
using EntryDaemon::PromptCrashReporter;

const Common::BackendServerId ServerId("s");

PromptCrashReporter::Run runWith(Common::CauseSet Parts) {
  Common::CauseSet Causes = Parts;
  Causes.push_back(1000);
  return {std::move(Parts), std::move(Causes), ServerId, 1,
          Common::TimePoint(1s)};
}

Membership::ServerRecord announcement(std::uint64_t StartedAt,
                                      std::uint64_t Sequence) {
  Membership::ServerRecord Result;
  Result.Id = ServerId;
  Result.StartedAt = StartedAt;
  Result.Sequence = Sequence;
  return Result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PromptCrashReporter_)

BOOST_AUTO_TEST_CASE(LostRunsAreReportedForAWhile) {
  PromptCrashReporter Reporter;
  const Membership::ServerRegistry Known;
  Reporter.recordLostRun(runWith({5}), Common::TimePoint(2s));
  Reporter.recordLostRun(runWith({5}), Common::TimePoint(2s));
  Reporter.recordLostRun(runWith({}), Common::TimePoint(2s));
  State::EntryPoll Poll;
  Reporter.fillPoll(Poll, Known, {}, Common::TimePoint(3s));
  BOOST_REQUIRE(Poll.LostRuns.size() == 1u);
  BOOST_TEST(Poll.LostRuns[0].AgeMilliseconds == 1000u);
  State::EntryPoll Later;
  Reporter.fillPoll(Later, Known, {}, Common::TimePoint(30s));
  BOOST_TEST(Later.LostRuns.empty());
}

BOOST_AUTO_TEST_CASE(OnlySuspectsAreAcquitted) {
  PromptCrashReporter Reporter;
  const Membership::ServerRegistry Known;
  Reporter.recordSurvival({5, 6, 1000}, Common::TimePoint(1s));
  Reporter.setSuspects({6, 7});
  State::EntryPoll Poll;
  Reporter.fillPoll(Poll, Known, {}, Common::TimePoint(2s));
  BOOST_REQUIRE(Poll.Survivals.size() == 1u);
  BOOST_TEST(Poll.Survivals[0].Cause == 6u);
  BOOST_TEST(Poll.Survivals[0].AgeMilliseconds == 1000u);
}

// A crash between two events of a stream that ends with its connection looked
// like the end of a complete answer and acquitted the request.
BOOST_AUTO_TEST_CASE(AnEndWithTheConnectionIsJudgedByTheServersAnnouncements) {
  Membership::ServerRegistry Known;
  Known.update(announcement(1, 1), Common::TimePoint(1s));
  PromptCrashReporter Reporter;
  Reporter.setSuspects({5});
  Reporter.recordUncertainEnd(runWith({5}), Common::TimePoint(2s));
  State::EntryPoll Early;
  Reporter.fillPoll(Early, Known, {}, Common::TimePoint(3s));
  BOOST_TEST(Early.LostRuns.empty());
  BOOST_TEST(Early.Survivals.empty());
  // The server is not heard of again.
  State::EntryPoll Silent;
  Reporter.fillPoll(Silent, Known, {}, Common::TimePoint(6s));
  BOOST_TEST(Silent.LostRuns.size() == 1u);
  BOOST_TEST(Silent.Survivals.empty());

  PromptCrashReporter Other;
  Other.setSuspects({5});
  Other.recordUncertainEnd(runWith({5}), Common::TimePoint(2s));
  // It may have been sent before the end.
  Known.update(announcement(1, 2), Common::TimePoint(4s));
  State::EntryPoll Uncertain;
  Other.fillPoll(Uncertain, Known, {}, Common::TimePoint(6s));
  BOOST_TEST(Uncertain.LostRuns.empty());
  BOOST_TEST(Uncertain.Survivals.empty());
  PromptCrashReporter Third = Other;
  Known.update(announcement(1, 3), Common::TimePoint(7600ms));
  State::EntryPoll Announced;
  Other.fillPoll(Announced, Known, {}, Common::TimePoint(8s));
  BOOST_TEST(Announced.LostRuns.empty());
  BOOST_TEST(Announced.Survivals.size() == 1u);

  // Bytes of another answer, whose request was sent before the end.
  Routing::LivenessEvidence Evidence;
  Evidence.recordBytes({runWith({5}).Server, {runWith({5}).ServerStartedAt}},
                       Common::TimePoint(1900ms), Common::TimePoint(2400ms));
  State::EntryPoll Answered;
  Third.fillPoll(Answered, Membership::ServerRegistry(Known), Evidence,
                 Common::TimePoint(2500ms));
  BOOST_TEST(Answered.LostRuns.empty());
  BOOST_TEST(Answered.Survivals.size() == 1u);

  PromptCrashReporter Restarted;
  Restarted.recordUncertainEnd(runWith({5}), Common::TimePoint(4s));
  Known.update(announcement(2, 1), Common::TimePoint(5s));
  State::EntryPoll NewProcess;
  Restarted.fillPoll(NewProcess, Known, {}, Common::TimePoint(5s));
  BOOST_TEST(NewProcess.LostRuns.size() == 1u);
}

BOOST_AUTO_TEST_CASE(EndsAtTheMomentOfACrashAreLostRuns) {
  PromptCrashReporter Reporter;
  const Membership::ServerRegistry Known;
  Reporter.recordUncertainEnd(runWith({5}), Common::TimePoint(2s));
  Reporter.recordLostRun(runWith({6}), Common::TimePoint(2010ms));
  State::EntryPoll Poll;
  Reporter.fillPoll(Poll, Known, {}, Common::TimePoint(2100ms));
  BOOST_TEST(Poll.LostRuns.size() == 2u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
