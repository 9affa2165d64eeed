#include "Fleet/FleetPlan.h"

#include <algorithm>

namespace Fleet {

namespace {

/// The hosts of one service while its plan is made.
class ServicePlanner {
public:
  ServicePlanner(const ServiceNeed &Need, const Observation &Seen,
                 Common::TimePoint Now, Plan &Result)
      : Need(Need), Seen(Seen), Now(Now), Result(Result) {
    for (const HeldHost &Host : Seen.Hosts)
      if (Host.Service == Need.Service && Host.State != HostState::Leaving)
        this->Held.push_back(&Host);
    for (const HeldHost *Host : this->Held) {
      ++this->PerCentre[Host->Pool.DataCentre];
      this->OnDemand += Host->Pool.Reclaimable ? 0 : 1;
    }
  }

  void plan() {
    this->loadDeclared();
    std::size_t Count = this->Held.size();
    while (Count < this->wanted()) {
      if (!this->startOne()) {
        this->Result.Missing += this->wanted() - Count;
        return;
      }
      ++Count;
    }
    if (Count == this->Held.size() && this->settled())
      this->stopSurplus(Count);
  }

private:
  /// Replicas such that the floor is left when the largest data centre goes.
  std::size_t wanted() const {
    std::size_t Largest = 0;
    std::size_t Total = 0;
    for (const auto &Each : this->PerCentre) {
      Largest = std::max<std::size_t>(Largest, Each.second);
      Total += Each.second;
    }
    const std::size_t Replicas = this->Need.Replicas;
    if (Total < Replicas || Total - Largest >= this->Need.UrgentFloor)
      return Replicas;
    // One more in another data centre; never more than twice the declared.
    return std::min(2 * Replicas, Total + 1);
  }

  /// Whether all that is held serves what is declared; only then can
  /// something be spared.
  bool settled() const {
    return std::all_of(this->Held.begin(), this->Held.end(),
                       [&](const HeldHost *Host) {
                         return Host->State == HostState::Running &&
                                Host->Model == this->Need.Model &&
                                Host->ModelVersion == this->Need.ModelVersion;
                       });
  }

  void loadDeclared() {
    const bool OneLoads = std::any_of(
        this->Held.begin(), this->Held.end(), [&](const HeldHost *Host) {
          return Host->Loading && !Host->Model.empty();
        });
    bool Changing = OneLoads;
    for (const HeldHost *Host : this->Held) {
      if (Host->State != HostState::Running || Host->Loading)
        continue;
      const bool Declared = Host->Model == this->Need.Model &&
                            Host->ModelVersion == this->Need.ModelVersion;
      if (Declared)
        continue;
      // An empty host can load at once; one that serves waits its turn.
      const bool Serves = !Host->Model.empty();
      if (Serves && Changing)
        continue;
      Changing = Changing || Serves;
      this->Result.Orders.push_back(LoadModel{Host->Id, this->Need.Service,
                                              this->Need.Model,
                                              this->Need.ModelVersion});
    }
  }

  bool affordable(const Offer &Each) const {
    return !this->Seen.BudgetPerHour ||
           this->Result.PricePerHour + Each.PricePerHour <=
               *this->Seen.BudgetPerHour;
  }

  bool backedOff(const Pool &Which) const {
    const auto Found = this->Seen.BackedOff.find(Which);
    return Found != this->Seen.BackedOff.end() && this->Now < Found->second;
  }

  /// Whether on-demand hosts may be taken now.
  bool mayTakeOnDemand() const {
    if (this->OnDemand < this->Need.UrgentFloor)
      return true;
    return std::none_of(this->Seen.Offers.begin(), this->Seen.Offers.end(),
                        [&](const Offer &Each) {
                          return Each.Pool.Reclaimable &&
                                 !this->backedOff(Each.Pool);
                        });
  }

