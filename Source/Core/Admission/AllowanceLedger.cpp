#include "Admission/AllowanceLedger.h"

#include <algorithm>

namespace Admission {

double AllowanceLedger::grant(const Configuration::Team &Limits, double Needed,
                              double Reserve, Common::TimePoint Now) {
  if (Limits.TokenRate <= 0)
    return Needed + Reserve;
  const auto [Found, Inserted] =
      this->Buckets.try_emplace(Limits.Name, Bucket{0, this->StartedAt});
  Bucket &State = Found->second;
  const double Elapsed = Common::toSeconds(Now - State.RefilledAt);
  const double MaxTokens =
      Limits.TokenBurst +
      AllowanceTolerance::LedgerFraction * this->Tolerance.tokensFor(Limits);
  State.Tokens = std::min(MaxTokens, State.Tokens + Elapsed * Limits.TokenRate);
  State.RefilledAt = Now;
  const double Granted = std::clamp(Needed + Reserve, 0.0, State.Tokens);
  State.Tokens -= Granted;
  return Granted;
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
  this->Buckets[Limits.Name] = Bucket{std::max(Remaining, 0.0), Now};
}

} // namespace Admission
