#ifndef SYCAMOREREACH_COMMON_HASH_H
#define SYCAMOREREACH_COMMON_HASH_H

#include <cstdint>
#include <string>
#include <string_view>

namespace Common {

/// 64-bit xxHash; for placement and checksums, not for secrets.
std::uint64_t hashBytes(std::string_view Bytes, std::uint64_t Seed = 0);

/// SHA-256 of Bytes as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view Bytes);

/// HMAC-SHA256, 32 raw bytes.
std::string hmacSha256(std::string_view Key, std::string_view Bytes);

/// Compares without revealing the position of the first difference.
bool equalInConstantTime(std::string_view Left, std::string_view Right);

/// 16 hexadecimal digits of Value.
std::string toHex(std::uint64_t Value);

/// Unpredictable hexadecimal text for new identities.
std::string randomIdentity();

} // namespace Common

#endif
