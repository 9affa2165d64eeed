// The operator sends an invalid configuration: it has no routes, but `null` in
// their place. It may not be acknowledged, and the configuration before it
// stays in force.

#include "../harness-2/servers.h"

using namespace Review;

namespace {

constexpr double ApplySeconds = 2.0;
constexpr int Edges = 2;

int runThis() {
  Deployment Of(Edges);
  const std::string Valid =
      configuration(7, {{"/orders/", "unsafe", "orders"}}, {"orders"});
  Of.startAll(Valid);
  std::vector<std::unique_ptr<Replica>> Servers;
  for (int I = 1; I <= 2; ++I) {
    Replica::Options Given;
    Given.Id = "i-" + std::to_string(I);
    Given.Listen = Of.server(I);
    Given.FirstCore = I;
    Servers.push_back(std::make_unique<Replica>(Of, Given));
  }
  sleepFor(2.5);

  int Number = 0;
  const auto StatusOf = [&](int Edge) {
    const std::string Id = "request-" + std::to_string(++Number);
    const Message Answer = call(Of.front(Edge), "POST", "/orders/x",
                                {{"Host", "yard.example"},
                                 {"X-Sycamorereach-Request-Id", Id},
                                 {"X-Sycamorereach-Request-Deadline", "1500"},
                                 {"Authorization", "Bearer key-of-yard"}},
                                "reserve", 2);
    note("sent " + Id + " to edge-" + std::to_string(Edge) + ", answered " +
         std::to_string(Answer.Status));
    return Answer.Status;
  };
  for (int Edge = 1; Edge <= Edges; ++Edge)
    if (StatusOf(Edge) != 200)
      cannotRun("the first configuration is not served");

  int Broken = 0;
  if (hasTrouble()) {
    std::string Invalid = Valid;
    Invalid.replace(Invalid.find("\"version\":7"), 11, "\"version\":8");
    const std::size_t Begin = Invalid.find("\"routes\":") + 9;
    Invalid.replace(Begin, Invalid.find(",\"services\"") - Begin, "null");
    const Message Answer = Of.controlCall(
        "POST", "/sycamorereach/config/replace", Invalid, 1, 3);
    note("disruption: sent " + Invalid.substr(0, 40) + "..., answered " +
         std::to_string(Answer.Status));
    if (Answer.Status == 200) {
      ++Broken;
      note("broken: an invalid configuration is acknowledged");
    }
  }
  sleepFor(ApplySeconds + 0.5);

  int Denied = 0;
  constexpr int Requests = 20;
  for (int I = 0; I < Requests; ++I) {
    const int Status = StatusOf(I % Edges + 1);
    Denied += Status == 404 ? 1 : 0;
    sleepFor(0.05);
  }
  if (Denied > 0) {
    ++Broken;
    note("broken: " + std::to_string(Denied) + " of " +
         std::to_string(Requests) +
         " proper requests on the route of the last valid version got 404");
  }
  Message Now;
  for (int Try = 0; Try < 40 && Now.Status != 200; ++Try) {
    Now = Of.controlCall("GET", "/sycamorereach/config/read", "", Try % 4 + 1);
    sleepFor(0.1);
  }
  note("read back " + std::to_string(Now.Status) + " " +
       Now.Body.substr(0, 40));
  if (Now.Body != Valid) {
    ++Broken;
    note("broken: the last valid configuration is not read back");
  }
  note("broken " + std::to_string(Broken));
  return Broken > 0 ? 1 : 0;
}

} // namespace

int main(int Count, char **Arguments) {
  return runCase(Count, Arguments, runThis);
}
