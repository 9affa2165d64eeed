#ifndef SYCAMOREREACH_CONSENSUS_REPLICATEDLOG_H
#define SYCAMOREREACH_CONSENSUS_REPLICATEDLOG_H

#include "Consensus/Messages.h"

#include <deque>
#include <vector>

namespace Consensus {

/// The entries of one replica after its last snapshot, and the memberships
/// they carry.
class ReplicatedLog {
public:
  ReplicatedLog(Snapshot BaseSnapshot, std::vector<LogEntry> Entries);

  /// The last index that the snapshot covers.
  LogIndex snapshotIndex() const { return this->BaseSnapshot.Index; }
  LogIndex lastIndex() const;
  Term lastTerm() const;
  /// Whether Index is covered neither by the snapshot nor missing.
  bool holds(LogIndex Index) const;
  /// The term at Index, which is the base index or held.
  Term termAt(LogIndex Index) const;
  bool matches(LogIndex Index, Term At) const;
  const LogEntry &at(LogIndex Index) const;

  /// Appends at the end; Entry.Index follows the last index.
  void append(LogEntry Entry);
  /// Removes Index and all that follows.
  void truncateFrom(LogIndex Index);
  /// Replaces all up to Taken.Index by the snapshot.
  void compact(Snapshot Taken);
  /// Replaces everything by the snapshot.
  void reset(Snapshot Taken);

  const Snapshot &snapshot() const { return this->BaseSnapshot; }
  /// The latest membership in the log, committed or not.
  const Membership &membership() const;
  LogIndex membershipIndex() const;
  /// The membership in force at Index, which is not before the snapshot.
  const Membership &membershipAt(LogIndex Index) const;

private:
  struct MembershipAt {
    LogIndex Index;
    Consensus::Membership Group;
  };
  void noteMembership(const LogEntry &Entry);

  Snapshot BaseSnapshot;
  std::deque<LogEntry> Entries;
  /// Ascending; the first one belongs to the snapshot.
  std::vector<MembershipAt> Memberships;
};

} // namespace Consensus

#endif
