#include "Storage/RecordFile.h"

#include "Common/Hash.h"

#include <absl/strings/str_cat.h>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <optional>
#include <sstream>
#include <string_view>
#include <unistd.h>

namespace Storage {

namespace {

constexpr std::uint32_t Magic = 0x57414c31;
constexpr mode_t OwnerOnly = 0600;

struct RecordHeader {
  std::uint32_t Magic = 0;
  std::uint32_t Length = 0;
  std::uint64_t PayloadHash = 0;
  std::uint64_t HeaderHash = 0;
};

constexpr std::size_t HashedHeaderBytes = offsetof(RecordHeader, HeaderHash);

std::uint64_t hashOfHeader(const RecordHeader &Header) {
  const auto *Bytes = reinterpret_cast<const char *>(&Header);
  return Common::hashBytes(std::string_view(Bytes, HashedHeaderBytes));
}

/// The header at Offset when it is whole and undamaged.
std::optional<RecordHeader> headerAt(const std::string &Bytes,
                                     std::size_t Offset) {
  if (Offset + sizeof(RecordHeader) > Bytes.size())
    return std::nullopt;
  RecordHeader Header;
  std::memcpy(&Header, Bytes.data() + Offset, sizeof(Header));
  if (Header.Magic != Magic || Header.HeaderHash != hashOfHeader(Header))
    return std::nullopt;
  return Header;
}

/// The payload at Offset when header and payload are whole and undamaged.
std::optional<std::string_view> payloadAt(const std::string &Bytes,
                                          std::size_t Offset) {
  const auto Header = headerAt(Bytes, Offset);
  if (!Header)
    return std::nullopt;
  const std::size_t Start = Offset + sizeof(RecordHeader);
  if (Start + Header->Length > Bytes.size())
    return std::nullopt;
  const std::string_view Payload =
      std::string_view(Bytes).substr(Start, Header->Length);
  if (Common::hashBytes(Payload) != Header->PayloadHash)
    return std::nullopt;
  return Payload;
}

bool anyRecordAfter(const std::string &Bytes, std::size_t Offset) {
  for (std::size_t At = Offset; At + sizeof(RecordHeader) <= Bytes.size(); ++At)
    if (payloadAt(Bytes, At))
      return true;
  return false;
}

absl::Status failure(const std::string &What) {
  const int Code = errno;
  const std::string Text = absl::StrCat(What, ": ", std::strerror(Code));
  if (Code == ENOSPC || Code == EDQUOT || Code == EFBIG)
    return absl::ResourceExhaustedError(
        absl::StrCat(Text, "; free space under the data folder and restart"));
  return absl::DataLossError(
      absl::StrCat(Text, "; check the disk, then restart"));
}

absl::Status writeAll(int Descriptor, const std::string &Bytes) {
  std::size_t Done = 0;
  while (Done < Bytes.size()) {
    const ssize_t Size =
        write(Descriptor, Bytes.data() + Done, Bytes.size() - Done);
    if (Size < 0 && errno == EINTR)
      continue;
    if (Size < 0)
      return failure("write failed");
    Done += static_cast<std::size_t>(Size);
  }
  return absl::OkStatus();
}

absl::Status syncFolderOf(const std::string &Path) {
  const std::string Folder = std::filesystem::path(Path).parent_path();
  const int Descriptor = open(Folder.c_str(), O_RDONLY | O_CLOEXEC);
  if (Descriptor < 0)
    return failure("cannot open folder " + Folder);
  const int Result = fsync(Descriptor);
  close(Descriptor);
  return Result == 0 ? absl::OkStatus() : failure("fsync of folder failed");
}

} // namespace

absl::StatusOr<AppendFile> AppendFile::create(const std::string &Path) {
  const int Descriptor =
      open(Path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, OwnerOnly);
  if (Descriptor < 0)
    return failure("cannot open " + Path);
  AppendFile File(Descriptor);
  if (absl::Status Synced = syncFolderOf(Path); !Synced.ok())
    return Synced;
  return File;
}

AppendFile::~AppendFile() {
  if (this->Descriptor >= 0)
    close(this->Descriptor);
}

AppendFile::AppendFile(AppendFile &&Other) noexcept
    : Descriptor(std::exchange(Other.Descriptor, -1)) {}

AppendFile &AppendFile::operator=(AppendFile &&Other) noexcept {
  std::swap(this->Descriptor, Other.Descriptor);
  return *this;
}

absl::Status AppendFile::append(const std::string &Bytes) {
  return writeAll(this->Descriptor, Bytes);
}

absl::Status AppendFile::sync() {
  return fdatasync(this->Descriptor) == 0 ? absl::OkStatus()
                                          : failure("fdatasync failed");
}

std::string frameRecord(const std::string &Payload) {
  RecordHeader Header;
  Header.Magic = Magic;
  Header.Length = static_cast<std::uint32_t>(Payload.size());
  Header.PayloadHash = Common::hashBytes(Payload);
  Header.HeaderHash = hashOfHeader(Header);
  std::string Bytes(reinterpret_cast<const char *>(&Header), sizeof(Header));
  Bytes += Payload;
  return Bytes;
}

absl::StatusOr<RecordScan> scanRecords(const std::string &Bytes) {
  RecordScan Scan;
  while (Scan.ValidBytes < Bytes.size()) {
    const auto Payload = payloadAt(Bytes, Scan.ValidBytes);
    if (!Payload) {
      if (anyRecordAfter(Bytes, Scan.ValidBytes + 1))
        return absl::DataLossError(absl::StrCat(
            "damaged record at byte ", Scan.ValidBytes,
            " with whole records after it; replace this replica: format a "
            "new folder and add it"));
      return Scan;
    }
    Scan.Payloads.emplace_back(*Payload);
    Scan.ValidBytes += sizeof(RecordHeader) + Payload->size();
  }
  return Scan;
}

absl::StatusOr<std::string> readFile(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    return absl::NotFoundError(absl::StrCat("no file ", Path));
  std::ostringstream Bytes;
  Bytes << File.rdbuf();
  if (File.bad())
    return absl::DataLossError(
        absl::StrCat("cannot read ", Path, "; check the disk"));
  return std::move(Bytes).str();
}

absl::Status replaceFile(const std::string &Path, const std::string &Bytes) {
  const std::string Temporary = Path + ".new";
  const int Descriptor = open(
      Temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, OwnerOnly);
  if (Descriptor < 0)
    return failure("cannot open " + Temporary);
  absl::Status Written = writeAll(Descriptor, Bytes);
  if (Written.ok() && fsync(Descriptor) != 0)
    Written = failure("fsync failed");
  close(Descriptor);
  if (!Written.ok())
    return Written;
  if (std::rename(Temporary.c_str(), Path.c_str()) != 0)
    return failure("cannot rename " + Temporary);
  return syncFolderOf(Path);
}

absl::Status truncateFile(const std::string &Path, std::size_t Bytes) {
  const int Descriptor = open(Path.c_str(), O_WRONLY | O_CLOEXEC);
  if (Descriptor < 0)
    return failure("cannot open " + Path);
  absl::Status Result = absl::OkStatus();
  if (ftruncate(Descriptor, static_cast<off_t>(Bytes)) != 0 ||
      fsync(Descriptor) != 0)
    Result = failure("cannot cut the torn end of " + Path);
  close(Descriptor);
  return Result;
}

} // namespace Storage
