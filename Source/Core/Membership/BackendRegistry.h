#ifndef SYCAMOREREACH_MEMBERSHIP_BACKENDREGISTRY_H
#define SYCAMOREREACH_MEMBERSHIP_BACKENDREGISTRY_H

#include "Membership/Announcement.h"

#include <absl/status/status.h>
#include <map>
#include <vector>

namespace Membership {

/// The backend servers known to this entry daemon from announcements and
/// gossip. The gateway and the autoscaler use ServerRegistry instead. A server
/// is usable for LeaseDuration after its last announcement. Newer announcements
/// and reclaim notices supersede older ones.
class BackendRegistry {
public:
  /// A server without an announcement for this long receives no new requests.
  static constexpr Common::Duration LeaseDuration = std::chrono::seconds(3);
  /// A silent server is removed after this time. Until then its entry keeps
  /// delayed messages from adding the server again.
  static constexpr Common::Duration RetentionTime = std::chrono::minutes(10);

  /// How long after a reclaim notice servers announced from that host count as
  /// leaving. Hosts of that name that appear later are new ones.
  static constexpr Common::Duration ReclaimRetentionTime =
      std::chrono::minutes(2);

  struct Entry {
    Announcement Latest;
    Common::TimePoint HeardAt;
    /// Whether the latest announcement was sent to this daemon rather than
    /// forwarded by another one.
    bool Direct = false;
  };

  /// Effect of an announcement on the registry.
  enum class Change {
    /// The announcement is stale or a duplicate.
    None,
    Refreshed,
    Appeared,
    /// The server stopped accepting new requests.
    BecameLeaving,
    /// A new incarnation of the server; its in-memory state is lost.
    Restarted,
  };

  /// Applies an announcement. HeardAt lies in the past if another daemon
  /// forwarded it.
  Change update(const Announcement &Received, Common::TimePoint HeardAt,
                bool Direct);
  /// Marks the server as leaving until a newer incarnation announces itself.
  Change markLeaving(const Common::BackendServerId &Id);
  /// Marks all known servers of a host as leaving and returns those that were
  /// serving. Servers announced from the host during the next
  /// ReclaimRetentionTime are marked as well.
  std::vector<Common::BackendServerId>
  markHostLeaving(const Common::HostId &Host, Common::TimePoint Now);

  /// Whether the server may receive new requests at Now.
  bool isUsable(const Entry &Each, Common::TimePoint Now) const;
  const Entry *find(const Common::BackendServerId &Id) const;
  const std::map<Common::BackendServerId, Entry> &entries() const {
    return this->Entries;
  }
  /// Removes servers and reclaim notices whose retention time has passed.
  void removeExpired(Common::TimePoint Now);
  /// Ends all leases. Called after this process was suspended, as the age of
  /// queued messages is then unknown.
  void expireAllLeases(Common::TimePoint Now);

private:
  bool isReclaimed(const Common::HostId &Host, Common::TimePoint Now) const;

  std::map<Common::BackendServerId, Entry> Entries;
  std::map<Common::HostId, Common::TimePoint> ReclaimedAt;
};

} // namespace Membership

#endif
