#include "Routing/Dispatcher.h"

#include <boost/test/unit_test.hpp>

namespace UnitTests {

namespace {

using namespace std::chrono_literals;
using namespace Routing;
using Common::RefusalReason;

const Common::TimePoint Start{std::chrono::hours(1)};
const Common::PriorityName Urgent("urgent");
const Common::PriorityName Background("later");

/// A dispatcher for one service.
struct Fixture {
  Dispatcher Subject;
  std::uint64_t LastId = 0;

  explicit Fixture(std::size_t Servers, std::uint64_t Slots = 1,
                   DispatchOptions Options = {})
      : Subject(Options) {
    Subject.configure({{Urgent, {0, 0.2, 10}}, {Background, {2, 0.1, 1}}});
    for (std::size_t I = 0; I < Servers; ++I)
      this->add("s" + std::to_string(I), Slots);
  }
  void add(const std::string &Name, std::uint64_t Slots, bool Local = true) {
    ServerStatus Status;
    Status.Id = Common::BackendServerId(Name);
    Status.Incarnation = Common::Incarnation{1};
    Status.Sequence = 1;
    Status.Capacity = {Slots, 1000};
    Status.Local = Local;
    Subject.pool().update(Status);
  }
  DispatchRequest request(const Common::PriorityName &Priority,
                          Fingerprint Content = 0) {
    DispatchRequest Work;
    Work.Id = Common::RequestId{++this->LastId};
    Work.Caller = Common::CallerId("yard");
    Work.Priority = Priority;
    Work.Target =
        Priority == Urgent ? Common::Duration(800ms) : Common::Duration(30s);
    Work.Fingerprint = Content ? Content : 1000 + this->LastId;
    Work.PromptTokens = 100;
    Work.ExpectedTokens = 100;
    Work.Resumable = true;
    return Work;
  }
  std::vector<Action> poll(Common::TimePoint Now) {
    return Subject.poll(1, 7, Now);
  }
};

template <typename T>
std::vector<T> actionsOfType(const std::vector<Action> &Actions) {
  std::vector<T> Result;
  for (const Action &Each : Actions)
    if (const auto *Found = std::get_if<T>(&Each))
      Result.push_back(*Found);
  return Result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(DispatcherTest)

BOOST_AUTO_TEST_CASE(runningRequestsStayWithinWindows) {
  Fixture Test(2, 3);
  for (int I = 0; I < 20; ++I)
    BOOST_REQUIRE(!Test.Subject.submit(Test.request(Background), Start));
  BOOST_TEST(actionsOfType<StartAction>(Test.poll(Start)).size() == 6u);
  BOOST_TEST(Test.poll(Start).empty());
  Test.Subject.onFinished(Common::RequestId{1}, Start + 1s);
  BOOST_TEST(actionsOfType<StartAction>(Test.poll(Start + 1s)).size() == 1u);
}

BOOST_AUTO_TEST_CASE(urgentRequestRunsFirst) {
  Fixture Test(1);
  for (int I = 0; I < 3; ++I)
    Test.Subject.submit(Test.request(Background), Start);
  const DispatchRequest UrgentRequest = Test.request(Urgent);
  Test.Subject.submit(UrgentRequest, Start);
  const auto Started = actionsOfType<StartAction>(Test.poll(Start));
  BOOST_REQUIRE(Started.size() == 1u);
  // Both priorities are below their floors; the one with the higher worth has
  // the larger weighted deficit.
  BOOST_TEST(Started[0].Id.Value == UrgentRequest.Id.Value);
}

BOOST_AUTO_TEST_CASE(preemptedStreamIsResumed) {
  Fixture Test(1);
  const DispatchRequest RunningRequest = Test.request(Background);
  Test.Subject.submit(RunningRequest, Start);
  Test.poll(Start);
  Test.Subject.onProgress(RunningRequest.Id, 5, Start);
  const DispatchRequest UrgentRequest = Test.request(Urgent);
  Test.Subject.submit(UrgentRequest, Start);
  BOOST_TEST(Test.poll(Start + 100ms).empty());
  const auto Actions = Test.poll(Start + 300ms);
  BOOST_REQUIRE(actionsOfType<PreemptAction>(Actions).size() == 1u);
  BOOST_TEST(actionsOfType<PreemptAction>(Actions)[0].Id.Value ==
             RunningRequest.Id.Value);
  BOOST_REQUIRE(actionsOfType<StartAction>(Actions).size() == 1u);
  BOOST_TEST(actionsOfType<StartAction>(Actions)[0].Id.Value ==
             UrgentRequest.Id.Value);
  Test.Subject.onFinished(UrgentRequest.Id, Start + 400ms);
  const auto Again = actionsOfType<StartAction>(Test.poll(Start + 400ms));
  BOOST_REQUIRE(Again.size() == 1u);
  BOOST_TEST(Again[0].Id.Value == RunningRequest.Id.Value);
}

BOOST_AUTO_TEST_CASE(requestThatCannotMeetItsTargetIsRefused) {
  Fixture Test(1);
  Common::TimePoint Now = Start;
  // Each request of 200 cost units takes one second.
  for (int I = 0; I < 3; ++I) {
    const DispatchRequest Work = Test.request(Urgent);
    Test.Subject.submit(Work, Now);
    Test.poll(Now);
    Now += 1s;
    Test.Subject.onFinished(Work.Id, Now);
  }
  BOOST_TEST(!Test.Subject.submit(Test.request(Urgent), Now));
  Test.poll(Now);
  BOOST_TEST(!Test.Subject.submit(Test.request(Urgent), Now));
  const auto Refused = Test.Subject.submit(Test.request(Urgent), Now);
  BOOST_REQUIRE(Refused.has_value());
  BOOST_TEST((*Refused == RefusalReason::TargetUnreachable));
}

BOOST_AUTO_TEST_CASE(retryGoesToAnotherServer) {
  Fixture Test(2);
  const DispatchRequest Work = Test.request(Urgent);
  Test.Subject.submit(Work, Start);
  const auto First = actionsOfType<StartAction>(Test.poll(Start));
  Test.Subject.onFailed(Work.Id, Failure::ConnectFailed, Start);
  const auto Second = actionsOfType<StartAction>(Test.poll(Start));
  BOOST_REQUIRE(Second.size() == 1u);
  BOOST_TEST(Second[0].Server.str() != First[0].Server.str());
  BOOST_TEST(Test.Subject.takeRetryReasons().size() == 1u);
}

BOOST_AUTO_TEST_CASE(retriesStayWithinBudget) {
  Fixture Test(50, 100);
  constexpr std::size_t Requests = 500;
  std::size_t Sent = 0;
  for (std::size_t I = 0; I < Requests; ++I) {
    const Common::TimePoint Now = Start + I * 10ms;
    Test.Subject.submit(Test.request(Background), Now);
    for (int Round = 0; Round < 6; ++Round)
      for (const StartAction &Each :
           actionsOfType<StartAction>(Test.poll(Now))) {
        ++Sent;
        Test.Subject.onFailed(Each.Id, Failure::ServerError, Now);
      }
  }
  BOOST_TEST(Sent >= Requests);
  BOOST_TEST(Sent <= Requests + Requests / 10 + 10);
}

BOOST_AUTO_TEST_CASE(crashingRequestCostsAtMostTwoServers) {
  constexpr Fingerprint CrashingContent = 66;
  Fixture Test(6, 4);
  std::set<std::string> FailedServers;
  std::size_t Refused = 0;
  Common::TimePoint Now = Start;
  for (int I = 0; I < 40; ++I) {
    Now += 50ms;
    if (Test.Subject.submit(Test.request(Background, CrashingContent), Now))
      ++Refused;
    Test.Subject.submit(Test.request(Background), Now);
    for (const Action &Each : Test.poll(Now)) {
      const auto *Action = std::get_if<StartAction>(&Each);
      if (!Action)
        continue;
      const auto Contents = Test.Subject.runningAt(Action->Server);
      if (std::find(Contents.begin(), Contents.end(), CrashingContent) ==
          Contents.end())
        continue;
      FailedServers.insert(Action->Server.str());
      Test.Subject.onServerFailed({Action->Server, Common::Incarnation{1}},
                                  Contents, Now);
      Test.Subject.onFailed(Action->Id, Failure::ConnectionLost, Now);
    }
  }
  BOOST_TEST(FailedServers.size() <= 2u);
  BOOST_TEST(Refused > 0u);
  BOOST_TEST(Test.Subject.quarantine().isRefused(CrashingContent, Now));
  BOOST_TEST(
      !Test.Subject.quarantine().isRefused(CrashingContent, Now + 11min));
}

// Requests that share one part of their prompts, and are otherwise different,
// end one server after another.
BOOST_AUTO_TEST_CASE(crashingPromptPartStopsReachingServers) {
  constexpr Common::CauseHash CommonPart = 1;
  constexpr Common::CauseHash CrashingPart = 66;
  constexpr Common::Duration AnswerTime = 700ms;
  Fixture Test(40, 4);
  std::map<std::uint64_t, std::pair<DispatchRequest, Common::TimePoint>> Runs;
  std::set<std::string> FailedServers;
  std::size_t SoundRefused = 0;
  std::size_t LastFailure = 0;
  const auto Refused = [&](const DispatchRequest &Work, Common::TimePoint Now) {
    return Test.Subject.submit(Work, Now).has_value();
  };
  constexpr std::size_t Steps = 200;
  std::map<std::uint64_t, DispatchRequest> Submitted;
  for (std::size_t Step = 0; Step < Steps; ++Step) {
    const Common::TimePoint Now = Start + Step * 50ms;
    DispatchRequest Sound = Test.request(Background);
    Sound.Parts = {CommonPart, 100 + Step % 5};
    SoundRefused += Refused(Sound, Now) ? 1 : 0;
    Submitted[Sound.Id.Value] = Sound;
    if (Step % 6 == 0) {
      DispatchRequest Crashing = Test.request(Background);
      Crashing.Parts = {CommonPart, CrashingPart};
      Refused(Crashing, Now);
      Submitted[Crashing.Id.Value] = Crashing;
    }
    std::vector<std::uint64_t> Ended;
    for (const StartAction &Each : actionsOfType<StartAction>(Test.poll(Now))) {
      const DispatchRequest &Work = Submitted.at(Each.Id.Value);
      Test.Subject.onFirstToken(Each.Id, Now);
      if (!Common::includesCauses(Work.Parts, {CrashingPart})) {
        Runs[Each.Id.Value] = {Work, Now};
        continue;
      }
      FailedServers.insert(Each.Server.str());
      LastFailure = Step;
      const Routing::ServerIncarnation Server{Each.Server,
                                              Common::Incarnation{1}};
      Test.Subject.promptQuarantine().recordLostRuns(
          Server, Test.Subject.unprovenRunsAt(Each.Server), Now);
      Test.Subject.onServerFailed(Server, Test.Subject.runningAt(Each.Server),
                                  Now);
      Test.Subject.remove(Each.Id);
    }
    for (const auto &[Id, Run] : Runs) {
      Test.Subject.onProgress(Common::RequestId{Id}, Step, Now);
      if (Now - Run.second < AnswerTime)
        continue;
      Test.Subject.onFinished(Common::RequestId{Id}, Now);
      Ended.push_back(Id);
    }
    for (const std::uint64_t Id : Ended)
      Runs.erase(Id);
    Test.Subject.promptQuarantine().update(
        [](const auto &) { return std::nullopt; }, 10min, Now);
  }
  BOOST_TEST(FailedServers.size() >= 3u);
  BOOST_TEST(FailedServers.size() <= 8u);
  BOOST_TEST(LastFailure < Steps / 3);
  BOOST_TEST(SoundRefused <= Steps / 10);
}

BOOST_AUTO_TEST_CASE(suspectsRunOnSeparateServers) {
  Fixture Test(3, 4);
  Test.Subject.onServerFailed({Common::BackendServerId("gone"), {}}, {1, 2, 3},
                              Start);
  for (const Fingerprint Each : {1, 2, 3})
    Test.Subject.submit(Test.request(Background, Each), Start);
  std::set<std::string> Servers;
  for (const StartAction &Each : actionsOfType<StartAction>(Test.poll(Start)))
    Servers.insert(Each.Server.str());
  BOOST_TEST(Servers.size() == 3u);
  // A fourth suspect waits, while other requests run.
  Test.Subject.onServerFailed({Common::BackendServerId("gone"), {}}, {4},
                              Start);
  Test.Subject.submit(Test.request(Background, 4), Start);
  Test.Subject.submit(Test.request(Background, 5), Start);
  BOOST_TEST(actionsOfType<StartAction>(Test.poll(Start)).size() == 1u);
  // An answered request is no longer a suspect.
  Test.Subject.onFinished(Common::RequestId{1}, Start);
  BOOST_TEST(!Test.Subject.quarantine().isSuspect(1, Start));
}

BOOST_AUTO_TEST_CASE(conversationStaysOnServerWithItsPrefix) {
  Fixture Test(8, 8);
  DispatchRequest Turn = Test.request(Background);
  Turn.AffinityKey = 77;
  Turn.Blocks = {1, 2, 3, 4};
  Test.Subject.submit(Turn, Start);
  const auto First = actionsOfType<StartAction>(Test.poll(Start));
  Test.Subject.onFinished(Turn.Id, Start + 1s);
  DispatchRequest Next = Test.request(Background);
  Next.AffinityKey = 77;
  Next.Blocks = {1, 2, 3, 4, 5, 6};
  Test.Subject.submit(Next, Start + 1s);
  const auto Second = actionsOfType<StartAction>(Test.poll(Start + 1s));
  BOOST_TEST(First[0].Server.str() == Second[0].Server.str());
  // Another daemon chooses the same server without any exchange.
  Fixture Other(8, 8);
  DispatchRequest Request = Other.request(Background);
  Request.AffinityKey = 77;
  Other.Subject.submit(Request, Start);
  const auto Elsewhere =
      actionsOfType<StartAction>(Other.Subject.poll(1, 99, Start));
  BOOST_TEST(Elsewhere[0].Server.str() == First[0].Server.str());
}

BOOST_AUTO_TEST_CASE(remoteDataCentreIsUsedOnlyWhenLocalIsFull) {
  Fixture Test(1, 1);
  Test.add("far", 4, false);
  for (int I = 0; I < 2; ++I)
    Test.Subject.submit(Test.request(Background), Start);
  const auto Started = actionsOfType<StartAction>(Test.poll(Start));
  BOOST_REQUIRE(Started.size() == 2u);
  BOOST_TEST(Started[0].Server.str() == "s0");
  BOOST_TEST(Started[1].Server.str() == "far");
}

BOOST_AUTO_TEST_CASE(gapInCacheEventsMakesIndexUncertain) {
  PrefixIndex Index(100);
  Index.applyEvents({{1, true, 11}, {2, true, 12}});
  BOOST_TEST(Index.countMatched({11, 12, 13}) == 2u);
  Index.applyEvents({{5, true, 13}});
  BOOST_TEST(Index.isUncertain());
  BOOST_TEST(Index.countMatched({11, 12}) == 0u);
  std::vector<Membership::CacheEvent> Contiguous;
  for (std::uint64_t I = 6; I < 80; ++I)
    Contiguous.push_back({I, true, 100 + I});
  Index.applyEvents(Contiguous);
  BOOST_TEST(!Index.isUncertain());
}

BOOST_AUTO_TEST_CASE(concurrencyLimitIsAtLeastOne) {
  Fixture Test(4, 1);
  Test.Subject.submit(Test.request(Background), Start);
  BOOST_TEST(
      actionsOfType<StartAction>(Test.Subject.poll(0.0001, 3, Start)).size() ==
      1u);
}

// Guards against BUDGET on the second entry path: a server that has asked for
// rest looks idle and gets everything.
BOOST_AUTO_TEST_CASE(aRestingServerGetsNothingUntilItsRestIsOver) {
  Fixture Test(2, 4);
  const DispatchRequest Rejected = Test.request(Background);
  Test.Subject.submit(Rejected, Start);
  const auto First = actionsOfType<StartAction>(Test.poll(Start));
  BOOST_REQUIRE(First.size() == 1u);
  const Common::BackendServerId Resting = First[0].Server;
  BOOST_TEST(
      Test.Subject.onRetryAfter(Rejected.Id, 5s, Start + 10ms).has_value());
  Test.Subject.remove(Rejected.Id);
  for (int I = 0; I < 12; ++I)
    BOOST_REQUIRE(!Test.Subject.submit(Test.request(Background), Start + 20ms));
  for (Common::Duration Time = 20ms; Time < 5s; Time += 100ms)
    for (const StartAction &Each :
         actionsOfType<StartAction>(Test.poll(Start + Time)))
      BOOST_TEST(Each.Server.str() != Resting.str());
  // Then it is probed with one request until that is not rejected.
  const Common::TimePoint After = Start + 5100ms;
  const auto Probes = actionsOfType<StartAction>(Test.poll(After));
  BOOST_REQUIRE(Probes.size() == 1u);
  BOOST_TEST(Probes[0].Server.str() == Resting.str());
  BOOST_TEST(Test.poll(After + 50ms).empty());
  BOOST_TEST(Test.Subject.onAccepted(Probes[0].Id));
  BOOST_TEST(actionsOfType<StartAction>(Test.poll(After + 60ms)).size() == 3u);
}

// Guards against calls that wait until their deadline for servers that are
// known to rest for longer.
BOOST_AUTO_TEST_CASE(callsAreRefusedAtOnceIfAllServersRestForTooLong) {
  Fixture Test(2, 2);
  std::vector<DispatchRequest> Running;
  for (int I = 0; I < 4; ++I) {
    Running.push_back(Test.request(Background));
    Test.Subject.submit(Running.back(), Start);
  }
  BOOST_REQUIRE(actionsOfType<StartAction>(Test.poll(Start)).size() == 4u);
  const DispatchRequest Waiting = Test.request(Urgent);
  const DispatchRequest Patient = Test.request(Background);
  BOOST_REQUIRE(!Test.Subject.submit(Waiting, Start + 10ms));
  BOOST_REQUIRE(!Test.Subject.submit(Patient, Start + 10ms));
  for (const DispatchRequest &Each : Running)
    Test.Subject.onRetryAfter(Each.Id, 5s, Start + 20ms);
  const auto Actions = Test.poll(Start + 30ms);
  const auto Refused = actionsOfType<RefuseAction>(Actions);
  BOOST_REQUIRE(Refused.size() == 1u);
  BOOST_TEST(Refused[0].Id.Value == Waiting.Id.Value);
  BOOST_CHECK(Refused[0].Reason == RefusalReason::ServersResting);
  BOOST_CHECK(Test.Subject.submit(Test.request(Urgent), Start + 40ms) ==
              RefusalReason::ServersResting);
  BOOST_CHECK(!Test.Subject.submit(Test.request(Background), Start + 40ms));
}

// Guards against streams that are cancelled for an urgent request that their
// server does not take.
BOOST_AUTO_TEST_CASE(noStreamOfARestingServerIsPreempted) {
  Fixture Test(1);
  const DispatchRequest RunningRequest = Test.request(Background);
  Test.Subject.submit(RunningRequest, Start);
  BOOST_REQUIRE(Test.poll(Start).size() == 1u);
  Test.Subject.onProgress(RunningRequest.Id, 5, Start);
  BOOST_REQUIRE(!Test.Subject.submit(Test.request(Urgent), Start));
  Test.Subject.onRetryAfter(RunningRequest.Id, 500ms, Start + 10ms);
  BOOST_TEST(Test.poll(Start + 300ms).empty());
  BOOST_TEST(actionsOfType<PreemptAction>(Test.poll(Start + 520ms)).size() ==
             1u);
}

BOOST_AUTO_TEST_CASE(aRestEndsWithTheLifetimeOfItsServer) {
  Fixture Test(1, 2);
  const DispatchRequest Rejected = Test.request(Background);
  Test.Subject.submit(Rejected, Start);
  Test.poll(Start);
  Test.Subject.onRetryAfter(Rejected.Id, 20s, Start);
  Test.Subject.submit(Test.request(Background), Start);
  BOOST_TEST(Test.poll(Start + 1s).empty());
  ServerStatus Restarted = Test.Subject.pool().servers().begin()->second.Status;
  Restarted.Incarnation = Common::Incarnation{2};
  Test.Subject.pool().update(Restarted);
  BOOST_TEST(actionsOfType<StartAction>(Test.poll(Start + 1s)).size() == 1u);
  // A late answer of the earlier lifetime.
  BOOST_TEST(
      !Test.Subject.onRetryAfter(Rejected.Id, 20s, Start + 2s).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
