#ifndef SYCAMOREREACH_FAULTTESTS_ROUTEDCLUSTER_H
#define SYCAMOREREACH_FAULTTESTS_ROUTEDCLUSTER_H

#include "Common/Ids.h"
#include "FaultTests/Forwarder.h"
#include "FaultTests/Processes.h"
#include "Network/EventLoop.h"
#include "Network/Http1Client.h"
#include "Network/Http1Server.h"

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace FaultTests {

/// The outcome of an HTTP call; Result and the response are final once Done is
/// set.
struct RoutedResponse {
  bool Done = false;
  Network::Http1CallResult Result = Network::Http1CallResult::NotSent;
  int Status = 0;
  Network::HttpHeaders Headers;
  std::string Body;
};

/// Four state daemons and one or more entry daemons of routed serving, each on
/// its own loopback address, with fake backend servers inside the test process.
class RoutedCluster {
public:
  static constexpr int StateDaemons = 4;
  /// How long an entry daemon obeys a configuration that no leader confirms.
  static constexpr std::chrono::seconds RevokeTime{5};

  RoutedCluster();
  ~RoutedCluster();

  /// Starts all daemons, declares version 3 with routes under /a/, announces
  /// the server shop-1, and waits until a request is served.
  void startAll();
  /// FirstStart allows the daemon to found the group.
  void startStateDaemon(int Number, bool FirstStart);
  /// Formats the disks of the seeds, with a log in which an earlier release has
  /// stored Document under Version. The seeds are then started without
  /// FirstStart.
  void storeDeclaration(Common::ConfigurationVersion Version,
                        const std::string &Document);
  /// From its next start, the connections of a state daemon to and from all
  /// other daemons run through forwarders. The group must then consist of the
  /// three seeds, as its members' addresses are those of the first start.
  void forwardLinksOf(int Number);
  /// Drops all bytes between that daemon and the others, without closing
  /// connections.
  void blockLinks();
  void unblockLinks();
  /// Entry daemons that are started from now on reach the state daemons over
  /// links that carry at most BytesPerSecond each to the entry daemon.
  void limitEntryLinks(std::size_t BytesPerSecond);
  /// Entry daemon 1 is the process "entry", entry daemon 2 "entry2", and so on.
  void startEntryDaemon(int Number = 1);
  /// Starts a state daemon again that has ended or was stopped, and resumes a
  /// suspended one.
  void restartStateDaemon(int Number);
  /// Ends a process with SIGKILL.
  void crash(const std::string &Name) { this->Processes.erase(Name); }
  /// Kills all state daemons and entry daemon 1 before it starts them again.
  void crashAndRestartAll();
  /// Deletes a state daemon's data folder.
  void wipeDisk(int Number);
  /// What a process has logged since its last start.
  std::string log(const std::string &Name) const;
  Process &process(const std::string &Name) {
    return *this->Processes.at(Name);
  }

  /// Performs an HTTP call and waits for its end.
  RoutedResponse call(const Network::Address &To, const std::string &Method,
                      const std::string &Target, const std::string &Body = "",
                      Network::HttpHeaders Headers = {});
  /// Like call, without waiting for the end.
  std::shared_ptr<RoutedResponse> startCall(const Network::Address &To,
                                            const std::string &Method,
                                            const std::string &Target,
                                            const std::string &Body,
                                            Network::HttpHeaders Headers);
  /// Sends an operator's request to the state daemons in turn, following
  /// redirects, until one responds with Status; false after 25 s.
  bool operatorCall(const std::string &Method, const std::string &Target,
                    const std::string &Body, int Status,
                    std::string *ResponseBody = nullptr);
  /// Sends a request with a new id through the entry daemon and waits for its
  /// end. Key is the caller's API key.
  RoutedResponse request(const std::string &Path,
                         const std::string &Key = "key-1",
                         const std::string &Method = "POST");
  /// Like request, without waiting for the end.
  std::shared_ptr<RoutedResponse>
  startRequest(const std::string &Path, const std::string &Key = "key-1",
               const std::string &Method = "POST",
               int DeadlineMilliseconds = 3000);
  /// Sends a heartbeat with State for the server shop-<Server>, whose process
  /// started at Born. The fake servers shop-1 and shop-2 accept connections;
  /// shop-3 refuses them.
  void announce(const std::string &State, int Server = 1,
                std::uint64_t Born = 1000, const std::string &Version = "v1");
  /// Sends a heartbeat for a ready server with 8 slots, whose port is that of
  /// the fake servers.
  void announceAt(const std::string &Id, const std::string &Ip,
                  std::uint64_t Born = 1000);
  /// What a server with 8 slots, or another writer, says of itself.
  struct Heartbeat {
    std::string Id;
    std::string Ip;
    std::string Service = "shop";
    std::string State = "ready";
    std::uint64_t Born = 1000;
    std::string Version = "v1";
  };
  /// Sends the heartbeat to the state daemons in turn until one responds with
  /// 200.
  void announce(const Heartbeat &Sent);
  /// Sends the heartbeat to a state daemon, and returns the status.
  int announceTo(int StateDaemon, const Heartbeat &Sent);
  /// A configuration document whose routes lie under Prefix.
  static std::string declaration(std::uint64_t Version,
                                 const std::string &Prefix);
  /// Runs the event loop until Condition holds; false after 25 s.
  bool waitUntil(const std::function<bool()> &Condition);
  /// Number of the state daemon that leads; 0 if none is found in 25 s.
  int leader();
  /// Whether the leader reports three voters and four members, none of them
  /// lost or behind.
  bool isGroupHealthy();
  /// The /metrics text of a state daemon; empty if it does not respond.
  std::string metrics(int Number);
  /// Whether the metrics of a state daemon have Line, without its prefix.
  bool hasMetric(int Number, const std::string &Line);
  /// Whether a state daemon leads; also before the first declaration.
  bool hasLeader();
  /// Whether all state daemons have the protocol level of this release.
  bool hasProtocolLevel();
  /// Number of commands that a state daemon has proposed since its start.
  int proposals(int Number);

  /// Where a server is announced by announceAt.
  static Network::Address serverAddress(const std::string &Ip);
  Network::Address entryAddress(int Number = 1) const;
  Network::Address readinessAddress() const;
  Network::Address controlAddress(int Number) const;
  static Network::Address metricsAddress(int Number);
  /// Where other daemons reach a state daemon.
  static Network::Address linkAddress(int Number);
  /// The key that all daemons share.
  static constexpr const char *ClusterKey = "a-key-for-these-tests";
  /// Handles the requests that reach a fake server; by default it responds
  /// with status 200.
  std::function<void(std::shared_ptr<Network::Http1Exchange>)> OnServerRequest;
  /// The --shutdown-time of entry daemons that are started from now on.
  int ShutdownSeconds = 8;
  /// Whether entry daemons that are started from now on obey rollouts.
  bool Rollouts = false;
  /// The --retry-ratio of entry daemons that are started from now on. A daemon
  /// has no part of the extra retries in its first window.
  double RetryRatio = 10;
  /// The --retry-extra of entry daemons that are started from now on.
  int RetryExtra = 10;
  /// Number of requests that have reached the fake servers.
  int ServerRequests = 0;
  Network::EventLoop &loop() { return *this->Loop; }
  /// Sends the response of a fake server, signed as a replica's.
  static void respond(Network::Http1Exchange &Exchange, int Status = 200,
                      const Network::HttpHeaders &Further = {});
  /// Rejects the request as a fake server that did not execute it, and asks for
  /// no requests for RetryAfter.
  static void rejectAndAskForRest(Network::Http1Exchange &Exchange,
                                  Common::Duration RetryAfter);
  /// The headers of a fake server's stream of events, signed as a replica's.
  static Network::HttpHeaders
  eventStreamHeaders(const Network::Http1Exchange &Exchange);

private:
  static Network::HttpHeaders
  signedHeaders(const Network::Http1Exchange &Exchange);

  std::string newLogPath(const std::string &Name);

  std::unique_ptr<Network::EventLoop> Loop;
  std::unique_ptr<Network::Http1Client> Client;
  std::vector<std::unique_ptr<Network::Http1Server>> Servers;
  std::map<std::string, std::unique_ptr<Process>> Processes;
  std::vector<std::unique_ptr<Forwarder>> LinkForwarders;
  std::vector<std::unique_ptr<Forwarder>> EntryForwarders;
  /// The state daemon whose links are forwarded; 0 if there is none.
  int ForwardedDaemon = 0;
  std::string Folder;
  std::uint64_t LastRequestId = 0;
  std::uint64_t HeartbeatSequence = 0;
  std::map<std::string, std::string> LogPaths;
  int LogCount = 0;
};

} // namespace FaultTests

#endif
