#include "LoadTool/LoadGenerator.h"

#include "Common/Hash.h"

#include <algorithm>

namespace LoadTool {

namespace {

constexpr Common::Duration SendPeriod = std::chrono::microseconds(200);
constexpr Common::Duration ResponseGracePeriod = std::chrono::seconds(10);
constexpr Common::Duration CallTimeout = std::chrono::seconds(30);

} // namespace

double LoadResult::latencyQuantile(double Fraction) const {
  if (this->Latencies.empty())
    return 0;
  const double Index = Fraction * double(this->Latencies.size() - 1);
  return this->Latencies[static_cast<std::size_t>(Index)];
}

LoadGenerator::LoadGenerator(Network::EventLoop &Loop, LoadOptions Options)
    : Loop(Loop), Options(std::move(Options)), Http(Loop),
      Generator(this->Options.Seed), NextDueAt(Loop.now()),
      EndAt(this->NextDueAt + this->Options.Duration) {}

LoadResult LoadGenerator::run() {
  const auto Timer =
      this->Loop.callEvery(SendPeriod, [this] { this->sendDue(); });
  while (this->Loop.now() < this->EndAt)
    this->Loop.runOnce(SendPeriod);
  const Common::TimePoint Deadline = this->EndAt + ResponseGracePeriod;
  while (this->PendingCalls > 0 && this->Loop.now() < Deadline)
    this->Loop.runOnce(std::chrono::milliseconds(10));
  std::sort(this->Result.Latencies.begin(), this->Result.Latencies.end());
  return this->Result;
}

void LoadGenerator::sendDue() {
  const Common::TimePoint Now = std::min(this->Loop.now(), this->EndAt);
  while (this->NextDueAt < Now) {
    this->send(this->NextDueAt);
    this->NextDueAt += this->Generator.exponential(
        Common::fromSeconds(1 / this->Options.Rate));
  }
}

void LoadGenerator::send(Common::TimePoint DueAt) {
  ++this->Result.Sent;
  ++this->PendingCalls;
  Network::HttpCall Call;
  Call.To =
      this->Options.Targets[this->Result.Sent % this->Options.Targets.size()];
  Call.Timeout = CallTimeout;
  // Callers keep their connections, and entry daemons answer once.
  Call.Policy = Network::ConnectionPolicy::Pooled;
  Call.Request.Method = this->Options.Method;
  Call.Request.Target = this->Options.Path;
  Call.Request.Headers = this->Options.Headers;
  Call.Request.Body = this->Options.Body;
  if (this->Options.UniqueKeys)
    Call.Request.Headers.push_back(
        {"Idempotency-Key",
         Common::toHex(this->Options.Seed) + Common::toHex(Result.Sent)});
  Network::HttpCallHandlers Handlers;
  Handlers.OnDone = [this, DueAt](Network::HttpCallResult,
                                  const Network::HttpResponse &Response) {
    --this->PendingCalls;
    ++this->Result.Statuses[Response.Status];
    this->Result.Latencies.push_back(
        Common::toSeconds(this->Loop.now() - DueAt));
  };
  this->Http.start(std::move(Call), std::move(Handlers));
}

} // namespace LoadTool
