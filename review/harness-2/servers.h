#ifndef REVIEW_SERVERS_2_H
#define REVIEW_SERVERS_2_H

#include "harness.h"

#include <atomic>
#include <set>

namespace Review {

/// One route of a configuration.
struct RouteText {
  std::string Prefix, Kind, Service;
  int TimeoutMs = 1500, Target = 150, MaxAttempts = 1;
  bool Public = false, Resumable = false;
};

inline std::string
configuration(std::uint64_t Version, const std::vector<RouteText> &Routes,
              const std::vector<std::string> &Services,
              const std::vector<std::string> &Keys = {"key-of-yard"}) {
  std::string Result = "{\"version\":" + std::to_string(Version) + ",\"routes\":[";
  for (std::size_t I = 0; I < Routes.size(); ++I) {
    const RouteText &Each = Routes[I];
    Result += std::string(I ? "," : "") + "{\"name\":\"r" + std::to_string(I) +
              "\",\"host\":\"yard.example\",\"path-prefix\":\"" + Each.Prefix +
              "\",\"route-kind\":\"" + Each.Kind +
              "\",\"timeout-ms\":" + std::to_string(Each.TimeoutMs) +
              ",\"slo-ms\":" + std::to_string(Each.Target) +
              ",\"priority\":0,\"service\":\"" + Each.Service +
              "\",\"max-attempts\":" + std::to_string(Each.MaxAttempts) +
              ",\"public\":" + (Each.Public ? "true" : "false") +
              ",\"sticky\":false,\"resumable\":" +
              (Each.Resumable ? "true" : "false") + "}";
  }
  Result += "],\"services\":[";
  for (std::size_t I = 0; I < Services.size(); ++I)
    Result += std::string(I ? "," : "") + "{\"name\":\"" + Services[I] +
              "\",\"health-path\":\"/health\",\"max-conns\":110,"
              "\"protocol\":\"h1\",\"tls\":false}";
  Result += "],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":"
            "4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},"
            "\"tenants\":[{\"name\":\"yard\",\"api-keys\":[";
  for (std::size_t I = 0; I < Keys.size(); ++I)
    Result += std::string(I ? "," : "") + "\"" + Keys[I] + "\"";
  return Result + "],\"priority\":1,\"rate-per-s\":0,\"burst\":0}]}";
}

/// One lifetime of a backend server that follows the pages: it serves one
/// request at a time on a channel, repeats the request's id, signs what it ran,
/// rejects what names another replica, and announces itself.
class Replica {
public:
  struct Run {
    std::string RequestId, Path, Tenant;
    double At = 0;
  };
  struct Options {
    std::string Id, Service = "orders", Zone = "zone-1";
    Address Listen;
    int Slots = 16;
    double WorkSeconds = 0.03;
    /// The first core machine that is called.
    int FirstCore = 1;
  };

  Replica(Deployment &Of, Options Given)
      : Of(Of), Given(std::move(Given)), Born(wallMs()) {
    this->Http = std::make_unique<Server>(
        this->Given.Listen, [this](const Message &Request, Channel &On) {
          return this->answer(Request, On);
        });
    this->Beats = std::thread([this] { this->beat(); });
  }
  ~Replica() { this->exit(); }

  /// Whether its calls to the control interface are lost.
  std::atomic<bool> CutFromControl = false;
  std::atomic<bool> Leaving = false;
  /// Set once a heartbeat that says so was acknowledged.
  std::atomic<double> LeavingAckedAt = 0;
  /// Work on one request; the default sleeps for WorkSeconds.
  std::function<std::string(const Message &, Channel &)> OnRun;

