#include "FaultTests/RoutedCluster.h"

#include <boost/test/unit_test.hpp>

namespace FaultTests {

namespace {

constexpr int Requests = 40;

/// Counts the requests that reach shop-1 and shop-2.
struct Fixture : RoutedCluster {
  std::map<std::string, int> Reached;

  Fixture() {
    this->Rollouts = true;
    this->OnServerRequest =
        [this](const std::shared_ptr<Network::Http1Exchange> &Exchange) {
          ++this->Reached[Exchange->header("X-Sycamorereach-Expect-Replica")
                              .value_or("")];
          respond(*Exchange);
        };
  }
  /// Whether the entry daemon has logged this standing of the version.
  bool hasStanding(const std::string &Version, const std::string &Standing) {
    return this->log("entry").find("event=version_standing service=shop "
                                   "version=" +
                                   Version + " standing=" + Standing) !=
           std::string::npos;
  }
  void expectAllServed() {
    for (int I = 0; I < Requests; ++I)
      BOOST_TEST(this->request("/a/x").Status == 200);
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(RoutedVersions)

// Guards against a planned release, without a rollout, whose new version gets
// nothing because no directive names it.
BOOST_AUTO_TEST_CASE(APlannedReleaseServesOnceThePollIsAnswered) {
  Fixture Test;
  Test.startAll();
  BOOST_REQUIRE(Test.waitUntil([&] { return Test.hasStanding("v1", "open"); }));
  Test.announce("ready", 2, 2000, "v2");
  BOOST_REQUIRE(Test.waitUntil([&] { return Test.hasStanding("v2", "open"); }));
  BOOST_TEST(Test.hasStanding("v2", "excluded"));
  Test.announce("draining", 1);
  BOOST_REQUIRE(Test.waitUntil([&] {
    return Test.log("entry").find("server=shop-1 phase=leaving") !=
           std::string::npos;
  }));
  Test.Reached.clear();
  Test.expectAllServed();
  BOOST_TEST(Test.Reached["shop-2"] == Requests);
}

// Guards against a version that serves before a leader can have named its
// rollout: three of four state daemons are lost.
BOOST_AUTO_TEST_CASE(AVersionIsExcludedWhileNoLeaderConfirmsIt) {
  Fixture Test;
  Test.startAll();
  BOOST_REQUIRE(Test.waitUntil([&] { return Test.hasStanding("v1", "open"); }));
  const int Leader = Test.leader();
  // Heartbeats still pass through the last one.
  int Stopped = 0;
  for (int I = 1; I <= RoutedCluster::StateDaemons && Stopped < 3; ++I)
    if (I != Leader) {
      Test.crash("state" + std::to_string(I));
      ++Stopped;
    }
  BOOST_REQUIRE(
      Test.waitUntil([&] { return Test.hasMetric(Leader, "leading 0"); }));
  Test.announce("ready", 2, 2000, "v2");
  BOOST_REQUIRE(
      Test.waitUntil([&] { return Test.hasStanding("v2", "excluded"); }));
  for (int I = 0; I < Requests / 4; ++I)
    Test.request("/a/x");
  BOOST_TEST(Test.Reached["shop-2"] == 0);
  BOOST_TEST(!Test.hasStanding("v2", "open"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace FaultTests
