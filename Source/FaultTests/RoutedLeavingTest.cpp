#include "FaultTests/RoutedCluster.h"

#include <boost/test/unit_test.hpp>
#include <set>

namespace FaultTests {

namespace {

constexpr int Requests = 30;

/// Two servers that go on announcing themselves as ready. Those in Leaving say
/// in their answers that they leave.
struct Fixture : RoutedCluster {
  std::set<std::string> Leaving;
  std::map<std::string, int> Reached;

  Fixture() {
    this->startAll();
    this->announce("ready", 2);
    this->OnServerRequest =
        [this](const std::shared_ptr<Network::Http1Exchange> &Exchange) {
          const std::string Server =
              Exchange->header("X-Sycamorereach-Expect-Replica").value_or("");
          ++this->Reached[Server];
          respond(
              *Exchange, 200,
              {{"Server-Leaving", this->Leaving.count(Server) ? "1" : "0"}});
        };
    this->sendUntilReached("shop-1");
    this->sendUntilReached("shop-2");
  }

  void sendUntilReached(const std::string &Server) {
    this->Reached.clear();
    BOOST_REQUIRE(this->waitUntil([&] {
      this->request("/a/once/x");
      return this->Reached[Server] > 0;
    }));
  }

  void sendRequests() {
    this->Reached.clear();
    for (int I = 0; I < Requests; ++I)
      BOOST_TEST(this->request("/a/once/x").Status == 200);
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(RoutedLeaving)

// Guards against requests to a server whose answers say that it leaves, while
// its announcements do not arrive: those that run there when it exits are lost.
BOOST_AUTO_TEST_CASE(AServerWhoseAnswersSayThatItLeavesGetsNothingMore) {
  Fixture Test;
  Test.Leaving = {"shop-1"};
  Test.sendUntilReached("shop-1");
  Test.sendRequests();
  BOOST_TEST(Test.Reached["shop-1"] == 0);
  // A delayed announcement of the same process does not bring it back.
  Test.announce("ready");
  Test.sendRequests();
  BOOST_TEST(Test.Reached["shop-1"] == 0);
  BOOST_TEST(Test.Reached["shop-2"] == Requests);
  // Its next process is used.
  Test.Leaving.clear();
  Test.announce("ready", 1, 2000);
  Test.sendUntilReached("shop-1");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace FaultTests
