#ifndef SYCAMOREREACH_STATEDAEMON_STATEDAEMON_H
#define SYCAMOREREACH_STATEDAEMON_STATEDAEMON_H

#include "Consensus/Replica.h"
#include "Network/EventLoop.h"
#include "Network/FrameSocket.h"
#include "Network/HttpServer.h"
#include "Operator/OperatorEndpoint.h"
#include "State/Lease.h"
#include "State/Protocol.h"
#include "State/StateClient.h"
#include "State/StateMachine.h"
#include "StateDaemon/StateSettings.h"
#include "Storage/DataFolder.h"
#include "Telemetry/Metrics.h"

#include <map>
#include <memory>
#include <optional>
#include <set>

namespace StateDaemon {

/// The state daemon of `sycamore-state run`: connects one consensus replica and
/// its state machine to the network and the disk.
class StateDaemon {
public:
  static absl::StatusOr<std::unique_ptr<StateDaemon>>
  create(Network::EventLoop &Loop, StateSettings Settings);

  /// Runs until SIGTERM, SIGINT or a disk failure; returns the exit code.
  int run();

private:
  /// The request that is answered once its log entry is applied.
  struct Proposal {
    Consensus::Term Term;
    Network::ConnectionId Connection;
    State::Correlation Correlation;
  };

  StateDaemon(Network::EventLoop &Loop, StateSettings Settings,
              Storage::DataFolder Folder, Consensus::Replica Replica,
              State::StateMachine Machine);
  absl::Status listen();

  // Consensus replica.
  void scheduleFlush();
  void flush();
  bool executeActions(Consensus::Actions &Actions);
  void apply(const Consensus::LogEntry &Entry);
  void send(const std::vector<Consensus::Message> &Messages);
  void updateLeadership();
  void failProposals();
  void syncLinks();
  void compactIfLarge();
  void stopOnStorageFailure(const absl::Status &Failure);

  // Requests from other daemons.
  void handleFrame(Network::ConnectionId From, const std::string &Payload);
  void handleRequest(Network::ConnectionId From, const State::Request &Request);
  void propose(Network::ConnectionId From, State::Correlation Correlation,
               State::CommandBody Body);
  void reply(Network::ConnectionId To, State::Correlation Correlation,
             State::ResponseBody Body);
  void replyNotLeader(Network::ConnectionId To, State::Correlation Correlation);
  void changeReplicas(Network::ConnectionId To, State::Correlation Correlation,
                      const State::ChangeReplicas &Change);
  State::ConfigurationResponse
  newerConfiguration(Common::ConfigurationVersion KnownVersion) const;
  void pushConfiguration();

  // Operator interface.
  void handleHttp(const std::shared_ptr<Network::HttpExchange> &Exchange);
  std::optional<Operator::Table> tableFor(Operator::View View) const;
  void updateGauges();
  void shutDown();
  void checkShutdown();

  Network::EventLoop &Loop;
  StateSettings Settings;
  Storage::DataFolder Folder;
  Consensus::Replica Replica;
  State::StateMachine Machine;
  State::LeaseGuard Guard;
  Telemetry::Metrics Metrics;
  std::unique_ptr<State::StateClient> Client;
  std::unique_ptr<Operator::OperatorEndpoint> Endpoint;
  std::unique_ptr<Network::FrameServer> Server;
  std::unique_ptr<Network::HttpServer> Http;
  std::map<Consensus::ReplicaId, std::unique_ptr<Network::FrameClient>> Links;
  std::map<Consensus::LogIndex, Proposal> Proposals;
  /// Connections to which configuration changes are pushed.
  std::set<Network::ConnectionId> Watchers;
  Common::ConfigurationVersion PushedVersion;
  bool Leading = false;
  Consensus::Term LeaderTerm;
  bool FlushScheduled = false;
  bool ShuttingDown = false;
  Common::TimePoint ShutdownStartedAt;
  int ExitCode = 0;
  std::vector<Network::EventHandle> EventHandles;
  Network::EventHandle ShutdownTimer;
};

} // namespace StateDaemon

#endif
