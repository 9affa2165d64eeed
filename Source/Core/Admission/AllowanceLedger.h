#ifndef SYCAMOREREACH_ADMISSION_ALLOWANCELEDGER_H
#define SYCAMOREREACH_ADMISSION_ALLOWANCELEDGER_H

#include "Common/Time.h"
#include "Configuration/ServiceMap.h"

#include <map>
#include <vector>

namespace Admission {

/// How far a team's consumption, of all daemons together and in any window, may
/// exceed its declared limits.
struct AllowanceTolerance {
  double FixedTokens = 0;
  /// Fraction of what the limits allow within the window.
  double FractionOfLimits = 0;
  Common::Duration Window = std::chrono::seconds(8);

  /// Tolerance of a team, in tokens per Window.
  double tokensFor(const Configuration::Team &Limits) const {
    return this->FixedTokens +
           this->FractionOfLimits *
               (Limits.TokenBurst +
                Limits.TokenRate * Common::toSeconds(this->Window));
  }
  /// Fraction of the tolerance by which the leader's ledger may exceed the
  /// declared burst.
  static constexpr double LedgerFraction = 0.25;
  /// Fraction of the tolerance that all entry daemons together may hold in
  /// reserve. The remainder is a margin for requests in flight.
  static constexpr double ReserveFraction = 0.6;
};

/// The leader's token buckets, one per team. It grants tokens to entry daemons;
/// over any period the sum of the grants stays within rate, burst and a
/// fraction of the tolerance.
class AllowanceLedger {
public:
  /// Starts with empty buckets: grants that earlier leaders made before Now are
  /// unknown until the entry daemons have reported them.
  AllowanceLedger(AllowanceTolerance Tolerance, Common::TimePoint Now)
      : Tolerance(Tolerance), StartedAt(Now) {}

  /// Takes tokens from the team's bucket for one entry daemon: first what its
  /// waiting requests need, then what it wants to hold in reserve. Returns the
  /// number granted, which is everything for a team without a limit.
  double grant(const Configuration::Team &Limits, double Needed, double Reserve,
               Common::TimePoint Now);

  /// Restores the team's bucket from the grants that the entry daemons received
  /// from this leader and earlier ones within the last second, the last two
  /// seconds, and so on.
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
