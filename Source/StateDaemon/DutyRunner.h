#ifndef SYCAMOREREACH_STATEDAEMON_DUTYRUNNER_H
#define SYCAMOREREACH_STATEDAEMON_DUTYRUNNER_H

#include "Configuration/ServiceMap.h"
#include "Fleet/ReplicaOrders.h"
#include "Membership/ServerRegistry.h"
#include "Network/Http1Client.h"
#include "StateDaemon/ControllerSettings.h"
#include "StateDaemon/EntryLedger.h"
#include "StateDaemon/ReplicaHost.h"
#include "Telemetry/Metrics.h"

#include <map>
#include <memory>

namespace Platform {
struct DutyRequest;
}

namespace StateDaemon {

/// The calls that only one daemon makes at a time: usage reports and orders
/// for servers. It exists while its daemon leads; its fencing number is the
/// place of the leader's term in the log.
class DutyRunner {
public:
  struct Parts {
    Network::EventLoop &Loop;
    const ControllerSettings &Settings;
    Network::Http1Client &Client;
    ReplicaHost &Host;
    const State::ControlState &State;
    const Membership::ServerRegistry &Registry;
    EntryLedger &Ledger;
    Telemetry::Metrics &Metrics;
  };

  explicit DutyRunner(Parts Held);
  ~DutyRunner();

  void declared(std::shared_ptr<const Configuration::ServiceMap> Declared) {
    this->Declared = std::move(Declared);
  }

private:
  static Fleet::ReplicaOrdersOptions
  orderOptions(const Consensus::Replica &Leader);
  void act();
  /// Leads, and the last holder's turn is over for good.
  bool mayAct() const;
  void reportUsage();
  void fixWindow(State::UsageWindow Window);
  void sendUsage(State::UsageWindow Window, const State::UsageCounts &Counts);
  void orderServers();
  void call(const Platform::DutyRequest &Made, std::function<void(int)> Done);
  Common::FencingNumber fencing() const;
  bool takeRate();

  Parts Held;
  std::shared_ptr<const Configuration::ServiceMap> Declared;
  Common::TimePoint LeadingSince;
  Fleet::ReplicaOrders Orders;
  std::set<State::UsageWindow> Fixing;
  /// Calls under way and when they may be made again.
  std::map<State::UsageWindow, Common::TimePoint> UsageRetryAt;
  State::UsageWindow FirstWindow;
  bool Superseded = false;
  double RateTokens = 0;
  Common::TimePoint RatedAt;
  /// Ends the handlers of calls that outlive this object.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  Network::EventHandle Timer;
};

} // namespace StateDaemon

#endif
