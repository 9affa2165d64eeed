#ifndef SYCAMOREREACH_CONSENSUS_REPLICATEDLOG_H
#define SYCAMOREREACH_CONSENSUS_REPLICATEDLOG_H

#include "Consensus/Messages.h"

#include <deque>
#include <vector>

namespace Consensus {

/// The last snapshot of one replica, the log entries after it and the
/// memberships that these entries contain.
class ReplicatedLog {
public:
  ReplicatedLog(Snapshot BaseSnapshot, std::vector<LogEntry> Entries);

  /// The last index that the snapshot covers.
  LogIndex snapshotIndex() const { return this->BaseSnapshot.Index; }
  LogIndex lastIndex() const;
  Term lastTerm() const;
  /// Whether there is an entry at Index after the snapshot.
  bool contains(LogIndex Index) const;
  /// The term at Index, which must be the snapshot's index or a contained one.
  Term termAt(LogIndex Index) const;
  /// Whether the entry at Index is known and has term At.
  bool matches(LogIndex Index, Term At) const;
  /// The entry at Index, which must be a contained one.
  const LogEntry &at(LogIndex Index) const;

  /// Appends Entry, whose index must follow the last one.
  void append(LogEntry Entry);
  /// Removes the entry at Index and all later ones.
  void truncateFrom(LogIndex Index);
  /// Replaces the entries up to NewSnapshot.Index with the snapshot.
  void compact(Snapshot NewSnapshot);
  /// Replaces the whole log with the snapshot.
  void reset(Snapshot NewSnapshot);

  const Snapshot &snapshot() const { return this->BaseSnapshot; }
  /// The latest membership in the log, committed or not.
  const Membership &membership() const;
  /// The index of the entry that set the latest membership.
  LogIndex membershipIndex() const;
  /// The membership in effect at Index, which must not precede the snapshot.
  const Membership &membershipAt(LogIndex Index) const;

private:
  struct IndexedMembership {
    LogIndex Index;
    Consensus::Membership Membership;
  };
  void recordMembership(const LogEntry &Entry);

  Snapshot BaseSnapshot;
  std::deque<LogEntry> Entries;
  /// In ascending order of Index; the first one is the snapshot's.
  std::vector<IndexedMembership> Memberships;
};

} // namespace Consensus

#endif
