#ifndef SYCAMOREREACH_STATEDAEMON_CONTROLLER_H
#define SYCAMOREREACH_STATEDAEMON_CONTROLLER_H

#include "Consensus/VoterPlan.h"
#include "Membership/ServerRegistry.h"
#include "Network/FrameSocket.h"
#include "Network/Http1Client.h"
#include "Network/Http1Server.h"
#include "State/ControlProtocol.h"
#include "StateDaemon/ControllerSettings.h"
#include "StateDaemon/DeclarationCompressor.h"
#include "StateDaemon/DeclarationFeed.h"
#include "StateDaemon/DutyRunner.h"
#include "StateDaemon/EntryDaemonTracker.h"
#include "StateDaemon/ReplicaDriver.h"
#include "StateDaemon/ReportHandler.h"
#include "StateDaemon/RolloutOrders.h"
#include "StateDaemon/ServerEndRecorder.h"
#include "StateDaemon/TokenPool.h"
#include "Telemetry/Metrics.h"
#include "Telemetry/ResourceReport.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace StateDaemon {

/// The state daemon of `sycamore-state control`. Serves the control interface
/// of operators and backend servers, maintains the server registry together
/// with its peers and, while it leads the group, answers the polls of entry
/// daemons and makes duty calls.
class Controller {
public:
  static absl::StatusOr<std::unique_ptr<Controller>>
  create(Network::EventLoop &Loop, ControllerSettings Settings);

  /// Runs until SIGTERM or SIGINT; returns the exit code.
  int run();

private:
  Controller(Network::EventLoop &Loop, ControllerSettings Settings);
  absl::Status listen();
  ReplicaDriver::Options replicaOptions() const;
  ReplicaDriver::Handlers replicaHandlers();

  // Consensus group.
  absl::StatusOr<State::CommandEffect> apply(const Consensus::LogEntry &Entry);
  void handleGroupChange();
  void syncLinks();
  void sendMessage(const Consensus::Message &Message);
  void requestJoin();
  void handleJoinRequest(const State::JoinRequest &Request);
  void adjustMembership();
  void handleLeaveRequest(Network::ConnectionId From,
                          const State::LeaveRequest &Request);
  /// Asks the leader to replace this daemon as a voter, if a learner is there
  /// to take its place. Returns whether a confirmation is still to come.
  bool requestLeave();
  Consensus::VoterPlanOptions voterPlanOptions() const;
  std::map<Consensus::ReplicaId, Consensus::MemberHealth> memberHealth() const;

  // Frames between daemons.
  void handleFrame(Network::ConnectionId From, const std::string &Payload);
  void handleLinkFrame(const Network::Address &Peer,
                       const std::string &Payload);
  void handleEntryHello(Network::ConnectionId From,
                        const State::EntryHello &Hello);
  void handleEntryPoll(Network::ConnectionId From, State::EntryPoll Poll);
  void handleTokenRequest(const State::TokenRequest &Request);
  void handleTokenPoolRequest(Network::ConnectionId From,
                              const State::TokenPoolRequest &Request);
  void handleTokenPoolGrant(const State::TokenPoolGrant &Grant);
  /// Sends the pool's demand to the leader after a short delay, in which more
  /// requests of entry daemons can join it.
  void scheduleTokenDemand();
  void sendTokenDemand();
  void sendTokenDecisions();
  /// The link to the leader; null if there is none or this daemon leads.
  Network::FrameClient *leaderLink();
  /// Sends the total loads to all daemons while this daemon leads.
  void publishLoads();
  /// Proposes changes of what is refused because it crashes servers, while this
  /// daemon leads.
  void proposeRefusals();
  void handleEntryReport(Network::ConnectionId From, State::EntryReport Report);
  void forwardDirectives(const State::EntryDirectives &Directives);
  /// Sends urgent directives and changed speeds to all daemons while this
  /// daemon leads.
  void publishReports();
  void forwardPollAnswer(const State::EntryPollResponse &Answer);
  void sendTo(Network::ConnectionId To, const State::ControlFrame &Frame);
  void broadcastToEntries(const State::ControlFrame &Frame);
  std::vector<Network::ConnectionId> entryConnections() const;
  void broadcastToPeers(const State::ControlFrame &Frame);
  State::StateEndpoints stateEndpoints() const;

