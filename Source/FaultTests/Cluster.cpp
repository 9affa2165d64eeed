#include "FaultTests/Cluster.h"

#include "Common/Hash.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace FaultTests {

namespace {

constexpr const char *OperatorToken = "test-operator-token-1";
constexpr const char *BackendToken = "test-backend-token-1";
constexpr const char *ClusterKey = "test-cluster-key-001";
constexpr const char *DataCentres[] = {"", "east", "west", "north"};
/// Generous for a loaded machine; only a failing test waits this long.
constexpr Common::Duration WaitTimeout = std::chrono::seconds(25);
constexpr Common::Duration CallTimeout = std::chrono::seconds(60);

int allocateBasePort() {
  constexpr int FirstPort = 21'000;
  constexpr int PortsPerCluster = 100;
  static int Next = FirstPort;
  return std::exchange(Next, Next + PortsPerCluster);
}

std::string loopbackText(int Port) {
  return "127.0.0.1:" + std::to_string(Port);
}

Network::Address loopbackAddress(int Port) {
  return {"127.0.0.1", static_cast<std::uint16_t>(Port)};
}

} // namespace

std::string CallResponse::outcome() const {
  const auto Problem = this->json();
  return Problem.is_object() ? Problem.value("outcome", "") : "";
}

std::string CallResponse::title() const {
  const auto Problem = this->json();
  return Problem.is_object() ? Problem.value("title", "") : "";
}

Cluster::Cluster()
    : Loop(*Network::EventLoop::create()), Http(*this->Loop),
      BasePort(allocateBasePort()),
      Folder("/tmp/sycamore-fault-" + std::to_string(getpid()) + "-" +
             std::to_string(this->BasePort)),
      Identities(StateDaemons + 1) {
  std::filesystem::create_directories(this->Folder);
  setenv("SYCAMORE_CLUSTER_KEY", ClusterKey, 1);
  setenv("SYCAMORE_OPERATOR_TOKEN", OperatorToken, 1);
  setenv("SYCAMORE_BACKEND_TOKEN", BackendToken, 1);
  for (int I = 1; I <= StateDaemons; ++I)
    this->wipeDisk(I);
  // Forwarder 1 leads to s1 from outside east, 2 and 3 from east to s2 and s3,
  // 4 from e1 to e2, and 5 from e2 to e1.
  const int Targets[] = {this->statePort(1), this->statePort(2),
                         this->statePort(3), this->entryPeer(2),
                         this->entryPeer(1)};
  for (int I = 0; I < 5; ++I)
    this->Forwarders.push_back(std::make_unique<Forwarder>(
        *this->Loop, loopbackAddress(this->forwardPort(I + 1)),
        loopbackAddress(Targets[I])));
}

Cluster::~Cluster() {
  this->Processes.clear();
  std::filesystem::remove_all(this->Folder);
}

std::string Cluster::dataFolder(int Number) const {
  return this->Folder + "/s" + std::to_string(Number);
}

void Cluster::wipeDisk(int Number) {
  std::filesystem::remove_all(this->dataFolder(Number));
  const ProgramOutput Output =
      runProgram(programPath("sycamore-state"),
                 {"format", "--name=s" + std::to_string(Number),
                  "--data=" + this->dataFolder(Number)});
  this->Identities[Number] = Output.Text.substr(0, Output.Text.find('\n'));
}

std::string Cluster::stateAddresses(int FromDataCentre) const {
  const bool FromEast = FromDataCentre == 1;
  return loopbackText(FromEast ? this->statePort(1) : this->forwardPort(1)) +
         "," +
         loopbackText(FromEast ? this->forwardPort(2) : this->statePort(2)) +
         "," +
         loopbackText(FromEast ? this->forwardPort(3) : this->statePort(3));
}

std::string Cluster::founders(int FromDataCentre) const {
  std::string Result;
  std::istringstream Addresses(this->stateAddresses(FromDataCentre));
  for (int I = 1; I <= StateDaemons; ++I) {
    std::string Address;
    std::getline(Addresses, Address, ',');
    Result += (I == 1 ? "" : ",") + this->Identities[I] + "@" + Address + "@" +
              DataCentres[I];
  }
  return Result;
}

std::string Cluster::peerAddresses(int FromDataCentre) const {
  const bool FromEast = FromDataCentre == 1;
  return "e1@" +
         loopbackText(FromEast ? this->entryPeer(1) : this->forwardPort(5)) +
         "@east,e2@" +
         loopbackText(FromEast ? this->forwardPort(4) : this->entryPeer(2)) +
         "@west";
}

std::string Cluster::entryAddresses() const {
  return loopbackText(this->entryHttp(1)) + "," +
         loopbackText(this->entryHttp(2));
}

void Cluster::startProcess(const std::string &Name, const std::string &Program,
                           const std::vector<std::string> &Arguments) {
  this->Processes[Name] = std::make_unique<Process>(
      programPath(Program), Arguments, this->Folder + "/" + Name + ".log");
}

