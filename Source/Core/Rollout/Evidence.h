#ifndef SYCAMOREREACH_ROLLOUT_EVIDENCE_H
#define SYCAMOREREACH_ROLLOUT_EVIDENCE_H

#include "Rollout/Observation.h"

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Rollout {

/// Requests of one route at one server of the target version, or at all servers
/// of other versions together.
struct Tally {
  std::uint64_t Sent = 0;
  std::uint64_t Answered = 0;
  std::uint64_t Failed = 0;
  /// Requests whose entry daemon ended, so that their result is unknown.
  std::uint64_t Lost = 0;
  DurationHistogram FirstOutput;
  DurationHistogram OutputGap;

  std::uint64_t ended() const { return this->Answered + this->Failed; }
  /// Requests of which it is known when, or that they had no, first output.
  std::uint64_t decided() const;
  void add(const Tally &Other);
};

enum class Finding {
  /// Too few requests to tell.
  Open,
  /// Nothing against the version, and enough requests on each route that has
  /// traffic.
  Good,
  /// Some servers of the version are worse; it is not known yet whether the
  /// version is.
  Suspicious,
  Bad,
};

/// Name of the finding in log lines.
const char *nameOf(Finding Value);

struct Assessment {
  Finding Result = Finding::Open;
  /// What is worse: failures, late_first_output or late_output.
  std::string Cause;
  /// The figures that decided it.
  std::string Figures;
};

/// Compares the servers of a new version with those of other versions in the
/// same periods, by route and for all routes together. Load and faults of the
/// environment change for both, so only the difference counts. A fault of the
/// version shows at nearly all of its servers, unlike one of a single server.
class Evidence {
public:
  /// Adds requests at a server; an empty id stands for other versions. Recent
  /// requests also count in the sliding windows.
  void add(const std::string &Route, const Common::BackendServerId &Server,
           const Tally &Added, bool Recent, Common::TimePoint Now);
  struct Scope {
    /// Number of servers of the target that get requests.
    std::size_t TargetServers = 0;
    /// Whether the version would get more requests without a verdict, so that
    /// less evidence against it is enough.
    bool IsFinal = false;
  };
  Assessment assess(const Scope &Of, Common::TimePoint Now) const;

private:
  /// By route, then by server.
  using Tallies =
      std::map<std::string, std::map<Common::BackendServerId, Tally>>;
  struct Slot {
    Common::TimePoint StartsAt;
    Tallies Requests;
  };

  /// Fraction of failures at other versions since Start, weighted by when the
  /// target got its requests. On all routes if Route is empty.
  double expectedFailures(const std::string &Route,
                          Common::TimePoint Start) const;
  /// Requests that were sent longer ago than the Age and had no output when
  /// their entry daemons last reported.
  std::uint64_t overdue(const std::string &Route,
                        const Common::BackendServerId &Server,
                        Common::Duration Age, Common::TimePoint Now) const;
  /// First outputs since Start that took no longer than Milliseconds.
  double fastSince(const std::string &Route,
                   const Common::BackendServerId &Server, double Milliseconds,
                   Common::TimePoint Start) const;
  /// Requests and score of each server, summed over the routes.
  using ScoresByServer =
      std::map<Common::BackendServerId, std::pair<std::uint64_t, double>>;
  Assessment testTimes(const std::string &Route, const Tallies &Window,
                       const Scope &Of, bool OfGaps, Common::TimePoint Now,
                       ScoresByServer &OnAllRoutes) const;
  Tallies sumSince(Common::TimePoint Start) const;
  bool isConfirmedOnEachRoute() const;

  Tallies Total;
  std::deque<Slot> Slots;
};

} // namespace Rollout

#endif
