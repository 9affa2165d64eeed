#ifndef SYCAMOREREACH_CONSENSUS_REPLICA_H
#define SYCAMOREREACH_CONSENSUS_REPLICA_H

#include "Common/Random.h"
#include "Common/Time.h"
#include "Consensus/Messages.h"
#include "Consensus/ReplicatedLog.h"

#include <absl/status/statusor.h>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Consensus {

/// Protocol time-outs, measured on the monotonic clock.
struct ReplicaTiming {
  Common::Duration HeartbeatInterval = std::chrono::milliseconds(60);
  /// A replica that hears from no leader for a random time in this range
  /// starts an election.
  Common::Duration ElectionTimeoutMin = std::chrono::milliseconds(300);
  Common::Duration ElectionTimeoutMax = std::chrono::milliseconds(600);
  /// Duration of the leader lease. It starts at the send time of the latest
  /// requests that a quorum has answered. The difference to ElectionTimeoutMin
  /// is the tolerated clock drift.
  Common::Duration LeaseDuration = std::chrono::milliseconds(240);
};

struct ReplicaOptions {
  GroupId Group;
  ReplicaId Self;
  ReplicaTiming Timing;
  std::uint64_t Seed = 0;
};

/// The state that was loaded from disk at start-up.
struct PersistentState {
  HardState Hard;
  Snapshot BaseSnapshot;
  std::vector<LogEntry> Entries;
};

/// Output of a Replica. The owner must perform it in the order of the members.
struct Actions {
  /// Messages that may be sent before the writes are synced.
  std::vector<Message> SendImmediately;
  /// Must be written and synced; the owner then calls Replica::markPersisted.
  std::optional<HardState> SaveHardState;
  /// Replaces the log and the state machine. Must be written before
  /// SaveEntries.
  std::optional<Snapshot> InstallSnapshot;
  /// To append. An entry whose index already exists replaces that entry and
  /// all later ones.
  std::vector<LogEntry> SaveEntries;
  /// Messages that must not be sent before the writes are synced.
  std::vector<Message> SendAfterSync;
  /// Committed entries that the state machine applies, in order.
  std::vector<LogEntry> Apply;

  bool needsSync() const {
    return this->SaveHardState || this->InstallSnapshot ||
           !this->SaveEntries.empty();
  }
  bool empty() const {
    return !this->needsSync() && this->SendImmediately.empty() &&
           this->SendAfterSync.empty() && this->Apply.empty();
  }
};

/// One Raft replica. It does no I/O and has no timers: the owner passes in
/// messages and the time, and performs the resulting Actions.
class Replica {
public:
  enum class State { Follower, PreCandidate, Candidate, Leader };

  /// InvalidArgument when Options has no identity; DataLoss when the log has a
  /// gap.
  static absl::StatusOr<Replica> create(ReplicaOptions Options,
                                        PersistentState Persistent,
                                        Common::TimePoint Now);

  /// Handles expired time-outs. Call at nextTickTime or every few
  /// milliseconds.
  void tick(Common::TimePoint Now);
  /// Handles a message. Messages for another group or replica are ignored.
  void step(Common::TimePoint Now, const Message &Received);

  /// Appends a command. FailedPrecondition when this replica is not the leader
  /// or is transferring leadership; Unavailable when its lease has expired. In
  /// both cases nothing was appended.
  absl::StatusOr<LogIndex> propose(Common::TimePoint Now, std::string Payload);

  /// Membership changes fail like propose, with Unavailable until an entry of
  /// the leader's term is committed, and with FailedPrecondition while another
  /// change is uncommitted.
  absl::StatusOr<LogIndex> addLearner(Common::TimePoint Now,
                                      const Member &Added);
  /// FailedPrecondition until the learner has all committed entries.
  absl::StatusOr<LogIndex> promote(Common::TimePoint Now, const ReplicaId &Id);
  /// FailedPrecondition when Id is this replica.
  absl::StatusOr<LogIndex> remove(Common::TimePoint Now, const ReplicaId &Id);
  /// Transfers leadership to the reachable voter with the most complete log.
  void transferLeadership(Common::TimePoint Now);

  /// Returns the actions since the last call. When they need a sync,
  /// markPersisted must be the next call.
  Actions takeActions(Common::TimePoint Now);
  /// Confirms that all writes of the last Actions are on disk.
  void markPersisted(Common::TimePoint Now);
  /// Replaces the entries up to Index with a snapshot whose content is Data.
  /// Does nothing when Index is not applied or already in a snapshot.
  void compact(LogIndex Index, std::string Data);

