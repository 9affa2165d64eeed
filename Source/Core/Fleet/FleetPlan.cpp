#include "Fleet/FleetPlan.h"

#include <algorithm>

namespace Fleet {

namespace {

/// Plans the hosts of one service.
class ServicePlanner {
public:
  ServicePlanner(const ServiceRequirement &Requirement,
                 const FleetSnapshot &Snapshot, Common::TimePoint Now,
                 Plan &Result)
      : Requirement(Requirement), Snapshot(Snapshot), Now(Now), Result(Result) {
    for (const ProvisionedHost &Host : Snapshot.Hosts)
      if (Host.Service == Requirement.Service &&
          Host.State != HostState::Leaving)
        this->Hosts.push_back(&Host);
    for (const ProvisionedHost *Host : this->Hosts) {
      ++this->HostsPerDataCentre[Host->Pool.DataCentre];
      this->OnDemandHosts += Host->Pool.Reclaimable ? 0 : 1;
    }
  }

  void plan() {
    this->loadDeclaredModel();
    std::size_t Count = this->Hosts.size();
    while (Count < this->targetReplicas()) {
      if (!this->startReplica()) {
        this->Result.MissingReplicas += this->targetReplicas() - Count;
        return;
      }
      ++Count;
    }
    if (Count == this->Hosts.size() && this->isConverged())
      this->stopSurplus(Count);
  }

private:
  /// The declared number of replicas or, while the urgent floor would not
  /// remain after the loss of the data centre with the most replicas, one more
  /// than are planned, at most twice the declared number. Changes with
  /// HostsPerDataCentre, so call it again after each planned start or stop.
  std::size_t targetReplicas() const {
    std::size_t Largest = 0;
    std::size_t Total = 0;
    for (const auto &Each : this->HostsPerDataCentre) {
      Largest = std::max<std::size_t>(Largest, Each.second);
      Total += Each.second;
    }
    const std::size_t Replicas = this->Requirement.Replicas;
    if (Total < Replicas || Total - Largest >= this->Requirement.UrgentFloor)
      return Replicas;
    return std::min(2 * Replicas, Total + 1);
  }

  /// Whether every host serves the declared model; surplus hosts are stopped
  /// only then.
  bool isConverged() const {
    return std::all_of(this->Hosts.begin(), this->Hosts.end(),
                       [&](const ProvisionedHost *Host) {
                         return Host->State == HostState::Running &&
                                Host->Model == this->Requirement.Model &&
                                Host->ModelVersion ==
                                    this->Requirement.ModelVersion;
                       });
  }

  void loadDeclaredModel() {
    const bool ModelChangeInProgress =
        std::any_of(this->Hosts.begin(), this->Hosts.end(),
                    [&](const ProvisionedHost *Host) {
                      return Host->Loading && !Host->Model.empty();
                    });
    bool HasModelChange = ModelChangeInProgress;
    for (const ProvisionedHost *Host : this->Hosts) {
      if (Host->State != HostState::Running || Host->Loading)
        continue;
      const bool UpToDate =
          Host->Model == this->Requirement.Model &&
          Host->ModelVersion == this->Requirement.ModelVersion;
      if (UpToDate)
        continue;
      // A host without a model can load immediately. Of the others, only one at
      // a time loads another model or version.
      const bool IsServing = !Host->Model.empty();
      if (IsServing && HasModelChange)
        continue;
      HasModelChange = HasModelChange || IsServing;
      this->Result.Actions.push_back(
          LoadModel{Host->Id, this->Requirement.Service,
                    this->Requirement.Model, this->Requirement.ModelVersion});
    }
  }

  bool isWithinBudget(const Offer &Offer) const {
    return !this->Snapshot.BudgetPerHour ||
           this->Result.PricePerHour + Offer.PricePerHour <=
               *this->Snapshot.BudgetPerHour;
  }

  bool isBackedOff(const Pool &Pool) const {
    const auto Found = this->Snapshot.BackoffUntil.find(Pool);
    return Found != this->Snapshot.BackoffUntil.end() &&
           this->Now < Found->second;
  }

  /// Whether on-demand hosts may be started now.
  bool canUseOnDemand() const {
    if (this->OnDemandHosts < this->Requirement.UrgentFloor)
      return true;
    return std::none_of(this->Snapshot.Offers.begin(),
                        this->Snapshot.Offers.end(), [&](const Offer &Offer) {
                          return Offer.Pool.Reclaimable &&
                                 !this->isBackedOff(Offer.Pool);
                        });
  }

