#include "Fleet/FleetPlan.h"

#include <boost/test/unit_test.hpp>

namespace UnitTests {

namespace {

using namespace std::chrono_literals;
using namespace Fleet;

const Common::TimePoint Now{std::chrono::hours(1)};

Pool poolOf(const std::string &Centre, bool Reclaimable = true) {
  return {Common::DataCentreId(Centre), MachineClass("gpu"), Reclaimable};
}

Observation seenWith(std::uint64_t Replicas, std::uint64_t Floor) {
  Observation Seen;
  ServiceNeed Need;
  Need.Service = Common::ServiceName("assistant");
  Need.Model = Common::ModelName("m");
  Need.ModelVersion = "1";
  Need.Replicas = Replicas;
  Need.UrgentFloor = Floor;
  Seen.Needs = {Need};
  for (const char *Centre : {"a", "b", "c", "d"}) {
    Seen.Offers.push_back({poolOf(Centre), 1});
    Seen.Offers.push_back({poolOf(Centre, false), 3});
  }
  return Seen;
}

HeldHost hostOf(const std::string &Name, const std::string &Centre,
                const std::string &Version = "1") {
  HeldHost Host;
  Host.Id = Common::HostId(Name);
  Host.Pool = poolOf(Centre);
  Host.PricePerHour = 1;
  Host.Service = Common::ServiceName("assistant");
  Host.Model = Common::ModelName("m");
  Host.ModelVersion = Version;
  return Host;
}

template <typename T> std::vector<T> only(const Plan &Made) {
  std::vector<T> Result;
  for (const Order &Each : Made.Orders)
    if (const auto *Found = std::get_if<T>(&Each))
      Result.push_back(*Found);
  return Result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(FleetPlanTest)

BOOST_AUTO_TEST_CASE(startsAreSpreadOverDataCentres) {
  const Plan Made = planFleet(seenWith(8, 0), Now);
  std::map<Common::DataCentreId, int> Count;
  for (const StartHost &Each : only<StartHost>(Made)) {
    ++Count[Each.Pool.DataCentre];
    BOOST_TEST(Each.Pool.Reclaimable);
  }
  BOOST_REQUIRE(Count.size() == 4u);
  for (const auto &Each : Count)
    BOOST_TEST(Each.second == 2);
}

BOOST_AUTO_TEST_CASE(planIsStableOnceItIsCarriedOut) {
  Observation Seen = seenWith(4, 3);
  for (const char *Centre : {"a", "b", "c", "d"})
    Seen.Hosts.push_back(hostOf(std::string("h") + Centre, Centre));
  BOOST_TEST(planFleet(Seen, Now).Orders.empty());
}

BOOST_AUTO_TEST_CASE(budgetIsNeverExceeded) {
  Observation Seen = seenWith(8, 4);
  for (double Budget = 0; Budget < 12; Budget += 0.5) {
    Seen.BudgetPerHour = Budget;
    const Plan Made = planFleet(Seen, Now);
    BOOST_TEST(Made.PricePerHour <= Budget);
    BOOST_TEST(only<StartHost>(Made).size() + Made.Missing >= 8u);
  }
}

BOOST_AUTO_TEST_CASE(refusingPoolsAreLeftAlone) {
  Observation Seen = seenWith(4, 0);
  PoolBackoff Backoff;
  for (const char *Centre : {"a", "b", "c"})
    Backoff.refused(poolOf(Centre), Now);
  Seen.BackedOff = Backoff.backedOff(Now);
  for (const StartHost &Each : only<StartHost>(planFleet(Seen, Now)))
    BOOST_TEST(Each.Pool.DataCentre.str() == "d");
  // When no reclaimable host can be had, on-demand ones are.
  Backoff.refused(poolOf("d"), Now);
  Seen.BackedOff = Backoff.backedOff(Now);
  const auto Started = only<StartHost>(planFleet(Seen, Now));
  BOOST_REQUIRE(Started.size() == 4u);
  BOOST_TEST(!Started[0].Pool.Reclaimable);
  // The waits grow and end.
  Backoff.refused(poolOf("a"), Now + 5s);
  BOOST_TEST(Backoff.backedOff(Now + 6s).count(poolOf("a")) == 1u);
  BOOST_TEST(Backoff.backedOff(Now + 6s).count(poolOf("b")) == 0u);
  BOOST_TEST(Backoff.backedOff(Now + 15s).empty());
}

BOOST_AUTO_TEST_CASE(floorOutlivesTheLargestDataCentre) {
  Observation Seen = seenWith(4, 3);
  for (const char *Name : {"h1", "h2", "h3", "h4"})
    Seen.Hosts.push_back(hostOf(Name, "a"));
  // All in one data centre: more are started elsewhere.
  const Plan Made = planFleet(Seen, Now);
  std::size_t Elsewhere = 0;
  for (const StartHost &Each : only<StartHost>(Made))
    Elsewhere += Each.Pool.DataCentre.str() != "a";
  BOOST_TEST(Elsewhere >= 3u);
  BOOST_TEST(only<StopHost>(Made).empty());
}

BOOST_AUTO_TEST_CASE(versionsChangeOneAtATime) {
  Observation Seen = seenWith(3, 0);
  Seen.Needs[0].ModelVersion = "2";
  for (const char *Centre : {"a", "b", "c"})
    Seen.Hosts.push_back(hostOf(std::string("h") + Centre, Centre, "1"));
  BOOST_TEST(only<LoadModel>(planFleet(Seen, Now)).size() == 1u);
  Seen.Hosts[0].Loading = true;
  BOOST_TEST(only<LoadModel>(planFleet(Seen, Now)).empty());
  Seen.Hosts[0].Loading = false;
  Seen.Hosts[0].ModelVersion = "2";
  const auto Next = only<LoadModel>(planFleet(Seen, Now));
  BOOST_REQUIRE(Next.size() == 1u);
  BOOST_TEST(Next[0].Host.str() == "hb");
  BOOST_TEST(Next[0].ModelVersion == "2");
}

BOOST_AUTO_TEST_CASE(leavingHostsAreDrainedAndReplaced) {
  Observation Seen = seenWith(2, 0);
  Seen.Hosts = {hostOf("ha", "a"), hostOf("hb", "b")};
  Seen.Hosts[0].State = HostState::Leaving;
  const Plan Made = planFleet(Seen, Now);
  BOOST_TEST(only<DrainHost>(Made).size() == 1u);
  BOOST_REQUIRE(only<StartHost>(Made).size() == 1u);
  BOOST_TEST(only<StartHost>(Made)[0].Pool.DataCentre.str() != "b");
}

BOOST_AUTO_TEST_CASE(undeclaredServicesAreStopped) {
  Observation Seen = seenWith(1, 0);
  Seen.Hosts = {hostOf("ha", "a")};
  Seen.Needs.clear();
  BOOST_TEST(only<StopHost>(planFleet(Seen, Now)).size() == 1u);
}

BOOST_AUTO_TEST_CASE(dearestSurplusGoesFirst) {
  Observation Seen = seenWith(2, 0);
  Seen.Hosts = {hostOf("ha", "a"), hostOf("hb", "b"), hostOf("hc", "c")};
  Seen.Hosts[1].PricePerHour = 5;
  const auto Stopped = only<StopHost>(planFleet(Seen, Now));
  BOOST_REQUIRE(Stopped.size() == 1u);
  BOOST_TEST(Stopped[0].Host.str() == "hb");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
