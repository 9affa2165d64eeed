#include "Common/Hash.h"
#include "FaultTests/RoutedCluster.h"
#include "Network/Codec.h"
#include "Network/FrameSocket.h"
#include "State/ControlProtocol.h"

#include <boost/test/unit_test.hpp>

namespace FaultTests {

namespace {

using Json = nlohmann::json;

constexpr const char *ReadPath = "/sycamorereach/config/read";
constexpr const char *ReplacePath = "/sycamorereach/config/replace";

/// `config-apply-ms`: a configuration is obeyed this long after it was
/// acknowledged.
constexpr Common::Duration ApplyTime = std::chrono::milliseconds(2500);
/// 7.5 Mbit/s.
constexpr std::size_t SlowLinkBytesPerSecond = 937'500;

/// A configuration with routes under /v<Version>/ and thousands of others.
std::string largeDeclaration(std::uint64_t Version) {
  constexpr std::uint64_t FurtherRoutes = 4'200;
  Json Result = Json::parse(RoutedCluster::declaration(
      Version, "/v" + std::to_string(Version) + "/"));
  Json Further = Result["routes"][0];
  for (std::uint64_t I = 0; I < FurtherRoutes; ++I) {
    const std::string Number =
        std::to_string(Common::hashBytes(std::to_string(I)));
    Further["name"] = "further-" + Number;
    Further["path-prefix"] = "/further/" + Number + "/";
    Result["routes"].push_back(Further);
  }
  return Result.dump();
}

using PollHandler =
    std::function<void(Network::ConnectionId, const State::EntryPoll &)>;

/// Takes the place of the first state daemon. Only polls are handled.
std::unique_ptr<Network::FrameServer> listen(RoutedCluster &Cluster,
                                             const PollHandler &OnPoll) {
  Network::FrameServer::Handlers Handlers;
  Handlers.OnPayload = [OnPoll](Network::ConnectionId From,
                                const std::string &Payload) {
    const auto Frame = Network::decode<State::ControlFrame>(Payload);
    if (Frame.ok())
      if (const auto *Poll = std::get_if<State::EntryPoll>(&*Frame))
        OnPoll(From, *Poll);
  };
  Handlers.OnClosed = [](Network::ConnectionId) {};
  Handlers.OnRefused = [](Common::RefusalReason) {};
  auto Created = Network::FrameServer::create(
      Cluster.loop(), RoutedCluster::linkAddress(1),
      Network::ClusterKey{RoutedCluster::ClusterKey}, std::move(Handlers));
  BOOST_REQUIRE(Created.ok());
  return std::move(*Created);
}

State::EntryPollResponse answerTo(const State::EntryPoll &Poll) {
  State::EntryPollResponse Result;
  Result.Entry = Poll.Entry;
  Result.Incarnation = Poll.Incarnation;
  Result.Sequence = Poll.Sequence;
  return Result;
}

/// A state daemon that answers polls with the version of a large configuration
/// and sends the configuration itself right behind its first answer.
class PushingStateDaemon {
public:
  explicit PushingStateDaemon(RoutedCluster &Cluster)
      : Server(listen(Cluster, [this](Network::ConnectionId From,
                                      const State::EntryPoll &Poll) {
          this->answer(From, Poll);
        })) {}

  static constexpr Common::ConfigurationVersion Version{5};
  bool IsInstalled = false;
  /// Polls that ask for the configuration which is on its way.
  int Requests = 0;

private:
  void send(Network::ConnectionId To, const State::ControlFrame &Frame) {
    this->Server->send(To, Network::encode(Frame));
  }

  void answer(Network::ConnectionId To, const State::EntryPoll &Poll) {
    this->IsInstalled = Poll.InstalledVersion == Version;
    if (!this->IsInstalled && Poll.NewestSeenVersion == Version)
      ++this->Requests;
    State::EntryPollResponse Answer = answerTo(Poll);
    Answer.NewestVersion = Version;
    this->send(To, Answer);
    if (!std::exchange(this->Pushed, true))
      this->send(
          To, State::DeclarationPush{Version, largeDeclaration(Version.Value)});
  }

  std::unique_ptr<Network::FrameServer> Server;
  bool Pushed = false;
};

/// A state daemon behind which the group accepts a version with each poll, and
/// that gets none of them itself.
class LaggingStateDaemon {
public:
  explicit LaggingStateDaemon(RoutedCluster &Cluster)
      : Server(listen(Cluster, [this](Network::ConnectionId From,
                                      const State::EntryPoll &Poll) {
          ++this->Polls;
          this->IsAsked =
              this->IsAsked || Poll.NewestSeenVersion.Value > FirstVersion;
          State::EntryPollResponse Answer = answerTo(Poll);
          Answer.NewestVersion = {FirstVersion + this->Polls};
          this->Server->send(From,
                             Network::encode(State::ControlFrame(Answer)));
        })) {}

