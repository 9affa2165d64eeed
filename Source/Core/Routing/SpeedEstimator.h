#ifndef SYCAMOREREACH_ROUTING_SPEEDESTIMATOR_H
#define SYCAMOREREACH_ROUTING_SPEEDESTIMATOR_H

#include "Common/Time.h"
#include "Routing/ServerTiming.h"
#include "Routing/SlownessFilter.h"

#include <map>
#include <optional>
#include <vector>

namespace Routing {

/// Learns the speed of each incarnation of a server and the engine profile of
/// each service from the reports of all entry daemons. Speeds are relative to
/// the mean of the service's servers.
class SpeedEstimator {
public:
  struct Update {
    std::vector<EngineProfile> Engines;
    std::vector<ServerSpeed> Servers;
    /// Those of Servers that differ from what was published before.
    std::vector<ServerSpeed> Changed;
  };

  void record(const ServerTiming &Timing, Common::TimePoint Now);
  /// What changed since the last call, or everything when that is due; nothing
  /// if there is nothing to send.
  std::optional<Update> take(Common::TimePoint Now);

private:
  struct Server {
    std::uint64_t StartedAt = 0;
    Common::ServiceName Service;
    Common::TimePoint RecordedAt;
    SlownessFilter Prefill;
    SlownessFilter Decode;
    ServerSpeed Published;
  };
  struct Service {
    Common::TimePoint FirstRecordedAt;
    EngineProfile Profile;
    double RateSamples = 0;
    /// Weighted sums of a decoding step's time over the running requests.
    double Weight = 0, X = 0, Y = 0, XX = 0, XY = 0;
    /// Mean logarithm of the servers' slowness, of which speed 1 is the
    /// reciprocal.
    std::optional<double> MeanPrefill;
    std::optional<double> MeanDecode;
  };
  void learnProfile(Service &Of, const Server &At, const ServerTiming &Timing);
  void updateMeans(Common::TimePoint Now);
  ServerSpeed speedOf(const Server &Of) const;

  std::map<Common::BackendServerId, Server> Servers;
  std::map<Common::ServiceName, Service> Services;
  std::optional<Common::TimePoint> MeansUpdatedAt;
  std::optional<Common::TimePoint> AllPublishedAt;
};

} // namespace Routing

#endif
