#ifndef SYCAMOREREACH_MEMBERSHIP_SERVEREND_H
#define SYCAMOREREACH_MEMBERSHIP_SERVEREND_H

#include "Membership/ServerRecord.h"

#include <compare>

namespace Membership {

/// States that one incarnation of a server accepts no new requests: it is
/// leaving or gone.
struct ServerEnd {
  Common::BackendServerId Id;
  /// 0 if the server states no start time.
  std::uint64_t StartedAt = 0;
  ServerPhase Phase = ServerPhase::Gone;

  /// Ordered by server, start time and phase.
  auto operator<=>(const ServerEnd &) const = default;

  /// Whether what this states implies what Other states.
  bool covers(const ServerEnd &Other) const {
    return this->Id == Other.Id &&
           (this->StartedAt > Other.StartedAt ||
            (this->StartedAt == Other.StartedAt && this->Phase >= Other.Phase));
  }

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->StartedAt, this->Phase);
  }
};

} // namespace Membership

#endif
