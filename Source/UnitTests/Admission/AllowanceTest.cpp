#include "Admission/AllowanceAccount.h"
#include "Admission/AllowanceLedger.h"
#include "Admission/GrantHistory.h"

#include "Common/Random.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <memory>

namespace UnitTests {

namespace {

using namespace Admission;
using namespace std::chrono_literals;

Configuration::Team makeTeam(double Rate, double Burst) {
  Configuration::Team Result;
  Result.Name = Configuration::TeamName("mill");
  Result.TokenRate = Rate;
  Result.TokenBurst = Burst;
  return Result;
}

/// Simulates state daemons whose entry daemons consume as much as they can
/// while leaders change.
class AllowanceSimulation {
public:
  AllowanceSimulation(std::uint64_t Seed, std::size_t Holders,
                      const Configuration::Team &Limits)
      : Randomness(Seed), Limits(Limits) {
    for (std::size_t I = 0; I < Holders; ++I) {
      this->Holders.push_back({AllowanceAccount(this->Tolerance), {}});
      this->Holders.back().Account.setHolders(Holders);
    }
    this->Ledger =
        std::make_unique<AllowanceLedger>(this->Tolerance, this->Now);
  }

  void run(Common::Duration Length) {
    const Common::TimePoint End = this->Now + Length;
    while (this->Now < End) {
      this->Now += 20ms;
      for (Holder &Each : this->Holders)
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
  struct Holder {
    AllowanceAccount Account;
    std::vector<double> Waiting;
  };
  void spend(Holder &Spender) {
    const double Tokens = this->Randomness.chance(0.2)
                              ? 12'000
                              : 200 + 2000 * this->Randomness.fraction();
    Spender.Account.recordDemand(this->Limits, Tokens, this->Now);
    if (!this->consume(Spender, Tokens))
      Spender.Waiting.push_back(Tokens);
    if (!this->Ledger || !this->Randomness.chance(0.2))
      return;
    AllowanceAccount::TokensByTeam Needed;
    for (const double Each : Spender.Waiting)
      Needed[this->Limits.Name] += Each;
    for (const auto &Each : Spender.Account.demands(Needed, {}, this->Now))
      Spender.Account.add(Each.Team, this->Ledger
                                         ->grant(this->Limits, Each.Needed,
                                                 Each.Reserve, this->Now)
                                         .Tokens);
    for (const double Each : Spender.Waiting)
      this->consume(Spender, Each);
    Spender.Waiting.clear();
    Spender.Account.trimReserves();
  }
  bool consume(Holder &Spender, double Tokens) {
    if (!Spender.Account.tryConsume(this->Limits.Name, Tokens))
      return false;
    this->Spent.emplace_back(this->Now, Tokens);
    this->Grants.record(this->Limits.Name, Tokens, this->Now);
    return true;
  }

  void changeLeader() {
    this->Ledger =
        std::make_unique<AllowanceLedger>(this->Tolerance, this->Now);
    std::vector<double> Granted(8, 0);
    for (const auto &Recent : this->Grants.recent(this->Now))
      Granted = Recent.CumulativeTokens;
    this->Ledger->restoreFromGrants(this->Limits, Granted, this->Now);
  }

  void check() {
    while (!this->Spent.empty() &&
           this->Now - this->Spent.front().first > this->Tolerance.Window)
      this->Spent.pop_front();
    const double Seconds = Common::toSeconds(this->Tolerance.Window);
    const double Bound =
        (this->Limits.TokenRate * Seconds + this->Limits.TokenBurst) *
            (1 + this->Tolerance.FractionOfLimits) +
        this->Tolerance.FixedTokens;
    BOOST_REQUIRE_LE(this->spentIn(this->Tolerance.Window), Bound);
  }

  AllowanceTolerance Tolerance{140'000, 0.1, 8s};
  Common::Random Randomness;
  Configuration::Team Limits;
  Common::TimePoint Now{1000s};
  std::vector<Holder> Holders;
  /// The grants of all entry daemons.
  GrantHistory Grants{8s};
  std::unique_ptr<AllowanceLedger> Ledger;
  std::deque<std::pair<Common::TimePoint, double>> Spent;
};

} // namespace

BOOST_AUTO_TEST_SUITE(Allowance_)

// A team requests several times its limit at all daemons while leaders change.
// Guards against a total beyond the tolerance.
BOOST_AUTO_TEST_CASE(SpendingStaysWithinToleranceInEveryWindow) {
  for (std::uint64_t Seed = 1; Seed <= 60; ++Seed)
    for (const double Rate : {2'000.0, 36'000.0, 240'000.0}) {
      BOOST_TEST_CONTEXT("seed " << Seed << " rate " << Rate) {
        AllowanceSimulation Simulation(Seed, 8, makeTeam(Rate, Rate));
        Simulation.run(30s);
      }
    }
}

// Under the same overload a team must receive nearly its whole limit.
BOOST_AUTO_TEST_CASE(OverloadedTeamReceivesItsLimit) {
  AllowanceSimulation Simulation(7, 8, makeTeam(36'000, 36'000));
  Simulation.run(40s);
  BOOST_TEST(Simulation.spentIn(8s) >= 0.9 * 36'000 * 8);
}

BOOST_AUTO_TEST_CASE(TeamWithoutLimitIsNotLimited) {
  AllowanceLedger Ledger(AllowanceTolerance{}, Common::TimePoint(1s));
  const auto Granted =
      Ledger.grant(makeTeam(0, 0), 1e9, 5, Common::TimePoint(1s));
  BOOST_TEST(Granted.Tokens == 1e9 + 5);
}

BOOST_AUTO_TEST_CASE(LoweredLimitReducesReserve) {
  AllowanceAccount Allowances(AllowanceTolerance{0, 0.1, 8s});
  Allowances.setHolders(1);
  Configuration::Team High = makeTeam(100'000, 100'000);
  const Common::TimePoint Now(1s);
  Allowances.recordDemand(High, 1000, Now);
  Allowances.add(High.Name, 50'000);
  Configuration::ServiceMapParts Parts;
  High.TokenRate = 1000;
  High.TokenBurst = 1000;
  Parts.Teams = {High};
  Allowances.applyLimits(*Configuration::ServiceMap::create(Parts));
  BOOST_TEST(!Allowances.tryConsume(High.Name, 1000));
}

// Callers of a team that is out of tokens are refused at the same moment. Their
// return must be spread over the time in which the tokens are refilled.
BOOST_AUTO_TEST_CASE(RefusedRequestsReturnOneAfterAnother) {
  const Common::TimePoint Now(100s);
  AllowanceLedger Ledger(AllowanceTolerance{}, Now);
  const Configuration::Team Limits = makeTeam(10'000, 0);
  const auto First = Ledger.grant(Limits, 5'000, 0, Now);
  const auto Second = Ledger.grant(Limits, 5'000, 0, Now);
  BOOST_TEST(First.Tokens == 0);
  BOOST_TEST(Common::toSeconds(First.Wait) == 0.5);
  BOOST_TEST(Common::toSeconds(Second.Wait) == 1.0);
}

// Reserves of many state daemons must not empty the bucket for the requests
// that wait at another one.
BOOST_AUTO_TEST_CASE(ReservesLeaveTokensForWaitingRequests) {
  const Common::TimePoint Start(100s);
  AllowanceLedger Ledger(AllowanceTolerance{}, Start);
  const Configuration::Team Limits = makeTeam(10'000, 40'000);
  const Common::TimePoint Now = Start + 10s;
  BOOST_TEST(Ledger.grant(Limits, 0, 100'000, Now).Tokens == 30'000);
  BOOST_TEST(Ledger.grant(Limits, 10'000, 0, Now).Tokens == 10'000);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
