#include "Consensus/VoterPlan.h"

#include <algorithm>

namespace Consensus {

std::map<ReplicaId, MemberHealth> observeHealth(const Replica &Leader,
                                                Common::TimePoint LeadingSince,
                                                const LatestReplicas &Latest,
                                                Common::TimePoint Now) {
  std::map<ReplicaId, MemberHealth> Result;
  for (const Member &Each : Leader.membership().members()) {
    const auto Peer = Leader.peerProgress(Each.Id);
    if (!Peer)
      continue;
    MemberHealth Health;
    Health.SinceLastContact = Now - std::max(Peer->LastContact, LeadingSince);
    Health.CaughtUp = Peer->MatchIndex >= Leader.commitIndex();
    const auto LatestReplica = Latest.find(Each.Address);
    Health.IdentityLost =
        LatestReplica != Latest.end() && LatestReplica->second != Each.Id;
    Result[Each.Id] = Health;
  }
  return Result;
}

VoterPlanOptions VoterPlanOptions::create(std::size_t ToleratedHosts,
                                          Common::Duration CatchUpTime) {
  VoterPlanOptions Result;
  Result.TargetVoters = 2 * ToleratedHosts + 1;
  // The rest is left for an election and for the membership changes.
  Result.VoterTimeout = CatchUpTime / 2;
  return Result;
}

std::optional<VoterChange>
planVoterChange(const Membership &Members, const ReplicaId &Leader,
                const std::map<ReplicaId, MemberHealth> &Health,
                const VoterPlanOptions &Options) {
  std::size_t HealthyVoters = 0;
  std::optional<ReplicaId> LostVoter;
  std::optional<ReplicaId> LostLearner;
  std::optional<ReplicaId> PromotableLearner;
  for (const Member &Each : Members.members()) {
    const auto Found = Health.find(Each.Id);
    const MemberHealth Observed =
        Found == Health.end() ? MemberHealth() : Found->second;
    const bool IsLeader = Each.Id == Leader;
    if (Each.Role == Role::Voter) {
      const bool Lost =
          !IsLeader && (Observed.IdentityLost || Observed.Leaving ||
                        Observed.SinceLastContact > Options.VoterTimeout);
      if (Lost)
        LostVoter = Each.Id;
      else
        ++HealthyVoters;
      continue;
    }
    if (Observed.IdentityLost ||
        Observed.SinceLastContact > Options.LearnerTimeout)
      LostLearner = Each.Id;
    else if (Observed.CaughtUp &&
             Observed.SinceLastContact < Options.MaxPromotionContactAge &&
             Members.withPromoted(Each.Id).ok() && !PromotableLearner)
      PromotableLearner = Each.Id;
  }
  if (HealthyVoters < Options.TargetVoters && PromotableLearner)
    return VoterChange{VoterChange::ChangeKind::Promote, *PromotableLearner};
  if (LostVoter && HealthyVoters >= Options.TargetVoters &&
      Members.withRemoved(*LostVoter).ok())
    return VoterChange{VoterChange::ChangeKind::Remove, *LostVoter};
  if (LostLearner)
    return VoterChange{VoterChange::ChangeKind::Remove, *LostLearner};
  return std::nullopt;
}

} // namespace Consensus
