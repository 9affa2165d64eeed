#include "Storage/DataFolder.h"

#include "Common/Hash.h"
#include "Network/Codec.h"

#include <absl/strings/str_cat.h>
#include <fcntl.h>
#include <filesystem>
#include <sys/file.h>
#include <unistd.h>
#include <variant>

namespace Storage {

namespace {

using LogItem = std::variant<Consensus::HardState, Consensus::LogEntry>;

/// The items of one save. They share a record, so that one checksum covers the
/// write: a power loss may keep the end of a write and lose its beginning.
struct LogBatch {
  std::vector<LogItem> Items;

  template <class Archive> void serialize(Archive &Ar) { Ar(this->Items); }
};

using LogRecord =
    std::variant<Consensus::HardState, Consensus::LogEntry, LogBatch>;

std::string identityPath(const std::string &Folder) {
  return Folder + "/identity";
}
std::string logPath(const std::string &Folder) { return Folder + "/log"; }
std::string snapshotPath(const std::string &Folder) {
  return Folder + "/snapshot";
}
std::string lockPath(const std::string &Folder) { return Folder + "/lock"; }

void appendRecord(std::string &Bytes, const LogRecord &Record) {
  Bytes += encodeRecord(Network::encode(Record));
}

absl::Status loadSnapshot(const std::string &Folder,
                          Consensus::PersistentState &State) {
  const auto Bytes = readFile(snapshotPath(Folder));
  if (absl::IsNotFound(Bytes.status()))
    return absl::OkStatus();
  if (!Bytes.ok())
    return Bytes.status();
  const auto Parsed = parseRecords(*Bytes);
  if (!Parsed.ok() || Parsed->Payloads.size() != 1)
    return absl::DataLossError(
        "the snapshot is corrupted; replace this replica: format a new folder "
        "and add it");
  auto Snapshot = Network::decode<Consensus::Snapshot>(Parsed->Payloads[0]);
  if (!Snapshot.ok())
    return absl::DataLossError(Snapshot.status().message());
  State.BaseSnapshot = std::move(*Snapshot);
  return absl::OkStatus();
}

/// Applies a log record to State: removes the entries from its index on, then
/// appends it.
absl::Status replayEntry(Consensus::PersistentState &State,
                         Consensus::LogEntry Entry) {
  if (Entry.Index <= State.BaseSnapshot.Index)
    return absl::OkStatus();
  const std::uint64_t Position =
      Entry.Index.Value - State.BaseSnapshot.Index.Value - 1;
  if (Position > State.Entries.size())
    return absl::DataLossError(
        absl::StrCat("the log has a gap before entry ", Entry.Index.Value,
                     "; replace this replica: format a new folder and add it"));
  State.Entries.resize(Position);
  State.Entries.push_back(std::move(Entry));
  return absl::OkStatus();
}

/// Applies one item of the log to State.
absl::Status replayItem(Consensus::PersistentState &State, LogItem Item) {
  if (auto *Hard = std::get_if<Consensus::HardState>(&Item)) {
    State.Hard = std::move(*Hard);
    return absl::OkStatus();
  }
  return replayEntry(State, std::move(std::get<Consensus::LogEntry>(Item)));
}

/// The items of Record in order.
std::vector<LogItem> itemsOf(LogRecord Record) {
  if (auto *Batch = std::get_if<LogBatch>(&Record))
    return std::move(Batch->Items);
  std::vector<LogItem> Result;
  if (auto *Hard = std::get_if<Consensus::HardState>(&Record))
    Result.emplace_back(std::move(*Hard));
  else
    Result.emplace_back(std::move(std::get<Consensus::LogEntry>(Record)));
  return Result;
}

absl::StatusOr<std::size_t> loadLog(const std::string &Folder,
                                    RecoveredState &Recovered) {
  const auto Bytes = readFile(logPath(Folder));
  if (absl::IsNotFound(Bytes.status()))
    return 0;
  if (!Bytes.ok())
    return Bytes.status();
  const auto Parsed = parseRecords(*Bytes);
  if (!Parsed.ok())
    return Parsed.status();
  for (const std::string &Payload : Parsed->Payloads) {
    auto Record = Network::decode<LogRecord>(Payload);
    if (!Record.ok())
      return absl::DataLossError(Record.status().message());
    for (LogItem &Item : itemsOf(std::move(*Record)))
      if (absl::Status Replayed = replayItem(Recovered.State, std::move(Item));
          !Replayed.ok())
        return Replayed;
  }
  Recovered.TruncatedBytes = Bytes->size() - Parsed->ValidBytes;
  if (Recovered.TruncatedBytes != 0) {
    absl::Status Truncated = truncateFile(logPath(Folder), Parsed->ValidBytes);
    if (!Truncated.ok())
      return Truncated;
  }
  return Parsed->ValidBytes;
}

absl::StatusOr<int> lockFolder(const std::string &Folder) {
  constexpr mode_t OwnerOnlyMode = 0600;
  const int Descriptor = open(lockPath(Folder).c_str(),
                              O_RDWR | O_CREAT | O_CLOEXEC, OwnerOnlyMode);
  if (Descriptor < 0)
    return absl::FailedPreconditionError(absl::StrCat(
        "cannot write in ", Folder, "; check its owner and permissions"));
  if (flock(Descriptor, LOCK_EX | LOCK_NB) != 0) {
    close(Descriptor);
    return absl::FailedPreconditionError(absl::StrCat(
        Folder,
        " is in use by another process; stop that process or use another "
        "folder"));
  }
  return Descriptor;
}

} // namespace

absl::StatusOr<Consensus::ReplicaId>
DataFolder::format(const std::string &Path, const std::string &Name) {
  Consensus::ReplicaId Identity(Name + "-" + Common::randomHexId());
  if (absl::Status Written = formatWithIdentity(Path, Identity); !Written.ok())
    return Written;
  return Identity;
}

absl::Status
DataFolder::formatWithIdentity(const std::string &Path,
                               const Consensus::ReplicaId &Identity) {
  std::error_code Error;
  std::filesystem::create_directories(Path, Error);
  if (Error)
    return absl::FailedPreconditionError(
        absl::StrCat("cannot create ", Path, " (", Error.message(),
                     "); check the parent folder"));
  if (std::filesystem::exists(identityPath(Path)))
    return absl::AlreadyExistsError(absl::StrCat(
        Path,
        " is already formatted; use it as it is or choose another folder"));
  return replaceFile(identityPath(Path), Identity.str());
}

absl::StatusOr<DataFolder> DataFolder::open(const std::string &Path,
                                            RecoveredState &Recovered) {
  const auto Identity = readFile(identityPath(Path));
  if (!Identity.ok())
    return absl::FailedPreconditionError(absl::StrCat(
        Path, " is not formatted or its identity file cannot be read; check "
              "its permissions, or run sycamore-state format on it first"));
  Recovered.Identity = Consensus::ReplicaId(*Identity);
  const auto Lock = lockFolder(Path);
  if (!Lock.ok())
    return Lock.status();
  if (absl::Status Loaded = loadSnapshot(Path, Recovered.State); !Loaded.ok())
    return Loaded;
  const auto LogBytes = loadLog(Path, Recovered);
  if (!LogBytes.ok())
    return LogBytes.status();
  auto Log = AppendFile::create(logPath(Path));
  if (!Log.ok())
    return Log.status();
  // A process that was killed may have left records that were not synced. The
  // replica treats all that it loads as persisted.
  if (absl::Status Synced = Log->sync(); !Synced.ok())
    return Synced;
  DataFolder Folder(Path, std::move(*Log), *Lock, *LogBytes);
  Folder.Hard = Recovered.State.Hard;
  return Folder;
}

DataFolder::DataFolder(std::string Path, AppendFile Log, int LockDescriptor,
                       std::size_t LogBytes)
    : Path(std::move(Path)), Log(std::move(Log)),
      LockDescriptor(LockDescriptor), LogBytes(LogBytes) {}

DataFolder::~DataFolder() {
  if (this->LockDescriptor >= 0)
    close(this->LockDescriptor);
}

DataFolder::DataFolder(DataFolder &&Other) noexcept
    : Path(std::move(Other.Path)), Log(std::move(Other.Log)),
      LockDescriptor(std::exchange(Other.LockDescriptor, -1)),
      LogBytes(Other.LogBytes), Hard(std::move(Other.Hard)) {}

absl::Status DataFolder::save(const Consensus::Actions &Pending) {
  if (Pending.SaveHardState)
    this->Hard = *Pending.SaveHardState;
  if (Pending.InstallSnapshot) {
    const Consensus::ReplicatedLog Installed(*Pending.InstallSnapshot, {});
    absl::Status Replaced = this->compact(this->Hard, Installed);
    if (!Replaced.ok())
      return Replaced;
  }
  LogBatch Batch;
  if (Pending.SaveHardState && !Pending.InstallSnapshot)
    Batch.Items.emplace_back(this->Hard);
  for (const Consensus::LogEntry &Entry : Pending.SaveEntries)
    Batch.Items.emplace_back(Entry);
  if (Batch.Items.empty())
    return absl::OkStatus();
  std::string Bytes;
  appendRecord(Bytes, std::move(Batch));
  if (absl::Status Written = this->Log.append(Bytes); !Written.ok())
    return Written;
  this->LogBytes += Bytes.size();
  return this->Log.sync();
}

absl::Status DataFolder::compact(const Consensus::HardState &Hard,
                                 const Consensus::ReplicatedLog &Log) {
  this->Hard = Hard;
  const std::string Record = encodeRecord(Network::encode(Log.snapshot()));
  if (absl::Status Written = replaceFile(snapshotPath(this->Path), Record);
      !Written.ok())
    return Written;
  return this->rewriteLog(Hard, Log);
}

absl::Status DataFolder::rewriteLog(const Consensus::HardState &Hard,
                                    const Consensus::ReplicatedLog &Log) {
  std::string Bytes;
  appendRecord(Bytes, Hard);
  for (auto Index = next(Log.snapshotIndex()); Index <= Log.lastIndex();
       Index = next(Index))
    appendRecord(Bytes, Log.at(Index));
  if (absl::Status Written = replaceFile(logPath(this->Path), Bytes);
      !Written.ok())
    return Written;
  auto Reopened = AppendFile::create(logPath(this->Path));
  if (!Reopened.ok())
    return Reopened.status();
  this->Log = std::move(*Reopened);
  this->LogBytes = Bytes.size();
  return absl::OkStatus();
}

} // namespace Storage
