#ifndef SYCAMOREREACH_CONSENSUS_MESSAGES_H
#define SYCAMOREREACH_CONSENSUS_MESSAGES_H

#include "Common/Ids.h"
#include "Consensus/Membership.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// \file
/// Log records and messages of the consensus protocol, which is Raft:
/// D. Ongaro, J. Ousterhout, "In Search of an Understandable Consensus
/// Algorithm", USENIX ATC 2014. Pre-vote, leadership transfer, single-server
/// membership changes and check-quorum follow D. Ongaro's dissertation,
/// Stanford 2014.

namespace Consensus {

using GroupId = Common::StrongNumber<struct GroupIdTag>;
using Term = Common::StrongNumber<struct TermTag>;
using LogIndex = Common::StrongNumber<struct LogIndexTag>;

inline LogIndex next(LogIndex Index) { return LogIndex{Index.Value + 1}; }
inline LogIndex previous(LogIndex Index) { return LogIndex{Index.Value - 1}; }

enum class EntryKind : std::uint8_t {
  /// A command for the state machine.
  Command,
  /// A new Membership, which takes effect as soon as it is appended.
  MembershipChange,
  /// An empty entry that a new leader appends to start its term.
  TermStart,
};

struct LogEntry {
  Consensus::Term Term;
  LogIndex Index;
  EntryKind Kind = EntryKind::Command;
  std::string Payload;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Term, this->Index, this->Kind, this->Payload);
  }
};

/// Raft's persistent state besides the log.
struct HardState {
  Consensus::Term Term;
  ReplicaId VotedFor;

  bool operator==(const HardState &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Term, this->VotedFor);
  }
};

/// A serialized state machine that replaces the log up to and including
/// Index.
struct Snapshot {
  LogIndex Index;
  Consensus::Term Term;
  Consensus::Membership Membership;
  std::string Data;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Index, this->Term, this->Membership, this->Data);
  }
};

/// Requests a vote. With PreVote set, it only asks whether the vote would be
/// granted; the receiver's term and vote do not change.
struct VoteRequest {
  bool PreVote = false;
  /// The leader itself requested this election, so receivers need not wait for
  /// its lease to expire.
  bool LeadershipTransfer = false;
  LogIndex LastIndex;
  Term LastTerm;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->PreVote, this->LeadershipTransfer, this->LastIndex,
       this->LastTerm);
  }
};

struct VoteReply {
  bool PreVote = false;
  bool Granted = false;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->PreVote, this->Granted);
  }
};

struct AppendRequest {
  LogIndex PreviousIndex;
  Term PreviousTerm;
  LogIndex CommitIndex;
  /// Send time on the leader's clock in microseconds, echoed in the reply.
  /// From the echo the leader computes its lease.
  std::int64_t SentAt = 0;
  std::vector<LogEntry> Entries;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->PreviousIndex, this->PreviousTerm, this->CommitIndex, this->SentAt,
       this->Entries);
  }
};

struct AppendReply {
  bool Success = false;
  /// On success the last index known to match, otherwise the index of the next
  /// entry that the leader should send.
  LogIndex Index;
  std::int64_t SentAt = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Success, this->Index, this->SentAt);
  }
};

/// A chunk of a serialized snapshot. Chunks are sent in order; one at an
/// unexpected offset is ignored.
struct SnapshotChunk {
  LogIndex Index;
  Term SnapshotTerm;
  std::uint64_t Offset = 0;
  bool Last = false;
  std::int64_t SentAt = 0;
  std::string Bytes;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Index, this->SnapshotTerm, this->Offset, this->Last, this->SentAt,
       this->Bytes);
  }
};

struct SnapshotReply {
  LogIndex Index;
  /// Offset in bytes at which the next chunk starts.
  std::uint64_t NextOffset = 0;
  bool Installed = false;
  std::int64_t SentAt = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Index, this->NextOffset, this->Installed, this->SentAt);
  }
};

/// Transfers leadership: the receiver starts an election immediately.
struct TimeoutNow {
  template <class Archive> void serialize(Archive &) {}
};

struct Message {
  GroupId Group;
  ReplicaId From;
  ReplicaId To;
  Consensus::Term Term;
  std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply,
               SnapshotChunk, SnapshotReply, TimeoutNow>
      Body;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Group, this->From, this->To, this->Term, this->Body);
  }
};

} // namespace Consensus

#endif
