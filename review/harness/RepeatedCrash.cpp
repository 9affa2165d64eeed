// A request crashes each replica that begins to run it, and comes again. The
// heartbeats of replicas arrive 1.5 s late, those of a crashed one too.
// After the third crash and contact-ms, at most three more may reach replicas.
#include "Harness.h"

using namespace Review;

namespace {

constexpr int Places = 4;
constexpr double ContactSeconds = 3.0;
constexpr double BackAfterSeconds = 4.0;
constexpr double BeatSeconds = 1.2;
constexpr double RepeatSeconds = 2.5;
constexpr int Repeats = 16;
double BeatDelay = 1.5;

std::mutex Mutex;
std::vector<double> Crashes;
std::atomic<bool> Stopping{false};
std::atomic<int> Sent{0}, Answered{0};

std::string configuration() {
  return "{\"version\":7,\"routes\":[{\"name\":\"r-lot\",\"host\":"
         "\"yard.example\",\"path-prefix\":\"/lots/\",\"route-kind\":\"unsafe\","
         "\"timeout-ms\":1500,\"slo-ms\":150,\"priority\":0,\"service\":"
         "\"stock\",\"max-attempts\":1,\"public\":false,\"sticky\":false,"
         "\"resumable\":false}],\"services\":[{\"name\":\"stock\","
         "\"health-path\":\"/health\",\"max-conns\":110,\"protocol\":\"h1\","
         "\"tls\":false}],\"limits\":{\"max-header-bytes\":16384,"
         "\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,"
         "\"idle-timeout-ms\":15000},\"tenants\":[{\"name\":\"farm\","
         "\"api-keys\":[\"key-of-farm\"],\"priority\":1}]}";
}

/// An address at which one lifetime of a replica follows another.
class Place {
public:
  Place(Deployment &At, int Number) : At(At), Number(Number) { this->begin(); }
  ~Place() { this->end(); }

  /// Starts a new lifetime with a new id.
  void begin() {
    const std::lock_guard<std::mutex> Lock(this->StateMutex);
    this->Self = {"i-" + std::to_string(this->Number) + "-" +
                      std::to_string(++this->Lifetime),
                  "stock", this->At.replica(this->Number),
                  "zone-" + std::to_string(1 + this->Number % 4), 6,
                  unixMilliseconds()};
    this->Sequence = 0;
    const ReplicaId Started = this->Self;
    this->Listener = std::make_unique<Server>(
        Started.At, [this, Started](Channel &Caller) {
          this->serve(Caller, Started);
        });
    this->IsUp = true;
    Log.line("replica %s starts", Started.Id.c_str());
    if (!this->Beater.joinable())
      this->Beater = std::thread([this] { this->beat(); });
  }

  void end() {
    if (this->Beater.joinable())
      this->Beater.join();
  }

  /// What happens while the replica is down.
  void restartIfDue() {
    if (!this->IsUp && now() > this->BackAt && this->Listener) {
      this->Listener.reset();
      this->begin();
    }
  }

private:
  /// The process is gone: all its channels are reset, and nothing listens.
  void crash(const ReplicaId &Which) {
    const std::lock_guard<std::mutex> Lock(this->StateMutex);
    if (!this->IsUp || Which.Id != this->Self.Id)
      return;
    this->IsUp = false;
    this->BackAt = now() + BackAfterSeconds;
    Log.line("replica %s crashes", Which.Id.c_str());
    for (int Descriptor : this->Channels) {
      const linger Reset{1, 0};
      setsockopt(Descriptor, SOL_SOCKET, SO_LINGER, &Reset, sizeof(Reset));
      ::shutdown(Descriptor, SHUT_RDWR);
    }
  }

  void serve(Channel &Caller, const ReplicaId &Which) {
    {
      const std::lock_guard<std::mutex> Lock(this->StateMutex);
      if (!this->IsUp || Which.Id != this->Self.Id)
        return;
      this->Channels.insert(Caller.descriptor());
    }
    while (this->handle(Caller, Which)) {
    }
    const std::lock_guard<std::mutex> Lock(this->StateMutex);
    this->Channels.erase(Caller.descriptor());
  }

  bool handle(Channel &Caller, const ReplicaId &Which) {
    const Message Request = Caller.read(now() + 60, false);
    if (!Request.Complete || !this->IsUp)
      return false;
    const std::string Id = Request.header("X-Sycamorereach-Request-Id");
    if (Request.header("X-Sycamorereach-Expect-Replica") != Which.Id)
      return Caller.write(formatResponse(421,
                                         {{"X-Sycamorereach-Request-Id", Id},
                                          {"X-Sycamorereach-Not-Executed", "1"}},
                                         ""));
    Log.line("replica %s runs %s", Which.Id.c_str(), Id.c_str());
    if (hasTrouble() && Request.Body == "the lot that crashes replicas") {
      {
        const std::lock_guard<std::mutex> Lock(Mutex);
        Crashes.push_back(now());
      }
      this->crash(Which);
      return false;
    }
    sleepFor(0.03);
    return Caller.write(formatResponse(
        200,
        {{"X-Sycamorereach-Request-Id", Id},
         {"X-Sycamorereach-Replica-Signature", "s." + Which.Id},
         {"Keep-Alive", "timeout=10"}},
        "reserved " + Id));
  }

