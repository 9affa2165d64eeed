#include "LoadTool/LoadRun.h"

#include "Common/Hash.h"

#include <algorithm>

namespace LoadTool {

namespace {

constexpr Common::Duration Tick = std::chrono::microseconds(200);
constexpr Common::Duration LastAnswers = std::chrono::seconds(10);
constexpr Common::Duration CallLimit = std::chrono::seconds(30);

} // namespace

double LoadResult::quantile(double Part) const {
  if (this->Latencies.empty())
    return 0;
  const double At = Part * double(this->Latencies.size() - 1);
  return this->Latencies[static_cast<std::size_t>(At)];
}

LoadRun::LoadRun(Network::EventLoop &Loop, LoadOptions Given)
    : Loop(Loop), Options(std::move(Given)), Http(Loop),
      Randomness(this->Options.Seed), NextAt(Loop.now()),
      EndAt(this->NextAt + this->Options.Length) {}

LoadResult LoadRun::run() {
  const auto Timer = this->Loop.callEvery(Tick, [this] { this->sendDue(); });
  while (this->Loop.now() < this->EndAt)
    this->Loop.runOnce(Tick);
  const Common::TimePoint Last = this->EndAt + LastAnswers;
  while (this->Open > 0 && this->Loop.now() < Last)
    this->Loop.runOnce(std::chrono::milliseconds(10));
  std::sort(this->Result.Latencies.begin(), this->Result.Latencies.end());
  return this->Result;
}

void LoadRun::sendDue() {
  const Common::TimePoint Now = std::min(this->Loop.now(), this->EndAt);
  while (this->NextAt < Now) {
    this->send(this->NextAt);
    this->NextAt += this->Randomness.exponential(
        Common::fromSeconds(1 / this->Options.Rate));
  }
}

void LoadRun::send(Common::TimePoint DueAt) {
  ++this->Result.Asked;
  ++this->Open;
  Network::HttpCall Call;
  Call.To =
      this->Options.Targets[this->Result.Asked % this->Options.Targets.size()];
  Call.Timeout = CallLimit;
  Call.Request.Method = this->Options.Method;
  Call.Request.Target = this->Options.Path;
  Call.Request.Headers = this->Options.Headers;
  Call.Request.Body = this->Options.Body;
  if (this->Options.UniqueKeys)
    Call.Request.Headers.push_back(
        {"Idempotency-Key",
         Common::toHex(this->Options.Seed) + Common::toHex(Result.Asked)});
  Network::HttpCallHandlers Handle;
  Handle.OnDone = [this, DueAt](Network::CallResult,
                                const Network::HttpAnswer &Answer) {
    --this->Open;
    ++this->Result.Statuses[Answer.Status];
    this->Result.Latencies.push_back(
        Common::toSeconds(this->Loop.now() - DueAt));
  };
  this->Http.start(std::move(Call), std::move(Handle));
}

} // namespace LoadTool
