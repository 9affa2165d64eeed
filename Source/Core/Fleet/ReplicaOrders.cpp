#include "Fleet/ReplicaOrders.h"

#include <algorithm>
#include <cmath>

namespace Fleet {

double ReplicaOrders::peak(const Common::ServiceName &Service, double Engines,
                           const PoolCounts &Sound, Common::TimePoint Now) {
  const auto [Found, Fresh] = this->Peaks.try_emplace(Service);
  Peak &Of = Found->second;
  if (Fresh) {
    // Before there is any demand, what its operator started with stands for
    // it.
    double Servers = 0;
    for (const auto &[Key, Count] : Sound)
      if (Key.Service == Service)
        Servers += Count;
    Of.Engines = Servers / this->Options.ReclaimableHeadroom;
    Of.At = Now;
  }
  const double Passed = Common::toSeconds(Now - Of.At);
  const double Memory = Common::toSeconds(this->Options.PeakMemory);
  Of.Engines = std::max(Engines, Of.Engines * std::exp(-Passed / Memory));
  Of.At = Now;
  return Of.Engines;
}

ReplicaOrders::PoolCounts
ReplicaOrders::count(const Membership::ServerRegistry &Servers,
                     Common::TimePoint Now) const {
  PoolCounts Result;
  for (const auto &Each : Servers.entries()) {
    const Membership::ServerRecord &Record = Each.second.Record;
    if (Record.Phase == Membership::ServerPhase::Serving &&
        Now - Each.second.HeardAt < this->Options.FreshFor)
      ++Result[{Record.Service, Record.DataCentre, Record.Reclaimable}];
  }
  return Result;
}

ReplicaOrders::PoolCounts
ReplicaOrders::wanted(const Configuration::ServiceEntry &Service,
                      double Engines, const PoolCounts &Sound,
                      Common::TimePoint) const {
  const Configuration::ScalingBounds &Bounds = *Service.Scaling;
  const auto SoundAt = [&Sound](const ServerPoolKey &Key) {
    const auto Found = Sound.find(Key);
    return Found == Sound.end() ? 0u : Found->second;
  };
  std::vector<std::pair<double, Common::DataCentreId>> ByPrice;
  for (const auto &[DataCentre, Price] : Bounds.Prices)
    ByPrice.push_back({Price, DataCentre});
  std::sort(ByPrice.begin(), ByPrice.end());
  const auto Places = static_cast<std::uint32_t>(ByPrice.size());
  PoolCounts Result;
  if (Places == 0)
    return Result;

  const bool HasReclaimable = Bounds.ReclaimablePriceRatio < 1;
  const double Load = std::max(Engines, this->Options.LeastEngines /
                                            this->Options.SafeHeadroom);
  std::uint32_t SoundReclaimable = 0;
  std::uint32_t LargestPart = 0;
  if (HasReclaimable) {
    const auto Total = static_cast<std::uint32_t>(
        std::ceil(Load * this->Options.ReclaimableHeadroom));
    for (std::uint32_t I = 0; I < Places; ++I) {
      // What does not divide evenly goes to the cheapest places.
      const std::uint32_t Part = Total / Places + (I < Total % Places ? 1 : 0);
      const ServerPoolKey Key{Service.Name, ByPrice[I].second, true};
      Result[Key] = std::clamp(Part, Bounds.MinServers, Bounds.MaxServers);
      const std::uint32_t Here = std::min(SoundAt(Key), Result[Key]);
      SoundReclaimable += Here;
      LargestPart = std::max(LargestPart, Here);
    }
  }
  const auto Safe =
      static_cast<std::uint32_t>(std::ceil(Load * this->Options.SafeHeadroom));
  std::uint32_t Missing = Safe;
  Missing -= std::min(Missing, SoundReclaimable - LargestPart);
  for (const auto &[Price, DataCentre] : ByPrice) {
    const ServerPoolKey Key{Service.Name, DataCentre, false};
    const ServerPoolKey Other{Service.Name, DataCentre, true};
    const std::uint32_t Beside =
        HasReclaimable ? this->placesTaken(Other, Result[Other], SoundAt(Other))
                       : 0;
    const std::uint32_t Least =
        Bounds.MinServers > Beside ? Bounds.MinServers - Beside : 0;
    const std::uint32_t Most =
        Bounds.MaxServers > Beside ? Bounds.MaxServers - Beside : 0;
    Result[Key] = std::clamp(Missing, Least, std::max(Least, Most));
    // What is there will do until the reclaimable ones have started.
    if (this->idle())
      Result[Key] = std::min(Result[Key], std::max(Least, SoundAt(Key)));
    Missing -= std::min(Missing, Result[Key]);
  }
  return Result;
}

std::uint32_t ReplicaOrders::placesTaken(const ServerPoolKey &Key,
                                         std::uint32_t Wanted,
                                         std::uint32_t Sound) const {
  const auto Found = this->Pools.find(Key);
  if (Found == this->Pools.end() || !Found->second.Dry)
    return Wanted;
  // One place stays free, so that the first one can come when there are some
  // again.
  return std::min(Wanted, Sound + 1);
}

std::optional<ReplicaOrder> ReplicaOrders::orderFor(const ServerPoolKey &Key,
                                                    std::uint32_t Wanted,
                                                    std::uint32_t Sound,
                                                    Common::Duration StartTime,
                                                    Common::TimePoint Now) {
  Pool &Of = this->Pools[Key];
  if (Of.UnderWay || Now < Of.RefusedUntil)
    return std::nullopt;
  const std::uint32_t Held = Of.Ordered.value_or(Sound);
  if (Wanted < Held) {
    if (!Of.SurplusSince)
      Of.SurplusSince = Now;
    if (!this->idle() && Now - *Of.SurplusSince < this->Options.SurplusLasts)
      return std::nullopt;
  } else {
    Of.SurplusSince.reset();
  }
  // An earlier order may be carried out late and undo a newer one, and what
  // was taken back does not always come again.
  const bool EffectDue =
      Of.Ordered && Now - Of.OrderedAt > StartTime + this->Options.EffectSlack;
  const bool Differs = EffectDue && Sound != *Of.Ordered;
  if (Wanted == Held && !Differs)
    return std::nullopt;
  Of.UnderWay = true;
  return ReplicaOrder{Key, Wanted};
}

std::vector<ReplicaOrder>
ReplicaOrders::plan(const Configuration::ServiceMap &Declared,
                    const Membership::ServerRegistry &Servers,
                    const std::map<Common::ServiceName, double> &EnginesAsked,
                    Common::TimePoint Now) {
  std::vector<ReplicaOrder> Result;
  const PoolCounts Sound = this->count(Servers, Now);
  for (const auto &[Service, Engines] : EnginesAsked)
    this->DemandSeen = this->DemandSeen || Engines > 0;
  for (const Configuration::ServiceEntry &Service : Declared.services()) {
    if (!Service.Scaling)
      continue;
    const auto Asked = EnginesAsked.find(Service.Name);
    const double Engines =
        this->peak(Service.Name,
                   Asked == EnginesAsked.end() ? 0 : Asked->second, Sound, Now);
    for (const auto &[Key, Count] :
         this->wanted(Service, Engines, Sound, Now)) {
      const auto Found = Sound.find(Key);
      const auto Order =
          this->orderFor(Key, Count, Found == Sound.end() ? 0 : Found->second,
                         Service.Scaling->StartupTime, Now);
      if (Order)
        Result.push_back(*Order);
    }
  }
  return Result;
}

void ReplicaOrders::accepted(const ReplicaOrder &Order, Common::TimePoint Now) {
  Pool &Of = this->Pools[Order.Pool];
  Of.UnderWay = false;
  Of.Ordered = Order.Servers;
  Of.OrderedAt = Now;
  Of.Dry = false;
  Of.SurplusSince.reset();
}

void ReplicaOrders::refused(const ReplicaOrder &Order, Common::TimePoint Now) {
  Pool &Of = this->Pools[Order.Pool];
  Of.UnderWay = false;
  Of.Dry = true;
  Of.RefusedUntil = Now + this->Options.RefusedFor;
}

void ReplicaOrders::lost(const ReplicaOrder &Order, Common::TimePoint Now) {
  Pool &Of = this->Pools[Order.Pool];
  Of.UnderWay = false;
  Of.Ordered.reset();
  Of.RefusedUntil = Now + this->Options.RefusedFor;
}

} // namespace Fleet
