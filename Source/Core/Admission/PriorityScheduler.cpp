#include "Admission/PriorityScheduler.h"

#include <algorithm>
#include <cmath>

namespace Admission {

namespace {

/// Even work that is shut out by more urgent work is promised this much, so
/// that estimates stay finite.
constexpr double LeastShare = 0.01;

} // namespace

void PriorityScheduler::configure(
    const std::map<Common::PriorityName, PriorityRule> &Rules) {
  std::map<Common::PriorityName, Tracked> Next;
  for (const auto &[Name, Rule] : Rules) {
    const auto Known = this->Priorities.find(Name);
    const double Served =
        Known == this->Priorities.end() ? 0 : Known->second.Served;
    Next[Name] = Tracked{Rule, Served};
  }
  this->Priorities = std::move(Next);
}

void PriorityScheduler::decay(Common::TimePoint Now) {
  if (Now <= this->DecayedAt)
    return;
  const double Factor = std::exp2(-Common::toSeconds(Now - this->DecayedAt) /
                                  Common::toSeconds(ServiceHalfLife));
  for (auto &Each : this->Priorities)
    Each.second.Served *= Factor;
  this->DecayedAt = Now;
}

double PriorityScheduler::total() const {
  double Sum = 0;
  for (const auto &Each : this->Priorities)
    Sum += Each.second.Served;
  return Sum;
}

std::optional<Common::PriorityName>
PriorityScheduler::choose(const std::vector<Common::PriorityName> &Waiting,
                          Common::TimePoint Now) {
  this->decay(Now);
  const double Sum = std::max(this->total(), 1.0);
  const Common::PriorityName *Urgent = nullptr;
  const Common::PriorityName *Owed = nullptr;
  std::uint64_t UrgentRank = 0;
  double MostOwed = 0;
  for (const Common::PriorityName &Name : Waiting) {
    const auto Found = this->Priorities.find(Name);
    const Tracked Each =
        Found == this->Priorities.end() ? Tracked() : Found->second;
    if (!Urgent || Each.Rule.Rank < UrgentRank) {
      Urgent = &Name;
      UrgentRank = Each.Rule.Rank;
    }
    const double Missing = Each.Rule.Floor - Each.Served / Sum;
    const double Weighted = Missing * Each.Rule.Worth;
    if (Missing > 0 && Weighted > MostOwed) {
      Owed = &Name;
      MostOwed = Weighted;
    }
  }
  if (Owed)
    return *Owed;
  return Urgent ? std::optional(*Urgent) : std::nullopt;
}

void PriorityScheduler::served(const Common::PriorityName &Priority, Cost Work,
                               Common::TimePoint Now) {
  this->decay(Now);
  const auto Found = this->Priorities.find(Priority);
  if (Found != this->Priorities.end())
    Found->second.Served += static_cast<double>(Work.Value);
}

void PriorityScheduler::unserved(const Common::PriorityName &Priority,
                                 Cost Work, Common::TimePoint Now) {
  this->decay(Now);
  const auto Found = this->Priorities.find(Priority);
  if (Found == this->Priorities.end())
    return;
  double &Served = Found->second.Served;
  Served = std::max(0.0, Served - static_cast<double>(Work.Value));
}

double PriorityScheduler::recentShare(const Common::PriorityName &Priority,
                                      Common::TimePoint Now) {
  this->decay(Now);
  const auto Found = this->Priorities.find(Priority);
  if (Found == this->Priorities.end())
    return 0;
  return Found->second.Served / std::max(this->total(), 1.0);
}

double
PriorityScheduler::available(const Common::PriorityName &Priority,
                             const std::vector<Common::PriorityName> &Waiting,
                             Common::TimePoint Now) {
  this->decay(Now);
  const auto Found = this->Priorities.find(Priority);
  if (Found == this->Priorities.end())
    return LeastShare;
  const PriorityRule &Own = Found->second.Rule;
  double Share = 1;
  for (const auto &[Name, Each] : this->Priorities) {
    if (Name == Priority)
      continue;
    const bool Waits =
        std::find(Waiting.begin(), Waiting.end(), Name) != Waiting.end();
    // More urgent work goes on as lately; less urgent work has its floor.
    if (Each.Rule.Rank < Own.Rank)
      Share -=
          std::max(this->recentShare(Name, Now), Waits ? Each.Rule.Floor : 0.0);
    else if (Waits)
      Share -= Each.Rule.Floor;
  }
  return std::max({Share, Own.Floor, LeastShare});
}

double PriorityScheduler::floorOf(const Common::PriorityName &Priority) const {
  const auto Found = this->Priorities.find(Priority);
  return Found == this->Priorities.end()
             ? LeastShare
             : std::max(Found->second.Rule.Floor, LeastShare);
}

const PriorityRule *
PriorityScheduler::find(const Common::PriorityName &Priority) const {
  const auto Found = this->Priorities.find(Priority);
  return Found == this->Priorities.end() ? nullptr : &Found->second.Rule;
}

} // namespace Admission
