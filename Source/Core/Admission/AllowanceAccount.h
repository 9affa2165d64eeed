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

/// An entry daemon's part of the teams' allowances. It spends only what the
/// leader granted, and asks for as much as it spends in a short time.
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
    /// Within the last second, the last two seconds, and so on.
    std::vector<double> CumulativeTokens;
  };
  /// What was granted here up to the window's length ago, for a new leader.
  std::vector<RecentGrants> recentGrants(Common::TimePoint Now);

  /// How many entry daemons share the allowances.
  void setDaemons(std::size_t Count) {
    this->Daemons = std::max<std::size_t>(Count, 1);
  }

  /// False when the part does not hold Tokens; the shortfall is then asked
  /// for with the next demands. A team without a limit spends freely.
  bool tryConsume(const Configuration::Team &Limits, double Tokens,
                  Common::TimePoint Now);
  /// As take, for a request that was counted by take before.
  bool retryConsume(const Configuration::Team &Limits, double Tokens);
  /// The request did not run.
  void refund(const Configuration::Team &Limits, double Tokens);
  void addGrant(const Configuration::TeamName &Team, double Tokens,
                Common::TimePoint Now);
  /// Drops what was granted for requests that do not wait any more; call it
  /// after the waiting ones were served.
  void trimReserves();
  /// What to ask the leader for now.
  std::vector<Demand> takeDemands(Common::TimePoint Now);
  /// Drops parts that exceed a lowered limit, and teams that are gone.
  void applyLimits(const Configuration::ServiceMap &Declared);
  /// What the part holds now.
  double available(const Configuration::TeamName &Team) const;
  /// How long until Tokens can be expected at the granted pace.
  Common::Duration estimateWait(const Configuration::Team &Limits,
                                double Tokens) const;

private:
  struct TeamState {
    double Available = 0;
    /// Tokens a second that are asked for, smoothed.
    double ConsumptionRate = 0;
    double RequestedTokens = 0;
    double Shortfall = 0;
    double RateLimit = 0;
    double MaxReserve = 0;
    std::deque<std::pair<Common::TimePoint, double>> Grants;
    Common::TimePoint RateUpdatedAt;
  };
  void updateConsumptionRate(TeamState &State, Common::TimePoint Now) const;

  double maxReserve(const Configuration::Team &Limits) const;

  AllowanceTolerance Tolerance;
  std::size_t Daemons = 8;
  std::map<Configuration::TeamName, TeamState> Teams;
};

} // namespace Admission

#endif
