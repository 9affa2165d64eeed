#ifndef SYCAMOREREACH_FAULTTESTS_CLUSTER_H
#define SYCAMOREREACH_FAULTTESTS_CLUSTER_H

#include "FaultTests/Forwarder.h"
#include "FaultTests/Processes.h"
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

/// An answer, or the sign that none came.
struct Reply {
  Network::HttpCallResult Result = Network::HttpCallResult::NotSent;
  int Status = 0;
  Network::HttpHeaders Headers;
  std::string Body;

  nlohmann::json json() const {
    return nlohmann::json::parse(this->Body, nullptr, false);
  }
  /// The problem document's outcome; empty for other answers.
  std::string outcome() const;
  std::string title() const;
};

/// Three state daemons and two entry daemons in the data centres east, west
/// and north, on loopback addresses, with stand-ins behind them. East (s1 and
/// e1) can be cut off from the rest.
class Cluster {
public:
  static constexpr int StateDaemons = 3;
  static constexpr int EntryDaemons = 2;
  static constexpr const char *CallerKey = "yard-key";
  static constexpr const char *OtherKey = "mill-key";

  Cluster();
  ~Cluster();

  /// Everything up, priorities, services and callers declared.
  void startAll();
  void startState(int Number);
  void startEntry(int Number);
  void startEngine(const std::string &Name, int Number, int DelayMs = 5,
                   int Slots = 8);
  void startService(const std::string &Name, int Number, int DelayMs = 0);
  void startFleet(int Number);
  void startCloud();
  Process &process(const std::string &Name) { return *this->Running.at(Name); }
  bool runs(const std::string &Name) const {
    return this->Running.count(Name) != 0;
  }
  void kill(const std::string &Name) { this->Running.erase(Name); }
  void wipeDisk(int Number);
  std::string identity(int Number) const { return this->Identities[Number]; }
  /// Cuts east off, silently and both ways.
  void cutEast();
  void healEast();

  /// Lets the loop run until Done holds; false after a long time.
  bool await(const std::function<bool()> &Done);
  void pause(Common::Duration Span);

  Reply call(int Port, Network::HttpMethod Method, const std::string &Target,
             const std::string &Body = "", Network::HttpHeaders Headers = {});
  /// Starts a call whose end sets the shared reply.
  std::shared_ptr<std::optional<Reply>>
  begin(int Port, Network::HttpMethod Method, const std::string &Target,
        const std::string &Body, Network::HttpHeaders Headers);
  Reply operate(int Port, const std::string &Statement,
                const std::string &CommandId = "");
  Reply reserve(int Entry, const std::string &Key,
                const std::string &Body = "{\"sleepers\":4}",
                const std::string &Caller = CallerKey);
  Reply chat(int Entry, const std::string &Prompt, int Tokens,
             bool Stream = false);
  std::shared_ptr<std::optional<Reply>>
  beginChat(int Entry, const std::string &Prompt, int Tokens);

  /// A counter or gauge of a daemon's /metrics; 0 when it is missing.
  double metric(int Port, const std::string &Name);
  double refusals(int Port, const std::string &Reason);
  /// The leading state daemon's number; 0 while there is none.
  int stateLeader();
  /// Runs of each caller and key over all services that were started.
  std::map<std::string, int> runCounts() const;
  std::size_t servingBackends(int Entry);

  int statePort(int Number) const { return this->Base + Number; }
  int stateHttp(int Number) const { return this->Base + 10 + Number; }
  int entryHttp(int Number) const { return this->Base + 20 + Number; }
  int entryPeer(int Number) const { return this->Base + 30 + Number; }
  int enginePort(int Number) const { return this->Base + 40 + Number; }
  int servicePort(int Number) const { return this->Base + 60 + Number; }
  int fleetHttp(int Number) const { return this->Base + 70 + Number; }
  int cloudPort() const { return this->Base + 75; }
  const std::string &folder() const { return this->Folder; }

private:
  std::string dataFolder(int Number) const;
  std::string stateList(int Viewer) const;
  std::string founders(int Viewer) const;
  std::string peers(int Viewer) const;
  int forwardPort(int Number) const { return this->Base + 80 + Number; }
  void launch(const std::string &Name, const std::string &Program,
              const std::vector<std::string> &Arguments);
  std::string entryList() const;

  std::unique_ptr<Network::EventLoop> Loop;
  Network::HttpClient Http;
  int Base;
  std::string Folder;
  std::vector<std::string> Identities;
  std::vector<std::unique_ptr<Forwarder>> Forwarders;
  std::map<std::string, std::unique_ptr<Process>> Running;
};

} // namespace FaultTests

#endif
