#ifndef SYCAMOREREACH_STATEDAEMON_DUTYRUNNER_H
#define SYCAMOREREACH_STATEDAEMON_DUTYRUNNER_H

#include "Configuration/ServiceMap.h"
#include "Fleet/Autoscaler.h"
#include "Membership/ServerRegistry.h"
#include "Network/Http1Client.h"
#include "StateDaemon/ControllerSettings.h"
#include "StateDaemon/EntryDaemonTracker.h"
#include "StateDaemon/ReplicaDriver.h"
#include "Telemetry/Metrics.h"

#include <map>
#include <memory>

namespace Platform {
struct DutyRequest;
}

namespace StateDaemon {

/// Makes the calls that only one daemon may make at a time: usage reports and
/// requests that scale services. Exists while its daemon leads; the fencing
/// number of its calls is the log index at which the leader's term starts.
class DutyRunner {
public:
  struct Dependencies {
    Network::EventLoop &Loop;
    const ControllerSettings &Settings;
    Network::Http1Client &Client;
    ReplicaDriver &Driver;
    const State::ControlState &State;
    const Membership::ServerRegistry &Registry;
    EntryDaemonTracker &Tracker;
    Telemetry::Metrics &Metrics;
  };

  explicit DutyRunner(Dependencies Deps);
  ~DutyRunner();

  void
  setDeclaration(std::shared_ptr<const Configuration::ServiceMap> Declaration) {
    this->Declaration = std::move(Declaration);
  }

private:
  static Fleet::AutoscalerOptions
  autoscalerOptions(const Consensus::Replica &Leader);
  void runDuties();
  /// Whether this daemon leads and the previous holder can make no more calls.
  bool mayRunDuties() const;
  void reportUsage();
  /// Proposes the counts of an ended window, so that every report of it carries
  /// the same ones.
  void proposeUsageCounts(State::UsageWindow Window);
  void sendUsage(State::UsageWindow Window, const State::UsageCounts &Counts);
  void scaleServices();
  /// Calls OnDone with the HTTP status, or with 0 without a complete answer.
  void startCall(const Platform::DutyRequest &Call,
                 std::function<void(int)> OnDone);
  Common::FencingNumber fencingNumber() const;
  /// Takes a token from the rate limit of duty calls; false if there is none.
  bool tryTakeRateToken();

  Dependencies Deps;
  std::shared_ptr<const Configuration::ServiceMap> Declaration;
  /// When each service's rollout was last seen running.
  std::map<Common::ServiceName, Common::TimePoint> RolloutSeenAt;
  Common::TimePoint LeadingSince;
  Fleet::Autoscaler Autoscaler;
  /// Windows whose counts are proposed but not committed yet.
  std::set<State::UsageWindow> ProposedWindows;
  /// When a window that was sent may be sent again.
  std::map<State::UsageWindow, Common::TimePoint> UsageRetryAt;
  /// Windows before this one are left to the previous leader.
  State::UsageWindow FirstWindow;
  /// A call was rejected because of a newer fencing number.
  bool Superseded = false;
  double RateTokens = 0;
  Common::TimePoint RateUpdatedAt;
  /// False after destruction, for handlers of calls that outlive this object.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  Network::EventHandle Timer;
};

} // namespace StateDaemon

#endif
