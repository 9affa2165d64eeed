#include "FaultTests/RoutedCluster.h"

#include <boost/test/unit_test.hpp>

namespace FaultTests {

namespace {

using namespace std::chrono_literals;

/// A server that was silent for longer is not sent to daemons that connect.
constexpr Common::Duration SilentTime = 5500ms;
constexpr const char *ServerIp = "127.0.8.20";

struct Fixture : RoutedCluster {
  Fixture() { this->startAll(); }

  void waitFor(Common::Duration Time) {
    const Common::TimePoint End = this->loop().now() + Time;
    BOOST_REQUIRE(this->waitUntil([&] { return this->loop().now() >= End; }));
  }

  int requestAt(int EntryDaemon) {
    const auto Response =
        this->startCall(this->entryAddress(EntryDaemon), "GET", "/a/x", "",
                        {{"X-Sycamorereach-Request-Id",
                          "other-" + std::to_string(++this->LastId)},
                         {"Authorization", "Bearer key-1"}});
    BOOST_REQUIRE(this->waitUntil([&] { return Response->Done; }));
    return Response->Status;
  }

  bool hasLogged(const std::string &Name, const std::string &Text) const {
    return this->log(Name).find(Text) != std::string::npos;
  }

  /// How often a state daemon has connected to another one, whose registry then
  /// got a snapshot.
  std::size_t connectionsTo(int From, int To) const {
    const std::string Log = this->log("state" + std::to_string(From));
    const std::string Line =
        "event=peer_connected peer=" + linkAddress(To).str();
    std::size_t Result = 0;
    for (std::size_t At = Log.find(Line); At != std::string::npos;
         At = Log.find(Line, At + 1))
      ++Result;
    return Result;
  }

private:
  int LastId = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(RoutedAnnouncement)

// Guards against STARVED: an entry daemon that connects while a server is
// silent never learns of it, as it gets refreshes of the server only.
BOOST_AUTO_TEST_CASE(AnEntryDaemonLearnsOfAServerThatWasSilentWhenItConnected) {
  Fixture Test;
  Test.waitFor(SilentTime);
  Test.startEntryDaemon(2);
  BOOST_REQUIRE(Test.waitUntil([&] { return Test.requestAt(2) == 503; }));
  BOOST_TEST(Test.waitUntil([&] {
    Test.announce("ready");
    return Test.requestAt(2) == 200;
  }));
}

// Guards against a state daemon that starts while a server is silent and never
// learns of it, nor do its entry daemons.
BOOST_AUTO_TEST_CASE(AStateDaemonLearnsOfAServerThatWasSilentWhenItStarted) {
  Fixture Test;
  const auto Connections = [&] { return Test.connectionsTo(1, 4); };
  const std::size_t Before = Connections();
  Test.crash("state4");
  Test.waitFor(SilentTime);
  Test.startStateDaemon(4, false);
  BOOST_REQUIRE(Test.waitUntil([&] { return Connections() > Before; }));
  BOOST_TEST(Test.waitUntil([&] {
    BOOST_TEST(Test.announceTo(1, {"shop-1", ServerIp}) == 200);
    return Test.hasLogged("state4", "event=server_changed server=shop-1");
  }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace FaultTests
