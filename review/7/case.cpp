// The operator sends an invalid configuration: its version is -1. The valid
// configuration that follows is acknowledged; it must be in force and be read
// back.

#include "../harness-2/servers.h"

using namespace Review;

namespace {

constexpr double ApplySeconds = 2.0;

/// The route of each version has the version in its path.
std::string versioned(std::uint64_t Version) {
  return configuration(Version,
                       {{"/orders/", "unsafe", "orders"},
                        {"/v" + std::to_string(Version) + "/", "safe",
                         "orders"}},
                       {"orders"});
}

int statusOf(Deployment &Of, int Edge, const std::string &Path) {
  static int Number = 0;
  const std::string Id = "request-" + std::to_string(++Number);
  const Message Answer = call(Of.front(Edge), "GET", Path,
                              {{"Host", "yard.example"},
                               {"X-Sycamorereach-Request-Id", Id},
                               {"X-Sycamorereach-Request-Deadline", "1500"},
                               {"Authorization", "Bearer key-of-yard"}},
                              "", 2);
  note("sent " + Id + " " + Path + " to edge-" + std::to_string(Edge) +
       ", answered " + std::to_string(Answer.Status));
  return Answer.Status;
}

Message readBack(Deployment &Of) {
  Message Answer;
  for (int Try = 0; Try < 40; ++Try) {
    Answer = Of.controlCall("GET", "/sycamorereach/config/read", "", Try % 4 + 1);
    if (Answer.Complete && Answer.Status == 200)
      break;
    sleepFor(0.1);
  }
  note("read back " + std::to_string(Answer.Status) + " " +
       Answer.Body.substr(0, 30));
  return Answer;
}

int runThis() {
  Deployment Of(2);
  Of.startAll(versioned(7));
  std::vector<std::unique_ptr<Replica>> Servers;
  for (int I = 1; I <= 2; ++I) {
    Replica::Options Given;
    Given.Id = "i-" + std::to_string(I);
    Given.Listen = Of.server(I);
    Given.FirstCore = I;
    Servers.push_back(std::make_unique<Replica>(Of, Given));
  }
  sleepFor(2.5);
  if (!Of.declare(versioned(8), 5))
    cannotRun("version 8 was not acknowledged");
  note("version 8 acknowledged");
  sleepFor(ApplySeconds + 0.5);
  if (statusOf(Of, 1, "/v8/x") != 200 || statusOf(Of, 2, "/v8/x") != 200)
    cannotRun("version 8 is not served");

  int Broken = 0;
  if (hasTrouble()) {
    std::string Invalid = versioned(1);
    Invalid.replace(Invalid.find("\"version\":1"), 11, "\"version\":-1");
    const Message Answer = Of.controlCall(
        "POST", "/sycamorereach/config/replace", Invalid, 1, 3);
    note("disruption: sent the version -1, answered " +
         std::to_string(Answer.Status));
    sleepFor(ApplySeconds + 0.5);
    const Message Now = readBack(Of);
    if (Now.Body != versioned(8)) {
      ++Broken;
      note("broken: the invalid configuration is in force");
    }
  }
  for (const std::uint64_t Version : {9, 12}) {
    const std::string Document = versioned(Version);
    if (!Of.declare(Document, 5))
      cannotRun("a valid version was not acknowledged");
    note("version " + std::to_string(Version) + " acknowledged");
    sleepFor(ApplySeconds + 0.5);
    for (int Edge = 1; Edge <= 2; ++Edge)
      if (statusOf(Of, Edge, "/v" + std::to_string(Version) + "/x") == 404) {
        ++Broken;
        note("broken: edge-" + std::to_string(Edge) +
             " does not know the route of an acknowledged version");
      }
    if (readBack(Of).Body != Document) {
      ++Broken;
      note("broken: the acknowledged version is not what is read back");
    }
  }
  note("broken " + std::to_string(Broken));
  return Broken > 0 ? 1 : 0;
}

} // namespace

int main(int Count, char **Arguments) {
  return runCase(Count, Arguments, runThis);
}
