#include "FaultTests/RoutedCluster.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>

namespace FaultTests {

namespace {

constexpr const char *BeginPath = "/sycamorereach/rollouts/begin";
constexpr const char *ReadPath = "/sycamorereach/rollouts/shop/read";

std::string order(const std::string &Target, int Seconds,
                  const std::string &Service = "shop") {
  return R"({"service":")" + Service + R"(","target":")" + Target +
         R"(","duration-s":)" + std::to_string(Seconds) + "}";
}

/// Enables rollouts in the daemons that are started while it exists.
struct EnabledRollouts {
  explicit EnabledRollouts(const char *AckMilliseconds = "5000") {
    setenv("SYCAMORE_ROLLOUTS", "true", 1);
    setenv("SYCAMORE_ACK_TIME", AckMilliseconds, 1);
  }
  ~EnabledRollouts() {
    unsetenv("SYCAMORE_ROLLOUTS");
    unsetenv("SYCAMORE_ACK_TIME");
  }
};

constexpr const char *AckMilliseconds = "1000";
/// An equal order is no repeat this long after the one before: the time for
/// which orders are sent again, and a margin for clocks that differ.
constexpr Common::Duration RepeatTime = std::chrono::milliseconds(3200);

/// Up to eight orders may be in progress at once.
constexpr int OrdersAtOnce = 8;

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

// Guards against LOST: of orders that arrive together, all but the first had no
// effect, and one that repeats a target after a roll-back was acknowledged.
BOOST_AUTO_TEST_CASE(OrdersThatArriveTogetherAllTakeEffect) {
  const EnabledRollouts Enabled(AckMilliseconds);
  RoutedCluster Fixture;
  Fixture.startAll();
  std::vector<std::string> Services = {"shop"};
  nlohmann::json Document =
      nlohmann::json::parse(RoutedCluster::declaration(4, "/a/"));
  for (int I = 1; I < OrdersAtOnce; ++I) {
    Services.push_back("pool-" + std::to_string(I));
    Document["services"].push_back({{"name", Services.back()}});
  }
  BOOST_REQUIRE(Fixture.operatorCall("POST", "/sycamorereach/config/replace",
                                     Document.dump(), 200));
  BOOST_REQUIRE(Fixture.operatorCall("POST", BeginPath, order("v2", 1), 200));
  const Common::TimePoint OrderedAt = Fixture.loop().now();
  std::string State;
  BOOST_REQUIRE(Fixture.waitUntil([&] {
    return Fixture.operatorCall("GET", ReadPath, "", 200, &State) &&
           State.find("rolled_back") != std::string::npos &&
           Fixture.loop().now() - OrderedAt > RepeatTime;
  }));
  // The repeated target last, so that the others are recorded before it.
  std::swap(Services.front(), Services.back());
  const int Leader = Fixture.leader();
  std::vector<std::shared_ptr<RoutedResponse>> Responses;
  for (const std::string &Each : Services)
    Responses.push_back(Fixture.startCall(Fixture.controlAddress(Leader),
                                          "POST", BeginPath,
                                          order("v2", 60, Each), {}));
  for (std::size_t I = 0; I < Services.size(); ++I) {
    BOOST_REQUIRE(Fixture.waitUntil([&] { return Responses[I]->Done; }));
    BOOST_TEST(Responses[I]->Status == 200, Services[I]);
  }
  const auto ExpectRunning = [&] {
    for (const std::string &Each : Services) {
      BOOST_TEST(Fixture.operatorCall(
          "GET", "/sycamorereach/rollouts/" + Each + "/read", "", 200, &State));
      BOOST_TEST(State.find("running") != std::string::npos,
                 Each << ": " << State);
    }
  };
  ExpectRunning();
  Fixture.crashAndRestartAll();
  ExpectRunning();
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
