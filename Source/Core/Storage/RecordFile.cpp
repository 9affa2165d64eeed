#include "Storage/RecordFile.h"

#include "Common/Hash.h"

#include <absl/strings/str_cat.h>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <optional>
#include <string_view>
#include <unistd.h>
#include <vector>

namespace Storage {

namespace {

constexpr std::uint32_t RecordMagic = 0x57414c31;
constexpr mode_t OwnerOnlyMode = 0600;
constexpr std::size_t ReadBufferBytes = 64u << 10;

struct RecordHeader {
  std::uint32_t Magic = 0;
  std::uint32_t Length = 0;
  std::uint64_t PayloadHash = 0;
  std::uint64_t HeaderHash = 0;
};

constexpr std::size_t HashedHeaderBytes = offsetof(RecordHeader, HeaderHash);

std::uint64_t hashHeader(const RecordHeader &Header) {
  const auto *Bytes = reinterpret_cast<const char *>(&Header);
  return Common::hashBytes(std::string_view(Bytes, HashedHeaderBytes));
}

/// Returns the header at Offset if it is complete and its checksum matches.
std::optional<RecordHeader> readHeader(const std::string &Bytes,
                                       std::size_t Offset) {
  if (Offset + sizeof(RecordHeader) > Bytes.size())
    return std::nullopt;
  RecordHeader Header;
  std::memcpy(&Header, Bytes.data() + Offset, sizeof(Header));
  if (Header.Magic != RecordMagic || Header.HeaderHash != hashHeader(Header))
    return std::nullopt;
  return Header;
}

/// Returns the payload at Offset if header and payload are complete and their
/// checksums match.
std::optional<std::string_view> readPayload(const std::string &Bytes,
                                            std::size_t Offset) {
  const auto Header = readHeader(Bytes, Offset);
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

/// Whether a valid record starts at or after Offset.
bool hasRecordFrom(const std::string &Bytes, std::size_t Offset) {
  for (std::size_t Position = Offset;
       Position + sizeof(RecordHeader) <= Bytes.size(); ++Position)
    if (readPayload(Bytes, Position))
      return true;
  return false;
}

absl::Status errnoStatus(const std::string &Operation) {
  const int Code = errno;
  const std::string Description =
      absl::StrCat(Operation, ": ", std::strerror(Code));
  if (Code == ENOSPC || Code == EDQUOT || Code == EFBIG)
    return absl::ResourceExhaustedError(absl::StrCat(
        Description, "; free space under the data folder and restart"));
  return absl::DataLossError(
      absl::StrCat(Description, "; check the disk, then restart"));
}

absl::Status writeAll(int Descriptor, const std::string &Bytes) {
  std::size_t Written = 0;
  while (Written < Bytes.size()) {
    const ssize_t Size =
        write(Descriptor, Bytes.data() + Written, Bytes.size() - Written);
    if (Size < 0 && errno == EINTR)
      continue;
    if (Size < 0)
      return errnoStatus("write failed");
    Written += static_cast<std::size_t>(Size);
  }
  return absl::OkStatus();
}

absl::Status syncParentFolder(const std::string &Path) {
  const std::string Folder = std::filesystem::path(Path).parent_path();
  const int Descriptor = open(Folder.c_str(), O_RDONLY | O_CLOEXEC);
  if (Descriptor < 0)
    return errnoStatus("cannot open folder " + Folder);
  const int Result = fsync(Descriptor);
  close(Descriptor);
  return Result == 0 ? absl::OkStatus() : errnoStatus("fsync of folder failed");
}

} // namespace

absl::StatusOr<AppendFile> AppendFile::create(const std::string &Path) {
  const int Descriptor = open(
      Path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, OwnerOnlyMode);
  if (Descriptor < 0)
    return errnoStatus("cannot open " + Path);
  AppendFile File(Descriptor);
  if (absl::Status Synced = syncParentFolder(Path); !Synced.ok())
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
                                          : errnoStatus("fdatasync failed");
}

std::string encodeRecord(const std::string &Payload) {
  RecordHeader Header;
  Header.Magic = RecordMagic;
  Header.Length = static_cast<std::uint32_t>(Payload.size());
  Header.PayloadHash = Common::hashBytes(Payload);
  Header.HeaderHash = hashHeader(Header);
  std::string Bytes(reinterpret_cast<const char *>(&Header), sizeof(Header));
  Bytes += Payload;
  return Bytes;
}

absl::StatusOr<ParsedRecords> parseRecords(const std::string &Bytes) {
  ParsedRecords Parsed;
  while (Parsed.ValidBytes < Bytes.size()) {
    const auto Payload = readPayload(Bytes, Parsed.ValidBytes);
    if (!Payload) {
      if (hasRecordFrom(Bytes, Parsed.ValidBytes + 1))
        return absl::DataLossError(absl::StrCat(
            "corrupted record at byte ", Parsed.ValidBytes,
            " with valid records after it; replace this replica: format a "
            "new folder and add it"));
      return Parsed;
    }
    Parsed.Payloads.emplace_back(*Payload);
    Parsed.ValidBytes += sizeof(RecordHeader) + Payload->size();
  }
  return Parsed;
}

absl::StatusOr<std::string> readFile(const std::string &Path) {
  const int Descriptor = open(Path.c_str(), O_RDONLY | O_CLOEXEC);
  if (Descriptor < 0) {
    if (errno == ENOENT)
      return absl::NotFoundError(absl::StrCat("there is no file ", Path));
    return errnoStatus("cannot open " + Path);
  }
  std::string Bytes;
  std::vector<char> Buffer(ReadBufferBytes);
  for (;;) {
    const ssize_t Count = read(Descriptor, Buffer.data(), Buffer.size());
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0) {
      const absl::Status Failed = errnoStatus("cannot read " + Path);
      close(Descriptor);
      return Failed;
    }
    if (Count == 0)
      break;
    Bytes.append(Buffer.data(), static_cast<std::size_t>(Count));
  }
  close(Descriptor);
  return Bytes;
}

absl::Status replaceFile(const std::string &Path, const std::string &Bytes) {
  const std::string Temporary = Path + ".new";
  const int Descriptor =
      open(Temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC,
           OwnerOnlyMode);
  if (Descriptor < 0)
    return errnoStatus("cannot open " + Temporary);
  absl::Status Written = writeAll(Descriptor, Bytes);
  if (Written.ok() && fsync(Descriptor) != 0)
    Written = errnoStatus("fsync failed");
  close(Descriptor);
  if (!Written.ok())
    return Written;
  if (std::rename(Temporary.c_str(), Path.c_str()) != 0)
    return errnoStatus("cannot rename " + Temporary);
  return syncParentFolder(Path);
}

absl::Status truncateFile(const std::string &Path, std::size_t Bytes) {
  const int Descriptor = open(Path.c_str(), O_WRONLY | O_CLOEXEC);
  if (Descriptor < 0)
    return errnoStatus("cannot open " + Path);
  absl::Status Result = absl::OkStatus();
  if (ftruncate(Descriptor, static_cast<off_t>(Bytes)) != 0 ||
      fsync(Descriptor) != 0)
    Result = errnoStatus("cannot truncate " + Path);
  close(Descriptor);
  return Result;
}

} // namespace Storage
