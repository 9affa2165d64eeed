#ifndef SYCAMOREREACH_COMMON_IDS_H
#define SYCAMOREREACH_COMMON_IDS_H

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

namespace Common {

/// A string identifier with a type of its own for each kind.
template <typename Tag> class StrongId {
public:
  StrongId() = default;
  explicit StrongId(std::string Text) : Text(std::move(Text)) {}

  const std::string &str() const { return this->Text; }
  bool empty() const { return this->Text.empty(); }

  auto operator<=>(const StrongId &) const = default;
  bool operator==(const StrongId &) const = default;

  template <class Archive> void serialize(Archive &Ar) { Ar(this->Text); }

private:
  std::string Text;
};

/// A number with a type of its own for each kind.
template <typename Tag> struct StrongNumber {
  std::uint64_t Value = 0;

  auto operator<=>(const StrongNumber &) const = default;
  bool operator==(const StrongNumber &) const = default;

  template <class Archive> void serialize(Archive &Ar) { Ar(this->Value); }
};

using HostId = StrongId<struct HostIdTag>;
using DataCentreId = StrongId<struct DataCentreIdTag>;
using BackendServerId = StrongId<struct BackendServerIdTag>;
using CallerId = StrongId<struct CallerIdTag>;
using ServiceName = StrongId<struct ServiceNameTag>;
using ModelName = StrongId<struct ModelNameTag>;
using PriorityName = StrongId<struct PriorityNameTag>;
/// Version of the software of a backend server, as the server announces it.
using SoftwareVersion = StrongId<struct SoftwareVersionTag>;
using CommandId = StrongId<struct CommandIdTag>;
/// Chosen by a caller to identify repeats of the same request.
using IdempotencyKey = StrongId<struct IdempotencyKeyTag>;
/// Identifies a daemon; stable across restarts.
using DaemonId = StrongId<struct DaemonIdTag>;

/// Increases each time a process or a backend server starts.
using Incarnation = StrongNumber<struct IncarnationTag>;
/// Version of the declared configuration; 0 if none was received.
using ConfigurationVersion = StrongNumber<struct ConfigurationVersionTag>;
/// Increases with each grant of a lease; receivers reject lower numbers.
using FencingNumber = StrongNumber<struct FencingNumberTag>;
/// Identifies a request within one entry daemon.
using RequestId = StrongNumber<struct RequestIdTag>;

} // namespace Common

#endif
