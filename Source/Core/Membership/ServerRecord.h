#ifndef SYCAMOREREACH_MEMBERSHIP_SERVERRECORD_H
#define SYCAMOREREACH_MEMBERSHIP_SERVERRECORD_H

#include "Common/Ids.h"
#include "Network/Address.h"

#include <cstdint>

namespace Membership {

/// Where a backend server stands in its life; it never goes back.
enum class ServerPhase : std::uint8_t {
  Serving,
  /// Finishes what it runs and takes nothing new.
  Leaving,
  /// Has left, or was replaced at its address.
  Gone,
};

/// For logs.
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

/// What a backend server last said of itself.
struct ServerRecord {
  Common::BackendServerId Id;
  Common::ServiceName Service;
  Network::Address Address;
  Common::DataCentreId DataCentre;
  std::uint32_t Slots = 0;
  ServerPhase Phase = ServerPhase::Serving;
  /// Wall clock of its start in milliseconds; orders the lives at an address.
  std::uint64_t StartedAt = 0;
  /// Rises with each message of one life.
  std::uint64_t Sequence = 0;
  /// It may be taken back by its cloud.
  bool Reclaimable = false;
  /// How much longer it works slowly after its start.
  std::uint64_t WarmUpMilliseconds = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->Service, this->Address, this->DataCentre, this->Slots,
       this->Phase, this->StartedAt, this->Sequence, this->Reclaimable,
       this->WarmUpMilliseconds);
  }
};

} // namespace Membership

#endif
