// Some replicas send bytes that are no answer, without end, in a body, to part
// of the requests that they get. An entry daemon must go on with the others.
// The platform kills a process that uses more memory than its limit.
#include "Harness.h"

using namespace Review;

namespace {

constexpr int Replicas = 12;
constexpr int Faulty = 6;
constexpr double TroubleSeconds = 5.0;
constexpr double RequestsPerSecond = 66;
double Share = 0.45;
double BytesPerSecond = 2e6;

std::mutex Mutex;
/// When each request began to run at a sound replica, and when it was closed.
std::map<std::string, std::string> SoundRuns;
std::atomic<bool> InTrouble{false};
std::atomic<bool> Stopping{false};
std::atomic<int> Sent{0}, Served{0}, Failed{0}, CutAtSound{0}, Endless{0};

std::string configuration() {
  return "{\"version\":7,\"routes\":[{\"name\":\"r-notes\",\"host\":"
         "\"yard.example\",\"path-prefix\":\"/notes/\",\"route-kind\":"
         "\"streaming\",\"timeout-ms\":12000,\"slo-ms\":500,\"priority\":0,"
         "\"service\":\"llm\",\"max-attempts\":1,\"public\":false,\"sticky\":"
         "true,\"resumable\":false,\"gap-target-ms\":500}],\"services\":[{"
         "\"name\":\"llm\",\"health-path\":\"/health\",\"max-conns\":370,"
         "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,"
         "\"kv-capacity\":579467,\"kv-token-bytes\":18432,\"link-mbps\":550000,"
         "\"moves\":true,\"backups\":true,\"stride\":6,\"most\":12,"
         "\"pin-ms\":4000,\"hold-ms\":2000,\"handle-s\":5,\"models\":[{\"name\":"
         "\"m\"}]}}],\"limits\":{\"max-header-bytes\":16384,"
         "\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,"
         "\"idle-timeout-ms\":15000},\"tenants\":[{\"name\":\"farm\","
         "\"api-keys\":[\"key-of-farm\"],\"priority\":1}]}";
}

void sendEndlessly(Channel &Caller) {
  const double Start = now();
  if (!Caller.write("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"))
    return;
  const std::string Bytes(20000, 'x');
  double Bytesent = 0;
  while (!Stopping && Caller.write(Bytes, 60)) {
    Bytesent += static_cast<double>(Bytes.size());
    sleepFor(Start + Bytesent / BytesPerSecond - now());
  }
}

void serve(Channel &Caller, const ReplicaId &Self, bool IsFaulty) {
  thread_local std::mt19937 Random(std::random_device{}());
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
    Log.line("replica %s runs %s", Self.Id.c_str(), Id.c_str());
    if (IsFaulty && InTrouble &&
        std::uniform_real_distribution<double>()(Random) < Share) {
      ++Endless;
      Log.line("replica %s answers %s without end", Self.Id.c_str(),
               Id.c_str());
      sendEndlessly(Caller);
      return;
    }
    if (!IsFaulty) {
      const std::lock_guard<std::mutex> Lock(Mutex);
      SoundRuns[Id] = Self.Id;
    }
    Caller.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                 "X-Sycamorereach-Request-Id: " +
                 Id + "\r\nX-Sycamorereach-Replica-Signature: s." + Self.Id +
                 "\r\nTransfer-Encoding: chunked\r\n\r\n");
    // 49 events of 6 tokens.
    for (int I = 1; I <= 49; ++I) {
      const std::string Event = "id: " + std::to_string(I) +
                                "\ndata: " + std::string(50, 'a') + "\n\n";
      char Size[16];
      snprintf(Size, sizeof(Size), "%zx\r\n", Event.size());
      if (!Caller.write(Size + Event + "\r\n"))
        return;
      sleepFor(0.02);
    }
    Caller.write("0\r\n\r\n");
  }
}

