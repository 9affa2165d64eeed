#include "Membership/ServerRegistry.h"

#include "Common/Random.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace UnitTests {

namespace {

using namespace Membership;
using Outcome = ServerRegistry::Outcome;
using RefreshOutcome = ServerRegistry::RefreshOutcome;

ServerRecord record(const char *Id, std::uint64_t StartedAt,
                    std::uint64_t Sequence,
                    ServerPhase Phase = ServerPhase::Serving,
                    std::uint16_t Port = 80) {
  ServerRecord Result;
  Result.Id = Common::BackendServerId(Id);
  Result.Service = Common::ServiceName("shop");
  Result.Address = {"10.0.0.1", Port};
  Result.Slots = 4;
  Result.StartedAt = StartedAt;
  Result.Sequence = Sequence;
  Result.Phase = Phase;
  return Result;
}

ServerEnd gone(const char *Id, std::uint64_t StartedAt) {
  return {Common::BackendServerId(Id), StartedAt, ServerPhase::Gone};
}

ServerPhase phaseOf(const ServerRegistry &Of, const char *Id) {
  return Of.find(Common::BackendServerId(Id))->Record.Phase;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ServerRegistry_)

BOOST_AUTO_TEST_CASE(FinalStateDoesNotDependOnTheOrderOfArrival) {
  // Two servers at one address, the older one leaving; all orders of arrival.
  std::vector<ServerRecord> Records = {
      record("a", 100, 1), record("a", 100, 2),
      record("a", 100, 3, ServerPhase::Leaving), record("b", 200, 1),
      record("b", 200, 2)};
  std::vector<std::size_t> Order = {0, 1, 2, 3, 4};
  do {
    ServerRegistry Registry;
    for (const std::size_t I : Order)
      Registry.update(Records[I], Common::TimePoint());
    BOOST_CHECK(phaseOf(Registry, "b") == ServerPhase::Serving);
    const auto *Older = Registry.find(Common::BackendServerId("a"));
    BOOST_CHECK(!Older || Older->Record.Phase != ServerPhase::Serving);
  } while (std::next_permutation(Order.begin(), Order.end()));
}

BOOST_AUTO_TEST_CASE(LeavingIsFinalWithinAnIncarnation) {
  ServerRegistry Registry;
  Registry.update(record("a", 1, 1), {});
  Registry.update(record("a", 1, 2, ServerPhase::Leaving), {});
  Registry.update(record("a", 1, 3), {});
  BOOST_CHECK(phaseOf(Registry, "a") == ServerPhase::Leaving);
  Registry.applyEnd(gone("a", 1), {});
  Registry.update(record("a", 1, 4), {});
  BOOST_CHECK(phaseOf(Registry, "a") == ServerPhase::Gone);
}

// A server deregistered at a daemon that had not yet received its latest
// heartbeat; the other daemons, which had, took the news for an old message and
// kept sending it requests (tuul-hinge-grown, scale-2).
BOOST_AUTO_TEST_CASE(GoneIsAcceptedAfterALaterHeartbeat) {
  ServerRegistry Deregistered;
  Deregistered.update(record("a", 1, 6), {});
  Deregistered.applyEnd(gone("a", 1), {});
  ServerRegistry Other;
  Other.update(record("a", 1, 7), {});
  const auto &Gone = Deregistered.find(Common::BackendServerId("a"))->Record;
  BOOST_CHECK(Other.update(Gone, {}) == Outcome::Changed);
  BOOST_CHECK(phaseOf(Other, "a") == ServerPhase::Gone);
  BOOST_CHECK(Other.update(record("a", 1, 8), {}) == Outcome::Refreshed);
  BOOST_CHECK(phaseOf(Other, "a") == ServerPhase::Gone);
}

// A daemon that missed a change learns it from the next refresh.
BOOST_AUTO_TEST_CASE(RefreshCarriesAMissedPhase) {
  ServerRegistry Registry;
  const Common::BackendServerId Id("a");
  Registry.update(record("a", 1, 1), {});
  BOOST_CHECK(Registry.refresh(Id, 1, 2, ServerPhase::Serving, {}) ==
              RefreshOutcome::Live);
  BOOST_CHECK(Registry.refresh(Id, 1, 3, ServerPhase::Leaving, {}) ==
              RefreshOutcome::PhaseChanged);
  BOOST_CHECK(phaseOf(Registry, "a") == ServerPhase::Leaving);
  BOOST_CHECK(Registry.refresh(Id, 1, 4, ServerPhase::Serving, {}) ==
              RefreshOutcome::Live);
  BOOST_CHECK(phaseOf(Registry, "a") == ServerPhase::Leaving);
}

// Guards against a refresh that is dropped without a word as its server, or the
// server's incarnation, is not known.
BOOST_AUTO_TEST_CASE(ARefreshOfAnUnknownIncarnationNeedsItsRecord) {
  const Common::BackendServerId Id("a");
  const Common::TimePoint Start{std::chrono::seconds(100)};
  ServerRegistry Registry;
  const auto Refresh = [&](std::uint64_t StartedAt, std::uint64_t Sequence) {
    return Registry.refresh(Id, StartedAt, Sequence, ServerPhase::Serving,
                            Start);
  };
  BOOST_CHECK(Refresh(1, 5) == RefreshOutcome::RecordMissing);
  Registry.update(record("a", 1, 5), Start);
  BOOST_CHECK(Refresh(1, 5) == RefreshOutcome::Stale);
  BOOST_CHECK(Refresh(1, 6) == RefreshOutcome::Live);
  BOOST_CHECK(Refresh(2, 1) == RefreshOutcome::RecordMissing);
  Registry.update(record("a", 2, 1), Start);
  BOOST_CHECK(Refresh(1, 7) == RefreshOutcome::Stale);
  // It was forgotten, and its next refresh comes.
  Registry.removeExpired(Start + std::chrono::seconds(11),
                         std::chrono::seconds(10));
  BOOST_CHECK(Refresh(2, 2) == RefreshOutcome::RecordMissing);
}

// A restarted state daemon acknowledges the deregistration of a server that it
// does not know yet.
BOOST_AUTO_TEST_CASE(UnknownServerCanBeMarkedGone) {
  ServerRegistry Registry;
  BOOST_TEST(Registry.applyEnd(gone("a", 5), {}));
  Registry.update(record("a", 5, 9), {});
  BOOST_CHECK(phaseOf(Registry, "a") == ServerPhase::Gone);
  BOOST_CHECK(Registry.update(record("a", 6, 1), {}) == Outcome::Changed);
  // A repeated or older end is no news.
  BOOST_TEST(!Registry.applyEnd(gone("a", 5), {}));
  BOOST_TEST(Registry.applyEnd(gone("a", 6), {}));
  BOOST_TEST(!Registry.applyEnd(gone("a", 6), {}));
}

// A daemon that knew an earlier incarnation marked that one as gone, and the
// next heartbeat of the later one made it serving.
BOOST_AUTO_TEST_CASE(TheEndOfALaterIncarnationThanTheKnownOneHolds) {
  ServerRegistry Registry;
  Registry.update(record("a", 1, 7), {});
  BOOST_TEST(Registry.applyEnd(gone("a", 2), {}));
  Registry.update(record("a", 2, 5), {});
  BOOST_CHECK(phaseOf(Registry, "a") == ServerPhase::Gone);
  // Another daemon that knows neither hears of it.
  ServerRegistry Other;
  Other.update(Registry.find(Common::BackendServerId("a"))->Record, {});
  BOOST_CHECK(phaseOf(Other, "a") == ServerPhase::Gone);
}

// Ends carry no address, so they say nothing about other servers.
BOOST_AUTO_TEST_CASE(UnknownServersThatLeaveDoNotReplaceEachOther) {
  ServerRegistry Registry;
  const auto Leaving = [&Registry](const char *Id, std::uint64_t StartedAt) {
    ServerRecord Told;
    Told.Id = Common::BackendServerId(Id);
    Told.StartedAt = StartedAt;
    Told.Phase = ServerPhase::Leaving;
    Registry.update(Told, {});
  };
  Leaving("a", 1);
  Leaving("b", 2);
  BOOST_CHECK(phaseOf(Registry, "a") == ServerPhase::Leaving);
  BOOST_CHECK(phaseOf(Registry, "b") == ServerPhase::Leaving);
  // Its heartbeat tells where it is, and does not bring it back.
  BOOST_CHECK(Registry.update(record("a", 1, 3), {}) == Outcome::Changed);
  BOOST_CHECK(phaseOf(Registry, "a") == ServerPhase::Leaving);
  BOOST_TEST(Registry.find(Common::BackendServerId("a"))->Record.Address.Ip ==
             "10.0.0.1");
}

BOOST_AUTO_TEST_CASE(ANewIncarnationUnderTheSameIdServesAgain) {
  ServerRegistry Registry;
  Registry.update(record("a", 1, 9), {});
  Registry.applyEnd(gone("a", 1), {});
  BOOST_CHECK(Registry.update(record("a", 2, 1), {}) == Outcome::Changed);
  BOOST_CHECK(phaseOf(Registry, "a") == ServerPhase::Serving);
  BOOST_CHECK(Registry.update(record("a", 1, 10), {}) == Outcome::Stale);
  BOOST_TEST(!Registry.applyEnd(gone("a", 1), {}));
  BOOST_CHECK(phaseOf(Registry, "a") == ServerPhase::Serving);
}

BOOST_AUTO_TEST_CASE(DuplicatesAndOlderMessagesAreStale) {
  ServerRegistry Registry;
  BOOST_CHECK(Registry.update(record("a", 1, 2), {}) == Outcome::Changed);
  BOOST_CHECK(Registry.update(record("a", 1, 2), {}) == Outcome::Stale);
  BOOST_CHECK(Registry.update(record("a", 1, 1), {}) == Outcome::Stale);
  BOOST_CHECK(Registry.update(record("a", 1, 3), {}) == Outcome::Refreshed);
}

// Guards against a version of an earlier server at the same id, whatever the
// order of arrival.
BOOST_AUTO_TEST_CASE(VersionsBelongToOneIncarnation) {
  const Common::BackendServerId Id("a");
  const Common::SoftwareVersion Old("v1");
  const Common::SoftwareVersion New("v2");
  std::vector<int> Order = {0, 1, 2, 3, 4};
  do {
    ServerRegistry Registry;
    for (const int Each : Order) {
      if (Each == 0)
        Registry.update(record("a", 1, 1), {});
      else if (Each == 1)
        Registry.update(record("a", 2, 1), {});
      else if (Each == 2)
        Registry.setVersion(Id, 1, Old, {});
      else if (Each == 3)
        Registry.setVersion(Id, 2, New, {});
      else
        Registry.setVersion(Id, 2, Common::SoftwareVersion(), {});
    }
    BOOST_REQUIRE(Registry.versionOf(Id, 1) == Old);
    BOOST_REQUIRE(Registry.versionOf(Id, 2) == New);
    BOOST_REQUIRE(!Registry.versionOf(Id, 3));
  } while (std::next_permutation(Order.begin(), Order.end()));
}

BOOST_AUTO_TEST_CASE(RepeatedAndLateVersionsChangeNothing) {
  const Common::BackendServerId Id("a");
  ServerRegistry Registry;
  BOOST_TEST(Registry.setVersion(Id, 5, Common::SoftwareVersion("v1"), {}));
  BOOST_TEST(!Registry.setVersion(Id, 5, Common::SoftwareVersion("v1"), {}));
  BOOST_TEST(!Registry.setVersion(Id, 5, Common::SoftwareVersion("v2"), {}));
  BOOST_TEST(Registry.setVersion(Id, 6, Common::SoftwareVersion("v2"), {}));
  // Of an incarnation before both.
  BOOST_TEST(!Registry.setVersion(Id, 4, Common::SoftwareVersion("v0"), {}));
  BOOST_CHECK(Registry.versionOf(Id, 5) == Common::SoftwareVersion("v1"));
}

// Versions arrive before the records. Guards against their removal in between,
// and against versions of servers that never came.
BOOST_AUTO_TEST_CASE(VersionsWithoutARecordExpire) {
  const Common::BackendServerId Id("a");
  const Common::TimePoint Start{std::chrono::seconds(100)};
  ServerRegistry Registry;
  Registry.setVersion(Id, 5, Common::SoftwareVersion("v1"), Start);
  Registry.removeExpired(Start + std::chrono::seconds(1),
                         std::chrono::seconds(10));
  BOOST_TEST(Registry.versionOf(Id, 5).has_value());
  Registry.removeExpired(Start + std::chrono::seconds(11),
                         std::chrono::seconds(10));
  BOOST_TEST(!Registry.versionOf(Id, 5).has_value());
}

// Guards against STARVED: a record of a service that is not declared took the
// address or the id of a sound server.
BOOST_AUTO_TEST_CASE(ServersOfUndeclaredServicesReplaceNoOther) {
  const Common::ServiceName Shop("shop");
  const Common::ServiceName Monitor("host-monitor");
  for (const ServerPhase Phase : {ServerPhase::Serving, ServerPhase::Leaving})
    for (const char *Id : {"a", "b"})
      for (const std::uint64_t StartedAt : {1, 2})
        for (const bool IsFirst : {true, false}) {
          ServerRegistry Registry;
          Registry.setServices({Shop}, {});
          ServerRecord Foreign = record(Id, StartedAt, 9, Phase);
          Foreign.Service = Monitor;
          if (IsFirst)
            BOOST_CHECK(Registry.update(Foreign, {}) == Outcome::SetAside);
          Registry.update(record("a", 1, 5), {});
          BOOST_CHECK(Registry.update(Foreign, {}) == Outcome::SetAside);
          BOOST_CHECK(Registry.update(record("a", 1, 6), {}) ==
                      Outcome::Refreshed);
          BOOST_CHECK(phaseOf(Registry, "a") == ServerPhase::Serving);
          BOOST_TEST(Registry.entries().size() == 1u);
          // It is known here, so its record need not be requested.
          if (StartedAt == 2)
            BOOST_CHECK(Registry.refresh(Foreign.Id, 2, 10, Phase, {}) ==
                        RefreshOutcome::SetAside);
        }
}

// The end of an incarnation that is set aside is none of the sound server's.
BOOST_AUTO_TEST_CASE(TheEndOfARecordThatIsSetAsideEndsNoOther) {
  const Common::ServiceName Shop("shop");
  const Common::ServiceName Monitor("host-monitor");
  ServerRegistry Registry;
  Registry.setServices({Shop}, {});
  Registry.update(record("a", 1, 5), {});
  ServerRecord Foreign = record("a", 2, 1);
  Foreign.Service = Monitor;
  Registry.update(Foreign, {});
  BOOST_TEST(Registry.isSetAside(Foreign.Id, 2));
  BOOST_TEST(!Registry.applyEnd(gone("a", 2), {}));
  BOOST_CHECK(phaseOf(Registry, "a") == ServerPhase::Serving);
  // Declared meanwhile, it takes the id, and stays ended.
  const auto Admitted = Registry.setServices({Shop, Monitor}, {});
  BOOST_REQUIRE(Admitted.size() == 1u);
  BOOST_CHECK(Admitted[0].Phase == ServerPhase::Gone);
  BOOST_CHECK(Registry.update(Admitted[0], {}) == Outcome::Changed);
  // The known server's end is applied although its incarnation is also said to
  // be one of an undeclared service.
  ServerRegistry Other;
  Other.setServices({Shop}, {});
  Other.update(record("a", 1, 5), {});
  Foreign.StartedAt = 1;
  Foreign.Sequence = 6;
  Other.update(Foreign, {});
  BOOST_TEST(!Other.isSetAside(Foreign.Id, 1));
  BOOST_TEST(Other.applyEnd(gone("a", 1), {}));
}

BOOST_AUTO_TEST_CASE(AServerOutlivesTheDeclarationsOfItsService) {
  const Common::ServiceName Shop("shop");
  const Common::TimePoint Start{std::chrono::seconds(100)};
  ServerRegistry Registry;
  Registry.setServices({}, Start);
  BOOST_CHECK(Registry.update(record("a", 1, 1), Start) == Outcome::SetAside);
  for (const ServerRecord &Each : Registry.setServices({Shop}, Start))
    BOOST_CHECK(Registry.update(Each, Start) == Outcome::Changed);
  BOOST_CHECK(Registry.update(record("a", 1, 2), Start) == Outcome::Refreshed);
  // Taken away: it goes on, and a later incarnation waits.
  Registry.setServices({}, Start);
  BOOST_CHECK(Registry.update(record("a", 1, 3), Start) == Outcome::Refreshed);
  BOOST_CHECK(Registry.update(record("a", 2, 1), Start) == Outcome::SetAside);
  const auto Admitted = Registry.setServices({Shop}, Start);
  BOOST_REQUIRE(Admitted.size() == 1u);
  BOOST_CHECK(Registry.update(Admitted[0], Start) == Outcome::Changed);
  // One that was silent for long may have ended, and its next message counts.
  Registry.setServices({}, Start);
  Registry.update(record("b", 1, 1, ServerPhase::Serving, 81), Start);
  const Common::TimePoint Later =
      Start + ServerRegistry::MaxSetAsideAge + std::chrono::seconds(1);
  BOOST_TEST(Registry.setServices({Shop}, Later).empty());
  BOOST_CHECK(Registry.update(record("b", 1, 2, ServerPhase::Serving, 81),
                              Later) == Outcome::Changed);
}

// Guards against a daemon without a declaration, as after a start behind a cut,
// that keeps servers to itself or lets another writer take their addresses.
BOOST_AUTO_TEST_CASE(BeforeTheFirstDeclarationAllServersAreKnown) {
  const Common::ServiceName Shop("shop");
  for (const bool IsFirst : {true, false}) {
    ServerRegistry Registry;
    Registry.awaitServices();
    ServerRecord Foreign = record("monitor", 9, 1);
    Foreign.Service = Common::ServiceName("host-monitor");
    if (IsFirst)
      Registry.update(Foreign, {});
    BOOST_CHECK(Registry.update(record("a", 1, 1), {}) == Outcome::Changed);
    Registry.update(record("b", 2, 1), {});
    Registry.update(Foreign, {});
    BOOST_CHECK(phaseOf(Registry, "a") == ServerPhase::Serving);
    Registry.setServices({Shop}, {});
    BOOST_TEST(!Registry.find(Foreign.Id));
    BOOST_TEST(Registry.isSetAside(Foreign.Id, 9));
    // Of the servers of declared services, the newer one holds the address.
    BOOST_CHECK(phaseOf(Registry, "a") == ServerPhase::Gone);
    BOOST_CHECK(phaseOf(Registry, "b") == ServerPhase::Serving);
    BOOST_TEST(Registry.ownerOf(Foreign.Address).str() == "b");
  }
}

BOOST_AUTO_TEST_CASE(RecordsThatAreSetAsideAreBounded) {
  const Common::TimePoint Start{std::chrono::seconds(100)};
  ServerRegistry Registry;
  Registry.setServices({}, Start);
  for (std::size_t I = 0; I <= ServerRegistry::MaxSetAside; ++I)
    Registry.update(record(std::to_string(I).c_str(), 1, 1),
                    Start + std::chrono::microseconds(I));
  BOOST_TEST(!Registry.isSetAside(Common::BackendServerId("0"), 1));
  BOOST_TEST(Registry.isSetAside(Common::BackendServerId("1"), 1));
  Registry.removeExpired(Start + std::chrono::seconds(11),
                         std::chrono::seconds(10));
  BOOST_TEST(!Registry.isSetAside(Common::BackendServerId("1"), 1));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
