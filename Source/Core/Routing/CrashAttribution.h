#ifndef SYCAMOREREACH_ROUTING_CRASHATTRIBUTION_H
#define SYCAMOREREACH_ROUTING_CRASHATTRIBUTION_H

#include "Common/CauseSet.h"
#include "Common/Time.h"
#include "Routing/ServerIncarnation.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace Routing {

/// Finds the prompt parts that crash servers, from the runs that were lost soon
/// after they had begun to write their answers, and from the answers that went
/// on. A part causes crashes if several servers crashed with it and no answer
/// with it that began after the first of these crashes went on. Parts that were
/// together in each of these runs are one cause, a set, until an answer or a
/// crash tells them apart.
class CrashAttribution {
public:
  struct Cause {
    Common::CauseSet Parts;
    std::size_t Crashes = 0;
    /// The oldest of these crashes.
    Common::TimePoint FirstCrashAt;
  };

  /// Records that the server crashed while it began to write the answer of a
  /// request with these parts. Returns whether this is new.
  bool recordLostRun(const ServerIncarnation &Server, Common::CauseSet Parts,
                     Common::TimePoint CrashedAt);
  /// Records that an answer of a request with this part began at BegunAt and
  /// went on. Returns false if a later one is known.
  bool recordSurvival(Common::CauseHash Part, Common::TimePoint BegunAt);
  /// Returns the last time at which a server process is known to have run. An
  /// announcement that may have been delayed counts from its earliest possible
  /// sending.
  using LastHeardOf = std::function<std::optional<Common::TimePoint>(
      const ServerIncarnation &)>;
  /// A message that arrives sooner after a server's crash may have been sent
  /// before it.
  static constexpr Common::Duration MessageDelay =
      std::chrono::milliseconds(300);
  /// A server process that is known to have run this long after a crash did not
  /// crash.
  static constexpr Common::Duration DisproofTime =
      MessageDelay + std::chrono::milliseconds(1);
  /// Whether the server was heard of so long after the crash that it was none.
  static bool isDisproved(const ServerIncarnation &Server,
                          Common::TimePoint CrashedAt,
                          const LastHeardOf &HeardAt) {
    const auto Last = HeardAt(Server);
    return Last && *Last > CrashedAt + MessageDelay;
  }
  /// Discards the crashes that are disproved. Returns whether there were new
  /// ones.
  bool discardDisproved(const LastHeardOf &HeardAt);
  /// Whether there are still enough crashes to refuse Parts.
  bool supports(const Common::CauseSet &Parts) const;
  /// The causes of the crashes that no set of Refused explains.
  std::vector<Cause> findCauses(const std::vector<Common::CauseSet> &Refused,
                                Common::TimePoint Now) const;
  /// The parts whose surviving answers are of interest, those of most crashes
  /// first.
  std::vector<Common::CauseHash> suspects() const;
  void removeExpired(Common::TimePoint Now);

private:
  /// The weight from which on a part is a cause.
  static constexpr double MinWeight = 3;
  /// Crashes that follow one another faster count once: what ends several
  /// servers in one moment is no request.
  static constexpr Common::Duration MinCrashDistance =
      std::chrono::milliseconds(100);
  /// Time for answers that began after a crash to go on and to be reported.
  static constexpr Common::Duration MinEvidenceAge =
      std::chrono::milliseconds(1500);
  static constexpr Common::Duration CrashRetention = std::chrono::minutes(10);
  /// Lost runs are reported for a shorter time.
  static constexpr Common::Duration SurvivalRetention = std::chrono::minutes(1);
  static constexpr std::size_t MaxCrashes = 512;
  static constexpr std::size_t MaxRunsPerCrash = 32;

  struct Crash {
    ServerIncarnation Server;
    Common::TimePoint At;
    /// The parts of each lost run, without those that survived later.
    std::vector<Common::CauseSet> Runs;
    /// The same runs as they were reported.
    std::vector<Common::CauseSet> ReportedRuns;
    /// Kept, as its reports are repeated.
    bool Disproved = false;
  };
  /// Parts without those that have survived since the crash.
  Common::CauseSet unsurvivedParts(const Common::CauseSet &Parts,
                                   Common::TimePoint CrashedAt) const;

  /// The crashes with a run with each part, in ascending order of time.
  static std::map<Common::CauseHash, std::vector<const Crash *>>
  crashesByPart(const std::vector<const Crash *> &Crashes);
  /// How strongly the crashes, all with Part, speak against it: their number,
  /// divided by the mean number of runs with Part that one of them ended. What
  /// is common among requests was under each crash several times, what causes
  /// the crashes once.
  static double weight(Common::CauseHash Part,
                       const std::vector<const Crash *> &Crashes);
  /// Number of crashes, in ascending order of time, that count.
  static std::size_t countDistinct(const std::vector<const Crash *> &Crashes);
  /// The parts that were in one run with Part at each of the crashes.
  static Common::CauseSet
  partsAlwaysWith(Common::CauseHash Part,
                  const std::vector<const Crash *> &Crashes);

  /// In ascending order of time.
  std::deque<Crash> Crashes;
  /// When the newest surviving answer with a part began.
  std::map<Common::CauseHash, Common::TimePoint> Survivals;
};

} // namespace Routing

#endif
