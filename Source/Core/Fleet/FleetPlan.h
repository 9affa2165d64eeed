#ifndef SYCAMOREREACH_FLEET_FLEETPLAN_H
#define SYCAMOREREACH_FLEET_FLEETPLAN_H

#include "Common/Ids.h"
#include "Common/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Fleet {

using MachineClass = Common::StrongId<struct MachineClassTag>;

/// Hosts of one machine class in one data centre, at one kind of price.
struct Pool {
  Common::DataCentreId DataCentre;
  MachineClass Class;
  bool Reclaimable = true;

  auto operator<=>(const Pool &) const = default;
};

/// What the cloud asks for a pool now.
struct Offer {
  Fleet::Pool Pool;
  double PricePerHour = 0;
};

/// What a service needs.
struct ServiceNeed {
  Common::ServiceName Service;
  Common::ModelName Model;
  std::string ModelVersion;
  std::uint64_t Replicas = 0;
  /// Replicas that urgent work needs even after the loss of the data centre
  /// with the most of them.
  std::uint64_t UrgentFloor = 0;
};

enum class HostState : std::uint8_t { Starting, Running, Leaving };

/// A host as the cloud and the backend servers show it.
struct HeldHost {
  Common::HostId Id;
  Fleet::Pool Pool;
  HostState State = HostState::Running;
  double PricePerHour = 0;
  /// What it was given to run; empty before that.
  Common::ServiceName Service;
  /// What runs there according to its announcements.
  Common::ModelName Model;
  std::string ModelVersion;
  /// A load was ordered and has not ended.
  bool Loading = false;
};

/// Everything that a plan depends on.
struct Observation {
  std::vector<ServiceNeed> Needs;
  std::vector<Offer> Offers;
  std::vector<HeldHost> Hosts;
  /// Pools that lately refused to start a host, until when.
  std::map<Pool, Common::TimePoint> BackedOff;
  std::optional<double> BudgetPerHour;
};

struct StartHost {
  Fleet::Pool Pool;
  Common::ServiceName Service;
};
struct StopHost {
  Common::HostId Host;
};
/// Load the declared model and version.
struct LoadModel {
  Common::HostId Host;
  Common::ServiceName Service;
  Common::ModelName Model;
  std::string ModelVersion;
};
/// Tell the entry daemons that the host takes no new work.
struct DrainHost {
  Common::HostId Host;
};
using Order = std::variant<StartHost, StopHost, LoadModel, DrainHost>;

struct Plan {
  std::vector<Order> Orders;
  /// Replicas that no pool within the budget could give.
  std::uint64_t Missing = 0;
  /// Price of what is held and ordered.
  double PricePerHour = 0;
};

/// The orders that bring what runs to what is declared: a pure function.
/// Hosts are spread over data centres; on-demand ones are taken for the urgent
/// floor only, or where reclaimable pools are backed off; the budget is
/// never exceeded; at most one version change for each service at a time.
Plan planFleet(const Observation &Seen, Common::TimePoint Now);

/// Waits that grow while a pool refuses to start hosts.
class PoolBackoff {
public:
  static constexpr Common::Duration First = std::chrono::seconds(5);
  static constexpr Common::Duration Longest = std::chrono::minutes(5);

  void refused(const Pool &Which, Common::TimePoint Now);
  void started(const Pool &Which) { this->Waits.erase(Which); }
  std::map<Pool, Common::TimePoint> backedOff(Common::TimePoint Now) const;

private:
  struct Wait {
    Common::Duration Length{};
    Common::TimePoint Until;
  };
  std::map<Pool, Wait> Waits;
};

} // namespace Fleet

#endif
