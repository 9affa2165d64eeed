// A replica is cut off for a while, and the entry daemons are stopped and
// started in turn meanwhile. Afterwards the replica announces itself as before.

#include "Harness.h"

using namespace Harness;

namespace {

constexpr int ServerPort = 23606;
/// Where the servers behind the links listen.
constexpr int HiddenServerPort = 23608;
constexpr char Host[] = "yard.example";
constexpr char Key[] = "key-1";
constexpr int Edges[] = {11, 12};
/// The site cuts single machines off for up to 10 s.
constexpr auto CutTime = 9800ms;
/// From the start of the cut to the first stop, and between the stops.
constexpr auto FirstStop = 2500ms;
constexpr auto StopGap = 1400ms;
/// After the cut, before requests are judged, and for how long they are.
constexpr auto SettleTime = 5000ms;
constexpr auto JudgedTime = 30s;

std::string configuration() {
  const auto Route = [](const std::string &Name, const std::string &Prefix,
                        const std::string &Service) {
    return "{\"name\":\"" + Name + "\",\"host\":\"" + Host +
           "\",\"path-prefix\":\"" + Prefix +
           "\",\"route-kind\":\"safe\",\"timeout-ms\":800,\"slo-ms\":150,"
           "\"priority\":2,\"service\":\"" +
           Service +
           "\",\"max-attempts\":2,\"public\":false,\"sticky\":false,"
           "\"resumable\":false}";
  };
  const auto Service = [](const std::string &Name) {
    return "{\"name\":\"" + Name +
           "\",\"health-path\":\"/health\",\"max-conns\":110,"
           "\"protocol\":\"h1\",\"tls\":false}";
  };
  return "{\"version\":3,\"routes\":[" +
         Route("stock-read", "/stock/", "orders") + "," +
         Route("grade-query", "/grade/", "assistant") + "],\"services\":[" +
         Service("orders") + "," + Service("assistant") +
         "],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
         "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},"
         "\"tenants\":[{\"name\":\"team-1\",\"api-keys\":[\"" +
         Key + "\"],\"priority\":1}]}";
}

/// A server, its heartbeats, and the link by which all others reach it.
struct Replica {
  std::string Id;
  std::string Service;
  Endpoint Address;
  std::unique_ptr<Server> Program;
  std::unique_ptr<Link> Path;
  std::atomic<bool> IsCut{false};
  std::atomic<int> Acknowledged{0};
};

class Scenario {
public:
  bool run() {
    for (int I = 1; I <= 4; ++I)
      this->Daemons.startCore(I, std::string(1, "abcd"[I - 1]), true);
    for (const int Each : Edges)
      this->Daemons.startEdge(Each, "a");
    if (!callControl(this->controls(), "POST", "/sycamorereach/config/replace",
                     configuration(), 15s))
      throw CannotRun{"the configuration is not acknowledged"};
    // Five servers, of which one is cut off: a share of 0.2.
    this->startReplica("orders-1", "orders", 20);
    for (int I = 1; I <= 4; ++I)
      this->startReplica("assistant-" + std::to_string(I), "assistant", 30 + I);
    this->awaitAll();

    Replica &Orders = *this->Replicas.front();
    const auto CutAt = Clock::now();
    if (withTrouble()) {
      record().line("%s is cut off from all machines for %lld ms",
                    Orders.Id.c_str(), static_cast<long long>(CutTime.count()));
      Orders.IsCut = true;
      Orders.Path->cut();
    }
    this->restartInTurn(CutAt);
    std::this_thread::sleep_until(CutAt + CutTime);
    if (withTrouble()) {
      Orders.Path->heal();
      Orders.IsCut = false;
      record().line("the cut ends");
    }
    std::this_thread::sleep_for(SettleTime);
    Orders.Acknowledged = 0;

    std::map<std::string, std::map<int, int>> Answers;
    const auto Until = Clock::now() + JudgedTime;
    while (Clock::now() < Until)
      for (const int Edge : Edges)
        for (const char *Kind : {"/stock/", "/grade/"}) {
          ++Answers[Kind][this->ask(Edge, Kind)];
          std::this_thread::sleep_for(25ms);
        }
    record().line("heartbeats of %s acknowledged meanwhile: %d",
                  Orders.Id.c_str(), Orders.Acknowledged.load());
    int Requests = 0;
    int Served = 0;
    for (const auto &[Kind, ByStatus] : Answers)
      for (const auto &[Status, Count] : ByStatus) {
        record().line("%s: %d requests got %d", Kind.c_str(), Count, Status);
        Requests += Count;
        Served += Status == 200 ? Count : 0;
      }
    const double ServedShare = static_cast<double>(Served) / Requests;
    bool Starved = false;
    for (auto &[Kind, ByStatus] : Answers) {
      int OfKind = 0;
      for (const auto &Each : ByStatus)
        OfKind += Each.second;
      const double Share = static_cast<double>(ByStatus[200]) / OfKind;
      record().line("%s is served in %.3f of its requests, all in %.3f",
                    Kind.c_str(), Share, ServedShare);
      Starved = Starved || Share < ServedShare / 4;
    }
    return Starved;
  }

private:
  std::vector<Endpoint> controls() const {
    std::vector<Endpoint> Result;
    for (int I = 1; I <= 4; ++I)
      Result.push_back(this->Daemons.control(I));
    return Result;
  }

