// An entry daemon is stopped as planned while streams run through it. One of
// two replicas, both full, pauses for 2.7 s, as it reads a prompt again, and
// goes on. Requesters wait for 4 s. The streams must come to their end.
#include "Harness.h"

using namespace Review;

namespace {

constexpr int Slots = 4;
constexpr double GraceSeconds = 8.0;
constexpr double ContactSeconds = 3.0;
constexpr double EventSeconds = 0.1;
/// The answers of the replica that pauses are shorter than the other's.
constexpr int EventsAtPausing = 30;
constexpr int EventsAtOther = 75;
double PauseSeconds = 2.7;

std::atomic<double> PauseFrom{1e9};
std::atomic<int> Rejections{0};
std::mutex Mutex;
/// The replica at which each stream began.
std::map<std::string, std::string> BeganAt;

std::string configuration() {
  return "{\"version\":7,\"routes\":[{\"name\":\"r-notes\",\"host\":"
         "\"yard.example\",\"path-prefix\":\"/notes/\",\"route-kind\":"
         "\"streaming\",\"timeout-ms\":12000,\"slo-ms\":500,\"priority\":0,"
         "\"service\":\"llm\",\"max-attempts\":2,\"public\":false,\"sticky\":"
         "true,\"resumable\":true,\"gap-target-ms\":500}],\"services\":[{"
         "\"name\":\"llm\",\"health-path\":\"/health\",\"max-conns\":370,"
         "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{"
         "\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
         "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},\"tenants\":[{"
         "\"name\":\"farm\",\"api-keys\":[\"key-of-farm\"],\"priority\":1}]}";
}

void serve(Channel &Caller, const ReplicaId &Self, bool Pauses,
           std::atomic<int> &Busy) {
  while (true) {
    const Message Request = Caller.read(now() + 60, false);
    if (!Request.Complete)
      return;
    const std::string Id = Request.header("X-Sycamorereach-Request-Id");
    const bool Expected =
        Request.header("X-Sycamorereach-Expect-Replica") == Self.Id;
    if (!Expected || ++Busy > Slots) {
      if (Expected) {
        --Busy;
        ++Rejections;
        Log.line("replica %s is full and rejects %s", Self.Id.c_str(),
                 Id.c_str());
      }
      Caller.write(formatResponse(Expected ? 503 : 421,
                                  {{"X-Sycamorereach-Request-Id", Id},
                                   {"X-Sycamorereach-Not-Executed", "1"}},
                                  ""));
      continue;
    }
    const int First = atoi(Request.header("Last-Event-Id").c_str()) + 1;
    Log.line("replica %s runs %s from event %d", Self.Id.c_str(), Id.c_str(),
             First);
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      BeganAt.emplace(Id, Self.Id);
    }
    bool Open = Caller.write(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        "X-Sycamorereach-Request-Id: " +
        Id + "\r\nX-Sycamorereach-Replica-Signature: s." + Self.Id +
        "\r\nTransfer-Encoding: chunked\r\n\r\n");
    const int Last = Pauses ? EventsAtPausing : EventsAtOther;
    for (int I = First; I <= Last && Open; ++I) {
      const std::string Event = "id: " + std::to_string(I) + "\ndata: " +
                                std::string(50, 'a') + "\n\n";
      char Size[16];
      snprintf(Size, sizeof(Size), "%zx\r\n", Event.size());
      Open = Caller.write(Size + Event + "\r\n");
      sleepFor(EventSeconds);
      while (Pauses && now() > PauseFrom &&
             now() < PauseFrom + PauseSeconds && Open) {
        sleepFor(0.02);
        // A replica drops a request when its channel closes.
        Open = !Caller.isClosed();
      }
    }
    --Busy;
    Log.line("replica %s: %s %s", Self.Id.c_str(), Id.c_str(),
             Open ? "is complete" : "lost its channel");
    if (!Open || !Caller.write("0\r\n\r\n"))
      return;
  }
}

struct Outcome {
  std::string Id;
  int Status = 0;
  bool Complete = false;
  std::string LastLine;
  double SentAt = 0;
  double EndedAt = 0;
};

