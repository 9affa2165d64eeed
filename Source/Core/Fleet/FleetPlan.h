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

/// Hosts of one machine class in one data centre, either all reclaimable by
/// the cloud or all on-demand.
struct Pool {
  Common::DataCentreId DataCentre;
  MachineClass Class;
  bool Reclaimable = true;

  auto operator<=>(const Pool &) const = default;
};

/// The cloud's current price of a host of a pool.
struct Offer {
  Fleet::Pool Pool;
  double PricePerHour = 0;
};

/// What the declaration requires for one service.
struct ServiceRequirement {
  Common::ServiceName Service;
  Common::ModelName Model;
  std::string ModelVersion;
  std::uint64_t Replicas = 0;
  /// Replicas that should remain for urgent requests after the loss of the data
  /// centre with the most replicas.
  std::uint64_t UrgentFloor = 0;
};

enum class HostState : std::uint8_t { Starting, Running, Leaving };

/// A host as reported by the cloud and by its backend servers.
struct ProvisionedHost {
  Common::HostId Id;
  Fleet::Pool Pool;
  HostState State = HostState::Running;
  double PricePerHour = 0;
  /// The service assigned to the host; empty before the assignment.
  Common::ServiceName Service;
  /// The model that the host announces; empty while none is loaded.
  Common::ModelName Model;
  std::string ModelVersion;
  /// A model load was requested and has not finished.
  bool Loading = false;
};

/// The input of planFleet.
struct FleetSnapshot {
  std::vector<ServiceRequirement> Requirements;
  std::vector<Offer> Offers;
  std::vector<ProvisionedHost> Hosts;
  /// When hosts may be requested again from pools in which a start failed.
  std::map<Pool, Common::TimePoint> BackoffUntil;
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
/// Tell the entry daemons to send the host no new requests.
struct DrainHost {
  Common::HostId Host;
};
using Action = std::variant<StartHost, StopHost, LoadModel, DrainHost>;

struct Plan {
  std::vector<Action> Actions;
  /// Required replicas that no available pool provides within the budget.
  std::uint64_t MissingReplicas = 0;
  /// Price of the provisioned hosts once the actions are carried out.
  double PricePerHour = 0;
};

/// Returns the actions that bring the fleet to the declared state. A pure
/// function. Hosts are spread over data centres. On-demand hosts are used only
/// for the urgent floor, or while every reclaimable pool is in backoff. No host
/// is started that would exceed the budget. Of the hosts that already have a
/// model loaded, only one at a time loads another model or version.
Plan planFleet(const FleetSnapshot &Snapshot, Common::TimePoint Now);

/// Exponential backoff for pools in which starting a host failed (refused, or
/// no response).
class PoolBackoff {
public:
  static constexpr Common::Duration InitialDelay = std::chrono::seconds(5);
  static constexpr Common::Duration MaxDelay = std::chrono::minutes(5);

  void onStartFailed(const Pool &Pool, Common::TimePoint Now);
  void onStarted(const Pool &Pool) { this->Backoffs.erase(Pool); }
  /// The pools in backoff and the end of each backoff.
  std::map<Pool, Common::TimePoint> activeBackoffs(Common::TimePoint Now) const;

private:
  struct Backoff {
    Common::Duration Delay{};
    Common::TimePoint Until;
  };
  std::map<Pool, Backoff> Backoffs;
};

} // namespace Fleet

#endif
