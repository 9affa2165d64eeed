#ifndef SYCAMOREREACH_FLEETDAEMON_FLEETDAEMON_H
#define SYCAMOREREACH_FLEETDAEMON_FLEETDAEMON_H

#include "Configuration/Declaration.h"
#include "Fleet/FleetPlan.h"
#include "FleetDaemon/FleetSettings.h"
#include "Network/EventLoop.h"
#include "Network/HttpClient.h"
#include "Network/HttpServer.h"
#include "State/Lease.h"
#include "State/StateClient.h"
#include "Telemetry/Metrics.h"

#include <memory>
#include <set>

namespace FleetDaemon {

/// Provisions the hosts that the declaration requires. Two or more daemons run
/// for availability. Only the holder of the lease executes actions; those that
/// start a host or load a model carry the lease's fencing number.
class FleetDaemon {
public:
  static absl::StatusOr<std::unique_ptr<FleetDaemon>>
  create(Network::EventLoop &Loop, FleetSettings Settings);
  /// Runs until SIGTERM or SIGINT; returns the exit code.
  int run();

private:
  FleetDaemon(Network::EventLoop &Loop, FleetSettings Settings);
  /// Subscribes to the configuration and opens the HTTP server.
  absl::Status initialize();
  void
  handleHttpRequest(const std::shared_ptr<Network::HttpExchange> &Exchange);

  void shutDown();

  // Lease.
  void tick();
  void requestLease();
  void handleLeaseResponse(Common::TimePoint RequestedAt, bool IsRenewal,
                           const State::RequestResult &Result);
  bool holdsLease() const;

  // A round fetches the offers and the hosts, then executes the plan.
  void beginRound();
  void fetchOffers();
  void fetchHosts();
  void executePlan();
  void endRound();
  void executeAction(const Fleet::Action &Action);
  void startHost(const Fleet::StartHost &Action);
  void loadModel(const Fleet::LoadModel &Action);
  void drainHost(const Fleet::DrainHost &Action);
  void stopHost(const Fleet::StopHost &Action);
  /// OnResponse gets a response with status 0 if the call failed.
  void callCloud(Network::HttpMethod Method, const std::string &Target,
                 const std::string &Body, const std::string &Key,
                 std::function<void(const Network::HttpResponse &)> OnResponse);

  Network::EventLoop &Loop;
  FleetSettings Settings;
  Telemetry::Metrics Metrics;
  Network::HttpClient Http;
  std::unique_ptr<State::StateClient> Client;
  std::unique_ptr<Network::HttpServer> Server;
  Configuration::Declaration Declaration;
  State::HeldLease Lease;
  /// Differs after each start of the process: a restarted daemon is a new
  /// holder and waits until the lease from before the restart expires.
  Common::DaemonId HolderId;
  bool LeaseRequestPending = false;
  bool RoundInProgress = false;
  Fleet::FleetSnapshot Snapshot;
  Fleet::PoolBackoff Backoff;
  /// Actions of this round without a response from the cloud, plus 1 while the
  /// plan is being executed.
  std::size_t PendingActions = 0;
  std::uint64_t StartsRequested = 0;
  /// Hosts whose drain was sent to the entry daemons.
  std::set<Common::HostId> DrainedHosts;
  std::vector<Network::EventHandle> EventHandles;
  bool ShuttingDown = false;
  Network::EventHandle ShutdownTimer;
};

} // namespace FleetDaemon

#endif
