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

Announcement announcement(std::uint64_t Incarnation, std::uint64_t Sequence,
                          ServerState State = ServerState::Serving) {
  Announcement Result;
  Result.BackendServer = Id;
  Result.Host = Common::HostId("h1");
  Result.Incarnation = Common::Incarnation{Incarnation};
  Result.Sequence = Sequence;
  Result.State = State;
  return Result;
}

Digest digestOf(const std::string &From, std::uint64_t Sequence,
                std::uint64_t Demand) {
  Digest Result;
  Result.From = Common::DaemonId(From);
  Result.Incarnation = Common::Incarnation{1};
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

BOOST_AUTO_TEST_CASE(leaseExpiresWithoutAnnouncements) {
  BackendRegistry Registry;
  Registry.update(announcement(1, 1), Start, true);
  BOOST_TEST(Registry.isUsable(*Registry.find(Id), Start + 2999ms));
  BOOST_TEST(!Registry.isUsable(*Registry.find(Id), Start + 3000ms));
}

BOOST_AUTO_TEST_CASE(onlyNewerAnnouncementsApply) {
  struct Case {
    Announcement Second;
    Change Expected;
    bool UsableAfter;
  };
  const std::vector<Case> Cases = {
      {announcement(5, 10), Change::None, true},
      {announcement(5, 9), Change::None, true},
      {announcement(4, 99), Change::None, true},
      {announcement(5, 11), Change::Refreshed, true},
      {announcement(6, 1), Change::Restarted, true},
      {announcement(5, 10, ServerState::Leaving), Change::BecameLeaving, false},
      {announcement(5, 11, ServerState::Leaving), Change::BecameLeaving, false},
      {announcement(5, 9, ServerState::Leaving), Change::None, true},
  };
  for (const Case &Each : Cases) {
    BackendRegistry Registry;
    Registry.update(announcement(5, 10), Start, true);
    BOOST_TEST((Registry.update(Each.Second, Start, true) == Each.Expected));
    BOOST_TEST(Registry.isUsable(*Registry.find(Id), Start) ==
               Each.UsableAfter);
  }
}

BOOST_AUTO_TEST_CASE(leavingIsFinalWithinAnIncarnation) {
  BackendRegistry Registry;
  Registry.update(announcement(5, 10), Start, true);
  BOOST_TEST((Registry.markLeaving(Id) == Change::BecameLeaving));
  // A later announcement that was sent before the server saw the notice.
  Registry.update(announcement(5, 11), Start + 1s, true);
  BOOST_TEST(!Registry.isUsable(*Registry.find(Id), Start + 1s));
  Registry.update(announcement(6, 1), Start + 2s, true);
  BOOST_TEST(Registry.isUsable(*Registry.find(Id), Start + 2s));
}

BOOST_AUTO_TEST_CASE(forwardedAnnouncementsKeepTheirAge) {
  BackendRegistry Registry;
  Registry.update(announcement(1, 1), Start - 2500ms, false);
  BOOST_TEST(Registry.isUsable(*Registry.find(Id), Start + 400ms));
  BOOST_TEST(!Registry.isUsable(*Registry.find(Id), Start + 600ms));
  // A duplicate by another path does not extend the lease.
  Registry.update(announcement(1, 1), Start, false);
  BOOST_TEST(!Registry.isUsable(*Registry.find(Id), Start + 600ms));
}

BOOST_AUTO_TEST_CASE(expireAllLeasesRequiresNewAnnouncements) {
  BackendRegistry Registry;
  Registry.update(announcement(1, 1), Start, true);
  Registry.expireAllLeases(Start + 1s);
  BOOST_TEST(!Registry.isUsable(*Registry.find(Id), Start + 1s));
  Registry.update(announcement(1, 2), Start + 2s, true);
  BOOST_TEST(Registry.isUsable(*Registry.find(Id), Start + 2s));
}

BOOST_AUTO_TEST_CASE(windowsAreDividedByDemand) {
  const Common::ServiceName Service("s");
  PeerTable Peers = peersOf("e1");
  BOOST_TEST(Peers.share(Service, 10, Start) == 1.0);
  BOOST_TEST(Peers.update(digestOf("e2", 1, 30), Start));
  BOOST_TEST(Peers.share(Service, 10, Start) == 0.25);
  // A delayed duplicate has no effect.
  BOOST_TEST(!Peers.update(digestOf("e2", 1, 0), Start));
  // Stale demand gives equal shares; a dead peer gets none.
  BOOST_TEST(Peers.share(Service, 10, Start + 2s) == 0.5);
  BOOST_TEST(Peers.share(Service, 10, Start + 4s) == 1.0);
}

BOOST_AUTO_TEST_CASE(liveDaemonWithLowestNameIsTheRelay) {
  PeerTable Peers = peersOf("e2");
  BOOST_TEST(Peers.isRelay(Start));
  Peers.update(digestOf("e1", 1, 0), Start);
  BOOST_TEST(!Peers.isRelay(Start + 1s));
  BOOST_TEST(Peers.isRelay(Start + 4s));
}

BOOST_AUTO_TEST_CASE(eachDeadIncarnationIsReportedOnce) {
  PeerTable Peers = peersOf("e2");
  Peers.update(digestOf("e1", 1, 0), Start);
  Summary Remote;
  Remote.LiveDaemons = {{Common::DaemonId("e3"), Common::Incarnation{9}}};
  Peers.update(Remote, Start + 1s);
  BOOST_TEST(Peers.takeNewlyDead(Start + 2s).empty());
  const auto Dead = Peers.takeNewlyDead(Start + 3s);
  BOOST_REQUIRE(Dead.size() == 1u);
  BOOST_TEST(Dead[0].Daemon.str() == "e1");
  const auto Later = Peers.takeNewlyDead(Start + 5s);
  BOOST_REQUIRE(Later.size() == 1u);
  BOOST_TEST(Later[0].Incarnation.Value == 9u);
  BOOST_TEST(Peers.takeNewlyDead(Start + 9s).empty());
}

BOOST_AUTO_TEST_CASE(peerThatNeverSendsIsReportedDead) {
  // It may have failed before this daemon started, with unfinished requests.
  PeerTable Peers = peersOf("e2");
  BOOST_TEST(Peers.takeNewlyDead(Start + 2900ms).empty());
  BOOST_TEST(Peers.takeNewlyDead(Start + 3s).size() == 2u);
  BOOST_TEST(Peers.takeNewlyDead(Start + 6s).empty());
  // Once it has sent a digest, a later failure is reported again.
  Peers.update(digestOf("e1", 1, 0), Start + 7s);
  BOOST_TEST(Peers.takeNewlyDead(Start + 10s).size() == 1u);
}

BOOST_AUTO_TEST_CASE(reclaimNoticeAppliesToLaterAnnouncements) {
  BackendRegistry Registry;
  Registry.update(announcement(0, 1), Start, true);
  BOOST_TEST(Registry.markHostLeaving(Common::HostId("h1"), Start).size() ==
             1u);
  Registry.update(announcement(1, 1), Start + 1s, true);
  BOOST_TEST(!Registry.isUsable(*Registry.find(Id), Start + 1s));
  // A host of that name after the retention time is a new one.
  const auto Later = Start + BackendRegistry::ReclaimRetentionTime + 1s;
  Registry.update(announcement(2, 1), Later, true);
  BOOST_TEST(Registry.isUsable(*Registry.find(Id), Later));
}

BOOST_AUTO_TEST_CASE(invalidAnnouncementsNameTheField) {
  Announcement Good = announcement(1, 1);
  Good.Service = Common::ServiceName("s");
  Good.DataCentre = Common::DataCentreId("east");
  Good.Address = {"10.0.0.1", 80};
  const std::string Json = formatAnnouncement(Good);
  BOOST_REQUIRE(parseAnnouncement(Json).ok());
  struct Case {
    const char *From;
    const char *To;
    const char *ExpectedText;
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
    BOOST_TEST(Parsed.status().message().find(Each.ExpectedText) !=
                   absl::string_view::npos,
               std::string(Parsed.status().message()));
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
