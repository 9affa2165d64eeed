#include "FaultTests/HistoryChecker.h"

#include <boost/test/unit_test.hpp>

namespace FaultTests {

namespace {

using Outcome = CallerEvent::Outcome;

History goodHistory() {
  History Observed;
  Observed.Events = {{"yard/k1", Outcome::Unknown, ""},
                     {"yard/k1", Outcome::Answered, "k1 done"},
                     {"yard/k1", Outcome::Answered, "k1 done"},
                     {"yard/k2", Outcome::NotExecuted, ""}};
  Observed.Runs = {{"yard/k1", 1}};
  Observed.Versions = {{"e1", 1}, {"e2", 2}, {"e1", 2}};
  Observed.AcceptedVersions = {1, 2};
  Observed.FinalVersions = {{"e1", 2}, {"e2", 2}};
  return Observed;
}

} // namespace

BOOST_AUTO_TEST_SUITE(HistoryCheckerTest)

BOOST_AUTO_TEST_CASE(goodHistoryPasses) {
  BOOST_TEST(findViolations(goodHistory()).empty());
}

BOOST_AUTO_TEST_CASE(eachViolationIsCaught) {
  std::vector<History> Bad(7, goodHistory());
  Bad[0].Runs["yard/k1"] = 2;
  Bad[1].Runs["yard/k2"] = 1;
  Bad[2].Runs.clear();
  Bad[3].Events.push_back({"yard/k1", Outcome::Answered, "k1 other"});
  Bad[4].Events.push_back({"yard/k1", Outcome::Answered, "k9 done"});
  Bad[5].Versions.push_back({"e2", 1});
  Bad[6].FinalVersions["e1"] = 1;
  for (std::size_t I = 0; I < Bad.size(); ++I)
    BOOST_TEST(!findViolations(Bad[I]).empty(), "history " << I);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace FaultTests
