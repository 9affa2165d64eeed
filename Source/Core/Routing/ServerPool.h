#ifndef SYCAMOREREACH_ROUTING_SERVERPOOL_H
#define SYCAMOREREACH_ROUTING_SERVERPOOL_H

#include "Membership/Announcement.h"
#include "Routing/DispatchWindow.h"
#include "Routing/PrefixIndex.h"
#include "Routing/Quarantine.h"
#include "Routing/ServerConditions.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Routing {

/// The state of a backend server that the dispatcher depends on.
struct ServerStatus {
  Common::BackendServerId Id;
  Common::Incarnation Incarnation;
  /// Sequence number of the announcement within this incarnation.
  std::uint64_t Sequence = 0;
  Membership::Capacity Capacity;
  Membership::Load Load;
  /// Whether the server is in this daemon's data centre.
  bool Local = true;
  /// Whether membership and the declaration let the server take new
  /// requests. A failure seen by this daemon is recorded in FailedAtSequence
  /// instead.
  bool Usable = true;
};

/// This daemon's state for one backend server of a service.
struct PooledServer {
  ServerStatus Status;
  DispatchWindow Window{1};
  PrefixIndex Cache{0};
  /// Requests that this daemon runs on the server.
  std::set<Common::RequestId> Running;
  /// If set, the server failed and gets no new requests until an announcement
  /// of a new incarnation or with a higher sequence number arrives.
  std::optional<std::uint64_t> FailedAtSequence;
  /// This daemon's share of the window, in whole requests.
  std::size_t ConcurrencyLimit = 0;
  /// False while the server rests, as it asked for, and while it is probed
  /// after that.
  bool AcceptsRequests = true;

  bool isAvailable() const {
    return this->Status.Usable && !this->FailedAtSequence &&
           this->AcceptsRequests;
  }
  bool hasCapacity() const {
    return this->isAvailable() && this->Running.size() < this->ConcurrencyLimit;
  }
  ServerIncarnation incarnation() const {
    return {this->Status.Id, this->Status.Incarnation};
  }
  bool idle() const { return this->Running.empty(); }
};

/// The backend servers of one service.
class ServerPool {
public:
  /// Adds a server or updates it from a new announcement.
  void update(const ServerStatus &Status);
  void applyCacheEvents(const Common::BackendServerId &Id,
                        const std::vector<Membership::CacheEvent> &Events);
  void setUsable(const Common::BackendServerId &Id, bool Usable);
  /// Sends no new requests to the server until its next announcement.
  void markFailed(const Common::BackendServerId &Id);
  /// The condition to record into; null if the server has restarted since.
  ServerCondition *recordCondition(const ServerIncarnation &Server) {
    return this->Conditions.record(Server);
  }
  const ServerConditions &conditions() const { return this->Conditions; }
  /// Sets AcceptsRequests of all servers.
  void updateConditions(Common::TimePoint Now);
  /// When the first usable server takes requests again; nothing unless all of
  /// them rest or are being probed after a rest.
  std::optional<Common::TimePoint> restEnd(Common::TimePoint Now) const;
  /// Removes idle servers whose Status.Usable is false.
  void removeUnused();

  /// Sets the concurrency limits. Share is the fraction of every window that
  /// this daemon may use. DaemonSalt differs between daemons and decides how
  /// fractional limits are rounded; without it all daemons would round alike,
  /// and the sum of their limits would miss the window.
  void updateLimits(double Share, std::uint64_t DaemonSalt);

  PooledServer *find(const Common::BackendServerId &Id);
  const PooledServer *find(const Common::BackendServerId &Id) const;
  const std::map<Common::BackendServerId, PooledServer> &servers() const {
    return this->Servers;
  }
  /// Number of requests that this daemon may run at once.
  std::size_t totalConcurrencyLimit() const;
  bool anyUsable() const;

private:
  std::size_t concurrencyLimitOf(const PooledServer &Server, double Share,
                                 std::uint64_t Salt) const;

  std::map<Common::BackendServerId, PooledServer> Servers;
  ServerConditions Conditions;
};

} // namespace Routing

#endif
