// The three machines that the settings name as seeds were replaced long ago.
// Then the leader freezes for 5 s, and the configuration changes. Once all
// others are in touch again, the entry daemons must follow the new version.
#include "Harness.h"

using namespace Review;

namespace {

constexpr double ContactSeconds = 3.0;
constexpr double ApplySeconds = 2.0;
constexpr double CatchUpSeconds = 4.0;
constexpr double FreezeSeconds = 5.0;
constexpr int Rounds = 7;
constexpr int Entries = 8;

std::atomic<bool> Stopping{false};
std::atomic<bool> Probing{false};
std::atomic<int> Probes{0};

struct Probe {
  int Entry;
  double SentAt;
  int Status;
  /// The service whose replica ran it.
  std::string RunBy;
};
std::mutex Mutex;
std::vector<Probe> Done;

/// The route /moved/ goes to one service, then to the other.
std::string configuration(int Version, const std::string &Service) {
  const auto Route = [](const std::string &Name, const std::string &Prefix,
                        const std::string &To) {
    return "{\"name\":\"" + Name +
           "\",\"host\":\"yard.example\",\"path-prefix\":\"" + Prefix +
           "\",\"route-kind\":\"safe\",\"timeout-ms\":1500,\"slo-ms\":150,"
           "\"priority\":0,\"service\":\"" +
           To +
           "\",\"max-attempts\":2,\"public\":false,\"sticky\":false,"
           "\"resumable\":false}";
  };
  const auto Service1 = [](const std::string &Name) {
    return "{\"name\":\"" + Name +
           "\",\"health-path\":\"/health\",\"max-conns\":110,\"protocol\":"
           "\"h1\",\"tls\":false}";
  };
  return "{\"version\":" + std::to_string(Version) + ",\"routes\":[" +
         Route("r-moved", "/moved/", Service) + "],\"services\":[" +
         Service1("old") + "," + Service1("new") +
         "],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
         "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},\"tenants\":[{"
         "\"name\":\"farm\",\"api-keys\":[\"key-of-farm\"],\"priority\":1}]}";
}

void serve(Channel &Caller, const ReplicaId &Self) {
  while (true) {
    const Message Request = Caller.read(now() + 60, false);
    if (!Request.Complete)
      return;
    const std::string Id = Request.header("X-Sycamorereach-Request-Id");
    if (Request.header("X-Sycamorereach-Expect-Replica") != Self.Id) {
      Caller.write(formatResponse(421,
                                  {{"X-Sycamorereach-Request-Id", Id},
                                   {"X-Sycamorereach-Not-Executed", "1"}},
                                  ""));
      continue;
    }
    Caller.write(formatResponse(
        200,
        {{"X-Sycamorereach-Request-Id", Id},
         {"X-Sycamorereach-Replica-Signature", "s." + Self.Id},
         {"Keep-Alive", "timeout=10"}},
        Self.Service));
  }
}

void probe(const Deployment &At, int Entry) {
  for (int I = 0; !Stopping; ++I) {
    sleepFor(0.05);
    if (!Probing)
      continue;
    const std::string Id =
        "p" + std::to_string(Entry) + "x" + std::to_string(I);
    const double SentAt = now();
    const Message Answer = call(At.front(Entry), "GET", "/moved/" + Id, "",
                                {{"Host", "yard.example"},
                                 {"X-Sycamorereach-Request-Id", Id},
                                 {"X-Sycamorereach-Request-Deadline", "1500"},
                                 {"Authorization", "Bearer key-of-farm"}},
                                2.0);
    ++Probes;
    Log.line("%s sent to entry-%d at %.3f, answered %d %s", Id.c_str(), Entry,
             SentAt, Answer.status(),
             Answer.status() == 200 ? Answer.Body.c_str() : "");
    const std::lock_guard<std::mutex> Lock(Mutex);
    Done.push_back({Entry, SentAt, Answer.status(),
                    Answer.status() == 200 ? Answer.Body : ""});
  }
}

} // namespace

