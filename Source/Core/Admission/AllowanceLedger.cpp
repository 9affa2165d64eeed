#include "Admission/AllowanceLedger.h"

#include <algorithm>

namespace Admission {

namespace {

/// Below this share of the burst an entry daemon gets only its part of what
/// is left, so that the first to ask does not take all.
constexpr double ScarceShareOfBurst = 0.5;

} // namespace

double AllowanceLedger::grant(const Configuration::Team &Limits, double Wanted,
                              std::size_t Askers, Common::TimePoint Now) {
  if (Wanted <= 0)
    return 0;
  if (Limits.TokenRate <= 0)
    return Wanted;
  const auto [Found, Fresh] =
      this->Accounts.try_emplace(Limits.Name, Account{0, this->Since});
  Account &Held = Found->second;
  const double Elapsed = Common::toSeconds(Now - Held.RefilledAt);
  const double Most = std::max(Limits.TokenBurst, Limits.TokenRate);
  Held.Tokens = std::min(Most, Held.Tokens + Elapsed * Limits.TokenRate);
  Held.RefilledAt = Now;
  const bool Scarce = Held.Tokens < Most * ScarceShareOfBurst;
  const double Share =
      Scarce
          ? Held.Tokens / static_cast<double>(std::max<std::size_t>(Askers, 1))
          : Held.Tokens;
  const double Granted = std::min(Wanted, Share);
  Held.Tokens -= Granted;
  return Granted;
}

} // namespace Admission
