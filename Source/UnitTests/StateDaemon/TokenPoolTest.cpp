#include "StateDaemon/TokenPool.h"

#include "Admission/GrantHistory.h"
#include "Common/Random.h"

#include <boost/test/unit_test.hpp>
#include <deque>

namespace UnitTests {

namespace {

using namespace std::chrono_literals;
using StateDaemon::TokenPool;

const Configuration::TeamName Mill("mill");

std::shared_ptr<const Configuration::ServiceMap> declare(double Rate,
                                                         double Burst) {
  Configuration::Team Team;
  Team.Name = Mill;
  Team.TokenRate = Rate;
  Team.TokenBurst = Burst;
  Configuration::ServiceMapParts Parts;
  Parts.Teams = {Team};
  return std::make_shared<const Configuration::ServiceMap>(
      *Configuration::ServiceMap::create(Parts));
}

State::TokenRequest requestOf(std::uint64_t Number, double Tokens,
                              std::uint64_t MaxWaitMilliseconds = 300) {
  State::TokenRequest Result;
  Result.Entry = Common::DaemonId("e1");
  Result.Incarnation = {1};
  Result.Needs = {{Number, Mill, Tokens, MaxWaitMilliseconds}};
  return Result;
}

struct Fixture {
  Common::TimePoint Now{100s};
  TokenPool Pool{Admission::AllowanceTolerance{100'000, 0.1, 8s}};

  Fixture() {
    this->Pool.setHolders(1);
    this->Pool.setDeclaration(declare(10'000, 10'000));
  }
  /// The decisions since the last call, as "number+" or "number-".
  std::string decisions() {
    std::string Result;
    for (const State::TokenDecisions &Each : this->Pool.takeDecisions())
      for (const State::TokenDecision &Made : Each.Decisions)
        Result += std::to_string(Made.Number) + (Made.Granted ? "+" : "-");
    return Result;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(TokenPool_)

BOOST_FIXTURE_TEST_CASE(GrantServesTheWaitingNeedAndTheReserveTheNext,
                        Fixture) {
  this->Pool.handleRequest(requestOf(1, 5'000), this->Now);
  BOOST_TEST(this->decisions().empty());
  const auto Demand = this->Pool.takeDemand(this->Now);
  BOOST_REQUIRE(Demand.has_value());
  BOOST_TEST(Demand->Demands.at(0).Needed == 5'000);
  this->Pool.handleGrant({Demand->Sequence, {{Mill, 9'000, 0}}}, this->Now);
  BOOST_TEST(this->decisions() == "1+");
  this->Pool.handleRequest(requestOf(2, 4'000), this->Now);
  BOOST_TEST(this->decisions() == "2+");
}

// Needs arrive while the answer of the leader is on its way. They must not
// demand the tokens of the earlier ones again.
BOOST_FIXTURE_TEST_CASE(TokensAreDemandedOnce, Fixture) {
  this->Pool.handleRequest(requestOf(1, 5'000), this->Now);
  BOOST_REQUIRE(this->Pool.takeDemand(this->Now).has_value());
  this->Pool.handleRequest(requestOf(2, 3'000), this->Now);
  const auto Second = this->Pool.takeDemand(this->Now + 2ms);
  BOOST_REQUIRE(Second.has_value());
  BOOST_TEST(Second->Demands.at(0).Needed == 3'000);
  BOOST_TEST(!this->Pool.takeDemand(this->Now + 4ms).has_value());
  // The leader was lost with both requests.
  const auto Again = this->Pool.takeDemand(this->Now + 260ms);
  BOOST_REQUIRE(Again.has_value());
  BOOST_TEST(Again->Demands.at(0).Needed == 8'000);
}

BOOST_FIXTURE_TEST_CASE(NeedIsRefusedAtOnceIfTheTokensComeTooLate, Fixture) {
  this->Pool.handleRequest(requestOf(1, 5'000), this->Now);
  const auto Demand = this->Pool.takeDemand(this->Now);
  this->Pool.handleGrant({Demand->Sequence, {{Mill, 100, 700}}}, this->Now);
  const auto Made = this->Pool.takeDecisions();
  BOOST_REQUIRE(Made.size() == 1u);
  BOOST_TEST(!Made[0].Decisions.at(0).Granted);
  BOOST_TEST(Made[0].Decisions.at(0).RetryAfterMilliseconds == 700u);
}

BOOST_FIXTURE_TEST_CASE(NeedWaitsForTokensThatComeInTime, Fixture) {
  this->Pool.handleRequest(requestOf(1, 5'000), this->Now);
  const auto Demand = this->Pool.takeDemand(this->Now);
  this->Pool.handleGrant({Demand->Sequence, {{Mill, 4'000, 100}}}, this->Now);
  BOOST_TEST(this->decisions().empty());
  BOOST_TEST(!this->Pool.takeDemand(this->Now + 50ms).has_value());
  const auto Rest = this->Pool.takeDemand(this->Now + 100ms);
  BOOST_REQUIRE(Rest.has_value());
  BOOST_TEST(Rest->Demands.at(0).Needed == 1'000);
  this->Pool.handleGrant({Rest->Sequence, {{Mill, 1'000, 0}}},
                         this->Now + 101ms);
  BOOST_TEST(this->decisions() == "1+");
}

BOOST_FIXTURE_TEST_CASE(NeedIsRefusedInTimeWithoutALeader, Fixture) {
  this->Pool.handleRequest(requestOf(1, 5'000, 200), this->Now);
  this->Pool.refuseExpired(this->Now + 199ms);
  BOOST_TEST(this->decisions().empty());
  this->Pool.refuseExpired(this->Now + 200ms);
  BOOST_TEST(this->decisions() == "1-");
  BOOST_TEST(!this->Pool.hasWaiting());
}

// Needs of a team are served in their order, whatever their size.
BOOST_FIXTURE_TEST_CASE(SmallNeedsDoNotOvertakeLargeOnes, Fixture) {
  this->Pool.handleRequest(requestOf(1, 100), this->Now);
  auto Demand = this->Pool.takeDemand(this->Now);
  this->Pool.handleGrant({Demand->Sequence, {{Mill, 1'100, 0}}}, this->Now);
  BOOST_TEST(this->decisions() == "1+");
  this->Pool.handleRequest(requestOf(2, 5'000), this->Now);
  this->Pool.handleRequest(requestOf(3, 500), this->Now);
  BOOST_TEST(this->decisions().empty());
}

BOOST_FIXTURE_TEST_CASE(UnknownTeamIsRefusedAndUnlimitedTeamIsNot, Fixture) {
  this->Pool.setDeclaration(declare(0, 0));
  this->Pool.handleRequest(requestOf(1, 1e9), this->Now);
  BOOST_TEST(this->decisions() == "1+");
  this->Pool.setDeclaration(nullptr);
  this->Pool.handleRequest(requestOf(2, 1, 100), this->Now);
  this->Pool.refuseExpired(this->Now + 100ms);
  BOOST_TEST(this->decisions() == "2-");
}

// Entry daemons of six state daemons ask for several times the limit of their
// team while messages between state daemons and leaders are delayed or lost,
// leaders change and state daemons restart. Invariant: in every window, the
// tokens spent stay within the tolerance.
BOOST_AUTO_TEST_CASE(SpendingStaysWithinToleranceUnderFaults) {
  const Admission::AllowanceTolerance Tolerance{140'000, 0.1, 8s};
  constexpr std::size_t Pools = 6;
  for (std::uint64_t Seed = 1; Seed <= 40; ++Seed)
    for (const double Rate : {3'000.0, 60'000.0, 600'000.0}) {
      Common::Random Randomness(Seed);
      const auto Declared = declare(Rate, Rate);
      const Configuration::Team &Limits = *Declared->team(Mill);
      const double Bound =
          9 * Rate * (1 + Tolerance.FractionOfLimits) + Tolerance.FixedTokens;
      struct Delayed {
        Common::TimePoint At;
        std::size_t Pool = 0;
        State::TokenPoolGrant Grant;
      };
      Common::TimePoint Now(1000s);
      std::vector<TokenPool> All;
      const auto MakePool = [&] {
        TokenPool Result(Tolerance);
        Result.setHolders(Pools);
        Result.setDeclaration(Declared);
        return Result;
      };
      for (std::size_t I = 0; I < Pools; ++I)
        All.push_back(MakePool());
      Admission::AllowanceLedger Ledger(Tolerance, Now);
      Admission::GrantHistory History(8s);
      std::deque<Delayed> InFlight;
      std::deque<std::pair<Common::TimePoint, double>> Spent;
      std::map<std::uint64_t, double> Asked;
      double SpentInWindow = 0;
      std::uint64_t Number = 0;
      const Common::TimePoint End = Now + 30s;
      while (Now < End) {
        Now += 10ms;
        for (std::size_t I = 0; I < Pools; ++I) {
          const double Tokens =
              Rate * 0.01 * (0.1 + Randomness.fraction()) + 200;
          Asked[++Number] = Tokens;
          All[I].handleRequest(requestOf(Number, Tokens), Now);
          All[I].refuseExpired(Now);
          const auto Demand = All[I].takeDemand(Now);
          if (Demand && !Randomness.chance(0.05)) {
            Delayed Sent{Now + Randomness.between(1ms, 80ms), I, {}};
            Sent.Grant.Sequence = Demand->Sequence;
            for (const State::TokenDemand &Each : Demand->Demands) {
              const auto Granted =
                  Ledger.grant(Limits, Each.Needed, Each.Reserve, Now);
              Sent.Grant.Grants.push_back(
                  {Each.Team, Granted.Tokens,
                   static_cast<std::uint64_t>(
                       Common::toMilliseconds(Granted.Wait))});
            }
            if (!Randomness.chance(0.05))
              InFlight.push_back(std::move(Sent));
          }
          if (Randomness.chance(0.0005))
            All[I] = MakePool();
        }
        for (std::size_t I = 0; I < InFlight.size();) {
          if (InFlight[I].At > Now) {
            ++I;
            continue;
          }
          All[InFlight[I].Pool].handleGrant(InFlight[I].Grant, Now);
          InFlight.erase(InFlight.begin() + static_cast<std::ptrdiff_t>(I));
        }
        for (TokenPool &Each : All)
          for (const auto &Decided : Each.takeDecisions())
            for (const auto &Made : Decided.Decisions) {
              if (Made.Granted) {
                Spent.emplace_back(Now, Asked[Made.Number]);
                SpentInWindow += Asked[Made.Number];
                History.record(Mill, Asked[Made.Number], Now);
              }
              Asked.erase(Made.Number);
            }
        if (Randomness.chance(0.002)) {
          Ledger = Admission::AllowanceLedger(Tolerance, Now);
          for (const auto &Recent : History.recent(Now))
            Ledger.restoreFromGrants(Limits, Recent.CumulativeTokens, Now);
        }
        while (!Spent.empty() && Now - Spent.front().first > 8s) {
          SpentInWindow -= Spent.front().second;
          Spent.pop_front();
        }
        BOOST_TEST_CONTEXT("seed " << Seed << " rate " << Rate)
        BOOST_REQUIRE_LE(SpentInWindow, Bound);
      }
      // Not trivially: the team received most of its limit.
      BOOST_TEST(SpentInWindow >= 0.5 * 8 * Rate);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
