#include "FaultTests/RoutedCluster.h"

#include "Common/Random.h"
#include "Network/FrameSocket.h"
#include "UnitTests/TestSeeds.h"

#include <boost/test/unit_test.hpp>
#include <csignal>

namespace FaultTests {

namespace {

using namespace std::chrono_literals;

constexpr const char *ReplacePath = "/sycamorereach/config/replace";
constexpr const char *DeregisterPath =
    "/sycamorereach/replicas/shop-1/deregister";
constexpr const char *HeartbeatPath =
    "/sycamorereach/replicas/shop-1/heartbeat";
/// Time after the acknowledgement within which requests may still arrive.
constexpr Common::Duration DrainTime = 2s;
/// Servers call the next state daemon after this time without an answer.
constexpr Common::Duration AnswerTime = 1s;
constexpr int Requests = 20;

std::string deregistration(std::uint64_t Born) {
  return "{\"born\":" + std::to_string(Born) + "}";
}

/// A call by which the server shop-1 says that it leaves.
struct EndCall {
  std::string Path;
  std::string Body;
};

EndCall deregisterCall(std::uint64_t Born = 1000) {
  return {DeregisterPath, deregistration(Born)};
}

EndCall drainingHeartbeat() {
  const nlohmann::json Body = {
      {"service", "shop"},  {"address", "127.0.8.20:21604"},
      {"zone", "dcstate1"}, {"version", "v1"},
      {"slots", 8},         {"state", "draining"},
      {"sequence", 1'000},  {"born", 1000}};
  return {HeartbeatPath, Body.dump()};
}

/// The three seeds, with the links of the first one forwarded. The entry daemon
/// prefers it, as it is in the same data centre.
void startForwarded(RoutedCluster &Fixture) {
  Fixture.forwardLinksOf(1);
  Fixture.startStateDaemon(2, true);
  Fixture.startStateDaemon(3, true);
  BOOST_REQUIRE(Fixture.waitUntil([&] { return Fixture.hasLeader(); }));
  Fixture.startStateDaemon(1, true);
  Fixture.startEntryDaemon();
  BOOST_REQUIRE(Fixture.operatorCall(
      "POST", ReplacePath, RoutedCluster::declaration(3, "/a/"), 200));
  Fixture.announce("ready");
  BOOST_REQUIRE(
      Fixture.waitUntil([&] { return Fixture.request("/a/x").Status == 200; }));
}

/// Declares Version, with routes under /vVersion/, and waits until the entry
/// daemon obeys it, so that it is in touch with the leader.
void waitUntilInTouch(RoutedCluster &Fixture, std::uint64_t Version) {
  const std::string Number = std::to_string(Version);
  BOOST_REQUIRE(Fixture.operatorCall(
      "POST", ReplacePath,
      RoutedCluster::declaration(Version, "/v" + Number + "/"), 200));
  BOOST_REQUIRE(Fixture.waitUntil([&] {
    return Fixture.log("entry").find("event=declaration_in_force version=" +
                                     Number) != std::string::npos;
  }));
}

/// Sends requests to the routes of Version and expects that none of them
/// reaches a server.
void expectNothingServed(RoutedCluster &Fixture, std::uint64_t Version) {
  Fixture.ServerRequests = 0;
  for (int I = 0; I < Requests; ++I) {
    const int Status =
        Fixture.request("/v" + std::to_string(Version) + "/x").Status;
    BOOST_TEST(Status == 503);
  }
  BOOST_TEST(Fixture.ServerRequests == 0);
}

void waitFor(RoutedCluster &Fixture, Common::Duration Time) {
  const Common::TimePoint End = Fixture.loop().now() + Time;
  BOOST_REQUIRE(Fixture.waitUntil([&] { return Fixture.loop().now() >= End; }));
}

/// A state daemon whose frames reach nobody gets Call. If it acknowledges it,
/// it is killed at once; else the server calls another daemon, and that one is
/// killed after its acknowledgement.
void endAtAnIsolatedDaemon(const EndCall &Call) {
  RoutedCluster Fixture;
  startForwarded(Fixture);
  Fixture.blockLinks();
  const Common::TimePoint Begin = Fixture.loop().now();
  if (Fixture.call(Fixture.controlAddress(1), "POST", Call.Path, Call.Body)
          .Status == 200) {
    Fixture.crash("state1");
  } else {
    BOOST_TEST((Fixture.loop().now() - Begin < AnswerTime));
    BOOST_REQUIRE(Fixture.waitUntil([&] {
      return Fixture
                 .call(Fixture.controlAddress(2), "POST", Call.Path, Call.Body)
                 .Status == 200;
    }));
    Fixture.crash("state2");
    Fixture.unblockLinks();
  }
  waitFor(Fixture, DrainTime);
  waitUntilInTouch(Fixture, 9);
  expectNothingServed(Fixture, 9);
}

} // namespace

BOOST_AUTO_TEST_SUITE(RoutedDeregistration)

// Guards against DRAIN: a deregistration was acknowledged by one state daemon
// and lost with it; the entry daemons went on using the server.
BOOST_AUTO_TEST_CASE(AnAcknowledgedDeregistrationOutlivesItsDaemon) {
  endAtAnIsolatedDaemon(deregisterCall());
}

// Guards against DRAIN: the same for a heartbeat that reports `draining`, after
// which no further one comes.
BOOST_AUTO_TEST_CASE(AnAcknowledgedDrainingOutlivesItsDaemon) {
  endAtAnIsolatedDaemon(drainingHeartbeat());
}

// Guards against DRAIN: an acknowledged deregistration was lost with the memory
// of all daemons, and a delayed heartbeat made the server serving again.
BOOST_AUTO_TEST_CASE(ADeregistrationOutlivesThePowerOfAllDaemons) {
  RoutedCluster Fixture;
  Fixture.startAll();
  BOOST_REQUIRE(Fixture.waitUntil([&] { return Fixture.hasProtocolLevel(); }));
  BOOST_REQUIRE(Fixture
                    .call(Fixture.controlAddress(1), "POST", DeregisterPath,
                          deregistration(1000))
                    .Status == 200);
  Fixture.crashAndRestartAll();
  Fixture.announce("ready");
  waitUntilInTouch(Fixture, 9);
  expectNothingServed(Fixture, 9);
  // A new lifetime under the same id serves.
  Fixture.announce("ready", 1, 2000);
  BOOST_TEST(Fixture.waitUntil(
      [&] { return Fixture.request("/v9/x").Status == 200; }));
}

// Guards against DRAIN: a daemon that does not know a server acknowledged its
// deregistration without a start time, and nobody learned of it.
BOOST_AUTO_TEST_CASE(ADeregistrationThatCannotBeRecordedIsNotAcknowledged) {
  RoutedCluster Fixture;
  Fixture.startAll();
  const auto Deregister = [&](const std::string &Id, const std::string &Body) {
    return Fixture
        .call(Fixture.controlAddress(1), "POST",
              "/sycamorereach/replicas/" + Id + "/deregister", Body)
        .Status;
  };
  BOOST_TEST(Deregister("shop-7", "{}") == 503);
  BOOST_TEST(Deregister("shop-7", "") == 503);
  BOOST_TEST(Deregister("shop-7", "not JSON") == 400);
  BOOST_TEST(Deregister("shop-7", deregistration(5)) == 200);
  // The start time of a known server is known too.
  BOOST_TEST(Deregister("shop-7", "{}") == 200);
}

// Guards against servers that cannot leave while one state daemon still runs
// the previous release, which takes no new commands.
BOOST_AUTO_TEST_CASE(APeerOfThePreviousReleaseDoesNotStopDeregistrations) {
  RoutedCluster Fixture;
  // Founder 3 echoes keepalives and ignores everything else.
  auto Peer = Network::FrameServer::create(
      Fixture.loop(), RoutedCluster::linkAddress(3),
      Network::ClusterKey{RoutedCluster::ClusterKey},
      {[](Network::ConnectionId, const std::string &) {},
       [](Network::ConnectionId) {}, [](Common::RefusalReason) {}});
  BOOST_REQUIRE(Peer.ok());
  Fixture.startStateDaemon(1, true);
  Fixture.startStateDaemon(2, true);
  BOOST_REQUIRE(Fixture.waitUntil([&] { return Fixture.hasLeader(); }));
  BOOST_REQUIRE(Fixture.waitUntil([&] {
    return Fixture
               .call(Fixture.controlAddress(1), "POST", DeregisterPath,
                     deregistration(1000))
               .Status == 200;
  }));
  Fixture.crash("state1");
  BOOST_TEST(Fixture.hasMetric(2, "protocol_level 0"));
  BOOST_TEST(Fixture.waitUntil([&] {
    return Fixture.log("state2").find("event=server_changed server=shop-1") !=
           std::string::npos;
  }));
}

// Servers leave one after another while state daemons are killed, stopped and
// suspended around the acknowledgement. SYCAMORE_TEST_FIRST_SEED and
// SYCAMORE_TEST_LAST_SEED choose other seeds.
BOOST_AUTO_TEST_CASE(AcknowledgedEndsHoldWhileDaemonsFail) {
  const auto Seeds = UnitTests::TestSeeds::create(2);
  for (std::uint64_t Seed = Seeds.First; Seed <= Seeds.Last; ++Seed) {
    BOOST_TEST_CONTEXT("seed " << Seed) {
      Common::Random Randomness(Seed);
      RoutedCluster Fixture;
      Fixture.startAll();
      for (std::uint64_t Round = 1; Round <= 3; ++Round) {
        const std::uint64_t Born = 1000 * (Round + 1);
        const std::uint64_t Version = 10 * Round;
        waitUntilInTouch(Fixture, Version);
        BOOST_REQUIRE(
            Fixture.waitUntil([&] { return Fixture.isGroupHealthy(); }));
        const std::string Path = "/v" + std::to_string(Version) + "/x";
        Fixture.announce("ready", 1, Born);
        BOOST_REQUIRE(Fixture.waitUntil(
            [&] { return Fixture.request(Path).Status == 200; }));
        const int Called =
            1 + static_cast<int>(Randomness.below(RoutedCluster::StateDaemons));
        const int Other =
            1 + Called % static_cast<int>(RoutedCluster::StateDaemons);
        const std::string CalledName = "state" + std::to_string(Called);
        const std::string OtherName = "state" + std::to_string(Other);
        switch (Randomness.below(4)) {
        case 0:
          Fixture.process(OtherName).signal(SIGSTOP);
          break;
        case 1:
          Fixture.crash(OtherName);
          break;
        case 2:
          Fixture.process(CalledName).signal(SIGTERM);
          break;
        default:
          break;
        }
        const EndCall Call = deregisterCall(Born);
        int At = Called;
        BOOST_REQUIRE(Fixture.waitUntil([&] {
          const auto Response = Fixture.startCall(
              Fixture.controlAddress(At), "POST", Call.Path, Call.Body, {});
          const Common::TimePoint GivenUpAt = Fixture.loop().now() + AnswerTime;
          Fixture.waitUntil([&] {
            return Response->Done || Fixture.loop().now() >= GivenUpAt;
          });
          if (Response->Status == 200)
            return true;
          At = 1 + At % RoutedCluster::StateDaemons;
          return false;
        }));
        Fixture.crash("state" + std::to_string(At));
        const Common::TimePoint AcknowledgedAt = Fixture.loop().now();
        // All daemons that were killed, stopped or suspended come back.
        for (int I = 1; I <= RoutedCluster::StateDaemons; ++I)
          Fixture.restartStateDaemon(I);
        // A heartbeat that was under way.
        Fixture.announce("ready", 1, Born);
        waitFor(Fixture, DrainTime - (Fixture.loop().now() - AcknowledgedAt));
        waitUntilInTouch(Fixture, Version + 1);
        expectNothingServed(Fixture, Version + 1);
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace FaultTests
