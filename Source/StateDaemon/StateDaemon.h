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

/// Binds one replica and its state machine to the network and the disk.
class StateDaemon {
public:
  static absl::StatusOr<std::unique_ptr<StateDaemon>>
  create(Network::EventLoop &Loop, StateSettings Settings);

  /// Runs until a signal ends it; the exit code.
  int run();

private:
  /// Who waits for the entry at an index.
  struct Proposal {
    Consensus::Term Term;
    Network::ConnectionId Connection;
    State::Correlation Correlation;
  };

  StateDaemon(Network::EventLoop &Loop, StateSettings Settings,
              Storage::DataFolder Folder, Consensus::Replica Replica,
              State::StateMachine Machine);
  absl::Status listen();

  // The replica.
  void scheduleFlush();
  void flush();
  bool carryOut(Consensus::Actions &Work);
  void apply(const Consensus::LogEntry &Entry);
  void send(const std::vector<Consensus::Message> &Messages);
  void noticeLeadership();
  void failProposals();
  void syncLinks();
  void compactIfLarge();
  void stopOnDiskFailure(const absl::Status &Failure);

  // Questions.
  void received(Network::ConnectionId From, const std::string &Payload);
  void handle(Network::ConnectionId From, const State::Question &Asked);
  void propose(Network::ConnectionId From, State::Correlation Correlation,
               State::CommandBody Body);
  void answer(Network::ConnectionId To, State::Correlation Correlation,
              State::AnswerBody Body);
  void answerNotLeader(Network::ConnectionId To,
                       State::Correlation Correlation);
  void changeReplicas(Network::ConnectionId To, State::Correlation Correlation,
                      const State::ChangeReplicas &Wanted);
  State::ConfigurationAnswer
  newerConfiguration(Common::ConfigurationVersion Have) const;
  void pushConfiguration();

  // Operators.
  void handleHttp(const std::shared_ptr<Network::HttpExchange> &Exchange);
  std::optional<Operator::Table> view(Operator::View Shown) const;
  void updateGauges();
  void shutDown();

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
  std::set<Network::ConnectionId> Watchers;
  Common::ConfigurationVersion PushedVersion;
  bool Leading = false;
  Consensus::Term LedTerm;
  bool FlushScheduled = false;
  bool ShuttingDown = false;
  int ExitCode = 0;
  std::vector<Network::EventHandle> Handles;
  Network::EventHandle StopTimer;
};

} // namespace StateDaemon

#endif
