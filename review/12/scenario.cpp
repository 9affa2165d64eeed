// Two operators order rollouts at once: one of a service that was rolled back,
// again, the other of further services. Then the final fault: all processes are
// killed.

#include "Harness.h"

using namespace Harness;

namespace {

constexpr char Host[] = "yard.example";
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
    if (!this->order("first operator", "bureau-app", "v2", 1))
      throw CannotRun{"the first order is not acknowledged"};
    const auto OrderedAt = Clock::now();
    while (this->state("bureau-app") != "rolled_back") {
      if (Clock::now() > OrderedAt + 15s)
        throw CannotRun{"the first rollout does not end"};
      std::this_thread::sleep_for(200ms);
    }
    std::this_thread::sleep_until(OrderedAt + PauseBeforeNextOrder);

    std::atomic<int> Acknowledged{0};
    const auto OrderOther = [&](int Number) {
      Acknowledged +=
          this->order("second operator", otherService(Number), "v2", 60);
    };
    const auto OrderAgain = [&] {
      Acknowledged += this->order("first operator", "bureau-app", "v2", 60);
    };
    if (withTrouble() && this->AtOnce) {
      std::vector<std::thread> Orders;
      for (int I = 1; I <= OtherServices; ++I)
        Orders.emplace_back(OrderOther, I);
      Orders.emplace_back(OrderAgain);
      for (std::thread &Each : Orders)
        Each.join();
    } else {
      for (int I = 1; I <= OtherServices; ++I)
        OrderOther(I);
      OrderAgain();
    }
    if (Acknowledged != OtherServices + 1)
      throw CannotRun{"an order is not acknowledged"};
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
    std::vector<std::string> Ordered = {"bureau-app"};
    for (int I = 1; I <= OtherServices; ++I)
      Ordered.push_back(otherService(I));
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
  /// The operators know the leader from their earlier calls.
  std::vector<Endpoint> leaderFirst() const {
    std::vector<Endpoint> Result = this->controls();
    for (int I = 1; I <= Cores; ++I)
      if (this->Daemons.leads(I))
        std::swap(Result[0], Result[static_cast<std::size_t>(I - 1)]);
    return Result;
  }

  /// Sends an order until it has a clear answer.
  bool order(const char *Operator, const std::string &Service,
             const std::string &Target, int Seconds) {
    const std::vector<Endpoint> Called = this->leaderFirst();
    this->awaitBoth(Service, Seconds);
    const auto Answer =
        callControl(Called, "POST", "/sycamorereach/rollouts/begin",
                    "{\"service\":\"" + Service + "\",\"target\":\"" + Target +
                        "\",\"duration-s\":" + std::to_string(Seconds) + "}",
                    10s, {200, 400, 404, 409, 422});
    record().line("%s orders %s to %s in %d s -> %d", Operator, Service.c_str(),
                  Target.c_str(), Seconds, Answer ? Answer->status() : 0);
    return Answer && Answer->status() == 200;
  }
  /// Lets the orders that are sent at once begin together. The one that is
  /// repeated comes a little later, as the fault needs another one to be taken
  /// first.
  void awaitBoth(const std::string &Service, int Seconds) {
    if (!withTrouble() || !this->AtOnce || Seconds == 1)
      return;
    ++this->Ready;
    while (this->Ready < OtherServices + 1)
      std::this_thread::yield();
    if (Service == "bureau-app")
      std::this_thread::sleep_for(200us);
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
  std::atomic<int> Ready{0};
  std::map<std::string, std::string> Seen;
};

} // namespace

int main() {
  // Never destroyed: its threads run until the process ends.
  auto &Run = *new Scenario();
  const int Status = runScenario([&Run] { return Run.run(); });
  _exit(Status);
}
