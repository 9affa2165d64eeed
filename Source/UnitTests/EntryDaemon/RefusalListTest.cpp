#include "EntryDaemon/RefusalList.h"

#include <boost/test/unit_test.hpp>

namespace UnitTests {

namespace {

using namespace std::chrono_literals;
using EntryDaemon::RefusalList;
using Decision = RefusalList::Decision;

} // namespace

BOOST_AUTO_TEST_SUITE(RefusalList_)

BOOST_AUTO_TEST_CASE(OnlyRequestsWithAllCausesAreRefused) {
  RefusalList List(Common::TimePoint(1s));
  List.replace({{5, 7}, {20}}, Common::TimePoint(1s));
  const Common::TimePoint Now(2s);
  BOOST_TEST((List.check({5, 6, 7}, Now) == Decision::Refused));
  BOOST_TEST((List.check({5, 6}, Now) == Decision::Allowed));
  BOOST_TEST((List.check({20}, Now) == Decision::Refused));
  BOOST_TEST(List.takeUsed().size() == 2u);
  BOOST_TEST(List.takeUsed().empty());
  // A refusal ends only by the leader's answer.
  BOOST_TEST((List.check({20}, Common::TimePoint(24h)) == Decision::Refused));
  List.replace({}, Common::TimePoint(24h));
  BOOST_TEST((List.check({20}, Common::TimePoint(24h)) == Decision::Allowed));
}

BOOST_AUTO_TEST_CASE(AProbeLetsOneRequestThrough) {
  RefusalList List(Common::TimePoint(1s));
  List.replace({{5}, {6}}, Common::TimePoint(1s));
  List.grantProbes({{5}}, Common::TimePoint(1s));
  // A request that another refusal concerns too is no probe.
  BOOST_TEST((List.check({5, 6}, Common::TimePoint(2s)) == Decision::Refused));
  BOOST_TEST((List.check({5}, Common::TimePoint(2s)) == Decision::Probe));
  BOOST_TEST((List.check({5}, Common::TimePoint(2s)) == Decision::Refused));
  List.grantProbes({{5}}, Common::TimePoint(3s));
  BOOST_TEST((List.check({5}, Common::TimePoint(1h)) == Decision::Refused));
}

BOOST_AUTO_TEST_CASE(WithoutALeaderOwnEvidenceCounts) {
  RefusalList List(Common::TimePoint(1s));
  List.replace({{5}}, Common::TimePoint(1s));
  for (std::uint64_t I = 1; I <= 3; ++I)
    List.ownEvidence().recordLostRun({Common::BackendServerId("s"), {I}},
                                     {8, 100 + I},
                                     Common::TimePoint(I * 200ms));
  BOOST_TEST((List.check({8}, Common::TimePoint(2500ms)) == Decision::Allowed));
  BOOST_TEST((List.check({8}, Common::TimePoint(4s)) == Decision::Refused));
  BOOST_TEST((List.check({5}, Common::TimePoint(4s)) == Decision::Refused));
  BOOST_TEST((List.check({9}, Common::TimePoint(4s)) == Decision::Allowed));
  // An answer that went on acquits it, and a leader decides with more evidence.
  List.ownEvidence().recordSurvival(8, Common::TimePoint(3s));
  BOOST_TEST((List.check({8}, Common::TimePoint(5s)) == Decision::Allowed));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
