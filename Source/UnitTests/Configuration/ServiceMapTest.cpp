#include "Configuration/ServiceMap.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <set>

namespace UnitTests {

namespace {

using namespace Configuration;

Route routeAt(const std::string &Host, const std::string &Prefix) {
  Route Result;
  Result.Name = Host + Prefix;
  Result.HostHeader = Host;
  Result.PathPrefix = Prefix;
  Result.Timeout = std::chrono::seconds(1);
  Result.Services = {{Common::ServiceName("shop"), 1}};
  return Result;
}

ServiceMapParts validParts() {
  ServiceMapParts Parts;
  Parts.Version = Common::ConfigurationVersion{3};
  Parts.Services.push_back({Common::ServiceName("shop"), "", 0, {}, {}});
  Parts.Routes = {routeAt("a", "/"), routeAt("a", "/x/"),
                  routeAt("a", "/x/y/")};
  Team Mill;
  Mill.Name = TeamName("mill");
  Mill.Keys = {"k1", "k2"};
  Parts.Teams = {Mill};
  return Parts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ServiceMap_)

BOOST_AUTO_TEST_CASE(TheLongestPrefixOfTheHostWins) {
  const auto Map = ServiceMap::create(validParts());
  BOOST_REQUIRE(Map.ok());
  const auto PrefixOf = [&Map](const char *Host, const char *Path) {
    const Route *Found = Map->route(Host, Path);
    return Found ? Found->PathPrefix : std::string("none");
  };
  BOOST_TEST(PrefixOf("a", "/x/y/z") == "/x/y/");
  BOOST_TEST(PrefixOf("a", "/x/yy") == "/x/");
  BOOST_TEST(PrefixOf("a", "/x") == "/");
  BOOST_TEST(PrefixOf("a", "/") == "/");
  BOOST_TEST(PrefixOf("b", "/x/") == "none");
  BOOST_TEST(PrefixOf("a", "") == "none");
}

BOOST_AUTO_TEST_CASE(KeysIdentifyTheirTeam) {
  const auto Map = ServiceMap::create(validParts());
  BOOST_REQUIRE(Map.ok());
  BOOST_TEST(Map->findTeamByKey("k2")->Name.str() == "mill");
  BOOST_TEST(Map->findTeamByKey("k3") == nullptr);
  BOOST_TEST(Map->findTeamByKey("") == nullptr);
}

// Without its last team, a configuration admitted requests with any key.
BOOST_AUTO_TEST_CASE(KeysAreRequiredWithoutTeams) {
  ServiceMapParts Parts = validParts();
  Parts.Teams.clear();
  BOOST_TEST(!ServiceMap::create(Parts)->requiresKeys());
  Parts.KeysRequired = true;
  const auto Map = ServiceMap::create(Parts);
  BOOST_REQUIRE(Map.ok());
  BOOST_TEST(Map->requiresKeys());
  BOOST_TEST(Map->findTeamByKey("k1") == nullptr);
}

// A request without a key must not pass for a team whose key is empty.
BOOST_AUTO_TEST_CASE(AnEmptyKeyIdentifiesNoTeam) {
  ServiceMapParts Parts = validParts();
  Parts.Teams.front().Keys.push_back("");
  const auto Map = ServiceMap::create(Parts);
  BOOST_REQUIRE(Map.ok());
  BOOST_TEST(Map->findTeamByKey("") == nullptr);
  BOOST_TEST(Map->findTeamByKey("k1") != nullptr);
}

BOOST_AUTO_TEST_CASE(InvalidDeclarationsNameTheirError) {
  struct Row {
    const char *Description;
    std::function<void(ServiceMapParts &)> Invalidate;
    const char *ExpectedText;
  };
  const std::vector<Row> Rows = {
      {"an unknown service",
       [](ServiceMapParts &P) {
         P.Routes[0].Services[0].Service = Common::ServiceName("none");
       },
       "unknown service"},
      {"two routes with the same host and prefix",
       [](ServiceMapParts &P) { P.Routes.push_back(P.Routes[1]); },
       "another route"},
      {"weights that add up to 0",
       [](ServiceMapParts &P) { P.Routes[0].Services[0].Weight = 0; },
       "weight"},
      {"a time-out of 0", [](ServiceMapParts &P) { P.Routes[0].Timeout = {}; },
       "time-out"},
      {"a key of two teams",
       [](ServiceMapParts &P) {
         P.Teams.push_back(P.Teams[0]);
         P.Teams[1].Name = TeamName("yard");
       },
       "shares a key"},
      {"a prefix without its slashes",
       [](ServiceMapParts &P) { P.Routes[1].PathPrefix = "/x"; }, "'/'"},
      {"a service that is declared twice",
       [](ServiceMapParts &P) { P.Services.push_back(P.Services[0]); },
       "twice"}};
  for (const Row &Each : Rows) {
    ServiceMapParts Parts = validParts();
    Each.Invalidate(Parts);
    const auto Map = ServiceMap::create(std::move(Parts));
    BOOST_TEST_CONTEXT(Each.Description) {
      BOOST_REQUIRE(!Map.ok());
      BOOST_TEST(std::string(Map.status().message()).find(Each.ExpectedText) !=
                 std::string::npos);
    }
  }
}

// Team priorities take precedence; route priorities break ties.
BOOST_AUTO_TEST_CASE(RanksOrderByTeamThenRoute) {
  ServiceMapParts Parts = validParts();
  Parts.Routes[0].Priority = 0;
  Parts.Routes[1].Priority = 2;
  Parts.Routes[2].Priority = 7;
  Team Grave = Parts.Teams.front();
  Grave.Name = TeamName("grave");
  Grave.Keys = {"k3"};
  Grave.Priority = 1;
  Parts.Teams.push_back(Grave);
  const auto Map = ServiceMap::create(Parts);
  BOOST_REQUIRE(Map.ok());
  const Team *Plain = Map->team(TeamName("mill"));
  const Team *Own = Map->team(TeamName("grave"));
  const auto Rank = [&Map](std::size_t Route, const Team *Sender) {
    return Map->rank(Map->routes()[Route], Sender);
  };
  const std::vector<std::uint32_t> InOrder = {Rank(0, Plain), Rank(0, Own),
                                              Rank(1, Own),   Rank(2, Own),
                                              Rank(1, Plain), Rank(2, Plain)};
  BOOST_TEST(InOrder.front() == 0u);
  BOOST_TEST(std::is_sorted(InOrder.begin(), InOrder.end()));
  BOOST_TEST((std::set<std::uint32_t>(InOrder.begin(), InOrder.end()).size()) ==
             InOrder.size());
  BOOST_TEST(Rank(0, nullptr) == Rank(0, Plain));
  BOOST_TEST(InOrder.back() < ServiceMap::RankCount);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
