#include "Fleet/Autoscaler.h"

#include <algorithm>
#include <cmath>

namespace Fleet {

double Autoscaler::reclaimableTarget(double Engines) const {
  return Engines * this->Options.ReclaimableHeadroom +
         std::sqrt(Engines) * this->Options.ReclaimableBurstHeadroom;
}

double Autoscaler::enginesServedBy(double Servers) const {
  const double Burst = this->Options.ReclaimableBurstHeadroom;
  const double Headroom = this->Options.ReclaimableHeadroom;
  const double Root =
      (std::sqrt(Burst * Burst + 4 * Headroom * Servers) - Burst) /
      (2 * Headroom);
  return Root * Root;
}

double Autoscaler::updatePeak(const Common::ServiceName &Service,
                              double Engines, const PoolCounts &Healthy,
                              Common::TimePoint Now) {
  const auto [Found, Inserted] = this->Peaks.try_emplace(Service);
  Peak &Current = Found->second;
  if (Inserted || this->awaitsFirstDemand()) {
    // There is no earlier peak: start with the demand for which the present
    // healthy servers would be provisioned, so that they are not removed at
    // once. In a new cluster, only the on-demand servers were there before.
    double Servers = 0;
    for (const auto &[Key, Count] : Healthy)
      if (Key.Service == Service &&
          !(Key.Reclaimable && this->awaitsFirstDemand()))
        Servers += Count;
    Current.Engines = std::max(Current.Engines, this->enginesServedBy(Servers));
    Current.UpdatedAt = Now;
  }
  const double Elapsed = Common::toSeconds(Now - Current.UpdatedAt);
  const double TimeConstant = Common::toSeconds(this->Options.PeakTimeConstant);
  Current.Engines =
      std::max(Engines, Current.Engines * std::exp(-Elapsed / TimeConstant));
  Current.UpdatedAt = Now;
  return Current.Engines;
}

Autoscaler::PoolCounts
Autoscaler::countHealthy(const Membership::ServerRegistry &Servers,
                         Common::TimePoint Now) const {
  PoolCounts Result;
  for (const auto &Each : Servers.entries()) {
    const Membership::ServerRecord &Record = Each.second.Record;
    if (Record.Phase == Membership::ServerPhase::Serving &&
        Now - Each.second.HeardAt < this->Options.HeartbeatTimeout)
      ++Result[{Record.Service, Record.DataCentre, Record.Reclaimable}];
  }
  return Result;
}

Autoscaler::PoolCounts
Autoscaler::targetCounts(const Configuration::ServiceEntry &Service,
                         double Engines, const PoolCounts &Healthy,
                         Common::TimePoint) const {
  const Configuration::ScalingBounds &Bounds = *Service.Scaling;
  const auto HealthyIn = [&Healthy](const ServerPoolKey &Key) {
    const auto Found = Healthy.find(Key);
    return Found == Healthy.end() ? 0u : Found->second;
  };
  std::vector<std::pair<double, Common::DataCentreId>> ByPrice;
  for (const auto &[DataCentre, Price] : Bounds.Prices)
    ByPrice.push_back({Price, DataCentre});
  std::sort(ByPrice.begin(), ByPrice.end());
  const auto DataCentres = static_cast<std::uint32_t>(ByPrice.size());
  PoolCounts Result;
  if (DataCentres == 0)
    return Result;

  const bool HasReclaimable = Bounds.ReclaimablePriceRatio < 1;
  const double Load = std::max(Engines, this->Options.MinSurvivingEngines /
                                            this->Options.SafeHeadroom);
  std::uint32_t HealthyReclaimable = 0;
  std::uint32_t LargestShare = 0;
  if (HasReclaimable) {
    const auto Total =
        static_cast<std::uint32_t>(std::ceil(this->reclaimableTarget(Load)));
    for (std::uint32_t I = 0; I < DataCentres; ++I) {
      // The cheapest data centres take the remainder.
      const std::uint32_t Share =
          Total / DataCentres + (I < Total % DataCentres ? 1 : 0);
      const ServerPoolKey Key{Service.Name, ByPrice[I].second, true};
      Result[Key] = std::clamp(Share, Bounds.MinServers, Bounds.MaxServers);
      const std::uint32_t HealthyCount = std::min(HealthyIn(Key), Result[Key]);
      HealthyReclaimable += HealthyCount;
      LargestShare = std::max(LargestShare, HealthyCount);
    }
  }
  const auto MinSurviving =
      static_cast<std::uint32_t>(std::ceil(Load * this->Options.SafeHeadroom));
  std::uint32_t Missing = MinSurviving;
  Missing -= std::min(Missing, HealthyReclaimable - LargestShare);
  for (const auto &[Price, DataCentre] : ByPrice) {
    const ServerPoolKey Key{Service.Name, DataCentre, false};
    const ServerPoolKey ReclaimableKey{Service.Name, DataCentre, true};
    // Reclaimable servers that were only requested neither replace on-demand
    // servers nor use up the limit.
    const std::uint32_t ReclaimableInDataCentre =
        HasReclaimable
            ? std::min(HealthyIn(ReclaimableKey), Result[ReclaimableKey])
            : 0;
    const std::uint32_t RequestedReclaimable =
        HasReclaimable ? Result[ReclaimableKey] : 0;
    const std::uint32_t MinOnDemand =
        Bounds.MinServers - std::min(Bounds.MinServers, RequestedReclaimable);
    const std::uint32_t MaxOnDemand =
        Bounds.MaxServers > ReclaimableInDataCentre
            ? Bounds.MaxServers - ReclaimableInDataCentre
            : 0;
    Result[Key] =
        std::clamp(Missing, MinOnDemand, std::max(MinOnDemand, MaxOnDemand));
    // Before the first demand, do not start on-demand servers beyond the
    // minimum; the reclaimable servers are about to start.
    if (this->awaitsFirstDemand())
      Result[Key] =
          std::min(Result[Key], std::max(MinOnDemand, HealthyIn(Key)));
    Missing -= std::min(Missing, Result[Key]);
    // The limit applies to both kinds together.
    if (HasReclaimable)
      Result[ReclaimableKey] = std::min(
          Result[ReclaimableKey],
          Bounds.MaxServers - std::min(Bounds.MaxServers, Result[Key]));
  }
  return Result;
}

std::optional<ScalingAction> Autoscaler::scalingActionFor(
    const ServerPoolKey &Key, std::uint32_t Target, std::uint32_t Healthy,
    Common::Duration StartupTime, Common::TimePoint Now, bool Held) {
  PoolState &State = this->Pools[Key];
  if (State.ActionPending || Now < State.RetryAt)
    return std::nullopt;
  const std::uint32_t CurrentCount = State.AcceptedCount.value_or(Healthy);
  // A rollout starts servers beyond those that were ordered, so more healthy
  // ones are no reason to repeat an order either.
  if (Held && (Target < CurrentCount ||
               (Target == CurrentCount && Healthy >= CurrentCount))) {
    State.SurplusSince.reset();
    return std::nullopt;
  }
  if (Target < CurrentCount) {
    if (!State.SurplusSince)
      State.SurplusSince = Now;
    if (!this->awaitsFirstDemand() &&
        Now - *State.SurplusSince < this->Options.ScaleInDelay)
      return std::nullopt;
  } else {
    State.SurplusSince.reset();
  }
  // Repeat an accepted action if the pool still has another number of servers:
  // a delayed earlier action may have overridden it, or the cloud may not have
  // replaced reclaimed servers.
  const bool StartupOverdue =
      State.AcceptedCount &&
      Now - State.AcceptedAt > StartupTime + this->Options.StartupTolerance;
  const bool CountDiffers = StartupOverdue && Healthy != *State.AcceptedCount;
  if (Target == CurrentCount && !CountDiffers)
    return std::nullopt;
  State.ActionPending = true;
  return ScalingAction{Key, Target};
}

std::vector<ScalingAction>
Autoscaler::plan(const Configuration::ServiceMap &Services,
                 const Membership::ServerRegistry &Servers,
                 const std::map<Common::ServiceName, double> &BusyEngines,
                 Common::TimePoint Now,
                 const std::set<Common::ServiceName> &Held) {
  std::vector<ScalingAction> Result;
  const PoolCounts Healthy = this->countHealthy(Servers, Now);
  for (const auto &[Service, Engines] : BusyEngines)
    this->DemandSeen = this->DemandSeen || Engines > 0;
  if (!this->FirstPlanAt)
    this->FirstPlanAt = Now;
  if (this->Options.NewCluster &&
      Now - *this->FirstPlanAt < this->Options.SettleTime)
    return Result;
  for (const Configuration::ServiceEntry &Service : Services.services()) {
    if (!Service.Scaling)
      continue;
    const auto Busy = BusyEngines.find(Service.Name);
    const double Engines = this->updatePeak(
        Service.Name, Busy == BusyEngines.end() ? 0 : Busy->second, Healthy,
        Now);
    for (const auto &[Key, Count] :
         this->targetCounts(Service, Engines, Healthy, Now)) {
      const auto Found = Healthy.find(Key);
      const auto Action = this->scalingActionFor(
          Key, Count, Found == Healthy.end() ? 0 : Found->second,
          Service.Scaling->StartupTime, Now, Held.contains(Service.Name));
      if (Action)
        Result.push_back(*Action);
    }
  }
  return Result;
}

void Autoscaler::onAccepted(const ScalingAction &Action,
                            Common::TimePoint Now) {
  PoolState &State = this->Pools[Action.Pool];
  State.ActionPending = false;
  State.AcceptedCount = Action.Servers;
  State.AcceptedAt = Now;
  State.SurplusSince.reset();
}

void Autoscaler::onRefused(const ScalingAction &Action, Common::TimePoint Now) {
  PoolState &State = this->Pools[Action.Pool];
  State.ActionPending = false;
  State.RetryAt = Now + this->Options.RetryDelay;
}

void Autoscaler::onUnconfirmed(const ScalingAction &Action,
                               Common::TimePoint Now) {
  PoolState &State = this->Pools[Action.Pool];
  State.ActionPending = false;
  State.AcceptedCount.reset();
  State.RetryAt = Now + this->Options.RetryDelay;
}

} // namespace Fleet