void Cluster::startStateDaemon(int Number) {
  const std::string Name = "s" + std::to_string(Number);
  this->startProcess(Name, "sycamore-state",
                     {"run", "--name=" + Name,
                      std::string("--datacentre=") + DataCentres[Number],
                      "--data=" + this->dataFolder(Number),
                      "--listen=" + loopbackText(this->statePort(Number)),
                      "--http=" + loopbackText(this->stateHttp(Number)),
                      "--state=" + this->stateAddresses(Number),
                      "--founders=" + this->founders(Number)});
}

void Cluster::startEntryDaemon(int Number,
                               const std::vector<std::string> &MoreOptions) {
  const std::string Name = "e" + std::to_string(Number);
  std::vector<std::string> Options = {
      "--name=" + Name,
      std::string("--datacentre=") + DataCentres[Number],
      "--http=" + loopbackText(this->entryHttp(Number)),
      "--peer=" + loopbackText(this->entryPeer(Number)),
      "--peers=" + this->peerAddresses(Number),
      "--state=" + this->stateAddresses(Number)};
  Options.insert(Options.end(), MoreOptions.begin(), MoreOptions.end());
  this->startProcess(Name, "sycamore-entry", Options);
}

void Cluster::startEngine(const std::string &Name, int Number, int DelayMs,
                          int Slots) {
  const int DataCentre = Number % 2 == 1 ? 1 : 2;
  this->startProcess(Name, "sycamore-fake-engine",
                     {"--name=" + Name, "--service=assistant", "--model=m",
                      "--model-version=1", "--host=h-" + Name,
                      std::string("--datacentre=") + DataCentres[DataCentre],
                      "--listen=" + loopbackText(this->enginePort(Number)),
                      "--entries=" + this->entryAddresses(),
                      "--delay-ms=" + std::to_string(DelayMs),
                      "--slots=" + std::to_string(Slots)});
}

void Cluster::startService(const std::string &Name, int Number, int DelayMs) {
  const int DataCentre = Number % 2 == 1 ? 1 : 2;
  this->startProcess(Name, "sycamore-fake-service",
                     {"--name=" + Name, "--service=orders", "--host=h-" + Name,
                      std::string("--datacentre=") + DataCentres[DataCentre],
                      "--listen=" + loopbackText(this->servicePort(Number)),
                      "--runs-file=" + this->Folder + "/runs",
                      "--entries=" + this->entryAddresses(),
                      "--delay-ms=" + std::to_string(DelayMs)});
}

void Cluster::announce(const Membership::Announcement &Announcement) {
  for (int I = 1; I <= EntryDaemons; ++I)
    this->call(this->entryHttp(I), Network::HttpMethod::Post, "/v1/announce",
               Membership::formatAnnouncement(Announcement),
               {{"Authorization", std::string("Bearer ") + BackendToken}});
}

void Cluster::startFleetDaemon(int Number) {
  const std::string Name = "f" + std::to_string(Number);
  this->startProcess(Name, "sycamore-fleet",
                     {"--name=" + Name,
                      std::string("--datacentre=") + DataCentres[Number],
                      "--http=" + loopbackText(this->fleetHttp(Number)),
                      "--cloud=" + loopbackText(this->cloudPort()),
                      "--entries=" + this->entryAddresses(),
                      "--state=" + this->stateAddresses(2)});
}

void Cluster::startCloud() {
  this->startProcess("cloud", "sycamore-fake-cloud",
                     {"--listen=" + loopbackText(this->cloudPort()),
                      "--entries=" + this->entryAddresses(),
                      "--centres=east,west,north",
                      "--first-port=" + std::to_string(this->enginePort(0))});
}

void Cluster::startAll() {
  for (int I = 1; I <= StateDaemons; ++I)
    this->startStateDaemon(I);
  for (int I = 1; I <= EntryDaemons; ++I)
    this->startEntryDaemon(I);
  this->waitUntil([&] { return this->stateLeader() != 0; });
  const std::string Hash = Common::sha256Hex(CallerKey);
  const std::string SecondHash = Common::sha256Hex(SecondCallerKey);
  for (const std::string &Statement :
       {std::string("declare priority urgent rank 0 target 20 s floor 20 %"),
        std::string("declare priority later rank 2 target 60 s floor 10 %"),
        std::string("declare service assistant model m version 1"),
        std::string("declare service orders"),
        "declare caller yard priority urgent keyhash " + Hash,
        "declare caller mill priority later keyhash " + SecondHash})
    this->waitUntil([&] {
      return this->executeStatement(this->entryHttp(1), Statement).Status ==
             200;
    });
  this->waitUntil([&] {
    return this->metric(this->entryHttp(1), "configuration_version") >= 6 &&
           this->metric(this->entryHttp(2), "configuration_version") >= 6;
  });
}

void Cluster::blockEastLinks() {
  for (const auto &Link : this->Forwarders)
    Link->block();
}

void Cluster::unblockEastLinks() {
  for (const auto &Link : this->Forwarders)
    Link->unblock();
}

bool Cluster::waitUntil(const std::function<bool()> &Condition) {
  constexpr Common::Duration Step = std::chrono::milliseconds(10);
  const Common::TimePoint Deadline = this->Loop->now() + WaitTimeout;
  while (!Condition()) {
    if (this->Loop->now() >= Deadline)
      return false;
    this->runLoopFor(Step);
  }
  return true;
}

