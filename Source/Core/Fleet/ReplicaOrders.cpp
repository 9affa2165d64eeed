#include "Fleet/ReplicaOrders.h"

namespace Fleet {

std::vector<ReplicaOrder> ReplicaOrders::plan(
    const Configuration::ServiceMap &, const Membership::ServerRegistry &,
    const std::map<Common::ServiceName, double> &, Common::TimePoint) {
  return {};
}

void ReplicaOrders::accepted(const ReplicaOrder &Order, Common::TimePoint Now) {
  Pool &Of = this->Pools[Order.Pool];
  Of.InFlight = false;
  Of.Ordered = Order.Servers;
  Of.OrderedAt = Now;
}

void ReplicaOrders::refused(const ReplicaOrder &Order, Common::TimePoint Now) {
  Pool &Of = this->Pools[Order.Pool];
  Of.InFlight = false;
  Of.RefusedUntil = Now + std::chrono::seconds(2);
}

void ReplicaOrders::lost(const ReplicaOrder &Order, Common::TimePoint) {
  Pool &Of = this->Pools[Order.Pool];
  Of.InFlight = false;
  Of.Ordered.reset();
}

} // namespace Fleet
