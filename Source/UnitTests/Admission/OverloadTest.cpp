#include "Admission/OverloadModel.h"

#include <boost/test/unit_test.hpp>

// Admission while a service is short of room, against today's policy, which
// places requests in the order of their arrival.

namespace UnitTests {

namespace {

constexpr std::size_t Draft = 0;
constexpr std::size_t Chat = 1;
constexpr std::size_t Tag = 2;
constexpr std::size_t OtherTeamDraft = 3;
constexpr std::uint64_t Seeds = 3;
/// Placement is random; runs of the same policy with other seeds differ by
/// about as much.
constexpr double Noise = 0.005;

/// About 70 % of the engine time of 20 servers.
std::vector<RequestKind> kinds() {
  return {{"draft", 1, "a", 50, 117, 2500, 1000, 15'000},
          {"chat", 0, "a", 150, 11, 1600, 500, 12'000},
          {"tag", 2, "a", 100, 32, 150, 600, 3000},
          {"draft of another team", 1, "b", 25, 117, 2500, 1000, 15'000}};
}

bool within(int Now, int From, int To) { return Now >= From && Now < To; }

std::vector<KindResult> sumOf(const OverloadScenario &Scenario,
                              bool UseLevels) {
  std::vector<KindResult> Result(kinds().size());
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    OverloadModel Model(kinds(), Scenario, UseLevels, Seed);
    const auto Run = Model.run();
    for (std::size_t I = 0; I < Result.size(); ++I) {
      Result[I].Offered += Run[I].Offered;
      Result[I].OnTime += Run[I].OnTime;
      Result[I].Served += Run[I].Served;
      Result[I].Refused += Run[I].Refused;
      Result[I].Expired += Run[I].Expired;
    }
  }
  return Result;
}

/// Requests served on time, weighted by urgency.
double valueOf(const std::vector<KindResult> &Results) {
  const auto Kinds = kinds();
  double Sum = 0;
  for (std::size_t I = 0; I < Kinds.size(); ++I)
    Sum += Results[I].OnTime * (Kinds[I].Rank == 0   ? 4
                                : Kinds[I].Rank == 1 ? 2
                                                     : 1);
  return Sum;
}

struct Comparison {
  std::vector<KindResult> Today;
  std::vector<KindResult> Levels;
};

/// Checks that the most urgent kind, which alone has room in all scenarios, is
/// late less often because of the others.
void checkUrgentGains(const Comparison &Result) {
  BOOST_TEST(Result.Levels[Chat].onTimeShare() >
             Result.Today[Chat].onTimeShare() + 0.02);
}

/// Checks what holds in every scenario. The kind Abusive may be worse off than
/// less urgent ones.
Comparison compare(const OverloadScenario &Scenario,
                   std::optional<std::size_t> Abusive = std::nullopt) {
  Comparison Result{sumOf(Scenario, false), sumOf(Scenario, true)};
  const auto Kinds = kinds();
  for (std::size_t I = 0; I < Kinds.size(); ++I)
    BOOST_TEST_MESSAGE(Scenario.Name
                       << ", " << Kinds[I].Name << ": on time "
                       << Result.Today[I].onTimeShare() << " today, "
                       << Result.Levels[I].onTimeShare() << " with levels, of "
                       << Result.Levels[I].Offered << "; refused "
                       << Result.Today[I].Refused << ", "
                       << Result.Levels[I].Refused << "; expired "
                       << Result.Today[I].Expired << ", "
                       << Result.Levels[I].Expired);
  BOOST_TEST_MESSAGE(Scenario.Name
                     << ": value "
                     << valueOf(Result.Levels) / valueOf(Result.Today)
                     << " of today's");
  BOOST_TEST(valueOf(Result.Levels) >= (1 - Noise) * valueOf(Result.Today),
             Scenario.Name);
  for (std::size_t I = 0; I < Kinds.size(); ++I) {
    BOOST_TEST(Result.Levels[I].servedShare() >= Admission::GuaranteedShare,
               Scenario.Name);
    for (std::size_t J = 0; J < Kinds.size(); ++J)
      if (Abusive != I && Kinds[I].Rank < Kinds[J].Rank)
        BOOST_TEST(Result.Levels[I].onTimeShare() + 0.02 >=
                       Result.Levels[J].onTimeShare(),
                   Scenario.Name << ": " << Kinds[I].Name << " is worse off");
  }
  return Result;
}

int reclaimed(int Now) { return within(Now, 4000, 9000) ? 10 : 0; }

} // namespace

BOOST_AUTO_TEST_SUITE(Overload_)

// Guards against refusals where there is room.
BOOST_AUTO_TEST_CASE(NothingIsRefusedInCalm) {
  OverloadScenario Scenario;
  Scenario.Name = "calm";
  const auto Result = compare(Scenario);
  for (std::size_t I = 0; I < Result.Levels.size(); ++I)
    BOOST_TEST(Result.Levels[I].Refused <= Result.Today[I].Refused);
}

// Guards against lateness of the urgent and of all, because the order of
// arrival decides, when a data centre's servers are reclaimed while load rises.
BOOST_AUTO_TEST_CASE(ServersAreReclaimedWhileLoadRises) {
  OverloadScenario Scenario;
  Scenario.Name = "reclaim";
  Scenario.Gone = reclaimed;
  Scenario.Load = [](std::size_t, int Now) {
    return within(Now, 3000, 9000) ? 1.2 : 1.0;
  };
  checkUrgentGains(compare(Scenario));
}

// Guards against one team taking the room of others of its rank.
BOOST_AUTO_TEST_CASE(ATeamAtSixTimesItsLoad) {
  OverloadScenario Scenario;
  Scenario.Name = "team";
  Scenario.Load = [](std::size_t Kind, int Now) {
    return Kind == Draft && within(Now, 3000, 9000) ? 6.0 : 1.0;
  };
  const auto Result = compare(Scenario);
  BOOST_TEST(Result.Levels[OtherTeamDraft].onTimeShare() >
             Result.Today[OtherTeamDraft].onTimeShare() + 0.1);
  BOOST_TEST(Result.Levels[OtherTeamDraft].onTimeShare() >
             Result.Levels[Draft].onTimeShare());
}

// Guards against callers that gain by repeating refused requests at once.
BOOST_AUTO_TEST_CASE(CallersRepeatAtOnce) {
  OverloadScenario Scenario;
  Scenario.Name = "immediate repeats";
  Scenario.Gone = reclaimed;
  Scenario.ImpatientKind = Draft;
  const auto Result = compare(Scenario);
  BOOST_TEST(Result.Levels[OtherTeamDraft].onTimeShare() >=
             Result.Levels[Draft].onTimeShare() - 0.02);
}

// Guards against places that are kept for callers that have left.
BOOST_AUTO_TEST_CASE(CallersLeave) {
  OverloadScenario Scenario;
  Scenario.Name = "callers leave";
  Scenario.Gone = reclaimed;
  Scenario.Leaving = 0.3;
  compare(Scenario);
}

// Guards against a burst of one kind that makes the others late, alone and
// beside a reclaim.
BOOST_AUTO_TEST_CASE(BurstsOfOneKind) {
  for (const std::size_t Kind : {Draft, Chat, Tag})
    for (const double Factor : {1.5, 2.2})
      for (const bool Reclaim : {false, true}) {
        const std::string Name = std::string("burst of ") + kinds()[Kind].Name +
                                 " at " + std::to_string(Factor) +
                                 (Reclaim ? " beside a reclaim" : "");
        OverloadScenario Scenario;
        Scenario.Name = Name.c_str();
        Scenario.Load = [Kind, Factor](std::size_t Each, int Now) {
          return Each == Kind && within(Now, 3000, 9000) ? Factor : 1.0;
        };
        if (Reclaim)
          Scenario.Gone = reclaimed;
        compare(Scenario);
      }
}

// Guards against one prompt prefix with a third of the traffic that makes
// others late, as it is cached on few servers.
BOOST_AUTO_TEST_CASE(APrefixWithAThirdOfTheTraffic) {
  OverloadScenario Scenario;
  Scenario.Name = "prefix";
  Scenario.PrefixKind = Draft;
  Scenario.Load = [](std::size_t Kind, int Now) {
    return Kind == Draft && within(Now, 3000, 9000) ? 2.8 : 1.0;
  };
  const auto Result = compare(Scenario);
  BOOST_TEST(Result.Levels[OtherTeamDraft].onTimeShare() >
             Result.Today[OtherTeamDraft].onTimeShare() + 0.02);
}

// Guards against measures for one fault that fail beside another.
BOOST_AUTO_TEST_CASE(SeveralAtOnce) {
  for (const bool Reclaim : {false, true}) {
    OverloadScenario Scenario;
    Scenario.Name = Reclaim ? "team, repeats and leaving beside a reclaim"
                            : "team, repeats and leaving";
    Scenario.Load = [](std::size_t Kind, int Now) {
      return Kind == Draft && within(Now, 3000, 9000) ? 6.0 : 1.0;
    };
    Scenario.ImpatientKind = Draft;
    Scenario.Leaving = 0.2;
    if (Reclaim)
      Scenario.Gone = reclaimed;
    // These callers give up after 20 repeats within 400 ms, while callers of
    // other kinds return after their Retry-After.
    checkUrgentGains(compare(Scenario, Draft));
  }
}

// Guards against daemons that decide alike only while their own callers are
// alike: demand moves from one half of the daemons to the other.
BOOST_AUTO_TEST_CASE(DemandMovesBetweenDataCentres) {
  OverloadScenario Scenario;
  Scenario.Name = "demand moves";
  Scenario.Gone = reclaimed;
  Scenario.Daemon = [](int Now, Common::Random &Randomness) {
    const bool First = Randomness.chance(Now / 3000 % 2 == 0 ? 0.85 : 0.15);
    return Randomness.below(4) + (First ? 0 : 4);
  };
  checkUrgentGains(compare(Scenario));
}

// Guards against daemons that refuse all or nothing without a valid level.
BOOST_AUTO_TEST_CASE(HalfOfTheDaemonsAreCutOff) {
  OverloadScenario Scenario;
  Scenario.Name = "cut off";
  Scenario.Gone = reclaimed;
  Scenario.CutOff = [](std::size_t Daemon, int Now) {
    return Daemon < 4 && within(Now, 5000, 11'000);
  };
  checkUrgentGains(compare(Scenario));
}

// Guards against a change of leader that ends levels or keeps them for ever.
BOOST_AUTO_TEST_CASE(TheLeaderChanges) {
  OverloadScenario Scenario;
  Scenario.Name = "leader change";
  Scenario.Gone = reclaimed;
  Scenario.LeaderChange = 6500;
  checkUrgentGains(compare(Scenario));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