  bool startOne() {
    const Offer *Best = nullptr;
    std::size_t BestCount = 0;
    const bool OnDemandToo = this->mayTakeOnDemand();
    for (const Offer &Each : this->Seen.Offers) {
      if (this->backedOff(Each.Pool) || !this->affordable(Each))
        continue;
      if (!Each.Pool.Reclaimable && !OnDemandToo)
        continue;
      const auto Found = this->PerCentre.find(Each.Pool.DataCentre);
      const std::size_t Count =
          Found == this->PerCentre.end() ? 0 : Found->second;
      // The emptiest data centre first, then the lowest price.
      const bool Better =
          !Best || Count < BestCount ||
          (Count == BestCount && Each.PricePerHour < Best->PricePerHour);
      if (!Better)
        continue;
      Best = &Each;
      BestCount = Count;
    }
    if (!Best)
      return false;
    ++this->PerCentre[Best->Pool.DataCentre];
    this->OnDemand += Best->Pool.Reclaimable ? 0 : 1;
    this->Result.PricePerHour += Best->PricePerHour;
    this->Result.Orders.push_back(StartHost{Best->Pool, this->Need.Service});
    return true;
  }

  void stopSurplus(std::size_t Count) {
    std::vector<const HeldHost *> ByPrice = this->Held;
    std::sort(ByPrice.begin(), ByPrice.end(),
              [](const HeldHost *Left, const HeldHost *Right) {
                return Left->PricePerHour > Right->PricePerHour;
              });
    for (const HeldHost *Host : ByPrice) {
      if (Count <= this->wanted())
        return;
      std::size_t &Here = this->PerCentre[Host->Pool.DataCentre];
      --Here;
      if (this->wanted() > Count - 1) {
        ++Here;
        continue;
      }
      --Count;
      this->Result.PricePerHour -= Host->PricePerHour;
      this->Result.Orders.push_back(DrainHost{Host->Id});
      this->Result.Orders.push_back(StopHost{Host->Id});
    }
  }

  const ServiceNeed &Need;
  const Observation &Seen;
  Common::TimePoint Now;
  Plan &Result;
  std::vector<const HeldHost *> Held;
  std::map<Common::DataCentreId, std::size_t> PerCentre;
  std::size_t OnDemand = 0;
};

} // namespace

Plan planFleet(const Observation &Seen, Common::TimePoint Now) {
  Plan Result;
  for (const HeldHost &Host : Seen.Hosts) {
    Result.PricePerHour += Host.PricePerHour;
    if (Host.State == HostState::Leaving)
      Result.Orders.push_back(DrainHost{Host.Id});
  }
  // What nothing declared needs any more.
  for (const HeldHost &Host : Seen.Hosts) {
    const bool Needed = std::any_of(
        Seen.Needs.begin(), Seen.Needs.end(),
        [&](const ServiceNeed &Need) { return Need.Service == Host.Service; });
    if (Needed || Host.State == HostState::Leaving)
      continue;
    Result.PricePerHour -= Host.PricePerHour;
    Result.Orders.push_back(DrainHost{Host.Id});
    Result.Orders.push_back(StopHost{Host.Id});
  }
  for (const ServiceNeed &Need : Seen.Needs)
    ServicePlanner(Need, Seen, Now, Result).plan();
  return Result;
}

void PoolBackoff::refused(const Pool &Which, Common::TimePoint Now) {
  Wait &Each = this->Waits[Which];
  Each.Length = Each.Length.count() == 0
                    ? First
                    : std::min<Common::Duration>(Each.Length * 2, Longest);
  Each.Until = Now + Each.Length;
}

std::map<Pool, Common::TimePoint>
PoolBackoff::backedOff(Common::TimePoint Now) const {
  std::map<Pool, Common::TimePoint> Result;
  for (const auto &[Which, Each] : this->Waits)
    if (Now < Each.Until)
      Result[Which] = Each.Until;
  return Result;
}

} // namespace Fleet
