#include "Rollout/Observer.h"

#include "Network/Codec.h"

#include <boost/test/unit_test.hpp>

namespace UnitTests {

namespace {

using namespace Rollout;
using namespace std::chrono_literals;

const Common::ServiceName Shop("shop");
const Common::SoftwareVersion Old("v1");
const Common::SoftwareVersion New("v2");

struct Fixture {
  Common::TimePoint Now{std::chrono::seconds(100)};
  Observer Observed;

  Fixture() { this->Observed.setRollout(Shop, {1}, New); }

  ObservedNumber send(const char *Server, const Common::SoftwareVersion &Of,
                      const char *Route = "chat") {
    const ObservedNumber Result = this->Observed.recordStart(
        Shop, Route, Common::BackendServerId(Server), Of);
    this->Observed.recordSent(Result, this->Now);
    return Result;
  }
  void run(const char *Server, const Common::SoftwareVersion &Of,
           Observer::End How, Common::Duration Time = 20ms) {
    const ObservedNumber Number = this->send(Server, Of);
    this->Now += Time;
    this->Observed.recordEnd(Number, How, this->Now);
  }
  Observation report(const char *Server) {
    for (const Observation &Each : this->Observed.takeReport(this->Now))
      if (Each.Server.str() == Server)
        return Each;
    return {};
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(RolloutObserver_)

// Crashes and broken connections occur at all versions.
BOOST_AUTO_TEST_CASE(OnlyAnswersOfTheServerCountAsFailed) {
  Fixture Test;
  Test.run("c", New, Observer::End::Answered);
  Test.run("c", New, Observer::End::Failed);
  Test.run("c", New, Observer::End::Lost);
  Test.run("c", New, Observer::End::Abandoned);
  const Observation Seen = Test.report("c");
  BOOST_TEST(Seen.Sent == 4u);
  BOOST_TEST(Seen.Answered == 1u);
  BOOST_TEST(Seen.Failed == 1u);
  BOOST_TEST(Seen.FirstOutput.total() == 1u);
}

// Guards against a version whose slow answers are noticed only after they have
// come, or are counted twice.
BOOST_AUTO_TEST_CASE(LongWaitsCountOnceFromTheirPresentAge) {
  Fixture Test;
  for (int I = 0; I < 20; ++I)
    Test.run("a", Old, Observer::End::Answered, 50ms);
  const ObservedNumber Waiting = Test.send("c", New);
  Test.Now += 30ms;
  BOOST_TEST(Test.report("c").FirstOutput.total() == 0u);
  Test.Now += 500ms;
  const auto First = Test.report("c").FirstOutput.Counts;
  BOOST_TEST(Test.report("c").FirstOutput.total() == 1u);
  // The leader adds up increases, so it must not move to a later bucket.
  Test.Now += 3s;
  BOOST_TEST(Test.report("c").FirstOutput.Counts == First);
  Test.Observed.recordOutput(Waiting, Test.Now);
  BOOST_TEST(Test.report("c").FirstOutput.total() == 1u);
  Test.Now += 2s;
  BOOST_TEST(Test.report("c").OutputGap.total() == 1u);
  Test.Observed.recordEnd(Waiting, Observer::End::Abandoned, Test.Now);
  BOOST_TEST(Test.report("c").OutputGap.total() == 1u);
  BOOST_TEST(Test.report("c").Running == 0u);
}

// The caller was too slow, not the server.
BOOST_AUTO_TEST_CASE(GapsWhileReadingWasPausedDoNotCount) {
  Fixture Test;
  const ObservedNumber Stream = Test.send("c", New);
  Test.Observed.recordOutput(Stream, Test.Now);
  Test.Observed.recordPause(Stream);
  Test.Now += 3s;
  BOOST_TEST(Test.report("c").OutputGap.total() == 0u);
  Test.Observed.recordOutput(Stream, Test.Now);
  BOOST_TEST(Test.report("c").OutputGap.total() == 0u);
}

// Guards against old servers that are stopped while they still run requests
// which were sent before the rollout.
BOOST_AUTO_TEST_CASE(RequestsOfBeforeTheRolloutRunElsewhereButAreNotObserved) {
  Fixture Test;
  Test.Observed.setRollout(Shop, {1}, Common::SoftwareVersion());
  const ObservedNumber Before = Test.send("a", Old);
  Test.Observed.setRollout(Shop, {2}, New);
  BOOST_TEST(Test.Observed.runningElsewhere(Shop, New) == 1u);
  BOOST_TEST(Test.Observed.runningElsewhere(Shop, Old) == 0u);
  Test.Observed.recordEnd(Before, Observer::End::Failed, Test.Now);
  BOOST_TEST(Test.Observed.runningElsewhere(Shop, New) == 0u);
  BOOST_TEST(Test.Observed.takeReport(Test.Now).empty());
}

BOOST_AUTO_TEST_CASE(ReportsAreBoundedAndCoverEverythingInTurn) {
  Fixture Test;
  constexpr std::size_t Servers = 100;
  for (std::size_t I = 0; I < Servers; ++I)
    Test.run(("c" + std::to_string(I)).c_str(), New, Observer::End::Answered);
  std::map<std::string, int> Seen;
  for (int I = 0; I < 5; ++I) {
    const auto Report = Test.Observed.takeReport(Test.Now);
    BOOST_TEST(Report.size() <= Observer::MaxReported);
    // A poll every 400 ms, and 30 KB a second for all control traffic.
    BOOST_TEST(Network::encode(Report).size() <= 6000u);
    for (const Observation &Each : Report)
      ++Seen[Each.Server.str()];
  }
  BOOST_TEST(Seen.size() == Servers);
  // What has changed comes first.
  Test.run("c50", New, Observer::End::Failed);
  BOOST_TEST(Test.Observed.takeReport(Test.Now).front().Server.str() == "c50");
}

BOOST_AUTO_TEST_CASE(HistogramsSurviveTheirEncoding) {
  DurationHistogram Sent;
  for (int I = 0; I < 100'000; ++I)
    Sent.add(std::chrono::milliseconds(I));
  const auto Received =
      Network::decode<DurationHistogram>(Network::encode(Sent));
  BOOST_REQUIRE(Received.ok());
  BOOST_TEST(Received->Counts == Sent.Counts);
  // A malformed one is read without harm.
  for (const char *Bytes : {"\xff\xff\xff\xff\xff\xff\xff\xff", "\x80"}) {
    DurationHistogram Read;
    Read.decode(Bytes);
    BOOST_TEST(Read.Counts.size() == DurationHistogram::Buckets);
  }
  DurationHistogram Read;
  Read.decode(std::string(100, '\1'));
  BOOST_TEST(Read.total() == DurationHistogram::Buckets);
}

BOOST_AUTO_TEST_CASE(StopsByItselfOnlyForFailuresOfSeveralServers) {
  Fixture Test;
  for (int I = 0; I < 100; ++I)
    Test.run("a", Old, Observer::End::Answered);
  for (int I = 0; I < 30; ++I)
    Test.run("c", New, Observer::End::Failed);
  // It may be this server's fault.
  BOOST_TEST(!Test.Observed.isOverwhelming(Shop));
  for (int I = 0; I < 4; ++I) {
    Test.run("d", New, Observer::End::Failed);
    Test.run("d", New, Observer::End::Answered);
  }
  BOOST_TEST(Test.Observed.isOverwhelming(Shop));
  // A new rollout begins without evidence.
  Test.Observed.setRollout(Shop, {2}, New);
  BOOST_TEST(!Test.Observed.isOverwhelming(Shop));
}

// Guards against a stop for failures that the other versions show as well.
BOOST_AUTO_TEST_CASE(DoesNotStopForFailuresOfAllVersions) {
  Fixture Test;
  for (int I = 0; I < 100; ++I) {
    const auto How =
        I % 3 == 0 ? Observer::End::Failed : Observer::End::Answered;
    Test.run("a", Old, How);
    Test.run(I % 2 == 0 ? "c" : "d", New, How);
  }
  BOOST_TEST(!Test.Observed.isOverwhelming(Shop));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
