#ifndef SYCAMOREREACH_ROUTING_SERVERPOOL_H
#define SYCAMOREREACH_ROUTING_SERVERPOOL_H

#include "Membership/Announcement.h"
#include "Routing/DispatchWindow.h"
#include "Routing/PrefixIndex.h"
#include "Routing/Quarantine.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Routing {

/// What a dispatcher must know of a backend server to use it.
struct ServerStatus {
  Common::BackendServerId Id;
  Common::Incarnation Incarnation;
  /// Numbers the server's announcements within its life.
  std::uint64_t Sequence = 0;
  Membership::Capacity Capacity;
  Membership::Load Load;
  /// In this daemon's data centre.
  bool Local = true;
  bool Usable = true;
};

/// A backend server of one service as this daemon uses it.
struct PooledServer {
  ServerStatus Status;
  DispatchWindow Window{1};
  PrefixIndex Cache{0};
  /// Requests of this daemon that run there.
  std::set<Common::RequestId> Running;
  /// Unusable until a later announcement than this one.
  std::optional<std::uint64_t> FailedAtSequence;
  /// This daemon's part of the window, in whole requests.
  std::size_t ConcurrencyLimit = 0;

  bool hasCapacity() const {
    return this->Status.Usable && !this->FailedAtSequence &&
           this->Running.size() < this->ConcurrencyLimit;
  }
  bool idle() const { return this->Running.empty(); }
};

/// The backend servers of one service.
class ServerPool {
public:
  /// Server is new or its announcement changed.
  void update(const ServerStatus &Status);
  void applyCacheEvents(const Common::BackendServerId &Id,
                        const std::vector<Membership::CacheEvent> &Events);
  void setUsable(const Common::BackendServerId &Id, bool Usable);
  /// Takes a server out until it announces itself again.
  void markFailed(const Common::BackendServerId &Id);
  /// Forgets servers that are unusable and run nothing.
  void removeUnused();

  /// Sets this daemon's part of all windows. Rounding differs from daemon to
  /// daemon, so that all parts together come near the windows.
  void updateLimits(double Share, std::uint64_t DaemonSalt);

  PooledServer *find(const Common::BackendServerId &Id);
  const PooledServer *find(const Common::BackendServerId &Id) const;
  const std::map<Common::BackendServerId, PooledServer> &servers() const {
    return this->Servers;
  }
  /// Requests that this daemon may have running at once.
  std::size_t totalConcurrencyLimit() const;
  bool anyUsable() const;

private:
  std::size_t concurrencyLimitOf(const PooledServer &Each, double Share,
                                 std::uint64_t Salt) const;

  std::map<Common::BackendServerId, PooledServer> Servers;
};

} // namespace Routing

#endif
