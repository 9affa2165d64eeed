#include "Common/Random.h"
#include "FaultTests/Cluster.h"
#include "FaultTests/HistoryChecker.h"

#include <boost/test/unit_test.hpp>
#include <csignal>

namespace FaultTests {

namespace {

using namespace std::chrono_literals;

std::string joinLines(const std::vector<std::string> &Lines) {
  std::string Text;
  for (const std::string &Line : Lines)
    Text += Line + "\n";
  return Text;
}

CallerEvent toCallerEvent(const std::string &Key,
                          const CallResponse &Response) {
  CallerEvent Event;
  Event.Key = "yard/" + Key;
  Event.Body = Response.Body;
  if (Response.Status == 200)
    Event.Result = CallerEvent::Outcome::Answered;
  else if (Response.outcome() == "not_run")
    Event.Result = CallerEvent::Outcome::NotExecuted;
  return Event;
}

/// Starts a request with the key "wait" and waits until the journal has
/// accepted it. No backend server is there to execute it.
std::shared_ptr<std::optional<CallResponse>>
acceptRequestWithoutServer(Cluster &Fixture) {
  auto Waiting = Fixture.startCall(
      Fixture.entryHttp(1), Network::HttpMethod::Post,
      "/services/orders/reservations", "{}",
      {{"Authorization", "Bearer yard-key"}, {"Idempotency-Key", "wait"}});
  BOOST_REQUIRE(Fixture.waitUntil([&] {
    return Fixture.metric(Fixture.stateHttp(Fixture.stateLeader()),
                          "journal_unfinished") == 1;
  }));
  return Waiting;
}

void restartDaemon(Cluster &Fixture, const std::string &Name) {
  const int Number = Name[1] - '0';
  Fixture.crash(Name);
  if (Name[0] == 's')
    Fixture.startStateDaemon(Number);
  else
    Fixture.startEntryDaemon(Number);
}

} // namespace

BOOST_AUTO_TEST_SUITE(JournalFaultTest)

BOOST_AUTO_TEST_CASE(sameKeyThroughBothEntryHostsRunsOnce) {
  Cluster Fixture;
  Fixture.startAll();
  Fixture.startService("orders1", 1, 100);
  BOOST_REQUIRE(
      Fixture.waitUntil([&] { return Fixture.servingBackendCount(2) == 1; }));
  const Network::HttpHeaders Headers = {{"Authorization", "Bearer yard-key"},
                                        {"Idempotency-Key", "both"}};
  std::vector<std::shared_ptr<std::optional<CallResponse>>> Calls;
  for (int I = 0; I < 8; ++I)
    Calls.push_back(Fixture.startCall(
        Fixture.entryHttp(1 + I % 2), Network::HttpMethod::Post,
        "/services/orders/reservations", "{}", Headers));
  BOOST_REQUIRE(Fixture.waitUntil([&] {
    return std::all_of(Calls.begin(), Calls.end(),
                       [](const auto &Call) { return Call->has_value(); });
  }));
  History Observed;
  for (const auto &Call : Calls) {
    BOOST_TEST((*Call)->Status == 200);
    Observed.Events.push_back(toCallerEvent("both", **Call));
  }
  Observed.Runs = Fixture.runCounts();
  BOOST_TEST(Observed.Runs["yard/both"] == 1);
  BOOST_TEST(joinLines(findViolations(Observed)) == "");
  // Different content with the same key is refused; the same key of another
  // caller is independent.
  BOOST_TEST(Fixture.reserve(2, "both", "{\"other\":1}").Status == 422);
  BOOST_TEST(Fixture.reserve(2, "both", "{\"x\":1}", Cluster::SecondCallerKey)
                 .Status == 200);
}

BOOST_AUTO_TEST_CASE(lostAnswerIsUnknownAndNeverRunAgain) {
  Cluster Fixture;
  Fixture.startAll();
  Fixture.startService("orders1", 1);
  BOOST_REQUIRE(
      Fixture.waitUntil([&] { return Fixture.servingBackendCount(1) == 1; }));
  const CallResponse Lost = Fixture.reserve(1, "lost", "CLOSE-AFTER-RUN");
  BOOST_TEST(Lost.title() == "answer_lost");
  BOOST_TEST(Lost.outcome() == "unknown");
  Fixture.startService("orders2", 2);
  BOOST_REQUIRE(
      Fixture.waitUntil([&] { return Fixture.servingBackendCount(2) >= 1; }));
  const CallResponse Again = Fixture.reserve(2, "lost", "CLOSE-AFTER-RUN");
  BOOST_TEST(Again.outcome() == "unknown");
  BOOST_TEST(Fixture.runCounts()["yard/lost"] == 1);
  const CallResponse State = Fixture.call(
      Fixture.entryHttp(1), Network::HttpMethod::Get, "/v1/requests/lost", "",
      {{"Authorization", "Bearer yard-key"}});
  BOOST_TEST(State.json().value("state", "") == "unknown");
}

BOOST_AUTO_TEST_CASE(acceptedRequestSurvivesItsEntryHost) {
  Cluster Fixture;
  Fixture.startAll();
  // Without a backend server the request is accepted and waits.
  const auto Waiting = acceptRequestWithoutServer(Fixture);
  Fixture.crash("e1");
  Fixture.startService("orders2", 2);
  // Without a retry by the caller, the other entry daemon takes it over.
  BOOST_REQUIRE(
      Fixture.waitUntil([&] { return Fixture.runCounts()["yard/wait"] == 1; }));
  const CallResponse Response = Fixture.reserve(2, "wait", "{}");
  BOOST_TEST(Response.Status == 200);
  BOOST_TEST(Response.Body.find("wait") != std::string::npos);
  const CallResponse State = Fixture.call(
      Fixture.entryHttp(2), Network::HttpMethod::Get, "/v1/requests/wait", "",
      {{"Authorization", "Bearer yard-key"}});
  BOOST_TEST(State.json().value("state", "") == "completed");
  BOOST_TEST(Fixture.runCounts()["yard/wait"] == 1);
}

BOOST_AUTO_TEST_CASE(acceptedRequestSurvivesARestartOfEverything) {
  Cluster Fixture;
  Fixture.startAll();
  const auto Waiting = acceptRequestWithoutServer(Fixture);
  for (const char *Name : {"e1", "e2", "s1", "s2", "s3"})
    Fixture.crash(Name);
  for (int I = 1; I <= 3; ++I)
    Fixture.startStateDaemon(I);
  Fixture.startEntryDaemon(1);
  Fixture.startService("orders1", 1);
  BOOST_REQUIRE(
      Fixture.waitUntil([&] { return Fixture.runCounts()["yard/wait"] == 1; }));
}

BOOST_AUTO_TEST_CASE(faultsNeverDoubleOrLoseReservations) {
  Cluster Fixture;
  Fixture.startAll();
  Fixture.startService("orders1", 1, 3);
  Fixture.startService("orders2", 2, 3);
  BOOST_REQUIRE(
      Fixture.waitUntil([&] { return Fixture.servingBackendCount(1) == 2; }));
  Common::Random Faults(2026);
  History Observed;
  std::vector<std::string> Keys;
  const std::vector<std::string> Victims = {"s1", "s2", "s3", "e1", "e2"};
  for (int Round = 0; Round < 25; ++Round) {
    const std::string &Victim = Victims[Faults.below(Victims.size())];
    std::vector<
        std::pair<std::string, std::shared_ptr<std::optional<CallResponse>>>>
        Calls;
    for (int I = 0; I < 6; ++I) {
      const std::string Key =
          "r" + std::to_string(Round) + "-" + std::to_string(I);
      Keys.push_back(Key);
      Calls.emplace_back(
          Key, Fixture.startCall(Fixture.entryHttp(1 + I % 2),
                                 Network::HttpMethod::Post,
                                 "/services/orders/reservations", "{}",
                                 {{"Authorization", "Bearer yard-key"},
                                  {"Idempotency-Key", Key}}));
      Fixture.runLoopFor(Faults.between(0ms, 3ms));
    }
    const bool Suspend = Faults.chance(0.3);
    if (Suspend) {
      Fixture.process(Victim).signal(SIGSTOP);
      Fixture.runLoopFor(Faults.between(300ms, 1500ms));
      Fixture.process(Victim).signal(SIGCONT);
    } else {
      restartDaemon(Fixture, Victim);
    }
    Fixture.waitUntil([&] {
      return std::all_of(Calls.begin(), Calls.end(), [](const auto &Call) {
        return Call.second->has_value();
      });
    });
    for (const auto &[Key, Response] : Calls)
      if (*Response)
        Observed.Events.push_back(toCallerEvent(Key, **Response));
    for (int Entry = 1; Entry <= 2; ++Entry)
      Observed.Versions.push_back(
          {"e" + std::to_string(Entry),
           unsigned(Fixture.metric(Fixture.entryHttp(Entry),
                                   "configuration_version"))});
    // A daemon that has just been restarted holds no version yet.
    std::erase_if(Observed.Versions,
                  [](const VersionRead &Read) { return Read.Version == 0; });
  }
  BOOST_REQUIRE(Fixture.waitUntil([&] {
    return Fixture.stateLeader() != 0 &&
           Fixture.metric(Fixture.entryHttp(1), "configuration_version") > 0 &&
           Fixture.metric(Fixture.entryHttp(2), "configuration_version") > 0;
  }));
  // Each caller retries until its outcome is final.
  std::size_t Answered = 0;
  for (const std::string &Key : Keys) {
    CallResponse Last;
    BOOST_REQUIRE(Fixture.waitUntil([&] {
      Last = Fixture.reserve(1, Key, "{}");
      return Last.Status == 200 || Last.title() == "answer_lost" ||
             Last.Status == 422;
    }));
    Observed.Events.push_back(toCallerEvent(Key, Last));
    Answered += Last.Status == 200;
  }
  Observed.Runs = Fixture.runCounts();
  for (const int Entry : {1, 2})
    Observed.FinalVersions["e" + std::to_string(Entry)] = unsigned(
        Fixture.metric(Fixture.entryHttp(Entry), "configuration_version"));
  Observed.AcceptedVersions = {6};
  BOOST_TEST(joinLines(findViolations(Observed)) == "");
  BOOST_TEST(Answered > Keys.size() / 2);
  BOOST_TEST_MESSAGE(Answered << " of " << Keys.size() << " answered");
}

BOOST_AUTO_TEST_CASE(wipedDiskIsRepairedBeforeASecondLoss) {
  Cluster Fixture;
  Fixture.startAll();
  Fixture.startService("orders1", 1);
  BOOST_REQUIRE(
      Fixture.waitUntil([&] { return Fixture.servingBackendCount(1) == 1; }));
  const CallResponse First = Fixture.reserve(1, "before");
  BOOST_REQUIRE(First.Status == 200);
  const int Lost = Fixture.stateLeader() == 3 ? 2 : 3;
  const std::string Old = Fixture.identity(Lost);
  Fixture.crash("s" + std::to_string(Lost));
  Fixture.wipeDisk(Lost);
  BOOST_TEST(Fixture.identity(Lost) != Old);
  Fixture.startStateDaemon(Lost);
  const char *DataCentre = Lost == 2 ? "west" : "north";
  const auto Execute = [&](const std::string &Statement) {
    CallResponse Response;
    const bool Done = Fixture.waitUntil([&] {
      Response = Fixture.executeStatement(Fixture.entryHttp(1), Statement);
      return Response.Status == 200;
    });
    BOOST_TEST(Done, Statement << ": " << Response.Body);
  };
  Execute("add replica " + Fixture.identity(Lost) + "@127.0.0.1:" +
          std::to_string(Fixture.statePort(Lost)) + "@" + DataCentre);
  Execute("promote replica " + Fixture.identity(Lost));
  Execute("remove replica " + Old);
  // A second state daemon is lost right after the repair.
  const int Second = 5 - Lost == Fixture.stateLeader() ? 1 : 5 - Lost;
  Fixture.crash("s" + std::to_string(Second));
  CallResponse Again;
  BOOST_REQUIRE(Fixture.waitUntil([&] {
    Again = Fixture.reserve(1, "before");
    return Again.Status == 200;
  }));
  BOOST_TEST(Again.Body == First.Body);
  BOOST_REQUIRE(Fixture.waitUntil(
      [&] { return Fixture.reserve(1, "after").Status == 200; }));
  BOOST_TEST(Fixture.runCounts()["yard/before"] == 1);
}

BOOST_AUTO_TEST_CASE(cutOffDataCentreGoesOnWithWhatItMay) {
  Cluster Fixture;
  Fixture.startAll();
  Fixture.startEngine("engine1", 1);
  Fixture.startService("orders1", 1);
  Fixture.startService("orders2", 2);
  BOOST_REQUIRE(Fixture.waitUntil([&] {
    return Fixture.servingBackendCount(1) == 3 &&
           Fixture.servingBackendCount(2) >= 1;
  }));
  Fixture.blockEastLinks();
  // East still serves models and idempotent calls.
  BOOST_TEST(Fixture.chat(1, "inside", 3).Status == 200);
  BOOST_TEST(Fixture
                 .call(Fixture.entryHttp(1), Network::HttpMethod::Get,
                       "/services/orders/stock", "",
                       {{"Authorization", "Bearer yard-key"}})
                 .Status == 200);
  // Reservations need a quorum: east refuses them as not run, and the other
  // data centres accept them.
  CallResponse Refused;
  int Tries = 0;
  BOOST_REQUIRE(Fixture.waitUntil([&] {
    Refused = Fixture.reserve(1, "east-" + std::to_string(Tries++));
    return Refused.title() == "not_accepted";
  }));
  BOOST_TEST(Refused.outcome() == "not_run");
  const std::string LastKey = "yard/east-" + std::to_string(Tries - 1);
  BOOST_REQUIRE(Fixture.waitUntil(
      [&] { return Fixture.reserve(2, "west").Status == 200; }));
  // A change accepted during the partition takes effect in east afterwards.
  CallResponse Changed;
  BOOST_REQUIRE(Fixture.waitUntil([&] {
    Changed =
        Fixture.executeStatement(Fixture.entryHttp(2), "set budget per-hour 9");
    return Changed.Status == 200;
  }));
  const double Version =
      Fixture.metric(Fixture.entryHttp(2), "configuration_version");
  Fixture.unblockEastLinks();
  BOOST_TEST(Fixture.waitUntil([&] {
    return Fixture.metric(Fixture.entryHttp(1), "configuration_version") >=
           Version;
  }));
  BOOST_REQUIRE(Fixture.waitUntil(
      [&] { return Fixture.reserve(1, "healed").Status == 200; }));
  auto Runs = Fixture.runCounts();
  BOOST_TEST(Runs[LastKey] == 0);
  BOOST_TEST(Runs["yard/west"] == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace FaultTests
