#include "Admission/PriorityScheduler.h"

#include <algorithm>
#include <cmath>

namespace Admission {

namespace {

/// Minimum capacity share of a priority, which keeps estimates finite when more
/// urgent work takes all capacity.
constexpr double MinShare = 0.01;

} // namespace

void PriorityScheduler::configure(
    const std::map<Common::PriorityName, PriorityRule> &Rules) {
  std::map<Common::PriorityName, PriorityState> Next;
  for (const auto &[Name, Rule] : Rules) {
    const auto Known = this->Priorities.find(Name);
    const double ServedCost =
        Known == this->Priorities.end() ? 0 : Known->second.ServedCost;
    Next[Name] = PriorityState{Rule, ServedCost};
  }
  this->Priorities = std::move(Next);
}

void PriorityScheduler::decay(Common::TimePoint Now) {
  if (Now <= this->DecayedAt)
    return;
  const double Factor = std::exp2(-Common::toSeconds(Now - this->DecayedAt) /
                                  Common::toSeconds(ServiceHalfLife));
  for (auto &Each : this->Priorities)
    Each.second.ServedCost *= Factor;
  this->DecayedAt = Now;
}

double PriorityScheduler::totalServedCost() const {
  double TotalServed = 0;
  for (const auto &Each : this->Priorities)
    TotalServed += Each.second.ServedCost;
  return TotalServed;
}

std::optional<Common::PriorityName>
PriorityScheduler::choose(const std::vector<Common::PriorityName> &Waiting,
                          Common::TimePoint Now) {
  this->decay(Now);
  const double TotalServed = std::max(this->totalServedCost(), 1.0);
  const Common::PriorityName *Urgent = nullptr;
  const Common::PriorityName *BelowFloor = nullptr;
  std::uint64_t UrgentRank = 0;
  double LargestDeficit = 0;
  for (const Common::PriorityName &Name : Waiting) {
    const auto Found = this->Priorities.find(Name);
    const PriorityState State =
        Found == this->Priorities.end() ? PriorityState() : Found->second;
    if (!Urgent || State.Rule.Rank < UrgentRank) {
      Urgent = &Name;
      UrgentRank = State.Rule.Rank;
    }
    const double Deficit = State.Rule.Floor - State.ServedCost / TotalServed;
    const double WeightedDeficit = Deficit * State.Rule.DeficitWeight;
    if (Deficit > 0 && WeightedDeficit > LargestDeficit) {
      BelowFloor = &Name;
      LargestDeficit = WeightedDeficit;
    }
  }
  if (BelowFloor)
    return *BelowFloor;
  return Urgent ? std::optional(*Urgent) : std::nullopt;
}

void PriorityScheduler::recordService(const Common::PriorityName &Priority,
                                      Cost Work, Common::TimePoint Now) {
  this->decay(Now);
  const auto Found = this->Priorities.find(Priority);
  if (Found != this->Priorities.end())
    Found->second.ServedCost += static_cast<double>(Work.Value);
}

void PriorityScheduler::refundService(const Common::PriorityName &Priority,
                                      Cost Work, Common::TimePoint Now) {
  this->decay(Now);
  const auto Found = this->Priorities.find(Priority);
  if (Found == this->Priorities.end())
    return;
  double &ServedCost = Found->second.ServedCost;
  ServedCost = std::max(0.0, ServedCost - static_cast<double>(Work.Value));
}

double PriorityScheduler::recentShare(const Common::PriorityName &Priority,
                                      Common::TimePoint Now) {
  this->decay(Now);
  const auto Found = this->Priorities.find(Priority);
  if (Found == this->Priorities.end())
    return 0;
  return Found->second.ServedCost / std::max(this->totalServedCost(), 1.0);
}

double PriorityScheduler::availableShare(
    const Common::PriorityName &Priority,
    const std::vector<Common::PriorityName> &Waiting, Common::TimePoint Now) {
  this->decay(Now);
  const auto Found = this->Priorities.find(Priority);
  if (Found == this->Priorities.end())
    return MinShare;
  const PriorityRule &Own = Found->second.Rule;
  double Share = 1;
  for (const auto &[Name, Each] : this->Priorities) {
    if (Name == Priority)
      continue;
    const bool Waits =
        std::find(Waiting.begin(), Waiting.end(), Name) != Waiting.end();
    // More urgent work is assumed to keep its recent share, and less urgent
    // work to receive its floor.
    if (Each.Rule.Rank < Own.Rank)
      Share -=
          std::max(this->recentShare(Name, Now), Waits ? Each.Rule.Floor : 0.0);
    else if (Waits)
      Share -= Each.Rule.Floor;
  }
  return std::max({Share, Own.Floor, MinShare});
}

double PriorityScheduler::floorOf(const Common::PriorityName &Priority) const {
  const auto Found = this->Priorities.find(Priority);
  return Found == this->Priorities.end()
             ? MinShare
             : std::max(Found->second.Rule.Floor, MinShare);
}

const PriorityRule *
PriorityScheduler::find(const Common::PriorityName &Priority) const {
  const auto Found = this->Priorities.find(Priority);
  return Found == this->Priorities.end() ? nullptr : &Found->second.Rule;
}

} // namespace Admission
