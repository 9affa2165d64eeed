#include "Routing/ServerTable.h"

#include <boost/test/unit_test.hpp>
#include <map>

namespace UnitTests {

namespace {

using namespace Routing;

const Common::ServiceName Models("models");

Membership::ServerRecord makeEngine(int Number, std::uint32_t Slots = 64) {
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

ModelPrompt makePrompt(const std::string &Shared, std::uint64_t SharedTokens,
                       std::uint64_t UnsharedTokens, int Number) {
  ModelPrompt Result;
  Result.PromptTokens = SharedTokens + UnsharedTokens;
  Result.Parts = {{Shared, SharedTokens},
                  {"own-" + std::to_string(Number), UnsharedTokens}};
  return Result;
}

struct Fixture {
  Common::TimePoint Now{std::chrono::seconds(100)};
  ServerTable Servers;

  explicit Fixture(int Engines, std::uint64_t Seed = 1)
      : Servers({Common::DataCentreId("east"), std::chrono::seconds(4), Seed}) {
    for (int I = 0; I < Engines; ++I)
      this->Servers.apply(makeEngine(I), this->Now);
  }
  PlacementChoice startRequest(const ModelPrompt &Prompt) {
    const auto Chosen =
        this->Servers.choose({Models, &Prompt, {}, {}}, this->Now);
    BOOST_REQUIRE(Chosen.has_value());
    this->Servers.recordStart(*Chosen, &Prompt, this->Now);
    return *Chosen;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(ServerTable_)

// Steady load of prompts that share long parts. Guards against several engines
// prefilling the same part.
BOOST_AUTO_TEST_CASE(SharedPartIsPrefilledByOneEngineUnderSteadyLoad) {
  Fixture Test(12);
  std::map<std::string, std::set<std::string>> EnginesByPart;
  for (int I = 0; I < 600; ++I) {
    const std::string Shared = "doc-" + std::to_string(I % 40);
    const auto At = Test.startRequest(makePrompt(Shared, 5000, 1000, I));
    EnginesByPart[Shared].insert(At.Id.str());
    Test.Now += std::chrono::milliseconds(40);
    Test.Servers.recordFirstOutput(At);
    Test.Servers.recordEnd(At, ServerOutcome::Answered, Test.Now);
  }
  std::size_t Prefills = 0;
  for (const auto &Each : EnginesByPart)
    Prefills += Each.second.size();
  // 40 parts; up to a twentieth more prefills are allowed, for requests that
  // arrive at once.
  BOOST_TEST(Prefills <= 42u);
}

// Two daemons without any exchange must send the same documents to the same
// engines.
BOOST_AUTO_TEST_CASE(DaemonsChooseTheSameEngineIndependently) {
  Fixture One(12, 1);
  Fixture Two(12, 2);
  for (int I = 0; I < 40; ++I) {
    const auto Prompt = makePrompt("doc-" + std::to_string(I), 5000, 100, I);
    const auto First = One.Servers.choose({Models, &Prompt, {}, {}}, One.Now);
    const auto Second = Two.Servers.choose({Models, &Prompt, {}, {}}, Two.Now);
    BOOST_TEST(First->Id.str() == Second->Id.str());
  }
}

// A flood of requests with one prefix, far beyond what a single engine can
// prefill.
BOOST_AUTO_TEST_CASE(HotPrefixIsSpreadBeforeItsEngineIsOverloaded) {
  Fixture Test(6);
  std::map<std::string, std::uint64_t> Pending;
  for (int I = 0; I < 120; ++I) {
    const auto At = Test.startRequest(makePrompt("hot", 500, 1800, I));
    Pending[At.Id.str()] += At.UncachedTokens;
  }
  BOOST_TEST(Pending.size() == 6u);
  std::uint64_t MaxPending = 0;
  std::uint64_t TotalPending = 0;
  for (const auto &Each : Pending) {
    MaxPending = std::max(MaxPending, Each.second);
    TotalPending += Each.second;
  }
  // Load bound: no engine has more than 1.5 times the mean.
  BOOST_TEST(static_cast<double>(MaxPending) <= 1.5 * TotalPending / 6);
}

// A flood in which one long part has a third of the traffic, over many engines
// with few slots. No engine may get more requests than it has slots while
// others are free (tuul-hinge-grown: a quarter of all arrivals was rejected).
BOOST_AUTO_TEST_CASE(HotPartDoesNotFillItsEngineWhileOthersAreFree) {
  Fixture Test(0);
  for (int I = 0; I < 60; ++I)
    Test.Servers.apply(makeEngine(I, 16), Test.Now);
  std::map<std::string, std::uint32_t> Running;
  for (int I = 0; I < 480; ++I) {
    const std::string Shared = I % 3 == 0 ? "hot" : "doc-" + std::to_string(I);
    const auto At = Test.startRequest(makePrompt(Shared, 6300, 100, I));
    Test.Servers.recordFirstOutput(At);
    ++Running[At.Id.str()];
  }
  std::uint32_t Most = 0;
  for (const auto &Each : Running)
    Most = std::max(Most, Each.second);
  BOOST_TEST(Most <= 16u);
}

// The engine of a hot part is full. Two daemons without any exchange must
// overflow to the same engine, so that only one more prefills the part.
BOOST_AUTO_TEST_CASE(DaemonsOverflowToTheSameEngine) {
  Fixture One(40, 1);
  Fixture Two(40, 2);
  for (int I = 0; I < 20; ++I) {
    const auto Prompt = makePrompt("doc-" + std::to_string(I), 5000, 100, I);
    const auto Home = One.Servers.choose({Models, &Prompt, {}, {}}, One.Now);
    for (Fixture *Each : {&One, &Two})
      Each->Servers.setTotalLoads({{Home->Id, 64, 0}});
    const auto First = One.Servers.choose({Models, &Prompt, {}, {}}, One.Now);
    const auto Second = Two.Servers.choose({Models, &Prompt, {}, {}}, Two.Now);
    BOOST_TEST(First->Id.str() != Home->Id.str());
    BOOST_TEST(First->Id.str() == Second->Id.str());
    for (Fixture *Each : {&One, &Two})
      Each->Servers.setTotalLoads({});
  }
}

// All engines but crashed ones are overloaded.
BOOST_AUTO_TEST_CASE(CrashedEngineIsWorseThanAFullOne) {
  Fixture Test(2);
  Test.Now += std::chrono::seconds(20);
  Test.Servers.refresh(Common::BackendServerId("e1"), 1, 2,
                       Membership::ServerPhase::Serving, Test.Now);
  Test.Servers.setTotalLoads({{Common::BackendServerId("e1"), 120, 300'000}});
  const auto Prompt = makePrompt("doc", 100, 100, 1);
  BOOST_TEST(
      Test.Servers.choose({Models, &Prompt, {}, {}}, Test.Now)->Id.str() ==
      "e1");
}

// An engine rejects a request because other daemons filled it.
BOOST_AUTO_TEST_CASE(EngineThatRejectedARequestCountsAsFull) {
  Fixture Test(4);
  const auto Home = Test.startRequest(makePrompt("doc", 5000, 100, 0));
  Test.Servers.recordEnd(Home, ServerOutcome::Rejected, Test.Now);
  for (int I = 1; I < 10; ++I)
    BOOST_TEST(Test.startRequest(makePrompt("doc", 5000, 100, I)).Id.str() !=
               Home.Id.str());
  Test.Now += std::chrono::milliseconds(500);
  const auto Prompt = makePrompt("other", 1, 1, 1);
  BOOST_TEST(Test.Servers
                 .choose({Models,
                          &Prompt,
                          {Common::BackendServerId("e0"),
                           Common::BackendServerId("e1"),
                           Common::BackendServerId("e2")},
                          {}},
                         Test.Now)
                 .has_value());
}

// Servers that came and left must not change where parts are looked for.
BOOST_AUTO_TEST_CASE(RingDoesNotDependOnTheOrderOfChanges) {
  Fixture Changed(60, 1);
  for (int I = 0; I < 20; ++I) {
    auto Leaving = makeEngine(I);
    Leaving.Phase = Membership::ServerPhase::Leaving;
    Leaving.Sequence = 2;
    Changed.Servers.apply(Leaving, Changed.Now);
  }
  // e60 replaces e20 at its address.
  auto Replacement = makeEngine(60);
  Replacement.Address = makeEngine(20).Address;
  Replacement.StartedAt = 2;
  Changed.Servers.apply(Replacement, Changed.Now);
  Fixture Fresh(0, 2);
  for (int I = 60; I > 20; --I)
    Fresh.Servers.apply(makeEngine(I), Fresh.Now);
  for (int I = 0; I < 100; ++I) {
    const auto Prompt = makePrompt("doc-" + std::to_string(I), 5000, 100, I);
    BOOST_TEST(
        Changed.Servers.choose({Models, &Prompt, {}, {}}, Changed.Now)
            ->Id.str() ==
        Fresh.Servers.choose({Models, &Prompt, {}, {}}, Fresh.Now)->Id.str());
  }
}

// Other daemons load an engine that has no requests from this daemon.
BOOST_AUTO_TEST_CASE(RemoteLoadIsCounted) {
  Fixture Test(2);
  Test.Servers.setTotalLoads({{Common::BackendServerId("e0"), 60, 400'000}});
  for (int I = 0; I < 20; ++I) {
    const auto Prompt = makePrompt("doc-" + std::to_string(I), 100, 100, I);
    BOOST_TEST(
        Test.Servers.choose({Models, &Prompt, {}, {}}, Test.Now)->Id.str() ==
        "e1");
  }
}

// Servers of a data centre stop responding while requests are pending, and no
// connection is closed.
BOOST_AUTO_TEST_CASE(SilentServerReceivesNoRequests) {
  Fixture Test(4);
  std::map<std::string, PlacementChoice> ChosenByServer;
  for (int I = 0; ChosenByServer.size() < 4; ++I)
    if (const auto At =
            Test.startRequest(makePrompt("doc-" + std::to_string(I), 0, 1, I));
        !ChosenByServer.emplace(At.Id.str(), At).second)
      Test.Servers.recordEnd(At, ServerOutcome::Answered, Test.Now);
  const PlacementChoice Silent = ChosenByServer.at("e0");
  // The other servers continue to send events.
  for (int I = 0; I < 20; ++I) {
    Test.Now += std::chrono::milliseconds(50);
    for (const auto &[Name, At] : ChosenByServer)
      if (Name != "e0")
        Test.Servers.recordActivity(At, Test.Now);
  }
  BOOST_TEST(
      Common::toSeconds(Test.Servers.silenceDuration(Silent, Test.Now)) == 1.0);
  for (int I = 0; I < 60; ++I) {
    const auto Prompt = makePrompt("new-" + std::to_string(I), 500, 100, I);
    BOOST_TEST(
        Test.Servers.choose({Models, &Prompt, {}, {}}, Test.Now)->Id.str() !=
        "e0");
  }
  // Any received byte ends the silence.
  Test.Servers.recordActivity(Silent, Test.Now);
  BOOST_TEST(
      Common::toSeconds(Test.Servers.silenceDuration(Silent, Test.Now)) == 0.0);
}

// An engine prefills a long prompt for a second before it answers, which must
// not be taken for silence.
BOOST_AUTO_TEST_CASE(PrefillOfALongPromptIsNotSilence) {
  Fixture Test(2);
  const auto Prefilling = Test.startRequest(makePrompt("long", 0, 50'000, 1));
  const std::string Other = Prefilling.Id.str() == "e0" ? "e1" : "e0";
  Test.Servers.setTotalLoads({{Common::BackendServerId(Other), 10, 100'000}});
  Test.Now += std::chrono::milliseconds(900);
  const auto Next = makePrompt("next", 0, 100, 2);
  BOOST_TEST(Test.Servers.choose({Models, &Next, {}, {}}, Test.Now)->Id.str() ==
             Prefilling.Id.str());
}

// A server crashes without an announcement.
BOOST_AUTO_TEST_CASE(UnreachableServerIsAvoidedAndRetried) {
  Fixture Test(2);
  const auto Prompt = makePrompt("doc", 100, 100, 1);
  const auto Home = Test.startRequest(Prompt);
  Test.Servers.recordEnd(Home, ServerOutcome::Unreachable, Test.Now);
  BOOST_TEST(
      Test.Servers.choose({Models, &Prompt, {}, {}}, Test.Now)->Id.str() !=
      Home.Id.str());
  Test.Now += std::chrono::seconds(20);
  Test.Servers.refresh(Common::BackendServerId("e0"), 1, 2,
                       Membership::ServerPhase::Serving, Test.Now);
  Test.Servers.refresh(Common::BackendServerId("e1"), 1, 2,
                       Membership::ServerPhase::Serving, Test.Now);
  std::set<std::string> Used;
  for (int I = 0; I < 40; ++I)
    Used.insert(Test.startRequest(makePrompt("d" + std::to_string(I), 9, 9, I))
                    .Id.str());
  BOOST_TEST(Used.size() == 2u);
}

// The servers of a data centre are reclaimed.
BOOST_AUTO_TEST_CASE(LeavingServerReceivesNoRequests) {
  Fixture Test(4);
  for (int I = 0; I < 3; ++I) {
    auto Leaving = makeEngine(I);
    Leaving.Phase = Membership::ServerPhase::Leaving;
    Leaving.Sequence = 2;
    Test.Servers.apply(Leaving, Test.Now);
  }
  for (int I = 0; I < 50; ++I)
    BOOST_TEST(Test.startRequest(makePrompt("d", 100, 100, I)).Id.str() ==
               "e3");
}

BOOST_AUTO_TEST_CASE(ExcludedServersAreNotChosen) {
  Fixture Test(2);
  const auto Prompt = makePrompt("doc", 100, 100, 1);
  PlacementRequest Request{
      Models, &Prompt, {Common::BackendServerId("e0")}, {}};
  BOOST_TEST(Test.Servers.choose(Request, Test.Now)->Id.str() == "e1");
  Request.Excluded.insert(Common::BackendServerId("e1"));
  BOOST_TEST(!Test.Servers.choose(Request, Test.Now).has_value());
}

BOOST_AUTO_TEST_CASE(StaleServerIsUsedOnlyWhenNoneIsFresh) {
  Fixture Test(2);
  Test.Now += std::chrono::seconds(5);
  Test.Servers.refresh(Common::BackendServerId("e1"), 1, 2,
                       Membership::ServerPhase::Serving, Test.Now);
  for (int I = 0; I < 20; ++I)
    BOOST_TEST(Test.startRequest(makePrompt("d", 10, 10, I)).Id.str() == "e1");
}

// Servers at 0.6, 1.0 and 1.6 times the speed. Guards against the slowest ones
// getting as many requests as the fastest.
BOOST_AUTO_TEST_CASE(RequestsAreInProportionToTheSpeed) {
  constexpr double Spread[] = {0.6F, 1, 1.6F};
  Fixture Test(60);
  std::vector<ServerSpeed> Speeds;
  for (int I = 0; I < 60; ++I) {
    const auto Speed = static_cast<float>(Spread[I % 3]);
    Speeds.push_back(
        {Common::BackendServerId("e" + std::to_string(I)), 1, Speed, Speed});
  }
  Test.Servers.setSpeeds({{Models, 50, 4, 0.1}}, Speeds);
  std::map<int, double> Requests;
  std::vector<std::pair<Common::TimePoint, PlacementChoice>> Open;
  for (int I = 0; I < 6000; ++I) {
    const auto Prompt =
        makePrompt("doc-" + std::to_string(I % 500), 5000, 6000, I);
    const PlacementChoice At = Test.startRequest(Prompt);
    const int Number = std::stoi(At.Id.str().substr(1));
    Requests[Number % 3] += 1;
    Open.emplace_back(Test.Now + At.ExpectedWait, At);
    Test.Now += std::chrono::milliseconds(4);
    std::erase_if(Open, [&](const auto &Each) {
      if (Each.first > Test.Now)
        return false;
      Test.Servers.recordFirstOutput(Each.second);
      Test.Servers.recordEnd(Each.second, ServerOutcome::Answered, Test.Now);
      return true;
    });
  }
  const double Total = Requests[0] + Requests[1] + Requests[2];
  for (int I = 0; I < 3; ++I) {
    const double Fair = Spread[I] / (0.6 + 1 + 1.6);
    BOOST_TEST(Requests[I] / Total > 0.75 * Fair);
    BOOST_TEST(Requests[I] / Total < 1.25 * Fair);
  }
}

// A speed belongs to one incarnation.
BOOST_AUTO_TEST_CASE(SpeedOfAnEarlierIncarnationIsNotApplied) {
  Fixture Test(2);
  const Common::BackendServerId Id("e0");
  Test.Servers.setSpeeds({{Models, 50, 4, 0.1}}, {{Id, 1, 0.5, 0.5}});
  BOOST_TEST(Test.Servers.speed(Id).Prefill == 0.5);
  Membership::ServerRecord Restarted = makeEngine(0);
  Restarted.StartedAt = 2;
  Test.Servers.apply(Restarted, Test.Now);
  BOOST_TEST(Test.Servers.speed(Id).Prefill == 1);
  Test.Servers.setSpeeds({}, {{Id, 1, 0.5, 0.5}});
  BOOST_TEST(Test.Servers.speed(Id).Prefill == 1);
}

// Guards against requests that reach a version without being allowed to.
BOOST_AUTO_TEST_CASE(GroupsSeparateTheServersOfAService) {
  Fixture Test(4);
  const Common::BackendServerId Canary("e0");
  const Common::BackendServerId Excluded("e1");
  Test.Servers.setGroup(Canary, ServerGroup::Canary);
  Test.Servers.setGroup(Excluded, ServerGroup::Excluded);
  for (int I = 0; I < 100; ++I) {
    const auto Prompt = makePrompt("doc-" + std::to_string(I), 500, 100, I);
    PlacementRequest Request{Models, &Prompt, {}, {}};
    const auto Default = Test.Servers.choose(Request, Test.Now);
    BOOST_REQUIRE(Default.has_value());
    BOOST_TEST((Default->Id != Canary && Default->Id != Excluded));
    Request.Group = ServerGroup::Canary;
    BOOST_REQUIRE(Test.Servers.choose(Request, Test.Now)->Id == Canary);
    // Already tried there.
    Request.Excluded.insert(Canary);
    const auto Other = Test.Servers.choose(Request, Test.Now);
    BOOST_REQUIRE(Other.has_value());
    BOOST_TEST((Other->Id != Canary && Other->Id != Excluded));
  }
}

// Guards against a request that was placed before its server's version was
// restricted, and is written afterwards.
BOOST_AUTO_TEST_CASE(ARequestIsNotWrittenIfItsServersGroupWasRestricted) {
  Fixture Test(1);
  const auto At = Test.Servers.choose({Models, nullptr, {}, {}}, Test.Now);
  BOOST_REQUIRE(At.has_value());
  BOOST_TEST(Test.Servers.mayWrite(*At, Test.Now));
  Test.Servers.setGroup(At->Id, ServerGroup::Canary);
  BOOST_TEST(!Test.Servers.mayWrite(*At, Test.Now));
  Test.Servers.setGroup(At->Id, ServerGroup::Excluded);
  BOOST_TEST(!Test.Servers.mayWrite(*At, Test.Now));
  BOOST_TEST(!Test.Servers.hasServing(Models));
  Test.Servers.setGroup(At->Id, ServerGroup::Default);
  BOOST_TEST(Test.Servers.mayWrite(*At, Test.Now));
}

// Guards against requests to a server whose answers say that it leaves, while
// its announcements are lost or late. Random series of answers, announcements,
// reports of other daemons, restarts and removals.
BOOST_AUTO_TEST_CASE(AProcessThatSaysItLeavesGetsNothingMore) {
  constexpr int Engines = 4;
  for (std::uint64_t Seed = 1; Seed <= 2000; ++Seed) {
    Fixture Test(Engines, Seed);
    Common::Random Randomness(Seed);
    std::vector<Membership::ServerRecord> Records;
    std::vector<PlacementChoice> EarlierChoices;
    std::set<std::pair<std::string, std::uint64_t>> Left;
    for (int I = 0; I < Engines; ++I)
      Records.push_back(makeEngine(I));
    for (int Step = 0; Step < 60; ++Step) {
      Test.Now += std::chrono::milliseconds(Randomness.below(2000));
      Membership::ServerRecord &Record = Records[Randomness.below(Engines)];
      switch (Randomness.below(6)) {
      case 0:
        ++Record.Sequence;
        Test.Servers.apply(Record, Test.Now);
        break;
      case 1:
        ++Record.Sequence;
        Test.Servers.refresh(Record.Id, Record.StartedAt, Record.Sequence,
                             Membership::ServerPhase::Serving, Test.Now);
        break;
      case 2:
        if (Randomness.below(4) != 0)
          break;
        ++Record.StartedAt;
        Record.Sequence = 1;
        Test.Servers.apply(Record, Test.Now);
        break;
      case 3:
        Test.Servers.removeExpired(Test.Now);
        break;
      default:
        const auto Chosen =
            Test.Servers.choose({Models, nullptr, {}, {}}, Test.Now);
        if (!Chosen)
          break;
        BOOST_REQUIRE_MESSAGE(
            Left.count({Chosen->Id.str(), Chosen->ServerStartedAt}) == 0,
            "seed " << Seed << ", step " << Step);
        EarlierChoices.push_back(*Chosen);
        // An answer may arrive late, from an earlier process.
        const PlacementChoice &Answered =
            EarlierChoices[Randomness.below(EarlierChoices.size())];
        if (Randomness.below(3) == 0) {
          Test.Servers.recordLeaving(Answered, Test.Now);
          Left.insert({Answered.Id.str(), Answered.ServerStartedAt});
        }
      }
    }
    // Each server whose latest process did not say so is used.
    std::set<std::string> Expected;
    std::set<std::string> Used;
    for (Membership::ServerRecord &Each : Records) {
      ++Each.Sequence;
      Test.Servers.apply(Each, Test.Now);
      if (Left.count({Each.Id.str(), Each.StartedAt}) == 0)
        Expected.insert(Each.Id.str());
    }
    PlacementRequest Request{Models, nullptr, {}, {}};
    while (const auto Chosen = Test.Servers.choose(Request, Test.Now)) {
      Used.insert(Chosen->Id.str());
      Request.Excluded.insert(Chosen->Id);
    }
    BOOST_REQUIRE_MESSAGE(Used == Expected, "seed " << Seed);
  }
}

// Guards against STARVED: a record of an undeclared service at the address of a
// sound server took that one off its ring, or came before it.
BOOST_AUTO_TEST_CASE(ServersAreListedByTheDeclaredServices) {
  const Common::ServiceName Shop("shop");
  const Common::ServiceName Monitor("host-monitor");
  for (const bool IsBeforeDeclaration : {true, false}) {
    ServerTable Servers({});
    Servers.awaitServices();
    if (!IsBeforeDeclaration)
      Servers.setServices({Shop}, {});
    Membership::ServerRecord Sound;
    Sound.Id = Common::BackendServerId("a");
    Sound.Service = Shop;
    Sound.Address = {"10.0.0.1", 80};
    Sound.Slots = 4;
    Sound.StartedAt = 1;
    Sound.Sequence = 1;
    Membership::ServerRecord Foreign = Sound;
    Foreign.Id = Common::BackendServerId("monitor");
    Foreign.Service = Monitor;
    Foreign.StartedAt = 2;
    Servers.apply(Foreign, {});
    Servers.apply(Sound, {});
    Servers.apply(Foreign, {});
    Servers.setServices({Shop}, {});
    BOOST_TEST(Servers.hasServing(Shop));
    BOOST_TEST(!Servers.hasServing(Monitor));
    // Declared, the later one has the address.
    Servers.setServices({Shop, Monitor}, {});
    BOOST_TEST(!Servers.hasServing(Shop));
    BOOST_TEST(Servers.hasServing(Monitor));
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
