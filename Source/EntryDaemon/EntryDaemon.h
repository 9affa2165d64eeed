#ifndef SYCAMOREREACH_ENTRYDAEMON_ENTRYDAEMON_H
#define SYCAMOREREACH_ENTRYDAEMON_ENTRYDAEMON_H

#include "EntryDaemon/CallerGate.h"
#include "EntryDaemon/ConfigurationFeed.h"
#include "EntryDaemon/EntryContext.h"
#include "EntryDaemon/EntryViews.h"
#include "EntryDaemon/Gossip.h"
#include "EntryDaemon/JournaledCall.h"
#include "EntryDaemon/Lanes.h"
#include "EntryDaemon/ModelRequest.h"
#include "Network/HttpServer.h"
#include "Operator/OperatorEndpoint.h"

#include <map>
#include <memory>
#include <vector>

namespace EntryDaemon {

/// The entry daemon: callers' HTTP, backend servers' announcements, and the
/// parts that decide what runs where.
class EntryDaemon {
public:
  static absl::StatusOr<std::unique_ptr<EntryDaemon>>
  create(Network::EventLoop &Loop, EntrySettings Settings);

  /// Runs until a signal ends it; the exit code.
  int run();

private:
  using ExchangePtr = std::shared_ptr<Network::HttpExchange>;

  EntryDaemon(Network::EventLoop &Loop, EntrySettings Settings);
  absl::Status listen();

  // HTTP.
  void handle(const ExchangePtr &Exchange);
  void refuse(const ExchangePtr &Exchange, Common::RefusalReason Reason,
              const std::string &Particulars = "");
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

  // Others.
  void configurationChanged();
  /// Takes over now and a few times later: what a dead daemon had sent may
  /// still be under way to the journal.
  void takeOverRepeatedly(const Common::DaemonId &From,
                          Common::Incarnation UpTo);
  void takeOver(const Common::DaemonId &From, Common::Incarnation UpTo);
  void resume(const Journal::TakenOverRequest &Taken);
  void shutDown();
  bool drained() const;

  Network::EventLoop &Loop;
  EntrySettings Settings;
  Telemetry::Metrics Metrics;
  Network::HttpClient HttpClient;
  std::unique_ptr<State::StateClient> StateClient;
  std::unique_ptr<EntryContext> Context;
  std::unique_ptr<Membership::PeerTable> Peers;
  std::unique_ptr<Lanes> Services;
  std::unique_ptr<Gossip> Gossiping;
  std::unique_ptr<ConfigurationFeed> Feed;
  std::unique_ptr<Operator::OperatorEndpoint> Endpoint;
  std::unique_ptr<Network::HttpServer> Server;
  /// Calls whose fate is not in the journal yet.
  std::size_t JournaledCalls = 0;
  bool ShuttingDown = false;
  /// Take-overs that wait for another try.
  std::map<Common::DaemonId, Network::EventHandle> Retries;
  std::vector<Network::EventHandle> LaterTakeOvers;
  std::vector<Network::EventHandle> Handles;
  Network::EventHandle StopTimer;
  Network::EventHandle GraceTimer;
};

} // namespace EntryDaemon

#endif
