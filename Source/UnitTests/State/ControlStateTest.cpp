#include "State/ControlState.h"

#include "State/ClockMedian.h"
#include "State/UsageLedger.h"

#include <boost/test/unit_test.hpp>

namespace UnitTests {

namespace {

using namespace State;
using namespace std::chrono_literals;

} // namespace

BOOST_AUTO_TEST_SUITE(ControlState_)

BOOST_AUTO_TEST_CASE(TheHighestVersionStandsAndItsContentNeverChanges) {
  ControlState Of;
  const auto Declare = [&Of](std::uint64_t Version, const char *Text) {
    Of.apply(DeclareCommand{{Version}, Text});
  };
  Declare(4, "four");
  Declare(4, "other");
  Declare(3, "three");
  BOOST_TEST(Of.document() == "four");
  Declare(9, "nine");
  BOOST_TEST(Of.document() == "nine");
  BOOST_TEST(Of.version().Value == 9u);
}

BOOST_AUTO_TEST_CASE(TheFirstCountsOfAWindowStand) {
  ControlState Of;
  const Configuration::TeamName Mill("mill");
  Of.apply(FixUsageCommand{{7}, {{Mill, 5}}});
  Of.apply(FixUsageCommand{{7}, {{Mill, 6}}});
  BOOST_TEST(Of.usage().at({7}).Counts.at(Mill) == 5u);
  BOOST_TEST(!Of.usage().at({7}).Reported);
  Of.apply(UsageReportedCommand{{7}});
  BOOST_TEST(Of.usage().at({7}).Reported);
  const auto Again = ControlState::restore(Of.snapshot());
  BOOST_REQUIRE(Again.ok());
  BOOST_TEST(Again->usage().at({7}).Reported);
}

BOOST_AUTO_TEST_CASE(OldWindowsAreForgotten) {
  ControlState Of;
  for (std::uint64_t I = 1; I <= 1000; ++I)
    Of.apply(FixUsageCommand{{I}, {}});
  BOOST_TEST(Of.usage().size() <= ControlState::KeptWindows + 1);
}

BOOST_AUTO_TEST_CASE(ASnapshotThatIsNoneIsRefused) {
  BOOST_TEST(!ControlState::restore("x").ok());
  BOOST_TEST(ControlState::restore("").ok());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ClockMedian_)

BOOST_AUTO_TEST_CASE(AMinorityOfSteppedClocksChangesNothing) {
  ClockMedian Clocks;
  const Common::TimePoint Now(50s);
  for (int I = 0; I < 9; ++I) {
    const std::uint64_t Stepped = I < 4 ? 3'000 : 0;
    Clocks.reading(Common::DaemonId("d" + std::to_string(I)),
                   Common::WallTime{1'000'000 - Stepped}, Now);
  }
  BOOST_TEST(Clocks.at(Now).Milliseconds == 1'000'000u);
  BOOST_TEST(Clocks.at(Now + 2s).Milliseconds == 1'002'000u);
  BOOST_TEST(Clocks.at(Now + 10s).Milliseconds == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(UsageLedger_)

BOOST_AUTO_TEST_CASE(RepeatsReorderingAndRestartsCountOnce) {
  UsageLedger Ledger;
  const Common::DaemonId Entry("e1");
  const Configuration::TeamName Mill("mill");
  const UsageWindow At{5};
  Ledger.counted(Entry, {1}, {{At, Mill, 3}});
  Ledger.counted(Entry, {1}, {{At, Mill, 7}});
  Ledger.counted(Entry, {1}, {{At, Mill, 7}});
  Ledger.counted(Entry, {1}, {{At, Mill, 4}});
  BOOST_TEST(Ledger.total(At).at(Mill) == 7u);
  Ledger.counted(Entry, {2}, {{At, Mill, 2}});
  Ledger.counted(Common::DaemonId("e2"), {1}, {{At, Mill, 1}});
  BOOST_TEST(Ledger.total(At).at(Mill) == 10u);
  Ledger.forgetBefore({6});
  BOOST_TEST(Ledger.total(At).empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
