#ifndef SYCAMOREREACH_STATEDAEMON_CONTROLLER_H
#define SYCAMOREREACH_STATEDAEMON_CONTROLLER_H

#include "Consensus/VoterPlan.h"
#include "Membership/ServerRegistry.h"
#include "Network/FrameSocket.h"
#include "Network/Http1Client.h"
#include "Network/Http1Server.h"
#include "State/ControlProtocol.h"
#include "StateDaemon/ControllerSettings.h"
#include "StateDaemon/DutyRunner.h"
#include "StateDaemon/EntryLedger.h"
#include "StateDaemon/ReplicaHost.h"
#include "Telemetry/Metrics.h"

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace StateDaemon {

/// A state daemon of routed serving: the operator's and the backend servers'
/// control interface, the registry, and the leader's work for entry daemons.
class Controller {
public:
  static absl::StatusOr<std::unique_ptr<Controller>>
  create(Network::EventLoop &Loop, ControllerSettings Settings);

  /// Runs until a signal ends it; the exit code.
  int run();

private:
  Controller(Network::EventLoop &Loop, ControllerSettings Settings);
  absl::Status listen();
  ReplicaHost::Options replicaOptions() const;
  ReplicaHost::Handlers replicaHandlers();

  // The group.
  absl::Status apply(const Consensus::LogEntry &Entry);
  void groupChanged();
  void syncLinks();
  void send(const Consensus::Message &Sent);
  void askToJoin();
  void admit(const State::JoinRequest &Request);
  void planMembers();
  std::map<Consensus::ReplicaId, Consensus::MemberCondition>
  memberConditions() const;

  // Frames.
  void received(Network::ConnectionId From, const std::string &Payload);
  void receivedOnLink(const std::string &Payload);
  void greet(Network::ConnectionId From, const State::EntryHello &Hello);
  void poll(Network::ConnectionId From, State::EntryPoll Asked);
  void answerPoll(const State::EntryPollAnswer &Answer);
  void sendTo(Network::ConnectionId To, const State::ControlFrame &Frame);
  void toEntries(const State::ControlFrame &Frame);
  void toPeers(const State::ControlFrame &Frame);
  State::StatePlaces places() const;

  // The registry.
  void announced(const Membership::ServerRecord &Said);
  void spread(const Membership::ServerRecord &Changed, bool ToPeers);
  void flushRefreshes();
  void merge(const State::RegistryDelta &Delta, bool FromPeer);
  State::RegistryDelta wholeRegistry() const;

  // HTTP.
  void handleHttp(const std::shared_ptr<Network::Http1Exchange> &Exchange);
  void heartbeat(Network::Http1Exchange &Exchange,
                 const Common::BackendServerId &Id);
  void departure(Network::Http1Exchange &Exchange,
                 const Common::BackendServerId &Id);
  void declare(const std::shared_ptr<Network::Http1Exchange> &Exchange);
  void read(Network::Http1Exchange &Exchange);
  /// Sends the caller to the leader, or asks it to come back.
  void redirectToLeader(Network::Http1Exchange &Exchange,
                        const std::string &Path);
  void pushDeclaration();
  /// Reads the newest document for the ledger and the duties.
  void decodeDeclaration();
  void updateGauges();
  void shutDown();

  Network::EventLoop &Loop;
  ControllerSettings Settings;
  Telemetry::Metrics Metrics;
  State::ControlState State;
  Membership::ServerRegistry Registry;
  std::vector<State::ServerRefresh> Refreshes;
  std::unique_ptr<ReplicaHost> Host;
  std::unique_ptr<Network::FrameServer> Frames;
  std::unique_ptr<Network::Http1Server> Http;
  std::unique_ptr<Network::Http1Server> MetricsHttp;
  std::unique_ptr<Network::Http1Client> Client;
  std::map<Network::Address, std::unique_ptr<Network::FrameClient>> Links;
  std::map<Common::DaemonId, Network::ConnectionId> Entries;
  /// Identities that asked to join, by their address.
  std::map<Network::Address, Consensus::ReplicaId> Joined;
  /// Present while this daemon leads.
  std::unique_ptr<EntryLedger> Ledger;
  std::unique_ptr<DutyRunner> Duties;
  std::shared_ptr<const Configuration::ServiceMap> Declared;
  /// Connections of replicas that are not yet members here.
  std::map<Consensus::ReplicaId, Network::ConnectionId> ConnectionOf;
  Common::ConfigurationVersion Pushed;
  Common::TimePoint LeaderKnownAt;
  Common::TimePoint LeadingSince;
  bool ShuttingDown = false;
  std::vector<Network::EventHandle> Handles;
  Network::EventHandle StopTimer;
};

} // namespace StateDaemon

#endif
