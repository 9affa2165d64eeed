#ifndef SYCAMOREREACH_ENTRYDAEMON_GATEWAY_H
#define SYCAMOREREACH_ENTRYDAEMON_GATEWAY_H

#include "EntryDaemon/ControlLink.h"
#include "EntryDaemon/GatewayContext.h"
#include "EntryDaemon/RoutedCall.h"
#include "Network/Http1Server.h"
#include "Telemetry/ResourceReport.h"

#include <memory>
#include <vector>

namespace EntryDaemon {

/// An entry daemon for routed serving: a reverse proxy that forwards callers'
/// requests to backend servers according to the declaration in force.
class Gateway {
public:
  /// Opens the listeners and the control link. ReloadSettings reads the
  /// settings again; it is called on SIGHUP and periodically.
  static absl::StatusOr<std::unique_ptr<Gateway>>
  create(Network::EventLoop &Loop, GatewaySettings Settings,
         std::function<absl::StatusOr<GatewaySettings>()> ReloadSettings);

  /// Runs until SIGTERM or SIGINT and returns the exit code.
  int run();

private:
  Gateway(Network::EventLoop &Loop, GatewaySettings Settings);
  absl::Status listen();
  void openControlLink();
  void handleRequest(const std::shared_ptr<Network::Http1Exchange> &Exchange);
  void
  recordClosedConnection(const Network::Http1Server::ClosedConnection &Closed);
  /// Returns the servers whose records are missing here.
  std::vector<Common::BackendServerId>
  applyRegistryDelta(const State::RegistryDelta &Delta);
  enum class DeclarationOutcome { Installed, NotNewer, Unreadable };
  /// Source names the message that the declaration came with.
  void handleDeclaration(const State::DeclarationPush &Push,
                         const char *Source);
  DeclarationOutcome applyDeclaration(const State::DeclarationPush &Push);
  void fillPoll(State::EntryPoll &Poll);
  /// Whether the newest declaration is to come from the leader, because the
  /// state daemon has neither sent it in time nor is sending it.
  bool needsDeclarationFromLeader() const;
  void applyPollAnswer(const State::EntryPollResponse &Answer,
                       Common::TimePoint PollSentAt);
  void applyTokenDecisions(const State::TokenDecisions &Decided);
  void applyServerLoads(const State::ServerLoads &Totals);
  /// Adds the handlers of reports and of what the leader directs.
  void setReportHandlers(ControlLink::Handlers &Handlers);
  void fillReport(State::EntryReport &Report);
  void applyDirectives(const State::EntryDirectives &Directives,
                       std::optional<Common::TimePoint> PollSentAt);
  void applyServerSpeeds(const State::ServerSpeeds &Speeds);
  void applyServerVersions(const State::ServerVersions &Versions);
  /// Does nothing unless rollouts are enabled.
  void startRolloutTimers();
  void moveStreams();
  void sendTokenRequest();
  /// Requests the tokens of all waiting calls again.
  void repeatTokenRequests();
  bool isReady() const;
  void logReadinessChange();
  void reloadSettings();
  void shutDown();
  void checkShutdown();

  Network::EventLoop &Loop;
  GatewayContext Context;
  std::function<absl::StatusOr<GatewaySettings>()> ReloadSettings;
  std::unique_ptr<Network::Http1Server> RequestServer;
  std::unique_ptr<Network::Http1Server> ReadinessServer;
  std::unique_ptr<Network::Http1Server> MetricsServer;
  std::unique_ptr<ControlLink> Control;
  std::uint32_t EntryCount = 0;
  /// The newest declaration version that a poll answer reported.
  Common::ConfigurationVersion NewestVersion;
  /// Since when answers of the leader name a newer declaration than the one
  /// installed last; nothing if the installed one is the newest.
  std::optional<Common::TimePoint> OutdatedSince;
  /// The version under which the state daemons hold the installed declaration,
  /// or an invalid one that does not replace it. It differs from that of the
  /// document until the group has applied a State::CorrectVersionCommand.
  Common::ConfigurationVersion StoredVersion;
  bool LastReady = false;
  Telemetry::ResourceReport Resources;
  std::vector<Network::EventHandle> EventHandles;
  Network::EventHandle ShutdownTimer;
  /// Whether calls were ended because the process was about to stop.
  bool EndedRequests = false;
  Network::EventHandle TokenRequestTimer;
  bool TokenRequestScheduled = false;
};

} // namespace EntryDaemon

#endif
