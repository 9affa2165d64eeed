#include "FaultTests/Cluster.h"

#include <boost/test/unit_test.hpp>
#include <csignal>

namespace FaultTests {

namespace {

using namespace std::chrono_literals;

nlohmann::json hostsOf(Cluster &Test) {
  return Test.call(Test.cloudPort(), Network::HttpMethod::Get, "/v1/hosts")
      .json();
}

/// Hosts that run the declared version.
std::size_t serving(Cluster &Test, const std::string &Version) {
  std::size_t Count = 0;
  const auto Answer = hostsOf(Test);
  if (!Answer.is_object())
    return 0;
  for (const auto &Host : Answer["hosts"])
    Count += Host["state"] == "running" && Host["version"] == Version &&
             Host["loading"] == false;
  return Count;
}

int leadingFleet(Cluster &Test) {
  for (int I = 1; I <= 2; ++I)
    if (Test.runs("f" + std::to_string(I)) &&
        Test.metric(Test.fleetHttp(I), "fleet_leading") == 1)
      return I;
  return 0;
}

void startFleet(Cluster &Test) {
  Test.startAll();
  BOOST_REQUIRE(
      Test.operate(Test.entryHttp(1), "set service assistant replicas 4")
          .Status == 200);
  Test.startCloud();
  Test.startFleet(1);
  Test.startFleet(2);
  BOOST_REQUIRE(Test.await([&] { return serving(Test, "1") == 4; }));
  BOOST_REQUIRE(Test.await([&] { return Test.servingBackends(1) >= 4; }));
}

} // namespace

BOOST_AUTO_TEST_SUITE(FleetFaultTest)

BOOST_AUTO_TEST_CASE(declaredFleetSurvivesAReclaimedDataCentre) {
  Cluster Test;
  startFleet(Test);
  BOOST_TEST(Test.chat(1, "before", 3).Status == 200);
  const auto Taken =
      Test.call(Test.cloudPort(), Network::HttpMethod::Post, "/v1/reclaim",
                "{\"datacentre\":\"east\",\"notice_ms\":4000}");
  BOOST_REQUIRE(Taken.Status == 200);
  // The pool there also refuses to start anything new.
  Test.call(Test.cloudPort(), Network::HttpMethod::Post, "/v1/refuse",
            "{\"datacentre\":\"east\"}");
  for (int I = 0; I < 40; ++I) {
    BOOST_TEST(Test.chat(1 + I % 2, "wave " + std::to_string(I), 3).Status ==
               200);
    Test.pause(50ms);
  }
  BOOST_TEST(Test.await([&] { return serving(Test, "1") == 4; }));
  for (const auto &Host : hostsOf(Test)["hosts"])
    BOOST_TEST(Host["datacentre"] != "east");
}

BOOST_AUTO_TEST_CASE(deadFleetDaemonIsReplacedAndOrdersNothingTwice) {
  Cluster Test;
  startFleet(Test);
  const int First = leadingFleet(Test);
  BOOST_REQUIRE(First != 0);
  const double Fencing = Test.metric(Test.fleetHttp(First), "fleet_fencing");
  // Frozen beyond its lease, it comes back and must not act.
  Test.process("f" + std::to_string(First)).signal(SIGSTOP);
  const int Second = 3 - First;
  BOOST_REQUIRE(Test.await([&] {
    return Test.metric(Test.fleetHttp(Second), "fleet_leading") == 1;
  }));
  BOOST_TEST(Test.metric(Test.fleetHttp(Second), "fleet_fencing") > Fencing);
  BOOST_REQUIRE(
      Test.operate(Test.entryHttp(1), "set service assistant version 2")
          .Status == 200);
  Test.pause(300ms);
  Test.process("f" + std::to_string(First)).signal(SIGCONT);
  BOOST_TEST(Test.await([&] { return serving(Test, "2") == 4; }));
  BOOST_TEST(hostsOf(Test)["hosts"].size() == 4u);
  BOOST_TEST(Test.metric(Test.fleetHttp(First), "fleet_leading") == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace FaultTests
