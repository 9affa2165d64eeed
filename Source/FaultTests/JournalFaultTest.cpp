#include "Common/Random.h"
#include "FaultTests/Cluster.h"
#include "FaultTests/HistoryChecker.h"

#include <boost/test/unit_test.hpp>
#include <csignal>

namespace FaultTests {

namespace {

using namespace std::chrono_literals;

std::string say(const std::vector<std::string> &Lines) {
  std::string Text;
  for (const std::string &Each : Lines)
    Text += Each + "\n";
  return Text;
}

CallerEvent eventOf(const std::string &Key, const Reply &Answer) {
  CallerEvent Event;
  Event.Key = "yard/" + Key;
  Event.Body = Answer.Body;
  if (Answer.Status == 200)
    Event.What = CallerEvent::Told::Answered;
  else if (Answer.outcome() == "not_run")
    Event.What = CallerEvent::Told::NotRun;
  return Event;
}

/// Has a request with the key "wait" accepted while no backend server can
/// run it.
std::shared_ptr<std::optional<Reply>> acceptWithoutServer(Cluster &Test) {
  auto Waiting = Test.begin(
      Test.entryHttp(1), Network::HttpMethod::Post,
      "/services/orders/reservations", "{}",
      {{"Authorization", "Bearer yard-key"}, {"Idempotency-Key", "wait"}});
  BOOST_REQUIRE(Test.await([&] {
    return Test.metric(Test.stateHttp(Test.stateLeader()),
                       "journal_unfinished") == 1;
  }));
  return Waiting;
}

void restart(Cluster &Test, const std::string &Name) {
  const int Number = Name[1] - '0';
  Test.kill(Name);
  if (Name[0] == 's')
    Test.startState(Number);
  else
    Test.startEntry(Number);
}

} // namespace

BOOST_AUTO_TEST_SUITE(JournalFaultTest)

BOOST_AUTO_TEST_CASE(sameKeyThroughBothEntryHostsRunsOnce) {
  Cluster Test;
  Test.startAll();
  Test.startService("orders1", 1, 100);
  BOOST_REQUIRE(Test.await([&] { return Test.servingBackends(2) == 1; }));
  const Network::HttpHeaders Headers = {{"Authorization", "Bearer yard-key"},
                                        {"Idempotency-Key", "both"}};
  std::vector<std::shared_ptr<std::optional<Reply>>> Calls;
  for (int I = 0; I < 8; ++I)
    Calls.push_back(Test.begin(Test.entryHttp(1 + I % 2),
                               Network::HttpMethod::Post,
                               "/services/orders/reservations", "{}", Headers));
  BOOST_REQUIRE(Test.await([&] {
    return std::all_of(Calls.begin(), Calls.end(),
                       [](const auto &Each) { return Each->has_value(); });
  }));
  History Seen;
  for (const auto &Each : Calls) {
    BOOST_TEST((*Each)->Status == 200);
    Seen.Events.push_back(eventOf("both", **Each));
  }
  Seen.Runs = Test.runCounts();
  BOOST_TEST(Seen.Runs["yard/both"] == 1);
  BOOST_TEST(say(violations(Seen)) == "");
  // Other content under the same key; another caller's same key.
  BOOST_TEST(Test.reserve(2, "both", "{\"other\":1}").Status == 422);
  BOOST_TEST(Test.reserve(2, "both", "{\"x\":1}", Cluster::OtherKey).Status ==
             200);
}

BOOST_AUTO_TEST_CASE(lostAnswerIsUnknownAndNeverRunAgain) {
  Cluster Test;
  Test.startAll();
  Test.startService("orders1", 1);
  BOOST_REQUIRE(Test.await([&] { return Test.servingBackends(1) == 1; }));
  const Reply Lost = Test.reserve(1, "lost", "CLOSE-AFTER-RUN");
  BOOST_TEST(Lost.title() == "answer_lost");
  BOOST_TEST(Lost.outcome() == "unknown");
  Test.startService("orders2", 2);
  BOOST_REQUIRE(Test.await([&] { return Test.servingBackends(2) >= 1; }));
  const Reply Again = Test.reserve(2, "lost", "CLOSE-AFTER-RUN");
  BOOST_TEST(Again.outcome() == "unknown");
  BOOST_TEST(Test.runCounts()["yard/lost"] == 1);
  const Reply State = Test.call(Test.entryHttp(1), Network::HttpMethod::Get,
                                "/v1/requests/lost", "",
                                {{"Authorization", "Bearer yard-key"}});
  BOOST_TEST(State.json().value("state", "") == "unknown");
}

BOOST_AUTO_TEST_CASE(acceptedRequestSurvivesItsEntryHost) {
  Cluster Test;
  Test.startAll();
  // No backend server yet: the request is accepted and waits.
  const auto Waiting = acceptWithoutServer(Test);
  Test.kill("e1");
  Test.startService("orders2", 2);
  // Nobody asks again: the other entry daemon runs it by itself.
  BOOST_REQUIRE(Test.await([&] { return Test.runCounts()["yard/wait"] == 1; }));
  const Reply Answer = Test.reserve(2, "wait", "{}");
  BOOST_TEST(Answer.Status == 200);
  BOOST_TEST(Answer.Body.find("wait") != std::string::npos);
  const Reply State = Test.call(Test.entryHttp(2), Network::HttpMethod::Get,
                                "/v1/requests/wait", "",
                                {{"Authorization", "Bearer yard-key"}});
  BOOST_TEST(State.json().value("state", "") == "completed");
  BOOST_TEST(Test.runCounts()["yard/wait"] == 1);
}

BOOST_AUTO_TEST_CASE(acceptedRequestSurvivesARestartOfEverything) {
  Cluster Test;
  Test.startAll();
  const auto Waiting = acceptWithoutServer(Test);
  for (const char *Name : {"e1", "e2", "s1", "s2", "s3"})
    Test.kill(Name);
  for (int I = 1; I <= 3; ++I)
    Test.startState(I);
  Test.startEntry(1);
  Test.startService("orders1", 1);
  BOOST_REQUIRE(Test.await([&] { return Test.runCounts()["yard/wait"] == 1; }));
}

BOOST_AUTO_TEST_CASE(faultsNeverDoubleOrLoseReservations) {
  Cluster Test;
  Test.startAll();
  Test.startService("orders1", 1, 3);
  Test.startService("orders2", 2, 3);
  BOOST_REQUIRE(Test.await([&] { return Test.servingBackends(1) == 2; }));
  Common::Random Randomness(2026);
  History Seen;
  std::vector<std::string> Keys;
  const std::vector<std::string> Victims = {"s1", "s2", "s3", "e1", "e2"};
  for (int Round = 0; Round < 25; ++Round) {
    const std::string &Victim = Victims[Randomness.below(Victims.size())];
    std::vector<std::pair<std::string, std::shared_ptr<std::optional<Reply>>>>
        Calls;
    for (int I = 0; I < 6; ++I) {
      const std::string Key =
          "r" + std::to_string(Round) + "-" + std::to_string(I);
      Keys.push_back(Key);
      Calls.emplace_back(Key, Test.begin(Test.entryHttp(1 + I % 2),
                                         Network::HttpMethod::Post,
                                         "/services/orders/reservations", "{}",
                                         {{"Authorization", "Bearer yard-key"},
                                          {"Idempotency-Key", Key}}));
      Test.pause(Randomness.between(0ms, 3ms));
    }
    const bool Freeze = Randomness.chance(0.3);
    if (Freeze) {
      Test.process(Victim).signal(SIGSTOP);
      Test.pause(Randomness.between(300ms, 1500ms));
      Test.process(Victim).signal(SIGCONT);
    } else {
      restart(Test, Victim);
    }
    Test.await([&] {
      return std::all_of(Calls.begin(), Calls.end(), [](const auto &Each) {
        return Each.second->has_value();
      });
    });
    for (const auto &[Key, Answer] : Calls)
      if (*Answer)
        Seen.Events.push_back(eventOf(Key, **Answer));
    for (int Entry = 1; Entry <= 2; ++Entry)
      Seen.Versions.push_back({"e" + std::to_string(Entry),
                               unsigned(Test.metric(Test.entryHttp(Entry),
                                                    "configuration_version"))});
    // A daemon that was started anew holds no version for a moment.
    std::erase_if(Seen.Versions,
                  [](const VersionRead &Read) { return Read.Version == 0; });
  }
  BOOST_REQUIRE(Test.await([&] {
    return Test.stateLeader() != 0 &&
           Test.metric(Test.entryHttp(1), "configuration_version") > 0 &&
           Test.metric(Test.entryHttp(2), "configuration_version") > 0;
  }));
  // Everybody asks again until it is told something final.
  std::size_t Answered = 0;
  for (const std::string &Key : Keys) {
    Reply Last;
    BOOST_REQUIRE(Test.await([&] {
      Last = Test.reserve(1, Key, "{}");
      return Last.Status == 200 || Last.title() == "answer_lost" ||
             Last.Status == 422;
    }));
    Seen.Events.push_back(eventOf(Key, Last));
    Answered += Last.Status == 200;
  }
  Seen.Runs = Test.runCounts();
  for (const int Entry : {1, 2})
    Seen.FinalVersions["e" + std::to_string(Entry)] =
        unsigned(Test.metric(Test.entryHttp(Entry), "configuration_version"));
  Seen.AcceptedVersions = {6};
  BOOST_TEST(say(violations(Seen)) == "");
  BOOST_TEST(Answered > Keys.size() / 2);
  BOOST_TEST_MESSAGE(Answered << " of " << Keys.size() << " answered");
}

BOOST_AUTO_TEST_CASE(wipedDiskIsRepairedBeforeASecondLoss) {
  Cluster Test;
  Test.startAll();
  Test.startService("orders1", 1);
  BOOST_REQUIRE(Test.await([&] { return Test.servingBackends(1) == 1; }));
  const Reply First = Test.reserve(1, "before");
  BOOST_REQUIRE(First.Status == 200);
  const int Lost = Test.stateLeader() == 3 ? 2 : 3;
  const std::string Old = Test.identity(Lost);
  Test.kill("s" + std::to_string(Lost));
  Test.wipeDisk(Lost);
  BOOST_TEST(Test.identity(Lost) != Old);
  Test.startState(Lost);
  const char *Centre = Lost == 2 ? "west" : "north";
  const auto Operate = [&](const std::string &Statement) {
    Reply Answer;
    const bool Done = Test.await([&] {
      Answer = Test.operate(Test.entryHttp(1), Statement);
      return Answer.Status == 200;
    });
    BOOST_TEST(Done, Statement << ": " << Answer.Body);
  };
  Operate("add replica " + Test.identity(Lost) +
          "@127.0.0.1:" + std::to_string(Test.statePort(Lost)) + "@" + Centre);
  Operate("promote replica " + Test.identity(Lost));
  Operate("remove replica " + Old);
  // The second loss comes right after.
  const int Second = 5 - Lost == Test.stateLeader() ? 1 : 5 - Lost;
  Test.kill("s" + std::to_string(Second));
  Reply Again;
  BOOST_REQUIRE(Test.await([&] {
    Again = Test.reserve(1, "before");
    return Again.Status == 200;
  }));
  BOOST_TEST(Again.Body == First.Body);
  BOOST_REQUIRE(
      Test.await([&] { return Test.reserve(1, "after").Status == 200; }));
  BOOST_TEST(Test.runCounts()["yard/before"] == 1);
}

BOOST_AUTO_TEST_CASE(cutOffDataCentreGoesOnWithWhatItMay) {
  Cluster Test;
  Test.startAll();
  Test.startEngine("engine1", 1);
  Test.startService("orders1", 1);
  Test.startService("orders2", 2);
  BOOST_REQUIRE(Test.await([&] {
    return Test.servingBackends(1) == 3 && Test.servingBackends(2) >= 1;
  }));
  Test.cutEast();
  // Models and repeatable calls go on in east.
  BOOST_TEST(Test.chat(1, "inside", 3).Status == 200);
  BOOST_TEST(Test.call(Test.entryHttp(1), Network::HttpMethod::Get,
                       "/services/orders/stock", "",
                       {{"Authorization", "Bearer yard-key"}})
                 .Status == 200);
  // Reservations are refused there as not run, and taken elsewhere.
  Reply Refused;
  int Tries = 0;
  BOOST_REQUIRE(Test.await([&] {
    Refused = Test.reserve(1, "east-" + std::to_string(Tries++));
    return Refused.title() == "not_accepted";
  }));
  BOOST_TEST(Refused.outcome() == "not_run");
  const std::string LastKey = "yard/east-" + std::to_string(Tries - 1);
  BOOST_REQUIRE(
      Test.await([&] { return Test.reserve(2, "west").Status == 200; }));
  // A change that is accepted meanwhile is in force in east after the heal.
  Reply Changed;
  BOOST_REQUIRE(Test.await([&] {
    Changed = Test.operate(Test.entryHttp(2), "set budget per-hour 9");
    return Changed.Status == 200;
  }));
  const double Version =
      Test.metric(Test.entryHttp(2), "configuration_version");
  Test.healEast();
  BOOST_TEST(Test.await([&] {
    return Test.metric(Test.entryHttp(1), "configuration_version") >= Version;
  }));
  BOOST_REQUIRE(
      Test.await([&] { return Test.reserve(1, "healed").Status == 200; }));
  auto Runs = Test.runCounts();
  BOOST_TEST(Runs[LastKey] == 0);
  BOOST_TEST(Runs["yard/west"] == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace FaultTests
