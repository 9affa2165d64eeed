#include "UnitTests/Consensus/SimulatedGroup.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace UnitTests {

namespace {

using namespace std::chrono_literals;

/// Runs until a replica may serve; false when none does within 5 s.
bool awaitLeader(SimulatedGroup &Group) {
  for (int I = 0; I < 200 && !Group.leader(); ++I)
    Group.run(25ms);
  return Group.leader().has_value();
}

void proposeMany(SimulatedGroup &Group, int Count, const std::string &Name) {
  for (int I = 0; I < Count; ++I) {
    Group.propose(Name + std::to_string(I));
    Group.run(5ms);
  }
  Group.run(200ms);
}

/// The running replicas, with the leader at Position if there is one.
std::vector<std::size_t> runningWithLeaderAt(SimulatedGroup &Group,
                                             std::size_t Position) {
  std::vector<std::size_t> Result;
  for (std::size_t I = 0; I < Group.size(); ++I)
    if (Group.running(I))
      Result.push_back(I);
  const auto Leading = Group.leader();
  if (Leading && Position < Result.size())
    std::swap(*std::find(Result.begin(), Result.end(), *Leading),
              Result[Position]);
  return Result;
}

/// Replaces Tolerated hosts by empty ones. CatchUpTime after their start, as
/// many disks are lost right after an acknowledgement, and all others lose
/// power. Then the group must recover what was acknowledged.
void replaceHostsThenLoseDisks(std::uint64_t Seed, std::size_t Tolerated) {
  constexpr Common::Duration CatchUpTime = 4s;
  constexpr Common::Duration RecoveryTime = 12s;
  const std::string Label = "seed " + std::to_string(Seed) + ", " +
                            std::to_string(Tolerated) + " tolerated: ";
  Common::Random Randomness(Seed);
  SimulatedGroup Group(3, Seed);
  Group.keepVoters(Consensus::VoterPlanOptions::create(Tolerated, CatchUpTime));
  for (int I = 3; I < (Tolerated == 1 ? 4 : 5); ++I)
    Group.addHost();
  Group.run(10s);
  BOOST_REQUIRE_MESSAGE(Group.leader().has_value(), Label << "no leader");
  proposeMany(Group, 5, "before");
  const auto Lost = runningWithLeaderAt(Group, Randomness.below(2 * Tolerated));
  for (std::size_t I = 0; I < Tolerated; ++I)
    Group.remove(Lost[I]);
  Group.run(Randomness.between(0ms, 1s));
  for (std::size_t I = 0; I < Tolerated; ++I)
    Group.addHost();
  Group.run(CatchUpTime);
  for (int I = 0; I < 40 && Group.acknowledged().count("last") == 0; ++I) {
    Group.propose("last");
    Group.run(5ms);
  }
  BOOST_REQUIRE_MESSAGE(Group.acknowledged().count("last") == 1,
                        Label << "nothing acknowledged after the catch-up");
  const auto Running =
      runningWithLeaderAt(Group, Randomness.below(2 * Tolerated));
  for (const std::size_t Each : Running)
    Group.crash(Each);
  Group.run(1s);
  for (std::size_t I = 0; I < Running.size(); ++I) {
    if (I < Tolerated)
      Group.replaceDisk(Running[I]);
    else
      Group.restart(Running[I]);
  }
  Group.run(RecoveryTime);
  BOOST_REQUIRE_MESSAGE(Group.violation().empty(), Label << Group.violation());
  BOOST_REQUIRE_MESSAGE(Group.leader().has_value(),
                        Label << "no leader after the final loss");
  BOOST_REQUIRE_MESSAGE(Group.converged(),
                        Label << "an acknowledged entry is lost");
}

} // namespace

BOOST_AUTO_TEST_SUITE(ReplicaTest)

BOOST_AUTO_TEST_CASE(electsOneLeaderAndReplicates) {
  SimulatedGroup Group(3, 1);
  BOOST_REQUIRE(awaitLeader(Group));
  proposeMany(Group, 50, "p");
  Group.run(500ms);
  BOOST_TEST(Group.leaderCount() == 1u);
  BOOST_TEST(Group.acknowledged().size() >= 45u);
  BOOST_TEST(Group.converged());
  BOOST_TEST(Group.violation() == "");
}

BOOST_AUTO_TEST_CASE(singleVoterServes) {
  SimulatedGroup Group(1, 2);
  BOOST_REQUIRE(awaitLeader(Group));
  BOOST_TEST(Group.propose("only"));
  Group.run(50ms);
  BOOST_TEST(Group.acknowledged().count("only") == 1u);
}

