#include "Common/Hash.h"

#include <array>
#include <cmath>
#include <cstdio>
#include <openssl/crypto.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <openssl/sha.h>
#include <xxhash.h>

namespace Common {

namespace {

std::string formatHex(const unsigned char *Bytes, std::size_t Size) {
  static constexpr char Digits[] = "0123456789abcdef";
  std::string Text;
  Text.reserve(Size * 2);
  for (std::size_t I = 0; I < Size; ++I) {
    Text.push_back(Digits[Bytes[I] >> 4]);
    Text.push_back(Digits[Bytes[I] & 15]);
  }
  return Text;
}

const unsigned char *asBytes(std::string_view Text) {
  return reinterpret_cast<const unsigned char *>(Text.data());
}

} // namespace

std::uint64_t hashBytes(std::string_view Bytes, std::uint64_t Seed) {
  return XXH64(Bytes.data(), Bytes.size(), Seed);
}

double fractionOf(std::uint64_t Hash) {
  // The upper 53 bits fit into a double exactly.
  return std::ldexp(static_cast<double>(Hash >> 11), -53);
}

std::string sha256Hex(std::string_view Bytes) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> Digest{};
  SHA256(asBytes(Bytes), Bytes.size(), Digest.data());
  return formatHex(Digest.data(), Digest.size());
}

std::string hmacSha256(std::string_view Key, std::string_view Bytes) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> Digest{};
  unsigned int Size = 0;
  HMAC(EVP_sha256(), Key.data(), static_cast<int>(Key.size()), asBytes(Bytes),
       Bytes.size(), Digest.data(), &Size);
  return std::string(reinterpret_cast<const char *>(Digest.data()), Size);
}

bool equalInConstantTime(std::string_view Left, std::string_view Right) {
  if (Left.size() != Right.size())
    return false;
  return CRYPTO_memcmp(Left.data(), Right.data(), Left.size()) == 0;
}

std::string toHex(std::uint64_t Value) {
  std::array<char, 17> Text{};
  std::snprintf(Text.data(), Text.size(), "%016llx",
                static_cast<unsigned long long>(Value));
  return Text.data();
}

std::string randomHexId() {
  std::array<unsigned char, 8> Bytes{};
  RAND_bytes(Bytes.data(), Bytes.size());
  return formatHex(Bytes.data(), Bytes.size());
}

} // namespace Common