  /// Whether a poll has asked the leader for the declaration.
  bool IsAsked = false;

private:
  static constexpr std::uint64_t FirstVersion = 5;
  std::uint64_t Polls = 0;
  std::unique_ptr<Network::FrameServer> Server;
};

/// The configuration in force has the version 3 and its routes under /a/.
struct Fixture : RoutedCluster {
  Fixture() { this->startAll(); }

  /// A valid document of a newer version, with its routes under /b/.
  static Json newerDocument() { return Json::parse(declaration(4, "/b/")); }

  bool declare(const Json &Document, int Status = 200) {
    return this->operatorCall("POST", ReplacePath, Document.dump(), Status);
  }

  void expectRefused(const Json &Document) {
    BOOST_TEST(this->declare(Document, 400), Document.dump());
  }

  void expectInForce(const std::string &Document, const std::string &Path) {
    BOOST_TEST(
        this->waitUntil([&] { return this->request(Path).Status == 200; }));
    std::string Read;
    BOOST_TEST(this->operatorCall("GET", ReadPath, "", 200, &Read));
    BOOST_TEST(Read == Document);
  }
};

/// The group of the three seeds has stored a document of an earlier release,
/// whose version may be invalid, with routes under /a/. The last seed is down.
struct LostMemberFixture : RoutedCluster {
  static constexpr int LostMember = 3;

  LostMemberFixture(const Json &Version,
                    Common::ConfigurationVersion StoredVersion) {
    this->startGroup(Version, StoredVersion, "/a/");
    this->startEntryDaemon();
    this->announce("ready");
    BOOST_REQUIRE(this->isServed("/a/x"));
  }

  void startGroup(const Json &Version,
                  Common::ConfigurationVersion StoredVersion,
                  const std::string &Prefix) {
    Json Stored = Json::parse(declaration(0, Prefix));
    Stored["version"] = Version;
    this->storeDeclaration(StoredVersion, Stored.dump());
    for (int I = 1; I < LostMember; ++I)
      this->startStateDaemon(I, false);
  }