void Cluster::runLoopFor(Common::Duration Duration) {
  const Common::TimePoint Deadline = this->Loop->now() + Duration;
  while (this->Loop->now() < Deadline)
    this->Loop->runOnce(Deadline - this->Loop->now());
}

std::shared_ptr<std::optional<CallResponse>>
Cluster::startCall(int Port, Network::HttpMethod Method,
                   const std::string &Target, const std::string &Body,
                   Network::HttpHeaders Headers) {
  auto Response = std::make_shared<std::optional<CallResponse>>();
  Network::HttpCall Call;
  Call.To = loopbackAddress(Port);
  Call.Timeout = CallTimeout;
  Call.Policy = Network::ConnectionPolicy::Dedicated;
  Call.Request.Method = Method;
  Call.Request.Target = Target;
  Call.Request.Headers = std::move(Headers);
  Call.Request.Body = Body;
  Network::HttpCallHandlers Handlers;
  Handlers.OnDone = [Response](Network::HttpCallResult Result,
                               const Network::HttpResponse &Received) {
    *Response =
        CallResponse{Result, Received.Status, Received.Headers, Received.Body};
  };
  this->Http.start(std::move(Call), std::move(Handlers));
  return Response;
}

CallResponse Cluster::call(int Port, Network::HttpMethod Method,
                           const std::string &Target, const std::string &Body,
                           Network::HttpHeaders Headers) {
  const auto Response =
      this->startCall(Port, Method, Target, Body, std::move(Headers));
  constexpr Common::Duration Step = std::chrono::milliseconds(20);
  while (!*Response)
    this->Loop->runOnce(Step);
  return **Response;
}

CallResponse Cluster::executeStatement(int Port, const std::string &Statement,
                                       const std::string &CommandId) {
  Network::HttpHeaders Headers = {
      {"Authorization", std::string("Bearer ") + OperatorToken},
      {"Accept", "application/json"}};
  if (!CommandId.empty())
    Headers.push_back({"Command-Id", CommandId});
  return this->call(Port, Network::HttpMethod::Post, "/v1/operator", Statement,
                    Headers);
}

CallResponse Cluster::reserve(int Entry, const std::string &Key,
                              const std::string &Body,
                              const std::string &Caller) {
  return this->call(
      this->entryHttp(Entry), Network::HttpMethod::Post,
      "/services/orders/reservations", Body,
      {{"Authorization", "Bearer " + Caller}, {"Idempotency-Key", Key}});
}

std::shared_ptr<std::optional<CallResponse>>
Cluster::startChat(int Entry, const std::string &Prompt, int Tokens) {
  const nlohmann::json Body = {
      {"model", "m"},
      {"max_tokens", Tokens},
      {"messages",
       nlohmann::json::array({{{"role", "user"}, {"content", Prompt}}})}};
  return this->startCall(
      this->entryHttp(Entry), Network::HttpMethod::Post, "/v1/chat/completions",
      Body.dump(), {{"Authorization", std::string("Bearer ") + CallerKey}});
}

CallResponse Cluster::chat(int Entry, const std::string &Prompt, int Tokens,
                           bool Stream) {
  const nlohmann::json Body = {
      {"model", "m"},
      {"max_tokens", Tokens},
      {"stream", Stream},
      {"messages",
       nlohmann::json::array({{{"role", "user"}, {"content", Prompt}}})}};
  return this->call(this->entryHttp(Entry), Network::HttpMethod::Post,
                    "/v1/chat/completions", Body.dump(),
                    {{"Authorization", std::string("Bearer ") + CallerKey}});
}

double Cluster::metric(int Port, const std::string &Name) {
  const CallResponse Response =
      this->call(Port, Network::HttpMethod::Get, "/metrics");
  const std::string LinePrefix = "\nsycamore_" + Name + " ";
  const std::size_t Position = Response.Body.find(LinePrefix);
  if (Position == std::string::npos)
    return 0;
  return std::strtod(Response.Body.c_str() + Position + LinePrefix.size(),
                     nullptr);
}

double Cluster::refusalCount(int Port, const std::string &Reason) {
  return this->metric(Port, "refusals_total{reason=\"" + Reason + "\"}");
}

int Cluster::stateLeader() {
  for (int I = 1; I <= StateDaemons; ++I)
    if (this->metric(this->stateHttp(I), "state_leading") == 1)
      return I;
  return 0;
}

std::map<std::string, int> Cluster::runCounts() const {
  std::map<std::string, int> Result;
  std::ifstream Runs(this->Folder + "/runs");
  std::string Line;
  while (std::getline(Runs, Line))
    ++Result[Line];
  return Result;
}

std::size_t Cluster::servingBackendCount(int Entry) {
  const CallResponse Response = this->executeStatement(
      this->entryHttp(Entry), "show backends where state = serving");
  const auto Rows = Response.json();
  return Rows.is_array() ? Rows.size() : 0;
}

} // namespace FaultTests
