#ifndef SYCAMOREREACH_FLEET_AUTOSCALER_H
#define SYCAMOREREACH_FLEET_AUTOSCALER_H

#include "Common/Time.h"
#include "Configuration/ServiceMap.h"
#include "Membership/ServerRegistry.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Fleet {

/// The reclaimable or the on-demand servers of a service in one data centre.
struct ServerPoolKey {
  Common::ServiceName Service;
  Common::DataCentreId DataCentre;
  bool Reclaimable = false;
  auto operator<=>(const ServerPoolKey &) const = default;
};

/// A request to scale a pool to a number of servers.
struct ScalingAction {
  ServerPoolKey Pool;
  std::uint32_t Servers = 0;
};

struct AutoscalerOptions {
  /// Reclaimable engines provisioned for each busy engine.
  double ReclaimableHeadroom = 2.2;
  /// Reclaimable engines provisioned in addition, for the square root of the
  /// number of busy engines: a burst ends before a new server has started, and
  /// the demand of many callers varies relatively less.
  double ReclaimableBurstHeadroom = 4.3;
  /// Engines for each busy engine that must remain after the reclaimable
  /// engines of one data centre have been reclaimed.
  double SafeHeadroom = 1.65;
  /// Engines that must remain after the reclaimable engines of one data centre
  /// have been reclaimed, even without demand.
  double MinSurvivingEngines = 4;
  /// Time constant with which a peak of demand decays.
  Common::Duration PeakTimeConstant = std::chrono::seconds(20);
  /// How long a pool must have a surplus before it is scaled in.
  Common::Duration ScaleInDelay = std::chrono::seconds(4);
  /// When a pool that refused or did not confirm an action is tried again.
  Common::Duration RetryDelay = std::chrono::seconds(1);
  /// An accepted action is repeated when the pool does not have the requested
  /// number of healthy servers after the startup time plus this tolerance.
  Common::Duration StartupTolerance = std::chrono::seconds(3);
  /// This is the first leader of a new cluster, so there was no earlier demand.
  /// Until demand is measured, surplus servers are removed without ScaleInDelay
  /// and no on-demand servers are added beyond the minimum.
  bool NewCluster = false;
  /// In a new cluster, no action is taken before the servers have had this long
  /// to announce themselves.
  Common::Duration SettleTime = std::chrono::seconds(3);
  /// A server that has been silent for this long does not count.
  Common::Duration HeartbeatTimeout = std::chrono::milliseconds(4200);
};

/// Chooses the number of servers in each pool from the measured demand.
/// Reclaimable servers carry the load. They are spread over the data centres,
/// as the cloud reclaims all those of a data centre at once. On-demand servers
/// provide the capacity that would be missing after the loss of the data centre
/// with the most reclaimable servers.
class Autoscaler {
public:
  explicit Autoscaler(AutoscalerOptions Options = {}) : Options(Options) {}

  /// The actions to execute now. A pool gets no other action until one of
  /// onAccepted, onRefused and onUnconfirmed is called for this one. The number
  /// of servers ordered for the services in Held is not reduced.
  std::vector<ScalingAction>
  plan(const Configuration::ServiceMap &Services,
       const Membership::ServerRegistry &Servers,
       const std::map<Common::ServiceName, double> &BusyEngines,
       Common::TimePoint Now, const std::set<Common::ServiceName> &Held = {});
  void onAccepted(const ScalingAction &Action, Common::TimePoint Now);
  /// The pool has no servers available.
  void onRefused(const ScalingAction &Action, Common::TimePoint Now);
  /// The action was not sent, or got no response and may still take effect.
  void onUnconfirmed(const ScalingAction &Action, Common::TimePoint Now);

private:
  /// Number of servers by pool.
  using PoolCounts = std::map<ServerPoolKey, std::uint32_t>;
  struct PoolState {
    /// Number of servers in the last accepted action; absent if none was
    /// accepted or a later action is unconfirmed.
    std::optional<std::uint32_t> AcceptedCount;
    Common::TimePoint AcceptedAt;
    Common::TimePoint RetryAt;
    std::optional<Common::TimePoint> SurplusSince;
    bool ActionPending = false;
  };
  struct Peak {
    double Engines = 0;
    Common::TimePoint UpdatedAt;
  };
  double updatePeak(const Common::ServiceName &Service, double Engines,
                    const PoolCounts &Healthy, Common::TimePoint Now);
  PoolCounts countHealthy(const Membership::ServerRegistry &Servers,
                          Common::TimePoint Now) const;
  PoolCounts targetCounts(const Configuration::ServiceEntry &Service,
                          double Engines, const PoolCounts &Healthy,
                          Common::TimePoint Now) const;
  double reclaimableTarget(double Engines) const;
  /// The demand for which reclaimableTarget() is Servers.
  double enginesServedBy(double Servers) const;
  /// Whether this is a new cluster in which no demand has been measured yet.
  bool awaitsFirstDemand() const {
    return this->Options.NewCluster && !this->DemandSeen;
  }
  std::optional<ScalingAction>
  scalingActionFor(const ServerPoolKey &Key, std::uint32_t Target,
                   std::uint32_t Healthy, Common::Duration StartupTime,
                   Common::TimePoint Now, bool Held);

  AutoscalerOptions Options;
  std::map<ServerPoolKey, PoolState> Pools;
  std::map<Common::ServiceName, Peak> Peaks;
  bool DemandSeen = false;
  std::optional<Common::TimePoint> FirstPlanAt;
};

} // namespace Fleet

#endif
