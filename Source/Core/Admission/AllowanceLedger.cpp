#include "Admission/AllowanceLedger.h"

#include <algorithm>

namespace Admission {

double AllowanceLedger::grant(const Configuration::Team &Limits, double Needed,
                              double Stock, Common::TimePoint Now) {
  if (Limits.TokenRate <= 0)
    return Needed + Stock;
  const auto [Found, Fresh] =
      this->Accounts.try_emplace(Limits.Name, Account{0, this->Since});
  Account &Held = Found->second;
  const double Elapsed = Common::toSeconds(Now - Held.RefilledAt);
  const double Most = Limits.TokenBurst +
                      AllowanceTolerance::AccountShare * this->Borne.of(Limits);
  Held.Tokens = std::min(Most, Held.Tokens + Elapsed * Limits.TokenRate);
  Held.RefilledAt = Now;
  const double Granted = std::clamp(Needed + Stock, 0.0, Held.Tokens);
  Held.Tokens -= Granted;
  return Granted;
}

void AllowanceLedger::grantedLately(const Configuration::Team &Limits,
                                    double Tokens, Common::TimePoint Now) {
  if (Limits.TokenRate <= 0)
    return;
  const double Most = Limits.TokenBurst +
                      AllowanceTolerance::AccountShare * this->Borne.of(Limits);
  const double InWindow =
      Most + Limits.TokenRate * Common::toSeconds(this->Borne.Window);
  this->Accounts[Limits.Name] =
      Account{std::clamp(InWindow - Tokens, 0.0, Most), Now};
}

} // namespace Admission
