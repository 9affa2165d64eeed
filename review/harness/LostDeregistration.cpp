// A replica deregisters. The state daemon that acknowledges it is killed within
// 4 ms. The replica serves on for some seconds; it must get no more requests
// once drain-ms has passed and all machines are in touch again.
#include "Harness.h"

using namespace Review;

namespace {

constexpr double DrainSeconds = 2.0;
constexpr double ContactSeconds = 3.0;
constexpr double DownSeconds = 5.0;
constexpr double ServesOnSeconds = 9.0;
constexpr int Replicas = 4;

struct Arrival {
  double At = 0;
  std::string Request;
};
std::mutex Mutex;
std::map<std::string, double> SentAt;
/// Runs at the replica that leaves.
std::vector<Arrival> AtLeaving;
std::atomic<int> Answered{0};
std::atomic<int> Sent{0};
std::atomic<bool> Stopping{false};

std::string configuration() {
  return "{\"version\":7,\"routes\":[{\"name\":\"r-read\",\"host\":"
         "\"yard.example\",\"path-prefix\":\"/stock/\",\"route-kind\":\"safe\","
         "\"timeout-ms\":1500,\"slo-ms\":150,\"priority\":0,\"service\":"
         "\"stock\",\"max-attempts\":2,\"public\":false,\"sticky\":false,"
         "\"resumable\":false}],\"services\":[{\"name\":\"stock\","
         "\"health-path\":\"/health\",\"max-conns\":110,\"protocol\":\"h1\","
         "\"tls\":false}],\"limits\":{\"max-header-bytes\":16384,"
         "\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,"
         "\"idle-timeout-ms\":15000},\"tenants\":[{\"name\":\"farm\","
         "\"api-keys\":[\"key-of-farm\"],\"priority\":1}]}";
}

void serve(Channel &Caller, const ReplicaId &Self, bool Leaves) {
  while (true) {
    const Message Request = Caller.read(now() + 60, false);
    if (!Request.Complete)
      return;
    const std::string Id = Request.header("X-Sycamorereach-Request-Id");
    if (Request.target() == "/health") {
      Caller.write(
          formatResponse(200, {{"X-Sycamorereach-Replica-Id", Self.Id}}, ""));
      continue;
    }
    if (Request.header("X-Sycamorereach-Expect-Replica") != Self.Id) {
      Caller.write(formatResponse(421,
                                  {{"X-Sycamorereach-Request-Id", Id},
                                   {"X-Sycamorereach-Not-Executed", "1"}},
                                  ""));
      continue;
    }
    Log.line("replica %s runs %s", Self.Id.c_str(), Id.c_str());
    if (Leaves) {
      const std::lock_guard<std::mutex> Lock(Mutex);
      AtLeaving.push_back({now(), Id});
    }
    sleepFor(0.02);
    Caller.write(formatResponse(200,
                                {{"X-Sycamorereach-Request-Id", Id},
                                 {"X-Sycamorereach-Replica-Signature",
                                  "s." + Self.Id},
                                 {"Keep-Alive", "timeout=10"}},
                                "stock of " + Id));
  }
}

/// A requester that sends a request every 100 ms on a kept channel.
void request(const Address &Front, int Number) {
  std::unique_ptr<Channel> Kept;
  for (int I = 0; !Stopping; ++I) {
    const std::string Id =
        "q" + std::to_string(Number) + "x" + std::to_string(I);
    if (!Kept)
      Kept = Channel::connect(Front, 1.0);
    if (!Kept) {
      sleepFor(0.2);
      continue;
    }
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      SentAt[Id] = now();
    }
    ++Sent;
    Log.line("requester %d sends %s to %s", Number, Id.c_str(),
             Front.str().c_str());
    Kept->write(formatRequest("GET", "/stock/" + Id,
                              {{"Host", "yard.example"},
                               {"X-Sycamorereach-Request-Id", Id},
                               {"X-Sycamorereach-Request-Deadline", "1500"},
                               {"Authorization", "Bearer key-of-farm"}},
                              ""));
    const Message Answer = Kept->read(now() + 2.0, true);
    Log.line("requester %d: %s answered %d", Number, Id.c_str(),
             Answer.Complete ? Answer.status() : 0);
    if (Answer.Complete && Answer.status() == 200)
      ++Answered;
    if (!Answer.Complete || Answer.header("Connection") == "close")
      Kept.reset();
    sleepFor(0.1);
  }
}

} // namespace

