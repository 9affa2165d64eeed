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

using LogRecord = std::variant<Consensus::HardState, Consensus::LogEntry>;

std::string identityPath(const std::string &Folder) {
  return Folder + "/identity";
}
std::string logPath(const std::string &Folder) { return Folder + "/log"; }
std::string snapshotPath(const std::string &Folder) {
  return Folder + "/snapshot";
}
std::string lockPath(const std::string &Folder) { return Folder + "/lock"; }

void appendRecord(std::string &Bytes, const LogRecord &Record) {
  Bytes += frameRecord(Network::encode(Record));
}

absl::Status loadSnapshot(const std::string &Folder,
                          Consensus::PersistentState &State) {
  const auto Bytes = readFile(snapshotPath(Folder));
  if (absl::IsNotFound(Bytes.status()))
    return absl::OkStatus();
  if (!Bytes.ok())
    return Bytes.status();
  const auto Scan = scanRecords(*Bytes);
  if (!Scan.ok() || Scan->Payloads.size() != 1)
    return absl::DataLossError(
        "the snapshot is damaged; replace this replica: format a new folder "
        "and add it");
  auto Snapshot = Network::decode<Consensus::Snapshot>(Scan->Payloads[0]);
  if (!Snapshot.ok())
    return absl::DataLossError(Snapshot.status().message());
  State.Base = std::move(*Snapshot);
  return absl::OkStatus();
}

/// Applies the entry to the list as a log does: it replaces its index and all
/// that follow.
absl::Status replay(Consensus::PersistentState &State,
                    Consensus::LogEntry Entry) {
  if (Entry.Index <= State.Base.Index)
    return absl::OkStatus();
  const std::uint64_t Position = Entry.Index.Value - State.Base.Index.Value - 1;
  if (Position > State.Entries.size())
    return absl::DataLossError(
        absl::StrCat("the log skips to entry ", Entry.Index.Value,
                     "; replace this replica: format a new folder and add it"));
  State.Entries.resize(Position);
  State.Entries.push_back(std::move(Entry));
  return absl::OkStatus();
}

absl::StatusOr<std::size_t> loadLog(const std::string &Folder,
                                    OpenedFolder &Found) {
  const auto Bytes = readFile(logPath(Folder));
  if (absl::IsNotFound(Bytes.status()))
    return 0;
  if (!Bytes.ok())
    return Bytes.status();
  const auto Scan = scanRecords(*Bytes);
  if (!Scan.ok())
    return Scan.status();
  for (const std::string &Payload : Scan->Payloads) {
    auto Record = Network::decode<LogRecord>(Payload);
    if (!Record.ok())
      return absl::DataLossError(Record.status().message());
    if (auto *Hard = std::get_if<Consensus::HardState>(&*Record)) {
      Found.State.Hard = std::move(*Hard);
      continue;
    }
    auto &Entry = std::get<Consensus::LogEntry>(*Record);
    if (absl::Status Done = replay(Found.State, std::move(Entry)); !Done.ok())
      return Done;
  }
  Found.TornBytes = Bytes->size() - Scan->ValidBytes;
  if (Found.TornBytes != 0) {
    absl::Status Cut = truncateFile(logPath(Folder), Scan->ValidBytes);
    if (!Cut.ok())
      return Cut;
  }
  return Scan->ValidBytes;
}

absl::StatusOr<int> lockFolder(const std::string &Folder) {
  constexpr mode_t OwnerOnly = 0600;
  const int Descriptor =
      open(lockPath(Folder).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, OwnerOnly);
  if (Descriptor < 0)
    return absl::FailedPreconditionError(
        absl::StrCat("cannot write in ", Folder, "; check its owner"));
  if (flock(Descriptor, LOCK_EX | LOCK_NB) != 0) {
    close(Descriptor);
    return absl::FailedPreconditionError(absl::StrCat(
        Folder, " is in use; stop the other process or use another folder"));
  }
  return Descriptor;
}

} // namespace

