#ifndef SYCAMOREREACH_MEMBERSHIP_SERVERRECORD_H
#define SYCAMOREREACH_MEMBERSHIP_SERVERRECORD_H

#include "Common/Ids.h"
#include "Network/Address.h"

#include <cstdint>

namespace Membership {

/// Life-cycle phase of a backend server. Within one incarnation it only
/// advances.
enum class ServerPhase : std::uint8_t {
  Serving,
  /// Completes running requests and accepts no new ones.
  Leaving,
  /// Deregistered, or replaced by another server at its address.
  Gone,
};

/// Name of the phase in log lines.
constexpr const char *nameOf(ServerPhase Phase) {
  switch (Phase) {
  case ServerPhase::Serving:
    return "serving";
  case ServerPhase::Leaving:
    return "leaving";
  case ServerPhase::Gone:
    return "gone";
  }
  return "unknown";
}

/// The last state that a backend server reported.
struct ServerRecord {
  Common::BackendServerId Id;
  Common::ServiceName Service;
  Network::Address Address;
  Common::DataCentreId DataCentre;
  std::uint32_t Slots = 0;
  ServerPhase Phase = ServerPhase::Serving;
  /// Start time in milliseconds of wall-clock time; orders the incarnations of
  /// a server and the servers at an address.
  std::uint64_t StartedAt = 0;
  /// Increases with each message of one incarnation.
  std::uint64_t Sequence = 0;
  /// Whether the cloud may reclaim the server.
  bool Reclaimable = false;
  /// Remaining time of reduced performance after the start.
  std::uint64_t WarmUpMilliseconds = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->Service, this->Address, this->DataCentre, this->Slots,
       this->Phase, this->StartedAt, this->Sequence, this->Reclaimable,
       this->WarmUpMilliseconds);
  }
};

} // namespace Membership

#endif
