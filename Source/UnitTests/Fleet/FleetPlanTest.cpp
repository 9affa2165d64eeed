#include "Fleet/FleetPlan.h"

#include <boost/test/unit_test.hpp>

namespace UnitTests {

namespace {

using namespace std::chrono_literals;
using namespace Fleet;

const Common::TimePoint Now{std::chrono::hours(1)};

Pool makePool(const std::string &DataCentre, bool Reclaimable = true) {
  return {Common::DataCentreId(DataCentre), MachineClass("gpu"), Reclaimable};
}

FleetSnapshot makeSnapshot(std::uint64_t Replicas, std::uint64_t Floor) {
  FleetSnapshot Snapshot;
  ServiceRequirement Requirement;
  Requirement.Service = Common::ServiceName("assistant");
  Requirement.Model = Common::ModelName("m");
  Requirement.ModelVersion = "1";
  Requirement.Replicas = Replicas;
  Requirement.UrgentFloor = Floor;
  Snapshot.Requirements = {Requirement};
  for (const char *DataCentre : {"a", "b", "c", "d"}) {
    Snapshot.Offers.push_back({makePool(DataCentre), 1});
    Snapshot.Offers.push_back({makePool(DataCentre, false), 3});
  }
  return Snapshot;
}

ProvisionedHost makeHost(const std::string &Name, const std::string &DataCentre,
                         const std::string &Version = "1") {
  ProvisionedHost Host;
  Host.Id = Common::HostId(Name);
  Host.Pool = makePool(DataCentre);
  Host.PricePerHour = 1;
  Host.Service = Common::ServiceName("assistant");
  Host.Model = Common::ModelName("m");
  Host.ModelVersion = Version;
  return Host;
}

template <typename T> std::vector<T> actionsOf(const Plan &Planned) {
  std::vector<T> Result;
  for (const Action &Each : Planned.Actions)
    if (const auto *Found = std::get_if<T>(&Each))
      Result.push_back(*Found);
  return Result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(FleetPlanTest)

BOOST_AUTO_TEST_CASE(startsAreSpreadOverDataCentres) {
  const Plan Result = planFleet(makeSnapshot(8, 0), Now);
  std::map<Common::DataCentreId, int> Count;
  for (const StartHost &Each : actionsOf<StartHost>(Result)) {
    ++Count[Each.Pool.DataCentre];
    BOOST_TEST(Each.Pool.Reclaimable);
  }
  BOOST_REQUIRE(Count.size() == 4u);
  for (const auto &Each : Count)
    BOOST_TEST(Each.second == 2);
}

BOOST_AUTO_TEST_CASE(convergedFleetNeedsNoActions) {
  FleetSnapshot Snapshot = makeSnapshot(4, 3);
  for (const char *DataCentre : {"a", "b", "c", "d"})
    Snapshot.Hosts.push_back(
        makeHost(std::string("h") + DataCentre, DataCentre));
  BOOST_TEST(planFleet(Snapshot, Now).Actions.empty());
}

BOOST_AUTO_TEST_CASE(budgetIsNeverExceeded) {
  FleetSnapshot Snapshot = makeSnapshot(8, 4);
  for (double Budget = 0; Budget < 12; Budget += 0.5) {
    Snapshot.BudgetPerHour = Budget;
    const Plan Result = planFleet(Snapshot, Now);
    BOOST_TEST(Result.PricePerHour <= Budget);
    BOOST_TEST(actionsOf<StartHost>(Result).size() + Result.MissingReplicas >=
               8u);
  }
}

BOOST_AUTO_TEST_CASE(poolsInBackoffAreNotUsed) {
  FleetSnapshot Snapshot = makeSnapshot(4, 0);
  PoolBackoff Backoff;
  for (const char *DataCentre : {"a", "b", "c"})
    Backoff.onStartFailed(makePool(DataCentre), Now);
  Snapshot.BackoffUntil = Backoff.activeBackoffs(Now);
  for (const StartHost &Each : actionsOf<StartHost>(planFleet(Snapshot, Now)))
    BOOST_TEST(Each.Pool.DataCentre.str() == "d");
  // While every reclaimable pool is in backoff, on-demand hosts are started.
  Backoff.onStartFailed(makePool("d"), Now);
  Snapshot.BackoffUntil = Backoff.activeBackoffs(Now);
  const auto Started = actionsOf<StartHost>(planFleet(Snapshot, Now));
  BOOST_REQUIRE(Started.size() == 4u);
  BOOST_TEST(!Started[0].Pool.Reclaimable);
  // Repeated failures extend the backoff, and each backoff expires.
  Backoff.onStartFailed(makePool("a"), Now + 5s);
  BOOST_TEST(Backoff.activeBackoffs(Now + 6s).count(makePool("a")) == 1u);
  BOOST_TEST(Backoff.activeBackoffs(Now + 6s).count(makePool("b")) == 0u);
  BOOST_TEST(Backoff.activeBackoffs(Now + 15s).empty());
}

BOOST_AUTO_TEST_CASE(urgentFloorSurvivesTheLossOfTheLargestDataCentre) {
  FleetSnapshot Snapshot = makeSnapshot(4, 3);
  for (const char *Name : {"h1", "h2", "h3", "h4"})
    Snapshot.Hosts.push_back(makeHost(Name, "a"));
  // All hosts are in one data centre: more are started in other ones.
  const Plan Result = planFleet(Snapshot, Now);
  std::size_t Elsewhere = 0;
  for (const StartHost &Each : actionsOf<StartHost>(Result))
    Elsewhere += Each.Pool.DataCentre.str() != "a";
  BOOST_TEST(Elsewhere >= 3u);
  BOOST_TEST(actionsOf<StopHost>(Result).empty());
}

BOOST_AUTO_TEST_CASE(modelVersionsChangeOneHostAtATime) {
  FleetSnapshot Snapshot = makeSnapshot(3, 0);
  Snapshot.Requirements[0].ModelVersion = "2";
  for (const char *DataCentre : {"a", "b", "c"})
    Snapshot.Hosts.push_back(
        makeHost(std::string("h") + DataCentre, DataCentre, "1"));
  BOOST_TEST(actionsOf<LoadModel>(planFleet(Snapshot, Now)).size() == 1u);
  Snapshot.Hosts[0].Loading = true;
  BOOST_TEST(actionsOf<LoadModel>(planFleet(Snapshot, Now)).empty());
  Snapshot.Hosts[0].Loading = false;
  Snapshot.Hosts[0].ModelVersion = "2";
  const auto Next = actionsOf<LoadModel>(planFleet(Snapshot, Now));
  BOOST_REQUIRE(Next.size() == 1u);
  BOOST_TEST(Next[0].Host.str() == "hb");
  BOOST_TEST(Next[0].ModelVersion == "2");
}

BOOST_AUTO_TEST_CASE(leavingHostsAreDrainedAndReplaced) {
  FleetSnapshot Snapshot = makeSnapshot(2, 0);
  Snapshot.Hosts = {makeHost("ha", "a"), makeHost("hb", "b")};
  Snapshot.Hosts[0].State = HostState::Leaving;
  const Plan Result = planFleet(Snapshot, Now);
  BOOST_TEST(actionsOf<DrainHost>(Result).size() == 1u);
  BOOST_REQUIRE(actionsOf<StartHost>(Result).size() == 1u);
  BOOST_TEST(actionsOf<StartHost>(Result)[0].Pool.DataCentre.str() != "b");
}

BOOST_AUTO_TEST_CASE(undeclaredServicesAreStopped) {
  FleetSnapshot Snapshot = makeSnapshot(1, 0);
  Snapshot.Hosts = {makeHost("ha", "a")};
  Snapshot.Requirements.clear();
  BOOST_TEST(actionsOf<StopHost>(planFleet(Snapshot, Now)).size() == 1u);
}

BOOST_AUTO_TEST_CASE(mostExpensiveSurplusHostIsStoppedFirst) {
  FleetSnapshot Snapshot = makeSnapshot(2, 0);
  Snapshot.Hosts = {makeHost("ha", "a"), makeHost("hb", "b"),
                    makeHost("hc", "c")};
  Snapshot.Hosts[1].PricePerHour = 5;
  const auto Stopped = actionsOf<StopHost>(planFleet(Snapshot, Now));
  BOOST_REQUIRE(Stopped.size() == 1u);
  BOOST_TEST(Stopped[0].Host.str() == "hb");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
