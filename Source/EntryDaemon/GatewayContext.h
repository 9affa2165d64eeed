#ifndef SYCAMOREREACH_ENTRYDAEMON_GATEWAYCONTEXT_H
#define SYCAMOREREACH_ENTRYDAEMON_GATEWAYCONTEXT_H

#include "Admission/AllowanceAccount.h"
#include "Configuration/ServiceMap.h"
#include "EntryDaemon/CrashingContentTracker.h"
#include "EntryDaemon/GatewaySettings.h"
#include "EntryDaemon/UsageCounter.h"
#include "Fleet/DemandMeter.h"
#include "Network/Http1Client.h"
#include "Routing/RetryShare.h"
#include "Routing/ServerTable.h"
#include "State/ControlProtocol.h"
#include "Telemetry/Metrics.h"

#include <functional>
#include <memory>

namespace EntryDaemon {

class RoutedCall;

/// What the requests of one gateway share.
struct GatewayContext {
  GatewayContext(Network::EventLoop &Loop, GatewaySettings Chosen)
      : Loop(Loop), Settings(std::move(Chosen)), Client(Loop),
        Servers(tableOptions(this->Settings)), Retries(this->Settings.Retries),
        Allowances(this->Settings.Borne), Usage(this->Settings.UsageWindow),
        StartedAt(Loop.now()) {}

  Network::EventLoop &Loop;
  GatewaySettings Settings;
  Network::Http1Client Client;
  Routing::ServerTable Servers;
  Routing::RetryShare Retries;
  Admission::AllowanceAccount Allowances;
  UsageCounter Usage;
  Fleet::DemandMeter Demand;
  /// Tokens that the answers of a route had lately, on average.
  std::map<std::string, double> OutputTokens;
  Telemetry::Metrics Metrics;
  /// Null before the first one arrived.
  std::shared_ptr<const Configuration::ServiceMap> Declared;
  /// When the newest question was asked whose answer confirmed it.
  std::optional<Common::TimePoint> ConfirmedAt;
  CrashingContentTracker Contents;
  /// Requests that wait for tokens of their team.
  std::vector<std::shared_ptr<RoutedCall>> AwaitingTokens;
  /// Requests that came before this daemon had a confirmed declaration.
  std::vector<std::shared_ptr<RoutedCall>> AwaitingDeclaration;
  Common::TimePoint StartedAt;
  std::function<void()> PollSoon;

  /// Whether a first declaration is still to be expected: its way takes less
  /// than an election and two connections.
  bool starting(Common::TimePoint Now) const {
    return !this->ConfirmedAt && Now - this->StartedAt < StartTime;
  }
  /// Whether the declaration may still be obeyed.
  bool trusted(Common::TimePoint Now) const {
    return this->Declared && this->ConfirmedAt &&
           Now - *this->ConfirmedAt < this->Settings.TrustDeclaration;
  }

private:
  static constexpr Common::Duration StartTime = std::chrono::milliseconds(2500);
  static Routing::ServerTableOptions
  tableOptions(const GatewaySettings &Chosen);
};

} // namespace EntryDaemon

#endif
