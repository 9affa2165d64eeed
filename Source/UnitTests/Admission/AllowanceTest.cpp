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

Configuration::Team makeTeam(double Rate, double Burst) {
  Configuration::Team Result;
  Result.Name = Configuration::TeamName("mill");
  Result.TokenRate = Rate;
  Result.TokenBurst = Burst;
  return Result;
}

/// Simulates entry daemons that consume as much as they can while leaders
/// change.
class AllowanceSimulation {
public:
  AllowanceSimulation(std::uint64_t Seed, std::size_t Daemons,
                      const Configuration::Team &Limits)
      : Randomness(Seed), Limits(Limits) {
    for (std::size_t I = 0; I < Daemons; ++I) {
      this->Allowances.emplace_back(this->Tolerance);
      this->Allowances.back().setDaemons(Daemons);
    }
    this->Ledger =
        std::make_unique<AllowanceLedger>(this->Tolerance, this->Now);
  }

  void run(Common::Duration Length) {
    const Common::TimePoint End = this->Now + Length;
    while (this->Now < End) {
      this->Now += 20ms;
      for (AllowanceAccount &Each : this->Allowances)
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
  void spend(AllowanceAccount &Daemon) {
    const double Tokens = this->Randomness.chance(0.2)
                              ? 12'000
                              : 200 + 2000 * this->Randomness.fraction();
    if (Daemon.tryConsume(this->Limits, Tokens, this->Now))
      this->Spent.emplace_back(this->Now, Tokens);
    else
      this->Waiting[&Daemon].push_back(Tokens);
    if (!this->Ledger || !this->Randomness.chance(0.2))
      return;
    for (const auto &Each : Daemon.takeDemands(this->Now))
      Daemon.addGrant(Each.Team,
                      this->Ledger->grant(this->Limits, Each.Needed,
                                          Each.Reserve, this->Now),
                      this->Now);
    for (const double Each : this->Waiting[&Daemon])
      if (Daemon.retryConsume(this->Limits, Each))
        this->Spent.emplace_back(this->Now, Each);
    this->Waiting[&Daemon].clear();
    Daemon.trimReserves();
  }

  void changeLeader() {
    this->Ledger =
        std::make_unique<AllowanceLedger>(this->Tolerance, this->Now);
    std::vector<double> Granted(8, 0);
    for (AllowanceAccount &Each : this->Allowances)
      for (const auto &Recent : Each.recentGrants(this->Now))
        for (std::size_t I = 0; I < Recent.CumulativeTokens.size(); ++I)
          Granted[I] += Recent.CumulativeTokens[I];
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
  std::vector<AllowanceAccount> Allowances;
  std::unique_ptr<AllowanceLedger> Ledger;
  std::map<AllowanceAccount *, std::vector<double>> Waiting;
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
  AllowanceAccount Allowances(AllowanceTolerance{});
  BOOST_TEST(Allowances.tryConsume(makeTeam(0, 0), 1e9, Common::TimePoint(1s)));
}

BOOST_AUTO_TEST_CASE(LoweredLimitReducesReserve) {
  AllowanceAccount Allowances(AllowanceTolerance{0, 0.1, 8s});
  Allowances.setDaemons(1);
  Configuration::Team High = makeTeam(100'000, 100'000);
  const Common::TimePoint Now(1s);
  BOOST_TEST(!Allowances.tryConsume(High, 1000, Now));
  Allowances.addGrant(High.Name, 50'000, Now);
  Configuration::ServiceMapParts Parts;
  High.TokenRate = 1000;
  High.TokenBurst = 1000;
  Parts.Teams = {High};
  Allowances.applyLimits(*Configuration::ServiceMap::create(Parts));
  BOOST_TEST(!Allowances.retryConsume(High, 1000));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