  // Server registry.
  Membership::ServerRegistry::Outcome
  updateServer(const Membership::ServerRecord &Record);
  void publishServerChange(const Membership::ServerRecord &Changed,
                           bool ToPeers);
  void flushServerChanges();
  void flushRefreshes();
  void flushEntryRefreshes();
  void mergeRegistryDelta(Network::ConnectionId From,
                          const State::RegistryDelta &Delta);
  State::RegistryDelta registrySnapshot() const;
  /// The frames that bring what this daemon knows of the servers of Delta.
  std::vector<State::ControlFrame>
  registryFrames(const State::RegistryDelta &Delta) const;
  /// The answer to a request: those of the servers that are known here.
  State::RegistryDelta
  recordsOf(const State::ServerRecordRequest &Request) const;

  // Software versions of the servers.
  /// The known versions of the servers of Delta; nothing if there are none.
  std::optional<State::ServerVersions>
  versionsFor(const State::RegistryDelta &Delta) const;
  void noteVersion(const Membership::ServerRecord &Record,
                   const Common::SoftwareVersion &Version);
  void mergeServerVersions(const State::ServerVersions &Versions);

  // Servers that leave.
  ServerEndRecorder::Handlers serverEndHandlers();
  /// Responds with 200 once the end is recorded, and with 503 if that is not
  /// confirmed in time.
  void
  acknowledgeServerEnd(const std::shared_ptr<Network::Http1Exchange> &Exchange,
                       const Membership::ServerEnd &End);
  void checkServerEnds();
  void handleServerEndRequest(Network::ConnectionId From,
                              const State::ServerEndRequest &Request);
  void sendServerEndsToMembers(const ServerEndRecorder::Ends &Ends,
                               const std::function<void()> &OnHeld);
  /// Applies recorded ends to the registry.
  void applyServerEnds(const ServerEndRecorder::Ends &Ends);
  void handlePeerHello(Network::ConnectionId From,
                       const State::PeerHello &Hello);
  void sendPeerHello(Network::FrameClient &Link);
  /// Raises the group's protocol level to what all members support, while this
  /// daemon leads. Lost members do not count while a declaration waits for it.
  void raiseProtocolLevel();

  // Rollouts.
  /// The time of rollouts: the median of the daemons' clocks on the leader.
  Common::WallTime rolloutTime(Common::TimePoint Now) const;
  RolloutDirector::Dependencies rolloutDependencies();
  /// Proposes phases and verdicts of rollouts while this daemon leads.
  void planRollouts(Common::TimePoint Now);
  void
  handleBeginRollout(const std::shared_ptr<Network::Http1Exchange> &Exchange);
  RolloutOrders::Handlers rolloutOrderHandlers();
  /// Responds to an order as it was decided.
  void answerRolloutOrder(Network::Http1Exchange &Exchange,
                          const Platform::RolloutOrder &Order,
                          const RolloutOrders::Result &Decided);
  void handleReadRollout(Network::Http1Exchange &Exchange,
                         const Common::ServiceName &Service, bool Explain);

  // HTTP.
  static void replyError(Network::Http1Exchange &Exchange, int Status,
                         std::string_view Detail);
  /// Replies with 503 and `Retry-After`: the call may be sent again soon.
  static void replyRetry(Network::Http1Exchange &Exchange,
                         std::string_view Detail,
                         Common::Duration RetryAfter = ShortRetryDelay);
  static constexpr Common::Duration ShortRetryDelay =
      std::chrono::milliseconds(300);
  static void replyAccepted(Network::Http1Exchange &Exchange);
  static void replyUnavailable(Network::Http1Exchange &Exchange,
                               std::string_view Detail);
  void handleHttp(const std::shared_ptr<Network::Http1Exchange> &Exchange);
  void handleHeartbeat(const std::shared_ptr<Network::Http1Exchange> &Exchange,
                       const Common::BackendServerId &Id);
  /// Responds to a server whose service is not declared, as far as this daemon
  /// knows.
  void answerUndeclared(Network::Http1Exchange &Exchange,
                        Membership::ServerPhase Phase);
  void
  handleDeregistration(const std::shared_ptr<Network::Http1Exchange> &Exchange,
                       const Common::BackendServerId &Id);
  void handleDeclare(const std::shared_ptr<Network::Http1Exchange> &Exchange);
  void handleReadDeclaration(Network::Http1Exchange &Exchange);
  /// Replies with a redirect to the leader, or with 503 and `Retry-After` while
  /// no other daemon is known to lead.
  void redirectToLeader(Network::Http1Exchange &Exchange,
                        const std::string &Path);
  void pushDeclaration();
  /// Sends the declaration to the entry daemons that are to get it now.
  void publishDeclaration();
  void handleDeclarationRequest(Network::ConnectionId From,
                                const State::DeclarationRequest &Request);
  void sendRequestedDeclaration(const std::vector<Network::ConnectionId> &To);
  /// Pushes the declaration once the entries at hand are applied. To decode
  /// each one of a long log would keep this daemon from its peers for too long.
  void schedulePushDeclaration();
  /// Decodes the applied declaration document for the token pool, the tracker
  /// and the duties.
  void decodeDeclaration();
  /// The version of the declaration's document, which is lower than the one
  /// that it is stored under until a State::CorrectVersionCommand is applied.
  Common::ConfigurationVersion declaredVersion() const;
  /// Whether the operator's Version exceeds that of the declaration.
  bool isNewerThanDeclaration(Common::ConfigurationVersion Version) const;
  /// Whether a newer declaration would take effect now. Otherwise the group
  /// needs State::CorrectedVersionsLevel first.
  bool takesEffect(Common::ConfigurationVersion Version) const;
  /// Proposes the declaration's correct version while this daemon leads.
  void correctDeclarationVersion();
  void updateGauges();
  void shutDown();

