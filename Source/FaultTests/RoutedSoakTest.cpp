#include "FaultTests/RoutedSoak.h"
#include "FaultTests/RoutedCluster.h"

#include <array>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <cstdlib>
#include <set>

namespace FaultTests {

namespace {

using namespace std::chrono_literals;

constexpr int MaxEntries = 8;
constexpr int Callers = 32;
constexpr int ForwardedDaemon = 3;
constexpr int RequestsAfterwards = 20;

std::uint64_t fromEnvironment(const char *Name, std::uint64_t Default) {
  const char *Value = std::getenv(Name);
  return Value ? std::stoull(Value) : Default;
}

/// Daemons, servers and callers of one run, and series of disturbances that
/// overlap.
class Soak {
public:
  Soak(std::uint64_t Seed, bool NamesRefused)
      : Seed(Seed), Random(Seed),
        Entries(static_cast<int>(fromEnvironment(
            "SYCAMORE_SOAK_ENTRIES", 1 + this->Random.below(MaxEntries)))) {
    this->Fixture.RetryRatio = SoakRecord::RetryRatio;
    this->Fixture.RetryExtra = this->RetryExtra;
    this->Fixture.ShutdownSeconds = 2;
    this->Fixture.forwardLinksOf(ForwardedDaemon);
    for (int I = 1; I <= RoutedCluster::StateDaemons; ++I)
      this->Fixture.startStateDaemon(I, true);
    for (int I = 1; I <= this->Entries; ++I)
      this->Fixture.startEntryDaemon(I);
    BOOST_REQUIRE(this->Fixture.operatorCall(
        "POST", "/sycamorereach/config/replace",
        RoutedCluster::declaration(this->LastVersion, "/a/"), 200));
    const int ServerCount = 3 + static_cast<int>(this->Random.below(4));
    for (int I = 0; I < ServerCount; ++I)
      this->Servers.push_back(std::make_unique<SoakServer>(
          this->Loop, this->Record, I,
          RoutedCluster::serverAddress(serverIp(I)), NamesRefused,
          this->Random.next()));
    this->AnnounceTimer =
        this->Loop.callEvery(1s, [this] { this->AnnounceDue = true; });
    for (int I = 1; I <= this->Entries; ++I)
      BOOST_REQUIRE(this->servesRequests(I));
    for (const auto &Each : this->Servers)
      Each->Faulty = true;
  }

  void run(Common::Duration Time) {
    for (int I = 0; I < Callers; ++I)
      this->callOn();
    this->repeat([this] { this->stopEntry(); });
    this->repeat([this] { this->killEntry(); });
    this->repeat([this] { this->suspendEntry(); });
    this->repeat([this] { this->restartStateDaemon(); });
    this->repeat([this] { this->changeConfiguration(); });
    this->repeat([this] { this->sendInvalidConfiguration(); });
    this->repeat([this] { this->replaceServer(); });
    this->repeat([this] { this->announceAsAnotherWriter(); });
    this->repeat([this] { this->deregisterUnreadably(); });
    this->repeat([this] {
      this->Fixture.blockLinks();
      this->endAfter(this->Random.between(300ms, 1500ms),
                     [this] { this->Fixture.unblockLinks(); });
    });
    const Common::TimePoint End = this->Loop.now() + Time;
    while (this->Loop.now() < End)
      this->runUntil([this, Next = std::min(End, this->Loop.now() + 1s)] {
        return this->Loop.now() >= Next;
      });
    this->Ending = true;
    for (const auto &Each : this->Servers)
      Each->Faulty = false;
    BOOST_TEST(this->runUntil([this] {
      return this->OpenCalls == 0 && this->OpenDisturbances == 0;
    }),
               "callers or disturbances do not end");
    BOOST_TEST(this->runUntil([this] { return this->isServing(); }),
               "the cluster does not serve again");
    for (const std::string &Each : this->Record.findViolations())
      BOOST_TEST_ERROR(Each);
    for (const auto &Each : this->InvalidConfigurations)
      BOOST_TEST(Each->Status != 200);
    BOOST_TEST(this->Record.Copies > 0);
    BOOST_TEST_MESSAGE("seed " << this->Seed << ": " << this->Entries
                               << " entry daemons, " << this->RetryExtra
                               << " extra retries, " << this->Servers.size()
                               << " servers, " << this->Record.Calls.size()
                               << " calls, " << this->Record.Served
                               << " served, " << this->Record.Repeats.size()
                               << " repeats, " << this->Record.Copies
                               << " copies, " << this->Record.BrokenAnswers
                               << " broken answers, " << this->Record.Left
                               << " servers left, " << this->Disturbances
                               << " disturbances");
  }

private:
  static std::string serverIp(int Number) {
    return "127.0.8." + std::to_string(30 + Number);
  }
  static std::string entryName(int Number) {
    return Number == 1 ? "entry" : "entry" + std::to_string(Number);
  }

