// Another writer announces a service that the configuration does not name, at
// the addresses of replicas that serve.

#include "Harness.h"

using namespace Harness;

namespace {

constexpr int ServerPort = 23606;
constexpr char Host[] = "yard.example";
constexpr char Key[] = "key-1";
/// The site's order service has four replicas, its other one more.
constexpr int Replicas = 4;
constexpr auto SettleTime = 3000ms;
constexpr auto JudgedTime = 20s;

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

class Scenario {
public:
  bool run() {
    for (int I = 1; I <= 4; ++I)
      this->Daemons.startCore(I, std::string(1, "abcd"[I - 1]), true);
    this->Daemons.startEdge(11, "a");
    if (!callControl(this->controls(), "POST", "/sycamorereach/config/replace",
                     configuration(), 15s))
      throw CannotRun{"the configuration is not acknowledged"};
    for (int I = 0; I < Replicas; ++I) {
      this->startReplica("orders", I);
      this->startReplica("assistant", I);
    }
    this->awaitAll();

    if (withTrouble())
      for (int I = 0; I < Replicas; ++I)
        this->sendForeignHeartbeat(I);
    std::this_thread::sleep_for(SettleTime);

    std::map<std::string, std::map<int, int>> Answers;
    const auto Until = Clock::now() + JudgedTime;
    while (Clock::now() < Until) {
      for (const char *Kind : {"/stock/", "/grade/"})
        ++Answers[Kind][this->ask(Kind)];
      std::this_thread::sleep_for(50ms);
    }
    int Requests = 0;
    int Served = 0;
    for (const auto &[Kind, ByStatus] : Answers)
      for (const auto &[Status, Count] : ByStatus) {
        record().line("%s: %d requests got %d", Kind.c_str(), Count, Status);
        Requests += Count;
        Served += Status == 200 ? Count : 0;
      }
    record().line("heartbeats of the replicas since then: %d, acknowledged: %d",
                  this->Beats.load(), this->AcknowledgedBeats.load());
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
  Endpoint addressOf(const std::string &Service, int Number) const {
    return {
        this->Daemons.network().ip((Service == "orders" ? 20 : 30) + Number),
        ServerPort};
  }

  int ask(const std::string &Path) {
    const std::string Id = "request-" + std::to_string(++this->LastId);
    const auto Answer = callOnce(
        this->Daemons.front(11),
        encodeRequest("GET", Path + Id, Host,
                      {{"X-Sycamorereach-Request-Id", Id},
                       {"X-Sycamorereach-Request-Deadline", "1500"},
                       {"Authorization", std::string("Bearer ") + Key}},
                      ""),
        2000ms);
    return Answer ? Answer->status() : 0;
  }

  static std::string heartbeat(const std::string &Service,
                               const Endpoint &Address, int Sequence,
                               std::int64_t Born) {
    return "{\"service\":\"" + Service + "\",\"address\":\"" + Address.str() +
           "\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":6,"
           "\"state\":\"ready\",\"cold-left-ms\":0,\"sequence\":" +
           std::to_string(Sequence) + ",\"born\":" + std::to_string(Born) + "}";
  }

  void startReplica(const std::string &Service, int Number) {
    const Endpoint At = this->addressOf(Service, Number);
    this->Servers.push_back(std::make_unique<Server>(
        At, [](const Message &Request) { return success(Request, "done"); }));
    std::thread([this, Service, Number, At] {
      const std::string Path = "/sycamorereach/replicas/" + Service + "-" +
                               std::to_string(Number) + "/heartbeat";
      const std::int64_t Born = wallMilliseconds();
      for (int Sequence = 1;; ++Sequence) {
        ++this->Beats;
        if (callControl(this->controls(), "POST", Path,
                        heartbeat(Service, At, Sequence, Born), 1000ms))
          ++this->AcknowledgedBeats;
        std::this_thread::sleep_for(1200ms);
      }
    }).detach();
  }

  void sendForeignHeartbeat(int Number) {
    const Endpoint At = this->addressOf("orders", Number);
    const std::string Body =
        heartbeat("host-monitor", At, 1, wallMilliseconds());
    const auto Answer = callControl(this->controls(), "POST",
                                    "/sycamorereach/replicas/monitor-" +
                                        std::to_string(Number) + "/heartbeat",
                                    Body, 1000ms, {200, 400, 422});
    record().line("another writer's heartbeat %s -> %d", Body.c_str(),
                  Answer ? Answer->status() : 0);
  }

  void awaitAll() {
    const auto Until = Clock::now() + 15s;
    int InARow = 0;
    while (InARow < 20) {
      if (Clock::now() > Until)
        throw CannotRun{"the replicas are not used"};
      const bool Served =
          this->ask("/stock/") == 200 && this->ask("/grade/") == 200;
      InARow = Served ? InARow + 1 : 0;
      std::this_thread::sleep_for(20ms);
    }
    this->Beats = 0;
    this->AcknowledgedBeats = 0;
    record().line("both kinds are served");
  }

  Deployment Daemons;
  std::vector<std::unique_ptr<Server>> Servers;
  std::atomic<int> LastId{0};
  std::atomic<int> Beats{0};
  std::atomic<int> AcknowledgedBeats{0};
};

} // namespace

int main() {
  // Never destroyed: its threads run until the process ends.
  auto &Run = *new Scenario();
  const int Status = runScenario([&Run] { return Run.run(); });
  _exit(Status);
}