  Network::EventLoop &Loop;
  ControllerSettings Settings;
  Telemetry::Metrics Metrics;
  State::ControlState State;
  Membership::ServerRegistry Registry;
  /// Refreshes that are not yet passed on to the other state daemons, and to
  /// the entry daemons.
  std::vector<State::ServerRefresh> PendingRefreshes;
  std::map<Common::BackendServerId, State::ServerRefresh> EntryRefreshes;
  /// Changed records that are not yet passed on to the other state daemons, and
  /// to the entry daemons.
  std::vector<Membership::ServerRecord> PeerChanges;
  std::vector<Membership::ServerRecord> EntryChanges;
  bool ChangeFlushScheduled = false;
  ServerEndRecorder ServerEnds;
  bool ServerEndsScheduled = false;
  Network::EventHandle ServerEndTimer;
  struct PeerLevel {
    Network::ConnectionId Connection;
    State::ProtocolLevel SupportedLevel;
  };
  /// What the connected peers support.
  std::map<Consensus::ReplicaId, PeerLevel> PeerLevels;
  RolloutOrders Orders;
  TokenPool Tokens;
  bool TokenDemandScheduled = false;
  Network::EventHandle ChangeFlushTimer;
  Network::EventHandle TokenDemandTimer;
  std::unique_ptr<ReplicaDriver> Driver;
  std::unique_ptr<Network::FrameServer> LinkServer;
  std::unique_ptr<Network::Http1Server> Http;
  std::unique_ptr<Network::Http1Server> MetricsHttp;
  std::unique_ptr<Network::Http1Client> Client;
  std::map<Network::Address, std::unique_ptr<Network::FrameClient>> Links;
  std::map<Common::DaemonId, Network::ConnectionId> Entries;
  Consensus::LatestReplicas JoinRequesters;
  /// When each replica that is about to stop last said so.
  std::map<Consensus::ReplicaId, Common::TimePoint> LeavingReplicas;
  bool LeaveRequested = false;
  /// The leader has confirmed that this daemon is no voter.
  bool LeaveConfirmed = false;
  /// Exists only while this daemon leads.
  std::unique_ptr<EntryDaemonTracker> Tracker;
  /// Exists only while this daemon leads.
  std::unique_ptr<ReportHandler> Reports;
  /// Exists only while this daemon leads and an address for duty calls is set.
  std::unique_ptr<DutyRunner> Duties;
  std::shared_ptr<const Configuration::ServiceMap> Declaration;
  /// Connections of replicas that this replica's membership does not list yet.
  std::map<Consensus::ReplicaId, Network::ConnectionId> NonMemberConnections;
  DeclarationFeed Declarations;
  DeclarationCompressor Compressor;
  bool DeclarationPushScheduled = false;
  /// Version of the last declaration that was pushed to entry daemons and
  /// decoded.
  std::optional<Common::ConfigurationVersion> PushedVersion;
  /// Version of the decoded document.
  Common::ConfigurationVersion DocumentVersion;
  /// Whether the last newer declaration has to wait for a protocol level.
  bool DeclarationAwaitsLevel = false;
  /// When a leader was last known; without one for JoinDelay, this daemon asks
  /// to join the group.
  Common::TimePoint LeaderLastKnownAt;
  Common::TimePoint LeadingSince;
  bool ShuttingDown = false;
  Telemetry::ResourceReport Resources;
  std::vector<Network::EventHandle> EventHandles;
  Network::EventHandle ShutdownTimer;
};

} // namespace StateDaemon

#endif
