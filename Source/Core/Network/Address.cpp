#include "Network/Address.h"

#include <absl/strings/str_cat.h>
#include <arpa/inet.h>
#include <charconv>

namespace Network {

namespace {

constexpr unsigned MaxPort = 65535;

} // namespace

absl::StatusOr<Address> Address::create(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return absl::InvalidArgumentError(
        absl::StrCat("'", Text, "' has no port; write IP:PORT"));
  Address Result;
  Result.Ip = Text.substr(0, Colon);
  in_addr Parsed{};
  if (inet_pton(AF_INET, Result.Ip.c_str(), &Parsed) != 1)
    return absl::InvalidArgumentError(absl::StrCat(
        "'", Result.Ip, "' is not an IPv4 address; write it as 10.0.0.1"));
  unsigned Port = 0;
  const char *End = Text.data() + Text.size();
  const auto ParseResult = std::from_chars(Text.data() + Colon + 1, End, Port);
  if (ParseResult.ec != std::errc() || ParseResult.ptr != End || Port == 0 ||
      Port > MaxPort)
    return absl::InvalidArgumentError(
        absl::StrCat("'", Text, "' has an invalid port; use 1 to 65535"));
  Result.Port = static_cast<std::uint16_t>(Port);
  return Result;
}

std::string Address::str() const {
  return absl::StrCat(this->Ip, ":", this->Port);
}

} // namespace Network
