#include "FaultTests/Cluster.h"
#include "FaultTests/ConnectionCrowd.h"
#include "FaultTests/RoutedCluster.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>

namespace FaultTests {

namespace {

/// The limits given to the processes. The memory is a good half of that of the
/// users' smallest hosts (120 MB).
constexpr int MemoryMegabytes = 64;
constexpr std::size_t Descriptors = 600;
/// Descriptors of the limit that are reserved for files outside the data
/// folder.
constexpr std::size_t ReservedDescriptors = 200;
/// Legal for requests to the entry daemon, whose limit is 4,194,304.
constexpr std::size_t LargeBody = 4'000'000;
/// Legal for configurations, whose limit is 16 MiB.
constexpr std::size_t LargeDocument = 12'000'000;
constexpr std::uint16_t FaultyPort = 21'604;
/// How long a crowd without progress is watched until it counts as at rest.
constexpr Common::Duration RestTime = std::chrono::milliseconds(300);
/// How long a crowd sends before the servers of the test have their turn.
constexpr Common::Duration TurnTime = std::chrono::milliseconds(50);
/// No crowd is driven for longer, for those that never rest.
constexpr Common::Duration MaxCrowdTime = std::chrono::seconds(2);

/// Limits for the processes that are started during the life of this object.
class LimitScope {
public:
  explicit LimitScope(int Megabytes = MemoryMegabytes) {
    setenv("SYCAMORE_MEMORY", std::to_string(Megabytes).c_str(), 1);
    setenv("SYCAMORE_DESCRIPTORS", std::to_string(Descriptors).c_str(), 1);
  }
  ~LimitScope() {
    unsetenv("SYCAMORE_MEMORY");
    unsetenv("SYCAMORE_DESCRIPTORS");
  }
  LimitScope(const LimitScope &) = delete;
  LimitScope &operator=(const LimitScope &) = delete;
};

/// What a process did under one kind of crowd.
void check(const std::string &Kind, Process &Target,
           int Megabytes = MemoryMegabytes) {
  const std::size_t Peak = peakMemory(Target.id());
  const std::size_t Open = openDescriptors(Target.id());
  BOOST_TEST_MESSAGE(Kind << ": peak " << Peak / 1'000'000 << " MB, " << Open
                          << " descriptors, limit " << Megabytes << " MB");
  BOOST_TEST(!Target.hasExited(), Kind << ": the process has ended");
  BOOST_TEST(Peak < static_cast<std::size_t>(Megabytes) * 1'000'000,
             Kind << ": peak of " << Peak / 1'000'000 << " MB");
  BOOST_TEST(Open <= Descriptors - ReservedDescriptors,
             Kind << ": " << Open << " descriptors");
}

/// Runs a crowd until it has been at rest for RestTime.
template <typename AnyCluster>
void drive(AnyCluster &Fixture, ConnectionCrowd &Callers) {
  using Clock = std::chrono::steady_clock;
  const Clock::time_point Start = Clock::now();
  Clock::time_point ProgressAt = Start;
  Fixture.waitUntil([&] {
    // The event loop of the test, with its servers, runs in between.
    const Clock::time_point TurnEnd = Clock::now() + TurnTime;
    Clock::time_point Now = Clock::now();
    while (Now < TurnEnd && Callers.step())
      ProgressAt = Now = Clock::now();
    return Now - ProgressAt > RestTime || Now - Start > MaxCrowdTime;
  });
}

std::string requestHead(const std::string &Target, const std::string &Framing,
                        const std::string &Method = "POST") {
  return Method + " " + Target +
         " HTTP/1.1\r\nHost: yard.example\r\nAuthorization: Bearer key-1\r\n"
         "X-Sycamorereach-Request-Id: crowd\r\n"
         "X-Sycamorereach-Request-Deadline: 3000\r\n" +
         Framing + "\r\n";
}

std::string lengthHeader(std::size_t Bytes) {
  return "Content-Length: " + std::to_string(Bytes) + "\r\n";
}

constexpr const char *Chunked = "Transfer-Encoding: chunked\r\n";

std::string chunk(std::size_t Bytes) {
  char Size[20];
  std::snprintf(Size, sizeof(Size), "%zx\r\n", Bytes);
  return Size + std::string(Bytes, 'x') + "\r\n";
}

/// One kind of crowd.
struct Kind {
  std::string Name;
  int Connections;
  ConnectionCrowd::Script Lines;
};

/// Crowds that send bodies of Large bytes, the limit being below 3 times that.
std::vector<Kind> bodyKinds(const std::string &Target, std::size_t Large,
                            int Connections) {
  const std::string Piece(16u << 10, 'x');
  const std::string Announced = requestHead(Target, lengthHeader(Large));
  const std::string InChunks = requestHead(Target, Chunked);
  const std::string LargeChunk = chunk(64u << 10);
  const std::string SmallChunk = chunk(16);
  std::string SmallChunks;
  while (SmallChunks.size() < (16u << 10))
    SmallChunks += SmallChunk;
  return {
      {"whole bodies", Connections, {Announced, Piece, Large}},
      {"bodies short of their end",
       Connections,
       {Announced, Piece, Large - 10}},
      {"bodies in small pieces",
       Connections,
       {Announced, std::string(1000, 'x'), Large - 10}},
      {"large chunks short of the end",
       Connections,
       {InChunks, LargeChunk, Large / LargeChunk.size() * LargeChunk.size()}},
      {"small chunks short of the end",
       Connections,
       {InChunks, SmallChunks,
        Large / SmallChunks.size() * SmallChunks.size()}},
      {"announced over the limit",
       Connections,
       {requestHead(Target, lengthHeader(10 * Large)), Piece, 3 * Large}},
      {"chunks over the limit without end",
       Connections,
       {InChunks, LargeChunk, 3 * Large}},
  };
}

} // namespace

BOOST_AUTO_TEST_SUITE(Crowd)

// Guards against an entry daemon whose memory grows with what callers send.
BOOST_AUTO_TEST_CASE(CallersOfRoutedServing) {
  const LimitScope Limits;
  RoutedCluster Fixture;
  Fixture.startAll();
  std::vector<Kind> Kinds = bodyKinds("/a/x", LargeBody, 60);
  Kinds.push_back(
      {"heads without end",
       static_cast<int>(Descriptors),
       {"POST /a/x HTTP/1.1\r\nX-Fill: ", std::string(1000, 'x'), 15'000}});
  ConnectionCrowd::Script SlowReader{requestHead("/a/large", "", "GET"), "", 0,
                                     "", false};
  Kinds.push_back({"slow readers of large responses", 60, SlowReader});
  // The responses of the servers; bodies have arrived in whole by then.
  Fixture.OnServerRequest =
      [](const std::shared_ptr<Network::Http1Exchange> &Exchange) {
        if (Exchange->path() != "/a/large") {
          RoutedCluster::respond(*Exchange);
          return;
        }
        Exchange->reply(200,
                        {{"X-Sycamorereach-Request-Id", "crowd"},
                         {"X-Sycamorereach-Replica-Signature", "signed"}},
                        std::string(LargeBody, 'y'));
      };
  for (const Kind &Each : Kinds) {
    Fixture.crash("entry");
    Fixture.startEntryDaemon();
    Fixture.announce("ready");
    BOOST_REQUIRE(Fixture.waitUntil(
        [&] { return Fixture.request("/a/x").Status == 200; }));
    ConnectionCrowd Callers(Fixture.entryAddress(), Each.Connections,
                            Each.Lines);
    drive(Fixture, Callers);
    check("entry daemon, " + Each.Name, Fixture.process("entry"));
    Fixture.announce("ready");
    BOOST_TEST(Fixture.waitUntil(
                   [&] { return Fixture.request("/a/x").Status == 200; }),
               Each.Name << ": no ordinary request was answered");
  }
}

// Guards against the readiness port, which needs no bodies, holding them.
BOOST_AUTO_TEST_CASE(CallersOfTheReadinessPort) {
  const LimitScope Limits;
  RoutedCluster Fixture;
  Fixture.startAll();
  for (const Kind &Each : bodyKinds("/sycamorereach/ready", LargeBody, 40)) {
    ConnectionCrowd Callers(Fixture.readinessAddress(), Each.Connections,
                            Each.Lines);
    drive(Fixture, Callers);
    check("readiness, " + Each.Name, Fixture.process("entry"));
    BOOST_TEST(
        Fixture.call(Fixture.readinessAddress(), "GET", "/sycamorereach/ready")
            .Status == 200);
  }
}

// Guards against a state daemon whose memory grows with what operators, servers
// or readers of its metrics send.
BOOST_AUTO_TEST_CASE(CallersOfAStateDaemon) {
  const LimitScope Limits;
  RoutedCluster Fixture;
  Fixture.startAll();
  std::vector<Kind> Kinds =
      bodyKinds("/sycamorereach/config/replace", LargeDocument, 24);
  const std::string Heartbeat(2000, ' ');
  Kinds.push_back({"heartbeats short of their end",
                   static_cast<int>(Descriptors),
                   {requestHead("/sycamorereach/replicas/shop-1/heartbeat",
                                lengthHeader(Heartbeat.size())),
                    Heartbeat, Heartbeat.size() - 10}});
  const auto Answers = [&] {
    return Fixture.waitUntil([&] {
      const int Status = Fixture
                             .call(Fixture.controlAddress(1), "GET",
                                   "/sycamorereach/config/read")
                             .Status;
      return Status == 200 || Status == 307;
    });
  };
  for (const Kind &Each : Kinds) {
    Fixture.crash("state1");
    Fixture.startStateDaemon(1, false);
    BOOST_REQUIRE(Answers());
    ConnectionCrowd Callers(Fixture.controlAddress(1), Each.Connections,
                            Each.Lines);
    drive(Fixture, Callers);
    check("state daemon, " + Each.Name, Fixture.process("state1"));
    BOOST_TEST(Answers(), Each.Name << ": no ordinary request was answered");
  }
  Fixture.crash("state1");
  Fixture.startStateDaemon(1, false);
  BOOST_REQUIRE(Answers());
  for (const Kind &Each : bodyKinds("/metrics", LargeBody, 40)) {
    ConnectionCrowd Callers(Fixture.metricsAddress(1), Each.Connections,
                            Each.Lines);
    drive(Fixture, Callers);
    check("metrics, " + Each.Name, Fixture.process("state1"));
    BOOST_TEST(Fixture.waitUntil([&] { return !Fixture.metrics(1).empty(); }));
  }
}

// Guards against frames of peers that are not authenticated being collected.
BOOST_AUTO_TEST_CASE(PeersOfAStateDaemon) {
  const LimitScope Limits;
  RoutedCluster Fixture;
  Fixture.startAll();
  // "SYCA" as a number in the byte order of the host, 8,000,000 bytes.
  constexpr std::array<std::uint32_t, 2> Header = {0x53594341, 8'000'000};
  std::string Start(sizeof(Header) + 32, '\0');
  std::memcpy(Start.data(), Header.data(), sizeof(Header));
  ConnectionCrowd Peers(RoutedCluster::linkAddress(1), 40,
                        {Start, std::string(16u << 10, 'x'), 7'000'000});
  drive(Fixture, Peers);
  check("state daemon, frames short of their end", Fixture.process("state1"));
  BOOST_TEST(
      Fixture.waitUntil([&] { return Fixture.request("/a/x").Status == 200; }));
}

// Guards against servers whose responses have no end exhausting the memory of
// an entry daemon.
BOOST_AUTO_TEST_CASE(ServersWhoseResponsesDoNotEnd) {
  constexpr int Servers = 10;
  struct Round {
    int Faulty;
    int Megabytes;
  };
  RoutedCluster Fixture;
  std::vector<std::shared_ptr<Network::Http1Exchange>> Endless;
  int FaultyServers = 0;
  std::vector<std::unique_ptr<Network::Http1Server>> Started;
  for (int I = 0; I < Servers; ++I) {
    Network::Http1Server::Handlers Handlers;
    Handlers.OnRequest =
        [&, I](const std::shared_ptr<Network::Http1Exchange> &Exchange) {
          if (I >= FaultyServers) {
            RoutedCluster::respond(*Exchange);
            return;
          }
          // Every other response is signed, and so could still be valid.
          Exchange->startStream(
              200, Endless.size() % 2 == 0
                       ? RoutedCluster::eventStreamHeaders(*Exchange)
                       : Network::HttpHeaders());
          Endless.push_back(Exchange);
        };
    auto Server = Network::Http1Server::create(
        Fixture.loop(), {"127.0.8." + std::to_string(30 + I), FaultyPort},
        Handlers);
    BOOST_REQUIRE(Server.ok());
    Started.push_back(std::move(*Server));
  }
  const auto Announce = [&] {
    for (int I = 0; I < Servers; ++I)
      Fixture.announceAt("many-" + std::to_string(I),
                         "127.0.8." + std::to_string(30 + I));
  };
  Fixture.startAll();
  Fixture.announce("draining");
  for (const Round Each :
       {Round{Servers / 10, 64}, Round{Servers / 2, 64}, Round{Servers, 64},
        Round{Servers, 128}, Round{Servers, 260}}) {
    const LimitScope Limits(Each.Megabytes);
    Fixture.crash("entry");
    Fixture.startEntryDaemon();
    Announce();
    BOOST_REQUIRE(Fixture.waitUntil(
        [&] { return Fixture.request("/a/x").Status == 200; }));
    FaultyServers = Each.Faulty;
    std::vector<std::shared_ptr<RoutedResponse>> Calls;
    for (int I = 0; I < 60; ++I)
      Calls.push_back(Fixture.startRequest(I % 2 == 0 ? "/a/x" : "/a/flow/x"));
    const std::string Piece(64u << 10, 'z');
    const auto End = std::chrono::steady_clock::now() + std::chrono::seconds(2);
    Fixture.waitUntil([&] {
      for (std::size_t I = 0; I < Endless.size(); ++I)
        if (Endless[I]->isOpen() && Endless[I]->unsentBytes() < Piece.size())
          Endless[I]->sendChunk(Piece);
      return std::chrono::steady_clock::now() > End;
    });
    check("responses without end of " + std::to_string(Each.Faulty) + " of " +
              std::to_string(Servers) + " servers",
          Fixture.process("entry"), Each.Megabytes);
    FaultyServers = 0;
    for (const auto &Exchange : Endless)
      Exchange->abort();
    Endless.clear();
    Announce();
    BOOST_TEST(Fixture.waitUntil(
        [&] { return Fixture.request("/a/x").Status == 200; }));
  }
}

// Guards against the same on the own interface, which evhttp serves.
BOOST_AUTO_TEST_CASE(CallersOfTheOwnInterface) {
  const LimitScope Limits;
  Cluster Fixture;
  Fixture.startAll();
  const Network::Address Entry{
      "127.0.0.1", static_cast<std::uint16_t>(Fixture.entryHttp(1))};
  std::vector<Kind> Kinds = bodyKinds("/v1/chat/completions", LargeBody, 60);
  Kinds.push_back({"heads without end",
                   static_cast<int>(Descriptors),
                   {"POST /v1/chat/completions HTTP/1.1\r\nX-Fill: ",
                    std::string(1000, 'x'), 15'000}});
  for (const Kind &Each : Kinds) {
    Fixture.crash("e1");
    Fixture.startEntryDaemon(1);
    const auto Answers = [&] {
      return Fixture.waitUntil([&] {
        return Fixture
                   .call(Fixture.entryHttp(1), Network::HttpMethod::Get,
                         "/readyz")
                   .Status != 0;
      });
    };
    BOOST_REQUIRE(Answers());
    ConnectionCrowd Callers(Entry, Each.Connections, Each.Lines);
    drive(Fixture, Callers);
    check("own interface, " + Each.Name, Fixture.process("e1"));
    BOOST_TEST(Answers(), Each.Name << ": no ordinary request was answered");
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace FaultTests
