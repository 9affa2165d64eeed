#include "Admission/AllowanceLedger.h"

#include <algorithm>

namespace Admission {

AllowanceLedger::Grant AllowanceLedger::grant(const Configuration::Team &Limits,
                                              double Needed, double Reserve,
                                              Common::TimePoint Now) {
  if (Limits.TokenRate <= 0)
    return {Needed + Reserve, {}};
  const auto [Found, Inserted] =
      this->Buckets.try_emplace(Limits.Name, Bucket{0, this->StartedAt, {}});
  Bucket &State = Found->second;
  const double Elapsed = Common::toSeconds(Now - State.RefilledAt);
  const double MaxTokens =
      Limits.TokenBurst +
      AllowanceTolerance::LedgerFraction * this->Tolerance.tokensFor(Limits);
  State.Tokens = std::min(MaxTokens, State.Tokens + Elapsed * Limits.TokenRate);
  State.RefilledAt = Now;
  Grant Result;
  Result.Tokens = std::clamp(Needed, 0.0, State.Tokens);
  State.Tokens -= Result.Tokens;
  const double Spare = State.Tokens - NeededFraction * MaxTokens;
  const double Reserved = std::clamp(Reserve, 0.0, std::max(0.0, Spare));
  State.Tokens -= Reserved;
  const double Missing = Needed - Result.Tokens;
  Result.Tokens += Reserved;
  if (Missing <= 0)
    return Result;
  // Requests that were refused earlier return before this one.
  State.AnnouncedUntil =
      std::min(std::max(State.AnnouncedUntil, Now) +
                   Common::fromSeconds(Missing / Limits.TokenRate),
               Now + MaxWait);
  Result.Wait =
      std::chrono::duration_cast<Common::Duration>(State.AnnouncedUntil - Now);
  return Result;
}

void AllowanceLedger::restoreFromGrants(
    const Configuration::Team &Limits,
    const std::vector<double> &CumulativeTokens, Common::TimePoint Now) {
  if (Limits.TokenRate <= 0)
    return;
  const double MaxTokens =
      Limits.TokenBurst +
      AllowanceTolerance::LedgerFraction * this->Tolerance.tokensFor(Limits);
  // Each time span gives an upper bound on the tokens that a single bucket
  // could still hold; the lowest one applies.
  double Remaining = MaxTokens;
  for (std::size_t Seconds = 0; Seconds < CumulativeTokens.size(); ++Seconds)
    Remaining = std::min(
        Remaining, MaxTokens + Limits.TokenRate * static_cast<double>(Seconds) -
                       CumulativeTokens[Seconds]);
  this->Buckets[Limits.Name] = Bucket{std::max(Remaining, 0.0), Now, {}};
}

} // namespace Admission
