#ifndef SYCAMOREREACH_NETWORK_COMPRESSION_H
#define SYCAMOREREACH_NETWORK_COMPRESSION_H

#include <absl/status/statusor.h>
#include <cstddef>
#include <string>
#include <string_view>

namespace Network {

/// Compresses Bytes with Zstandard (RFC 8878), at its fastest regular level.
/// Returns an Internal error if there is not enough memory.
absl::StatusOr<std::string> compress(std::string_view Bytes);

/// Restores what compress() returned. Returns InvalidArgument if Bytes is
/// damaged, or if the result would exceed MaxBytes, which is checked before
/// memory is taken.
absl::StatusOr<std::string> decompress(std::string_view Bytes,
                                       std::size_t MaxBytes);

} // namespace Network

#endif