BOOST_AUTO_TEST_CASE(staysSafeUnderRandomFaults) {
  constexpr std::uint64_t Seeds = 400;
  std::size_t Acknowledged = 0;
  std::uint64_t Terms = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    SimulatedGroup Group(Seed % 2 == 0 ? 3 : 5, Seed);
    for (int I = 0; I < 80; ++I) {
      Group.injectRandomFault();
      for (int J = 0; J < 10; ++J) {
        Group.propose(std::to_string(Seed) + "." + std::to_string(I) + "." +
                      std::to_string(J));
        Group.run(20ms);
      }
    }
    Group.clearFaults();
    Group.run(4s);
    BOOST_REQUIRE_MESSAGE(Group.violation().empty(),
                          "seed " << Seed << ": " << Group.violation());
    BOOST_REQUIRE_MESSAGE(Group.leaderCount() == 1u,
                          "seed " << Seed << ": no single leader");
    BOOST_REQUIRE_MESSAGE(
        Group.converged(),
        "seed " << Seed
                << ": an acknowledged payload is lost or replicas differ");
    Acknowledged += Group.acknowledged().size();
    Terms += Group.replica(*Group.leader()).term().Value;
  }
  // The faults must allow progress and force many elections, or the test
  // checks too little.
  BOOST_TEST(Acknowledged > 20 * Seeds);
  BOOST_TEST(Terms > 5 * Seeds);
  BOOST_TEST_MESSAGE(Acknowledged << " acknowledged, " << Terms << " terms");
}

BOOST_AUTO_TEST_CASE(pausedLeaderCannotServeAfterResume) {
  SimulatedGroup Group(3, 3);
  BOOST_REQUIRE(awaitLeader(Group));
  const std::size_t Old = *Group.leader();
  Group.pause(Old, 2s);
  Group.run(1900ms);
  const auto New = Group.leader();
  BOOST_REQUIRE(New.has_value());
  BOOST_TEST(*New != Old);
  Group.run(105ms);
  BOOST_TEST(!Group.replica(Old).canServe(Group.now()));
  const auto Refused = Group.replica(Old).propose(Group.now(), "stale");
  BOOST_TEST(!Refused.ok());
  BOOST_TEST(Group.violation() == "");
}

BOOST_AUTO_TEST_CASE(isolatedLeaderRejectsProposals) {
  SimulatedGroup Group(3, 4);
  BOOST_REQUIRE(awaitLeader(Group));
  const std::size_t Old = *Group.leader();
  Group.isolate(Old);
  Group.run(300ms);
  const auto Refused = Group.replica(Old).propose(Group.now(), "alone");
  BOOST_TEST(absl::IsUnavailable(Refused.status()));
  Group.run(700ms);
  BOOST_TEST((Group.replica(Old).state() != Consensus::Replica::State::Leader));
}

BOOST_AUTO_TEST_CASE(returningReplicaDoesNotForceElection) {
  SimulatedGroup Group(3, 5);
  BOOST_REQUIRE(awaitLeader(Group));
  const std::size_t Leader = *Group.leader();
  const auto Term = Group.replica(Leader).term();
  const std::size_t Other = (Leader + 1) % 3;
  Group.isolate(Other);
  Group.run(3s);
  Group.clearFaults();
  Group.run(1s);
  BOOST_TEST(Group.leader().value() == Leader);
  BOOST_TEST(Group.replica(Leader).term().Value == Term.Value);
}

BOOST_AUTO_TEST_CASE(leadershipTransferElectsAnotherVoter) {
  SimulatedGroup Group(3, 6);
  BOOST_REQUIRE(awaitLeader(Group));
  const std::size_t Old = *Group.leader();
  Group.replica(Old).transferLeadership(Group.now());
  Group.run(200ms);
  BOOST_REQUIRE(Group.leader().has_value());
  BOOST_TEST(*Group.leader() != Old);
  BOOST_TEST(Group.violation() == "");
}

BOOST_AUTO_TEST_CASE(learnerCatchesUpFromSnapshotBeforePromotion) {
  SimulatedGroup Group(3, 7);
  BOOST_REQUIRE(awaitLeader(Group));
  proposeMany(Group, 100, "a");
  const std::size_t Lost = (*Group.leader() + 1) % 3;
  const Consensus::ReplicaId LostId = Group.member(Lost).Id;
  for (std::size_t I = 0; I < 3; ++I)
    Group.compact(I);
  const std::size_t NewNode = Group.replaceDisk(Lost);
  Consensus::Replica &Leader = Group.replica(*Group.leader());
  BOOST_REQUIRE(Leader.addLearner(Group.now(), Group.member(NewNode)).ok());
  const auto TooEarly = Leader.promote(Group.now(), Group.member(NewNode).Id);
  BOOST_TEST(absl::IsFailedPrecondition(TooEarly.status()));
  Group.run(1s);
  BOOST_REQUIRE(Leader.promote(Group.now(), Group.member(NewNode).Id).ok());
  Group.run(500ms);
  BOOST_REQUIRE(Leader.remove(Group.now(), LostId).ok());
  Group.run(500ms);
  BOOST_TEST(Leader.membership().voterCount() == 3u);
  // The repaired group must tolerate the loss of another voter.
  const std::size_t Second = 3 - Lost - *Group.leader();
  Group.crash(Second);
  Group.run(1s);
  BOOST_REQUIRE(awaitLeader(Group));
  proposeMany(Group, 10, "b");
  BOOST_TEST(Group.converged());
  BOOST_TEST(Group.acknowledged().count("b9") == 1u);
  BOOST_TEST(Group.violation() == "");
}

