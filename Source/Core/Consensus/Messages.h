#ifndef SYCAMOREREACH_CONSENSUS_MESSAGES_H
#define SYCAMOREREACH_CONSENSUS_MESSAGES_H

#include "Common/Ids.h"
#include "Consensus/Membership.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// \file
/// Records and messages of the replicated log. The algorithm is Raft:
/// D. Ongaro, J. Ousterhout, "In Search of an Understandable Consensus
/// Algorithm", USENIX ATC 2014; pre-vote, leadership transfer, membership
/// changes of one server and check-quorum after D. Ongaro's dissertation,
/// Stanford 2014.

namespace Consensus {

using GroupId = Common::StrongNumber<struct GroupIdTag>;
using Term = Common::StrongNumber<struct TermTag>;
using LogIndex = Common::StrongNumber<struct LogIndexTag>;

inline LogIndex next(LogIndex Index) { return LogIndex{Index.Value + 1}; }
inline LogIndex previous(LogIndex Index) { return LogIndex{Index.Value - 1}; }

enum class EntryKind : std::uint8_t {
  /// A command of the state machine.
  Command,
  /// A new Membership, in force from the moment it is appended.
  MembershipChange,
  /// The first entry of a leader's term.
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

/// What a replica must remember besides its log.
struct HardState {
  Consensus::Term Term;
  ReplicaId VotedFor;

  bool operator==(const HardState &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Term, this->VotedFor);
  }
};

/// The state machine's state that replaces the log up to Index.
struct Snapshot {
  LogIndex Index;
  Consensus::Term Term;
  Consensus::Membership Membership;
  std::string Data;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Index, this->Term, this->Membership, this->Data);
  }
};

/// Asks for a vote. With PreVote set it only asks whether one would be given.
struct VoteRequest {
  bool PreVote = false;
  /// Sent by request of the leader, whose lease need not be waited out.
  bool Transfer = false;
  LogIndex LastIndex;
  Term LastTerm;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->PreVote, this->Transfer, this->LastIndex, this->LastTerm);
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
  LogIndex Commit;
  /// The leader's own clock in microseconds, echoed in the reply.
  std::int64_t SentAt = 0;
  std::vector<LogEntry> Entries;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->PreviousIndex, this->PreviousTerm, this->Commit, this->SentAt,
       this->Entries);
  }
};

struct AppendReply {
  bool Success = false;
  /// On success the last index known to match, else where to go on.
  LogIndex Index;
  std::int64_t SentAt = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Success, this->Index, this->SentAt);
  }
};

/// A part of a snapshot; parts arrive in order.
struct SnapshotPart {
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
  /// Where the next part starts.
  std::uint64_t NextOffset = 0;
  bool Installed = false;
  std::int64_t SentAt = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Index, this->NextOffset, this->Installed, this->SentAt);
  }
};

/// The leader hands over: the receiver starts an election at once.
struct TimeoutNow {
  template <class Archive> void serialize(Archive &) {}
};

struct Message {
  GroupId Group;
  ReplicaId From;
  ReplicaId To;
  Consensus::Term Term;
  std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotPart,
               SnapshotReply, TimeoutNow>
      Body;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Group, this->From, this->To, this->Term, this->Body);
  }
};

} // namespace Consensus

#endif
