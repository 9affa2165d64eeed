#ifndef SYCAMOREREACH_NETWORK_ADDRESS_H
#define SYCAMOREREACH_NETWORK_ADDRESS_H

#include <absl/status/statusor.h>
#include <compare>
#include <cstdint>
#include <string>

namespace Network {

/// An IPv4 address and port. Host names are not resolved.
struct Address {
  std::string Ip;
  std::uint16_t Port = 0;

  /// Parses "IP:PORT". Returns InvalidArgument, with the cause, on bad input.
  static absl::StatusOr<Address> create(const std::string &Text);

  std::string str() const;
  bool empty() const { return this->Port == 0; }

  auto operator<=>(const Address &) const = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Ip, this->Port);
  }
};

} // namespace Network

#endif