int main(int, char **Arguments) {
  Log.open(Arguments[1]);
  Deployment Running;
  Current = &Running;
  Running.startAll();
  if (!Running.configure(configuration()))
    giveUp("the configuration was not acknowledged");
  std::vector<std::unique_ptr<Server>> Servers;
  std::vector<std::unique_ptr<Heart>> Hearts;
  for (int I = 0; I < Replicas; ++I) {
    const ReplicaId Self{"i-" + std::to_string(I), "stock", Running.replica(I),
                         "zone-" + std::to_string(1 + I), 6,
                         unixMilliseconds()};
    Servers.push_back(std::make_unique<Server>(
        Self.At, [Self, I](Channel &Caller) { serve(Caller, Self, I == 0); }));
    Hearts.push_back(std::make_unique<Heart>(Running, Self));
  }
  if (!Running.waitUntilReady())
    giveUp("the entry daemons are not ready");
  std::vector<std::thread> Requesters;
  for (int I = 0; I < 8; ++I)
    Requesters.emplace_back(request, Running.front(1 + I % 2), I);
  sleepFor(ContactSeconds + 3.0);

  // A daemon that does not lead, so that nothing else changes by its loss.
  const int Leader = Running.leader();
  if (Leader == 0)
    giveUp("no leader");
  const int Acknowledging = Leader % Deployment::StateDaemons + 1;
  Heart &Leaving = *Hearts[0];
  Leaving.stop();
  const std::string Body =
      "{\"born\":" + std::to_string(Leaving.self().Born) + "}";
  const Message Answer = call(
      Running.control(Acknowledging), "POST",
      "/sycamorereach/replicas/" + Leaving.self().Id + "/deregister", Body);
  const double AcknowledgedAt = now();
  double KilledAt = AcknowledgedAt;
  if (hasTrouble()) {
    Running.process("state-" + std::to_string(Acknowledging)).signal(SIGKILL);
    KilledAt = now();
  }
  Log.line("replica %s: deregistration answered %d by state-%d (leader state-%d)",
           Leaving.self().Id.c_str(), Answer.status(), Acknowledging, Leader);
  if (hasTrouble())
    Log.line("state-%d killed %.2f ms after the acknowledgement", Acknowledging,
             (KilledAt - AcknowledgedAt) * 1000);
  if (Answer.status() != 200)
    giveUp("the deregistration was not acknowledged");

  sleepFor(AcknowledgedAt + DownSeconds - now());
  if (hasTrouble())
    Running.startState(Acknowledging, false);
  sleepFor(AcknowledgedAt + ServesOnSeconds - now());
  Stopping = true;
  for (std::thread &Each : Requesters)
    Each.join();

  // The core is stable and all others are in touch from contact-ms after the
  // kill until the killed daemon is started again.
  const double From = std::max(AcknowledgedAt + DrainSeconds,
                               hasTrouble() ? KilledAt + ContactSeconds + 0.1
                                            : 0.0);
  const double To =
      hasTrouble() ? AcknowledgedAt + DownSeconds - 0.1 : now();
  int Late = 0;
  int AfterAck = 0;
  double Last = 0;
  for (const Arrival &Each : AtLeaving) {
    const double Taken = SentAt[Each.Request];
    if (Each.At > AcknowledgedAt + 0.1)
      ++AfterAck;
    if (Taken < From || Each.At > To)
      continue;
    ++Late;
    Last = std::max(Last, Each.At - AcknowledgedAt);
    Log.line("late: %s taken %.3f s and run %.3f s after the acknowledgement",
             Each.Request.c_str(), Taken - AcknowledgedAt,
             Each.At - AcknowledgedAt);
  }
  char Text[300];
  snprintf(Text, sizeof(Text),
           "%d requests sent, %d answered 200; the leaving replica ran %d "
           "requests after the acknowledgement, %d of them later than drain-ms "
           "from machines in touch, the last one %.2f s after it",
           Sent.load(), Answered.load(), AfterAck, Late, Last);
  conclude(Late > 0, Text);
}