void request(const Address &Front, Outcome &Result) {
  auto Opened = Channel::connect(Front, 1.0);
  if (!Opened)
    return;
  Result.SentAt = now();
  Log.line("requester sends %s", Result.Id.c_str());
  Opened->write(
      formatRequest("POST", "/notes/" + Result.Id,
                    {{"Host", "yard.example"},
                     {"X-Sycamorereach-Request-Id", Result.Id},
                     {"X-Sycamorereach-Request-Deadline", "12000"},
                     {"Authorization", "Bearer key-of-farm"}},
                    std::string(800, 'p')));
  const Message Answer = Opened->read(now() + 12.0, true);
  Result.EndedAt = now();
  Result.Status = Answer.status();
  Result.Complete = Answer.Complete;
  Log.line("requester: %s answered %d, %s, %zu bytes", Result.Id.c_str(),
           Result.Status, Result.Complete ? "complete" : "not complete",
           Answer.Body.size());
}

} // namespace

int main(int, char **Arguments) {
  Log.open(Arguments[1]);
  if (getenv("PAUSE"))
    PauseSeconds = atof(getenv("PAUSE"));
  Deployment Running;
  Current = &Running;
  Running.startAll();
  if (!Running.configure(configuration()))
    giveUp("the configuration was not acknowledged");
  std::vector<std::unique_ptr<Server>> Servers;
  std::vector<std::unique_ptr<Heart>> Hearts;
  std::atomic<int> Busy[2] = {0, 0};
  for (int I = 0; I < 2; ++I) {
    const ReplicaId Self{"i-" + std::to_string(I), "llm", Running.replica(I),
                         "zone-" + std::to_string(1 + I), Slots,
                         unixMilliseconds()};
    Servers.push_back(
        std::make_unique<Server>(Self.At, [Self, I, &Busy](Channel &Caller) {
          serve(Caller, Self, I == 0, Busy[I]);
        }));
    Hearts.push_back(std::make_unique<Heart>(Running, Self));
  }
  if (!Running.waitUntilReady())
    giveUp("the entry daemons are not ready");
  sleepFor(ContactSeconds + 2.0);

  std::vector<Outcome> Streams(2 * Slots);
  std::vector<std::thread> Requesters;
  for (std::size_t I = 0; I < Streams.size(); ++I) {
    Streams[I].Id = "q" + std::to_string(I);
    Requesters.emplace_back(request, Running.front(1), std::ref(Streams[I]));
    sleepFor(0.05);
  }
  sleepFor(0.6);
  if (Busy[0] == 0 || Busy[1] != Slots)
    Log.line("running: %d and %d", Busy[0].load(), Busy[1].load());
  const double StoppedAt = now();
  if (hasTrouble()) {
    Log.line("entry-1 gets SIGTERM");
    Running.process("entry-1").signal(SIGTERM);
  }
  sleepFor(0.5);
  PauseFrom = now();
  Log.line("replica i-0 pauses for %.1f s", PauseSeconds);
  for (std::thread &Each : Requesters)
    Each.join();

  int Cut = 0;
  int Complete = 0;
  double LastCut = 0;
  for (const Outcome &Each : Streams) {
    Complete += Each.Complete && Each.Status == 200 ? 1 : 0;
    const bool BeganAtPausing = BeganAt[Each.Id] == "i-0";
    // Not in the last sixth of the grace period; the time budget of 12 s is not
    // reached; no replica broke off.
    if (Each.Complete || !BeganAtPausing ||
        Each.EndedAt > StoppedAt + GraceSeconds * 5 / 6)
      continue;
    ++Cut;
    LastCut = std::max(LastCut, Each.EndedAt - StoppedAt);
    Log.line("cut: %s, begun at i-0, ended %.2f s after the stop began",
             Each.Id.c_str(), Each.EndedAt - StoppedAt);
  }
  char Text[300];
  snprintf(Text, sizeof(Text),
           "%zu streams, %d complete; %d were broken off by the entry daemon "
           "though their replica was at work, the last one %.1f s after the "
           "signal; %d rejections by the full replica; planned stop: %s",
           Streams.size(), Complete, Cut, LastCut, Rejections.load(),
           hasTrouble() ? "yes" : "no, so LOST does not count them");
  conclude(hasTrouble() && Cut > 0, Text);
}
