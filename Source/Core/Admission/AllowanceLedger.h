#ifndef SYCAMOREREACH_ADMISSION_ALLOWANCELEDGER_H
#define SYCAMOREREACH_ADMISSION_ALLOWANCELEDGER_H

#include "Common/Time.h"
#include "Configuration/ServiceMap.h"

#include <map>

namespace Admission {

/// The leader's account of what teams may spend. It hands out parts to entry
/// daemons; the sum of the parts never exceeds rate and burst.
class AllowanceLedger {
public:
  /// Starts with empty allowances: what earlier leaders handed out before Now
  /// is not known here.
  explicit AllowanceLedger(Common::TimePoint Now) : Since(Now) {}

  /// Takes up to Wanted tokens from the team's allowance for one of Askers
  /// entry daemons. A team without a limit is granted all.
  double grant(const Configuration::Team &Limits, double Wanted,
               std::size_t Askers, Common::TimePoint Now);

private:
  struct Account {
    double Tokens = 0;
    Common::TimePoint RefilledAt;
  };
  Common::TimePoint Since;
  std::map<Configuration::TeamName, Account> Accounts;
};

} // namespace Admission

#endif
