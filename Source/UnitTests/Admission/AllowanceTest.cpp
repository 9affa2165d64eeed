#include "Admission/AllowanceAccount.h"
#include "Admission/AllowanceLedger.h"

#include "Common/Random.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <memory>

namespace UnitTests {

namespace {

using namespace Admission;
using namespace std::chrono_literals;

Configuration::Team teamWith(double Rate, double Burst) {
  Configuration::Team Result;
  Result.Name = Configuration::TeamName("mill");
  Result.TokenRate = Rate;
  Result.TokenBurst = Burst;
  return Result;
}

/// Entry daemons that spend as much as they can, and leaders that change.
class Schedule {
public:
  Schedule(std::uint64_t Seed, std::size_t Daemons,
           const Configuration::Team &Limits)
      : Randomness(Seed), Limits(Limits) {
    for (std::size_t I = 0; I < Daemons; ++I) {
      this->Accounts.emplace_back(this->Borne);
      this->Accounts.back().setDaemons(Daemons);
    }
    this->Ledger = std::make_unique<AllowanceLedger>(this->Borne, this->Now);
  }

  void run(Common::Duration For) {
    const Common::TimePoint End = this->Now + For;
    while (this->Now < End) {
      this->Now += 20ms;
      for (AllowanceAccount &Each : this->Accounts)
        this->spend(Each);
      if (this->Randomness.chance(0.002))
        this->changeLeader();
      this->check();
    }
  }
  double spentIn(Common::Duration Window) const {
    double Sum = 0;
    for (const auto &Each : this->Spent)
      if (this->Now - Each.first <= Window)
        Sum += Each.second;
    return Sum;
  }

private:
  void spend(AllowanceAccount &Of) {
    const double Tokens = this->Randomness.chance(0.2)
                              ? 12'000
                              : 200 + 2000 * this->Randomness.fraction();
    if (Of.take(this->Limits, Tokens, this->Now))
      this->Spent.emplace_back(this->Now, Tokens);
    else
      this->Waiting[&Of].push_back(Tokens);
    if (!this->Ledger || !this->Randomness.chance(0.2))
      return;
    for (const auto &Each : Of.demands(this->Now))
      Of.granted(
          Each.Team,
          this->Ledger->grant(this->Limits, Each.Needed, Each.Stock, this->Now),
          this->Now);
    for (const double Each : this->Waiting[&Of])
      if (Of.retake(this->Limits, Each))
        this->Spent.emplace_back(this->Now, Each);
    this->Waiting[&Of].clear();
    Of.dropSurplus();
  }

  void changeLeader() {
    this->Ledger = std::make_unique<AllowanceLedger>(this->Borne, this->Now);
    std::vector<double> Used(8, 0);
    for (AllowanceAccount &Each : this->Accounts)
      for (const auto &Part : Each.grantedLately(this->Now))
        for (std::size_t I = 0; I < Part.Within.size(); ++I)
          Used[I] += Part.Within[I];
    this->Ledger->grantedLately(this->Limits, Used, this->Now);
  }

  void check() {
    while (!this->Spent.empty() &&
           this->Now - this->Spent.front().first > this->Borne.Window)
      this->Spent.pop_front();
    const double Seconds = Common::toSeconds(this->Borne.Window);
    const double Bound =
        (this->Limits.TokenRate * Seconds + this->Limits.TokenBurst) *
            (1 + this->Borne.Share) +
        this->Borne.Tokens;
    BOOST_REQUIRE_LE(this->spentIn(this->Borne.Window), Bound);
  }

  AllowanceTolerance Borne{140'000, 0.1, 8s};
  Common::Random Randomness;
  Configuration::Team Limits;
  Common::TimePoint Now{1000s};
  std::vector<AllowanceAccount> Accounts;
  std::unique_ptr<AllowanceLedger> Ledger;
  std::map<AllowanceAccount *, std::vector<double>> Waiting;
  std::deque<std::pair<Common::TimePoint, double>> Spent;
};

} // namespace

BOOST_AUTO_TEST_SUITE(Allowance_)

// Pattern: a team asks for several times its limit at all daemons, while
// leaders change.
BOOST_AUTO_TEST_CASE(NoWindowEverExceedsWhatIsBorne) {
  for (std::uint64_t Seed = 1; Seed <= 60; ++Seed)
    for (const double Rate : {2'000.0, 36'000.0, 240'000.0}) {
      BOOST_TEST_CONTEXT("seed " << Seed << " rate " << Rate) {
        Schedule Of(Seed, 8, teamWith(Rate, Rate));
        Of.run(30s);
      }
    }
}

// Pattern: the same flood; the limit itself is used, not a part of it.
BOOST_AUTO_TEST_CASE(ATeamThatAsksForMoreGetsItsLimit) {
  Schedule Of(7, 8, teamWith(36'000, 36'000));
  Of.run(40s);
  BOOST_TEST(Of.spentIn(8s) >= 0.9 * 36'000 * 8);
}

BOOST_AUTO_TEST_CASE(ATeamWithoutLimitSpendsFreely) {
  AllowanceAccount Account(AllowanceTolerance{});
  BOOST_TEST(Account.take(teamWith(0, 0), 1e9, Common::TimePoint(1s)));
}

BOOST_AUTO_TEST_CASE(ALoweredLimitCutsTheStock) {
  AllowanceAccount Account(AllowanceTolerance{0, 0.1, 8s});
  Account.setDaemons(1);
  Configuration::Team High = teamWith(100'000, 100'000);
  const Common::TimePoint Now(1s);
  BOOST_TEST(!Account.take(High, 1000, Now));
  Account.granted(High.Name, 50'000, Now);
  Configuration::ServiceMapParts Parts;
  High.TokenRate = 1000;
  High.TokenBurst = 1000;
  Parts.Teams = {High};
  Account.limitsChanged(*Configuration::ServiceMap::create(Parts));
  BOOST_TEST(!Account.retake(High, 1000));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
