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
    double Stock = 0;
  };

  explicit AllowanceAccount(AllowanceTolerance Borne) : Borne(Borne) {}

  struct Use {
    Configuration::TeamName Team;
    /// Within the last second, the last two seconds, and so on.
    std::vector<double> Within;
  };
  /// What was granted here up to the window's length ago, for a new leader.
  std::vector<Use> grantedLately(Common::TimePoint Now);

  /// How many entry daemons share the allowances.
  void setDaemons(std::size_t Count) {
    this->Daemons = std::max<std::size_t>(Count, 1);
  }

  /// False when the part does not hold Tokens; the shortfall is then asked
  /// for with the next demands. A team without a limit spends freely.
  bool take(const Configuration::Team &Limits, double Tokens,
            Common::TimePoint Now);
  /// As take, for a request that was counted by take before.
  bool retake(const Configuration::Team &Limits, double Tokens);
  /// The request did not run.
  void giveBack(const Configuration::Team &Limits, double Tokens);
  void granted(const Configuration::TeamName &Team, double Tokens,
               Common::TimePoint Now);
  /// Drops what was granted for requests that do not wait any more; call it
  /// after the waiting ones were served.
  void dropSurplus();
  /// What to ask the leader for now.
  std::vector<Demand> demands(Common::TimePoint Now);
  /// Drops parts that exceed a lowered limit, and teams that are gone.
  void limitsChanged(const Configuration::ServiceMap &Declared);
  /// What the part holds now.
  double held(const Configuration::TeamName &Team) const;
  /// How long until Tokens can be expected at the granted pace.
  Common::Duration waitFor(const Configuration::Team &Limits,
                           double Tokens) const;

private:
  struct Part {
    double Held = 0;
    /// Tokens a second that are asked for, smoothed.
    double Pace = 0;
    double AskedSince = 0;
    double Shortfall = 0;
    double Rate = 0;
    double MostStock = 0;
    std::deque<std::pair<Common::TimePoint, double>> Grants;
    Common::TimePoint PacedAt;
  };
  void updatePace(Part &Of, Common::TimePoint Now) const;

  double mostStock(const Configuration::Team &Limits) const;

  AllowanceTolerance Borne;
  std::size_t Daemons = 8;
  std::map<Configuration::TeamName, Part> Parts;
};

} // namespace Admission

#endif
