#include "Consensus/VoterPlan.h"

namespace Consensus {

std::optional<VoterChange>
planVoters(const Membership &Group, const ReplicaId &Leader,
           const std::map<ReplicaId, MemberCondition> &Conditions,
           const VoterPlanOptions &Options) {
  std::size_t Sound = 0;
  std::optional<ReplicaId> LostVoter;
  std::optional<ReplicaId> LostLearner;
  std::optional<ReplicaId> Successor;
  for (const Member &Each : Group.members()) {
    const auto Found = Conditions.find(Each.Id);
    const MemberCondition Known =
        Found == Conditions.end() ? MemberCondition() : Found->second;
    const bool Own = Each.Id == Leader;
    if (Each.Role == Role::Voter) {
      const bool Lost =
          !Own && (Known.Replaced || Known.Silence > Options.VoterGoneAfter);
      if (Lost)
        LostVoter = Each.Id;
      else
        ++Sound;
      continue;
    }
    if (Known.Replaced || Known.Silence > Options.LearnerGoneAfter)
      LostLearner = Each.Id;
    else if (Known.CaughtUp && Known.Silence < Options.AliveWithin &&
             Group.withPromoted(Each.Id).ok() && !Successor)
      Successor = Each.Id;
  }
  if (Sound < Options.Voters && Successor)
    return VoterChange{VoterChange::Kind::Promote, *Successor};
  if (LostVoter && Sound >= Options.Voters &&
      Group.withRemoved(*LostVoter).ok())
    return VoterChange{VoterChange::Kind::Remove, *LostVoter};
  if (LostLearner)
    return VoterChange{VoterChange::Kind::Remove, *LostLearner};
  return std::nullopt;
}

} // namespace Consensus
