#ifndef SYCAMOREREACH_FLEET_AUTOSCALER_H
#define SYCAMOREREACH_FLEET_AUTOSCALER_H

#include "Common/Time.h"
#include "Configuration/ServiceMap.h"
#include "Membership/ServerRegistry.h"

#include <map>
#include <optional>
#include <vector>

namespace Fleet {

/// One kind of server of a service in one data centre.
struct ServerPoolKey {
  Common::ServiceName Service;
  Common::DataCentreId DataCentre;
  bool Reclaimable = false;
  auto operator<=>(const ServerPoolKey &) const = default;
};

struct ScalingAction {
  ServerPoolKey Pool;
  std::uint32_t Servers = 0;
};

struct AutoscalerOptions {
  /// Reclaimable engines held for each engine that callers keep busy: bursts
  /// are over before a new server has started.
  double ReclaimableHeadroom = 5.0;
  /// Engines that must stay when a data centre's reclaimable ones are taken,
  /// for each engine that callers keep busy.
  double SafeHeadroom = 1.35;
  /// Engines that are held without any demand.
  double LeastEngines = 4;
  /// A peak of demand is remembered with this time constant.
  Common::Duration PeakMemory = std::chrono::seconds(20);
  /// A surplus of ordinary servers must last this long before it is given up.
  Common::Duration SurplusLasts = std::chrono::seconds(4);
  /// A pool that had none to give is asked again after this time.
  Common::Duration RefusedFor = std::chrono::seconds(1);
  /// Beyond the start time, until an order that shows no effect is repeated.
  Common::Duration EffectSlack = std::chrono::seconds(3);
  /// The group has just been founded: no caller has asked for anything before
  /// the first demand that is seen.
  bool NewGroup = false;
  /// A server that was silent for longer does not count.
  Common::Duration FreshFor = std::chrono::milliseconds(4200);
};

/// How many servers of each kind to order in each data centre, from what
/// callers ask for. Reclaimable servers carry the load, spread over the data
/// centres, as each loses its own at once. Ordinary servers fill what would be
/// missing after the loss of the largest part.
class Autoscaler {
public:
  explicit Autoscaler(AutoscalerOptions Options = {}) : Options(Options) {}

  /// The orders to make now; each is marked as under way.
  std::vector<ScalingAction>
  plan(const Configuration::ServiceMap &Declared,
       const Membership::ServerRegistry &Servers,
       const std::map<Common::ServiceName, double> &EnginesAsked,
       Common::TimePoint Now);
  /// The order was taken.
  void onAccepted(const ScalingAction &Order, Common::TimePoint Now);
  /// None are to be had there now.
  void onRefused(const ScalingAction &Order, Common::TimePoint Now);
  /// No answer, or none was sent: it may be carried out late.
  void onUnconfirmed(const ScalingAction &Order, Common::TimePoint Now);

private:
  /// Sound servers by pool.
  using PoolCounts = std::map<ServerPoolKey, std::uint32_t>;
  struct Pool {
    std::optional<std::uint32_t> Ordered;
    Common::TimePoint OrderedAt;
    Common::TimePoint RefusedUntil;
    /// The last order for more could not be met.
    bool Dry = false;
    /// Since when more were there than wanted.
    std::optional<Common::TimePoint> SurplusSince;
    bool UnderWay = false;
  };
  struct Peak {
    double Engines = 0;
    Common::TimePoint At;
  };
  double peak(const Common::ServiceName &Service, double Engines,
              const PoolCounts &Sound, Common::TimePoint Now);
  PoolCounts count(const Membership::ServerRegistry &Servers,
                   Common::TimePoint Now) const;
  PoolCounts wanted(const Configuration::ServiceEntry &Service, double Engines,
                    const PoolCounts &Sound, Common::TimePoint Now) const;
  /// Places that a pool's servers take in its data centre, of those there and
  /// those that will come.
  std::uint32_t placesTaken(const ServerPoolKey &Key, std::uint32_t Wanted,
                            std::uint32_t Sound) const;
  /// No caller has asked for anything yet.
  bool idle() const { return this->Options.NewGroup && !this->DemandSeen; }
  std::optional<ScalingAction>
  orderFor(const ServerPoolKey &Key, std::uint32_t Wanted, std::uint32_t Sound,
           Common::Duration StartTime, Common::TimePoint Now);

  AutoscalerOptions Options;
  std::map<ServerPoolKey, Pool> Pools;
  std::map<Common::ServiceName, Peak> Peaks;
  bool DemandSeen = false;
};

} // namespace Fleet

#endif
