#ifndef SYCAMOREREACH_MEMBERSHIP_ANNOUNCEMENT_H
#define SYCAMOREREACH_MEMBERSHIP_ANNOUNCEMENT_H

#include "Common/Ids.h"
#include "Common/Time.h"
#include "Network/Address.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <string>
#include <vector>

namespace Membership {

enum class ServerState : std::uint8_t {
  Serving,
  /// Takes no new work; what runs there is finished.
  Leaving,
};

/// What a backend server says it can do at once.
struct Capacity {
  /// Requests that run together.
  std::uint64_t Slots = 1;
  /// Blocks of prompt prefixes that its cache holds; 0 for a plain service.
  std::uint64_t CacheBlocks = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Slots, this->CacheBlocks);
  }
};

/// Load as the backend server measured it, some time ago.
struct Load {
  std::uint64_t Running = 0;
  std::uint64_t Queued = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Running, this->Queued);
  }
};

/// A change of a prefix cache. Events of one server are numbered without
/// gaps; a missing number means that events were lost.
struct CacheEvent {
  std::uint64_t Sequence = 0;
  bool Stored = true;
  /// Hash of the prompt's prefix up to and with this block.
  std::uint64_t Block = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Sequence, this->Stored, this->Block);
  }
};

/// What a backend server tells any entry host about itself.
struct Announcement {
  Common::BackendServerId BackendServer;
  Common::ServiceName Service;
  Common::ModelName Model;
  std::string ModelVersion;
  Network::Address Address;
  Common::HostId Host;
  Common::DataCentreId DataCentre;
  Common::Incarnation Incarnation;
  std::uint64_t Sequence = 0;
  ServerState State = ServerState::Serving;
  Membership::Capacity Capacity;
  Membership::Load Load;
  /// Whether it refuses orders with old fencing numbers.
  bool ChecksFencing = false;
  /// Price of its host for an hour.
  double PricePerHour = 0;
  /// Not spread to other daemons.
  std::vector<CacheEvent> CacheEvents;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->BackendServer, this->Service, this->Model, this->ModelVersion,
       this->Address, this->Host, this->DataCentre, this->Incarnation,
       this->Sequence, this->State, this->Capacity, this->Load,
       this->ChecksFencing, this->PricePerHour);
  }
};

/// Reads the JSON of POST /v1/announce; InvalidArgument names the field.
absl::StatusOr<Announcement> parseAnnouncement(const std::string &Json);

/// The JSON form, for backend servers in C++.
std::string formatAnnouncement(const Announcement &From);

} // namespace Membership

#endif
