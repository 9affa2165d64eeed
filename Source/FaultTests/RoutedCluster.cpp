#include "FaultTests/RoutedCluster.h"

#include "Network/Codec.h"
#include "State/ControlState.h"
#include "Storage/DataFolder.h"

#include <array>
#include <boost/test/results_collector.hpp>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <unistd.h>

namespace FaultTests {

namespace {

using Json = nlohmann::json;

constexpr std::uint16_t ControlPort = 21'601;
constexpr std::uint16_t EntryPort = 21'602;
constexpr std::uint16_t ReadyPort = 21'603;
constexpr std::uint16_t ServerPort = 21'604;
constexpr std::uint16_t MetricsPort = 21'606;
constexpr std::uint16_t LinkPort = 21'605;
/// Used by a state daemon whose links are forwarded.
constexpr std::uint16_t ForwardedLinkPort = 21'607;
/// Where entry daemons with limited links reach the state daemons.
constexpr std::uint16_t EntryLinkPort = 21'608;
constexpr int Seeds = 3;
/// Last byte of the first entry daemon's address.
constexpr int FirstEntryByte = 10;
/// Nothing listens on the last address.
constexpr std::array ServerIps = {"127.0.8.20", "127.0.8.21", "127.0.8.22"};
/// Generous for a loaded machine; only a failing test waits this long.
constexpr Common::Duration WaitTimeout = std::chrono::seconds(25);

std::string stateDaemonIp(int Number) {
  return "127.0.8." + std::to_string(Number);
}

std::string entryIp(int Number) {
  return "127.0.8." + std::to_string(FirstEntryByte - 1 + Number);
}

std::string seedAddresses() {
  std::string Result;
  for (int I = 1; I <= Seeds; ++I)
    Result += (I > 1 ? "," : "") + stateDaemonIp(I) + ":" +
              std::to_string(ControlPort);
  return Result;
}

} // namespace

RoutedCluster::RoutedCluster() {
  setenv("SYCAMORE_CLUSTER_KEY", ClusterKey, 1);
  this->Folder = (std::filesystem::temp_directory_path() /
                  ("routed-" + std::to_string(getpid())))
                     .string();
  std::filesystem::remove_all(this->Folder);
  std::filesystem::create_directories(this->Folder);
  auto CreatedLoop = Network::EventLoop::create();
  BOOST_REQUIRE(CreatedLoop.ok());
  this->Loop = std::move(*CreatedLoop);
  this->Client = std::make_unique<Network::Http1Client>(*this->Loop);
  this->OnServerRequest =
      [](const std::shared_ptr<Network::Http1Exchange> &Exchange) {
        respond(*Exchange);
      };
  Network::Http1Server::Handlers Handlers;
  Handlers.OnRequest =
      [this](const std::shared_ptr<Network::Http1Exchange> &Exchange) {
        ++this->ServerRequests;
        this->OnServerRequest(Exchange);
      };
  for (std::size_t I = 0; I + 1 < ServerIps.size(); ++I) {
    auto CreatedServer = Network::Http1Server::create(
        *this->Loop, {ServerIps[I], ServerPort}, Handlers);
    BOOST_REQUIRE_MESSAGE(CreatedServer.ok(), CreatedServer.status().message());
    this->Servers.push_back(std::move(*CreatedServer));
  }
}

RoutedCluster::~RoutedCluster() {
  this->Processes.clear();
  this->LinkForwarders.clear();
  this->EntryForwarders.clear();
  this->Client.reset();
  this->Servers.clear();
  using namespace boost::unit_test;
  if (results_collector.results(framework::current_test_case_id()).passed())
    std::filesystem::remove_all(this->Folder);
  else
    BOOST_TEST_MESSAGE("the daemons' logs are in " << this->Folder);
}

Network::HttpHeaders
RoutedCluster::signedHeaders(const Network::Http1Exchange &Exchange) {
  return {{"X-Sycamorereach-Request-Id",
           Exchange.header("X-Sycamorereach-Request-Id").value_or("")},
          {"X-Sycamorereach-Replica-Signature", "signed"}};
}

Network::HttpHeaders
RoutedCluster::eventStreamHeaders(const Network::Http1Exchange &Exchange) {
  Network::HttpHeaders Result = signedHeaders(Exchange);
  Result.push_back({"Content-Type", "text/event-stream"});
  return Result;
}

void RoutedCluster::respond(Network::Http1Exchange &Exchange, int Status,
                            const Network::HttpHeaders &Further) {
  Network::HttpHeaders Headers = signedHeaders(Exchange);
  Headers.insert(Headers.end(), Further.begin(), Further.end());
  Exchange.reply(
      Status, Headers,
      "served " + Exchange.path() + " for " +
          Exchange.header("X-Sycamorereach-Tenant").value_or("nobody"));
}

void RoutedCluster::rejectAndAskForRest(Network::Http1Exchange &Exchange,
                                        Common::Duration RetryAfter) {
  Network::HttpHeaders Headers = signedHeaders(Exchange);
  Headers.push_back({"X-Sycamorereach-Not-Executed", "1"});
  Headers.push_back(
      {"Retry-After", std::to_string(Common::toSeconds(RetryAfter))});
  Exchange.reply(503, Headers, "full");
}

void RoutedCluster::startStateDaemon(int Number, bool FirstStart) {
  const std::string Name = "state" + std::to_string(Number);
  this->Processes[Name] = std::make_unique<Process>(
      programPath("sycamore-state"),
      std::vector<std::string>{
          "control", "--name=" + Name, "--datacentre=dc" + Name,
          "--data=" + this->Folder + "/" + Name,
          "--http=" + this->controlAddress(Number).str(),
          "--link-port=" + std::to_string(Number == this->ForwardedDaemon
                                              ? ForwardedLinkPort
                                              : LinkPort),
          "--seeds=" + seedAddresses(),
          "--metrics-port=" + std::to_string(MetricsPort),
          std::string("--first-start=") + (FirstStart ? "true" : "false"),
          "--tolerated-hosts=1"},
      this->newLogPath(Name));
}

void RoutedCluster::storeDeclaration(Common::ConfigurationVersion Version,
                                     const std::string &Document) {
  std::vector<Consensus::Member> Founders;
  for (int I = 1; I <= Seeds; ++I)
    Founders.push_back({Consensus::ReplicaId("founder-" + stateDaemonIp(I)),
                        linkAddress(I),
                        Common::DataCentreId("dcstate" + std::to_string(I))});
  Consensus::Snapshot Base;
  Base.Membership = *Consensus::Membership::create(Founders);
  const Consensus::Term First{1};
  const Consensus::LogEntry Entry{
      First, Consensus::LogIndex{1}, Consensus::EntryKind::Command,
      Network::encode(
          State::ControlCommand(State::DeclareCommand{Version, Document}))};
  for (int I = 1; I <= Seeds; ++I) {
    const std::string Path = this->Folder + "/state" + std::to_string(I);
    const Consensus::ReplicaId &Identity = Founders[I - 1].Id;
    BOOST_REQUIRE(Storage::DataFolder::formatWithIdentity(Path, Identity).ok());
    Storage::RecoveredState Blank;
    auto Disk = Storage::DataFolder::open(Path, Blank);
    BOOST_REQUIRE(Disk.ok());
    BOOST_REQUIRE(
        Disk->compact({First, {}}, Consensus::ReplicatedLog(Base, {Entry}))
            .ok());
  }
}

void RoutedCluster::restartStateDaemon(int Number) {
  const auto Found = this->Processes.find("state" + std::to_string(Number));
  if (Found != this->Processes.end()) {
    Found->second->signal(SIGCONT);
    const bool Stopping = this->log(Found->first).find("event=shutting_down") !=
                          std::string::npos;
    if (!Stopping)
      return;
    BOOST_REQUIRE(this->waitUntil([&] { return Found->second->hasExited(); }));
    this->crash(Found->first);
  }
  this->startStateDaemon(Number, false);
}

void RoutedCluster::startEntryDaemon(int Number) {
  const std::string Name =
      Number == 1 ? "entry" : "entry" + std::to_string(Number);
  this->Processes[Name] = std::make_unique<Process>(
      programPath("sycamore-entry"),
      std::vector<std::string>{
          "gateway", "--name=" + Name, "--datacentre=dcstate1",
          "--http=" + this->entryAddress(Number).str(),
          "--ready=" + Network::Address{entryIp(Number), ReadyPort}.str(),
          "--link-port=" + std::to_string(this->EntryForwarders.empty()
                                              ? LinkPort
                                              : EntryLinkPort),
          "--seeds=" + seedAddresses(),
          "--revoke-time=" +
              std::to_string(std::chrono::milliseconds(RevokeTime).count()),
          std::string("--rollouts=") + (this->Rollouts ? "true" : "false"),
          "--retry-ratio=" + std::to_string(this->RetryRatio),
          "--retry-extra=" + std::to_string(this->RetryExtra),
          "--shutdown-time=" + std::to_string(this->ShutdownSeconds)},
      this->newLogPath(Name));
}

void RoutedCluster::forwardLinksOf(int Number) {
  this->ForwardedDaemon = Number;
  // Every daemon expects its peers at its own link port.
  for (int I = 1; I <= Seeds; ++I) {
    const Network::Address Listen{stateDaemonIp(I),
                                  I == Number ? LinkPort : ForwardedLinkPort};
    const Network::Address Target{Listen.Ip,
                                  I == Number ? ForwardedLinkPort : LinkPort};
    this->LinkForwarders.push_back(
        std::make_unique<Forwarder>(*this->Loop, Listen, Target));
  }
}

void RoutedCluster::limitEntryLinks(std::size_t BytesPerSecond) {
  for (int I = 1; I <= Seeds; ++I) {
    const std::string Ip = stateDaemonIp(I);
    this->EntryForwarders.push_back(std::make_unique<Forwarder>(
        *this->Loop, Network::Address{Ip, EntryLinkPort},
        Network::Address{Ip, LinkPort}));
    this->EntryForwarders.back()->limitRate(BytesPerSecond);
  }
}

void RoutedCluster::blockLinks() {
  for (const auto &Each : this->LinkForwarders)
    Each->block();
}

void RoutedCluster::unblockLinks() {
  for (const auto &Each : this->LinkForwarders)
    Each->unblock();
}

std::string RoutedCluster::newLogPath(const std::string &Name) {
  return this->LogPaths[Name] = this->Folder + "/" + Name + ".log" +
                                std::to_string(++this->LogCount);
}

std::string RoutedCluster::log(const std::string &Name) const {
  std::ifstream Stream(this->LogPaths.at(Name));
  return {std::istreambuf_iterator<char>(Stream), {}};
}

void RoutedCluster::startAll() {
  for (int I = 1; I <= StateDaemons; ++I)
    this->startStateDaemon(I, true);
  this->startEntryDaemon();
  BOOST_REQUIRE(this->operatorCall("POST", "/sycamorereach/config/replace",
                                   declaration(3, "/a/"), 200));
  this->announce("ready");
  BOOST_REQUIRE(
      this->waitUntil([this] { return this->request("/a/x").Status == 200; }));
}

void RoutedCluster::crashAndRestartAll() {
  for (int I = 1; I <= StateDaemons; ++I)
    this->crash("state" + std::to_string(I));
  this->crash("entry");
  for (int I = 1; I <= StateDaemons; ++I)
    this->startStateDaemon(I, false);
  this->startEntryDaemon();
}

void RoutedCluster::wipeDisk(int Number) {
  std::filesystem::remove_all(this->Folder + "/state" + std::to_string(Number));
}

Network::Address RoutedCluster::serverAddress(const std::string &Ip) {
  return {Ip, ServerPort};
}
Network::Address RoutedCluster::entryAddress(int Number) const {
  return {entryIp(Number), EntryPort};
}
Network::Address RoutedCluster::readinessAddress() const {
  return {entryIp(1), ReadyPort};
}
Network::Address RoutedCluster::controlAddress(int Number) const {
  return {stateDaemonIp(Number), ControlPort};
}

Network::Address RoutedCluster::metricsAddress(int Number) {
  return {stateDaemonIp(Number), MetricsPort};
}

Network::Address RoutedCluster::linkAddress(int Number) {
  return {stateDaemonIp(Number), LinkPort};
}

bool RoutedCluster::waitUntil(const std::function<bool()> &Condition) {
  const Common::TimePoint Deadline = this->Loop->now() + WaitTimeout;
  while (!Condition()) {
    if (this->Loop->now() > Deadline)
      return false;
    this->Loop->runOnce(std::chrono::milliseconds(20));
  }
  return true;
}

RoutedResponse RoutedCluster::call(const Network::Address &To,
                                   const std::string &Method,
                                   const std::string &Target,
                                   const std::string &Body,
                                   Network::HttpHeaders Headers) {
  const auto Response =
      this->startCall(To, Method, Target, Body, std::move(Headers));
  BOOST_REQUIRE(this->waitUntil([Response] { return Response->Done; }));
  return *Response;
}

std::shared_ptr<RoutedResponse>
RoutedCluster::startCall(const Network::Address &To, const std::string &Method,
                         const std::string &Target, const std::string &Body,
                         Network::HttpHeaders Headers) {
  auto Response = std::make_shared<RoutedResponse>();
  Network::Http1Call Request;
  Request.To = To;
  Request.Method = Method;
  Request.Target = Target;
  Request.Headers = std::move(Headers);
  Request.Headers.push_back({"Host", "yard.example"});
  Request.Body = Body;
  // Longer than WaitTimeout, so that a call without a response fails the test.
  Request.IdleTimeout = 2 * WaitTimeout;
  // A new connection for each call, as callers that have restarted open one.
  Request.OwnConnection = true;
  Network::Http1CallHandlers Handlers;
  Handlers.OnHead = [Response](const Network::Http1Head &Head) {
    Response->Status = Head.Status;
    Response->Headers = Head.Headers;
    return true;
  };
  Handlers.OnBody = [Response](const std::string &Bytes) {
    Response->Body += Bytes;
  };
  Handlers.OnDone = [Response](Network::Http1CallResult Result) {
    Response->Result = Result;
    Response->Done = true;
  };
  this->Client->start(std::move(Request), std::move(Handlers));
  return Response;
}

bool RoutedCluster::operatorCall(const std::string &Method,
                                 const std::string &Target,
                                 const std::string &Body, int Status,
                                 std::string *ResponseBody) {
  int NextDaemon = 0;
  return this->waitUntil([&] {
    RoutedResponse Response =
        this->call(this->controlAddress(1 + NextDaemon++ % StateDaemons),
                   Method, Target, Body);
    for (int Hop = 0; Hop < 2 && Response.Status == 307; ++Hop) {
      const std::string Location =
          Network::findHeader(Response.Headers, "Location").value_or("");
      const std::string LeaderAddress =
          Location.substr(7, Location.find('/', 7) - 7);
      Response = this->call(*Network::Address::create(LeaderAddress), Method,
                            Target, Body);
    }
    if (ResponseBody)
      *ResponseBody = Response.Body;
    return Response.Status == Status;
  });
}

RoutedResponse RoutedCluster::request(const std::string &Path,
                                      const std::string &Key,
                                      const std::string &Method) {
  const auto Response = this->startRequest(Path, Key, Method);
  BOOST_REQUIRE(this->waitUntil([Response] { return Response->Done; }));
  return *Response;
}

std::shared_ptr<RoutedResponse>
RoutedCluster::startRequest(const std::string &Path, const std::string &Key,
                            const std::string &Method,
                            int DeadlineMilliseconds) {
  return this->startCall(
      this->entryAddress(), Method, Path, Method == "POST" ? "body" : "",
      {{"X-Sycamorereach-Request-Id", std::to_string(++this->LastRequestId)},
       {"X-Sycamorereach-Request-Deadline",
        std::to_string(DeadlineMilliseconds)},
       {"Authorization", "Bearer " + Key}});
}

void RoutedCluster::announce(const std::string &State, int Server,
                             std::uint64_t Born, const std::string &Version) {
  this->announce({"shop-" + std::to_string(Server), ServerIps.at(Server - 1),
                  "shop", State, Born, Version});
}

void RoutedCluster::announceAt(const std::string &Id, const std::string &Ip,
                               std::uint64_t Born) {
  this->announce({Id, Ip, "shop", "ready", Born, "v1"});
}

void RoutedCluster::announce(const Heartbeat &Sent) {
  BOOST_REQUIRE(this->waitUntil([&] {
    for (int I = 1; I <= StateDaemons; ++I)
      if (this->announceTo(I, Sent) == 200)
        return true;
    return false;
  }));
}

int RoutedCluster::announceTo(int StateDaemon, const Heartbeat &Sent) {
  const Json Body = {{"service", Sent.Service},
                     {"address", serverAddress(Sent.Ip).str()},
                     {"zone", "dcstate1"},
                     {"version", Sent.Version},
                     {"slots", 8},
                     {"state", Sent.State},
                     {"sequence", ++this->HeartbeatSequence},
                     {"born", Sent.Born}};
  return this
      ->call(this->controlAddress(StateDaemon), "POST",
             "/sycamorereach/replicas/" + Sent.Id + "/heartbeat", Body.dump())
      .Status;
}

std::string RoutedCluster::declaration(std::uint64_t Version,
                                       const std::string &Prefix) {
  const auto Route = [](const std::string &Name, const std::string &Path,
                        const char *Kind) {
    return Json{
        {"name", Name},       {"host", "yard.example"}, {"path-prefix", Path},
        {"route-kind", Kind}, {"timeout-ms", 3000},     {"max-attempts", 2},
        {"slo-ms", 200},      {"priority", 4},          {"service", "shop"}};
  };
  Json Stream = Route("flow", Prefix + "flow/", "streaming");
  Stream["resumable"] = true;
  // Its callers wait for the next event for 8 times the pause.
  Json SlowStream = Route("slow-flow", Prefix + "slow-flow/", "streaming");
  SlowStream["resumable"] = true;
  SlowStream["timeout-ms"] = 10000;
  SlowStream["gap-target-ms"] = 500;
  const Json Declaration = {
      {"version", Version},
      {"routes",
       {Route("safe", Prefix, "safe"), Stream, SlowStream,
        Route("once", Prefix + "once/", "unsafe")}},
      {"services", {{{"name", "shop"}}}},
      {"tenants",
       {{{"name", "mill"}, {"api-keys", {"key-1"}}},
        {{"name", "urgent"}, {"api-keys", {"key-2"}}, {"priority", 2}}}}};
  return Declaration.dump();
}

bool RoutedCluster::isGroupHealthy() {
  for (int I = 1; I <= StateDaemons; ++I) {
    const std::string Metrics = this->metrics(I);
    const auto HasLine = [&Metrics](const char *Line) {
      return Metrics.find(Line) != std::string::npos;
    };
    if (HasLine("\nsycamore_leading 1\n"))
      return HasLine("\nsycamore_voters 3\n") &&
             HasLine("\nsycamore_members 4\n") &&
             HasLine("\nsycamore_members_lost_or_behind 0\n");
  }
  return false;
}

std::string RoutedCluster::metrics(int Number) {
  return this->call(metricsAddress(Number), "GET", "/metrics").Body;
}

bool RoutedCluster::hasMetric(int Number, const std::string &Line) {
  return this->metrics(Number).find("\nsycamore_" + Line + "\n") !=
         std::string::npos;
}

bool RoutedCluster::hasLeader() {
  for (int I = 1; I <= StateDaemons; ++I)
    if (this->hasMetric(I, "leading 1"))
      return true;
  return false;
}

bool RoutedCluster::hasProtocolLevel() {
  for (int I = 1; I <= StateDaemons; ++I)
    if (!this->hasMetric(
            I, "protocol_level " +
                   std::to_string(State::SupportedProtocolLevel.Value)))
      return false;
  return true;
}

int RoutedCluster::proposals(int Number) {
  const std::string Metrics = this->metrics(Number);
  const std::string Name = "\nsycamore_proposals_total ";
  const std::size_t At = Metrics.find(Name);
  return At == std::string::npos ? 0
                                 : std::stoi(Metrics.substr(At + Name.size()));
}

int RoutedCluster::leader() {
  int Leader = 0;
  this->waitUntil([&] {
    for (int I = 1; I <= StateDaemons; ++I)
      if (this->Processes.count("state" + std::to_string(I)) != 0 &&
          this->call(this->controlAddress(I), "GET",
                     "/sycamorereach/config/read")
                  .Status == 200) {
        Leader = I;
        return true;
      }
    return false;
  });
  return Leader;
}

} // namespace FaultTests
