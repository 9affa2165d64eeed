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
constexpr const char *Centres[] = {"", "east", "west", "north"};
/// Long enough for a loaded machine; tests end earlier when the condition
/// holds.
constexpr Common::Duration AwaitLimit = std::chrono::seconds(25);
constexpr Common::Duration CallLimit = std::chrono::seconds(60);

int nextBase() {
  constexpr int FirstPort = 21'000;
  constexpr int PortsEach = 100;
  static int Next = FirstPort;
  return std::exchange(Next, Next + PortsEach);
}

std::string local(int Port) { return "127.0.0.1:" + std::to_string(Port); }

Network::Address addressOf(int Port) {
  return {"127.0.0.1", static_cast<std::uint16_t>(Port)};
}

} // namespace

std::string Reply::outcome() const {
  const auto Problem = this->json();
  return Problem.is_object() ? Problem.value("outcome", "") : "";
}

std::string Reply::title() const {
  const auto Problem = this->json();
  return Problem.is_object() ? Problem.value("title", "") : "";
}

Cluster::Cluster()
    : Loop(*Network::EventLoop::create()), Http(*this->Loop), Base(nextBase()),
      Folder("/tmp/sycamore-fault-" + std::to_string(getpid()) + "-" +
             std::to_string(this->Base)),
      Identities(StateDaemons + 1) {
  std::filesystem::create_directories(this->Folder);
  setenv("SYCAMORE_CLUSTER_KEY", ClusterKey, 1);
  setenv("SYCAMORE_OPERATOR_TOKEN", OperatorToken, 1);
  setenv("SYCAMORE_BACKEND_TOKEN", BackendToken, 1);
  for (int I = 1; I <= StateDaemons; ++I)
    this->wipeDisk(I);
  // 1: to s1; 2 and 3: from east to s2 and s3; 4: e1 to e2; 5: e2 to e1.
  const int Targets[] = {this->statePort(1), this->statePort(2),
                         this->statePort(3), this->entryPeer(2),
                         this->entryPeer(1)};
  for (int I = 0; I < 5; ++I)
    this->Forwarders.push_back(std::make_unique<Forwarder>(
        *this->Loop, addressOf(this->forwardPort(I + 1)),
        addressOf(Targets[I])));
}

Cluster::~Cluster() {
  this->Running.clear();
  std::filesystem::remove_all(this->Folder);
}

std::string Cluster::dataFolder(int Number) const {
  return this->Folder + "/s" + std::to_string(Number);
}

void Cluster::wipeDisk(int Number) {
  std::filesystem::remove_all(this->dataFolder(Number));
  const ProgramOutput Made =
      runProgram(programPath("sycamore-state"),
                 {"format", "--name=s" + std::to_string(Number),
                  "--data=" + this->dataFolder(Number)});
  this->Identities[Number] = Made.Text.substr(0, Made.Text.find('\n'));
}

std::string Cluster::stateList(int Viewer) const {
  const bool East = Viewer == 1;
  return local(East ? this->statePort(1) : this->forwardPort(1)) + "," +
         local(East ? this->forwardPort(2) : this->statePort(2)) + "," +
         local(East ? this->forwardPort(3) : this->statePort(3));
}

std::string Cluster::founders(int Viewer) const {
  std::string Result;
  std::istringstream Addresses(this->stateList(Viewer));
  for (int I = 1; I <= StateDaemons; ++I) {
    std::string Address;
    std::getline(Addresses, Address, ',');
    Result += (I == 1 ? "" : ",") + this->Identities[I] + "@" + Address + "@" +
              Centres[I];
  }
  return Result;
}

std::string Cluster::peers(int Viewer) const {
  const bool East = Viewer == 1;
  return "e1@" + local(East ? this->entryPeer(1) : this->forwardPort(5)) +
         "@east,e2@" + local(East ? this->forwardPort(4) : this->entryPeer(2)) +
         "@west";
}

std::string Cluster::entryList() const {
  return local(this->entryHttp(1)) + "," + local(this->entryHttp(2));
}

