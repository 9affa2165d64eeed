#include "Fleet/Autoscaler.h"

#include <boost/test/unit_test.hpp>

namespace UnitTests {

namespace {

using namespace Fleet;
using namespace std::chrono_literals;

const Common::ServiceName Models("models");
const std::vector<std::string> DataCentres = {"east", "north", "south", "west"};

/// Simulates a cloud that adds servers after the start time, removes them
/// immediately, and can reclaim a data centre's reclaimable servers.
class SimulatedCloud {
public:
  explicit SimulatedCloud(bool NewCluster = false)
      : Scaler(makeOptions(NewCluster)) {
    Configuration::ServiceEntry Service;
    Service.Name = Models;
    Configuration::ScalingBounds Bounds;
    Bounds.MinServers = 1;
    Bounds.MaxServers = 6;
    Bounds.StartupTime = 4s;
    Bounds.ReclaimablePriceRatio = 0.2;
    for (const std::string &Each : DataCentres)
      Bounds.Prices[Common::DataCentreId(Each)] = 1;
    Service.Scaling = Bounds;
    Configuration::ServiceMapParts Parts;
    Parts.Services = {Service};
    this->Services = std::make_unique<Configuration::ServiceMap>(
        *Configuration::ServiceMap::create(Parts));
    for (const std::string &Each : DataCentres)
      this->set({Models, Common::DataCentreId(Each), false}, 3, this->Now);
  }

  void run(Common::Duration Duration, double Engines) {
    const Common::TimePoint End = this->Now + Duration;
    for (; this->Now < End; this->Now += 250ms) {
      this->executePending();
      this->sendHeartbeats();
      for (const ScalingAction &Each :
           this->Scaler.plan(*this->Services, this->Registry,
                             {{Models, Engines}}, this->Now)) {
        const bool Unavailable = Each.Pool.Reclaimable &&
                                 this->Now < this->ExhaustedUntil &&
                                 Each.Servers > this->count(Each.Pool);
        if (Unavailable) {
          this->Scaler.onRefused(Each, this->Now);
          continue;
        }
        this->Scaler.onAccepted(Each, this->Now);
        this->Pending.push_back(
            {this->Now + (Each.Pool.Reclaimable ? this->ReclaimableStartTime
                                                : Common::Duration(4s)),
             Each});
      }
      this->MinTotal = std::min(this->MinTotal, this->total());
    }
  }
  void reclaim(const std::string &DataCentre, Common::Duration ExhaustedFor) {
    this->ExhaustedUntil = this->Now + ExhaustedFor;
    this->set({Models, Common::DataCentreId(DataCentre), true}, 0, this->Now);
    this->MinTotal = this->total();
  }
  std::uint32_t total() const {
    std::uint32_t Sum = 0;
    for (const auto &Each : this->Servers)
      Sum += Each.second;
    return Sum;
  }
  std::uint32_t onDemand() const {
    std::uint32_t Sum = 0;
    for (const auto &Each : this->Servers)
      Sum += Each.first.Reclaimable ? 0 : Each.second;
    return Sum;
  }
  std::uint32_t MinTotal = 100;
  Common::Duration ReclaimableStartTime = 4s;

private:
  static AutoscalerOptions makeOptions(bool NewCluster) {
    AutoscalerOptions Result;
    Result.NewCluster = NewCluster;
    return Result;
  }
  struct PendingAction {
    Common::TimePoint EffectiveAt;
    ScalingAction Action;
  };
  std::uint32_t count(const ServerPoolKey &Key) const {
    const auto Found = this->Servers.find(Key);
    return Found == this->Servers.end() ? 0 : Found->second;
  }
  void executePending() {
    std::erase_if(this->Pending, [this](const PendingAction &Each) {
      const bool IsScaleIn =
          Each.Action.Servers < this->count(Each.Action.Pool);
      if (!IsScaleIn && this->Now < Each.EffectiveAt)
        return false;
      this->set(Each.Action.Pool, Each.Action.Servers, this->Now);
      return true;
    });
  }
  void set(const ServerPoolKey &Key, std::uint32_t Count,
           Common::TimePoint At) {
    this->Servers[Key] = Count;
    for (std::uint32_t I = 0; I < 8; ++I)
      this->announce(Key, I,
                     I < Count ? Membership::ServerPhase::Serving
                               : Membership::ServerPhase::Gone,
                     At);
  }
  void announce(const ServerPoolKey &Key, std::uint32_t Number,
                Membership::ServerPhase Phase, Common::TimePoint At) {
    Membership::ServerRecord Record;
    const std::string Name = Key.DataCentre.str() +
                             (Key.Reclaimable ? "-r" : "-o") +
                             std::to_string(Number);
    Record.Id = Common::BackendServerId(Name);
    Record.Service = Models;
    Record.Address = {Name, 1};
    Record.DataCentre = Key.DataCentre;
    Record.Reclaimable = Key.Reclaimable;
    Record.Phase = Phase;
    // Each announcement is a new incarnation.
    Record.StartedAt = ++this->LastIncarnation;
    Record.Sequence = 1;
    this->Registry.update(Record, At);
  }
  void sendHeartbeats() {
    for (const auto &[Key, Count] : this->Servers)
      for (std::uint32_t I = 0; I < Count; ++I)
        this->announce(Key, I, Membership::ServerPhase::Serving, this->Now);
  }

