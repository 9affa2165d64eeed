#ifndef SYCAMOREREACH_FAULTTESTS_CLUSTER_H
#define SYCAMOREREACH_FAULTTESTS_CLUSTER_H

#include "FaultTests/Forwarder.h"
#include "FaultTests/Processes.h"
#include "Membership/Announcement.h"
#include "Network/EventLoop.h"
#include "Network/HttpClient.h"

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace FaultTests {

/// The outcome of an HTTP call to a daemon or a fake server. Without a
/// response, Status is 0 and Result says why.
struct CallResponse {
  Network::HttpCallResult Result = Network::HttpCallResult::NotSent;
  int Status = 0;
  Network::HttpHeaders Headers;
  std::string Body;

  nlohmann::json json() const {
    return nlohmann::json::parse(this->Body, nullptr, false);
  }
  /// The `outcome` member of a problem document; empty for other responses.
  std::string outcome() const;
  /// The `title` member of a problem document; empty for other responses.
  std::string title() const;
};

/// Three state daemons (s1 to s3) and two entry daemons (e1, e2) in the data
/// centres east, west and north, on loopback ports of their own, with fake
/// backend servers. The links between east (s1 and e1) and the other data
/// centres run through forwarders and can be blocked.
class Cluster {
public:
  static constexpr int StateDaemons = 3;
  static constexpr int EntryDaemons = 2;
  static constexpr const char *CallerKey = "yard-key";
  static constexpr const char *SecondCallerKey = "mill-key";

  Cluster();
  ~Cluster();

  /// Starts the state and entry daemons and declares priorities, services and
  /// callers: configuration version 6.
  void startAll();
  void startStateDaemon(int Number);
  void startEntryDaemon(int Number,
                        const std::vector<std::string> &MoreOptions = {});
  void startEngine(const std::string &Name, int Number, int DelayMs = 5,
                   int Slots = 8);
  void startService(const std::string &Name, int Number, int DelayMs = 0);
  /// Announces a backend server that the test plays itself, to all entry
  /// daemons.
  void announce(const Membership::Announcement &Announcement);
  void startFleetDaemon(int Number);
  void startCloud();
  Process &process(const std::string &Name) {
    return *this->Processes.at(Name);
  }
  bool isRunning(const std::string &Name) const {
    return this->Processes.count(Name) != 0;
  }
  /// Ends a process with SIGKILL.
  void crash(const std::string &Name) { this->Processes.erase(Name); }
  /// Replaces a state daemon's data folder by a newly formatted one with a new
  /// identity.
  void wipeDisk(int Number);
  std::string identity(int Number) const { return this->Identities[Number]; }
  /// Drops all traffic between east and the other data centres, in both
  /// directions and without closing connections.
  void blockEastLinks();
  void unblockEastLinks();

  /// Runs the event loop until Condition holds; false after 25 s.
  bool waitUntil(const std::function<bool()> &Condition);
  /// Runs the event loop for Duration.
  void runLoopFor(Common::Duration Duration);

  /// Performs an HTTP call and waits for its end, at most 60 s.
  CallResponse call(int Port, Network::HttpMethod Method,
                    const std::string &Target, const std::string &Body = "",
                    Network::HttpHeaders Headers = {});
  /// Starts a call; the returned value is set when it ends.
  std::shared_ptr<std::optional<CallResponse>>
  startCall(int Port, Network::HttpMethod Method, const std::string &Target,
            const std::string &Body, Network::HttpHeaders Headers);
  /// Sends a statement of the operators' language to an entry daemon.
  CallResponse executeStatement(int Port, const std::string &Statement,
                                const std::string &CommandId = "");
  /// Posts a reservation, which must not be repeated, to the service orders.
  CallResponse reserve(int Entry, const std::string &Key,
                       const std::string &Body = "{\"sleepers\":4}",
                       const std::string &Caller = CallerKey);
  CallResponse chat(int Entry, const std::string &Prompt, int Tokens,
                    bool Stream = false);
  std::shared_ptr<std::optional<CallResponse>>
  startChat(int Entry, const std::string &Prompt, int Tokens);

  /// Value of a counter or gauge in a daemon's /metrics; 0 if it is absent.
  double metric(int Port, const std::string &Name);
  double refusalCount(int Port, const std::string &Reason);
  /// Number of the state daemon that leads; 0 while there is none.
  int stateLeader();
  /// Number of executions of each "CALLER/KEY" over all fake services.
  std::map<std::string, int> runCounts() const;
  /// Number of backend servers that an entry daemon lists as serving.
  std::size_t servingBackendCount(int Entry);

  int statePort(int Number) const { return this->BasePort + Number; }
  int stateHttp(int Number) const { return this->BasePort + 10 + Number; }
  int entryHttp(int Number) const { return this->BasePort + 20 + Number; }
  int entryPeer(int Number) const { return this->BasePort + 30 + Number; }
  int enginePort(int Number) const { return this->BasePort + 40 + Number; }
  int servicePort(int Number) const { return this->BasePort + 60 + Number; }
  int fleetHttp(int Number) const { return this->BasePort + 70 + Number; }
  int cloudPort() const { return this->BasePort + 75; }
  const std::string &folder() const { return this->Folder; }
  Network::EventLoop &loop() { return *this->Loop; }

private:
  std::string dataFolder(int Number) const;
  /// The lists of addresses as daemons in data centre FromDataCentre (1: east)
  /// reach them: through a forwarder across the border of east.
  std::string stateAddresses(int FromDataCentre) const;
  std::string founders(int FromDataCentre) const;
  std::string peerAddresses(int FromDataCentre) const;
  int forwardPort(int Number) const { return this->BasePort + 80 + Number; }
  void startProcess(const std::string &Name, const std::string &Program,
                    const std::vector<std::string> &Arguments);
  std::string entryAddresses() const;

  std::unique_ptr<Network::EventLoop> Loop;
  Network::HttpClient Http;
  int BasePort;
  std::string Folder;
  std::vector<std::string> Identities;
  std::vector<std::unique_ptr<Forwarder>> Forwarders;
  std::map<std::string, std::unique_ptr<Process>> Processes;
};

} // namespace FaultTests

#endif