void Cluster::launch(const std::string &Name, const std::string &Program,
                     const std::vector<std::string> &Arguments) {
  this->Running[Name] = std::make_unique<Process>(
      programPath(Program), Arguments, this->Folder + "/" + Name + ".log");
}

void Cluster::startState(int Number) {
  const std::string Name = "s" + std::to_string(Number);
  this->launch(Name, "sycamore-state",
               {"run", "--name=" + Name,
                std::string("--datacentre=") + Centres[Number],
                "--data=" + this->dataFolder(Number),
                "--listen=" + local(this->statePort(Number)),
                "--http=" + local(this->stateHttp(Number)),
                "--state=" + this->stateList(Number),
                "--founders=" + this->founders(Number)});
}

void Cluster::startEntry(int Number) {
  const std::string Name = "e" + std::to_string(Number);
  this->launch(
      Name, "sycamore-entry",
      {"--name=" + Name, std::string("--datacentre=") + Centres[Number],
       "--http=" + local(this->entryHttp(Number)),
       "--peer=" + local(this->entryPeer(Number)),
       "--peers=" + this->peers(Number), "--state=" + this->stateList(Number)});
}

void Cluster::startEngine(const std::string &Name, int Number, int DelayMs,
                          int Slots) {
  const int Centre = Number % 2 == 1 ? 1 : 2;
  this->launch(Name, "sycamore-fake-engine",
               {"--name=" + Name, "--service=assistant", "--model=m",
                "--model-version=1", "--host=h-" + Name,
                std::string("--datacentre=") + Centres[Centre],
                "--listen=" + local(this->enginePort(Number)),
                "--entries=" + this->entryList(),
                "--delay-ms=" + std::to_string(DelayMs),
                "--slots=" + std::to_string(Slots)});
}

void Cluster::startService(const std::string &Name, int Number, int DelayMs) {
  const int Centre = Number % 2 == 1 ? 1 : 2;
  this->launch(Name, "sycamore-fake-service",
               {"--name=" + Name, "--service=orders", "--host=h-" + Name,
                std::string("--datacentre=") + Centres[Centre],
                "--listen=" + local(this->servicePort(Number)),
                "--runs-file=" + this->Folder + "/runs",
                "--entries=" + this->entryList(),
                "--delay-ms=" + std::to_string(DelayMs)});
}

void Cluster::startFleet(int Number) {
  const std::string Name = "f" + std::to_string(Number);
  this->launch(
      Name, "sycamore-fleet",
      {"--name=" + Name, std::string("--datacentre=") + Centres[Number],
       "--http=" + local(this->fleetHttp(Number)),
       "--cloud=" + local(this->cloudPort()), "--entries=" + this->entryList(),
       "--state=" + this->stateList(2)});
}

void Cluster::startCloud() {
  this->launch("cloud", "sycamore-fake-cloud",
               {"--listen=" + local(this->cloudPort()),
                "--entries=" + this->entryList(), "--centres=east,west,north",
                "--first-port=" + std::to_string(this->enginePort(0))});
}

void Cluster::startAll() {
  for (int I = 1; I <= StateDaemons; ++I)
    this->startState(I);
  for (int I = 1; I <= EntryDaemons; ++I)
    this->startEntry(I);
  this->await([&] { return this->stateLeader() != 0; });
  const std::string Hash = Common::sha256Hex(CallerKey);
  const std::string Other = Common::sha256Hex(OtherKey);
  for (const std::string &Statement :
       {std::string("declare priority urgent rank 0 target 20 s floor 20 %"),
        std::string("declare priority later rank 2 target 60 s floor 10 %"),
        std::string("declare service assistant model m version 1"),
        std::string("declare service orders"),
        "declare caller yard priority urgent keyhash " + Hash,
        "declare caller mill priority later keyhash " + Other})
    this->await([&] {
      return this->operate(this->entryHttp(1), Statement).Status == 200;
    });
  this->await([&] {
    return this->metric(this->entryHttp(1), "configuration_version") >= 6 &&
           this->metric(this->entryHttp(2), "configuration_version") >= 6;
  });
}

void Cluster::cutEast() {
  for (const auto &Each : this->Forwarders)
    Each->cut();
}

