#include "Membership/BackendRegistry.h"

#include "Membership/PeerTable.h"

#include <boost/test/unit_test.hpp>

namespace UnitTests {

namespace {

using namespace std::chrono_literals;
using namespace Membership;
using Change = BackendRegistry::Change;

const Common::TimePoint Start{std::chrono::hours(1)};
const Common::BackendServerId Id{"b1"};

Announcement said(std::uint64_t Life, std::uint64_t Sequence,
                  ServerState State = ServerState::Serving) {
  Announcement Result;
  Result.BackendServer = Id;
  Result.Host = Common::HostId("h1");
  Result.Life = Common::Incarnation{Life};
  Result.Sequence = Sequence;
  Result.State = State;
  return Result;
}

Digest digestOf(const std::string &From, std::uint64_t Sequence,
                std::uint64_t Demand) {
  Digest Result;
  Result.From = Common::DaemonId(From);
  Result.Life = Common::Incarnation{1};
  Result.Sequence = Sequence;
  Result.Demands = {{Common::ServiceName("s"), Demand}};
  return Result;
}

PeerTable peersOf(const std::string &Self) {
  return PeerTable(Common::DaemonId(Self),
                   {*Peer::create("e1@10.0.0.1:1@east"),
                    *Peer::create("e2@10.0.0.2:1@east"),
                    *Peer::create("e3@10.0.0.3:1@west")},
                   Start);
}

} // namespace

BOOST_AUTO_TEST_SUITE(BackendRegistryTest)

BOOST_AUTO_TEST_CASE(silentServerLosesItsLease) {
  BackendRegistry Known;
  Known.learn(said(1, 1), Start, true);
  BOOST_TEST(Known.usable(*Known.find(Id), Start + 2999ms));
  BOOST_TEST(!Known.usable(*Known.find(Id), Start + 3000ms));
}

BOOST_AUTO_TEST_CASE(whatCountsAsNewer) {
  struct Case {
    Announcement Second;
    Change Expected;
    bool UsableAfter;
  };
  const std::vector<Case> Cases = {
      {said(5, 10), Change::Nothing, true},
      {said(5, 9), Change::Nothing, true},
      {said(4, 99), Change::Nothing, true},
      {said(5, 11), Change::Refreshed, true},
      {said(6, 1), Change::Restarted, true},
      {said(5, 10, ServerState::Leaving), Change::BecameLeaving, false},
      {said(5, 11, ServerState::Leaving), Change::BecameLeaving, false},
      {said(5, 9, ServerState::Leaving), Change::Nothing, true},
  };
  for (const Case &Each : Cases) {
    BackendRegistry Known;
    Known.learn(said(5, 10), Start, true);
    BOOST_TEST((Known.learn(Each.Second, Start, true) == Each.Expected));
    BOOST_TEST(Known.usable(*Known.find(Id), Start) == Each.UsableAfter);
  }
}

BOOST_AUTO_TEST_CASE(thereIsNoWayBackFromLeavingWithinALife) {
  BackendRegistry Known;
  Known.learn(said(5, 10), Start, true);
  BOOST_TEST((Known.markLeaving(Id) == Change::BecameLeaving));
  // Its own announcement comes later and knows nothing of the notice.
  Known.learn(said(5, 11), Start + 1s, true);
  BOOST_TEST(!Known.usable(*Known.find(Id), Start + 1s));
  Known.learn(said(6, 1), Start + 2s, true);
  BOOST_TEST(Known.usable(*Known.find(Id), Start + 2s));
}

BOOST_AUTO_TEST_CASE(passedOnAnnouncementsKeepTheirAge) {
  BackendRegistry Known;
  Known.learn(said(1, 1), Start - 2500ms, false);
  BOOST_TEST(Known.usable(*Known.find(Id), Start + 400ms));
  BOOST_TEST(!Known.usable(*Known.find(Id), Start + 600ms));
  // The same announcement by another way extends nothing.
  Known.learn(said(1, 1), Start, false);
  BOOST_TEST(!Known.usable(*Known.find(Id), Start + 600ms));
}

BOOST_AUTO_TEST_CASE(stoppedProcessTrustsNothing) {
  BackendRegistry Known;
  Known.learn(said(1, 1), Start, true);
  Known.expireAll(Start + 1s);
  BOOST_TEST(!Known.usable(*Known.find(Id), Start + 1s));
  Known.learn(said(1, 2), Start + 2s, true);
  BOOST_TEST(Known.usable(*Known.find(Id), Start + 2s));
}

BOOST_AUTO_TEST_CASE(windowsAreSharedByDemand) {
  const Common::ServiceName Service("s");
  PeerTable Peers = peersOf("e1");
  BOOST_TEST(Peers.share(Service, 10, Start) == 1.0);
  BOOST_TEST(Peers.learn(digestOf("e2", 1, 30), Start));
  BOOST_TEST(Peers.share(Service, 10, Start) == 0.25);
  // A late repeat of an older digest changes nothing.
  BOOST_TEST(!Peers.learn(digestOf("e2", 1, 0), Start));
  // Stale demand: an equal part; dead peer: everything.
  BOOST_TEST(Peers.share(Service, 10, Start + 2s) == 0.5);
  BOOST_TEST(Peers.share(Service, 10, Start + 4s) == 1.0);
}

BOOST_AUTO_TEST_CASE(theLowestLivingNameIsTheRelay) {
  PeerTable Peers = peersOf("e2");
  BOOST_TEST(Peers.isRelay(Start));
  Peers.learn(digestOf("e1", 1, 0), Start);
  BOOST_TEST(!Peers.isRelay(Start + 1s));
  BOOST_TEST(Peers.isRelay(Start + 4s));
}

BOOST_AUTO_TEST_CASE(eachDeathIsReportedOnce) {
  PeerTable Peers = peersOf("e2");
  Peers.learn(digestOf("e1", 1, 0), Start);
  Summary Far;
  Far.Living = {{Common::DaemonId("e3"), Common::Incarnation{9}}};
  Peers.learn(Far, Start + 1s);
  BOOST_TEST(Peers.newlyDead(Start + 2s).empty());
  const auto Dead = Peers.newlyDead(Start + 3s);
  BOOST_REQUIRE(Dead.size() == 1u);
  BOOST_TEST(Dead[0].Daemon.str() == "e1");
  const auto Later = Peers.newlyDead(Start + 5s);
  BOOST_REQUIRE(Later.size() == 1u);
  BOOST_TEST(Later[0].Life.Value == 9u);
  BOOST_TEST(Peers.newlyDead(Start + 9s).empty());
}

BOOST_AUTO_TEST_CASE(peerThatIsNeverHeardOfCountsAsDead) {
  // It may have died before this daemon started, with work in its hands.
  PeerTable Peers = peersOf("e2");
  BOOST_TEST(Peers.newlyDead(Start + 2900ms).empty());
  BOOST_TEST(Peers.newlyDead(Start + 3s).size() == 2u);
  BOOST_TEST(Peers.newlyDead(Start + 6s).empty());
  // Heard of at last, its death counts anew.
  Peers.learn(digestOf("e1", 1, 0), Start + 7s);
  BOOST_TEST(Peers.newlyDead(Start + 10s).size() == 1u);
}

BOOST_AUTO_TEST_CASE(noticeMayComeBeforeItsServersAreKnown) {
  BackendRegistry Known;
  Known.learn(said(0, 1), Start, true);
  BOOST_TEST(Known.markHostLeaving(Common::HostId("h1"), Start).size() == 1u);
  Known.learn(said(1, 1), Start + 1s, true);
  BOOST_TEST(!Known.usable(*Known.find(Id), Start + 1s));
  // A host of that name long after is another one.
  const auto Later = Start + BackendRegistry::ReclaimMemory + 1s;
  Known.learn(said(2, 1), Later, true);
  BOOST_TEST(Known.usable(*Known.find(Id), Later));
}

BOOST_AUTO_TEST_CASE(badAnnouncementsNameTheField) {
  Announcement Good = said(1, 1);
  Good.Service = Common::ServiceName("s");
  Good.DataCentre = Common::DataCentreId("east");
  Good.Address = {"10.0.0.1", 80};
  const std::string Json = announcementJson(Good);
  BOOST_REQUIRE(parseAnnouncement(Json).ok());
  struct Case {
    const char *From;
    const char *To;
    const char *Names;
  };
  const std::vector<Case> Cases = {
      {"{", "[", "JSON"},
      {"\"service\":\"s\"", "\"service\":7", "'service'"},
      {"\"service\":\"s\"", "\"service\":\"\"", "'service'"},
      {"\"slots\":1", "\"slots\":0", "'slots'"},
      {"\"slots\":1", "\"slots\":-1", "'slots'"},
      {"\"sequence\":1", "\"sequenze\":1", "'sequence'"},
      {"serving", "asleep", "'state'"},
      {"10.0.0.1:80", "example:80", "IPv4"},
      {"\"cache_events\":[]", "\"cache_events\":[1]", "cache_events"},
  };
  for (const Case &Each : Cases) {
    std::string Bad = Json;
    const std::size_t At = Bad.find(Each.From);
    BOOST_REQUIRE(At != std::string::npos);
    Bad.replace(At, std::string(Each.From).size(), Each.To);
    const auto Parsed = parseAnnouncement(Bad);
    BOOST_TEST(absl::IsInvalidArgument(Parsed.status()), Each.To);
    BOOST_TEST(Parsed.status().message().find(Each.Names) !=
                   absl::string_view::npos,
               std::string(Parsed.status().message()));
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
