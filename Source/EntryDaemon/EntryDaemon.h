#ifndef SYCAMOREREACH_ENTRYDAEMON_ENTRYDAEMON_H
#define SYCAMOREREACH_ENTRYDAEMON_ENTRYDAEMON_H

#include "EntryDaemon/CallerGate.h"
#include "EntryDaemon/ConfigurationSync.h"
#include "EntryDaemon/EntryContext.h"
#include "EntryDaemon/EntryViews.h"
#include "EntryDaemon/Gossip.h"
#include "EntryDaemon/JournaledCall.h"
#include "EntryDaemon/ModelRequest.h"
#include "EntryDaemon/ServiceDispatchers.h"
#include "Network/HttpServer.h"
#include "Operator/OperatorEndpoint.h"

#include <map>
#include <memory>
#include <vector>

namespace EntryDaemon {

/// The entry daemon. It serves the HTTP requests of callers and operators,
/// receives the announcements of backend servers, and dispatches requests to
/// them.
class EntryDaemon {
public:
  /// Starts all components and binds their ports. Returns an error if an
  /// address cannot be bound.
  static absl::StatusOr<std::unique_ptr<EntryDaemon>>
  create(Network::EventLoop &Loop, EntrySettings Settings);

  /// Runs until SIGTERM or SIGINT and returns the exit code.
  int run();

private:
  using ExchangePtr = std::shared_ptr<Network::HttpExchange>;

  EntryDaemon(Network::EventLoop &Loop, EntrySettings Settings);
  /// Creates all components and binds their ports.
  absl::Status createComponents();

  // HTTP handlers.
  void handle(const ExchangePtr &Exchange);
  void refuse(const ExchangePtr &Exchange, Common::RefusalReason Reason,
              const std::string &Detail = "");
  void refuse(const ExchangePtr &Exchange, const Common::Refusal &Refusal);
  void handleHealth(const ExchangePtr &Exchange);
  void handleReady(const ExchangePtr &Exchange);
  void handleMetrics(const ExchangePtr &Exchange);
  void handleOperator(const ExchangePtr &Exchange);
  void handleAnnounce(const ExchangePtr &Exchange);
  void handleReclaim(const ExchangePtr &Exchange);
  void handleBackends(const ExchangePtr &Exchange);
  void handleChat(const ExchangePtr &Exchange);
  void handleCompletions(const ExchangePtr &Exchange);
  void handleModels(const ExchangePtr &Exchange);
  void handleModel(const ExchangePtr &Exchange, ModelApi Api);
  void handleService(const ExchangePtr &Exchange);
  void handleRequestState(const ExchangePtr &Exchange);
  void startJournaled(const ExchangePtr &Exchange, PlainRequest Request);
  void replyRequestState(const ExchangePtr &Exchange,
                         const Journal::RequestView &View);

  void configurationChanged();
  /// Takes over the requests of a failed daemon up to LastIncarnation, now and
  /// several times later, since commands that it sent may still reach the
  /// journal.
  void takeOverRepeatedly(const Common::DaemonId &From,
                          Common::Incarnation LastIncarnation);
  void takeOver(const Common::DaemonId &From,
                Common::Incarnation LastIncarnation);
  /// Runs a request that was taken over.
  void resume(const Journal::TakenOverRequest &TakenOver);
  void shutDown();
  void checkShutdown();
  /// Whether all HTTP exchanges and journaled calls have ended.
  bool drained() const;

  Network::EventLoop &Loop;
  EntrySettings Settings;
  Telemetry::Metrics Metrics;
  Network::HttpClient HttpClient;
  std::unique_ptr<State::StateClient> StateClient;
  std::unique_ptr<EntryContext> Context;
  std::unique_ptr<Membership::PeerTable> Peers;
  std::unique_ptr<ServiceDispatchers> Dispatchers;
  std::unique_ptr<Gossip> PeerGossip;
  std::unique_ptr<ConfigurationSync> ConfigSync;
  std::unique_ptr<Operator::OperatorEndpoint> Endpoint;
  std::unique_ptr<Network::HttpServer> Server;
  /// Number of JournaledCall objects of this daemon that have not finished.
  std::size_t OpenJournaledCalls = 0;
  bool ShuttingDown = false;
  Common::TimePoint ShutdownStartedAt;
  /// Whether the listener has closed, after which no request is taken.
  bool ListenerClosed = false;
  /// Whether the requests that cannot end in time have been answered.
  bool Interrupted = false;
  /// Timers that retry a failed take-over, by the daemon whose requests are
  /// taken over.
  std::map<Common::DaemonId, Network::EventHandle> FailedTakeOverTimers;
  /// Timers of the later take-overs that takeOverRepeatedly() schedules.
  std::vector<Network::EventHandle> ScheduledTakeOverTimers;
  std::vector<Network::EventHandle> EventHandles;
  Network::EventHandle ShutdownTimer;
};

} // namespace EntryDaemon

#endif
