#include "Routing/SpeedMeter.h"

#include <algorithm>
#include <utility>

namespace Routing {

namespace {

/// A wait counts before its end once it exceeds this multiple of the expected
/// one, and at least the minimum, below which scheduling noise prevails.
constexpr double OverdueMultiple = 3;
constexpr double MinOverdueMilliseconds = 80;
/// Shorter prompts say little about the prefill speed, as their prefill takes
/// about as long as a decoding step.
constexpr std::uint64_t MinPrefillTokens = 1200;
/// Part of the time to the first event that is at least attributed to prefill.
constexpr double MinPrefillShare = 0.1;
/// Weight of the latest gap in a stream's smoothed time of an event.
constexpr double GapWeight = 0.3;
/// Without a call of take for longer, this daemon was suspended.
constexpr Common::Duration MaxTakePeriod = std::chrono::milliseconds(1500);

double millisecondsBetween(Common::TimePoint From, Common::TimePoint To) {
  return 1000 * Common::toSeconds(To - From);
}

} // namespace

SpeedMeter::StreamNumber SpeedMeter::begin(Stream Begun,
                                           Common::TimePoint Now) {
  OpenStream &Open = this->Streams[++this->LastNumber];
  Open.Of = std::move(Begun);
  Open.SentAt = Now;
  return this->LastNumber;
}

ServerTiming &SpeedMeter::sums(const Stream &Of) {
  ServerTiming &Result = this->Sums[Of.Server];
  if (Result.StartedAt != Of.StartedAt) {
    Result = ServerTiming();
    Result.Id = Of.Server;
    Result.StartedAt = Of.StartedAt;
    Result.Service = Of.Service;
  }
  return Result;
}

void SpeedMeter::skipGap(StreamNumber Number) {
  const auto Found = this->Streams.find(Number);
  if (Found != this->Streams.end())
    Found->second.Skipped = true;
}

void SpeedMeter::recordEvents(StreamNumber Number, std::uint64_t Events,
                              std::uint32_t RunningRequests,
                              Common::TimePoint Now) {
  const auto Found = this->Streams.find(Number);
  if (Found == this->Streams.end() || Events == 0)
    return;
  OpenStream &Open = Found->second;
  const bool Suspended = this->TakenAt && Now - *this->TakenAt > MaxTakePeriod;
  const bool Skipped = Open.Skipped || Suspended;
  const double Counted = Open.CountedMilliseconds;
  const auto Previous = Open.LastEventAt;
  Open.LastEventAt = Now;
  Open.RunningRequests = std::max<std::uint32_t>(RunningRequests, 1);
  Open.CountedMilliseconds = 0;
  Open.Skipped = false;
  if (!Previous) {
    if (Skipped || Open.Of.PrefillTokens < MinPrefillTokens)
      return;
    if (Counted > 0) {
      this->sums(Open.Of).PrefillMilliseconds += static_cast<float>(
          std::max(0.0, millisecondsBetween(Open.SentAt, Now) - Counted));
      return;
    }
    Open.FirstMilliseconds = millisecondsBetween(Open.SentAt, Now);
    return;
  }
  const auto First = std::exchange(Open.FirstMilliseconds, std::nullopt);
  if (Skipped)
    return;
  const double Gap = millisecondsBetween(*Previous, Now);
  const double PerEvent = Gap / static_cast<double>(Events);
  ServerTiming &Sum = this->sums(Open.Of);
  if (First) {
    // The first event takes the steps of any other one after the prefill.
    Sum.PrefillTokens += static_cast<float>(Open.Of.PrefillTokens);
    Sum.PrefillMilliseconds += static_cast<float>(
        std::max(*First - PerEvent, *First * MinPrefillShare));
  }
  Open.EventMilliseconds =
      Open.EventMilliseconds == 0
          ? PerEvent
          : Open.EventMilliseconds +
                GapWeight * (PerEvent - Open.EventMilliseconds);
  Sum.DecodeMilliseconds += static_cast<float>(std::max(0.0, Gap - Counted));
  // One event is included already if the gap was counted before its end.
  const double NewEvents = static_cast<double>(Events) - (Counted > 0 ? 1 : 0);
  const double Steps = NewEvents * Open.Of.TokensPerEvent;
  Sum.DecodeSteps += static_cast<float>(Steps);
  Sum.DecodeRequestSteps += static_cast<float>(Steps * Open.RunningRequests);
}

void SpeedMeter::countOpenWait(OpenStream &Open, Common::TimePoint Now) {
  if (Open.Skipped)
    return;
  const double Waited =
      millisecondsBetween(Open.LastEventAt.value_or(Open.SentAt), Now);
  const double Expected = Open.LastEventAt
                              ? Open.EventMilliseconds
                              : 1000 * Common::toSeconds(Open.Of.ExpectedWait);
  if (Expected <= 0 ||
      Waited < std::max(OverdueMultiple * Expected, MinOverdueMilliseconds))
    return;
  const bool IsNew = Open.CountedMilliseconds == 0;
  if (!Open.LastEventAt) {
    if (Open.Of.PrefillTokens < MinPrefillTokens)
      return;
    ServerTiming &Sum = this->sums(Open.Of);
    Sum.PrefillMilliseconds +=
        static_cast<float>(Waited - Open.CountedMilliseconds);
    if (IsNew)
      Sum.PrefillTokens += static_cast<float>(Open.Of.PrefillTokens);
  } else {
    ServerTiming &Sum = this->sums(Open.Of);
    Sum.DecodeMilliseconds +=
        static_cast<float>(Waited - Open.CountedMilliseconds);
    if (IsNew) {
      Sum.DecodeSteps += static_cast<float>(Open.Of.TokensPerEvent);
      Sum.DecodeRequestSteps += static_cast<float>(Open.Of.TokensPerEvent) *
                                static_cast<float>(Open.RunningRequests);
    }
  }
  Open.CountedMilliseconds = Waited;
}

std::vector<ServerTiming> SpeedMeter::take(Common::TimePoint Now) {
  const bool Suspended = this->TakenAt && Now - *this->TakenAt > MaxTakePeriod;
  this->TakenAt = Now;
  for (auto &Each : this->Streams) {
    if (Suspended)
      Each.second.Skipped = true;
    else
      this->countOpenWait(Each.second, Now);
  }
  std::vector<ServerTiming> Result;
  Result.reserve(this->Sums.size());
  for (auto &Each : this->Sums)
    Result.push_back(std::move(Each.second));
  this->Sums.clear();
  std::stable_sort(Result.begin(), Result.end(),
                   [](const ServerTiming &Left, const ServerTiming &Right) {
                     return Left.Service < Right.Service;
                   });
  for (std::size_t I = Result.size(); I-- > 1;)
    if (Result[I].Service == Result[I - 1].Service)
      Result[I].Service = Common::ServiceName();
  return Result;
}

} // namespace Routing
