#include "FaultTests/RoutedCluster.h"

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>

namespace FaultTests {

namespace {

using namespace std::chrono_literals;
using ExchangePtr = std::shared_ptr<Network::Http1Exchange>;

/// The longest time after the fifth crash until which daemons may still send
/// requests with the harmful part.
constexpr Common::Duration ContactTime = 5s;
/// The part that crashes each server that begins to write an answer on it.
constexpr const char *HarmfulPart = "dead01";
constexpr const char *CommonPart = "aa01";
constexpr std::uint64_t SoundParts = 4;
constexpr std::size_t Servers = 2;

/// Two fake servers that write short streams. One crashes when it begins to
/// write an answer on the harmful part, and comes back as a new process. Two
/// kinds of requests arrive at the entry daemon, none of them twice: sound ones
/// and ones with the harmful part, which share their key and first part.
class CrashingServers {
public:
  explicit CrashingServers(RoutedCluster &Cluster) : Cluster(Cluster) {
    Cluster.OnServerRequest = [this](const ExchangePtr &Exchange) {
      this->handle(Exchange);
    };
    for (std::size_t I = 0; I < Servers; ++I)
      this->restart(I);
  }
  ~CrashingServers() {
    this->Timers.clear();
    this->Cluster.OnServerRequest = [](const ExchangePtr &) {};
  }

  void startRequests() {
    this->Timers.push_back(this->Cluster.loop().callEvery(60ms, [this] {
      const std::uint64_t Kind = this->LastRequest % SoundParts;
      this->send("cc0" + std::to_string(Kind), this->SoundCalls);
    }));
    this->Timers.push_back(this->Cluster.loop().callEvery(
        300ms, [this] { this->send(HarmfulPart, this->HarmfulCalls); }));
  }
  /// Runs the event loop, and restarts crashed servers, until Condition holds;
  /// false if it never does.
  bool runUntil(const std::function<bool()> &Condition) {
    return this->Cluster.waitUntil([&] {
      for (std::size_t I = 0; I < Servers; ++I)
        if (this->Crashed[I])
          this->restart(I);
      return Condition();
    });
  }
  void runFor(Common::Duration Time) {
    const Common::TimePoint End = this->Cluster.loop().now() + Time;
    BOOST_REQUIRE(
        this->runUntil([&] { return this->Cluster.loop().now() >= End; }));
  }

  int Crashes = 0;
  /// Requests with the harmful part that have reached a server.
  int HarmfulArrivals = 0;
  int SoundArrivals = 0;
  std::vector<std::shared_ptr<RoutedResponse>> SoundCalls;
  std::vector<std::shared_ptr<RoutedResponse>> HarmfulCalls;

private:
  void send(const std::string &MiddlePart,
            std::vector<std::shared_ptr<RoutedResponse>> &Calls) {
    const std::string Number = std::to_string(++this->LastRequest);
    Calls.push_back(this->Cluster.startCall(
        this->Cluster.entryAddress(), "POST", "/a/flow/x", "body" + Number,
        {{"X-Sycamorereach-Request-Id", "prompt-" + Number},
         {"X-Sycamorereach-Request-Deadline", "3000"},
         {"X-Sycamorereach-Model", "m"},
         {"X-Sycamorereach-Token-Count", "120,10"},
         {"X-Sycamorereach-Prefix-Hash", std::string(CommonPart) + ":50," +
                                             MiddlePart + ":50,ee" + Number +
                                             ":20"},
         {"Authorization", "Bearer key-1"}}));
  }

  void handle(const ExchangePtr &Exchange) {
    const std::string Server =
        Exchange->header("X-Sycamorereach-Expect-Replica").value_or("");
    const std::size_t Index = Server == "shop-2" ? 1 : 0;
    const std::string Parts =
        Exchange->header("X-Sycamorereach-Prefix-Hash").value_or("");
    Network::HttpHeaders Headers = RoutedCluster::eventStreamHeaders(*Exchange);
    if (Parts.empty()) {
      Exchange->reply(200, Headers, "");
      return;
    }
    const bool Harmful = Parts.find(HarmfulPart) != std::string::npos;
    ++(Harmful ? this->HarmfulArrivals : this->SoundArrivals);
    Exchange->startStream(200, Headers);
    // Not a whole event: a harmful stream breaks off within its first one.
    Exchange->sendChunk("id: 1\ndata: a");
    this->Open[Index].push_back(Exchange);
    if (Harmful) {
      this->Cluster.loop().defer([this, Index] { this->crash(Index); });
      return;
    }
    this->Timers.push_back(this->Cluster.loop().callAfter(80ms, [Exchange] {
      if (!Exchange->isOpen())
        return;
      Exchange->sendChunk("\n\nid: 2\ndata: b\n\n");
      Exchange->endStream();
    }));
  }

