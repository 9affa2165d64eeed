// Two operators order rollouts at once: one of a service that was rolled back,
// again, the other of further services. Then the final fault: all processes are
// killed.

#include "Harness.h"

using namespace Harness;

namespace {

constexpr char Host[] = "yard.example";
constexpr char BeginPath[] = "/sycamorereach/rollouts/begin";
constexpr int Cores = 4;
/// With the repeated order, eight orders are in progress at once.
constexpr int OtherServices = 7;
/// Longer than the time in which an order counts as the repeat of an earlier
/// one: ack-ms, and a margin of 2 s in the code.
constexpr auto PauseBeforeNextOrder = 9000ms;
constexpr auto RecoverTime = 15s;

std::string otherService(int Number) {
  return "lm-pool-" + std::to_string(Number);
}

std::string configuration() {
  const auto Service = [](const std::string &Name) {
    return "{\"name\":\"" + Name +
           "\",\"health-path\":\"/health\",\"max-conns\":110,"
           "\"protocol\":\"h1\",\"tls\":false}";
  };
  std::string Services = Service("bureau-app");
  for (int I = 1; I <= OtherServices; ++I)
    Services += "," + Service(otherService(I));
  return std::string("{\"version\":3,\"routes\":[{\"name\":\"a\",\"host\":\"") +
         Host +
         "\",\"path-prefix\":\"/a/\",\"route-kind\":\"unsafe\","
         "\"timeout-ms\":800,\"slo-ms\":150,\"priority\":2,"
         "\"service\":\"bureau-app\",\"max-attempts\":1,\"public\":false,"
         "\"sticky\":false,\"resumable\":false}],\"services\":[" +
         Services +
         "],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
         "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},"
         "\"tenants\":[{\"name\":\"team-1\",\"api-keys\":[\"key-1\"],"
         "\"priority\":1}]}";
}

class Scenario {
public:
  bool run() {
    // The bounds of the sheet whose deployment has rollouts.
    this->Daemons.OtherBounds = {
        {"bounds.contact-ms", "4000"},      {"bounds.ack-ms", "5000"},
        {"bounds.catch-up-s", "6"},         {"bounds.drain-ms", "2500"},
        {"bounds.config-apply-ms", "2500"}, {"bounds.max-stretch-ms", "6000"},
        {"bounds.expose-share", "0.1"},     {"bounds.expose-slack", "50"},
        {"bounds.rollback-ms", "5000"},     {"bounds.recover-s", "15"}};
    this->startAll(true);
    if (!callControl(this->controls(), "POST", "/sycamorereach/config/replace",
                     configuration(), 15s))
      throw CannotRun{"the configuration is not acknowledged"};

    // A first order, which is rolled back, as no replica has the version in
    // time.
    this->order("bureau-app", 1);
    const auto OrderedAt = Clock::now();
    while (this->state("bureau-app") != "rolled_back") {
      if (Clock::now() > OrderedAt + 15s)
        throw CannotRun{"the first rollout does not end"};
      std::this_thread::sleep_for(200ms);
    }
    std::this_thread::sleep_until(OrderedAt + PauseBeforeNextOrder);

    std::vector<std::string> Ordered;
    for (int I = 1; I <= OtherServices; ++I)
      Ordered.push_back(otherService(I));
    Ordered.push_back("bureau-app");
    if (withTrouble() && this->AtOnce)
      this->orderAtOnce(Ordered, 60);
    else
      for (const std::string &Each : Ordered)
        this->order(Each, 60);
    std::this_thread::sleep_for(500ms);
    this->state("bureau-app");

    if (withTrouble()) {
      record().line("final fault: all processes are killed");
      this->Daemons.killAll();
      std::this_thread::sleep_for(1300ms);
      this->startAll(false);
    }
    std::this_thread::sleep_for(RecoverTime);
    int Gone = 0;
    for (const std::string &Each : Ordered) {
      const std::string State = this->state(Each);
      if (State.empty())
        throw CannotRun{"the rollouts are not read back"};
      Gone += State == "running" ? 0 : 1;
    }
    record().line("acknowledged orders, for 60 s each: %zu; of these gone: %d",
                  Ordered.size(), Gone);
    return Gone > 0;
  }

private:
  void startAll(bool First) {
    for (int I = 1; I <= Cores; ++I)
      this->Daemons.startCore(I, std::string(1, "abcd"[I - 1]), First);
    this->Daemons.startEdge(11, "a");
  }
  std::vector<Endpoint> controls() const {
    std::vector<Endpoint> Result;
    for (int I = 1; I <= Cores; ++I)
      Result.push_back(this->Daemons.control(I));
    return Result;
  }
  static std::string body(const std::string &Service, int Seconds) {
    return "{\"service\":\"" + Service +
           "\",\"target\":\"v2\",\"duration-s\":" + std::to_string(Seconds) +
           "}";
  }

  /// Sends an order until it is acknowledged.
  void order(const std::string &Service, int Seconds) {
    if (!callControl(this->controls(), "POST", BeginPath,
                     body(Service, Seconds), 10s))
      throw CannotRun{"not acknowledged: the order of " + Service};
    record().line("%s to v2 in %d s: acknowledged", Service.c_str(), Seconds);
  }

  /// Sends the orders to the leader at the same moment, and those again that
  /// get no acknowledgement.
  void orderAtOnce(const std::vector<std::string> &Services, int Seconds) {
    int Leader = 0;
    for (int I = 1; I <= Cores; ++I)
      if (this->Daemons.leads(I))
        Leader = I;
    if (Leader == 0)
      throw CannotRun{"no state daemon leads"};
    const Endpoint To = this->Daemons.control(Leader);
    std::vector<std::unique_ptr<Channel>> Channels;
    for (std::size_t I = 0; I < Services.size(); ++I)
      Channels.push_back(std::make_unique<Channel>(To));
    std::this_thread::sleep_for(50ms);
    for (std::size_t I = 0; I < Services.size(); ++I)
      Channels[I]->send(encodeRequest("POST", BeginPath, To.str(),
                                      {{"Content-Type", "application/json"}},
                                      body(Services[I], Seconds)));
    std::vector<std::string> Again;
    for (std::size_t I = 0; I < Services.size(); ++I) {
      const auto Answer = Channels[I]->receive(2000ms);
      record().line("%s to v2 in %d s, at once with the others -> %d",
                    Services[I].c_str(), Seconds,
                    Answer ? Answer->status() : 0);
      if (!Answer || Answer->status() != 200)
        Again.push_back(Services[I]);
    }
    for (const std::string &Each : Again)
      this->order(Each, Seconds);
  }

  std::string state(const std::string &Service) {
    const auto Answer =
        callControl(this->controls(), "GET",
                    "/sycamorereach/rollouts/" + Service + "/read", "", 2000ms);
    if (!Answer)
      return "";
    std::string State =
        Answer->Body.substr(Answer->Body.find("\"state\":\"") + 9);
    State = State.substr(0, State.find('"'));
    if (State != this->Seen[Service])
      record().line("read of %s: %s", Service.c_str(), Answer->Body.c_str());
    return this->Seen[Service] = State;
  }

  /// AT_ONCE=0 sends the orders one after the other, with the final fault.
  const bool AtOnce =
      !std::getenv("AT_ONCE") || std::string(std::getenv("AT_ONCE")) != "0";
  Deployment Daemons;
  std::map<std::string, std::string> Seen;
};

} // namespace

int main() {
  // Never destroyed: its threads run until the process ends.
  auto &Run = *new Scenario();
  const int Status = runScenario([&Run] { return Run.run(); });
  _exit(Status);
}
