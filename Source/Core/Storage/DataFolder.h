#ifndef SYCAMOREREACH_STORAGE_DATAFOLDER_H
#define SYCAMOREREACH_STORAGE_DATAFOLDER_H

#include "Consensus/Replica.h"
#include "Storage/RecordFile.h"

#include <absl/status/statusor.h>
#include <optional>
#include <string>

namespace Storage {

/// What a data folder held when it was opened.
struct RecoveredState {
  Consensus::ReplicaId Identity;
  Consensus::PersistentState State;
  /// Bytes of an unfinished record that were cut from the log's end.
  std::size_t TruncatedBytes = 0;
};

/// The durable state of one replica: an identity made when the folder was
/// formatted, a write-ahead log, and the last snapshot.
class DataFolder {
public:
  /// Makes a new identity, "NAME-RANDOM". AlreadyExists on a formatted folder.
  static absl::StatusOr<Consensus::ReplicaId> format(const std::string &Path,
                                                     const std::string &Name);

  /// As format, with an identity that others can compute. Only for a founder
  /// whose disk is known to be new.
  static absl::Status formatWithIdentity(const std::string &Path,
                                         const Consensus::ReplicaId &Identity);

  /// FailedPrecondition when the folder is not formatted or another process
  /// uses it; DataLoss when its files are damaged.
  static absl::StatusOr<DataFolder> open(const std::string &Path,
                                         RecoveredState &Found);
  ~DataFolder();
  DataFolder(DataFolder &&Other) noexcept;
  DataFolder &operator=(DataFolder &&) = delete;

  /// Writes what needs a sync and syncs once. After an error nothing more
  /// may be written: the process must stop.
  absl::Status save(const Consensus::Actions &Work);
  /// Writes a snapshot and starts a new log with the entries after it.
  absl::Status compact(const Consensus::HardState &Hard,
                       const Consensus::ReplicatedLog &Log);

  std::size_t logBytes() const { return this->LogBytes; }

private:
  DataFolder(std::string Path, AppendFile Log, int Lock, std::size_t LogBytes);
  absl::Status startLog(const Consensus::HardState &Hard,
                        const Consensus::ReplicatedLog &Log);

  std::string Path;
  AppendFile Log;
  int Lock = -1;
  std::size_t LogBytes = 0;
  /// The last hard state written.
  Consensus::HardState Hard;
};

} // namespace Storage

#endif
