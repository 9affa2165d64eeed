#include "Network/Codec.h"
#include "State/ControlState.h"

#include <boost/test/unit_test.hpp>

namespace UnitTests {

namespace {

using namespace Rollout;

const Common::ServiceName Service("chat");

Common::SoftwareVersion version(const char *Name) {
  return Common::SoftwareVersion(Name);
}

BeginRolloutCommand begin(std::uint64_t Number, const char *Target) {
  return {Service, {Number}, version(Target), 12'000, {1'000'000}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(RolloutBook_)

// A new leader repeats what its predecessor proposed, and a late verdict on an
// earlier rollout must not end the next one.
BOOST_AUTO_TEST_CASE(CommandsOfOtherRolloutsAreIgnored) {
  RolloutBook Book;
  Book.apply(begin(1, "v2"));
  Book.apply(begin(1, "v3"));
  Book.apply(begin(2, "v3"));
  BOOST_CHECK(Book.find(Service)->Target == version("v2"));
  Book.apply(EndRolloutCommand{Service, {1}, false, "failures", "3 of 9"});
  Book.apply(EndRolloutCommand{Service, {1}, true, "good", ""});
  BOOST_CHECK(Book.find(Service)->Current == Phase::RolledBack);
  Book.apply(begin(2, "v3"));
  Book.apply(AdvanceRolloutCommand{Service, {1}, Phase::Drain});
  Book.apply(AdvanceRolloutCommand{Service, {2}, Phase::Shift});
  Book.apply(AdvanceRolloutCommand{Service, {2}, Phase::Trial});
  // A verdict needs its own command.
  Book.apply(AdvanceRolloutCommand{Service, {2}, Phase::Completed});
  BOOST_CHECK(Book.find(Service)->Current == Phase::Shift);
}

BOOST_AUTO_TEST_CASE(VersionsRecur) {
  RolloutBook Book;
  Book.apply(begin(1, "v2"));
  Book.apply(EndRolloutCommand{Service, {1}, false, "failures", ""});
  BOOST_TEST(Book.find(Service)->RefusedVersions.size() == 1u);
  Book.apply(begin(2, "v2"));
  BOOST_TEST(Book.find(Service)->RefusedVersions.empty());
  Book.apply(EndRolloutCommand{Service, {2}, true, "good", ""});
  BOOST_CHECK(Book.find(Service)->OnlyVersion == version("v2"));
  Book.apply(begin(3, "v1"));
  Book.apply(EndRolloutCommand{Service, {3}, true, "good", ""});
  BOOST_CHECK(Book.find(Service)->OnlyVersion == version("v1"));
  // The version that is the only allowed one already.
  Book.apply(begin(4, "v1"));
  BOOST_CHECK(Book.find(Service)->Current == Phase::Completed);
}

// Daemons of the previous release read the snapshots until the level is raised,
// and this release reads theirs.
BOOST_AUTO_TEST_CASE(SnapshotsBelowTheLevelHaveNoRollouts) {
  using namespace State;
  ControlState Current;
  Current.apply(DeclareCommand{{4}, "four"});
  Current.apply(RaiseProtocolLevelCommand{ServerEndsLevel});
  const std::string Previous = Current.snapshot();
  const auto Restored = ControlState::restore(Previous);
  BOOST_REQUIRE(Restored.ok());
  BOOST_TEST(Restored->snapshot() == Previous);
  Current.apply(RaiseProtocolLevelCommand{RolloutsLevel});
  BOOST_TEST(Current.snapshot().size() > Previous.size());
  Current.apply(begin(1, "v2"));
  const auto Raised = ControlState::restore(Current.snapshot());
  BOOST_REQUIRE(Raised.ok());
  BOOST_REQUIRE(Raised->rollouts().find(Service));
  BOOST_CHECK(Raised->rollouts().find(Service)->isRunning());
  BOOST_TEST(Raised->document() == "four");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
