#ifndef SYCAMOREREACH_MEMBERSHIP_SERVERREGISTRY_H
#define SYCAMOREREACH_MEMBERSHIP_SERVERREGISTRY_H

#include "Common/Time.h"
#include "Membership/ServerEnd.h"
#include "Membership/VersionTable.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Membership {

/// The backend servers known to the gateway and the autoscaler; the other parts
/// of the entry daemon use BackendRegistry. Orders the servers' messages by
/// start time and sequence number, so that the result does not depend on the
/// order of arrival. Ages are measured on the local clock.
class ServerRegistry {
public:
  /// Effect of a message on the registry.
  enum class Outcome {
    /// A property that routing depends on changed.
    Changed,
    /// Only confirms that the server is live.
    Refreshed,
    /// Older than the stored record, or a duplicate.
    Stale,
  };
  /// Effect of a refresh on the registry.
  enum class RefreshOutcome {
    /// Confirms that the server is live.
    Live,
    /// The phase changed, as the message that changed it was missed.
    PhaseChanged,
    /// Older than the stored record, or a duplicate.
    Stale,
    /// There is no record of this incarnation, and a refresh does not describe
    /// it: the record has to be requested from the sender.
    RecordMissing,
  };
  struct Entry {
    ServerRecord Record;
    Common::TimePoint HeardAt;
  };

  /// Applies a record that a server or another daemon sent.
  Outcome update(const ServerRecord &Record, Common::TimePoint Now);
  /// Marks an incarnation as leaving or gone, also if this registry does not
  /// know it, so that a delayed heartbeat does not add it as serving. Returns
  /// whether that is news; it is none about an older incarnation than the known
  /// one.
  bool applyEnd(const ServerEnd &End, Common::TimePoint Now);
  /// Applies a refresh from another daemon that received message Sequence of
  /// this incarnation, in which the server was in Phase.
  RefreshOutcome refresh(const Common::BackendServerId &Id,
                         std::uint64_t StartedAt, std::uint64_t Sequence,
                         ServerPhase Phase, Common::TimePoint Now);
  /// Removes records of servers that have been gone or silent for longer than
  /// RetentionTime. Until then they reject delayed messages of that
  /// incarnation.
  void removeExpired(Common::TimePoint Now, Common::Duration RetentionTime);

  /// Keeps the version of an incarnation, also if its record is not known yet.
  /// The first version of an incarnation is final. Returns whether it is news.
  bool setVersion(const Common::BackendServerId &Id, std::uint64_t StartedAt,
                  const Common::SoftwareVersion &Version,
                  Common::TimePoint Now) {
    return this->Versions.set(Id, StartedAt, Version, Now);
  }
  /// Nothing if the incarnation's version is unknown.
  std::optional<Common::SoftwareVersion>
  versionOf(const Common::BackendServerId &Id, std::uint64_t StartedAt) const {
    return this->Versions.find(Id, StartedAt);
  }

  const Entry *find(const Common::BackendServerId &Id) const;
  const std::map<Common::BackendServerId, Entry> &entries() const {
    return this->Entries;
  }
  /// The server that last announced itself at the address; empty if none did.
  Common::BackendServerId ownerOf(const Network::Address &Address) const;
  std::vector<ServerRecord> records() const;

private:
  /// Marks an older server at the address of Record as gone. Returns false if a
  /// newer server holds the address.
  bool claimAddress(const ServerRecord &Record);

  std::map<Common::BackendServerId, Entry> Entries;
  std::map<Network::Address, Common::BackendServerId> AddressOwners;
  VersionTable Versions;
};

} // namespace Membership

#endif
