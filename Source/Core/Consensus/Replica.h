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

/// Times of the protocol; all on the monotonic clock.
struct ReplicaTiming {
  Common::Duration Heartbeat = std::chrono::milliseconds(60);
  /// Elections start after a silence drawn from this range.
  Common::Duration ElectionLeast = std::chrono::milliseconds(300);
  Common::Duration ElectionMost = std::chrono::milliseconds(600);
  /// How long a quorum's contact lets a leader act; below ElectionLeast by
  /// the clock drift that is allowed for.
  Common::Duration Lease = std::chrono::milliseconds(240);
};

struct ReplicaOptions {
  GroupId Group;
  ReplicaId Self;
  ReplicaTiming Timing;
  std::uint64_t Seed = 0;
};

/// What was read from the disk at start.
struct PersistentState {
  HardState Hard;
  Snapshot BaseSnapshot;
  std::vector<LogEntry> Entries;
};

/// What the owner of a Replica must do, in the order of the members.
struct Actions {
  /// Messages that need not wait for the disk.
  std::vector<Message> SendImmediately;
  /// To be written and synced, then confirmed by Replica::markPersisted.
  std::optional<HardState> SaveHardState;
  /// Replaces the log and the state machine; written before what follows.
  std::optional<Snapshot> InstallSnapshot;
  /// Each replaces what the log holds from its index on.
  std::vector<LogEntry> SaveEntries;
  /// Messages that must not leave before the writes are synced.
  std::vector<Message> SendAfterSync;
  /// Committed entries for the state machine, in order.
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

/// One replica of a replicated log. It owns no socket, disk or timer: the
/// owner feeds it messages and time, and carries out its Actions.
class Replica {
public:
  enum class State { Follower, PreCandidate, Candidate, Leader };

  static absl::StatusOr<Replica> create(ReplicaOptions Options,
                                        PersistentState Persistent,
                                        Common::TimePoint Now);

  /// Call at least every few milliseconds.
  void tick(Common::TimePoint Now);
  /// Messages for another group or another identity are dropped.
  void step(Common::TimePoint Now, const Message &Received);

  /// Appends a command. FailedPrecondition when this replica does not lead;
  /// Unavailable when it leads without recent contact to a quorum. In both
  /// cases nothing was appended.
  absl::StatusOr<LogIndex> propose(Common::TimePoint Now, std::string Payload);

  absl::StatusOr<LogIndex> addLearner(Common::TimePoint Now,
                                      const Member &Added);
  /// FailedPrecondition until the learner holds all that is committed.
  absl::StatusOr<LogIndex> promote(Common::TimePoint Now, const ReplicaId &Id);
  absl::StatusOr<LogIndex> remove(Common::TimePoint Now, const ReplicaId &Id);
  /// Hands leadership to the voter that holds the most of the log.
  void transferLeadership(Common::TimePoint Now);

  /// The work since the last call. When it needs a sync, persisted must be
  /// the next call.
  Actions takeActions(Common::TimePoint Now);
  /// All writes of the last Actions are on disk.
  void markPersisted(Common::TimePoint Now);
  /// Replaces applied entries up to Index by Data.
  void compact(LogIndex Index, std::string Data);

  State state() const { return this->Current; }
  Consensus::Term term() const { return this->Hard.Term; }
  const HardState &hardState() const { return this->Hard; }
  /// Empty while none is known.
  const ReplicaId &leader() const { return this->Leader; }
  LogIndex commitIndex() const { return this->Commit; }
  LogIndex appliedIndex() const { return this->Applied; }
  const ReplicatedLog &log() const { return this->Log; }
  const Membership &membership() const { return this->Log.membership(); }
  /// When tick has something to do next, if no message comes before.
  Common::TimePoint nextTickTime() const;
  /// Where the entry stands that opened the term led now. It rises from
  /// leader to leader; meaningful once canServe.
  LogIndex termStartIndex() const { return this->TermStartIndex; }
  /// Whether the group's log begins with this leader's term. Once it may serve
  /// as such, no other leader ever could before.
  bool isFirstLeader() const { return this->TermStartIndex == LogIndex{1}; }
  /// The newest request of a leader that each other replica has answered, by
  /// send time, and the last index it is known to hold.
  struct PeerProgress {
    Common::TimePoint LastContact;
    LogIndex MatchIndex;
  };
  std::optional<PeerProgress> peerProgress(const ReplicaId &Id) const;
  /// Leads, has applied an entry of its term, and its lease holds.
  bool canServe(Common::TimePoint Now) const;
  const ReplicaId &self() const { return this->Options.Self; }

private:
  /// What a leader knows of another replica.
  struct Progress {
    LogIndex MatchIndex;
    LogIndex Next;
    /// Send time of the newest request that it has answered.
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
  void campaign(Common::TimePoint Now, bool PreVote, bool Transfer);
  void handle(Common::TimePoint Now, const Message &From,
              const VoteRequest &Asked);
  void handle(Common::TimePoint Now, const Message &From,
              const VoteReply &Given);
  void becomeFollower(Common::TimePoint Now, Consensus::Term At);
  void becomeLeader(Common::TimePoint Now);
  bool heardFromLeader(Common::TimePoint Now) const;

  // Followers.
  void handle(Common::TimePoint Now, const Message &From,
              const AppendRequest &Request);
  void handle(Common::TimePoint Now, const Message &From,
              const SnapshotPart &Part);
  void handle(Common::TimePoint Now, const Message &From, const TimeoutNow &);
  void followLeader(Common::TimePoint Now, const Message &From);
  LogIndex storeEntries(const AppendRequest &Request);
  void advanceCommit(LogIndex To);

  // Leaders.
  void handle(Common::TimePoint Now, const Message &From,
              const AppendReply &Reply);
  void handle(Common::TimePoint Now, const Message &From,
              const SnapshotReply &Reply);
  void replicate(Common::TimePoint Now, bool Heartbeat);
  void sendEntries(Common::TimePoint Now, const ReplicaId &To, Progress &Peer);
  void sendSnapshotPart(Common::TimePoint Now, const ReplicaId &To,
                        Progress &Peer);
  void syncProgressWithMembership(Common::TimePoint Now);
  void advanceLeaderCommit();
  Common::TimePoint quorumContact(Common::TimePoint Now) const;
  bool leaseHolds(Common::TimePoint Now) const;
  absl::Status checkCanChange(Common::TimePoint Now) const;
  absl::StatusOr<LogIndex> proposeMembership(Common::TimePoint Now,
                                             absl::StatusOr<Membership> Next);
  LogIndex appendOwn(EntryKind Kind, std::string Payload);

  Message makeMessage(const ReplicaId &To) const;
  void saveHard() { this->Work.SaveHardState = this->Hard; }

  ReplicaOptions Options;
  Common::Random Randomness;
  HardState Hard;
  ReplicatedLog Log;
  State Current = State::Follower;
  ReplicaId Leader;
  LogIndex Commit;
  LogIndex Applied;
  /// Last index known to be on this replica's disk.
  LogIndex Persisted;
  LogIndex PersistingTo;
  Common::TimePoint LeaderHeardAt;
  Common::TimePoint ElectionAt;
  std::set<ReplicaId> Votes;
  std::map<ReplicaId, Progress> Peers;
  Common::TimePoint HeartbeatAt;
  Common::TimePoint LeadingSince;
  LogIndex TermStartIndex;
  bool HandingOver = false;
  Common::TimePoint HandoverEndsAt;
  std::string SnapshotBuffer;
  LogIndex SnapshotBufferIndex;
  Actions Work;
};

} // namespace Consensus

#endif
