#ifndef SYCAMOREREACH_ROLLOUT_OBSERVER_H
#define SYCAMOREREACH_ROLLOUT_OBSERVER_H

#include "Rollout/Observation.h"

#include <map>
#include <optional>
#include <vector>

namespace Rollout {

/// Identifies a request at a server within one Observer; 0 for none.
using ObservedNumber = Common::StrongNumber<struct ObservedNumberTag>;

/// What one entry daemon observes of the requests that it sends to servers: all
/// that are running, and for each rollout the figures of its target version's
/// servers beside those of the other versions.
class Observer {
public:
  enum class End {
    Answered,
    /// The server answered with an error status of its own.
    Failed,
    /// The caller left or the time was over.
    Abandoned,
    /// Not sent, rejected, or lost with the connection or a broken answer. Says
    /// nothing about the version.
    Lost,
  };

  /// Observes a rollout. A new number starts anew; an empty target ends it.
  void setRollout(const Common::ServiceName &Service, RolloutNumber Number,
                  const Common::SoftwareVersion &Target);

  /// A request was placed at a server.
  ObservedNumber recordStart(const Common::ServiceName &Service,
                             const std::string &Route,
                             const Common::BackendServerId &Server,
                             const Common::SoftwareVersion &Version);
  /// The request was written to the server.
  void recordSent(ObservedNumber Number, Common::TimePoint Now);
  /// Output of a streamed answer arrived.
  void recordOutput(ObservedNumber Number, Common::TimePoint Now);
  /// This daemon did not read on, so the next output may come late.
  void recordPause(ObservedNumber Number);
  /// Has no effect on a request that has ended already.
  void recordEnd(ObservedNumber Number, End How, Common::TimePoint Now);

  /// At most MaxReported observations: first those that changed since they were
  /// last returned, then those that were not returned for longest.
  std::vector<Observation> takeReport(Common::TimePoint Now);
  /// Requests that run at servers of other versions than Version.
  std::uint32_t runningElsewhere(const Common::ServiceName &Service,
                                 const Common::SoftwareVersion &Version) const;
  /// Whether the failures of the target version alone are enough to stop
  /// sending requests to it, without the other daemons' observations.
  bool isOverwhelming(const Common::ServiceName &Service) const;

  /// Bounds the size of a report to about 4 KB.
  static constexpr std::size_t MaxReported = 24;

private:
  /// Route, and server of the target version or empty.
  using StatsKey = std::pair<std::string, Common::BackendServerId>;
  struct Stats {
    Observation Sums;
    bool Changed = true;
    std::uint64_t LastReport = 0;
  };
  struct RolloutState {
    RolloutNumber Number;
    Common::SoftwareVersion Target;
    std::map<StatsKey, Stats> Entries;
  };
  struct Request {
    Common::ServiceName Service;
    Common::SoftwareVersion Version;
    /// The rollout in which the request was sent; 0 if there was none.
    RolloutNumber Rollout;
    StatsKey Key;
    std::optional<Common::TimePoint> SentAt;
    std::optional<Common::TimePoint> LastOutputAt;
    bool Paused = false;
    /// The present wait has been counted.
    bool WaitCounted = false;
  };

  /// Null if the request does not belong to a rollout that is going on.
  Stats *statsOf(const Request &Of);
  /// A waiting time that is longer counts before it has ended: a multiple of
  /// what is usual at the other versions on the same route.
  static Common::Duration longWait(const RolloutState &Of,
                                   const std::string &Route,
                                   DurationHistogram Observation::*Times);
  /// Counts the present wait of the request, once, if it is long. Counting it
  /// with its final time as well would take from one bucket and add to another,
  /// and the leader adds up increases.
  void countLongWait(Request &Waiting, Common::TimePoint Now);

  std::map<Common::ServiceName, RolloutState> Rollouts;
  std::map<ObservedNumber, Request> Running;
  ObservedNumber LastNumber;
  std::uint64_t Reports = 0;
};

} // namespace Rollout

#endif
