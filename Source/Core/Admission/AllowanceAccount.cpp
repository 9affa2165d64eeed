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
/// Smallest gap in the reserve, as a fraction of it, that is worth a request to
/// the leader.
constexpr double MinReserveGap = 0.1;

} // namespace

void AllowanceAccount::updateDemandRate(TeamState &State,
                                        Common::TimePoint Now) {
  const double Elapsed = Common::toSeconds(Now - State.RateUpdatedAt);
  if (Elapsed < MinRateIntervalSeconds)
    return;
  const double DecayFactor = std::exp(-Elapsed / RateDecaySeconds);
  State.DemandRate = State.DemandRate * DecayFactor +
                     (1 - DecayFactor) * State.TokensSinceRateUpdate / Elapsed;
  State.TokensSinceRateUpdate = 0;
  State.RateUpdatedAt = Now;
}

void AllowanceAccount::recordDemand(const Configuration::Team &Limits,
                                    double Tokens, Common::TimePoint Now) {
  const auto [Found, Inserted] = this->Teams.try_emplace(Limits.Name);
  TeamState &State = Found->second;
  if (Inserted)
    State.RateUpdatedAt = Now;
  State.RateLimit = Limits.TokenRate;
  State.MaxReserve = this->maxReserve(Limits);
  State.TokensSinceRateUpdate += Tokens;
}

bool AllowanceAccount::tryConsume(const Configuration::TeamName &Team,
                                  double Tokens) {
  const auto Found = this->Teams.find(Team);
  if (Found == this->Teams.end() || Found->second.Available < Tokens)
    return false;
  Found->second.Available -= Tokens;
  return true;
}

void AllowanceAccount::add(const Configuration::TeamName &Team, double Tokens) {
  const auto Found = this->Teams.find(Team);
  if (Found != this->Teams.end())
    Found->second.Available += Tokens;
}

void AllowanceAccount::trimReserves() {
  for (auto &Each : this->Teams)
    Each.second.Available =
        std::min(Each.second.Available, Each.second.MaxReserve);
}

double AllowanceAccount::maxReserve(const Configuration::Team &Limits) const {
  return this->Tolerance.tokensFor(Limits) *
         AllowanceTolerance::ReserveFraction /
         static_cast<double>(this->Holders);
}

std::vector<AllowanceAccount::Demand>
AllowanceAccount::demands(const TokensByTeam &Waiting,
                          const TokensByTeam &Requested,
                          Common::TimePoint Now) {
  const auto TokensOf = [](const TokensByTeam &Tokens,
                           const Configuration::TeamName &Team) {
    const auto Found = Tokens.find(Team);
    return Found == Tokens.end() ? 0 : Found->second;
  };
  std::vector<Demand> Result;
  for (auto &[Team, State] : this->Teams) {
    updateDemandRate(State, Now);
    const double Target =
        std::min(State.DemandRate * ReserveSeconds, State.MaxReserve);
    const double Needed = TokensOf(Waiting, Team);
    const double Held = State.Available + TokensOf(Requested, Team);
    Demand Each{Team, std::max(0.0, Needed - Held), 0};
    Each.Reserve = std::max(0.0, Target - std::max(0.0, Held - Needed));
    // Small gaps are left for the next request.
    if (Each.Needed > 0 || Each.Reserve > Target * MinReserveGap)
      Result.push_back(Each);
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

} // namespace Admission
