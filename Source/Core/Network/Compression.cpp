#include "Network/Compression.h"

#include <absl/strings/str_cat.h>
#include <zstd.h>

namespace Network {

namespace {

constexpr int Level = 1;

} // namespace

absl::StatusOr<std::string> compress(std::string_view Bytes) {
  std::string Result(ZSTD_compressBound(Bytes.size()), '\0');
  const std::size_t Size = ZSTD_compress(Result.data(), Result.size(),
                                         Bytes.data(), Bytes.size(), Level);
  if (ZSTD_isError(Size))
    return absl::InternalError(
        absl::StrCat("cannot compress (", ZSTD_getErrorName(Size),
                     "); check the memory limit of the process"));
  Result.resize(Size);
  Result.shrink_to_fit();
  return Result;
}

absl::StatusOr<std::string> decompress(std::string_view Bytes,
                                       std::size_t MaxBytes) {
  const unsigned long long Announced =
      ZSTD_getFrameContentSize(Bytes.data(), Bytes.size());
  if (Announced == ZSTD_CONTENTSIZE_ERROR ||
      Announced == ZSTD_CONTENTSIZE_UNKNOWN || Announced > MaxBytes)
    return absl::InvalidArgumentError(
        absl::StrCat("compressed bytes that are damaged or announce more than ",
                     MaxBytes, " bytes; run the same version on all daemons"));
  std::string Result(static_cast<std::size_t>(Announced), '\0');
  const std::size_t Size =
      ZSTD_decompress(Result.data(), Result.size(), Bytes.data(), Bytes.size());
  if (ZSTD_isError(Size) || Size != Result.size())
    return absl::InvalidArgumentError(
        "compressed bytes that are damaged; run the same version on all "
        "daemons");
  return Result;
}

} // namespace Network