  void crash(std::size_t Index) {
    ++this->Crashes;
    this->Crashed[Index] = true;
    for (const ExchangePtr &Each : this->Open[Index])
      if (Each->isOpen())
        Each->abort();
    this->Open[Index].clear();
  }

  void restart(std::size_t Index) {
    this->Crashed[Index] = false;
    this->Cluster.announce("ready", static_cast<int>(Index) + 1, ++this->Born);
  }

  RoutedCluster &Cluster;
  std::array<std::vector<ExchangePtr>, Servers> Open;
  std::array<bool, Servers> Crashed{};
  std::vector<Network::EventHandle> Timers;
  std::uint64_t Born = 2000;
  std::uint64_t LastRequest = 0;
};

int countSuccesses(const std::vector<std::shared_ptr<RoutedResponse>> &Calls,
                   std::size_t From) {
  return static_cast<int>(
      std::count_if(Calls.begin() + static_cast<std::ptrdiff_t>(From),
                    Calls.end(), [](const auto &Each) {
                      return Each->Done && Each->Status == 200 &&
                             Each->Result == Network::Http1CallResult::Complete;
                    }));
}

} // namespace

BOOST_AUTO_TEST_SUITE(RoutedCrash)

// Guards against BUDGET: requests that share one part of their prompts, and
// nothing else that sound requests do not share too, ended one server after
// another.
BOOST_AUTO_TEST_CASE(APromptPartThatCrashesServersStopsReachingThem) {
  RoutedCluster Fixture;
  Fixture.startAll();
  CrashingServers Servers(Fixture);
  Servers.startRequests();
  BOOST_REQUIRE(Servers.runUntil([&] { return Servers.Crashes >= 3; }));
  Servers.runFor(ContactTime);
  const int HarmfulArrivals = Servers.HarmfulArrivals;
  const std::size_t SoundBefore = Servers.SoundCalls.size();
  const std::size_t HarmfulBefore = Servers.HarmfulCalls.size();
  Servers.runFor(ContactTime);
  BOOST_TEST(Servers.HarmfulArrivals - HarmfulArrivals <= 3);
  BOOST_TEST(Servers.HarmfulCalls.size() - HarmfulBefore >= 10u);
  // A refusal says that the request was not run, and that it is no use to
  // repeat it soon.
  const RoutedResponse &Refused =
      **std::find_if(Servers.HarmfulCalls.rbegin(), Servers.HarmfulCalls.rend(),
                     [](const auto &Each) { return Each->Done; });
  BOOST_TEST(Refused.Status == 503);
  BOOST_TEST(Network::findHeader(Refused.Headers, "Retry-After").value_or("") ==
             "30.000");
  // Sound requests with the same key and first part are served.
  const std::size_t Sound = Servers.SoundCalls.size() - SoundBefore;
  BOOST_TEST(Sound >= 20u);
  BOOST_TEST(countSuccesses(Servers.SoundCalls, SoundBefore) * 10 >=
             static_cast<int>(Sound) * 9);
}

// Guards against BUDGET: what is refused is forgotten with the leader, or with
// the entry daemon that learnt it, and the servers are ended again.
BOOST_AUTO_TEST_CASE(ARefusedPromptPartStaysRefusedWhenDaemonsAreKilled) {
  RoutedCluster Fixture;
  Fixture.startAll();
  CrashingServers Servers(Fixture);
  Servers.startRequests();
  BOOST_REQUIRE(Servers.runUntil([&] { return Servers.Crashes >= 3; }));
  Servers.runFor(ContactTime);
  const int HarmfulArrivals = Servers.HarmfulArrivals;
  const int SoundArrivals = Servers.SoundArrivals;
  const std::string Leader = "state" + std::to_string(Fixture.leader());
  Fixture.crash(Leader);
  Servers.runFor(2s);
  Fixture.crash("entry");
  Fixture.startEntryDaemon();
  Servers.runFor(ContactTime);
  BOOST_TEST(Servers.HarmfulArrivals - HarmfulArrivals <= 3);
  BOOST_TEST(Servers.SoundArrivals - SoundArrivals >= 20);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace FaultTests
