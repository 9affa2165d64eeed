// A zone is cut off while a configuration closes routes and takes a key away.
// The entry daemon behind the cut is asked later than revoke-ms.

#include "Harness.h"

using namespace Harness;

namespace {

/// Daemons of the zones a and b expect all state daemons at this port.
constexpr int LinkPort = Deployment::LinkPort;
/// The same for the state daemon of zone c, and for the entry daemon there.
/// Behind them stand links that can be cut, but for their own zone's daemon.
constexpr int LinkPortOfZoneC = 23605;
constexpr int LinkPortOfEdgeC = 23607;
constexpr int ServerPort = 23606;
constexpr char Host[] = "yard.example";
constexpr char TakenKey[] = "key-that-is-taken-away";
constexpr char KeptKey[] = "key-that-stays";

constexpr auto RevokeTime = 5000ms;
/// The site's longest cut of a zone is 6.2 s.
constexpr auto CutTime = 6000ms;

std::string configuration(int Version, bool Closed) {
  const auto Route = [](const std::string &Name, const std::string &Prefix,
                        const std::string &Kind, bool Public) {
    return "{\"name\":\"" + Name + "\",\"host\":\"" + Host +
           "\",\"path-prefix\":\"" + Prefix + "\",\"route-kind\":\"" + Kind +
           "\",\"timeout-ms\":800,\"slo-ms\":150,\"priority\":2,"
           "\"service\":\"yard-app\",\"max-attempts\":1,\"public\":" +
           (Public ? "true" : "false") +
           ",\"sticky\":false,\"resumable\":false}";
  };
  std::string Routes = Route("docs", "/docs/", "safe", true) + "," +
                       Route("notes", "/notes/", "safe", !Closed) + "," +
                       Route("orders", "/orders/", "unsafe", false);
  if (Closed)
    Routes += "," + Route("docs-team", "/docs/team/", "safe", false);
  const std::string Keys = std::string("\"") + KeptKey + "\"" +
                           (Closed ? "" : std::string(",\"") + TakenKey + "\"");
  return "{\"version\":" + std::to_string(Version) + ",\"routes\":[" + Routes +
         "],\"services\":[{\"name\":\"yard-app\",\"health-path\":\"/health\","
         "\"max-conns\":110,\"protocol\":\"h1\",\"tls\":false}],"
         "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
         "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},"
         "\"tenants\":[{\"name\":\"team-1\",\"api-keys\":[" +
         Keys + "],\"priority\":1}]}";
}

class Scenario {
public:
  bool run() {
    this->startServer();
    this->openLinks();
    const int First = 3;
    for (int Try = 1;; ++Try) {
      this->startDaemons();
      this->declare(configuration(First, false),
                    "version 3: /docs/ and /notes/ are public, /orders/ is "
                    "not");
      // The zone that is cut off is not that of the leader, so that no election
      // takes time from the cut.
      if (!this->Daemons.leads(3))
        break;
      if (Try == 4)
        throw CannotRun{"the state daemon of zone c leads"};
      record().line("started again, as core-c-3 leads");
      this->Daemons.endAll();
    }
    this->heartbeats();
    this->awaitService(this->A);
    this->awaitService(this->B);
    for (const auto &Each : this->Links)
      Each->heal();

    // The clients of zone c have open channels, which stay with their daemon.
    Channel ToB(this->B);
    for (const char *Path : {"/docs/team/", "/notes/", "/orders/"})
      if (this->ask(ToB, "edge-c-13", Path, TakenKey) != 200)
        throw CannotRun{"the key is not obeyed before the change"};

    if (withTrouble()) {
      record().line("zone c is cut off from zones a and b for %lld ms",
                    static_cast<long long>(CutTime.count()));
      for (const auto &Each : this->Links)
        Each->cut();
    }
    const auto CutAt = Clock::now();
    this->declare(configuration(First + 1, true),
                  "version 4: /docs/team/ is added and needs a key, /notes/ "
                  "needs a key, the key is taken away");
    const auto AcknowledgedAt = Clock::now();

    std::this_thread::sleep_until(AcknowledgedAt + 2000ms);
    Channel ToA(this->A);
    this->ask(ToA, "edge-a-11", "/docs/team/", TakenKey);
    this->ask(ToA, "edge-a-11", "/notes/", TakenKey);

    std::this_thread::sleep_until(AcknowledgedAt + RevokeTime + 50ms);
    record().line("revoke-ms after the acknowledgement has passed");
    while (Clock::now() < CutAt + CutTime - 100ms)
      for (const char *Path : {"/docs/team/", "/notes/", "/orders/"}) {
        const std::string Id = this->nextId();
        this->ask(ToB, "edge-c-13", Path, TakenKey, Id);
        this->Judged.insert(Id);
        std::this_thread::sleep_for(40ms);
      }
    std::this_thread::sleep_until(CutAt + CutTime);
    if (withTrouble()) {
      record().line("the cut ends");
      for (const auto &Each : this->Links)
        Each->heal();
    }
    std::this_thread::sleep_for(3000ms);
    for (const char *Path : {"/docs/team/", "/notes/", "/orders/"})
      this->ask(ToB, "edge-c-13", Path, TakenKey);

    int Ran = 0;
    const std::lock_guard Lock(this->Mutex);
    for (const std::string &Id : this->Judged)
      Ran += this->Runs.count(Id) ? 1 : 0;
    record().line("requests with the key, sent later than revoke-ms after the "
                  "acknowledgement: %zu; of these ran: %d",
                  this->Judged.size(), Ran);
    if (this->Judged.empty())
      throw CannotRun{"the acknowledgement came too late in the cut"};
    return Ran > 0;
  }

private:
  std::string nextId() { return "request-" + std::to_string(++this->LastId); }