  void announceAll() {
    for (int I = 0; I < static_cast<int>(this->Servers.size()); ++I)
      this->Fixture.announceAt("soak-" + std::to_string(I), serverIp(I),
                               this->Servers[I]->startedAt());
  }

  /// Waits until an entry daemon serves several requests in a row.
  bool servesRequests(int Entry) {
    return this->runUntil([this, Entry, InARow = 0]() mutable {
      const std::string Id = "first-" + std::to_string(++this->LastRequestId);
      // These requests count for the retry budget, too.
      this->Record.recordCall(Id, SoakRoute::Safe, Entry);
      const RoutedResponse Response = this->Fixture.call(
          this->Fixture.entryAddress(Entry), "POST", "/a/", "",
          {{"X-Sycamorereach-Request-Id", Id},
           {"Authorization", "Bearer key-1"}});
      InARow = Response.Status == 200 ? InARow + 1 : 0;
      return InARow >= 5;
    });
  }

  bool runUntil(const std::function<bool()> &Condition) {
    return this->Fixture.waitUntil([&] {
      if (std::exchange(this->AnnounceDue, false))
        this->announceAll();
      return Condition();
    });
  }

  /// Sends a caller's request, and the next one after its end.
  void callOn() {
    if (this->Ending)
      return;
    const int Entry = 1 + static_cast<int>(this->Random.below(this->Entries));
    this->call(Entry, static_cast<SoakRoute>(this->Random.below(3)),
               [this](const RoutedResponse &Response) {
                 const auto RetryAfter =
                     Network::findHeader(Response.Headers, "Retry-After");
                 Common::Duration Delay = this->Random.between(1ms, 100ms);
                 if (RetryAfter && this->Random.chance(0.5))
                   Delay = Common::fromSeconds(std::stod(*RetryAfter));
                 this->Timers.callAfter(Delay, [this] { this->callOn(); });
               });
  }

  void call(int Entry, SoakRoute Route,
            std::function<void(const RoutedResponse &)> OnEnd) {
    static constexpr std::array Paths = {"/a/", "/a/once/", "/a/flow/"};
    const std::string Id = "s" + std::to_string(this->Seed) + "-" +
                           std::to_string(++this->LastRequestId);
    const Common::Duration Deadline = this->Random.between(1s, 3s);
    Network::Http1Call Request;
    Request.To = this->Fixture.entryAddress(Entry);
    Request.Method = "POST";
    Request.Target = Paths.at(static_cast<std::size_t>(Route)) + Id;
    Request.Headers = {{"Host", "yard.example"},
                       {"X-Sycamorereach-Request-Id", Id},
                       {"X-Sycamorereach-Request-Deadline",
                        std::to_string(Common::toMilliseconds(Deadline))},
                       {"Authorization", this->Random.chance(0.5)
                                             ? "Bearer key-1"
                                             : "Bearer key-2"}};
    Request.Body = "body of " + Id;
    Request.IdleTimeout = Deadline + 500ms;
    const auto Response = std::make_shared<RoutedResponse>();
    Network::Http1CallHandlers Handlers;
    Handlers.OnSent = [this, Id, Route, Entry] {
      this->Record.recordCall(Id, Route, Entry);
    };
    Handlers.OnHead = [this, Entry, Response](const Network::Http1Head &Head) {
      if (Network::findHeader(Head.Headers, "Server-Leaving"))
        this->Record.recordLeaving(
            Entry,
            {std::stoi(*Network::findHeader(Head.Headers, "X-Server")),
             std::stoull(*Network::findHeader(Head.Headers, "X-Process"))});
      Response->Status = Head.Status;
      Response->Headers = Head.Headers;
      return true;
    };
    Handlers.OnBody = [Response](const std::string &Bytes) {
      Response->Body += Bytes;
    };
    Handlers.OnDone = [this, Id, Response, OnEnd = std::move(OnEnd)](
                          Network::Http1CallResult Result) {
      --this->OpenCalls;
      if (Result == Network::Http1CallResult::Malformed)
        this->Record.recordMalformed(Id);
      if (Result != Network::Http1CallResult::NotSent)
        this->Record.recordResponse(
            Id, Response->Status, Result == Network::Http1CallResult::Complete,
            Response->Body);
      OnEnd(*Response);
    };
    ++this->OpenCalls;
    const bool Keep = this->Random.chance(0.7);
    Request.MaxReuseIdleTime = 10s;
    Request.OwnConnection = !Keep;
    (Keep ? this->KeptOpen : this->Separate)
        .start(std::move(Request), std::move(Handlers));
  }

