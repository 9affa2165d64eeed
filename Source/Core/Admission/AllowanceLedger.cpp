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
                                    const std::vector<double> &Within,
                                    Common::TimePoint Now) {
  if (Limits.TokenRate <= 0)
    return;
  const double Most = Limits.TokenBurst +
                      AllowanceTolerance::AccountShare * this->Borne.of(Limits);
  // Each span by itself bounds what one account could have left.
  double Left = Most;
  for (std::size_t Seconds = 0; Seconds < Within.size(); ++Seconds)
    Left =
        std::min(Left, Most + Limits.TokenRate * static_cast<double>(Seconds) -
                           Within[Seconds]);
  this->Accounts[Limits.Name] = Account{std::max(Left, 0.0), Now};
}

} // namespace Admission