  void leave() {
    this->Leaving = true;
    this->BeatNow = true;
  }
  /// Ends the process: requests under way get no answer.
  void exit() {
    this->Ended = true;
    if (this->Beats.joinable())
      this->Beats.join();
    this->Http->stop();
  }
  void deregister() {
    if (!this->CutFromControl)
      this->Of.controlCall("POST", "/sycamorereach/replicas/" + this->Given.Id +
                                       "/deregister",
                           "{\"born\":" + std::to_string(this->Born) +
                               ",\"sequence\":" + std::to_string(++this->Sequence) +
                               "}",
                           this->Given.FirstCore);
  }
  std::vector<Run> runs() {
    const std::lock_guard Lock(this->Mutex);
    return this->Runs;
  }
  Headers signedHeaders(const Message &Request) const {
    Headers Result = {
        {"X-Sycamorereach-Request-Id",
         Request.header("X-Sycamorereach-Request-Id")},
        {"X-Sycamorereach-Replica-Signature", "signed-" + this->Given.Id},
        {"Content-Type", "text/plain"},
        {"Keep-Alive", "timeout=5"}};
    if (this->Leaving)
      Result.emplace_back("Server-Leaving", "1");
    return Result;
  }
  const Options &options() const { return this->Given; }

private:
  std::string answer(const Message &Request, Channel &On) {
    if (Request.Second == "/health")
      return encodeResponse(this->Leaving ? 503 : 200,
                            {{"X-Sycamorereach-Replica-Id", this->Given.Id}},
                            "");
    const std::string Id = Request.header("X-Sycamorereach-Request-Id");
    const std::string Expected =
        Request.header("X-Sycamorereach-Expect-Replica");
    if (!Expected.empty() && Expected != this->Given.Id)
      return encodeResponse(421,
                            {{"X-Sycamorereach-Request-Id", Id},
                             {"X-Sycamorereach-Not-Executed", "1"}},
                            "");
    {
      const std::lock_guard Lock(this->Mutex);
      this->Runs.push_back({Id, Request.Second,
                            Request.header("X-Sycamorereach-Tenant"), now()});
    }
    note("ran " + Id + " at " + this->Given.Id + " " + Request.First + " " +
         Request.Second);
    if (this->OnRun)
      return this->OnRun(Request, On);
    sleepFor(this->Given.WorkSeconds);
    return encodeResponse(200, this->signedHeaders(Request),
                          "answer to " + Id + " by " + this->Given.Id);
  }
  void beat() {
    double Next = 0;
    int Core = this->Given.FirstCore;
    while (!this->Ended) {
      if (now() < Next && !this->BeatNow.exchange(false)) {
        sleepFor(0.02);
        continue;
      }
      Next = now() + 1.2;
      const bool SaysLeaving = this->Leaving;
      ++this->Sequence;
      const std::string Body =
          "{\"service\":\"" + this->Given.Service + "\",\"address\":\"" +
          this->Given.Listen.str() + "\",\"zone\":\"" + this->Given.Zone +
          "\",\"version\":\"v1\",\"slots\":" +
          std::to_string(this->Given.Slots) + ",\"state\":\"" +
          (SaysLeaving ? "draining" : "ready") +
          "\",\"cold-left-ms\":0,\"sequence\":" +
          std::to_string(this->Sequence) +
          ",\"born\":" + std::to_string(this->Born) + "}";
      if (this->CutFromControl)
        continue;
      for (int Try = 0; Try < 4 && !this->Ended; ++Try) {
        const Message Answer = this->Of.controlCall(
            "POST", "/sycamorereach/replicas/" + this->Given.Id + "/heartbeat",
            Body, Core);
        if (Answer.Complete && Answer.Status == 200) {
          if (SaysLeaving && this->LeavingAckedAt == 0) {
            this->LeavingAckedAt = now();
            note(this->Given.Id + " got the acknowledgement of draining");
          }
          break;
        }
        Core = Core % 4 + 1;
      }
    }
  }

  Deployment &Of;
  Options Given;
  std::uint64_t Born;
  std::atomic<std::uint64_t> Sequence = 0;
  std::atomic<bool> BeatNow = false;
  std::atomic<bool> Ended = false;
  std::mutex Mutex;
  std::vector<Run> Runs;
  std::unique_ptr<Server> Http;
  std::thread Beats;
};

} // namespace Review

#endif