  /// Begins a series of disturbances of one kind.
  void repeat(std::function<void()> Disturb) {
    this->Timers.callAfter(this->Random.between(200ms, 1500ms),
                           [this, Disturb = std::move(Disturb)] {
                             if (this->Ending)
                               return;
                             ++this->Disturbances;
                             Disturb();
                             this->repeat(Disturb);
                           });
  }

  /// Ends a disturbance after Delay; the run waits for it.
  void endAfter(Common::Duration Delay, std::function<void()> End) {
    ++this->OpenDisturbances;
    this->Timers.callAfter(Delay, [this, End = std::move(End)] {
      --this->OpenDisturbances;
      End();
    });
  }

  void awaitExit(const std::string &Name, const std::function<void()> &Then) {
    this->endAfter(20ms, [this, Name, Then] {
      if (this->Fixture.process(Name).hasExited())
        Then();
      else
        this->awaitExit(Name, Then);
    });
  }

  /// The next entry daemon in turn that is not disturbed; 0 if all are.
  int takeEntry() {
    for (int I = 0; I < this->Entries; ++I) {
      this->LastEntry = this->LastEntry % this->Entries + 1;
      if (this->DisturbedEntries.insert(this->LastEntry).second)
        return this->LastEntry;
    }
    return 0;
  }

  void restartEntry(int Entry) {
    this->Record.forgetLeaving(Entry);
    this->Fixture.startEntryDaemon(Entry);
    this->DisturbedEntries.erase(Entry);
  }

  void stopEntry() {
    const int Entry = this->takeEntry();
    if (Entry == 0)
      return;
    this->Fixture.process(entryName(Entry)).signal(SIGTERM);
    this->awaitExit(entryName(Entry),
                    [this, Entry] { this->restartEntry(Entry); });
  }

  void killEntry() {
    const int Entry = this->takeEntry();
    if (Entry == 0)
      return;
    this->Record.setEntryStopped(Entry, true);
    this->Fixture.crash(entryName(Entry));
    this->endAfter(this->Random.between(0ms, 500ms), [this, Entry] {
      this->restartEntry(Entry);
      this->Record.setEntryStopped(Entry, false);
    });
  }

  void suspendEntry() {
    const int Entry = this->takeEntry();
    if (Entry == 0)
      return;
    this->Record.setEntryStopped(Entry, true);
    this->Fixture.process(entryName(Entry)).signal(SIGSTOP);
    this->endAfter(this->Random.between(300ms, 2s), [this, Entry] {
      this->Fixture.process(entryName(Entry)).signal(SIGCONT);
      this->Record.setEntryStopped(Entry, false);
      this->Record.forgetLeaving(Entry);
      this->DisturbedEntries.erase(Entry);
    });
  }

  /// A server says in its answers that it leaves, goes on announcing itself as
  /// ready, and is replaced by a new process.
  void replaceServer() {
    if (std::exchange(this->ServerLeaves, true))
      return;
    SoakServer &Leaving =
        *this->Servers[this->Random.below(this->Servers.size())];
    Leaving.leave();
    ++this->Record.Left;
    this->endAfter(this->Random.between(1s, 4s), [this, &Leaving] {
      Leaving.restart();
      this->ServerLeaves = false;
    });
  }

  int anyServer() {
    return static_cast<int>(this->Random.below(this->Servers.size()));
  }

  int anyStateDaemon() {
    return 1 +
           static_cast<int>(this->Random.below(RoutedCluster::StateDaemons));
  }

  /// A heartbeat for a service that is not declared, at the address of a server
  /// or under its id, which names no server to use.
  void announceAsAnotherWriter() {
    const int Number = this->anyServer();
    const std::uint64_t StartedAt = this->Servers[Number]->startedAt();
    const std::string Id = "soak-" + std::to_string(Number);
    this->Fixture.startCall(
        this->Fixture.controlAddress(this->anyStateDaemon()), "POST",
        "/sycamorereach/replicas/" +
            (this->Random.chance(0.5) ? Id : "monitor-" + Id) + "/heartbeat",
        nlohmann::json{
            {"service", "host-monitor"},
            {"address", RoutedCluster::serverAddress(serverIp(Number)).str()},
            {"zone", "dcstate1"},
            {"version", "v9"},
            {"slots", 8},
            {"state", this->Random.chance(0.5) ? "ready" : "draining"},
            {"sequence", 1'000'000},
            {"born", StartedAt + this->Random.below(2)}}
            .dump(),
        {});
  }

