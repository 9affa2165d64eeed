#ifndef SYCAMOREREACH_FLEET_REPLICAORDERS_H
#define SYCAMOREREACH_FLEET_REPLICAORDERS_H

#include "Common/Time.h"
#include "Configuration/ServiceMap.h"
#include "Membership/ServerRegistry.h"

#include <map>
#include <tuple>
#include <vector>

namespace Fleet {

/// One kind of server of a service in one data centre.
struct ServerPoolKey {
  Common::ServiceName Service;
  Common::DataCentreId DataCentre;
  bool Reclaimable = false;
  auto operator<=>(const ServerPoolKey &) const = default;
};

struct ReplicaOrder {
  ServerPoolKey Pool;
  std::uint32_t Servers = 0;
};

/// How many servers of each kind to order in each data centre, from what
/// callers ask for. Reclaimable servers carry the load where they are to be
/// had; ordinary ones hold the floor that the loss of a data centre leaves.
class ReplicaOrders {
public:
  /// The orders that differ from what was last ordered.
  std::vector<ReplicaOrder>
  plan(const Configuration::ServiceMap &Declared,
       const Membership::ServerRegistry &Servers,
       const std::map<Common::ServiceName, double> &EnginesAsked,
       Common::TimePoint Now);
  /// The order was taken.
  void accepted(const ReplicaOrder &Order, Common::TimePoint Now);
  /// None are to be had there now.
  void refused(const ReplicaOrder &Order, Common::TimePoint Now);
  /// No answer: it may be carried out late.
  void lost(const ReplicaOrder &Order, Common::TimePoint Now);

private:
  struct Pool {
    std::optional<std::uint32_t> Ordered;
    Common::TimePoint OrderedAt;
    Common::TimePoint RefusedUntil;
    bool InFlight = false;
  };
  struct Demand {
    double Smoothed = 0;
    Common::TimePoint At;
    Common::TimePoint Since;
  };
  std::map<ServerPoolKey, std::uint32_t>
  wanted(const Configuration::ServiceEntry &Service, double Engines,
         Common::TimePoint Now) const;

  std::map<ServerPoolKey, Pool> Pools;
  std::map<Common::ServiceName, Demand> Demands;
};

} // namespace Fleet

#endif