  bool declare(std::uint64_t Version, const std::string &Prefix) {
    return this->operatorCall("POST", ReplacePath, declaration(Version, Prefix),
                              200);
  }
  bool isServed(const std::string &Path) {
    return this->waitUntil([&] { return this->request(Path).Status == 200; });
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(RoutedConfiguration)

// Guards against requests that run with any key once the last team is removed.
BOOST_AUTO_TEST_CASE(WithoutItsLastTeamAConfigurationAdmitsNoKey) {
  Fixture Test;
  Json NoTeams = Json::parse(RoutedCluster::declaration(4, "/a/"));
  NoTeams["tenants"] = Json::array();
  NoTeams["routes"].push_back(NoTeams["routes"][0]);
  NoTeams["routes"].back()["path-prefix"] = "/public/";
  NoTeams["routes"].back()["public"] = true;
  BOOST_REQUIRE(Test.declare(NoTeams));
  BOOST_TEST(
      Test.waitUntil([&] { return Test.request("/public/x").Status == 200; }));
  const int RequestsBefore = Test.ServerRequests;
  for (const char *Key : {"key-1", "key-of-nobody", ""})
    BOOST_TEST(Test.request("/a/x", Key).Status == 401);
  BOOST_TEST(Test.ServerRequests == RequestsBefore);
}

// Guards against a version below 0 that is taken for the highest one, after
// which no other version can take effect.
BOOST_AUTO_TEST_CASE(AVersionThatIsNoWholeNumberIsRefused) {
  Fixture Test;
  for (const Json &Version : {Json(-1), Json(8.7), Json(1e30), Json("4")}) {
    Json Document = Fixture::newerDocument();
    Document["version"] = Version;
    Test.expectRefused(Document);
  }
  Test.expectInForce(RoutedCluster::declaration(3, "/a/"), "/a/x");
  const Json Newer = Fixture::newerDocument();
  BOOST_REQUIRE(Test.declare(Newer));
  Test.expectInForce(Newer.dump(), "/b/x");
}

// Guards against an operator's template without a value that takes all routes,
// services or teams away.
BOOST_AUTO_TEST_CASE(AConfigurationWithoutItsListsIsRefused) {
  Fixture Test;
  for (const char *Name : {"routes", "services", "tenants"})
    for (const Json &Value : {Json(), Json::object(), Json("")}) {
      Json Document = Fixture::newerDocument();
      Document[Name] = Value;
      Test.expectRefused(Document);
    }
  Test.expectInForce(RoutedCluster::declaration(3, "/a/"), "/a/x");
}

// Guards against a first version of 0 that is acknowledged and never in force.
BOOST_AUTO_TEST_CASE(TheFirstVersionMayBe0) {
  RoutedCluster Test;
  for (int I = 1; I <= RoutedCluster::StateDaemons; ++I)
    Test.startStateDaemon(I, true);
  Test.startEntryDaemon();
  const std::string Document = RoutedCluster::declaration(0, "/a/");
  BOOST_REQUIRE(Test.operatorCall("POST", ReplacePath, Document, 200));
  Test.announce("ready");
  BOOST_TEST(
      Test.waitUntil([&] { return Test.request("/a/x").Status == 200; }));
  std::string Read;
  BOOST_TEST(Test.operatorCall("GET", ReadPath, "", 200, &Read));
  BOOST_TEST(Read == Document);
}

// Guards against a configuration that an earlier release stored although it is
// invalid, and that keeps the daemons from starting or from later versions.
BOOST_AUTO_TEST_CASE(AStoredInvalidConfigurationIsFollowedByOthers) {
  struct Row {
    const char *Field;
    Json Value;
    Common::ConfigurationVersion StoredVersion;
  };
  const std::vector<Row> Rows = {
      {"version", -1, {~std::uint64_t{0}}},
      {"version", 3.7, {3}},
      {"routes", nullptr, {3}},
      {"tenants", nullptr, {3}},
  };
  for (const Row &Each : Rows) {
    RoutedCluster Test;
    Json Stored = Json::parse(RoutedCluster::declaration(3, "/a/"));
    Stored[Each.Field] = Each.Value;
    Test.storeDeclaration(Each.StoredVersion, Stored.dump());
    for (int I = 1; I <= 3; ++I)
      Test.startStateDaemon(I, false);
    Test.startEntryDaemon();
    Test.announce("ready");
    const int Expected = Each.Field == std::string("routes")    ? 404
                         : Each.Field == std::string("tenants") ? 401
                                                                : 200;
    BOOST_TEST(
        Test.waitUntil([&] { return Test.request("/a/x").Status == Expected; }),
        Stored);
    for (const char *Prefix : {"/b/", "/c/"}) {
      const std::string Next = RoutedCluster::declaration(
          Prefix == std::string("/b/") ? 4 : 5, Prefix);
      BOOST_TEST(Test.operatorCall("POST", ReplacePath, Next, 200), Stored);
      BOOST_TEST(Test.waitUntil([&] {
        return Test.request(Prefix + std::string("x")).Status == 200;
      }),
                 Stored);
      std::string Read;
      BOOST_TEST(Test.operatorCall("GET", ReadPath, "", 200, &Read));
      BOOST_TEST(Read == Next);
    }
    // What followed is in force after a restart as well.
    for (int I = 1; I <= 3; ++I)
      Test.crash("state" + std::to_string(I));
    Test.crash("entry");
    for (int I = 1; I <= 3; ++I)
      Test.startStateDaemon(I, false);
    Test.startEntryDaemon();
    Test.announce("ready");
    BOOST_TEST(
        Test.waitUntil([&] { return Test.request("/c/x").Status == 200; }),
        Stored);
  }
}

// Guards against a lost state daemon that keeps a group whose stored version is
// invalid from taking the next one.
BOOST_AUTO_TEST_CASE(ALostMemberDoesNotHoldUpTheVersionAfterAnInvalidOne) {
  const std::vector<std::pair<Json, Common::ConfigurationVersion>> Rows = {
      {-1, {~std::uint64_t{0}}}, {3.7, {3}}};
  for (const auto &[Version, StoredVersion] : Rows) {
    LostMemberFixture Test(Version, StoredVersion);
    BOOST_REQUIRE(Test.declare(3, "/b/"));
    BOOST_TEST(Test.isServed("/b/x"));
    // The lost daemon follows the log when it is back.
    Test.startStateDaemon(LostMemberFixture::LostMember, false);
    BOOST_REQUIRE(Test.waitUntil([&] {
      return Test.hasMetric(LostMemberFixture::LostMember,
                            "declaration_version 3");
    }));
    Test.crash("state1");
    BOOST_TEST(Test.declare(4, "/c/"));
    BOOST_TEST(Test.isServed("/c/x"));
  }
}

// Guards against versions above an invalid stored one that wait for its
// correction, which needs the lost state daemon.
BOOST_AUTO_TEST_CASE(AVersionAboveAnInvalidOneIsTakenAtOnce) {
  LostMemberFixture Test(8.7, {8});
  // Not newer than the stored document, so it changes nothing.
  BOOST_TEST(Test.declare(6, "/b/"));
  BOOST_TEST(Test.declare(9, "/c/"));
  BOOST_TEST(Test.isServed("/c/x"));
  BOOST_TEST(Test.request("/b/x").Status == 404);
  BOOST_TEST(Test.hasMetric(Test.leader(), "protocol_level 0"));
}

// Guards against an entry daemon that stops serving its valid configuration
// because the group has stored an invalid one under a higher version.
BOOST_AUTO_TEST_CASE(AValidConfigurationOutlivesAnInvalidOneOfTheGroup) {
  LostMemberFixture Test(3, {3});
  for (int I = 1; I < LostMemberFixture::LostMember; ++I)
    Test.crash("state" + std::to_string(I));
  for (int I = 1; I <= LostMemberFixture::LostMember; ++I)
    Test.wipeDisk(I);
  Test.startGroup(-1, {~std::uint64_t{0}}, "/b/");
  BOOST_REQUIRE(Test.leader() != 0);
  // The entry daemon asks until the group has confirmed its configuration, and
  // obeys it for revoke-time without that.
  const Common::TimePoint End =
      Test.loop().now() + 2 * RoutedCluster::RevokeTime;
  Test.waitUntil([&] {
    Test.announce("ready");
    return Test.loop().now() > End;
  });
  BOOST_TEST(Test.request("/a/x").Status == 200);
  BOOST_TEST(Test.request("/b/x").Status == 404);
  BOOST_REQUIRE(Test.declare(4, "/c/"));
  BOOST_TEST(Test.isServed("/c/x"));
}

// Guards against CONFIG: an entry daemon on a slow link got each version of a
// large configuration in turn and obeyed older ones for seconds.
BOOST_AUTO_TEST_CASE(AQuickSeriesOfLargeVersionsIsInForceInTime) {
  constexpr std::uint64_t LastVersion = 15;
  // Shorter than the time in which the link carries a version uncompressed.
  constexpr Common::Duration Pause = std::chrono::milliseconds(500);
  RoutedCluster Test;
  Test.limitEntryLinks(SlowLinkBytesPerSecond);
  Test.startAll();
  Common::TimePoint AcknowledgedAt;
  for (std::uint64_t Version = 4; Version <= LastVersion; ++Version) {
    const Common::TimePoint Next = Test.loop().now() + Pause;
    BOOST_REQUIRE(
        Test.operatorCall("POST", ReplacePath, largeDeclaration(Version), 200));
    AcknowledgedAt = Test.loop().now();
    Test.waitUntil([&] { return Test.loop().now() >= Next; });
  }
  const std::string NewestPath = "/v" + std::to_string(LastVersion) + "/x";
  BOOST_TEST(
      Test.waitUntil([&] { return Test.request(NewestPath).Status == 200; }));
  const Common::Duration Elapsed = Test.loop().now() - AcknowledgedAt;
  BOOST_TEST((Elapsed < ApplyTime),
             "in force after " << Common::toMilliseconds(Elapsed) << " ms");
  // The entry daemon has kept its slow link.
  BOOST_TEST(Test.log("entry").find("event=state_daemon_changed") ==
             std::string::npos);
}

// Guards against CONFIG: an entry daemon asked the leader for a configuration
// that was on its way, got further copies behind it, and later versions last.
BOOST_AUTO_TEST_CASE(AConfigurationThatIsOnItsWayIsNotRequested) {
  RoutedCluster Test;
  Test.limitEntryLinks(SlowLinkBytesPerSecond);
  PushingStateDaemon StateDaemon(Test);
  Test.startEntryDaemon();
  BOOST_TEST(Test.waitUntil([&] { return StateDaemon.IsInstalled; }));
  BOOST_TEST(StateDaemon.Requests == 0);
}

// Guards against an entry daemon behind a lagging state daemon that does not
// ask the leader as long as further versions come.
BOOST_AUTO_TEST_CASE(ALaggingStateDaemonIsMadeUpForDuringASeries) {
  RoutedCluster Test;
  LaggingStateDaemon StateDaemon(Test);
  Test.startEntryDaemon();
  BOOST_TEST(Test.waitUntil([&] { return StateDaemon.IsAsked; }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace FaultTests
