#ifndef SYCAMOREREACH_ENTRYDAEMON_GATEWAYCONTEXT_H
#define SYCAMOREREACH_ENTRYDAEMON_GATEWAYCONTEXT_H

#include "Admission/AdmissionGate.h"
#include "Admission/GrantHistory.h"
#include "Admission/ShutdownSchedule.h"
#include "Configuration/ServiceMap.h"
#include "EntryDaemon/CrashingContentTracker.h"
#include "EntryDaemon/GatewaySettings.h"
#include "EntryDaemon/PromptCrashReporter.h"
#include "EntryDaemon/RefusalList.h"
#include "EntryDaemon/RolloutControl.h"
#include "EntryDaemon/UsageCounter.h"
#include "Fleet/DemandMeter.h"
#include "Network/Http1Client.h"
#include "Routing/LivenessEvidence.h"
#include "Routing/RetryShare.h"
#include "Routing/ReturnSchedule.h"
#include "Routing/ServerTable.h"
#include "Routing/SpeedMeter.h"
#include "State/ControlProtocol.h"
#include "Telemetry/Metrics.h"

#include <functional>
#include <memory>
#include <set>

namespace EntryDaemon {

class RoutedCall;

/// State shared by all calls of one gateway.
struct GatewayContext {
  GatewayContext(Network::EventLoop &Loop, GatewaySettings InitialSettings)
      : Loop(Loop), Settings(std::move(InitialSettings)), Client(Loop),
        Servers(serverTableOptions(this->Settings)),
        Retries(this->Settings.Retries),
        Grants(this->Settings.Tolerance.Window),
        Usage(this->Settings.UsageWindow),
        Shutdown(shutdownOptions(this->Settings)), Refusals(Loop.now()),
        StartedAt(Loop.now()), Gate(Loop.now()) {}

  Network::EventLoop &Loop;
  GatewaySettings Settings;
  Network::Http1Client Client;
  Routing::ServerTable Servers;
  Routing::SpeedMeter Speeds;
  Routing::RetryShare Retries;
  Routing::ReturnSchedule Returns;
  Admission::GrantHistory Grants;
  UsageCounter Usage;
  Fleet::DemandMeter Demand;
  /// Moving average of the tokens in a streamed response, by route name.
  std::map<std::string, double> MeanOutputTokens;
  Admission::ShutdownSchedule Shutdown;
  /// All calls that have not finished.
  std::set<std::shared_ptr<RoutedCall>> OpenCalls;
  Telemetry::Metrics Metrics;
  /// The declaration in force; null before the first one arrives.
  std::shared_ptr<const Configuration::ServiceMap> Declaration;
  /// When the latest poll was sent whose answer confirmed the declaration.
  std::optional<Common::TimePoint> DeclarationConfirmedAt;
  CrashingContentTracker CrashingContents;
  PromptCrashReporter PromptCrashes;
  Routing::LivenessEvidence Liveness;
  /// Supposed crashes that an answer to this daemon may disprove, with their
  /// times.
  std::vector<std::pair<State::SupposedCrash, Common::TimePoint>>
      SupposedCrashes;
  RefusalList Refusals;
  /// Null unless rollouts are enabled.
  std::unique_ptr<RolloutControl> Rollouts;
  /// Calls that wait for tokens of their team's allowance, by the number of
  /// their need.
  std::map<std::uint64_t, std::shared_ptr<RoutedCall>> CallsAwaitingTokens;
  std::uint64_t LastTokenNeed = 0;
  /// Needs and returned tokens that are not yet sent to the state daemon.
  State::TokenRequest PendingTokens;
  /// Calls that arrived before this daemon had a confirmed declaration.
  std::vector<std::shared_ptr<RoutedCall>> CallsAwaitingDeclaration;
  Common::TimePoint StartedAt;
  Admission::AdmissionGate Gate;
  /// Sends PendingTokens within a millisecond.
  std::function<void()> RequestTokensSoon;

  /// Whether a request should wait for the first confirmed declaration.
  bool startingUp(Common::TimePoint Now) const {
    return !this->DeclarationConfirmedAt &&
           Now - this->StartedAt < StartupPeriod;
  }
  /// Whether the declaration was confirmed recently enough to be applied.
  bool declarationValid(Common::TimePoint Now) const {
    return this->Declaration && this->DeclarationConfirmedAt &&
           Now - *this->DeclarationConfirmedAt <
               this->Settings.DeclarationValidity;
  }

private:
  /// Requests that arrive within this time of the start wait for the first
  /// confirmed declaration. Enough for a leader election and two connection
  /// attempts.
  static constexpr Common::Duration StartupPeriod =
      std::chrono::milliseconds(2500);
  static Routing::ServerTableOptions
  serverTableOptions(const GatewaySettings &Settings);
  static Admission::ShutdownSchedule::Options
  shutdownOptions(const GatewaySettings &Settings) {
    Admission::ShutdownSchedule::Options Result;
    Result.Limit = Settings.ShutdownTime;
    return Result;
  }
};

} // namespace EntryDaemon

#endif