int main(int, char **Arguments) {
  Log.open(Arguments[1]);
  Deployment Running;
  Current = &Running;
  Running.EntryDaemons = Entries;
  Running.startAll();
  int Version = 10;
  if (!Running.configure(configuration(Version, "old")))
    giveUp("the configuration was not acknowledged");
  std::vector<std::unique_ptr<Server>> Servers;
  std::vector<std::unique_ptr<Heart>> Hearts;
  for (int I = 0; I < 4; ++I) {
    const ReplicaId Self{"i-" + std::to_string(I), I < 2 ? "old" : "new",
                         Running.replica(I), "zone-" + std::to_string(1 + I), 6,
                         unixMilliseconds()};
    Servers.push_back(std::make_unique<Server>(
        Self.At, [Self](Channel &Caller) { serve(Caller, Self); }));
    Hearts.push_back(std::make_unique<Heart>(Running, Self));
  }
  if (!Running.waitUntilReady())
    giveUp("the entry daemons are not ready");
  sleepFor(1.0);

  // Planned, one by one: a machine of the core goes for good, and an empty one
  // comes a second later at another address.
  for (int Old = 1; Old <= 3; ++Old) {
    const int New = 4 + Old;
    {
      const std::lock_guard<std::mutex> Lock(Running.LiveMutex);
      std::erase(Running.Live, Old);
    }
    Running.Processes.erase("state-" + std::to_string(Old));
    Log.line("state-%d is gone for good", Old);
    sleepFor(1.0);
    Running.Seeds = {Running.Live[0], Running.Live[1], Running.Live[2]};
    Running.startState(New, false);
    {
      const std::lock_guard<std::mutex> Lock(Running.LiveMutex);
      Running.Live.push_back(New);
    }
    sleepFor(CatchUpSeconds + 1.0);
  }
  sleepFor(ContactSeconds);

  std::vector<std::thread> Probers;
  for (int I = 1; I <= Entries; ++I)
    Probers.emplace_back(probe, std::cref(Running), I);
  int Late = 0;
  int BrokenRounds = 0;
  std::set<int> LateEntries;
  for (int Round = 0; Round < Rounds; ++Round) {
    const int Leader = Running.leader();
    if (Leader == 0)
      giveUp("no leader");
    const std::string Name = "state-" + std::to_string(Leader);
    const double FrozenAt = now();
    if (hasTrouble()) {
      Log.line("%s, the leader, stands still", Name.c_str());
      Running.process(Name).signal(SIGSTOP);
    }
    Probing = true;
    sleepFor(0.2);
    const std::string Service = Round % 2 == 0 ? "new" : "old";
    if (!Running.configure(configuration(++Version, Service), 4))
      Log.line("round %d: the change got no clear answer", Round);
    const double AcknowledgedAt = now();
    sleepFor(FrozenAt + FreezeSeconds - now());
    Probing = false;
    const double ThawedAt = now();
    if (hasTrouble())
      Running.process(Name).signal(SIGCONT);
    Log.line("%s goes on", Name.c_str());
    sleepFor(CatchUpSeconds + 1.0);
    const double From =
        std::max(AcknowledgedAt + ApplySeconds,
                 hasTrouble() ? FrozenAt + ContactSeconds + 0.05 : 0.0);
    const std::lock_guard<std::mutex> Lock(Mutex);
    int LateNow = 0;
    double Last = 0;
    for (const Probe &Each : Done) {
      if (Each.SentAt <= From || Each.SentAt >= ThawedAt - 0.05 ||
          Each.RunBy.empty() || Each.RunBy == Service)
        continue;
      ++LateNow;
      LateEntries.insert(Each.Entry);
      Last = std::max(Last, Each.SentAt);
    }
    Done.clear();
    Late += LateNow;
    BrokenRounds += LateNow > 0 ? 1 : 0;
    Log.line("round %d: version %d acknowledged %.2f s after the freeze; %d "
             "requests run by the old service by machines in touch, the last "
             "one sent %.2f s after the acknowledgement",
             Round, Version, AcknowledgedAt - FrozenAt, LateNow,
             LateNow ? Last - AcknowledgedAt : 0.0);
  }
  Stopping = true;
  for (std::thread &Each : Probers)
    Each.join();
  char Text[300];
  snprintf(Text, sizeof(Text),
           "%d requests sent; in %d of %d rounds, machines in touch let the "
           "old service run requests that were sent later than "
           "config-apply-ms after the acknowledgement: %d requests, at %zu "
           "entry daemons",
           Probes.load(), BrokenRounds, Rounds, Late, LateEntries.size());
  conclude(Late > 0, Text);
}
