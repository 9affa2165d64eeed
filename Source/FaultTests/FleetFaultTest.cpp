#include "FaultTests/Cluster.h"
#include "FaultTests/RawConnection.h"

#include <boost/test/unit_test.hpp>
#include <csignal>

namespace FaultTests {

namespace {

using namespace std::chrono_literals;

nlohmann::json cloudHosts(Cluster &Fixture) {
  return Fixture
      .call(Fixture.cloudPort(), Network::HttpMethod::Get, "/v1/hosts")
      .json();
}

/// Number of running hosts that have finished loading Version.
std::size_t runningHostCount(Cluster &Fixture, const std::string &Version) {
  std::size_t Count = 0;
  const auto Response = cloudHosts(Fixture);
  if (!Response.is_object())
    return 0;
  for (const auto &Host : Response["hosts"])
    Count += Host["state"] == "running" && Host["version"] == Version &&
             Host["loading"] == false;
  return Count;
}

int leadingFleetDaemon(Cluster &Fixture) {
  for (int I = 1; I <= 2; ++I)
    if (Fixture.isRunning("f" + std::to_string(I)) &&
        Fixture.metric(Fixture.fleetHttp(I), "fleet_leading") == 1)
      return I;
  return 0;
}

void startClusterWithFleet(Cluster &Fixture) {
  Fixture.startAll();
  BOOST_REQUIRE(Fixture
                    .executeStatement(Fixture.entryHttp(1),
                                      "set service assistant replicas 4")
                    .Status == 200);
  Fixture.startCloud();
  Fixture.startFleetDaemon(1);
  Fixture.startFleetDaemon(2);
  BOOST_REQUIRE(
      Fixture.waitUntil([&] { return runningHostCount(Fixture, "1") == 4; }));
  BOOST_REQUIRE(
      Fixture.waitUntil([&] { return Fixture.servingBackendCount(1) >= 4; }));
}

/// Whether Bytes are responses with a Content-Length, the last one complete.
bool areCompleteResponses(const std::string &Bytes) {
  constexpr std::string_view HeadEnd = "\r\n\r\n";
  constexpr std::string_view LengthHeader = "Content-Length: ";
  std::size_t Position = 0;
  while (Position < Bytes.size()) {
    const std::size_t Body = Bytes.find(HeadEnd, Position);
    const std::size_t Length = Bytes.find(LengthHeader, Position);
    if (Body == std::string::npos || Length > Body)
      return false;
    Position = Body + HeadEnd.size() +
               std::stoul(Bytes.substr(Length + LengthHeader.size()));
  }
  return Position > 0 && Position == Bytes.size();
}

} // namespace

BOOST_AUTO_TEST_SUITE(FleetFaultTest)

BOOST_AUTO_TEST_CASE(declaredFleetSurvivesAReclaimedDataCentre) {
  Cluster Fixture;
  startClusterWithFleet(Fixture);
  BOOST_TEST(Fixture.chat(1, "before", 3).Status == 200);
  const auto Reclaimed = Fixture.call(
      Fixture.cloudPort(), Network::HttpMethod::Post, "/v1/reclaim",
      "{\"datacentre\":\"east\",\"notice_ms\":4000}");
  BOOST_REQUIRE(Reclaimed.Status == 200);
  // The cloud also refuses to start hosts in that data centre.
  Fixture.call(Fixture.cloudPort(), Network::HttpMethod::Post, "/v1/refuse",
               "{\"datacentre\":\"east\"}");
  for (int I = 0; I < 40; ++I) {
    BOOST_TEST(Fixture.chat(1 + I % 2, "wave " + std::to_string(I), 3).Status ==
               200);
    Fixture.runLoopFor(50ms);
  }
  BOOST_TEST(
      Fixture.waitUntil([&] { return runningHostCount(Fixture, "1") == 4; }));
  for (const auto &Host : cloudHosts(Fixture)["hosts"])
    BOOST_TEST(Host["datacentre"] != "east");
}

BOOST_AUTO_TEST_CASE(deadFleetDaemonIsReplacedAndOrdersNothingTwice) {
  Cluster Fixture;
  startClusterWithFleet(Fixture);
  const int First = leadingFleetDaemon(Fixture);
  BOOST_REQUIRE(First != 0);
  const double FencingNumber =
      Fixture.metric(Fixture.fleetHttp(First), "fleet_fencing");
  // A leader that is paused beyond its lease must not act when it resumes.
  Fixture.process("f" + std::to_string(First)).signal(SIGSTOP);
  const int Second = 3 - First;
  BOOST_REQUIRE(Fixture.waitUntil([&] {
    return Fixture.metric(Fixture.fleetHttp(Second), "fleet_leading") == 1;
  }));
  BOOST_TEST(Fixture.metric(Fixture.fleetHttp(Second), "fleet_fencing") >
             FencingNumber);
  BOOST_REQUIRE(Fixture
                    .executeStatement(Fixture.entryHttp(1),
                                      "set service assistant version 2")
                    .Status == 200);
  Fixture.runLoopFor(300ms);
  Fixture.process("f" + std::to_string(First)).signal(SIGCONT);
  BOOST_TEST(
      Fixture.waitUntil([&] { return runningHostCount(Fixture, "2") == 4; }));
  BOOST_TEST(cloudHosts(Fixture)["hosts"].size() == 4u);
  BOOST_TEST(Fixture.metric(Fixture.fleetHttp(First), "fleet_leading") == 0);
}

// A stop must not cut an answer that its caller has not read yet.
BOOST_AUTO_TEST_CASE(stopWritesItsAnswersFirst) {
  Cluster Fixture;
  Fixture.startAll();
  Fixture.startCloud();
  Fixture.startFleetDaemon(1);
  BOOST_REQUIRE(Fixture.waitUntil([&] {
    return Fixture.metric(Fixture.fleetHttp(1), "fleet_leading") == 1;
  }));
  const CallResponse Single =
      Fixture.call(Fixture.fleetHttp(1), Network::HttpMethod::Get, "/metrics");
  BOOST_REQUIRE(Single.Status == 200);
  // The answers exceed what the kernel buffers for a connection that is not
  // read, so the daemon is left with an answer that it cannot write.
  constexpr std::size_t AnswerBytes = 12u << 20;
  std::string Requests;
  for (std::size_t I = 0; I < AnswerBytes / Single.Body.size(); ++I)
    Requests += "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
  const RawConnection Caller(Fixture.fleetHttp(1));
  BOOST_REQUIRE(Caller.send(Requests));
  Fixture.process("f1").signal(SIGTERM);
  const std::string Received = Caller.receiveAll();
  BOOST_TEST(areCompleteResponses(Received));
  BOOST_TEST(
      Fixture.waitUntil([&] { return Fixture.process("f1").hasExited(); }));
  BOOST_TEST(Fixture.process("f1").exitCode() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace FaultTests