  Common::TimePoint Now{1000s};
  Common::TimePoint ExhaustedUntil;
  std::uint64_t LastIncarnation = 0;
  std::unique_ptr<Configuration::ServiceMap> Services;
  Membership::ServerRegistry Registry;
  Autoscaler Scaler;
  std::map<ServerPoolKey, std::uint32_t> Servers;
  std::vector<PendingAction> Pending;
};

} // namespace

BOOST_AUTO_TEST_SUITE(AutoscalerTest)

// Guards against too little capacity while reclaimable servers replace the
// on-demand ones under a constant load.
BOOST_AUTO_TEST_CASE(ReclaimableServersReplaceOnDemandServers) {
  SimulatedCloud Cloud;
  Cloud.run(30s, 4);
  BOOST_TEST(Cloud.onDemand() == 0u);
  BOOST_TEST(Cloud.total() >= 8u);
  // The load was covered throughout the replacement.
  BOOST_TEST(Cloud.MinTotal >= 5u);
}

// A new installation without callers must not keep paying for on-demand
// servers, once all of them had the time to announce themselves.
BOOST_AUTO_TEST_CASE(NewClusterRemovesItsOnDemandSurplusImmediately) {
  SimulatedCloud Cloud(true);
  Cloud.run(AutoscalerOptions().SettleTime, 0);
  BOOST_TEST(Cloud.onDemand() == 12u);
  Cloud.run(500ms, 0);
  BOOST_TEST(Cloud.onDemand() <= 4u);
  // The start time of the reclaimable servers, and 1 s until they are counted.
  Cloud.run(4500ms, 0);
  BOOST_TEST(Cloud.onDemand() == 0u);
  BOOST_TEST(Cloud.total() >= 8u);
  // AutoscalerOptions::MinSurvivingEngines were provisioned throughout.
  BOOST_TEST(Cloud.MinTotal >= 4u);
}

// Guards against scaling in a new installation whose first caller arrives
// while the reclaimable servers are starting.
BOOST_AUTO_TEST_CASE(NewClusterWithDemandKeepsItsSurplusForTheScaleInDelay) {
  SimulatedCloud Cloud(true);
  Cloud.run(2s, 2.5);
  BOOST_TEST(Cloud.onDemand() == 12u);
}

// Callers arrive long after a new installation was started. It must still have
// as many servers as the operator gave it (tuul-hinge-grown: 18 of 140 were
// left when the first callers came).
BOOST_AUTO_TEST_CASE(NewClusterKeepsItsCapacityUntilCallersArrive) {
  SimulatedCloud Cloud(true);
  Cloud.run(AutoscalerOptions().SettleTime + 10s, 0);
  BOOST_TEST(Cloud.total() >= 12u);
  Cloud.run(30s, 0);
  BOOST_TEST(Cloud.total() >= 12u);
  BOOST_TEST(Cloud.onDemand() == 0u);
}

// The cloud accepts requests for reclaimable servers but starts them late. The
// on-demand servers must not be removed before (tuul-hinge-grown, scale-2: 290
// were removed at once, and six seconds without servers followed).
BOOST_AUTO_TEST_CASE(OnDemandServersStayUntilReclaimableOnesServe) {
  SimulatedCloud Cloud;
  Cloud.ReclaimableStartTime = 15s;
  Cloud.run(14s, 4);
  BOOST_TEST(Cloud.MinTotal >= 5u);
  Cloud.run(30s, 4);
  BOOST_TEST(Cloud.MinTotal >= 5u);
  BOOST_TEST(Cloud.onDemand() == 0u);
}

// The cloud reclaims the servers of one data centre after another and has no
// reclaimable servers to replace them.
BOOST_AUTO_TEST_CASE(LoadIsCoveredDuringAWaveOfReclaims) {
  SimulatedCloud Cloud;
  Cloud.run(30s, 4);
  for (const char *DataCentre : {"east", "west", "north"}) {
    Cloud.reclaim(DataCentre, 14s);
    Cloud.run(6s, 4);
    BOOST_TEST(Cloud.total() >= 4u);
  }
  // On-demand servers are removed once reclaimable ones are available again.
  Cloud.run(40s, 4);
  BOOST_TEST(Cloud.onDemand() == 0u);
}

// As above, under a load that requests every reclaimable server that the limits
// allow. Reclaimable servers that the cloud refused must not use up the limit
// that the on-demand servers need.
BOOST_AUTO_TEST_CASE(ReclaimableServersThatWereRefusedReserveNoCapacity) {
  SimulatedCloud Cloud;
  Cloud.run(30s, 6);
  BOOST_TEST(Cloud.onDemand() == 0u);
  for (const char *DataCentre : {"east", "west", "north", "south"}) {
    Cloud.reclaim(DataCentre, 20s);
    // The start time of on-demand servers, and 1 s to request them.
    Cloud.run(5s, 6);
    BOOST_TEST(Cloud.total() >= 6u);
  }
  Cloud.run(40s, 6);
  BOOST_TEST(Cloud.onDemand() == 0u);
}

BOOST_AUTO_TEST_CASE(LimitsApplyToReclaimableAndOnDemandServersTogether) {
  SimulatedCloud Cloud;
  Cloud.run(60s, 500);
  BOOST_TEST(Cloud.total() <= 24u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
