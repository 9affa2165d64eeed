#include "Membership/ServerRegistry.h"

#include "Common/Random.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace UnitTests {

namespace {

using namespace Membership;
using Outcome = ServerRegistry::Outcome;

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
  Registry.markGone(Common::BackendServerId("a"), 1, {});
  Registry.update(record("a", 1, 4), {});
  BOOST_CHECK(phaseOf(Registry, "a") == ServerPhase::Gone);
}

// A server deregistered at a daemon that had not yet received its latest
// heartbeat; the other daemons, which had, took the news for an old message and
// kept sending it requests (tuul-hinge-grown, scale-2).
BOOST_AUTO_TEST_CASE(GoneIsAcceptedAfterALaterHeartbeat) {
  ServerRegistry Deregistered;
  Deregistered.update(record("a", 1, 6), {});
  Deregistered.markGone(Common::BackendServerId("a"), 1, {});
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
  BOOST_TEST(!Registry.refresh(Id, 1, 2, ServerPhase::Serving, {}));
  BOOST_TEST(Registry.refresh(Id, 1, 3, ServerPhase::Leaving, {}));
  BOOST_CHECK(phaseOf(Registry, "a") == ServerPhase::Leaving);
  BOOST_TEST(!Registry.refresh(Id, 1, 4, ServerPhase::Serving, {}));
  BOOST_CHECK(phaseOf(Registry, "a") == ServerPhase::Leaving);
}

// A restarted state daemon acknowledges the deregistration of a server that it
// does not know yet.
BOOST_AUTO_TEST_CASE(UnknownServerCanBeMarkedGone) {
  ServerRegistry Registry;
  BOOST_TEST(Registry.markGone(Common::BackendServerId("a"), 5, {}));
  Registry.update(record("a", 5, 9), {});
  BOOST_CHECK(phaseOf(Registry, "a") == ServerPhase::Gone);
  BOOST_CHECK(Registry.update(record("a", 6, 1), {}) == Outcome::Changed);
  BOOST_TEST(!Registry.markGone(Common::BackendServerId("b"), 0, {}));
}

BOOST_AUTO_TEST_CASE(ANewIncarnationUnderTheSameIdServesAgain) {
  ServerRegistry Registry;
  Registry.update(record("a", 1, 9), {});
  Registry.markGone(Common::BackendServerId("a"), 1, {});
  BOOST_CHECK(Registry.update(record("a", 2, 1), {}) == Outcome::Changed);
  BOOST_CHECK(phaseOf(Registry, "a") == ServerPhase::Serving);
  BOOST_CHECK(Registry.update(record("a", 1, 10), {}) == Outcome::Stale);
  BOOST_TEST(!Registry.markGone(Common::BackendServerId("a"), 1, {}));
  BOOST_CHECK(phaseOf(Registry, "a") == ServerPhase::Serving);
}

BOOST_AUTO_TEST_CASE(DuplicatesAndOlderMessagesAreStale) {
  ServerRegistry Registry;
  BOOST_CHECK(Registry.update(record("a", 1, 2), {}) == Outcome::Changed);
  BOOST_CHECK(Registry.update(record("a", 1, 2), {}) == Outcome::Stale);
  BOOST_CHECK(Registry.update(record("a", 1, 1), {}) == Outcome::Stale);
  BOOST_CHECK(Registry.update(record("a", 1, 3), {}) == Outcome::Refreshed);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