  int ask(int Edge, const std::string &Path) {
    const std::string Id = "request-" + std::to_string(++this->LastId);
    const auto Answer = callOnce(
        this->Daemons.front(Edge),
        encodeRequest("GET", Path + Id, Host,
                      {{"X-Sycamorereach-Request-Id", Id},
                       {"X-Sycamorereach-Request-Deadline", "1500"},
                       {"Authorization", std::string("Bearer ") + Key}},
                      ""),
        2000ms);
    return Answer ? Answer->status() : 0;
  }

  /// SIGTERM to one entry daemon after the other, and a start after each has
  /// ended.
  void restartInTurn(Clock::time_point From) {
    std::set<int> Stopping;
    std::size_t Stopped = 0;
    while (Stopped < std::size(Edges) || !Stopping.empty()) {
      if (Stopped < std::size(Edges) &&
          Clock::now() >= From + FirstStop + StopGap * Stopped) {
        const int Edge = Edges[Stopped++];
        record().line("SIGTERM to edge-a-%d", Edge);
        this->Daemons.process("edge-a-" + std::to_string(Edge)).signal(SIGTERM);
        Stopping.insert(Edge);
      }
      for (const int Edge : std::set<int>(Stopping))
        if (this->Daemons.process("edge-a-" + std::to_string(Edge)).ended()) {
          Stopping.erase(Edge);
          this->Daemons.startEdge(Edge, "a");
        }
      if (Clock::now() > From + 15s)
        throw CannotRun{"an entry daemon does not stop"};
      std::this_thread::sleep_for(5ms);
    }
  }

  void startReplica(const std::string &Id, const std::string &Service,
                    int Last) {
    auto Added = std::make_unique<Replica>();
    Replica *Started = Added.get();
    this->Replicas.push_back(std::move(Added));
    Started->Id = Id;
    Started->Service = Service;
    const std::string Ip = this->Daemons.network().ip(Last);
    Started->Address = {Ip, ServerPort};
    Started->Program = std::make_unique<Server>(
        Endpoint{Ip, HiddenServerPort},
        [](const Message &Request) { return success(Request, "done"); });
    Started->Path = std::make_unique<Link>(Started->Address,
                                           Endpoint{Ip, HiddenServerPort});
    std::thread([this, Started] {
      const std::string Born = std::to_string(wallMilliseconds());
      int Sequence = 0;
      while (true) {
        ++Sequence;
        const std::string Body =
            "{\"service\":\"" + Started->Service + "\",\"address\":\"" +
            Started->Address.str() +
            "\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":6,"
            "\"state\":\"ready\",\"cold-left-ms\":0,\"sequence\":" +
            std::to_string(Sequence) + ",\"born\":" + Born + "}";
        // While the replica is cut off, its heartbeats reach no daemon.
        std::vector<Endpoint> Called = this->controls();
        std::rotate(Called.begin(), Called.begin() + Sequence % 4,
                    Called.end());
        if (!Started->IsCut &&
            callControl(Called, "POST",
                        "/sycamorereach/replicas/" + Started->Id + "/heartbeat",
                        Body, 1000ms))
          ++Started->Acknowledged;
        std::this_thread::sleep_for(1200ms);
      }
    }).detach();
  }

  void awaitAll() {
    const auto Until = Clock::now() + 15s;
    int InARow = 0;
    while (InARow < 40) {
      if (Clock::now() > Until)
        throw CannotRun{"the replicas are not used"};
      bool Served = true;
      for (const int Edge : Edges)
        for (const char *Kind : {"/stock/", "/grade/"})
          Served = Served && this->ask(Edge, Kind) == 200;
      InARow = Served ? InARow + 1 : 0;
      std::this_thread::sleep_for(20ms);
    }
    record().line("both kinds are served at both entry daemons");
  }

  Deployment Daemons;
  std::vector<std::unique_ptr<Replica>> Replicas;
  std::atomic<int> LastId{0};
};

} // namespace

int main() {
  // Never destroyed: its threads run until the process ends.
  auto &Run = *new Scenario();
  const int Status = runScenario([&Run] { return Run.run(); });
  _exit(Status);
}
