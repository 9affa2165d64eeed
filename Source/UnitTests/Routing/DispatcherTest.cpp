#include "Routing/Dispatcher.h"

#include <boost/test/unit_test.hpp>

namespace UnitTests {

namespace {

using namespace std::chrono_literals;
using namespace Routing;
using Common::RefusalReason;

const Common::TimePoint Start{std::chrono::hours(1)};
const Common::PriorityName Urgent("urgent");
const Common::PriorityName Later("later");

/// One service with its dispatcher.
struct Bench {
  Dispatcher Subject;
  std::uint64_t LastId = 0;

  explicit Bench(std::size_t Servers, std::uint64_t Slots = 1,
                 DispatchRules Rules = {})
      : Subject(Rules) {
    Subject.configure({{Urgent, {0, 0.2, 10}}, {Later, {2, 0.1, 1}}});
    for (std::size_t I = 0; I < Servers; ++I)
      this->add("s" + std::to_string(I), Slots);
  }
  void add(const std::string &Name, std::uint64_t Slots, bool Local = true) {
    ServerFacts Facts;
    Facts.Id = Common::BackendServerId(Name);
    Facts.Life = Common::Incarnation{1};
    Facts.Sequence = 1;
    Facts.Capacity = {Slots, 1000};
    Facts.Local = Local;
    Subject.pool().learn(Facts);
  }
  WorkRequest request(const Common::PriorityName &Priority,
                      Fingerprint Content = 0) {
    WorkRequest Work;
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
  std::vector<Order> poll(Common::TimePoint Now) {
    return Subject.poll(1, 7, Now);
  }
};

template <typename T> std::vector<T> only(const std::vector<Order> &Orders) {
  std::vector<T> Result;
  for (const Order &Each : Orders)
    if (const auto *Found = std::get_if<T>(&Each))
      Result.push_back(*Found);
  return Result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(DispatcherTest)

BOOST_AUTO_TEST_CASE(windowsAreNeverOverrun) {
  Bench Test(2, 3);
  for (int I = 0; I < 20; ++I)
    BOOST_REQUIRE(!Test.Subject.arrive(Test.request(Later), Start));
  BOOST_TEST(only<StartOrder>(Test.poll(Start)).size() == 6u);
  BOOST_TEST(Test.poll(Start).empty());
  Test.Subject.finished(Common::RequestId{1}, Start + 1s);
  BOOST_TEST(only<StartOrder>(Test.poll(Start + 1s)).size() == 1u);
}

BOOST_AUTO_TEST_CASE(urgentWorkRunsFirst) {
  Bench Test(1);
  for (int I = 0; I < 3; ++I)
    Test.Subject.arrive(Test.request(Later), Start);
  const WorkRequest Wanted = Test.request(Urgent);
  Test.Subject.arrive(Wanted, Start);
  const auto Started = only<StartOrder>(Test.poll(Start));
  BOOST_REQUIRE(Started.size() == 1u);
  // Both are owed their floor; the worthier is owed more.
  BOOST_TEST(Started[0].Id.Value == Wanted.Id.Value);
}

BOOST_AUTO_TEST_CASE(streamGivesWayAndIsResumed) {
  Bench Test(1);
  const WorkRequest Slow = Test.request(Later);
  Test.Subject.arrive(Slow, Start);
  Test.poll(Start);
  Test.Subject.progress(Slow.Id, 5);
  const WorkRequest Wanted = Test.request(Urgent);
  Test.Subject.arrive(Wanted, Start);
  BOOST_TEST(Test.poll(Start + 100ms).empty());
  const auto Orders = Test.poll(Start + 300ms);
  BOOST_REQUIRE(only<PreemptOrder>(Orders).size() == 1u);
  BOOST_TEST(only<PreemptOrder>(Orders)[0].Id.Value == Slow.Id.Value);
  BOOST_REQUIRE(only<StartOrder>(Orders).size() == 1u);
  BOOST_TEST(only<StartOrder>(Orders)[0].Id.Value == Wanted.Id.Value);
  Test.Subject.finished(Wanted.Id, Start + 400ms);
  const auto Again = only<StartOrder>(Test.poll(Start + 400ms));
  BOOST_REQUIRE(Again.size() == 1u);
  BOOST_TEST(Again[0].Id.Value == Slow.Id.Value);
}

BOOST_AUTO_TEST_CASE(whatCannotMeetItsTargetIsRefusedAtArrival) {
  Bench Test(1);
  Common::TimePoint Now = Start;
  // One request of 200 units takes a second.
  for (int I = 0; I < 3; ++I) {
    const WorkRequest Work = Test.request(Urgent);
    Test.Subject.arrive(Work, Now);
    Test.poll(Now);
    Now += 1s;
    Test.Subject.finished(Work.Id, Now);
  }
  BOOST_TEST(!Test.Subject.arrive(Test.request(Urgent), Now));
  Test.poll(Now);
  BOOST_TEST(!Test.Subject.arrive(Test.request(Urgent), Now));
  const auto Refused = Test.Subject.arrive(Test.request(Urgent), Now);
  BOOST_REQUIRE(Refused.has_value());
  BOOST_TEST((*Refused == RefusalReason::TargetUnreachable));
}

BOOST_AUTO_TEST_CASE(retryGoesToAnotherServer) {
  Bench Test(2);
  const WorkRequest Work = Test.request(Urgent);
  Test.Subject.arrive(Work, Start);
  const auto First = only<StartOrder>(Test.poll(Start));
  Test.Subject.failed(Work.Id, Failure::ConnectFailed, Start);
  const auto Second = only<StartOrder>(Test.poll(Start));
  BOOST_REQUIRE(Second.size() == 1u);
  BOOST_TEST(Second[0].Server.str() != First[0].Server.str());
  BOOST_TEST(Test.Subject.takeRetries().size() == 1u);
}

BOOST_AUTO_TEST_CASE(retriesStayWithinTheirBudget) {
  Bench Test(50, 100);
  constexpr std::size_t Requests = 500;
  std::size_t Sent = 0;
  for (std::size_t I = 0; I < Requests; ++I) {
    const Common::TimePoint Now = Start + I * 10ms;
    Test.Subject.arrive(Test.request(Later), Now);
    for (int Round = 0; Round < 6; ++Round)
      for (const StartOrder &Each : only<StartOrder>(Test.poll(Now))) {
        ++Sent;
        Test.Subject.failed(Each.Id, Failure::ServerError, Now);
      }
  }
  BOOST_TEST(Sent >= Requests);
  BOOST_TEST(Sent <= Requests + Requests / 10 + 10);
}

BOOST_AUTO_TEST_CASE(crashingRequestCostsAtMostTwoServers) {
  constexpr Fingerprint Bad = 66;
  Bench Test(6, 4);
  std::set<std::string> Lost;
  std::size_t Refused = 0;
  Common::TimePoint Now = Start;
  for (int I = 0; I < 40; ++I) {
    Now += 50ms;
    if (Test.Subject.arrive(Test.request(Later, Bad), Now))
      ++Refused;
    Test.Subject.arrive(Test.request(Later), Now);
    for (const Order &Each : Test.poll(Now)) {
      const auto *Order = std::get_if<StartOrder>(&Each);
      if (!Order)
        continue;
      const auto Ran = Test.Subject.runningAt(Order->Server);
      if (std::find(Ran.begin(), Ran.end(), Bad) == Ran.end())
        continue;
      Lost.insert(Order->Server.str());
      Test.Subject.serverFailed({Order->Server, Common::Incarnation{1}}, Ran,
                                Now);
      Test.Subject.failed(Order->Id, Failure::ConnectionLost, Now);
    }
  }
  BOOST_TEST(Lost.size() <= 2u);
  BOOST_TEST(Refused > 0u);
  BOOST_TEST(Test.Subject.quarantine().refused(Bad, Now));
  BOOST_TEST(!Test.Subject.quarantine().refused(Bad, Now + 11min));
}

BOOST_AUTO_TEST_CASE(suspectsRunApart) {
  Bench Test(3, 4);
  Test.Subject.serverFailed({Common::BackendServerId("gone"), {}}, {1, 2, 3},
                            Start);
  for (const Fingerprint Each : {1, 2, 3})
    Test.Subject.arrive(Test.request(Later, Each), Start);
  std::set<std::string> Servers;
  for (const StartOrder &Each : only<StartOrder>(Test.poll(Start)))
    Servers.insert(Each.Server.str());
  BOOST_TEST(Servers.size() == 3u);
  // A fourth suspect waits; other work does not.
  Test.Subject.serverFailed({Common::BackendServerId("gone"), {}}, {4}, Start);
  Test.Subject.arrive(Test.request(Later, 4), Start);
  Test.Subject.arrive(Test.request(Later, 5), Start);
  BOOST_TEST(only<StartOrder>(Test.poll(Start)).size() == 1u);
  // An answered suspect is harmless.
  Test.Subject.finished(Common::RequestId{1}, Start);
  BOOST_TEST(!Test.Subject.quarantine().suspect(1, Start));
}

BOOST_AUTO_TEST_CASE(conversationStaysWhereItsPrefixIs) {
  Bench Test(8, 8);
  WorkRequest Turn = Test.request(Later);
  Turn.AffinityKey = 77;
  Turn.Blocks = {1, 2, 3, 4};
  Test.Subject.arrive(Turn, Start);
  const auto First = only<StartOrder>(Test.poll(Start));
  Test.Subject.finished(Turn.Id, Start + 1s);
  WorkRequest Next = Test.request(Later);
  Next.AffinityKey = 77;
  Next.Blocks = {1, 2, 3, 4, 5, 6};
  Test.Subject.arrive(Next, Start + 1s);
  const auto Second = only<StartOrder>(Test.poll(Start + 1s));
  BOOST_TEST(First[0].Server.str() == Second[0].Server.str());
  // Another daemon agrees without having heard of it.
  Bench Other(8, 8);
  WorkRequest There = Other.request(Later);
  There.AffinityKey = 77;
  Other.Subject.arrive(There, Start);
  const auto Elsewhere = only<StartOrder>(Other.Subject.poll(1, 99, Start));
  BOOST_TEST(Elsewhere[0].Server.str() == First[0].Server.str());
}

BOOST_AUTO_TEST_CASE(otherDataCentreOnlyWhenTheOwnIsFull) {
  Bench Test(1, 1);
  Test.add("far", 4, false);
  for (int I = 0; I < 2; ++I)
    Test.Subject.arrive(Test.request(Later), Start);
  const auto Started = only<StartOrder>(Test.poll(Start));
  BOOST_REQUIRE(Started.size() == 2u);
  BOOST_TEST(Started[0].Server.str() == "s0");
  BOOST_TEST(Started[1].Server.str() == "far");
}

BOOST_AUTO_TEST_CASE(gapInCacheEventsMakesTheIndexDoubtful) {
  PrefixIndex Index(100);
  Index.learn({{1, true, 11}, {2, true, 12}});
  BOOST_TEST(Index.matched({11, 12, 13}) == 2u);
  Index.learn({{5, true, 13}});
  BOOST_TEST(Index.doubtful());
  BOOST_TEST(Index.matched({11, 12}) == 0u);
  std::vector<Membership::CacheEvent> Run;
  for (std::uint64_t I = 6; I < 80; ++I)
    Run.push_back({I, true, 100 + I});
  Index.learn(Run);
  BOOST_TEST(!Index.doubtful());
}

BOOST_AUTO_TEST_CASE(someServerIsAlwaysAllowed) {
  Bench Test(4, 1);
  Test.Subject.arrive(Test.request(Later), Start);
  BOOST_TEST(only<StartOrder>(Test.Subject.poll(0.0001, 3, Start)).size() ==
             1u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
