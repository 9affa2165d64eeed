#ifndef SYCAMOREREACH_FAULTTESTS_ROUTEDCLUSTER_H
#define SYCAMOREREACH_FAULTTESTS_ROUTEDCLUSTER_H

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

struct RoutedReply {
  bool Done = false;
  Network::Http1CallResult End = Network::Http1CallResult::NotSent;
  int Status = 0;
  Network::HttpHeaders Headers;
  std::string Body;
};

/// Four state daemons and an entry daemon of routed serving, each at its own
/// loopback address, with stand-ins for two backend servers in this process.
class RoutedCluster {
public:
  static constexpr int StateDaemons = 4;

  RoutedCluster();
  ~RoutedCluster();

  /// Everything up, one declaration in force, the server announced.
  void startAll();
  void startState(int Number, bool FirstStart);
  void startEntry();
  void kill(const std::string &Name) { this->Running.erase(Name); }
  void wipe(int Number);
  Process &process(const std::string &Name) { return *this->Running.at(Name); }

  RoutedReply call(const Network::Address &To, const std::string &Method,
                   const std::string &Target, const std::string &Body = "",
                   Network::HttpHeaders Headers = {});
  /// As call, without waiting for the answer.
  std::shared_ptr<RoutedReply> start(const Network::Address &To,
                                     const std::string &Method,
                                     const std::string &Target,
                                     const std::string &Body,
                                     Network::HttpHeaders Headers);
  /// Asks the state daemons in turn, following redirects, until one answers
  /// with Status; false after a long time.
  bool operatorCall(const std::string &Method, const std::string &Target,
                    const std::string &Body, int Status,
                    std::string *Answer = nullptr);
  /// A request through the entry daemon, with a fresh id.
  RoutedReply ask(const std::string &Path, const std::string &Key = "key-1",
                  const std::string &Method = "POST");
  /// As ask, without waiting for the answer.
  std::shared_ptr<RoutedReply> startAsking(const std::string &Path,
                                           const std::string &Key = "key-1",
                                           const std::string &Method = "POST");
  /// The stand-in plays the servers shop-1 and shop-2; shop-3 refuses
  /// connections.
  void announce(const std::string &State, int Server = 1);
  /// A declaration whose routes lie under Prefix.
  static std::string declaration(std::uint64_t Version,
                                 const std::string &Prefix);
  bool await(const std::function<bool()> &Done);
  int leader();
  /// The leader has three voters and four members, none lost or behind.
  bool groupIsWhole();

  Network::Address entry() const;
  Network::Address ready() const;
  Network::Address control(int Number) const;
  /// What the stand-in does with a request; answers it unless replaced.
  std::function<void(std::shared_ptr<Network::Http1Exchange>)> OnServed;
  int Served = 0;
  Network::EventLoop &loop() { return *this->Loop; }
  static void answer(Network::Http1Exchange &Exchange, int Status = 200);

private:
  std::unique_ptr<Network::EventLoop> Loop;
  std::unique_ptr<Network::Http1Client> Client;
  std::vector<std::unique_ptr<Network::Http1Server>> Servers;
  std::map<std::string, std::unique_ptr<Process>> Running;
  std::string Folder;
  std::uint64_t Requests = 0;
  std::uint64_t Beats = 0;
  int Logs = 0;
};

} // namespace FaultTests

#endif