  /// Sends heartbeats; each one is on its way for BeatDelay. A call without an
  /// answer within a second is made again at the next daemon.
  void beat() {
    unsigned Next = static_cast<unsigned>(this->Number);
    while (!Stopping) {
      if (this->IsUp) {
        ReplicaId Sender;
        int Beat = 0;
        {
          const std::lock_guard<std::mutex> Lock(this->StateMutex);
          Sender = this->Self;
          Beat = ++this->Sequence;
        }
        this->sendBeat(Sender, Beat, 1 + Next++ % Deployment::StateDaemons, 0);
        if (BeatDelay >= 1.0)
          this->sendBeat(Sender, Beat, 1 + Next % Deployment::StateDaemons,
                         1.0);
      }
      sleepFor(BeatSeconds);
    }
  }

  void sendBeat(const ReplicaId &Sender, int Beat, int To, double After) {
    std::thread([this, Sender, Beat, To, After] {
      sleepFor(After);
      // A replica that has crashed sends nothing.
      if (After > 0 && (!this->IsUp || Sender.Id != this->Self.Id))
        return;
      const double SentAt = now();
      sleepFor(BeatDelay);
      const Message Answer = call(
          this->At.control(To), "POST",
          "/sycamorereach/replicas/" + Sender.Id + "/heartbeat",
          "{\"service\":\"stock\",\"address\":\"" + Sender.At.str() +
              "\",\"zone\":\"" + Sender.Zone +
              "\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\","
              "\"cold-left-ms\":0,\"sequence\":" +
              std::to_string(Beat) +
              ",\"born\":" + std::to_string(Sender.Born) + "}");
      Log.line("heartbeat %d of %s, sent %.2f s ago, answered %d by state-%d",
               Beat, Sender.Id.c_str(), now() - SentAt, Answer.status(), To);
    }).detach();
  }

  Deployment &At;
  int Number;
  int Lifetime = 0;
  int Sequence = 0;
  std::mutex StateMutex;
  ReplicaId Self;
  std::set<int> Channels;
  std::atomic<bool> IsUp{false};
  std::atomic<double> BackAt{0};
  std::unique_ptr<Server> Listener;
  std::thread Beater;
};

int send(const Address &Front, const std::string &Id, const std::string &Target,
         const std::string &Body) {
  Log.line("requester sends %s (%s) to %s", Id.c_str(), Body.c_str(),
           Front.str().c_str());
  const Message Answer = call(Front, "POST", Target, Body,
                              {{"Host", "yard.example"},
                               {"X-Sycamorereach-Request-Id", Id},
                               {"X-Sycamorereach-Request-Deadline", "1500"},
                               {"Authorization", "Bearer key-of-farm"}},
                              2.0);
  Log.line("requester: %s answered %d", Id.c_str(), Answer.status());
  return Answer.status();
}

} // namespace

int main(int, char **Arguments) {
  Log.open(Arguments[1]);
  if (getenv("BEAT_DELAY"))
    BeatDelay = atof(getenv("BEAT_DELAY"));
  Deployment Running;
  Current = &Running;
  Running.startAll();
  if (!Running.configure(configuration()))
    giveUp("the configuration was not acknowledged");
  std::vector<std::unique_ptr<Place>> All;
  for (int I = 0; I < Places; ++I)
    All.push_back(std::make_unique<Place>(Running, I));
  if (!Running.waitUntilReady())
    giveUp("the entry daemons are not ready");
  std::thread Restarter([&] {
    while (!Stopping) {
      for (auto &Each : All)
        Each->restartIfDue();
      sleepFor(0.05);
    }
  });
  std::thread Others([&] {
    for (int I = 0; !Stopping; ++I) {
      ++Sent;
      const std::string Id = "q" + std::to_string(I);
      if (send(Running.front(1 + I % 2), Id, "/lots/" + Id, "lot " + Id) == 200)
        ++Answered;
      sleepFor(0.1);
    }
  });
  sleepFor(ContactSeconds + BeatDelay + 2.0);
  int Refused = 0;
  for (int I = 0; I < Repeats; ++I) {
    const int Status = send(Running.front(1 + I % 2), "p" + std::to_string(I),
                            "/lots/again", "the lot that crashes replicas");
    Refused += Status == 503 ? 1 : 0;
    sleepFor(RepeatSeconds);
  }
  Stopping = true;
  Others.join();
  Restarter.join();
  int Late = 0;
  for (double Each : Crashes)
    if (Crashes.size() >= 3 && Each > Crashes[2] + ContactSeconds)
      ++Late;
  char Text[300];
  snprintf(Text, sizeof(Text),
           "the request came %d times, crashed %zu replicas and was refused %d "
           "times; %d crashes later than contact-ms after the third; %d of %d "
           "other requests were served",
           Repeats, Crashes.size(), Refused, Late, Answered.load(),
           Sent.load());
  conclude(Late > 3, Text);
}