  State state() const { return this->CurrentState; }
  Consensus::Term term() const { return this->Hard.Term; }
  const HardState &hardState() const { return this->Hard; }
  /// Empty while no leader is known.
  const ReplicaId &leader() const { return this->Leader; }
  LogIndex commitIndex() const { return this->CommitIndex; }
  LogIndex appliedIndex() const { return this->AppliedIndex; }
  const ReplicatedLog &log() const { return this->Log; }
  const Membership &membership() const { return this->Log.membership(); }
  /// The time of the next time-out, unless a message arrives before.
  Common::TimePoint nextTickTime() const;
  /// The index of the entry that started this leader's term. It increases from
  /// one leader to the next; valid once canServe returns true.
  LogIndex termStartIndex() const { return this->TermStartIndex; }
  /// Whether the group's log starts with this leader's term. Once canServe
  /// returns true, this means that no other leader served before.
  bool isFirstLeader() const { return this->TermStartIndex == LogIndex{1}; }
  /// Replication progress of another replica, as known to the leader.
  struct PeerProgress {
    /// Send time of the latest request that the replica answered.
    Common::TimePoint LastContact;
    /// The last log index known to match the leader's log.
    LogIndex MatchIndex;
  };
  /// Empty when this replica is not the leader or Id is not another member.
  std::optional<PeerProgress> peerProgress(const ReplicaId &Id) const;
  /// Whether this replica is the leader, has applied an entry of its term, and
  /// its lease is valid.
  bool canServe(Common::TimePoint Now) const;
  const ReplicaId &self() const { return this->Options.Self; }

private:
  /// The leader's replication state of another replica.
  struct PeerState {
    LogIndex MatchIndex;
    LogIndex NextIndex;
    /// Send time of the latest request that the replica answered.
    Common::TimePoint LastContact;
    bool SendingSnapshot = false;
    std::uint64_t SnapshotOffset = 0;
    LogIndex SnapshotIndex;
    Common::TimePoint LastSent;
  };

  Replica(ReplicaOptions Options, PersistentState Persistent,
          Common::TimePoint Now);

  // Elections.
  void resetElectionTimer(Common::TimePoint Now);
  void campaign(Common::TimePoint Now, bool PreVote, bool LeadershipTransfer);
  void handle(Common::TimePoint Now, const Message &Received,
              const VoteRequest &Request);
  void handle(Common::TimePoint Now, const Message &Received,
              const VoteReply &Reply);
  void becomeFollower(Common::TimePoint Now, Consensus::Term NewTerm);
  void becomeLeader(Common::TimePoint Now);
  /// On a leader whether its lease is valid, otherwise whether a message of a
  /// leader arrived within ElectionTimeoutMin.
  bool hasRecentLeaderContact(Common::TimePoint Now) const;

  // Followers.
  void handle(Common::TimePoint Now, const Message &Received,
              const AppendRequest &Request);
  void handle(Common::TimePoint Now, const Message &Received,
              const SnapshotChunk &Chunk);
  void handle(Common::TimePoint Now, const Message &Received,
              const TimeoutNow &);
  void followLeader(Common::TimePoint Now, const Message &Received);
  LogIndex storeEntries(const AppendRequest &Request);
  void advanceCommitIndex(LogIndex To);

  // Leaders.
  void handle(Common::TimePoint Now, const Message &Received,
              const AppendReply &Reply);
  void handle(Common::TimePoint Now, const Message &Received,
              const SnapshotReply &Reply);
  void replicate(Common::TimePoint Now, bool Heartbeat);
  void sendEntries(Common::TimePoint Now, const ReplicaId &To, PeerState &Peer);
  void sendSnapshotChunk(Common::TimePoint Now, const ReplicaId &To,
                         PeerState &Peer);
  void updatePeersFromMembership(Common::TimePoint Now);
  void advanceCommitIndexByQuorum();
  Common::TimePoint lastQuorumContact(Common::TimePoint Now) const;
  bool leaseHolds(Common::TimePoint Now) const;
  absl::Status checkMembershipChangeAllowed(Common::TimePoint Now) const;
  absl::StatusOr<LogIndex> proposeMembership(Common::TimePoint Now,
                                             absl::StatusOr<Membership> Next);
  LogIndex appendEntry(EntryKind Kind, std::string Payload);

  Message makeMessage(const ReplicaId &To) const;
  void saveHardState() { this->PendingActions.SaveHardState = this->Hard; }

  ReplicaOptions Options;
  Common::Random Randomness;
  HardState Hard;
  ReplicatedLog Log;
  State CurrentState = State::Follower;
  ReplicaId Leader;
  LogIndex CommitIndex;
  LogIndex AppliedIndex;
  /// Last index known to be on this replica's disk.
  LogIndex PersistedIndex;
  /// Last log index at the latest takeActions; markPersisted
  /// raises PersistedIndex to it.
  LogIndex PersistingIndex;
  Common::TimePoint LastLeaderContact;
  Common::TimePoint ElectionDeadline;
  std::set<ReplicaId> Votes;
  std::map<ReplicaId, PeerState> Peers;
  Common::TimePoint NextHeartbeat;
  Common::TimePoint LeaderSince;
  LogIndex TermStartIndex;
  bool TransferInProgress = false;
  Common::TimePoint TransferDeadline;
  std::string SnapshotBuffer;
  LogIndex SnapshotBufferIndex;
  Actions PendingActions;
};

} // namespace Consensus

#endif
