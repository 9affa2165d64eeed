#include "StateDaemon/EntryDaemonTracker.h"

#include "EntryDaemon/CrashingContentTracker.h"

#include <boost/test/unit_test.hpp>

namespace UnitTests {

namespace {

using namespace std::chrono_literals;
using StateDaemon::EntryDaemonTracker;

State::EntryPoll pollFrom(const char *Entry, std::uint64_t Sequence) {
  State::EntryPoll Poll;
  Poll.Entry = Common::DaemonId(Entry);
  Poll.Incarnation = {1};
  Poll.Sequence = Sequence;
  Poll.Wall = Common::WallTime{1'000'000};
  return Poll;
}

State::ControlState stateWith(std::uint64_t Version) {
  State::ControlState Result;
  Result.apply(State::DeclareCommand{{Version}, "document"});
  return Result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(EntryDaemonTracker_)

// An entry daemon whose state daemon lagged kept using an outdated declaration
// for 2.7 s (kinds-in-pairs-1, seed 31831166833). The leader's answer must
// carry the declaration then.
BOOST_AUTO_TEST_CASE(OutdatedEntryDaemonGetsDeclarationFromLeader) {
  EntryDaemonTracker Tracker({}, Common::TimePoint(10s));
  const State::ControlState Newest = stateWith(90);
  State::EntryPoll Poll = pollFrom("e1", 1);
  Poll.InstalledVersion = {88};
  auto Answer =
      Tracker.handlePoll(Poll, nullptr, Newest, Common::TimePoint(11s));
  BOOST_TEST(Answer.NewestVersion.Value == 90u);
  // Normally its state daemon pushes the declaration in the meantime.
  BOOST_TEST(!Answer.Declaration.has_value());
  Poll.NewestSeenVersion = {90};
  Answer = Tracker.handlePoll(Poll, nullptr, Newest, Common::TimePoint(11s));
  BOOST_REQUIRE(Answer.Declaration.has_value());
  BOOST_TEST(Answer.Declaration->Document == "document");
  Poll.InstalledVersion = {90};
  Answer = Tracker.handlePoll(Poll, nullptr, Newest, Common::TimePoint(11s));
  BOOST_TEST(!Answer.Declaration.has_value());
}

BOOST_AUTO_TEST_CASE(ContentIsRefusedAfterItCrashedThreeServers) {
  EntryDaemonTracker Tracker({}, Common::TimePoint(10s));
  const State::ControlState Newest = stateWith(1);
  for (std::uint64_t Server = 1; Server <= 3; ++Server) {
    State::EntryPoll Poll = pollFrom("e1", Server);
    Poll.Crashes = {{77, Common::BackendServerId("s"), Server, 0}};
    // A repeated report counts once.
    Tracker.handlePoll(Poll, nullptr, Newest, Common::TimePoint(11s));
    const auto Answer =
        Tracker.handlePoll(Poll, nullptr, Newest, Common::TimePoint(11s));
    BOOST_TEST(Answer.Refusals.size() == (Server == 3 ? 1u : 0u));
  }
}

// A request that is sent repeatedly, and whose answers are occasionally lost at
// different servers, does not crash those servers.
BOOST_AUTO_TEST_CASE(FailuresFarApartAreNotAttributedToContent) {
  EntryDaemonTracker Tracker({}, Common::TimePoint(10s));
  const State::ControlState Newest = stateWith(1);
  for (std::uint64_t Server = 1; Server <= 6; ++Server) {
    State::EntryPoll Poll = pollFrom("e1", Server);
    Poll.Crashes = {{77, Common::BackendServerId("s"), Server, 0}};
    Tracker.expire(Common::TimePoint(Server * 20s));
    const auto Answer = Tracker.handlePoll(Poll, nullptr, Newest,
                                           Common::TimePoint(Server * 20s));
    BOOST_TEST(Answer.Refusals.empty());
  }
}

// A refusal ended two minutes after it began, for all daemons at once, and the
// request then crashed as many servers again. One request a time finds out.
BOOST_AUTO_TEST_CASE(RefusalIsProbedWithOneRequestAndNotExpired) {
  EntryDaemonTracker Tracker({}, Common::TimePoint(10s));
  State::ControlState Newest = stateWith(1);
  const auto Propose = [&](Common::TimePoint Now) {
    for (const auto &Each : Tracker.planRefusals(Newest, {}, Now))
      Newest.apply(Each);
  };
  State::EntryPoll Poll = pollFrom("e1", 1);
  for (std::uint64_t Server = 1; Server <= 3; ++Server)
    Poll.Crashes.push_back({77, Common::BackendServerId("s"), Server, 0});
  BOOST_TEST(Tracker.handlePoll(Poll, nullptr, Newest, Common::TimePoint(11s))
                 .Refusals.size() == 1u);
  Propose(Common::TimePoint(11s));
  BOOST_TEST(Newest.refusals().size() == 1u);
  // Every daemon meets it all the time.
  std::size_t Probes = 0;
  for (std::uint64_t Second = 12; Second < 14'400; ++Second) {
    const Common::TimePoint Now{std::chrono::seconds(Second)};
    Tracker.expire(Now);
    for (const char *Entry : {"e1", "e2", "e3"}) {
      State::EntryPoll Use = pollFrom(Entry, Second);
      Use.UsedRefusals = {{77}};
      const auto Answer = Tracker.handlePoll(Use, nullptr, Newest, Now);
      BOOST_TEST(Answer.Refusals.size() == 1u);
      Probes += Answer.Probes.size();
    }
    Propose(Now);
    if (Second == 70)
      BOOST_TEST(Probes == 0u);
    if (Second == 100)
      BOOST_TEST(Probes == 1u);
  }
  BOOST_TEST(Probes == 2u);
  // An answer that went on ends the refusal.
  State::EntryPoll Survived = pollFrom("e2", 99999);
  Survived.Survivals = {{77, 100}};
  const Common::TimePoint End{4h};
  BOOST_TEST(
      Tracker.handlePoll(Survived, nullptr, Newest, End).Refusals.empty());
  Propose(End);
  BOOST_TEST(Newest.refusals().empty());
}

// A content whose answers were lost at servers that live on was refused.
BOOST_AUTO_TEST_CASE(AContentIsAcquittedByServersThatLiveOn) {
  EntryDaemonTracker Tracker({}, Common::TimePoint(10s));
  State::ControlState Newest = stateWith(1);
  Membership::ServerRegistry Servers;
  Membership::ServerRecord Record;
  Record.Id = Common::BackendServerId("s");
  Record.StartedAt = 3;
  const auto PollAt = [&](Common::TimePoint Now) {
    State::EntryPoll Poll = pollFrom("e1", 1);
    for (std::uint64_t Server = 1; Server <= 3; ++Server)
      Poll.Crashes.push_back(
          {77, Common::BackendServerId("s"), Server,
           static_cast<std::uint64_t>((Now - Common::TimePoint(11s)) / 1ms)});
    return Tracker.handlePoll(Poll, nullptr, Newest, Now).Refusals.size();
  };
  BOOST_TEST(PollAt(Common::TimePoint(11s)) == 1u);
  const auto PlanAt = [&](Common::TimePoint Now) {
    for (const auto &Each : Tracker.planRefusals(Newest, Servers, Now))
      Newest.apply(Each);
  };
  // An announcement that may have been sent before the crash proves nothing.
  Record.Sequence = 1;
  Servers.update(Record, Common::TimePoint(12s));
  PlanAt(Common::TimePoint(12s));
  BOOST_TEST(Newest.refusals().size() == 1u);
  Record.Sequence = 2;
  Servers.update(Record, Common::TimePoint(17s));
  PlanAt(Common::TimePoint(17s));
  // The report is repeated.
  PollAt(Common::TimePoint(18s));
  PlanAt(Common::TimePoint(18s));
  BOOST_TEST(Newest.refusals().empty());
}

BOOST_AUTO_TEST_CASE(AContentIsAcquittedByOtherAnswersOfTheSameServer) {
  EntryDaemonTracker Tracker({}, Common::TimePoint(10s));
  State::ControlState Newest = stateWith(1);
  const Membership::ServerRegistry Servers;
  State::EntryPoll Poll = pollFrom("e1", 1);
  for (std::uint64_t Server = 1; Server <= 3; ++Server)
    Poll.Crashes.push_back({77, Common::BackendServerId("s"), Server, 0});
  BOOST_TEST(Tracker.handlePoll(Poll, nullptr, Newest, Common::TimePoint(11s))
                 .Refusals.size() == 1u);
  const auto Supposed = Tracker.handleDisproofs({}, Common::TimePoint(11s));
  BOOST_REQUIRE(Supposed.size() == 3u);
  BOOST_TEST(Supposed.front().Server.str() == "s");
  for (const auto &Each :
       Tracker.planRefusals(Newest, Servers, Common::TimePoint(11100ms)))
    Newest.apply(Each);
  BOOST_TEST(Newest.refusals().size() == 1u);
  // An unknown number, for example one of an earlier leader, has no effect.
  Tracker.handleDisproofs({Supposed.front().Number, 999},
                          Common::TimePoint(11500ms));
  for (const auto &Each :
       Tracker.planRefusals(Newest, Servers, Common::TimePoint(12500ms)))
    Newest.apply(Each);
  BOOST_TEST(Newest.refusals().empty());
}

BOOST_AUTO_TEST_CASE(AnsweredContentIsNotReported) {
  EntryDaemon::CrashingContentTracker Tracker;
  const Common::BackendServerId Server("s");
  Tracker.recordCrash(5, Server, 1, Common::TimePoint(1s));
  BOOST_TEST(Tracker.recentReports(Common::TimePoint(2s)).size() == 1u);
  Tracker.recordSuccess(6);
  Tracker.recordCrash(6, Server, 1, Common::TimePoint(2s));
  BOOST_TEST(Tracker.recentReports(Common::TimePoint(2s)).size() == 1u);
  BOOST_TEST(Tracker.recentReports(Common::TimePoint(20s)).empty());
}

BOOST_AUTO_TEST_CASE(LoadsOfLiveEntryDaemonsAreSummed) {
  EntryDaemonTracker Tracker({}, Common::TimePoint(10s));
  const State::ControlState Newest = stateWith(1);
  for (const char *Each : {"e1", "e2", "e3"}) {
    State::EntryPoll Poll = pollFrom(Each, 1);
    Poll.Loads = {{Common::BackendServerId("s"), 2, 100}};
    Tracker.handlePoll(Poll, nullptr, Newest, Common::TimePoint(11s));
  }
  BOOST_REQUIRE(Tracker.totalLoads().Loads.size() == 1u);
  BOOST_TEST(Tracker.totalLoads().Loads[0].Requests == 6u);
  // The newest report of a daemon replaces its earlier one.
  auto Answer = Tracker.handlePoll(pollFrom("e1", 2), nullptr, Newest,
                                   Common::TimePoint(12s));
  BOOST_TEST(Tracker.totalLoads().Loads[0].Requests == 4u);
  BOOST_TEST(Answer.EntryCount == 3u);
  Answer = Tracker.handlePoll(pollFrom("e1", 3), nullptr, Newest,
                              Common::TimePoint(20s));
  Tracker.expire(Common::TimePoint(20s));
  BOOST_TEST(Tracker.totalLoads().Loads.empty());
  BOOST_TEST(Tracker.liveEntryCount() == 1u);
  // A daemon that comes back counts again.
  State::EntryPoll Back = pollFrom("e2", 2);
  Back.Loads = {{Common::BackendServerId("s"), 1, 50}};
  Tracker.handlePoll(Back, nullptr, Newest, Common::TimePoint(21s));
  BOOST_REQUIRE(Tracker.totalLoads().Loads.size() == 1u);
  BOOST_TEST(Tracker.totalLoads().Loads[0].Requests == 1u);
  BOOST_TEST(Tracker.liveEntryCount() == 2u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
