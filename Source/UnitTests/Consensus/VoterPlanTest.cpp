#include "Consensus/VoterPlan.h"

#include <boost/test/unit_test.hpp>

namespace UnitTests {

namespace {

using namespace Consensus;
using namespace std::chrono_literals;

Member member(const char *Id, Role MemberRole) {
  return {ReplicaId(Id), {"10.0.0.1", 1}, Common::DataCentreId(Id), MemberRole};
}

Membership group(std::vector<Member> Members) {
  auto Created = Membership::create(std::move(Members));
  BOOST_REQUIRE(Created.ok());
  return *Created;
}

const MemberHealth Healthy{10ms, true, false};
const MemberHealth LogBehind{10ms, false, false};
const MemberHealth Silent{7s, true, false};
const MemberHealth DiskLost{10ms, true, true};
const MemberHealth Leaving{10ms, true, false, true};

std::string plannedChange(const Membership &Members,
                          const std::map<ReplicaId, MemberHealth> &Health) {
  const auto Change = planVoterChange(Members, ReplicaId("a"), Health, {});
  if (!Change)
    return "none";
  return (Change->Kind == VoterChange::ChangeKind::Promote ? "promote "
                                                           : "remove ") +
         Change->Id.str();
}

} // namespace

BOOST_AUTO_TEST_SUITE(VoterPlanTest)

BOOST_AUTO_TEST_CASE(lostVoterIsReplacedBeforeRemoval) {
  const ReplicaId B("b");
  const ReplicaId C("c");
  const ReplicaId D("d");
  const auto WithLearner =
      group({member("a", Role::Voter), member("b", Role::Voter),
             member("c", Role::Voter), member("d", Role::Learner)});
  BOOST_TEST(
      plannedChange(WithLearner, {{B, Healthy}, {C, Healthy}, {D, Healthy}}) ==
      "none");
  for (const MemberHealth &Lost : {Silent, DiskLost, Leaving})
    BOOST_TEST(
        plannedChange(WithLearner, {{B, Lost}, {C, Healthy}, {D, Healthy}}) ==
        "promote d");
  BOOST_TEST(
      plannedChange(WithLearner, {{B, Silent}, {C, Healthy}, {D, LogBehind}}) ==
      "none");
  const auto FourVoters =
      group({member("a", Role::Voter), member("b", Role::Voter),
             member("c", Role::Voter), member("d", Role::Voter)});
  BOOST_TEST(
      plannedChange(FourVoters, {{B, DiskLost}, {C, Healthy}, {D, Healthy}}) ==
      "remove b");
}

BOOST_AUTO_TEST_CASE(lostLearnerIsRemoved) {
  const auto ThreeVoters =
      group({member("a", Role::Voter), member("b", Role::Voter),
             member("c", Role::Voter), member("d", Role::Learner)});
  BOOST_TEST(plannedChange(ThreeVoters, {{ReplicaId("b"), Healthy},
                                         {ReplicaId("c"), Healthy},
                                         {ReplicaId("d"), DiskLost}}) ==
             "remove d");
}

BOOST_AUTO_TEST_CASE(leaderNeverRemovesItself) {
  const auto ThreeVoters =
      group({member("a", Role::Voter), member("b", Role::Voter),
             member("c", Role::Voter)});
  BOOST_TEST(plannedChange(ThreeVoters, {{ReplicaId("a"), DiskLost},
                                         {ReplicaId("b"), Healthy},
                                         {ReplicaId("c"), Healthy}}) == "none");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
