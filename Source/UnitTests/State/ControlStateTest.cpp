#include "State/ControlState.h"

#include "Network/Codec.h"
#include "State/ClockMedian.h"
#include "State/UsageAggregator.h"

#include <boost/test/unit_test.hpp>

namespace UnitTests {

namespace {

using namespace State;
using namespace std::chrono_literals;

} // namespace

BOOST_AUTO_TEST_SUITE(ControlState_)

BOOST_AUTO_TEST_CASE(TheHighestVersionIsCurrentAndItsDocumentNeverChanges) {
  ControlState Current;
  const auto Declare = [&Current](std::uint64_t Version, const char *Text) {
    Current.apply(DeclareCommand{{Version}, Text});
  };
  Declare(4, "four");
  Declare(4, "other");
  Declare(3, "three");
  BOOST_TEST(Current.document() == "four");
  Declare(9, "nine");
  BOOST_TEST(Current.document() == "nine");
  BOOST_TEST(Current.declarationVersion().Value == 9u);
}

BOOST_AUTO_TEST_CASE(TheFirstDeclarationMayHaveTheVersion0) {
  ControlState Current;
  BOOST_TEST(!Current.hasDeclaration());
  Current.apply(DeclareCommand{{0}, "zero"});
  Current.apply(DeclareCommand{{0}, "other"});
  BOOST_TEST(Current.hasDeclaration());
  BOOST_TEST(Current.document() == "zero");
}

// Guards against a version below 0, which earlier releases stored as one just
// below 2^64, that ends all later versions.
BOOST_AUTO_TEST_CASE(ACorrectedVersionIsFollowedByOthers) {
  const Common::ConfigurationVersion Highest{~std::uint64_t{0}};
  ControlState Current;
  Current.apply(DeclareCommand{Highest, "minus one"});
  // A correction of another version, or one that raises it, has no effect.
  Current.apply(CorrectVersionCommand{{5}, {0}});
  BOOST_CHECK(Current.declarationVersion() == Highest);
  Current.apply(CorrectVersionCommand{Highest, {0}});
  BOOST_TEST(Current.declarationVersion().Value == 0u);
  BOOST_TEST(Current.document() == "minus one");
  Current.apply(CorrectVersionCommand{{0}, {7}});
  BOOST_TEST(Current.declarationVersion().Value == 0u);
  Current.apply(DeclareCommand{{9}, "nine"});
  BOOST_TEST(Current.document() == "nine");
  const auto Restored = ControlState::restore(Current.snapshot());
  BOOST_REQUIRE(Restored.ok());
  BOOST_TEST(Restored->declarationVersion().Value == 9u);
}

// Guards against a command that changed nothing and counts as carried out.
BOOST_AUTO_TEST_CASE(ARepeatedCommandIsIgnored) {
  const Common::ServiceName Service("chat");
  const std::vector<ControlCommand> Commands = {
      DeclareCommand{{4}, "four"},
      CorrectVersionCommand{{4}, {3}},
      RecordUsageCommand{{7}, {}},
      MarkUsageReportedCommand{{7}},
      RefuseCommand{{1}},
      ProbeRefusalCommand{{1}, 0},
      EndRefusalCommand{{1}},
      RaiseProtocolLevelCommand{SupportedProtocolLevel},
      RecordServerEndsCommand{{{Common::BackendServerId("a"), 5}}},
      Rollout::BeginRolloutCommand{
          Service, {1}, Common::SoftwareVersion("v2"), 12'000, {1'000}},
      Rollout::AdvanceRolloutCommand{Service, {1}, Rollout::Phase::Shift},
      Rollout::EndRolloutCommand{Service, {1}, true, "good", ""}};
  ControlState Current;
  for (const ControlCommand &Each : Commands) {
    BOOST_CHECK(Current.apply(Each) == CommandEffect::Applied);
    const std::string Before = Current.snapshot();
    BOOST_CHECK(Current.apply(Each) == CommandEffect::Ignored);
    BOOST_TEST(Current.snapshot() == Before);
  }
}

