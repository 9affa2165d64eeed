#ifndef SYCAMOREREACH_ROUTING_SPEEDMETER_H
#define SYCAMOREREACH_ROUTING_SPEEDMETER_H

#include "Common/Time.h"
#include "Routing/ServerTiming.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Routing {

/// Measures the time that servers take for the streams of one entry daemon: to
/// the first event and between events. What a stream has waited for too long
/// already counts before its next event arrives.
class SpeedMeter {
public:
  using StreamNumber = std::uint64_t;

  struct Stream {
    Common::BackendServerId Server;
    std::uint64_t StartedAt = 0;
    Common::ServiceName Service;
    /// Prompt tokens to be processed before the first event; 0 if unknown.
    std::uint64_t PrefillTokens = 0;
    /// Expected time to the first event.
    Common::Duration ExpectedWait{};
    std::uint32_t TokensPerEvent = 1;
  };

  StreamNumber begin(Stream Begun, Common::TimePoint Now);
  /// Events arrived while the server was running RunningRequests requests.
  void recordEvents(StreamNumber Number, std::uint64_t Events,
                    std::uint32_t RunningRequests, Common::TimePoint Now);
  /// Ignores the time until the next event, which this daemon does not read in
  /// time.
  void skipGap(StreamNumber Number);
  /// The stream ended, completely or not.
  void end(StreamNumber Number) { this->Streams.erase(Number); }

  /// The sums since the last call. Called at least every second, otherwise this
  /// daemon is assumed to have been suspended, and the open gaps are ignored.
  std::vector<ServerTiming> take(Common::TimePoint Now);

private:
  struct OpenStream {
    Stream Of;
    Common::TimePoint SentAt;
    std::optional<Common::TimePoint> LastEventAt;
    /// Time to the first event, until the gap after it is known.
    std::optional<double> FirstMilliseconds;
    bool IsFirstGap = true;
    /// Smoothed time of one event of this stream; 0 if unknown.
    double EventMilliseconds = 0;
    std::uint32_t RunningRequests = 0;
    /// Part of the current wait that is already included in the sums.
    double CountedMilliseconds = 0;
    bool Skipped = false;
  };
  ServerTiming &sums(const Stream &Of);
  void countOpenWait(OpenStream &Open, Common::TimePoint Now);

  std::map<StreamNumber, OpenStream> Streams;
  StreamNumber LastNumber = 0;
  std::map<Common::BackendServerId, ServerTiming> Sums;
  std::optional<Common::TimePoint> TakenAt;
};

} // namespace Routing

#endif