  /// Returns the status, or 0 without an answer.
  int ask(Channel &Over, const char *Daemon, const std::string &Path,
          const std::string &Key, std::string Id = "") {
    if (Id.empty())
      Id = this->nextId();
    const auto Answer =
        Over.call(encodeRequest("POST", Path + Id, Host,
                                {{"X-Sycamorereach-Request-Id", Id},
                                 {"X-Sycamorereach-Request-Deadline", "1500"},
                                 {"Authorization", "Bearer " + Key}},
                                "order"),
                  2000ms);
    const int Status = Answer ? Answer->status() : 0;
    bool Ran;
    {
      const std::lock_guard Lock(this->Mutex);
      Ran = this->Runs.count(Id) != 0;
    }
    record().line("%s  POST %s%s with %s -> %d%s", Daemon, Path.c_str(),
                  Id.c_str(), Key.c_str(), Status, Ran ? ", ran" : "");
    return Status;
  }

  void startServer() {
    this->TheServer = std::make_unique<Server>(
        Endpoint{this->Daemons.network().ip(20), ServerPort},
        [this](const Message &Request) {
          const std::lock_guard Lock(this->Mutex);
          this->Runs.insert(Request.header("x-sycamorereach-request-id"));
          return success(Request, "done");
        });
  }

  /// A heartbeat of the server in zone c to the state daemon of its zone.
  void heartbeats() {
    std::thread([this] {
      const std::string Born = std::to_string(wallMilliseconds());
      for (int Sequence = 1;; ++Sequence) {
        callOnce(
            this->Daemons.control(3),
            encodeRequest(
                "POST", "/sycamorereach/replicas/i-1/heartbeat", Host,
                {{"Content-Type", "application/json"}},
                "{\"service\":\"yard-app\",\"address\":\"" +
                    Endpoint{this->Daemons.network().ip(20), ServerPort}.str() +
                    "\",\"zone\":\"c\",\"version\":\"v1\",\"slots\":6,"
                    "\"state\":\"ready\",\"cold-left-ms\":0,"
                    "\"sequence\":" +
                    std::to_string(Sequence) + ",\"born\":" + Born + "}"),
            1000ms);
        std::this_thread::sleep_for(1200ms);
      }
    }).detach();
  }

  void openLinks() {
    const auto Add = [this](int Last, int From, int To, bool StartsCut) {
      return std::make_unique<Link>(
          Endpoint{this->Daemons.network().ip(Last), From},
          Endpoint{this->Daemons.network().ip(Last), To}, StartsCut);
    };
    this->Links.push_back(Add(1, LinkPortOfZoneC, LinkPort, false));
    this->Links.push_back(Add(2, LinkPortOfZoneC, LinkPort, false));
    this->Links.push_back(Add(3, LinkPort, LinkPortOfZoneC, false));
    // Opened once the entry daemon of zone c holds its link to the state daemon
    // of its own zone, from which it learns addresses that can be cut.
    this->Links.push_back(Add(1, LinkPortOfEdgeC, LinkPort, true));
    this->Links.push_back(Add(2, LinkPortOfEdgeC, LinkPort, true));
    this->WithinZone = Add(3, LinkPortOfEdgeC, LinkPortOfZoneC, false);
  }

  void startDaemons() {
    this->Daemons.startCore(1, "a", true);
    this->Daemons.startCore(2, "b", true);
    // The last one to start is not the first to ask for votes.
    std::this_thread::sleep_for(290ms);
    this->Daemons.startCore(3, "c", true, LinkPortOfZoneC);
    this->Daemons.startEdge(11, "a");
    this->Daemons.startEdge(13, "c", LinkPortOfEdgeC);
  }

  void declare(const std::string &Document, const char *What) {
    const std::vector<Endpoint> Reached = {this->Daemons.control(1),
                                           this->Daemons.control(2)};
    if (!callControl(Reached, "POST", "/sycamorereach/config/replace", Document,
                     15s))
      throw CannotRun{std::string("not acknowledged: ") + What};
    record().line("acknowledged %s", What);
  }

  void awaitService(const Endpoint &At) {
    const auto Until = Clock::now() + 15s;
    while (Clock::now() < Until) {
      const std::string Id = this->nextId();
      const auto Answer = callOnce(
          At,
          encodeRequest("POST", "/orders/" + Id, Host,
                        {{"X-Sycamorereach-Request-Id", Id},
                         {"Authorization", std::string("Bearer ") + KeptKey}},
                        "order"),
          2000ms);
      if (Answer && Answer->status() == 200)
        return;
      std::this_thread::sleep_for(100ms);
    }
    throw CannotRun{"an entry daemon does not serve"};
  }

  Deployment Daemons;
  const Endpoint A = Daemons.front(11);
  const Endpoint B = Daemons.front(13);
  std::unique_ptr<Server> TheServer;
  /// Between zone c and the others.
  std::vector<std::unique_ptr<Link>> Links;
  std::unique_ptr<Link> WithinZone;
  std::mutex Mutex;
  /// Ids of the requests that the server ran.
  std::set<std::string> Runs;
  std::set<std::string> Judged;
  std::atomic<int> LastId{0};
};

} // namespace

int main() {
  // Never destroyed: its threads run until the process ends.
  auto &Run = *new Scenario();
  const int Status = runScenario([&Run] { return Run.run(); });
  _exit(Status);
}