/// One requester: sends a request about every Period seconds on a kept channel.
void request(const Address &Front, int Number, double Period) {
  std::mt19937 Random(static_cast<unsigned>(Number) + 1);
  std::unique_ptr<Channel> Kept;
  bool WasUsed = false;
  sleepFor(Period * std::uniform_real_distribution<double>()(Random));
  for (int I = 0; !Stopping; ++I) {
    const double Next = now() + Period;
    const std::string Id =
        "q" + std::to_string(Number) + "x" + std::to_string(I);
    if (Kept && Kept->isClosed())
      Kept.reset();
    if (!Kept) {
      Kept = Channel::connect(Front, 1.0);
      WasUsed = false;
    }
    if (!Kept) {
      sleepFor(0.3);
      continue;
    }
    ++Sent;
    Log.line("requester %d sends %s to %s", Number, Id.c_str(),
             Front.str().c_str());
    Kept->write(formatRequest(
        "POST", "/notes/" + Id,
        {{"Host", "yard.example"},
         {"X-Sycamorereach-Request-Id", Id},
         {"X-Sycamorereach-Request-Deadline", "12000"},
         {"X-Sycamorereach-Model", "m"},
         {"X-Sycamorereach-Token-Count", "826,294"},
         {"X-Sycamorereach-Prefix-Hash",
          std::to_string(1000 + Random() % 40) + ":198," + std::to_string(Number) +
              "f" + std::to_string(I % 10000) + ":628"},
         {"Authorization", "Bearer key-of-farm"}},
        std::string(800, 'p')));
    const Message Answer = Kept->read(now() + 13.0, true);
    const bool Cut = Answer.status() == 0 || !Answer.Complete;
    Log.line("requester %d: %s answered %d%s", Number, Id.c_str(),
             Answer.status(), Cut ? ", not complete" : "");
    if (!Cut && Answer.status() == 200)
      ++Served;
    else
      ++Failed;
    if (Cut) {
      const std::lock_guard<std::mutex> Lock(Mutex);
      const bool AtSound = SoundRuns.count(Id) != 0;
      if (AtSound && WasUsed) {
        ++CutAtSound;
        Log.line("lost: %s was passed on to the sound replica %s, and its kept "
                 "channel ended without a complete answer",
                 Id.c_str(), SoundRuns[Id].c_str());
      }
    }
    if (Cut || Answer.header("Connection") == "close")
      Kept.reset();
    else
      WasUsed = true;
    sleepFor(Next - now());
  }
}

} // namespace

int main(int, char **Arguments) {
  Log.open(Arguments[1]);
  if (getenv("SHARE"))
    Share = atof(getenv("SHARE"));
  if (getenv("PACE"))
    BytesPerSecond = atof(getenv("PACE"));
  Deployment Running;
  Current = &Running;
  Running.startAll();
  if (!Running.configure(configuration()))
    giveUp("the configuration was not acknowledged");
  std::vector<std::unique_ptr<Server>> Servers;
  std::vector<std::unique_ptr<Heart>> Hearts;
  for (int I = 0; I < Replicas; ++I) {
    const ReplicaId Self{"i-" + std::to_string(I), "llm", Running.replica(I),
                         "zone-" + std::to_string(1 + I % 4), 64,
                         unixMilliseconds()};
    Servers.push_back(
        std::make_unique<Server>(Self.At, [Self, I](Channel &Caller) {
          serve(Caller, Self, I < Faulty);
        }));
    Hearts.push_back(std::make_unique<Heart>(Running, Self));
  }
  if (!Running.waitUntilReady())
    giveUp("the entry daemons are not ready");
  sleepFor(2.0);

  // The platform: kills a process that uses more than its memory, and starts it
  // again after a short delay.
  std::vector<double> Peak(3, 0);
  std::atomic<int> Kills{0};
  std::thread Platform([&] {
    while (!Stopping) {
      for (int I = 1; I <= Running.EntryDaemons; ++I) {
        const std::string Name = "entry-" + std::to_string(I);
        Process &Each = Running.process(Name);
        const double Used = Each.residentMegabytes();
        Peak[I] = std::max(Peak[I], Used);
        if (Used <= Running.MemoryLimitMegabytes)
          continue;
        ++Kills;
        Log.line("platform: %s uses %.0f MB, more than memory-mb = %.0f: "
                 "killed and started again",
                 Name.c_str(), Used, Running.MemoryLimitMegabytes);
        Each.kill(SIGKILL);
        sleepFor(0.3);
        Running.startEntry(I);
      }
      sleepFor(0.02);
    }
  });
  std::vector<std::thread> Requesters;
  constexpr int Count = 160;
  for (int I = 0; I < Count; ++I)
    Requesters.emplace_back(request, Running.front(1 + I % 2), I,
                            Count / RequestsPerSecond);
  sleepFor(8.0);
  const int CutBefore = CutAtSound;
  if (hasTrouble()) {
    Log.line("trouble begins");
    InTrouble = true;
  }
  sleepFor(TroubleSeconds);
  InTrouble = false;
  Log.line("no more endless answers begin");
  sleepFor(14.0);
  Stopping = true;
  for (std::thread &Each : Requesters)
    Each.join();
  Platform.join();
  char Text[400];
  snprintf(Text, sizeof(Text),
           "%d requests sent, %d served, %d failed, %d answered without end; "
           "peak memory %.0f and %.0f MB, %d kills over the limit; %d requests "
           "at sound replicas lost on kept channels (%d before the trouble)",
           Sent.load(), Served.load(), Failed.load(), Endless.load(), Peak[1],
           Peak[2], Kills.load(), CutAtSound.load(), CutBefore);
  conclude(CutAtSound > 3, Text);
}
