#include "FaultTests/RoutedCluster.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>

namespace FaultTests {

namespace {

constexpr const char *BeginPath = "/sycamorereach/rollouts/begin";
constexpr const char *ReadPath = "/sycamorereach/rollouts/shop/read";

std::string order(const std::string &Target, int Seconds) {
  return R"({"service":"shop","target":")" + Target + R"(","duration-s":)" +
         std::to_string(Seconds) + "}";
}

/// Enables rollouts in the daemons that are started while it exists.
struct EnabledRollouts {
  EnabledRollouts() { setenv("SYCAMORE_ROLLOUTS", "true", 1); }
  ~EnabledRollouts() { unsetenv("SYCAMORE_ROLLOUTS"); }
};

} // namespace

BOOST_AUTO_TEST_SUITE(RoutedRollout)

// An acknowledged order must be known after all daemons have lost their memory,
// and the same order sent again must neither be refused nor start anything.
BOOST_AUTO_TEST_CASE(AnAcknowledgedOrderSurvivesTheLossOfAllPower) {
  const EnabledRollouts Enabled;
  RoutedCluster Fixture;
  Fixture.startAll();
  BOOST_TEST(Fixture.operatorCall("GET", ReadPath, "", 404));
  BOOST_REQUIRE(Fixture.operatorCall("POST", BeginPath, order("v2", 3), 200));
  BOOST_TEST(Fixture.operatorCall("POST", BeginPath, order("v3", 3), 409));
  Fixture.crashAndRestartAll();
  std::string State;
  BOOST_REQUIRE(Fixture.operatorCall("GET", ReadPath, "", 200, &State));
  BOOST_TEST(State.find("\"v2\"") != std::string::npos);
  // No server of the version appears.
  BOOST_TEST(Fixture.waitUntil([&] {
    return Fixture.operatorCall("GET", ReadPath, "", 200, &State) &&
           State.find("rolled_back") != std::string::npos;
  }));
  BOOST_TEST(Fixture.operatorCall("POST", BeginPath, order("v2", 3), 200));
  // Servers announce themselves again after the loss; old ones are still used.
  Fixture.announce("ready");
  BOOST_TEST(
      Fixture.waitUntil([&] { return Fixture.request("/a/x").Status == 200; }));
}

BOOST_AUTO_TEST_CASE(InvalidOrdersAreRefused) {
  const EnabledRollouts Enabled;
  RoutedCluster Fixture;
  Fixture.startAll();
  for (const char *Body :
       {"", "[]", R"({"service":"none","target":"v2","duration-s":3})",
        R"({"service":"shop","target":"","duration-s":3})",
        R"({"service":"shop","target":"v2","duration-s":0})"})
    BOOST_TEST(Fixture.operatorCall("POST", BeginPath, Body, 400), Body);
  BOOST_TEST(Fixture.operatorCall("GET", ReadPath, "", 404));
}

// Deployments without the contract have no such interface.
BOOST_AUTO_TEST_CASE(RolloutsAreOffUnlessEnabled) {
  RoutedCluster Fixture;
  Fixture.startAll();
  BOOST_TEST(Fixture.operatorCall("POST", BeginPath, order("v2", 3), 404));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace FaultTests
