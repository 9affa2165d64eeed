#ifndef SYCAMOREREACH_CONSENSUS_VOTERPLAN_H
#define SYCAMOREREACH_CONSENSUS_VOTERPLAN_H

#include "Common/Time.h"
#include "Consensus/Replica.h"

#include <map>
#include <optional>

namespace Consensus {

/// What the leader knows about a member.
struct MemberHealth {
  /// Time since the last message from the member.
  Common::Duration SinceLastContact{};
  /// Whether the member's log contains all committed entries.
  bool CaughtUp = false;
  /// Another replica identity now uses the member's address, so the member's
  /// data folder is lost.
  bool IdentityLost = false;
  /// The member is about to stop, and may not come back.
  bool Leaving = false;
};

/// The replica that last asked to join from each address.
using LatestReplicas = std::map<Network::Address, ReplicaId>;

/// The health of the other members, as observed by Leader, which leads since
/// LeadingSince.
std::map<ReplicaId, MemberHealth> observeHealth(const Replica &Leader,
                                                Common::TimePoint LeadingSince,
                                                const LatestReplicas &Latest,
                                                Common::TimePoint Now);

struct VoterPlanOptions {
  /// Number of voters to maintain: 2f+1 to tolerate the loss of f.
  std::size_t TargetVoters = 3;
  /// A voter without contact for longer is lost.
  Common::Duration VoterTimeout = std::chrono::seconds(6);
  /// A learner without contact for longer is removed.
  Common::Duration LearnerTimeout = std::chrono::seconds(30);
  /// A learner is promoted only if its last message is more recent than this.
  Common::Duration MaxPromotionContactAge = std::chrono::milliseconds(1500);

  /// Options for a group that tolerates the loss of ToleratedHosts. After
  /// CatchUpTime a host that replaces a lost one counts as its equal.
  static VoterPlanOptions create(std::size_t ToleratedHosts,
                                 Common::Duration CatchUpTime);
};

struct VoterChange {
  enum class ChangeKind { Promote, Remove };
  ChangeKind Kind = ChangeKind::Promote;
  ReplicaId Id;
};

/// Returns the next single membership change towards the target number of
/// voters, if one is needed. A lost voter is removed only while at least
/// TargetVoters others are healthy. The leader is never removed.
std::optional<VoterChange>
planVoterChange(const Membership &Members, const ReplicaId &Leader,
                const std::map<ReplicaId, MemberHealth> &Health,
                const VoterPlanOptions &Options);

} // namespace Consensus

#endif
