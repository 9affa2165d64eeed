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
  /// Fraction of the tolerance that all state daemons together may hold in
  /// reserve. The remainder is a margin for requests in flight.
  static constexpr double ReserveFraction = 0.6;
};

/// The leader's token buckets, one per team. It grants tokens to state daemons;
/// over any period the sum of the grants stays within rate, burst and a
/// fraction of the tolerance.
class AllowanceLedger {
public:
  /// Starts with empty buckets: grants that earlier leaders made before Now are
  /// unknown until the entry daemons have reported them.
  AllowanceLedger(AllowanceTolerance Tolerance, Common::TimePoint Now)
      : Tolerance(Tolerance), StartedAt(Now) {}

  struct Grant {
    double Tokens = 0;
    /// If fewer tokens than needed were granted: time until the rest is
    /// available, after what was announced to others before.
    Common::Duration Wait{};
  };
  /// Takes tokens from the team's bucket for one state daemon: first what its
  /// waiting requests need, then what it wants to hold in reserve. The reserve
  /// leaves part of the bucket for the waiting requests of others. Grants
  /// everything to a team without a limit.
  Grant grant(const Configuration::Team &Limits, double Needed, double Reserve,
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
    /// By when the tokens that were announced to refused requests are refilled.
    Common::TimePoint AnnouncedUntil;
  };
  /// Part of a bucket that reserves cannot take.
  static constexpr double NeededFraction = 0.25;
  /// Refused requests are not sent further away than this.
  static constexpr Common::Duration MaxWait = std::chrono::seconds(4);
  AllowanceTolerance Tolerance;
  Common::TimePoint StartedAt;
  std::map<Configuration::TeamName, Bucket> Buckets;
};

} // namespace Admission

#endif