absl::StatusOr<Consensus::ReplicaId>
DataFolder::format(const std::string &Path, const std::string &Name) {
  Consensus::ReplicaId Identity(Name + "-" + Common::randomHexId());
  if (absl::Status Written = formatAs(Path, Identity); !Written.ok())
    return Written;
  return Identity;
}

absl::Status DataFolder::formatAs(const std::string &Path,
                                  const Consensus::ReplicaId &Identity) {
  std::error_code Fault;
  std::filesystem::create_directories(Path, Fault);
  if (Fault)
    return absl::FailedPreconditionError(absl::StrCat(
        "cannot create ", Path, " (", Fault.message(), "); check its parent"));
  if (std::filesystem::exists(identityPath(Path)))
    return absl::AlreadyExistsError(absl::StrCat(
        Path, " is formatted already; use it as it is or another folder"));
  return replaceFile(identityPath(Path), Identity.str());
}

absl::StatusOr<DataFolder> DataFolder::open(const std::string &Path,
                                            OpenedFolder &Found) {
  const auto Identity = readFile(identityPath(Path));
  if (!Identity.ok())
    return absl::FailedPreconditionError(absl::StrCat(
        Path, " is not formatted; run sycamore-state format on it first"));
  Found.Identity = Consensus::ReplicaId(*Identity);
  const auto Lock = lockFolder(Path);
  if (!Lock.ok())
    return Lock.status();
  if (absl::Status Loaded = loadSnapshot(Path, Found.State); !Loaded.ok())
    return Loaded;
  const auto LogBytes = loadLog(Path, Found);
  if (!LogBytes.ok())
    return LogBytes.status();
  auto Log = AppendFile::create(logPath(Path));
  if (!Log.ok())
    return Log.status();
  DataFolder Folder(Path, std::move(*Log), *Lock, *LogBytes);
  Folder.Hard = Found.State.Hard;
  return Folder;
}

DataFolder::DataFolder(std::string Path, AppendFile Log, int Lock,
                       std::size_t LogBytes)
    : Path(std::move(Path)), Log(std::move(Log)), Lock(Lock),
      LogBytes(LogBytes) {}

DataFolder::~DataFolder() {
  if (this->Lock >= 0)
    close(this->Lock);
}

DataFolder::DataFolder(DataFolder &&Other) noexcept
    : Path(std::move(Other.Path)), Log(std::move(Other.Log)),
      Lock(std::exchange(Other.Lock, -1)), LogBytes(Other.LogBytes),
      Hard(std::move(Other.Hard)) {}

absl::Status DataFolder::save(const Consensus::Actions &Work) {
  if (Work.SaveHardState)
    this->Hard = *Work.SaveHardState;
  if (Work.InstallSnapshot) {
    const Consensus::ReplicatedLog Installed(*Work.InstallSnapshot, {});
    absl::Status Replaced = this->compact(this->Hard, Installed);
    if (!Replaced.ok())
      return Replaced;
  }
  std::string Bytes;
  if (Work.SaveHardState && !Work.InstallSnapshot)
    appendRecord(Bytes, this->Hard);
  for (const Consensus::LogEntry &Entry : Work.SaveEntries)
    appendRecord(Bytes, Entry);
  if (Bytes.empty())
    return absl::OkStatus();
  if (absl::Status Written = this->Log.append(Bytes); !Written.ok())
    return Written;
  this->LogBytes += Bytes.size();
  return this->Log.sync();
}

absl::Status DataFolder::compact(const Consensus::HardState &Hard,
                                 const Consensus::ReplicatedLog &Log) {
  const std::string Record = frameRecord(Network::encode(Log.snapshot()));
  if (absl::Status Written = replaceFile(snapshotPath(this->Path), Record);
      !Written.ok())
    return Written;
  return this->startLog(Hard, Log);
}

absl::Status DataFolder::startLog(const Consensus::HardState &Hard,
                                  const Consensus::ReplicatedLog &Log) {
  std::string Bytes;
  appendRecord(Bytes, Hard);
  for (auto Index = next(Log.baseIndex()); Index <= Log.lastIndex();
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
