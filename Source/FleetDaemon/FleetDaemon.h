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

/// Holds the hosts that the declaration needs. Two or more run; the one with
/// the lease acts, and each of its orders carries the lease's fencing number.
class FleetDaemon {
public:
  static absl::StatusOr<std::unique_ptr<FleetDaemon>>
  create(Network::EventLoop &Loop, FleetSettings Settings);
  int run();

private:
  FleetDaemon(Network::EventLoop &Loop, FleetSettings Settings);
  absl::Status listen();
  void handle(const std::shared_ptr<Network::HttpExchange> &Exchange);

  // The lease.
  void tick();
  void askForLease();
  void leaseAnswered(Common::TimePoint AskedAt, bool Renewal,
                     const State::AskResult &Result);
  bool mayAct() const;

  // One round: configuration, offers, hosts, then the plan.
  void beginRound();
  void fetchOffers();
  void fetchHosts();
  void act();
  void endRound();
  void carryOut(const Fleet::Order &Each);
  void start(const Fleet::StartHost &Wanted);
  void load(const Fleet::LoadModel &Wanted);
  void drain(const Fleet::DrainHost &Wanted);
  void stop(const Fleet::StopHost &Wanted);
  void callCloud(Network::HttpMethod Method, const std::string &Target,
                 const std::string &Body, const std::string &Key,
                 std::function<void(const Network::HttpResponse &)> Done);

  Network::EventLoop &Loop;
  FleetSettings Settings;
  Telemetry::Metrics Metrics;
  Network::HttpClient Http;
  std::unique_ptr<State::StateClient> Client;
  std::unique_ptr<Network::HttpServer> Server;
  Configuration::Declaration Declared;
  State::HeldLease Lease;
  /// Differs from life to life, so that an earlier life's lease is waited
  /// out like another daemon's.
  Common::DaemonId Holder;
  bool LeaseAsked = false;
  bool RoundUnderWay = false;
  Fleet::Observation Seen;
  Fleet::PoolBackoff Backoff;
  /// Orders under way in this round.
  std::size_t OpenOrders = 0;
  std::uint64_t LastStart = 0;
  /// Hosts whose drain the entry daemons were told.
  std::set<Common::HostId> Drained;
  std::vector<Network::EventHandle> Handles;
};

} // namespace FleetDaemon

#endif
