#ifndef SYCAMOREREACH_COMMON_HASH_H
#define SYCAMOREREACH_COMMON_HASH_H

#include <cstdint>
#include <string>
#include <string_view>

namespace Common {

/// 64-bit xxHash, for placement and checksums. Not cryptographically secure.
std::uint64_t hashBytes(std::string_view Bytes, std::uint64_t Seed = 0);

/// Maps Hash to [0, 1), evenly.
double fractionOf(std::uint64_t Hash);

/// SHA-256 of Bytes as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view Bytes);

/// HMAC-SHA256 of Bytes, as 32 raw bytes.
std::string hmacSha256(std::string_view Key, std::string_view Bytes);

/// Compares in time that does not depend on the position of a difference.
bool equalInConstantTime(std::string_view Left, std::string_view Right);

/// Value as 16 lower-case hexadecimal digits.
std::string toHex(std::uint64_t Value);

/// A random 64-bit identifier as 16 hexadecimal digits, from a
/// cryptographically secure generator.
std::string randomHexId();

} // namespace Common

#endif
