#ifndef SYCAMOREREACH_STORAGE_RECORDFILE_H
#define SYCAMOREREACH_STORAGE_RECORDFILE_H

#include <absl/status/statusor.h>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Storage {

/// An open file that is only appended to.
class AppendFile {
public:
  static absl::StatusOr<AppendFile> create(const std::string &Path);
  ~AppendFile();
  AppendFile(AppendFile &&Other) noexcept;
  AppendFile &operator=(AppendFile &&Other) noexcept;

  /// ResourceExhausted when the disk is full, DataLoss on other failures.
  absl::Status append(const std::string &Bytes);
  /// DataLoss when the system could not make the bytes durable.
  absl::Status sync();

private:
  explicit AppendFile(int Descriptor) : Descriptor(Descriptor) {}
  int Descriptor = -1;
};

/// The bytes of one record with a header that carries two checksums: one of
/// the header, so that a damaged length shows, and one of the payload.
std::string frameRecord(const std::string &Payload);

/// The records of a file.
struct RecordScan {
  std::vector<std::string> Payloads;
  /// Bytes up to the end of the last whole record.
  std::size_t ValidBytes = 0;
};

/// Reads all records. An unfinished record at the end is left out;
/// DataLoss when whole records follow a damaged one.
absl::StatusOr<RecordScan> scanRecords(const std::string &Bytes);

/// Reads a whole file; NotFound when there is none.
absl::StatusOr<std::string> readFile(const std::string &Path);

/// Replaces Path by Bytes so that after a crash either the old or the new
/// content is there.
absl::Status replaceFile(const std::string &Path, const std::string &Bytes);

absl::Status truncateFile(const std::string &Path, std::size_t Bytes);

} // namespace Storage

#endif
