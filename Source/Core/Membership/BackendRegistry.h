#ifndef SYCAMOREREACH_MEMBERSHIP_BACKENDREGISTRY_H
#define SYCAMOREREACH_MEMBERSHIP_BACKENDREGISTRY_H

#include "Membership/Announcement.h"

#include <absl/status/status.h>
#include <map>
#include <vector>

namespace Membership {

/// The backend servers that this daemon knows of. A server is usable for the
/// length of a lease after its last announcement; what a server or a reclaim
/// notice said later wins over what was said before.
class BackendRegistry {
public:
  /// A server that was silent for this long gets no new work.
  static constexpr Common::Duration LeaseDuration = std::chrono::seconds(3);
  /// A silent server is forgotten after this time, so that an old message
  /// cannot bring it back before.
  static constexpr Common::Duration RetentionTime = std::chrono::minutes(10);

  /// A reclaimed host's name counts as leaving for this time.
  static constexpr Common::Duration ReclaimRetentionTime =
      std::chrono::minutes(2);

  struct Entry {
    Announcement Latest;
    Common::TimePoint HeardAt;
    /// Whether it announced itself to this daemon.
    bool Direct = false;
  };

  /// What a new announcement changed.
  enum class Change {
    /// Older than what is known, or the same.
    None,
    Refreshed,
    Appeared,
    /// It stopped taking new work.
    BecameLeaving,
    /// The same server with a new life: what it had in memory is gone.
    Restarted,
  };

  /// HeardAt may lie in the past for what another daemon passed on.
  Change update(const Announcement &Received, Common::TimePoint HeardAt,
                bool Direct);
  /// Takes the server out until a later life announces itself.
  Change markLeaving(const Common::BackendServerId &Id);
  /// Takes out all servers of a host, and those that it announces within
  /// ReclaimRetentionTime.
  std::vector<Common::BackendServerId>
  markHostLeaving(const Common::HostId &Host, Common::TimePoint Now);

  /// Whether it may get new work now.
  bool isUsable(const Entry &Each, Common::TimePoint Now) const;
  const Entry *find(const Common::BackendServerId &Id) const;
  const std::map<Common::BackendServerId, Entry> &entries() const {
    return this->Entries;
  }
  /// Forgets what was silent for long.
  void removeExpired(Common::TimePoint Now);
  /// Ends all leases; called when this process noticed that it was stopped
  /// for a while and cannot tell how old its messages are.
  void expireAllLeases(Common::TimePoint Now);

private:
  bool isReclaimed(const Common::HostId &Host, Common::TimePoint Now) const;

  std::map<Common::BackendServerId, Entry> Entries;
  std::map<Common::HostId, Common::TimePoint> ReclaimedAt;
};

} // namespace Membership

#endif
