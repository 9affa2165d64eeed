#ifndef SYCAMOREREACH_MEMBERSHIP_SERVERREGISTRY_H
#define SYCAMOREREACH_MEMBERSHIP_SERVERREGISTRY_H

#include "Common/Time.h"
#include "Membership/ServerRecord.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Membership {

/// The backend servers that announced themselves, and the order of what they
/// say. Freshness is measured on the clock of the daemon that holds it.
class ServerRegistry {
public:
  /// What a message did.
  enum class Outcome {
    /// Something that routing depends on is new.
    Changed,
    /// Only proves that the server lives.
    Refreshed,
    /// Older than what is held.
    Stale,
  };
  struct Entry {
    ServerRecord Record;
    Common::TimePoint HeardAt;
  };

  Outcome update(const ServerRecord &Record, Common::TimePoint Now);
  /// The server says that it has left; false when it is not known.
  bool markGone(const Common::BackendServerId &Id, std::uint64_t StartedAt,
                Common::TimePoint Now);
  /// The server was heard of by a daemon that holds Sequence of this life.
  void refresh(const Common::BackendServerId &Id, std::uint64_t StartedAt,
               std::uint64_t Sequence, Common::TimePoint Now);
  /// Drops records of servers that are gone or silent for longer than
  /// RetentionTime; until then they keep late messages of that life from
  /// counting.
  void removeExpired(Common::TimePoint Now, Common::Duration RetentionTime);

  const Entry *find(const Common::BackendServerId &Id) const;
  const std::map<Common::BackendServerId, Entry> &entries() const {
    return this->Entries;
  }
  std::vector<ServerRecord> records() const;

private:
  /// Ends older lives at the address that Record claims; false when a newer
  /// life holds it.
  bool claimAddress(const ServerRecord &Record);

  std::map<Common::BackendServerId, Entry> Entries;
  std::map<Network::Address, Common::BackendServerId> AddressOwners;
};

} // namespace Membership

#endif