BOOST_AUTO_TEST_CASE(TheFirstCountsOfAWindowAreFinal) {
  ControlState Current;
  const Configuration::TeamName Mill("mill");
  Current.apply(RecordUsageCommand{{7}, {{Mill, 5}}});
  Current.apply(RecordUsageCommand{{7}, {{Mill, 6}}});
  BOOST_TEST(Current.usage().at({7}).Counts.at(Mill) == 5u);
  BOOST_TEST(!Current.usage().at({7}).Reported);
  Current.apply(MarkUsageReportedCommand{{7}});
  BOOST_TEST(Current.usage().at({7}).Reported);
  const auto Restored = ControlState::restore(Current.snapshot());
  BOOST_REQUIRE(Restored.ok());
  BOOST_TEST(Restored->usage().at({7}).Reported);
}

BOOST_AUTO_TEST_CASE(OldWindowsAreDropped) {
  ControlState Current;
  for (std::uint64_t I = 1; I <= 1000; ++I)
    Current.apply(RecordUsageCommand{{I}, {}});
  BOOST_TEST(Current.usage().size() <= ControlState::RetainedWindows + 1);
}

BOOST_AUTO_TEST_CASE(TheEndOfAnIncarnationIsKeptUntilALaterOneEnds) {
  ControlState Current;
  const auto End = [](const std::string &Id, std::uint64_t StartedAt,
                      Membership::ServerPhase Phase) {
    return Membership::ServerEnd{Common::BackendServerId(Id), StartedAt, Phase};
  };
  using Phase = Membership::ServerPhase;
  Current.apply(RecordServerEndsCommand{{End("a", 5, Phase::Gone)}});
  BOOST_TEST(Current.hasServerEnd(End("a", 5, Phase::Leaving)));
  BOOST_TEST(Current.hasServerEnd(End("a", 4, Phase::Gone)));
  BOOST_TEST(!Current.hasServerEnd(End("a", 6, Phase::Leaving)));
  BOOST_TEST(!Current.hasServerEnd(End("b", 5, Phase::Leaving)));
  // Earlier phases and incarnations change nothing.
  Current.apply(RecordServerEndsCommand{
      {End("a", 5, Phase::Leaving), End("a", 4, Phase::Gone)}});
  BOOST_TEST(Current.hasServerEnd(End("a", 5, Phase::Gone)));
  Current.apply(RecordServerEndsCommand{{End("a", 6, Phase::Leaving)}});
  BOOST_TEST(!Current.hasServerEnd(End("a", 6, Phase::Gone)));
  BOOST_TEST(Current.serverEnds().size() == 1u);
}

BOOST_AUTO_TEST_CASE(TheOldestEndsOfServersAreDropped) {
  ControlState Current;
  const auto End = [](std::size_t Number) {
    return Membership::ServerEnd{
        Common::BackendServerId(std::to_string(Number)), 1};
  };
  for (std::size_t I = 0; I < ControlState::MaxServerEnds + 10; ++I)
    Current.apply(RecordServerEndsCommand{{End(I)}});
  BOOST_TEST(Current.serverEnds().size() == ControlState::MaxServerEnds);
  BOOST_TEST(!Current.hasServerEnd(End(9)));
  BOOST_TEST(Current.hasServerEnd(End(10)));
}

// A daemon of the previous release, which knows no ends, reads the snapshots of
// a group until its protocol level is raised, and the other way round.
BOOST_AUTO_TEST_CASE(SnapshotsOfOtherReleasesAreRead) {
  ControlState Current;
  Current.apply(DeclareCommand{{4}, "four"});
  Current.apply(RefuseCommand{{1, 2}});
  const std::string Previous = Network::encode(std::make_pair(
      std::make_pair(Current.declarationVersion(), Current.document()),
      std::make_pair(Current.usage(), Current.refusals())));
  BOOST_TEST((Current.snapshot() == Previous));
  const auto Restored = ControlState::restore(Previous);
  BOOST_REQUIRE(Restored.ok());
  BOOST_TEST(Restored->refusals().size() == 1u);
  BOOST_TEST(Restored->protocolLevel().Value == 0u);
  Current.apply(RaiseProtocolLevelCommand{ServerEndsLevel});
  const Membership::ServerEnd End{Common::BackendServerId("a"), 5};
  Current.apply(RecordServerEndsCommand{{End}});
  const auto Raised = ControlState::restore(Current.snapshot());
  BOOST_REQUIRE(Raised.ok());
  BOOST_CHECK(Raised->protocolLevel() == ServerEndsLevel);
  BOOST_TEST(Raised->hasServerEnd(End));
  BOOST_TEST(Raised->document() == "four");
  // A level is never lowered.
  Current.apply(RaiseProtocolLevelCommand{{0}});
  BOOST_CHECK(Current.protocolLevel() == ServerEndsLevel);
}

