#include "FaultTests/RoutedCluster.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <filesystem>
#include <unistd.h>

namespace FaultTests {

namespace {

using Json = nlohmann::json;

constexpr std::uint16_t ControlPort = 21'601;
constexpr std::uint16_t EntryPort = 21'602;
constexpr std::uint16_t ReadyPort = 21'603;
constexpr std::uint16_t ServerPort = 21'604;
constexpr std::uint16_t MetricsPort = 21'606;
constexpr const char *LinkPort = "21605";
constexpr const char *EntryIp = "127.0.8.10";
/// Nothing listens at the last one.
constexpr std::array ServerIps = {"127.0.8.20", "127.0.8.21", "127.0.8.22"};
/// Long beyond what a sound run needs; only a failing test waits for it.
constexpr Common::Duration AwaitLimit = std::chrono::seconds(25);

std::string stateIp(int Number) { return "127.0.8." + std::to_string(Number); }

std::string seedList() {
  std::string List;
  for (int I = 1; I <= 3; ++I)
    List += (I > 1 ? "," : "") + stateIp(I) + ":" + std::to_string(ControlPort);
  return List;
}

} // namespace

RoutedCluster::RoutedCluster() {
  setenv("SYCAMORE_CLUSTER_KEY", "a-key-for-these-tests", 1);
  this->Folder = (std::filesystem::temp_directory_path() /
                  ("routed-" + std::to_string(getpid())))
                     .string();
  std::filesystem::remove_all(this->Folder);
  std::filesystem::create_directories(this->Folder);
  auto Made = Network::EventLoop::create();
  BOOST_REQUIRE(Made.ok());
  this->Loop = std::move(*Made);
  this->Client = std::make_unique<Network::Http1Client>(*this->Loop);
  this->OnServed = [](const std::shared_ptr<Network::Http1Exchange> &Exchange) {
    answer(*Exchange);
  };
  Network::Http1Server::Handlers Handle;
  Handle.OnRequest =
      [this](const std::shared_ptr<Network::Http1Exchange> &Exchange) {
        ++this->Served;
        this->OnServed(Exchange);
      };
  for (std::size_t I = 0; I + 1 < ServerIps.size(); ++I) {
    auto Listening = Network::Http1Server::create(
        *this->Loop, {ServerIps[I], ServerPort}, Handle);
    BOOST_REQUIRE_MESSAGE(Listening.ok(), Listening.status().message());
    this->Servers.push_back(std::move(*Listening));
  }
}

RoutedCluster::~RoutedCluster() {
  this->Running.clear();
  this->Client.reset();
  this->Servers.clear();
  std::filesystem::remove_all(this->Folder);
}

void RoutedCluster::answer(Network::Http1Exchange &Exchange, int Status) {
  Exchange.reply(
      Status,
      {{"X-Sycamorereach-Request-Id",
        Exchange.header("X-Sycamorereach-Request-Id").value_or("")},
       {"X-Sycamorereach-Replica-Signature", "signed"}},
      "served " + Exchange.path() + " for " +
          Exchange.header("X-Sycamorereach-Tenant").value_or("nobody"));
}

void RoutedCluster::startState(int Number, bool FirstStart) {
  const std::string Name = "state" + std::to_string(Number);
  this->Running[Name] = std::make_unique<Process>(
      programPath("sycamore-state"),
      std::vector<std::string>{
          "control", "--name=" + Name, "--datacentre=dc" + Name,
          "--data=" + this->Folder + "/" + Name,
          "--http=" + this->control(Number).str(),
          std::string("--link-port=") + LinkPort, "--seeds=" + seedList(),
          "--metrics-port=" + std::to_string(MetricsPort),
          std::string("--first-start=") + (FirstStart ? "true" : "false"),
          "--tolerated-hosts=1"},
      this->Folder + "/" + Name + ".log" + std::to_string(++this->Logs));
}

void RoutedCluster::startEntry() {
  this->Running["entry"] = std::make_unique<Process>(
      programPath("sycamore-entry"),
      std::vector<std::string>{
          "gateway", "--name=entry", "--datacentre=dcstate1",
          "--http=" + this->entry().str(), "--ready=" + this->ready().str(),
          std::string("--link-port=") + LinkPort, "--seeds=" + seedList(),
          "--revoke-time=5000", "--shutdown-time=8"},
      this->Folder + "/entry.log" + std::to_string(++this->Logs));
}

void RoutedCluster::startAll() {
  for (int I = 1; I <= StateDaemons; ++I)
    this->startState(I, true);
  this->startEntry();
  BOOST_REQUIRE(this->operatorCall("POST", "/sycamorereach/config/replace",
                                   declaration(3, "/a/"), 200));
  this->announce("ready");
  BOOST_REQUIRE(
      this->await([this] { return this->ask("/a/x").Status == 200; }));
}

void RoutedCluster::wipe(int Number) {
  std::filesystem::remove_all(this->Folder + "/state" + std::to_string(Number));
}

Network::Address RoutedCluster::entry() const { return {EntryIp, EntryPort}; }
Network::Address RoutedCluster::ready() const { return {EntryIp, ReadyPort}; }
Network::Address RoutedCluster::control(int Number) const {
  return {stateIp(Number), ControlPort};
}

bool RoutedCluster::await(const std::function<bool()> &Done) {
  const Common::TimePoint End = this->Loop->now() + AwaitLimit;
  while (!Done()) {
    if (this->Loop->now() > End)
      return false;
    this->Loop->runOnce(std::chrono::milliseconds(20));
  }
  return true;
}

RoutedReply RoutedCluster::call(const Network::Address &To,
                                const std::string &Method,
                                const std::string &Target,
                                const std::string &Body,
                                Network::HttpHeaders Headers) {
  const auto Result = this->start(To, Method, Target, Body, std::move(Headers));
  BOOST_REQUIRE(this->await([Result] { return Result->Done; }));
  return *Result;
}

std::shared_ptr<RoutedReply>
RoutedCluster::start(const Network::Address &To, const std::string &Method,
                     const std::string &Target, const std::string &Body,
                     Network::HttpHeaders Headers) {
  auto Result = std::make_shared<RoutedReply>();
  Network::Http1Call Wanted;
  Wanted.To = To;
  Wanted.Method = Method;
  Wanted.Target = Target;
  Wanted.Headers = std::move(Headers);
  Wanted.Headers.push_back({"Host", "yard.example"});
  Wanted.Body = Body;
  // A caller that is left hanging fails its test.
  Wanted.IdleTimeout = 2 * AwaitLimit;
  // Each call on a connection of its own, as callers do that start again.
  Wanted.MaxReuseIdleTime = Common::Duration::zero();
  Network::Http1CallHandlers Handle;
  Handle.OnHead = [Result](const Network::Http1Head &Head) {
    Result->Status = Head.Status;
    Result->Headers = Head.Headers;
    return true;
  };
  Handle.OnBody = [Result](const std::string &Bytes) { Result->Body += Bytes; };
  Handle.OnDone = [Result](Network::Http1CallResult End) {
    Result->End = End;
    Result->Done = true;
  };
  this->Client->start(std::move(Wanted), std::move(Handle));
  return Result;
}

bool RoutedCluster::operatorCall(const std::string &Method,
                                 const std::string &Target,
                                 const std::string &Body, int Status,
                                 std::string *Answer) {
  int Next = 0;
  return this->await([&] {
    RoutedReply Reply = this->call(this->control(1 + Next++ % StateDaemons),
                                   Method, Target, Body);
    for (int Hop = 0; Hop < 2 && Reply.Status == 307; ++Hop) {
      const std::string Location =
          Network::findHeader(Reply.Headers, "Location").value_or("");
      const std::string Place = Location.substr(7, Location.find('/', 7) - 7);
      Reply =
          this->call(*Network::Address::create(Place), Method, Target, Body);
    }
    if (Answer)
      *Answer = Reply.Body;
    return Reply.Status == Status;
  });
}

RoutedReply RoutedCluster::ask(const std::string &Path, const std::string &Key,
                               const std::string &Method) {
  const auto Reply = this->startAsking(Path, Key, Method);
  BOOST_REQUIRE(this->await([Reply] { return Reply->Done; }));
  return *Reply;
}

std::shared_ptr<RoutedReply>
RoutedCluster::startAsking(const std::string &Path, const std::string &Key,
                           const std::string &Method) {
  return this->start(
      this->entry(), Method, Path, Method == "POST" ? "body" : "",
      {{"X-Sycamorereach-Request-Id", std::to_string(++this->Requests)},
       {"X-Sycamorereach-Request-Deadline", "3000"},
       {"Authorization", "Bearer " + Key}});
}

void RoutedCluster::announce(const std::string &State, int Server) {
  const Json Beat = {
      {"service", "shop"},
      {"address", Network::Address{ServerIps.at(Server - 1), ServerPort}.str()},
      {"zone", "dcstate1"},
      {"version", "v1"},
      {"slots", 8},
      {"state", State},
      {"sequence", ++this->Beats},
      {"born", 1000}};
  BOOST_REQUIRE(this->await([&] {
    for (int I = 1; I <= StateDaemons; ++I)
      if (this->call(this->control(I), "POST",
                     "/sycamorereach/replicas/shop-" + std::to_string(Server) +
                         "/heartbeat",
                     Beat.dump())
              .Status == 200)
        return true;
    return false;
  }));
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
  const Json Whole = {
      {"version", Version},
      {"routes",
       {Route("safe", Prefix, "safe"), Stream,
        Route("once", Prefix + "once/", "unsafe")}},
      {"services", {{{"name", "shop"}}}},
      {"tenants",
       {{{"name", "mill"}, {"api-keys", {"key-1"}}},
        {{"name", "urgent"}, {"api-keys", {"key-2"}}, {"priority", 2}}}}};
  return Whole.dump();
}

bool RoutedCluster::groupIsWhole() {
  for (int I = 1; I <= StateDaemons; ++I) {
    const std::string Shown =
        this->call({stateIp(I), MetricsPort}, "GET", "/metrics").Body;
    const auto Holds = [&Shown](const char *Line) {
      return Shown.find(Line) != std::string::npos;
    };
    if (Holds("\nsycamore_leading 1\n"))
      return Holds("\nsycamore_voters 3\n") &&
             Holds("\nsycamore_members 4\n") &&
             Holds("\nsycamore_members_lost_or_behind 0\n");
  }
  return false;
}

int RoutedCluster::leader() {
  int Found = 0;
  this->await([&] {
    for (int I = 1; I <= StateDaemons; ++I)
      if (this->Running.count("state" + std::to_string(I)) != 0 &&
          this->call(this->control(I), "GET", "/sycamorereach/config/read")
                  .Status == 200) {
        Found = I;
        return true;
      }
    return false;
  });
  return Found;
}

} // namespace FaultTests
