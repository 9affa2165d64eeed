#include "Consensus/VoterPlan.h"

#include <boost/test/unit_test.hpp>

namespace UnitTests {

namespace {

using namespace Consensus;
using namespace std::chrono_literals;

Member member(const char *Id, Role Is) {
  return {ReplicaId(Id), {"10.0.0.1", 1}, Common::DataCentreId(Id), Is};
}

Membership group(std::vector<Member> Members) {
  auto Made = Membership::create(std::move(Members));
  BOOST_REQUIRE(Made.ok());
  return *Made;
}

const MemberHealth Sound{10ms, true, false};
const MemberHealth Behind{10ms, false, false};
const MemberHealth Silent{7s, true, false};
const MemberHealth Wiped{10ms, true, true};

std::string planned(const Membership &Of,
                    const std::map<ReplicaId, MemberHealth> &Known) {
  const auto Next = planVoterChange(Of, ReplicaId("a"), Known, {});
  if (!Next)
    return "none";
  return (Next->Kind == VoterChange::ChangeKind::Promote ? "promote "
                                                         : "remove ") +
         Next->Id.str();
}

} // namespace

BOOST_AUTO_TEST_SUITE(VoterPlan_)

BOOST_AUTO_TEST_CASE(ALostVoterIsReplacedFirstAndRemovedThen) {
  const ReplicaId B("b");
  const ReplicaId C("c");
  const ReplicaId D("d");
  const auto Four =
      group({member("a", Role::Voter), member("b", Role::Voter),
             member("c", Role::Voter), member("d", Role::Learner)});
  BOOST_TEST(planned(Four, {{B, Sound}, {C, Sound}, {D, Sound}}) == "none");
  for (const MemberHealth &Lost : {Silent, Wiped})
    BOOST_TEST(planned(Four, {{B, Lost}, {C, Sound}, {D, Sound}}) ==
               "promote d");
  BOOST_TEST(planned(Four, {{B, Silent}, {C, Sound}, {D, Behind}}) == "none");
  const auto Grown =
      group({member("a", Role::Voter), member("b", Role::Voter),
             member("c", Role::Voter), member("d", Role::Voter)});
  BOOST_TEST(planned(Grown, {{B, Wiped}, {C, Sound}, {D, Sound}}) ==
             "remove b");
}

BOOST_AUTO_TEST_CASE(ALostLearnerIsDropped) {
  const auto Group =
      group({member("a", Role::Voter), member("b", Role::Voter),
             member("c", Role::Voter), member("d", Role::Learner)});
  BOOST_TEST(planned(Group, {{ReplicaId("b"), Sound},
                             {ReplicaId("c"), Sound},
                             {ReplicaId("d"), Wiped}}) == "remove d");
}

BOOST_AUTO_TEST_CASE(TheLeaderNeverRemovesItself) {
  const auto Group = group({member("a", Role::Voter), member("b", Role::Voter),
                            member("c", Role::Voter)});
  BOOST_TEST(planned(Group, {{ReplicaId("a"), Wiped},
                             {ReplicaId("b"), Sound},
                             {ReplicaId("c"), Sound}}) == "none");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
