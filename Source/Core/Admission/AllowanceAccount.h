#ifndef SYCAMOREREACH_ADMISSION_ALLOWANCEACCOUNT_H
#define SYCAMOREREACH_ADMISSION_ALLOWANCEACCOUNT_H

#include "Admission/AllowanceLedger.h"
#include "Common/Time.h"
#include "Configuration/ServiceMap.h"

#include <algorithm>
#include <map>
#include <vector>

namespace Admission {

/// One holder's balances of the teams' allowances: a state daemon's, for the
/// entry daemons connected to it. It spends only tokens that the leader
/// granted, and keeps a reserve of a few seconds of recent demand.
class AllowanceAccount {
public:
  struct Demand {
    Configuration::TeamName Team;
    double Needed = 0;
    double Reserve = 0;
  };
  using TokensByTeam = std::map<Configuration::TeamName, double>;

  explicit AllowanceAccount(AllowanceTolerance Tolerance)
      : Tolerance(Tolerance) {}

  /// Sets the number of holders that share the reserve.
  void setHolders(std::size_t Count) {
    this->Holders = std::max<std::size_t>(Count, 1);
  }

  /// Counts a new request of a team in its demand rate.
  void recordDemand(const Configuration::Team &Limits, double Tokens,
                    Common::TimePoint Now);
  /// Consumes Tokens and returns true. Returns false if the holder has fewer.
  bool tryConsume(const Configuration::TeamName &Team, double Tokens);
  /// Adds tokens that the leader granted, or that a request did not use.
  void add(const Configuration::TeamName &Team, double Tokens);
  /// Caps each team's balance at its maximum reserve. Call it after the waiting
  /// requests were retried.
  void trimReserves();
  /// The tokens to request from the leader: what the waiting requests need and
  /// was not requested yet, and what the reserve lacks. Requested are the
  /// tokens of unanswered requests to the leader.
  std::vector<Demand> demands(const TokensByTeam &Waiting,
                              const TokensByTeam &Requested,
                              Common::TimePoint Now);
  /// Applies new limits: reduces balances where a limit was lowered, and drops
  /// teams that were removed or have no limit any more.
  void applyLimits(const Configuration::ServiceMap &Declared);

private:
  struct TeamState {
    double Available = 0;
    /// Tokens per second that callers' requests needed, granted or not;
    /// smoothed.
    double DemandRate = 0;
    double TokensSinceRateUpdate = 0;
    double RateLimit = 0;
    double MaxReserve = 0;
    Common::TimePoint RateUpdatedAt;
  };
  static void updateDemandRate(TeamState &State, Common::TimePoint Now);
  double maxReserve(const Configuration::Team &Limits) const;

  AllowanceTolerance Tolerance;
  std::size_t Holders = 8;
  std::map<Configuration::TeamName, TeamState> Teams;
};

} // namespace Admission

#endif
