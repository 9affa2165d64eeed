#include "Consensus/VoterPlan.h"

namespace Consensus {

std::optional<VoterChange>
planVoterChange(const Membership &Group, const ReplicaId &Leader,
                const std::map<ReplicaId, MemberHealth> &Conditions,
                const VoterPlanOptions &Options) {
  std::size_t Sound = 0;
  std::optional<ReplicaId> LostVoter;
  std::optional<ReplicaId> LostLearner;
  std::optional<ReplicaId> Successor;
  for (const Member &Each : Group.members()) {
    const auto Found = Conditions.find(Each.Id);
    const MemberHealth Known =
        Found == Conditions.end() ? MemberHealth() : Found->second;
    const bool Own = Each.Id == Leader;
    if (Each.Role == Role::Voter) {
      const bool Lost = !Own && (Known.Replaced || Known.SinceLastContact >
                                                       Options.VoterGoneAfter);
      if (Lost)
        LostVoter = Each.Id;
      else
        ++Sound;
      continue;
    }
    if (Known.Replaced || Known.SinceLastContact > Options.LearnerGoneAfter)
      LostLearner = Each.Id;
    else if (Known.CaughtUp && Known.SinceLastContact < Options.AliveWithin &&
             Group.withPromoted(Each.Id).ok() && !Successor)
      Successor = Each.Id;
  }
  if (Sound < Options.TargetVoters && Successor)
    return VoterChange{VoterChange::ChangeKind::Promote, *Successor};
  if (LostVoter && Sound >= Options.TargetVoters &&
      Group.withRemoved(*LostVoter).ok())
    return VoterChange{VoterChange::ChangeKind::Remove, *LostVoter};
  if (LostLearner)
    return VoterChange{VoterChange::ChangeKind::Remove, *LostLearner};
  return std::nullopt;
}

} // namespace Consensus
