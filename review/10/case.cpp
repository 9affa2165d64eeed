// A replica leaves while its calls to the control interface are lost. Its
// answers say so: `Server-Leaving: 1`. Nothing may reach it from a machine more
// than drain-ms after that machine has passed on such an answer.

#include "../harness-2/servers.h"

using namespace Review;

namespace {

constexpr double DrainSeconds = 2.0;
constexpr int Edges = 2;
/// One of five: the share of srv_cut.
constexpr int Replicas = 5;
/// For how long the replica serves after it began to leave.
constexpr double ServesOn = 2.8;

struct Sent {
  int Edge = 0;
  double At = 0;
  int Status = 0;
  bool Complete = false;
};

std::mutex Mutex;
std::map<std::string, Sent> AllSent;
/// When a machine first passed on an answer with Server-Leaving.
std::map<int, double> PassedOnAt;

void runCaller(Deployment &Of, int Edge, int Number, const bool &Stop) {
  for (int I = 0; !Stop; ++I) {
    const std::string Id = "e" + std::to_string(Edge) + "-c" +
                           std::to_string(Number) + "-" + std::to_string(I);
    const double At = now();
    {
      const std::lock_guard Lock(Mutex);
      AllSent[Id] = {Edge, At, 0, false};
    }
    note("sent " + Id + " to edge-" + std::to_string(Edge));
    const Message Answer = call(
        Of.front(Edge), "POST", "/orders/x",
        {{"Host", "yard.example"},
         {"X-Sycamorereach-Request-Id", Id},
         {"X-Sycamorereach-Request-Deadline", "1500"},
         {"Authorization", "Bearer key-of-yard"}},
        "reserve", 2);
    const bool SaysLeaving = Answer.header("Server-Leaving") == "1";
    note("answered " + Id + " " + std::to_string(Answer.Status) +
         (Answer.Complete ? "" : " incomplete") +
         (SaysLeaving ? " Server-Leaving" : ""));
    const std::lock_guard Lock(Mutex);
    AllSent[Id].Status = Answer.Status;
    AllSent[Id].Complete = Answer.Complete;
    if (SaysLeaving)
      PassedOnAt.try_emplace(Edge, now());
    if (At + 0.06 > now())
      sleepFor(At + 0.06 - now());
  }
}

int runThis() {
  const bool Trouble = hasTrouble();
  Deployment Of(Edges);
  Of.startAll(configuration(7, {{"/orders/", "unsafe", "orders"}}, {"orders"}));
  std::vector<std::unique_ptr<Replica>> Servers;
  for (int I = 1; I <= Replicas; ++I) {
    Replica::Options Given;
    Given.Id = "i-" + std::to_string(I);
    Given.Zone = Deployment::zone(I);
    Given.Listen = Of.server(I);
    Given.FirstCore = (I - 1) % 4 + 1;
    // Within what the sheet gives for a reservation: 30 ms on the mean, 220 ms
    // at most.
    Given.WorkSeconds = 0.12;
    Servers.push_back(std::make_unique<Replica>(Of, Given));
  }
  sleepFor(1.5);
  bool Stop = false;
  std::vector<std::thread> Callers;
  for (int Edge = 1; Edge <= Edges; ++Edge)
    for (int I = 1; I <= 4; ++I)
      Callers.emplace_back([&, Edge, I] { runCaller(Of, Edge, I, Stop); });
  sleepFor(5);
  Replica &Left = *Servers.front();
  if (Trouble) {
    note("disruption: i-1 is cut from the control interface");
    Left.CutFromControl = true;
  }
  note("i-1 begins to leave");
  Left.leave();
  sleepFor(ServesOn);
  if (!Trouble)
    Left.deregister();
  note("i-1 exits");
  Left.exit();
  sleepFor(2);
  Stop = true;
  for (std::thread &Each : Callers)
    Each.join();

  int Late = 0;
  int Lost = 0;
  int Served = 0;
  for (const Replica::Run &Each : Left.runs()) {
    const Sent &From = AllSent[Each.RequestId];
    const auto PassedOn = PassedOnAt.find(From.Edge);
    if (PassedOn == PassedOnAt.end() ||
        From.At <= PassedOn->second + DrainSeconds)
      continue;
    ++Late;
    const bool Answered = From.Complete && From.Status == 200;
    Lost += Answered ? 0 : 1;
    note("broken: " + Each.RequestId + " reached i-1 " +
         std::to_string(From.At - PassedOn->second) +
         " s after edge-" + std::to_string(From.Edge) +
         " had passed on Server-Leaving" +
         (Answered ? "" : ", and ended without its answer, status " +
                              std::to_string(From.Status)));
  }
  for (const auto &Each : AllSent)
    Served += Each.second.Complete && Each.second.Status == 200 ? 1 : 0;
  for (const auto &[Edge, At] : PassedOnAt)
    note("edge-" + std::to_string(Edge) + " first passed on Server-Leaving at " +
         std::to_string(At));
  note("requests " + std::to_string(AllSent.size()) + ", served " +
       std::to_string(Served) + ", reached the leaving replica too late " +
       std::to_string(Late) + ", of these without an answer " +
       std::to_string(Lost));
  if (Served < 200 || PassedOnAt.empty())
    cannotRun("too few requests were served");
  return Late > 0 ? 1 : 0;
}

} // namespace

int main(int Count, char **Arguments) {
  return runCase(Count, Arguments, runThis);
}