BOOST_AUTO_TEST_CASE(replacedDiskDoesNotVote) {
  SimulatedGroup Group(3, 8);
  BOOST_REQUIRE(awaitLeader(Group));
  proposeMany(Group, 5, "a");
  const std::size_t Leader = *Group.leader();
  Group.replaceDisk((Leader + 1) % 3);
  Group.crash((Leader + 2) % 3);
  // Only one of three voters is left, and the replacement is no voter.
  Group.run(3s);
  BOOST_TEST(!Group.leader().has_value());
  BOOST_TEST(Group.violation() == "");
}

// Guards against acknowledged entries that no group can serve any more: hosts
// are lost for good, and once their successors have had their time as many
// disks are lost again, while all others lose power.
BOOST_AUTO_TEST_CASE(lossesAreToleratedAgainAfterCatchUpTime) {
  constexpr std::uint64_t Seeds = 40;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed)
    replaceHostsThenLoseDisks(Seed, 1 + Seed % 2);
}

// Guards against a replacement of several voters that is half done when the
// next losses come.
BOOST_AUTO_TEST_CASE(severalVotersAreReplacedInTime) {
  for (const std::uint64_t Seed :
       {649, 807, 1125, 1255, 1265, 1463, 2209, 2779})
    replaceHostsThenLoseDisks(Seed, 2);
}

// Guards against a loss of acknowledged entries while members change: a disk is
// lost amid other faults, which may stop more hosts than tolerated for a while.
BOOST_AUTO_TEST_CASE(disksAreReplacedUnderRandomFaults) {
  constexpr std::uint64_t Seeds = 30;
  constexpr Common::Duration CatchUpTime = 4s;
  std::size_t Acknowledged = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    const std::size_t Tolerated = 1 + Seed % 2;
    Common::Random Randomness(Seed);
    SimulatedGroup Group(3, Seed);
    Group.keepVoters(
        Consensus::VoterPlanOptions::create(Tolerated, CatchUpTime));
    for (int I = 3; I < (Tolerated == 1 ? 4 : 5); ++I)
      Group.addHost();
    Group.run(10s);
    for (int Round = 0; Round < 6; ++Round) {
      const int LossAt = static_cast<int>(Randomness.below(20));
      for (int I = 0; I < 20; ++I) {
        Group.injectRandomFault();
        for (int J = 0; J < 5; ++J) {
          Group.propose(std::to_string(Round) + "." + std::to_string(I) + "." +
                        std::to_string(J));
          Group.run(20ms);
        }
        if (I != LossAt)
          continue;
        const auto Running =
            runningWithLeaderAt(Group, Randomness.below(2 * Tolerated));
        for (std::size_t K = 0; K < std::min(Tolerated, Running.size()); ++K)
          Group.replaceDisk(Running[K]);
      }
      Group.clearFaults();
      Group.run(3s + CatchUpTime);
    }
    const std::string Label = "seed " + std::to_string(Seed) + ": ";
    BOOST_REQUIRE_MESSAGE(Group.violation().empty(),
                          Label << Group.violation());
    BOOST_REQUIRE_MESSAGE(Group.leader().has_value(), Label << "no leader");
    BOOST_REQUIRE_MESSAGE(Group.converged(),
                          Label << "an acknowledged payload is lost or "
                                   "replicas differ");
    Acknowledged += Group.acknowledged().size();
  }
  // The faults must allow progress, or the test checks too little.
  BOOST_TEST(Acknowledged > 100 * Seeds);
}

BOOST_AUTO_TEST_CASE(noDataCentreMayHoldAMajority) {
  const auto Read = [](const char *Text) {
    return *Consensus::Member::create(Text);
  };
  const auto Unbalanced = Consensus::Membership::create(
      {Read("a@10.0.0.1:1@east"), Read("b@10.0.0.2:1@east"),
       Read("c@10.0.0.3:1@west")});
  BOOST_TEST(absl::IsFailedPrecondition(Unbalanced.status()));
  const auto Balanced = Consensus::Membership::create(
      {Read("a@10.0.0.1:1@east"), Read("b@10.0.0.2:1@west"),
       Read("c@10.0.0.3:1@north")});
  BOOST_REQUIRE(Balanced.ok());
  const auto Duplicate = Balanced->withLearner(Read("a@10.0.0.4:1@south"));
  BOOST_TEST(absl::IsFailedPrecondition(Duplicate.status()));
}

BOOST_AUTO_TEST_CASE(messagesOfOtherGroupsAreIgnored) {
  SimulatedGroup Group(3, 9);
  BOOST_REQUIRE(awaitLeader(Group));
  Consensus::Replica &Leader = Group.replica(*Group.leader());
  Consensus::Message Foreign;
  Foreign.Group = Consensus::GroupId{99};
  Foreign.From = Consensus::ReplicaId("x");
  Foreign.To = Leader.self();
  Foreign.Term = Consensus::Term{1000};
  Foreign.Body = Consensus::AppendReply{};
  const auto Before = Leader.term();
  Leader.step(Group.now(), Foreign);
  BOOST_TEST(Leader.term().Value == Before.Value);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
