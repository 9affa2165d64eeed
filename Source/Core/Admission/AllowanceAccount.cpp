#include "Admission/AllowanceAccount.h"

#include <algorithm>
#include <cmath>

namespace Admission {

namespace {

/// Reserve to hold, in seconds of recent demand. Long enough to serve requests
/// while a new leader is elected and grants nothing.
constexpr double ReserveSeconds = 2;
/// Time constant of the smoothed demand rate, in seconds.
constexpr double RateDecaySeconds = 2;
/// Shortest interval over which a rate is measured, in seconds.
constexpr double MinRateIntervalSeconds = 0.2;

} // namespace

void AllowanceAccount::updateDemandRate(TeamState &State,
                                        Common::TimePoint Now) const {
  const double Elapsed = Common::toSeconds(Now - State.RateUpdatedAt);
  if (Elapsed < MinRateIntervalSeconds)
    return;
  const double DecayFactor = std::exp(-Elapsed / RateDecaySeconds);
  State.DemandRate = State.DemandRate * DecayFactor +
                     (1 - DecayFactor) * State.TokensSinceRateUpdate / Elapsed;
  State.TokensSinceRateUpdate = 0;
  State.RateUpdatedAt = Now;
}

bool AllowanceAccount::tryConsume(const Configuration::Team &Limits,
                                  double Tokens, Common::TimePoint Now) {
  if (Limits.TokenRate <= 0)
    return true;
  const auto [Found, Inserted] = this->Teams.try_emplace(Limits.Name);
  TeamState &State = Found->second;
  if (Inserted)
    State.RateUpdatedAt = Now;
  State.RateLimit = Limits.TokenRate;
  State.MaxReserve = this->maxReserve(Limits);
  State.TokensSinceRateUpdate += Tokens;
  if (State.Available < Tokens) {
    State.WaitingTokens += Tokens;
    return false;
  }
  State.Available -= Tokens;
  return true;
}

bool AllowanceAccount::retryConsume(const Configuration::Team &Limits,
                                    double Tokens) {
  TeamState &State = this->Teams[Limits.Name];
  if (State.Available < Tokens) {
    State.WaitingTokens += Tokens;
    return false;
  }
  State.Available -= Tokens;
  return true;
}

void AllowanceAccount::refund(const Configuration::Team &Limits,
                              double Tokens) {
  const auto Found = this->Teams.find(Limits.Name);
  if (Found != this->Teams.end())
    Found->second.Available += Tokens;
}

void AllowanceAccount::addGrant(const Configuration::TeamName &Team,
                                double Tokens, Common::TimePoint Now) {
  const auto Found = this->Teams.find(Team);
  if (Found == this->Teams.end())
    return;
  Found->second.Available += Tokens;
  Found->second.Grants.emplace_back(Now, Tokens);
}

void AllowanceAccount::trimReserves() {
  for (auto &Each : this->Teams)
    Each.second.Available =
        std::min(Each.second.Available, Each.second.MaxReserve);
}

std::vector<AllowanceAccount::RecentGrants>
AllowanceAccount::recentGrants(Common::TimePoint Now) {
  std::vector<RecentGrants> Result;
  for (auto &[Team, State] : this->Teams) {
    while (!State.Grants.empty() &&
           Now - State.Grants.front().first > this->Tolerance.Window)
      State.Grants.pop_front();
    if (State.Grants.empty())
      continue;
    const auto Seconds = static_cast<std::size_t>(
        std::ceil(Common::toSeconds(this->Tolerance.Window)));
    std::vector<double> CumulativeTokens(Seconds, 0);
    for (const auto &[At, Tokens] : State.Grants) {
      const auto First = static_cast<std::size_t>(Common::toSeconds(Now - At));
      for (std::size_t I = First; I < Seconds; ++I)
        CumulativeTokens[I] += Tokens;
    }
    Result.push_back({Team, std::move(CumulativeTokens)});
  }
  return Result;
}

double AllowanceAccount::maxReserve(const Configuration::Team &Limits) const {
  return this->Tolerance.tokensFor(Limits) *
         AllowanceTolerance::ReserveFraction /
         static_cast<double>(this->Daemons);
}

std::vector<AllowanceAccount::Demand>
AllowanceAccount::takeDemands(Common::TimePoint Now) {
  std::vector<Demand> Result;
  for (auto &[Team, State] : this->Teams) {
    this->updateDemandRate(State, Now);
    const double Reserve =
        std::min(State.DemandRate * ReserveSeconds, State.MaxReserve);
    // Tokens already held cover the waiting requests first.
    const double Needed = std::max(0.0, State.WaitingTokens - State.Available);
    const double Surplus = std::max(0.0, State.Available - State.WaitingTokens);
    State.WaitingTokens = 0;
    if (Needed > 0 || Reserve > Surplus)
      Result.push_back({Team, Needed, std::max(0.0, Reserve - Surplus)});
  }
  return Result;
}

void AllowanceAccount::applyLimits(const Configuration::ServiceMap &Declared) {
  for (auto Each = this->Teams.begin(); Each != this->Teams.end();) {
    const Configuration::Team *Limits = Declared.team(Each->first);
    if (!Limits || Limits->TokenRate <= 0) {
      Each = this->Teams.erase(Each);
      continue;
    }
    TeamState &State = Each->second;
    State.MaxReserve = this->maxReserve(*Limits);
    if (Limits->TokenRate < State.RateLimit)
      State.Available = std::min(State.Available, State.MaxReserve);
    State.RateLimit = Limits->TokenRate;
    ++Each;
  }
}

double AllowanceAccount::available(const Configuration::TeamName &Team) const {
  const auto Found = this->Teams.find(Team);
  return Found == this->Teams.end() ? 0 : Found->second.Available;
}

Common::Duration
AllowanceAccount::estimateWait(const Configuration::Team &Limits,
                               double Tokens) const {
  if (Limits.TokenRate <= 0)
    return {};
  return Common::fromSeconds(Tokens / Limits.TokenRate);
}

} // namespace Admission
