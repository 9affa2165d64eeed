#include "StateDaemon/EntryLedger.h"

#include "EntryDaemon/ContentWatch.h"

#include <boost/test/unit_test.hpp>

namespace UnitTests {

namespace {

using namespace std::chrono_literals;
using StateDaemon::EntryLedger;

State::EntryPoll pollFrom(const char *Entry, std::uint64_t Sequence) {
  State::EntryPoll Asked;
  Asked.Entry = Common::DaemonId(Entry);
  Asked.Incarnation = {1};
  Asked.Sequence = Sequence;
  Asked.Wall = Common::WallTime{1'000'000};
  return Asked;
}

State::ControlState stateWith(std::uint64_t Version) {
  State::ControlState Result;
  Result.apply(State::DeclareCommand{{Version}, "document"});
  return Result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(EntryLedger_)

// Found by a hunt (kinds-in-pairs-1, seed 31831166833): an entry daemon whose
// state daemon lagged went on with an older declaration for 2.7 s.
BOOST_AUTO_TEST_CASE(ADaemonThatIsBehindGetsTheDeclarationFromTheLeader) {
  EntryLedger Ledger({}, Common::TimePoint(10s));
  const State::ControlState Newest = stateWith(90);
  State::EntryPoll Asked = pollFrom("e1", 1);
  Asked.InstalledVersion = {88};
  auto Answer = Ledger.answer(Asked, nullptr, Newest, Common::TimePoint(11s));
  BOOST_TEST(Answer.NewestVersion.Value == 90u);
  // It comes from its state daemon in the meantime, as a rule.
  BOOST_TEST(!Answer.Declaration.has_value());
  Asked.NewestSeenVersion = {90};
  Answer = Ledger.answer(Asked, nullptr, Newest, Common::TimePoint(11s));
  BOOST_REQUIRE(Answer.Declaration.has_value());
  BOOST_TEST(Answer.Declaration->Document == "document");
  Asked.InstalledVersion = {90};
  Answer = Ledger.answer(Asked, nullptr, Newest, Common::TimePoint(11s));
  BOOST_TEST(!Answer.Declaration.has_value());
}

BOOST_AUTO_TEST_CASE(AContentIsRefusedAfterItCrashedThreeServers) {
  EntryLedger Ledger({}, Common::TimePoint(10s));
  const State::ControlState Newest = stateWith(1);
  for (std::uint64_t Server = 1; Server <= 3; ++Server) {
    State::EntryPoll Asked = pollFrom("e1", Server);
    Asked.Crashes = {{77, Common::BackendServerId("s"), Server}};
    // The same report again counts once.
    Ledger.answer(Asked, nullptr, Newest, Common::TimePoint(11s));
    const auto Answer =
        Ledger.answer(Asked, nullptr, Newest, Common::TimePoint(11s));
    BOOST_TEST(Answer.RefusedContents.size() == (Server == 3 ? 1u : 0u));
  }
}

// Pattern: a read that comes again and again, whose answers are lost now and
// then at one server after the other.
BOOST_AUTO_TEST_CASE(FailuresFarApartAreNotPutDownToTheContent) {
  EntryLedger Ledger({}, Common::TimePoint(10s));
  const State::ControlState Newest = stateWith(1);
  for (std::uint64_t Server = 1; Server <= 6; ++Server) {
    State::EntryPoll Asked = pollFrom("e1", Server);
    Asked.Crashes = {{77, Common::BackendServerId("s"), Server}};
    const auto Answer =
        Ledger.answer(Asked, nullptr, Newest, Common::TimePoint(Server * 20s));
    BOOST_TEST(Answer.RefusedContents.empty());
  }
}

BOOST_AUTO_TEST_CASE(ARefusalEnds) {
  EntryLedger Ledger({}, Common::TimePoint(10s));
  const State::ControlState Newest = stateWith(1);
  State::EntryPoll Asked = pollFrom("e1", 1);
  for (std::uint64_t Server = 1; Server <= 3; ++Server)
    Asked.Crashes.push_back({77, Common::BackendServerId("s"), Server});
  BOOST_TEST(Ledger.answer(Asked, nullptr, Newest, Common::TimePoint(11s))
                 .RefusedContents.size() == 1u);
  BOOST_TEST(
      Ledger.answer(pollFrom("e1", 2), nullptr, Newest, Common::TimePoint(200s))
          .RefusedContents.empty());
}

BOOST_AUTO_TEST_CASE(AContentThatWasAnsweredIsNotSuspected) {
  EntryDaemon::ContentWatch Watch;
  const Common::BackendServerId Server("s");
  Watch.serverFailed(5, Server, 1, Common::TimePoint(1s));
  BOOST_TEST(Watch.reports(Common::TimePoint(2s)).size() == 1u);
  Watch.answered(6);
  Watch.serverFailed(6, Server, 1, Common::TimePoint(2s));
  BOOST_TEST(Watch.reports(Common::TimePoint(2s)).size() == 1u);
  BOOST_TEST(Watch.reports(Common::TimePoint(20s)).empty());
  Watch.refuse({5}, Common::TimePoint(3s));
  BOOST_TEST(Watch.refused(5, Common::TimePoint(4s)));
  BOOST_TEST(!Watch.refused(5, Common::TimePoint(40s)));
}

BOOST_AUTO_TEST_CASE(OthersLoadsAreSummedWhileTheirDaemonsLive) {
  EntryLedger Ledger({}, Common::TimePoint(10s));
  const State::ControlState Newest = stateWith(1);
  for (const char *Each : {"e1", "e2", "e3"}) {
    State::EntryPoll Asked = pollFrom(Each, 1);
    Asked.Loads = {{Common::BackendServerId("s"), 2, 100}};
    Ledger.answer(Asked, nullptr, Newest, Common::TimePoint(11s));
  }
  auto Answer =
      Ledger.answer(pollFrom("e1", 2), nullptr, Newest, Common::TimePoint(12s));
  BOOST_REQUIRE(Answer.Loads.size() == 1u);
  BOOST_TEST(Answer.Loads[0].Requests == 4u);
  BOOST_TEST(Answer.EntryCount == 3u);
  Answer =
      Ledger.answer(pollFrom("e1", 3), nullptr, Newest, Common::TimePoint(20s));
  BOOST_TEST(Answer.Loads.empty());
  BOOST_TEST(Answer.EntryCount == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
