#include "Admission/AllowanceAccount.h"

#include <algorithm>
#include <cmath>

namespace Admission {

namespace {

/// How much of the recent spending is kept in stock, in seconds of it: longer
/// than a change of the leader.
constexpr double StockSeconds = 2;
/// Time constant of the pace, in seconds.
constexpr double PaceMemorySeconds = 2;
/// Shortest time over which a pace is measured, in seconds.
constexpr double LeastPaceSeconds = 0.2;

} // namespace

void AllowanceAccount::updatePace(Part &Of, Common::TimePoint Now) const {
  const double Elapsed = Common::toSeconds(Now - Of.PacedAt);
  if (Elapsed < LeastPaceSeconds)
    return;
  const double Keep = std::exp(-Elapsed / PaceMemorySeconds);
  Of.Pace = Of.Pace * Keep + (1 - Keep) * Of.AskedSince / Elapsed;
  Of.AskedSince = 0;
  Of.PacedAt = Now;
}

bool AllowanceAccount::take(const Configuration::Team &Limits, double Tokens,
                            Common::TimePoint Now) {
  if (Limits.TokenRate <= 0)
    return true;
  const auto [Found, Fresh] = this->Parts.try_emplace(Limits.Name);
  Part &Of = Found->second;
  if (Fresh)
    Of.PacedAt = Now;
  Of.Rate = Limits.TokenRate;
  Of.MostStock = this->mostStock(Limits);
  Of.AskedSince += Tokens;
  if (Of.Held < Tokens) {
    Of.Shortfall += Tokens;
    return false;
  }
  Of.Held -= Tokens;
  return true;
}

bool AllowanceAccount::retake(const Configuration::Team &Limits,
                              double Tokens) {
  Part &Of = this->Parts[Limits.Name];
  if (Of.Held < Tokens) {
    Of.Shortfall += Tokens;
    return false;
  }
  Of.Held -= Tokens;
  return true;
}

void AllowanceAccount::giveBack(const Configuration::Team &Limits,
                                double Tokens) {
  const auto Found = this->Parts.find(Limits.Name);
  if (Found != this->Parts.end())
    Found->second.Held += Tokens;
}

void AllowanceAccount::granted(const Configuration::TeamName &Team,
                               double Tokens, Common::TimePoint Now) {
  const auto Found = this->Parts.find(Team);
  if (Found == this->Parts.end())
    return;
  Found->second.Held += Tokens;
  Found->second.Grants.emplace_back(Now, Tokens);
}

void AllowanceAccount::dropSurplus() {
  for (auto &Each : this->Parts)
    Each.second.Held = std::min(Each.second.Held, Each.second.MostStock);
}

std::vector<AllowanceAccount::Use>
AllowanceAccount::grantedLately(Common::TimePoint Now) {
  std::vector<Use> Result;
  for (auto &[Team, Of] : this->Parts) {
    while (!Of.Grants.empty() &&
           Now - Of.Grants.front().first > this->Borne.Window)
      Of.Grants.pop_front();
    if (Of.Grants.empty())
      continue;
    const auto Seconds = static_cast<std::size_t>(
        std::ceil(Common::toSeconds(this->Borne.Window)));
    std::vector<double> Within(Seconds, 0);
    for (const auto &[At, Tokens] : Of.Grants) {
      const auto First = static_cast<std::size_t>(Common::toSeconds(Now - At));
      for (std::size_t I = First; I < Seconds; ++I)
        Within[I] += Tokens;
    }
    Result.push_back({Team, std::move(Within)});
  }
  return Result;
}

double AllowanceAccount::mostStock(const Configuration::Team &Limits) const {
  return this->Borne.of(Limits) * AllowanceTolerance::StockShare /
         static_cast<double>(this->Daemons);
}

std::vector<AllowanceAccount::Demand>
AllowanceAccount::demands(Common::TimePoint Now) {
  std::vector<Demand> Result;
  for (auto &[Team, Of] : this->Parts) {
    this->updatePace(Of, Now);
    const double Stock = std::min(Of.Pace * StockSeconds, Of.MostStock);
    // What is held is first put to what waits.
    const double Needed = std::max(0.0, Of.Shortfall - Of.Held);
    const double Spare = std::max(0.0, Of.Held - Of.Shortfall);
    Of.Shortfall = 0;
    if (Needed > 0 || Stock > Spare)
      Result.push_back({Team, Needed, std::max(0.0, Stock - Spare)});
  }
  return Result;
}

void AllowanceAccount::limitsChanged(
    const Configuration::ServiceMap &Declared) {
  for (auto Each = this->Parts.begin(); Each != this->Parts.end();) {
    const Configuration::Team *Limits = Declared.team(Each->first);
    if (!Limits || Limits->TokenRate <= 0) {
      Each = this->Parts.erase(Each);
      continue;
    }
    Part &Of = Each->second;
    Of.MostStock = this->mostStock(*Limits);
    if (Limits->TokenRate < Of.Rate)
      Of.Held = std::min(Of.Held, Of.MostStock);
    Of.Rate = Limits->TokenRate;
    ++Each;
  }
}

double AllowanceAccount::held(const Configuration::TeamName &Team) const {
  const auto Found = this->Parts.find(Team);
  return Found == this->Parts.end() ? 0 : Found->second.Held;
}

Common::Duration AllowanceAccount::waitFor(const Configuration::Team &Limits,
                                           double Tokens) const {
  if (Limits.TokenRate <= 0)
    return {};
  return Common::fromSeconds(Tokens / Limits.TokenRate);
}

} // namespace Admission