  bool startReplica() {
    const Offer *Best = nullptr;
    std::size_t FewestHosts = 0;
    const bool OnDemandAllowed = this->canUseOnDemand();
    for (const Offer &Offer : this->Snapshot.Offers) {
      if (this->isBackedOff(Offer.Pool) || !this->isWithinBudget(Offer))
        continue;
      if (!Offer.Pool.Reclaimable && !OnDemandAllowed)
        continue;
      const auto Found = this->HostsPerDataCentre.find(Offer.Pool.DataCentre);
      const std::size_t Count =
          Found == this->HostsPerDataCentre.end() ? 0 : Found->second;
      // Prefer the data centre with the fewest hosts, then the lowest price.
      const bool Better =
          !Best || Count < FewestHosts ||
          (Count == FewestHosts && Offer.PricePerHour < Best->PricePerHour);
      if (!Better)
        continue;
      Best = &Offer;
      FewestHosts = Count;
    }
    if (!Best)
      return false;
    ++this->HostsPerDataCentre[Best->Pool.DataCentre];
    this->OnDemandHosts += Best->Pool.Reclaimable ? 0 : 1;
    this->Result.PricePerHour += Best->PricePerHour;
    this->Result.Actions.push_back(
        StartHost{Best->Pool, this->Requirement.Service});
    return true;
  }

  void stopSurplus(std::size_t Count) {
    std::vector<const ProvisionedHost *> ByPrice = this->Hosts;
    std::sort(ByPrice.begin(), ByPrice.end(),
              [](const ProvisionedHost *Left, const ProvisionedHost *Right) {
                return Left->PricePerHour > Right->PricePerHour;
              });
    for (const ProvisionedHost *Host : ByPrice) {
      if (Count <= this->targetReplicas())
        return;
      std::size_t &HostCount = this->HostsPerDataCentre[Host->Pool.DataCentre];
      --HostCount;
      if (this->targetReplicas() > Count - 1) {
        ++HostCount;
        continue;
      }
      --Count;
      this->Result.PricePerHour -= Host->PricePerHour;
      this->Result.Actions.push_back(DrainHost{Host->Id});
      this->Result.Actions.push_back(StopHost{Host->Id});
    }
  }

  const ServiceRequirement &Requirement;
  const FleetSnapshot &Snapshot;
  Common::TimePoint Now;
  Plan &Result;
  std::vector<const ProvisionedHost *> Hosts;
  std::map<Common::DataCentreId, std::size_t> HostsPerDataCentre;
  std::size_t OnDemandHosts = 0;
};

} // namespace

Plan planFleet(const FleetSnapshot &Snapshot, Common::TimePoint Now) {
  Plan Result;
  for (const ProvisionedHost &Host : Snapshot.Hosts) {
    Result.PricePerHour += Host.PricePerHour;
    if (Host.State == HostState::Leaving)
      Result.Actions.push_back(DrainHost{Host.Id});
  }
  // Stop the hosts of services that are no longer declared.
  for (const ProvisionedHost &Host : Snapshot.Hosts) {
    const bool Required =
        std::any_of(Snapshot.Requirements.begin(), Snapshot.Requirements.end(),
                    [&](const ServiceRequirement &Requirement) {
                      return Requirement.Service == Host.Service;
                    });
    if (Required || Host.State == HostState::Leaving)
      continue;
    Result.PricePerHour -= Host.PricePerHour;
    Result.Actions.push_back(DrainHost{Host.Id});
    Result.Actions.push_back(StopHost{Host.Id});
  }
  for (const ServiceRequirement &Requirement : Snapshot.Requirements)
    ServicePlanner(Requirement, Snapshot, Now, Result).plan();
  return Result;
}

void PoolBackoff::onStartFailed(const Pool &Pool, Common::TimePoint Now) {
  Backoff &Current = this->Backoffs[Pool];
  Current.Delay = Current.Delay.count() == 0
                      ? InitialDelay
                      : std::min<Common::Duration>(Current.Delay * 2, MaxDelay);
  Current.Until = Now + Current.Delay;
}

std::map<Pool, Common::TimePoint>
PoolBackoff::activeBackoffs(Common::TimePoint Now) const {
  std::map<Pool, Common::TimePoint> Result;
  for (const auto &[Pool, Backoff] : this->Backoffs)
    if (Now < Backoff.Until)
      Result[Pool] = Backoff.Until;
  return Result;
}

} // namespace Fleet
