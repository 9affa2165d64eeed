#ifndef SYCAMOREREACH_ROUTING_PROMPTQUARANTINE_H
#define SYCAMOREREACH_ROUTING_PROMPTQUARANTINE_H

#include "Routing/CrashAttribution.h"

#include <map>
#include <vector>

namespace Routing {

/// Refuses, at one entry daemon and for a limited time, the prompts with parts
/// that crash servers. All daemons get the same reports of lost runs and of
/// answers that went on, so that each comes to the same decision without a
/// leader.
class PromptQuarantine {
public:
  struct Survival {
    Common::CauseHash Part = 0;
    Common::TimePoint BegunAt;
  };

  /// Records the parts of each run that was lost with a server soon after its
  /// answer had begun.
  void recordLostRuns(const ServerIncarnation &Server,
                      const std::vector<Common::CauseSet> &Runs,
                      Common::TimePoint Now);
  /// Records that an answer of this daemon went on. It is to be reported if
  /// one of its parts is a suspect.
  void recordOwnSurvival(const Common::CauseSet &Parts,
                         Common::TimePoint BegunAt);
  void recordSurvival(const Survival &Reported);
  /// This daemon's survivals of suspects since the last call.
  std::vector<Survival> takeSurvivals();
  /// Forgets the crashes of servers that are still there, by when they were
  /// last heard of, and refuses the causes of the others.
  void update(const CrashAttribution::LastHeardOf &HeardAt,
              Common::Duration RefuseFor, Common::TimePoint Now);
  bool isRefused(const Common::CauseSet &Parts, Common::TimePoint Now) const;

private:
  struct Refusal {
    Common::TimePoint FirstCrashAt;
    Common::TimePoint Until;
  };

  CrashAttribution Evidence;
  std::map<Common::CauseSet, Refusal> Refusals;
  /// Parts of crashes and refusals.
  std::vector<Common::CauseHash> Suspects;
  std::map<Common::CauseHash, Common::TimePoint> Unreported;
};

} // namespace Routing

#endif
