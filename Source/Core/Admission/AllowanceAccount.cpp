#include "Admission/AllowanceAccount.h"

#include <algorithm>
#include <cmath>

namespace Admission {

namespace {

/// How much of the recent spending is kept in stock, in seconds of it.
constexpr double StockSeconds = 0.7;
/// No entry daemon keeps more of a team's limit than this, in seconds of it.
constexpr double MostStockSeconds = 0.25;
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
                               double Tokens) {
  const auto Found = this->Parts.find(Team);
  if (Found != this->Parts.end())
    Found->second.Held += Tokens;
}

std::vector<AllowanceAccount::Demand>
AllowanceAccount::demands(Common::TimePoint Now) {
  std::vector<Demand> Result;
  for (auto &[Team, Of] : this->Parts) {
    this->updatePace(Of, Now);
    const double Stock =
        std::min(Of.Pace * StockSeconds, Of.Rate * MostStockSeconds);
    const double Wanted = Stock + Of.Shortfall - Of.Held;
    Of.Shortfall = 0;
    if (Wanted > 0)
      Result.push_back({Team, Wanted});
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
    if (Limits->TokenRate < Of.Rate)
      Of.Held = std::min(Of.Held, Limits->TokenRate * MostStockSeconds);
    Of.Rate = Limits->TokenRate;
    ++Each;
  }
}

Common::Duration AllowanceAccount::waitFor(const Configuration::Team &Limits,
                                           double Tokens) const {
  if (Limits.TokenRate <= 0)
    return {};
  return Common::fromSeconds(Tokens / Limits.TokenRate);
}

} // namespace Admission
