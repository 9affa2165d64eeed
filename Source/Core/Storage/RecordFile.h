#ifndef SYCAMOREREACH_STORAGE_RECORDFILE_H
#define SYCAMOREREACH_STORAGE_RECORDFILE_H

#include <absl/status/statusor.h>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Storage {

/// A file that is open for appending.
class AppendFile {
public:
  /// Opens or creates the file and syncs its folder. Fails like append.
  static absl::StatusOr<AppendFile> create(const std::string &Path);
  ~AppendFile();
  AppendFile(AppendFile &&Other) noexcept;
  AppendFile &operator=(AppendFile &&Other) noexcept;

  /// ResourceExhausted when the disk is full, DataLoss on other errors.
  absl::Status append(const std::string &Bytes);
  /// Makes the appended bytes durable. Fails like append.
  absl::Status sync();

private:
  explicit AppendFile(int Descriptor) : Descriptor(Descriptor) {}
  int Descriptor = -1;
};

/// Encodes a record with a header that has two checksums: one of the header,
/// which detects a corrupted length, and one of the payload.
std::string encodeRecord(const std::string &Payload);

/// The result of parseRecords.
struct ParsedRecords {
  std::vector<std::string> Payloads;
  /// Offset in bytes of the end of the last valid record.
  std::size_t ValidBytes = 0;
};

/// Parses the records in Bytes. An incomplete or corrupted record at the end is
/// ignored, as a crash during a write leaves one; DataLoss when valid records
/// follow a corrupted one.
absl::StatusOr<ParsedRecords> parseRecords(const std::string &Bytes);

/// Reads a whole file. NotFound only when there is no such file; fails like
/// AppendFile::append when it cannot be opened or read. A file that cannot be
/// opened now must not be taken for one that was never written.
absl::StatusOr<std::string> readFile(const std::string &Path);

/// Atomically replaces the content of Path with Bytes: after a crash the file
/// has either the old or the new content. Fails like AppendFile::append.
absl::Status replaceFile(const std::string &Path, const std::string &Bytes);

/// Truncates a file to a size in bytes and syncs it. Fails like
/// AppendFile::append.
absl::Status truncateFile(const std::string &Path, std::size_t Bytes);

} // namespace Storage

#endif
