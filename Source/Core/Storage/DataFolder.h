#ifndef SYCAMOREREACH_STORAGE_DATAFOLDER_H
#define SYCAMOREREACH_STORAGE_DATAFOLDER_H

#include "Consensus/Replica.h"
#include "Storage/RecordFile.h"

#include <absl/status/statusor.h>
#include <optional>
#include <string>

namespace Storage {

/// The state that DataFolder::open read from disk.
struct RecoveredState {
  Consensus::ReplicaId Identity;
  Consensus::PersistentState State;
  /// Bytes of an incomplete record that were truncated from the log's end.
  std::size_t TruncatedBytes = 0;
};

/// The persistent state of one replica: an identity that is created when the
/// folder is formatted, a write-ahead log, and the last snapshot.
class DataFolder {
public:
  /// Creates the folder with a new identity, "NAME-RANDOM". AlreadyExists when
  /// it is already formatted; FailedPrecondition when it cannot be created.
  static absl::StatusOr<Consensus::ReplicaId> format(const std::string &Path,
                                                     const std::string &Name);

  /// Like format, with a predictable identity that the other founders (the
  /// initial voters of the group) can compute. Only for a founder whose disk is
  /// known to be new, because a replica that lost its state must not vote under
  /// its old identity again.
  static absl::Status formatWithIdentity(const std::string &Path,
                                         const Consensus::ReplicaId &Identity);

  /// Locks the folder and loads its state. FailedPrecondition when the folder
  /// is not formatted or another process uses it; DataLoss when its files are
  /// corrupted.
  static absl::StatusOr<DataFolder> open(const std::string &Path,
                                         RecoveredState &Recovered);
  ~DataFolder();
  DataFolder(DataFolder &&Other) noexcept;
  DataFolder &operator=(DataFolder &&) = delete;

  /// Writes the hard state, snapshot and entries of Pending and syncs the log
  /// once. After an error the state of the disk is unknown: nothing more may be
  /// written before the folder has been opened again.
  absl::Status save(const Consensus::Actions &Pending);
  /// Writes Log's snapshot and a new log file with the entries after it.
  absl::Status compact(const Consensus::HardState &Hard,
                       const Consensus::ReplicatedLog &Log);

  /// Size of the log file in bytes.
  std::size_t logBytes() const { return this->LogBytes; }

private:
  DataFolder(std::string Path, AppendFile Log, int LockDescriptor,
             std::size_t LogBytes);
  absl::Status rewriteLog(const Consensus::HardState &Hard,
                          const Consensus::ReplicatedLog &Log);

  std::string Path;
  AppendFile Log;
  int LockDescriptor = -1;
  std::size_t LogBytes = 0;
  /// The hard state that was written last.
  Consensus::HardState Hard;
};

} // namespace Storage

#endif