void Cluster::healEast() {
  for (const auto &Each : this->Forwarders)
    Each->heal();
}

bool Cluster::await(const std::function<bool()> &Done) {
  constexpr Common::Duration Step = std::chrono::milliseconds(10);
  const Common::TimePoint End = this->Loop->now() + AwaitLimit;
  while (!Done()) {
    if (this->Loop->now() >= End)
      return false;
    this->pause(Step);
  }
  return true;
}

void Cluster::pause(Common::Duration Span) {
  const Common::TimePoint End = this->Loop->now() + Span;
  while (this->Loop->now() < End)
    this->Loop->runOnce(End - this->Loop->now());
}

std::shared_ptr<std::optional<Reply>>
Cluster::begin(int Port, Network::HttpMethod Method, const std::string &Target,
               const std::string &Body, Network::HttpHeaders Headers) {
  auto Result = std::make_shared<std::optional<Reply>>();
  Network::HttpCall Call;
  Call.To = addressOf(Port);
  Call.Timeout = CallLimit;
  Call.Policy = Network::ConnectionPolicy::Dedicated;
  Call.Request.Method = Method;
  Call.Request.Target = Target;
  Call.Request.Headers = std::move(Headers);
  Call.Request.Body = Body;
  Network::HttpCallHandlers Handle;
  Handle.OnDone = [Result](Network::HttpCallResult How,
                           const Network::HttpResponse &Answer) {
    *Result = Reply{How, Answer.Status, Answer.Headers, Answer.Body};
  };
  this->Http.start(std::move(Call), std::move(Handle));
  return Result;
}

Reply Cluster::call(int Port, Network::HttpMethod Method,
                    const std::string &Target, const std::string &Body,
                    Network::HttpHeaders Headers) {
  const auto Result =
      this->begin(Port, Method, Target, Body, std::move(Headers));
  constexpr Common::Duration Step = std::chrono::milliseconds(20);
  while (!*Result)
    this->Loop->runOnce(Step);
  return **Result;
}

Reply Cluster::operate(int Port, const std::string &Statement,
                       const std::string &CommandId) {
  Network::HttpHeaders Headers = {
      {"Authorization", std::string("Bearer ") + OperatorToken},
      {"Accept", "application/json"}};
  if (!CommandId.empty())
    Headers.push_back({"Command-Id", CommandId});
  return this->call(Port, Network::HttpMethod::Post, "/v1/operator", Statement,
                    Headers);
}

Reply Cluster::reserve(int Entry, const std::string &Key,
                       const std::string &Body, const std::string &Caller) {
  return this->call(
      this->entryHttp(Entry), Network::HttpMethod::Post,
      "/services/orders/reservations", Body,
      {{"Authorization", "Bearer " + Caller}, {"Idempotency-Key", Key}});
}

std::shared_ptr<std::optional<Reply>>
Cluster::beginChat(int Entry, const std::string &Prompt, int Tokens) {
  const nlohmann::json Body = {
      {"model", "m"},
      {"max_tokens", Tokens},
      {"messages",
       nlohmann::json::array({{{"role", "user"}, {"content", Prompt}}})}};
  return this->begin(this->entryHttp(Entry), Network::HttpMethod::Post,
                     "/v1/chat/completions", Body.dump(),
                     {{"Authorization", std::string("Bearer ") + CallerKey}});
}

Reply Cluster::chat(int Entry, const std::string &Prompt, int Tokens,
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
  const Reply Answer = this->call(Port, Network::HttpMethod::Get, "/metrics");
  const std::string Wanted = "\nsycamore_" + Name + " ";
  const std::size_t At = Answer.Body.find(Wanted);
  if (At == std::string::npos)
    return 0;
  return std::strtod(Answer.Body.c_str() + At + Wanted.size(), nullptr);
}

double Cluster::refusals(int Port, const std::string &Reason) {
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

std::size_t Cluster::servingBackends(int Entry) {
  const Reply Answer = this->operate(this->entryHttp(Entry),
                                     "show backends where state = serving");
  const auto Rows = Answer.json();
  return Rows.is_array() ? Rows.size() : 0;
}

} // namespace FaultTests
