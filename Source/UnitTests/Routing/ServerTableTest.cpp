#include "Routing/ServerTable.h"

#include <boost/test/unit_test.hpp>
#include <map>

namespace UnitTests {

namespace {

using namespace Routing;

const Common::ServiceName Models("models");

Membership::ServerRecord engine(int Number, std::uint32_t Slots = 64) {
  Membership::ServerRecord Result;
  Result.Id = Common::BackendServerId("e" + std::to_string(Number));
  Result.Service = Models;
  Result.Address = {"10.0.0.1", static_cast<std::uint16_t>(1000 + Number)};
  Result.DataCentre = Common::DataCentreId("east");
  Result.Slots = Slots;
  Result.StartedAt = 1;
  Result.Sequence = 1;
  return Result;
}

ModelPrompt promptOf(const std::string &Shared, std::uint64_t SharedTokens,
                     std::uint64_t OwnTokens, int Number) {
  ModelPrompt Result;
  Result.PromptTokens = SharedTokens + OwnTokens;
  Result.Parts = {{Shared, SharedTokens},
                  {"own-" + std::to_string(Number), OwnTokens}};
  return Result;
}

struct Table {
  Common::TimePoint Now{std::chrono::seconds(100)};
  ServerTable Servers;

  explicit Table(int Engines, std::uint64_t Seed = 1)
      : Servers({Common::DataCentreId("east"), std::chrono::seconds(4), Seed}) {
    for (int I = 0; I < Engines; ++I)
      this->Servers.apply(engine(I), this->Now);
  }
  PlacementChoice place(const ModelPrompt &Prompt) {
    const auto Chosen = this->Servers.choose({Models, &Prompt, {}}, this->Now);
    BOOST_REQUIRE(Chosen.has_value());
    this->Servers.started(*Chosen, &Prompt, this->Now);
    return *Chosen;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(ServerTable_)

// Pattern: a steady load of prompts that share long parts.
BOOST_AUTO_TEST_CASE(ASharedPartIsReadByOneEngineWhileItKeepsUp) {
  Table Of(12);
  std::map<std::string, std::set<std::string>> Readers;
  for (int I = 0; I < 600; ++I) {
    const std::string Shared = "doc-" + std::to_string(I % 40);
    const auto At = Of.place(promptOf(Shared, 5000, 1000, I));
    Readers[Shared].insert(At.Id.str());
    Of.Now += std::chrono::milliseconds(40);
    Of.Servers.beganOutput(At);
    Of.Servers.ended(At, ServerOutcome::Answered, Of.Now);
  }
  std::size_t Reads = 0;
  for (const auto &Each : Readers)
    Reads += Each.second.size();
  // 40 parts: a twentieth more may be read where two come at once.
  BOOST_TEST(Reads <= 42u);
}

// Pattern: two daemons that do not talk send the same documents.
BOOST_AUTO_TEST_CASE(DaemonsAgreeOnAPartsEngineWithoutTalking) {
  Table One(12, 1);
  Table Two(12, 2);
  for (int I = 0; I < 40; ++I) {
    const auto Prompt = promptOf("doc-" + std::to_string(I), 5000, 100, I);
    const auto First = One.Servers.choose({Models, &Prompt, {}}, One.Now);
    const auto Second = Two.Servers.choose({Models, &Prompt, {}}, Two.Now);
    BOOST_TEST(First->Id.str() == Second->Id.str());
  }
}

// Pattern: one prefix gets a flood, far beyond what its engine can read.
BOOST_AUTO_TEST_CASE(AHotPrefixSpillsOverBeforeItsEngineIsFarBehind) {
  Table Of(6);
  std::map<std::string, std::uint64_t> Pending;
  for (int I = 0; I < 120; ++I) {
    const auto At = Of.place(promptOf("hot", 500, 1800, I));
    Pending[At.Id.str()] += At.UncachedTokens;
  }
  BOOST_TEST(Pending.size() == 6u);
  std::uint64_t Most = 0;
  std::uint64_t Sum = 0;
  for (const auto &Each : Pending) {
    Most = std::max(Most, Each.second);
    Sum += Each.second;
  }
  // Bound of the load: no engine above 1.5 times the mean.
  BOOST_TEST(static_cast<double>(Most) <= 1.5 * Sum / 6);
}

// Pattern: the other daemons load an engine that looks idle from here.
BOOST_AUTO_TEST_CASE(OthersLoadCounts) {
  Table Of(2);
  Of.Servers.setOthersLoad(Common::BackendServerId("e0"), 60, 400'000);
  for (int I = 0; I < 20; ++I) {
    const auto Prompt = promptOf("doc-" + std::to_string(I), 100, 100, I);
    BOOST_TEST(Of.Servers.choose({Models, &Prompt, {}}, Of.Now)->Id.str() ==
               "e1");
  }
}

// Pattern: servers of a data centre fall silent while requests are there,
// and no connection ends.
BOOST_AUTO_TEST_CASE(AServerThatFellSilentGetsNothingMore) {
  Table Of(4);
  std::map<std::string, PlacementChoice> There;
  for (int I = 0; There.size() < 4; ++I)
    if (const auto At = Of.place(promptOf("doc-" + std::to_string(I), 0, 1, I));
        !There.emplace(At.Id.str(), At).second)
      Of.Servers.ended(At, ServerOutcome::Answered, Of.Now);
  const PlacementChoice Dark = There.at("e0");
  // The others go on sending events.
  for (int I = 0; I < 20; ++I) {
    Of.Now += std::chrono::milliseconds(50);
    for (const auto &[Name, At] : There)
      if (Name != "e0")
        Of.Servers.heard(At, Of.Now);
  }
  BOOST_TEST(Common::toSeconds(Of.Servers.silence(Dark, Of.Now)) == 1.0);
  for (int I = 0; I < 60; ++I) {
    const auto Prompt = promptOf("new-" + std::to_string(I), 500, 100, I);
    BOOST_TEST(Of.Servers.choose({Models, &Prompt, {}}, Of.Now)->Id.str() !=
               "e0");
  }
  // A single byte shows that it is back.
  Of.Servers.heard(Dark, Of.Now);
  BOOST_TEST(Common::toSeconds(Of.Servers.silence(Dark, Of.Now)) == 0.0);
}

// Pattern: long prompts that an engine reads for a second before it answers.
BOOST_AUTO_TEST_CASE(AServerThatReadsALongPromptIsNotSilent) {
  Table Of(2);
  const auto Reading = Of.place(promptOf("long", 0, 50'000, 1));
  const std::string Other = Reading.Id.str() == "e0" ? "e1" : "e0";
  Of.Servers.setOthersLoad(Common::BackendServerId(Other), 10, 100'000);
  Of.Now += std::chrono::milliseconds(900);
  const auto Next = promptOf("next", 0, 100, 2);
  BOOST_TEST(Of.Servers.choose({Models, &Next, {}}, Of.Now)->Id.str() ==
             Reading.Id.str());
}

// Pattern: a server crashes and says nothing.
BOOST_AUTO_TEST_CASE(AServerThatCannotBeReachedIsAvoidedAndTriedAgain) {
  Table Of(2);
  const auto Prompt = promptOf("doc", 100, 100, 1);
  const auto Home = Of.place(Prompt);
  Of.Servers.ended(Home, ServerOutcome::Unreachable, Of.Now);
  BOOST_TEST(Of.Servers.choose({Models, &Prompt, {}}, Of.Now)->Id.str() !=
             Home.Id.str());
  Of.Now += std::chrono::seconds(20);
  Of.Servers.refresh(Common::BackendServerId("e0"), 1, 2, Of.Now);
  Of.Servers.refresh(Common::BackendServerId("e1"), 1, 2, Of.Now);
  std::set<std::string> Used;
  for (int I = 0; I < 40; ++I)
    Used.insert(Of.place(promptOf("d" + std::to_string(I), 9, 9, I)).Id.str());
  BOOST_TEST(Used.size() == 2u);
}

// Pattern: a data centre's servers are reclaimed.
BOOST_AUTO_TEST_CASE(ALeavingServerGetsNothingMore) {
  Table Of(4);
  for (int I = 0; I < 3; ++I) {
    auto Leaving = engine(I);
    Leaving.Phase = Membership::ServerPhase::Leaving;
    Leaving.Sequence = 2;
    Of.Servers.apply(Leaving, Of.Now);
  }
  for (int I = 0; I < 50; ++I)
    BOOST_TEST(Of.place(promptOf("d", 100, 100, I)).Id.str() == "e3");
}

BOOST_AUTO_TEST_CASE(ServersThatWereTriedAreNotChosenAgain) {
  Table Of(2);
  const auto Prompt = promptOf("doc", 100, 100, 1);
  Placement Wanted{Models, &Prompt, {Common::BackendServerId("e0")}};
  BOOST_TEST(Of.Servers.choose(Wanted, Of.Now)->Id.str() == "e1");
  Wanted.Tried.insert(Common::BackendServerId("e1"));
  BOOST_TEST(!Of.Servers.choose(Wanted, Of.Now).has_value());
}

BOOST_AUTO_TEST_CASE(ASilentServerIsUsedOnlyWhenNoneIsFresh) {
  Table Of(2);
  Of.Now += std::chrono::seconds(5);
  Of.Servers.refresh(Common::BackendServerId("e1"), 1, 2, Of.Now);
  for (int I = 0; I < 20; ++I)
    BOOST_TEST(Of.place(promptOf("d", 10, 10, I)).Id.str() == "e1");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
