#include "FaultTests/RoutedCluster.h"

#include <boost/test/unit_test.hpp>

namespace FaultTests {

namespace {

using namespace std::chrono_literals;

constexpr const char *ReplacePath = "/sycamorereach/config/replace";
/// A server that was silent for longer is not sent to daemons that connect.
constexpr Common::Duration SilentTime = 5500ms;
constexpr const char *ServerIp = "127.0.8.20";
constexpr const char *OtherServerIp = "127.0.8.21";

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

  /// Sends what another writer says a few times, and announces shop-1 beside
  /// it. Expects that shop-1 is used all the while.
  void expectNoHarm(const Heartbeat &Foreign) {
    for (int I = 1; I <= StateDaemons; ++I) {
      this->announceTo(I, Foreign);
      this->announce("ready");
    }
    const Common::TimePoint End = this->loop().now() + 2s;
    BOOST_TEST(this->waitUntil([&] {
      const int Status = this->request("/a/x").Status;
      if (Status != 200)
        BOOST_TEST(Status == 200, Foreign.Id << " in " << Foreign.State);
      return Status != 200 || this->loop().now() >= End;
    }));
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

// Guards against STARVED: a heartbeat for a service that is not declared, at
// the address or under the id of a sound server, took the server out of use.
BOOST_AUTO_TEST_CASE(AnotherWriterTakesNoServerOutOfUse) {
  Fixture Test;
  constexpr std::uint64_t Later = 2000;
  for (const char *State : {"ready", "draining"}) {
    Test.expectNoHarm({"monitor", ServerIp, "host-monitor", State, Later});
    Test.expectNoHarm({"shop-1", ServerIp, "host-monitor", State, Later + 1});
    Test.expectNoHarm({"shop-1", OtherServerIp, "host-monitor", State});
  }
}

// Guards against a deregistration by another writer, which cannot be read, that
// ends a sound server.
BOOST_AUTO_TEST_CASE(ADeregistrationThatCannotBeReadEndsNoServer) {
  Fixture Test;
  for (const char *Body : {"{", "[]", R"({"born":"1000"})", R"({"born":-1})"}) {
    BOOST_TEST(Test.call(Test.controlAddress(1), "POST",
                         "/sycamorereach/replicas/shop-1/deregister", Body)
                       .Status == 400,
               Body);
    Test.announce("ready");
    BOOST_TEST(Test.request("/a/x").Status == 200, Body);
  }
}

// A server may announce itself before its service is declared, and the service
// may be taken away and declared again.
BOOST_AUTO_TEST_CASE(AServerIsUsedOnceItsServiceIsDeclared) {
  Fixture Test;
  const RoutedCluster::Heartbeat Mill = {"mill-1", OtherServerIp, "mill"};
  nlohmann::json Document =
      nlohmann::json::parse(RoutedCluster::declaration(4, "/a/"));
  Document["services"].push_back({{"name", "mill"}});
  nlohmann::json Route = Document["routes"][0];
  Route["path-prefix"] = "/mill/";
  Route["service"] = "mill";
  Document["routes"].push_back(Route);
  for (int I = 1; I <= RoutedCluster::StateDaemons; ++I)
    BOOST_TEST(Test.announceTo(I, Mill) == 200);
  for (const std::uint64_t Version : {4, 6}) {
    Document["version"] = Version;
    BOOST_REQUIRE(Test.operatorCall("POST", ReplacePath, Document.dump(), 200));
    BOOST_TEST(
        Test.waitUntil([&] { return Test.request("/mill/x").Status == 200; }));
    BOOST_REQUIRE(
        Test.operatorCall("POST", ReplacePath,
                          RoutedCluster::declaration(Version + 1, "/a/"), 200));
    BOOST_TEST(
        Test.waitUntil([&] { return Test.request("/mill/x").Status == 404; }));
    Test.announce(Mill);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace FaultTests
