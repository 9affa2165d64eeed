#ifndef SYCAMOREREACH_ADMISSION_ALLOWANCELEDGER_H
#define SYCAMOREREACH_ADMISSION_ALLOWANCELEDGER_H

#include "Common/Time.h"
#include "Configuration/ServiceMap.h"

#include <map>
#include <vector>

namespace Admission {

/// What is borne beyond the declared limits of a team, in any window and of
/// all daemons together.
struct AllowanceTolerance {
  double Tokens = 0;
  /// Share of what the limits allow in the window.
  double Share = 0;
  Common::Duration Window = std::chrono::seconds(8);

  double of(const Configuration::Team &Limits) const {
    return this->Tokens +
           this->Share * (Limits.TokenBurst +
                          Limits.TokenRate * Common::toSeconds(this->Window));
  }
  /// The part of it that the leader's account uses.
  static constexpr double LedgerShare = 0.25;
  /// The part of it that all entry daemons together keep in stock. The rest
  /// is a margin for requests on their way.
  static constexpr double ReserveShare = 0.6;
};

/// The leader's account of what teams may spend. It hands out parts to entry
/// daemons; over any time the sum of the parts stays within rate, burst and
/// a part of what is borne beyond them.
class AllowanceLedger {
public:
  /// Starts with empty allowances: what earlier leaders handed out before Now
  /// is not known here until the entry daemons have told it.
  AllowanceLedger(AllowanceTolerance Tolerance, Common::TimePoint Now)
      : Tolerance(Tolerance), StartedAt(Now) {}

  /// Takes tokens from the team's allowance for one entry daemon: what
  /// waiting requests need, and what it wants in stock if there is plenty. A
  /// team without a limit is granted all.
  double grant(const Configuration::Team &Limits, double Needed, double Reserve,
               Common::TimePoint Now);

  /// What the entry daemons were granted of the team by earlier leaders and
  /// this one: within the last second, the last two seconds, and so on. Fills
  /// an account that started empty.
  void restoreFromGrants(const Configuration::Team &Limits,
                         const std::vector<double> &CumulativeTokens,
                         Common::TimePoint Now);

private:
  struct Bucket {
    double Tokens = 0;
    Common::TimePoint RefilledAt;
  };
  AllowanceTolerance Tolerance;
  Common::TimePoint StartedAt;
  std::map<Configuration::TeamName, Bucket> Buckets;
};

} // namespace Admission

#endif
