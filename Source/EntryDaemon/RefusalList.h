#ifndef SYCAMOREREACH_ENTRYDAEMON_REFUSALLIST_H
#define SYCAMOREREACH_ENTRYDAEMON_REFUSALLIST_H

#include "Common/CauseSet.h"
#include "Routing/CrashAttribution.h"

#include <map>
#include <set>
#include <vector>

namespace EntryDaemon {

/// The requests that this daemon refuses because they crash servers: those that
/// the leader named and, while no leader answers, those that this daemon's own
/// evidence speaks against. Without a leader, what it named stays refused.
class RefusalList {
public:
  enum class Decision {
    Allowed,
    Refused,
    /// Refused, but this one request is let through.
    Probe
  };

  explicit RefusalList(Common::TimePoint Now) : AnsweredAt(Now) {}

  /// Replaces what is refused by the leader's answer.
  void replace(std::vector<Common::CauseSet> Refusals, Common::TimePoint Now);
  /// Lets one request through each of the refusals, for a limited time.
  void grantProbes(const std::vector<Common::CauseSet> &Refusals,
                   Common::TimePoint Now);
  /// Whether a request with these causes may be sent to a server.
  Decision check(const Common::CauseSet &Causes, Common::TimePoint Now);
  /// The leader's refusals that requests have met since the last call.
  std::vector<Common::CauseSet> takeUsed();

  /// The evidence for the time without a leader.
  Routing::CrashAttribution &ownEvidence() { return this->OwnEvidence; }

private:
  /// Without an answer for longer, there is no leader.
  static constexpr Common::Duration LeaderTimeout = std::chrono::seconds(2);
  static constexpr Common::Duration OwnCheckPeriod =
      std::chrono::milliseconds(250);
  static constexpr Common::Duration ProbeDuration = std::chrono::seconds(20);

  void checkOwnEvidence(Common::TimePoint Now);

  Common::TimePoint AnsweredAt;
  std::vector<Common::CauseSet> FromLeader;
  Routing::CrashAttribution OwnEvidence;
  std::vector<Common::CauseSet> FromOwnEvidence;
  Common::TimePoint OwnEvidenceCheckedAt;
  /// Granted probes and when they expire.
  std::map<Common::CauseSet, Common::TimePoint> Probes;
  std::set<Common::CauseSet> Used;
};

} // namespace EntryDaemon

#endif
