#include "Fleet/ReplicaOrders.h"

#include <boost/test/unit_test.hpp>

namespace UnitTests {

namespace {

using namespace Fleet;
using namespace std::chrono_literals;

const Common::ServiceName Models("models");
const std::vector<std::string> Places = {"east", "north", "south", "west"};

/// A cloud that carries orders out after the start time, and takes a data
/// centre's reclaimable servers back.
class Cloud {
public:
  explicit Cloud(bool NewGroup = false) : Orders(optionsOf(NewGroup)) {
    Configuration::ServiceEntry Service;
    Service.Name = Models;
    Configuration::ScalingBounds Bounds;
    Bounds.MinServers = 1;
    Bounds.MaxServers = 6;
    Bounds.StartupTime = 4s;
    Bounds.ReclaimablePriceRatio = 0.2;
    for (const std::string &Each : Places)
      Bounds.Prices[Common::DataCentreId(Each)] = 1;
    Service.Scaling = Bounds;
    Configuration::ServiceMapParts Parts;
    Parts.Services = {Service};
    this->Declared = std::make_unique<Configuration::ServiceMap>(
        *Configuration::ServiceMap::create(Parts));
    for (const std::string &Each : Places)
      this->set({Models, Common::DataCentreId(Each), false}, 3, this->Now);
  }

  void run(Common::Duration For, double Engines) {
    const Common::TimePoint End = this->Now + For;
    for (; this->Now < End; this->Now += 250ms) {
      this->carryOut();
      this->beat();
      for (const ReplicaOrder &Each :
           this->Orders.plan(*this->Declared, this->Registry,
                             {{Models, Engines}}, this->Now)) {
        const bool None = Each.Pool.Reclaimable && this->Now < this->DryUntil &&
                          Each.Servers > this->count(Each.Pool);
        if (None) {
          this->Orders.refused(Each, this->Now);
          continue;
        }
        this->Orders.accepted(Each, this->Now);
        this->Pending.push_back({this->Now + 4s, Each});
      }
      this->Least = std::min(this->Least, this->total());
    }
  }
  void reclaim(const std::string &Place, Common::Duration Dry) {
    this->DryUntil = this->Now + Dry;
    this->set({Models, Common::DataCentreId(Place), true}, 0, this->Now);
    this->Least = this->total();
  }
  std::uint32_t total() const {
    std::uint32_t Sum = 0;
    for (const auto &Each : this->Held)
      Sum += Each.second;
    return Sum;
  }
  std::uint32_t ordinary() const {
    std::uint32_t Sum = 0;
    for (const auto &Each : this->Held)
      Sum += Each.first.Reclaimable ? 0 : Each.second;
    return Sum;
  }
  std::uint32_t Least = 100;

private:
  static ReplicaOrdersOptions optionsOf(bool NewGroup) {
    ReplicaOrdersOptions Result;
    Result.NewGroup = NewGroup;
    return Result;
  }
  struct Start {
    Common::TimePoint At;
    ReplicaOrder Order;
  };
  std::uint32_t count(const ServerPoolKey &Key) const {
    const auto Found = this->Held.find(Key);
    return Found == this->Held.end() ? 0 : Found->second;
  }
  void carryOut() {
    std::erase_if(this->Pending, [this](const Start &Each) {
      const bool Fewer = Each.Order.Servers < this->count(Each.Order.Pool);
      if (!Fewer && this->Now < Each.At)
        return false;
      this->set(Each.Order.Pool, Each.Order.Servers, this->Now);
      return true;
    });
  }
  void set(const ServerPoolKey &Key, std::uint32_t Count,
           Common::TimePoint At) {
    this->Held[Key] = Count;
    for (std::uint32_t I = 0; I < 8; ++I)
      this->say(Key, I,
                I < Count ? Membership::ServerPhase::Serving
                          : Membership::ServerPhase::Gone,
                At);
  }
  void say(const ServerPoolKey &Key, std::uint32_t Number,
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
    // Each change is a new life here.
    Record.StartedAt = ++this->Clock;
    Record.Sequence = 1;
    this->Registry.update(Record, At);
  }
  void beat() {
    for (const auto &[Key, Count] : this->Held)
      for (std::uint32_t I = 0; I < Count; ++I)
        this->say(Key, I, Membership::ServerPhase::Serving, this->Now);
  }

  Common::TimePoint Now{1000s};
  Common::TimePoint DryUntil;
  std::uint64_t Clock = 0;
  std::unique_ptr<Configuration::ServiceMap> Declared;
  Membership::ServerRegistry Registry;
  ReplicaOrders Orders;
  std::map<ServerPoolKey, std::uint32_t> Held;
  std::vector<Start> Pending;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ReplicaOrders_)

// Pattern: a calm day.
BOOST_AUTO_TEST_CASE(ReclaimableServersTakeOverFromOrdinaryOnes) {
  Cloud Of;
  Of.run(30s, 4);
  BOOST_TEST(Of.ordinary() == 0u);
  BOOST_TEST(Of.total() >= 8u);
  // Never fewer than the load needs while they take over.
  BOOST_TEST(Of.Least >= 5u);
}

// Pattern: a new installation before its first caller.
BOOST_AUTO_TEST_CASE(ANewGroupGivesUpItsOrdinarySurplusAtOnce) {
  Cloud Of(true);
  Of.run(500ms, 0);
  BOOST_TEST(Of.ordinary() <= 4u);
  // The start time of the reclaimable ones, and a second to see them.
  Of.run(4500ms, 0);
  BOOST_TEST(Of.ordinary() == 0u);
  BOOST_TEST(Of.total() >= 8u);
  // Never fewer than are held without any demand.
  BOOST_TEST(Of.Least >= 4u);
}

// Pattern: as above, and a caller comes while the reclaimable ones start.
BOOST_AUTO_TEST_CASE(ANewGroupThatIsAskedKeepsItsSurplusForAWhile) {
  Cloud Of(true);
  Of.run(2s, 2.5);
  BOOST_TEST(Of.ordinary() == 12u);
}

// Pattern: reclaims in a wave while none can be had anew.
BOOST_AUTO_TEST_CASE(AWaveOfReclaimsLeavesWhatTheLoadNeeds) {
  Cloud Of;
  Of.run(30s, 4);
  for (const char *Place : {"east", "west", "north"}) {
    Of.reclaim(Place, 14s);
    Of.run(6s, 4);
    BOOST_TEST(Of.total() >= 4u);
  }
  // Ordinary servers go once the others are back.
  Of.run(40s, 4);
  BOOST_TEST(Of.ordinary() == 0u);
}

// Pattern: as above, under a load for which every reclaimable server that the
// limits allow is ordered.
BOOST_AUTO_TEST_CASE(ReclaimableServersThatDoNotComeTakeNoPlace) {
  Cloud Of;
  Of.run(30s, 6);
  BOOST_TEST(Of.ordinary() == 0u);
  for (const char *Place : {"east", "west", "north", "south"}) {
    Of.reclaim(Place, 20s);
    // The start time of ordinary servers, and a second to order them.
    Of.run(5s, 6);
    BOOST_TEST(Of.total() >= 6u);
  }
  Of.run(40s, 6);
  BOOST_TEST(Of.ordinary() == 0u);
}

BOOST_AUTO_TEST_CASE(LimitsHoldForBothKindsTogether) {
  Cloud Of;
  Of.run(60s, 500);
  BOOST_TEST(Of.total() <= 24u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
