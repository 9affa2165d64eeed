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
  /// Accepts no new requests; running requests complete.
  Leaving,
};

/// Capacity that a backend server announces.
struct Capacity {
  /// Maximum number of concurrent requests.
  std::uint64_t Slots = 1;
  /// Capacity of the prefix cache in blocks; 0 for a plain service.
  std::uint64_t CacheBlocks = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Slots, this->CacheBlocks);
  }
};

/// Load as measured by the backend server; may be out of date.
struct Load {
  std::uint64_t Running = 0;
  std::uint64_t Queued = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Running, this->Queued);
  }
};

/// A change to a prefix cache. Events of one server are numbered without
/// gaps; a missing number means that events were lost.
struct CacheEvent {
  std::uint64_t Sequence = 0;
  /// True if the block was added, false if it was evicted.
  bool Stored = true;
  /// Hash of the prompt's prefix up to and including this block.
  std::uint64_t Block = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Sequence, this->Stored, this->Block);
  }
};

/// State that a backend server reports to any entry daemon.
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
  /// Whether the server rejects calls with stale fencing numbers.
  bool ChecksFencing = false;
  /// Hourly price of the host.
  double PricePerHour = 0;
  /// Not serialized, so never gossiped to other daemons.
  std::vector<CacheEvent> CacheEvents;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->BackendServer, this->Service, this->Model, this->ModelVersion,
       this->Address, this->Host, this->DataCentre, this->Incarnation,
       this->Sequence, this->State, this->Capacity, this->Load,
       this->ChecksFencing, this->PricePerHour);
  }
};

/// Parses the JSON body of POST /v1/announce. Returns InvalidArgument with
/// the first error found.
absl::StatusOr<Announcement> parseAnnouncement(const std::string &Text);

/// Formats the JSON body of POST /v1/announce.
std::string formatAnnouncement(const Announcement &Input);

} // namespace Membership

#endif