  /// A deregistration of another writer, which cannot be read and ends nothing.
  void deregisterUnreadably() {
    static constexpr std::array Bodies = {"{", "[]", R"({"born":"1"})"};
    this->Fixture.startCall(
        this->Fixture.controlAddress(this->anyStateDaemon()), "POST",
        "/sycamorereach/replicas/soak-" + std::to_string(this->anyServer()) +
            "/deregister",
        Bodies.at(this->Random.below(Bodies.size())), {});
  }

  void restartStateDaemon() {
    if (std::exchange(this->StateDaemonDown, true))
      return;
    const int Number = this->anyStateDaemon();
    const std::string Name = "state" + std::to_string(Number);
    this->Fixture.process(Name).signal(this->Random.chance(0.5) ? SIGTERM
                                                                : SIGKILL);
    this->awaitExit(Name, [this, Number] {
      this->Fixture.startStateDaemon(Number, false);
      this->StateDaemonDown = false;
    });
  }

  /// Only the leader takes the declaration.
  void changeConfiguration() {
    const std::string Declaration =
        RoutedCluster::declaration(++this->LastVersion, "/a/");
    for (int I = 1; I <= RoutedCluster::StateDaemons; ++I)
      this->Fixture.startCall(this->Fixture.controlAddress(I), "POST",
                              "/sycamorereach/config/replace", Declaration, {});
  }

  /// A configuration that would take all routes, or all later versions, away.
  void sendInvalidConfiguration() {
    nlohmann::json Invalid = nlohmann::json::parse(
        RoutedCluster::declaration(this->LastVersion + 1000, "/none/"));
    const std::array Variants = {
        nlohmann::json{{"version", -1}}, nlohmann::json{{"version", 1e30}},
        nlohmann::json{{"routes", nullptr}},
        nlohmann::json{{"tenants", nlohmann::json::object()}}};
    Invalid.update(Variants.at(this->Random.below(Variants.size())));
    const int Daemon = this->anyStateDaemon();
    this->InvalidConfigurations.push_back(this->Fixture.startCall(
        this->Fixture.controlAddress(Daemon), "POST",
        "/sycamorereach/config/replace", Invalid.dump(), {}));
  }

  /// Sends the next of the requests that are to be served in a row, if none is
  /// under way, and returns whether all have been served.
  bool isServing() {
    if (this->OpenCalls == 0 && this->ServedInARow < RequestsAfterwards)
      this->call(1 + this->ServedInARow % this->Entries, SoakRoute::Safe,
                 [this](const RoutedResponse &Response) {
                   this->ServedInARow =
                       Response.Status == 200 ? this->ServedInARow + 1 : 0;
                 });
    return this->OpenCalls == 0;
  }

  std::uint64_t Seed;
  Common::Random Random;
  int Entries;
  int RetryExtra = std::array{10, 100, 1000}.at(this->Random.below(3));
  RoutedCluster Fixture;
  Network::EventLoop &Loop = this->Fixture.loop();
  SoakRecord Record{this->Loop, this->RetryExtra};
  std::vector<std::unique_ptr<SoakServer>> Servers;
  SoakTimers Timers{this->Loop};
  Network::EventHandle AnnounceTimer;
  bool AnnounceDue = true;
  /// Of callers that keep their connections, and of those that don't.
  Network::Http1Client KeptOpen{this->Loop};
  Network::Http1Client Separate{this->Loop};
  std::uint64_t LastRequestId = 0;
  int OpenCalls = 0;
  std::uint64_t LastVersion = 3;
  int LastEntry = 0;
  std::set<int> DisturbedEntries;
  bool StateDaemonDown = false;
  bool ServerLeaves = false;
  std::vector<std::shared_ptr<RoutedResponse>> InvalidConfigurations;
  int Disturbances = 0;
  int OpenDisturbances = 0;
  bool Ending = false;
  int ServedInARow = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(RoutedSoak)

// Guards against TWICE, LOST and BUDGET where extra copies of answers coincide
// with refusals, lost answers, and daemons that restart, pause or are cut off.
BOOST_DATA_TEST_CASE(CopiesBesideDisturbances,
                     boost::unit_test::data::make({true, false}),
                     NamesRefused) {
  const std::uint64_t First = fromEnvironment("SYCAMORE_SOAK_FIRST_SEED", 1);
  const std::uint64_t Count = fromEnvironment("SYCAMORE_SOAK_SEEDS", 2);
  const std::chrono::seconds Time(fromEnvironment("SYCAMORE_SOAK_SECONDS", 4));
  for (std::uint64_t Seed = First; Seed < First + Count; ++Seed)
    BOOST_TEST_CONTEXT("seed " << Seed)
  Soak(Seed, NamesRefused).run(Time);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace FaultTests
