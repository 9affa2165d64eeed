#ifndef SYCAMOREREACH_CONSENSUS_VOTERPLAN_H
#define SYCAMOREREACH_CONSENSUS_VOTERPLAN_H

#include "Common/Time.h"
#include "Consensus/Membership.h"

#include <map>
#include <optional>

namespace Consensus {

/// What the leader knows of a member's condition.
struct MemberHealth {
  /// Since it was last heard.
  Common::Duration SinceLastContact{};
  /// Holds all that is committed.
  bool CaughtUp = false;
  /// Another identity answers at its address: its disk is lost.
  bool Replaced = false;
};

struct VoterPlanOptions {
  /// Voters to keep: 2f+1 to bear the loss of f.
  std::size_t TargetVoters = 3;
  /// A voter that is silent for longer is replaced.
  Common::Duration VoterGoneAfter = std::chrono::seconds(6);
  /// A learner that is silent for longer is dropped.
  Common::Duration LearnerGoneAfter = std::chrono::seconds(30);
  /// A member heard within this time may become a voter.
  Common::Duration AliveWithin = std::chrono::milliseconds(1500);
};

struct VoterChange {
  enum class ChangeKind { Promote, Remove };
  ChangeKind Kind = ChangeKind::Promote;
  ReplicaId Id;
};

/// The next single change towards the wanted voters, or none. A lost voter is
/// removed only after its place was filled, where a learner can fill it.
std::optional<VoterChange>
planVoterChange(const Membership &Group, const ReplicaId &Leader,
                const std::map<ReplicaId, MemberHealth> &Conditions,
                const VoterPlanOptions &Options);

} // namespace Consensus

#endif
