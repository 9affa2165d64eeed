#ifndef SYCAMOREREACH_ADMISSION_ALLOWANCEACCOUNT_H
#define SYCAMOREREACH_ADMISSION_ALLOWANCEACCOUNT_H

#include "Admission/AllowanceLedger.h"
#include "Common/Time.h"
#include "Configuration/ServiceMap.h"

#include <algorithm>
#include <deque>
#include <map>
#include <vector>

namespace Admission {

/// One entry daemon's balances of the teams' allowances. It spends only tokens
/// that the leader granted. It asks the leader for the tokens that waiting
/// requests lack and for a reserve of a few seconds of recent demand.
class AllowanceAccount {
public:
  struct Demand {
    Configuration::TeamName Team;
    double Needed = 0;
    double Reserve = 0;
  };

  explicit AllowanceAccount(AllowanceTolerance Tolerance)
      : Tolerance(Tolerance) {}

  struct RecentGrants {
    Configuration::TeamName Team;
    /// Tokens granted within the last second, the last two seconds, and so on.
    std::vector<double> CumulativeTokens;
  };
  /// The grants received within the tolerance window, from which a new leader
  /// restores its ledger.
  std::vector<RecentGrants> recentGrants(Common::TimePoint Now);

  /// Sets the number of entry daemons that share the allowances.
  void setDaemons(std::size_t Count) {
    this->Daemons = std::max<std::size_t>(Count, 1);
  }

  /// Consumes Tokens and returns true. Returns false if the daemon holds fewer;
  /// Tokens are then part of the next demands. A team without a limit is never
  /// refused.
  bool tryConsume(const Configuration::Team &Limits, double Tokens,
                  Common::TimePoint Now);
  /// Same as tryConsume, for a request that tryConsume has already counted in
  /// the demand rate.
  bool retryConsume(const Configuration::Team &Limits, double Tokens);
  /// Returns the tokens of a request that did not run.
  void refund(const Configuration::Team &Limits, double Tokens);
  void addGrant(const Configuration::TeamName &Team, double Tokens,
                Common::TimePoint Now);
  /// Caps each team's balance at MaxReserve. Tokens above it were granted for
  /// requests that have since left the queue. Call it after the waiting
  /// requests were retried.
  void trimReserves();
  /// Returns the tokens to request from the leader, and resets WaitingTokens.
  std::vector<Demand> takeDemands(Common::TimePoint Now);
  /// Applies new limits: reduces balances where a limit was lowered, and drops
  /// teams that were removed or have no limit any more.
  void applyLimits(const Configuration::ServiceMap &Declared);
  /// Tokens of the team that this daemon can spend now.
  double available(const Configuration::TeamName &Team) const;
  /// Estimated time until Tokens are granted, at the team's token rate.
  Common::Duration estimateWait(const Configuration::Team &Limits,
                                double Tokens) const;

private:
  struct TeamState {
    double Available = 0;
    /// Tokens per second that callers' requests needed, granted or not;
    /// smoothed.
    double DemandRate = 0;
    double TokensSinceRateUpdate = 0;
    /// Tokens that the refused requests need in full, since the last
    /// takeDemands.
    double WaitingTokens = 0;
    double RateLimit = 0;
    double MaxReserve = 0;
    std::deque<std::pair<Common::TimePoint, double>> Grants;
    Common::TimePoint RateUpdatedAt;
  };
  void updateDemandRate(TeamState &State, Common::TimePoint Now) const;

  double maxReserve(const Configuration::Team &Limits) const;

  AllowanceTolerance Tolerance;
  std::size_t Daemons = 8;
  std::map<Configuration::TeamName, TeamState> Teams;
};

} // namespace Admission

#endif