BOOST_AUTO_TEST_CASE(ASmallerRefusalReplacesLargerOnes) {
  ControlState Current;
  Current.apply(RefuseCommand{{1, 2}});
  Current.apply(ProbeRefusalCommand{{1, 2}, 0});
  // A repeated proposal is no second probe.
  Current.apply(ProbeRefusalCommand{{1, 2}, 0});
  Current.apply(RefuseCommand{{1, 2, 3}});
  BOOST_TEST(Current.refusals().size() == 1u);
  Current.apply(RefuseCommand{{2}});
  BOOST_REQUIRE(Current.refusals().size() == 1u);
  BOOST_TEST((Current.refusals()[0].Causes == Common::CauseSet{2}));
  BOOST_TEST(Current.refusals()[0].Probes == 1u);
  const auto Restored = ControlState::restore(Current.snapshot());
  BOOST_REQUIRE(Restored.ok());
  BOOST_TEST(Restored->refusals().size() == 1u);
  Current.apply(EndRefusalCommand{{1, 2}});
  BOOST_TEST(Current.refusals().size() == 1u);
  Current.apply(EndRefusalCommand{{2}});
  BOOST_TEST(Current.refusals().empty());
}

BOOST_AUTO_TEST_CASE(TheOldestRefusalsAreDropped) {
  ControlState Current;
  for (Common::CauseHash I = 1; I <= 1000; ++I)
    Current.apply(RefuseCommand{{I}});
  BOOST_REQUIRE(Current.refusals().size() == ControlState::MaxRefusals);
  BOOST_TEST((Current.refusals().back().Causes == Common::CauseSet{1000}));
}

// An upgraded daemon reads what its predecessor, without refusals, has stored.
BOOST_AUTO_TEST_CASE(ASnapshotWithoutRefusalsIsRestored) {
  ControlState Current;
  Current.apply(DeclareCommand{{4}, "four"});
  const std::string Snapshot = Current.snapshot();
  const std::string NoRefusals = Network::encode(std::vector<Refusal>());
  const auto Restored = ControlState::restore(
      Snapshot.substr(0, Snapshot.size() - NoRefusals.size()));
  BOOST_REQUIRE(Restored.ok());
  BOOST_TEST(Restored->document() == "four");
  BOOST_TEST(Restored->refusals().empty());
}

BOOST_AUTO_TEST_CASE(AnInvalidSnapshotIsRejected) {
  BOOST_TEST(!ControlState::restore("x").ok());
  BOOST_TEST(ControlState::restore("").ok());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ClockMedian_)

BOOST_AUTO_TEST_CASE(AMinorityOfSteppedClocksHasNoEffect) {
  ClockMedian Clocks;
  const Common::TimePoint Now(50s);
  for (int I = 0; I < 9; ++I) {
    const std::uint64_t Stepped = I < 4 ? 3'000 : 0;
    Clocks.addReading(Common::DaemonId("d" + std::to_string(I)),
                      Common::WallTime{1'000'000 - Stepped}, Now);
  }
  BOOST_TEST(Clocks.timeAt(Now).Milliseconds == 1'000'000u);
  BOOST_TEST(Clocks.timeAt(Now + 2s).Milliseconds == 1'002'000u);
  BOOST_TEST(Clocks.timeAt(Now + 10s).Milliseconds == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(UsageLedger_)

BOOST_AUTO_TEST_CASE(RepeatedAndReorderedCountsAreCountedOncePerIncarnation) {
  UsageAggregator Usage;
  const Common::DaemonId Entry("e1");
  const Configuration::TeamName Mill("mill");
  const UsageWindow Window{5};
  Usage.update(Entry, {1}, {{Window, Mill, 3}});
  Usage.update(Entry, {1}, {{Window, Mill, 7}});
  Usage.update(Entry, {1}, {{Window, Mill, 7}});
  Usage.update(Entry, {1}, {{Window, Mill, 4}});
  BOOST_TEST(Usage.total(Window).at(Mill) == 7u);
  Usage.update(Entry, {2}, {{Window, Mill, 2}});
  Usage.update(Common::DaemonId("e2"), {1}, {{Window, Mill, 1}});
  BOOST_TEST(Usage.total(Window).at(Mill) == 10u);
  Usage.removeBefore({6});
  BOOST_TEST(Usage.total(Window).empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
