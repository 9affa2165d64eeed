#ifndef SYCAMOREREACH_STATEDAEMON_REFUSALPLANNER_H
#define SYCAMOREREACH_STATEDAEMON_REFUSALPLANNER_H

#include "Membership/ServerRegistry.h"
#include "Routing/CrashAttribution.h"
#include "State/ControlProtocol.h"

#include <array>
#include <map>
#include <set>
#include <vector>

namespace StateDaemon {

/// Decides what is refused because it crashes servers, for the whole group,
/// from the reports of all entry daemons: whole contents that were lost with
/// several servers, and prompt parts that crash them. The decisions are
/// commands for the replicated state, so that they outlive the leader; the
/// reports are not, and a new leader starts without them.
class RefusalPlanner {
public:
  explicit RefusalPlanner(Common::TimePoint Now) : LeadingSince(Now) {}

  /// Records that a content was lost with a server. Repeated reports count
  /// once.
  void recordCrash(const Common::DaemonId &Reporter,
                   const State::CrashReport &Report, Common::TimePoint Now);
  void recordLostRun(const Common::DaemonId &Reporter,
                     const State::LostRun &Report, Common::TimePoint Now);
  /// Records an answer that went on, which ends or narrows the refusals of its
  /// cause.
  void recordSurvival(const State::Survival &Report,
                      const State::ControlState &State, Common::TimePoint Now);
  /// Supposed crashes that entry daemons may disprove by answers of the same
  /// server processes.
  std::vector<State::SupposedCrash> supposedCrashes(Common::TimePoint Now);
  /// Records that an answer disproves a supposed crash.
  void recordDisproof(std::uint64_t Number);
  /// Records that a request of the entry daemon was refused; it gets the next
  /// probe that is due.
  void recordUse(const Common::DaemonId &Entry, const Common::CauseSet &Causes,
                 const State::ControlState &State, Common::TimePoint Now);
  /// Finds new causes of crashes and returns the commands to propose. A command
  /// that did not take effect is returned again after ProposalTimeout.
  std::vector<State::ControlCommand>
  plan(const State::ControlState &State,
       const Membership::ServerRegistry &Servers, Common::TimePoint Now);

  /// What is refused, including what is decided and not yet replicated.
  std::vector<Common::CauseSet>
  refusals(const State::ControlState &State) const;
  /// At most MaxSuspects causes whose surviving answers are to be reported, as
  /// of the last plan.
  std::vector<Common::CauseHash>
  suspects(const State::ControlState &State) const;
  /// The probes granted to the entry daemon since the last call.
  std::vector<Common::CauseSet> takeProbes(const Common::DaemonId &Entry,
                                           const State::ControlState &State);
  void removeExpired(Common::TimePoint Now);

private:
  /// Number of servers that a content must crash before it is refused.
  static constexpr std::size_t MinCrashesToRefuse = 3;
  /// Failures further apart than this are not attributed to the same content.
  static constexpr Common::Duration CrashWindow = std::chrono::seconds(30);
  static constexpr std::size_t MaxTrackedContents = 20'000;
  static constexpr std::size_t MaxSuspects = 256;
  /// A refusal that was decided longer ago is not reconsidered when a server
  /// turns out to have survived; the crashes it rests on may be forgotten.
  static constexpr Common::Duration ReconsiderTime = std::chrono::seconds(10);
  static constexpr Common::Duration ProposalTimeout = std::chrono::seconds(1);
  /// Time from the refusal, or from the probe before, until one request is let
  /// through as a probe. No others follow, as each may crash a server.
  static constexpr std::array<Common::Duration, 2> ProbeIntervals = {
      std::chrono::minutes(1), std::chrono::minutes(30)};

  /// An announcement may arrive this long after it was sent.
  static constexpr Common::Duration MaxAnnouncementDelay =
      std::chrono::milliseconds(5500);
  /// Later answers of the entry daemons do not reach back to older crashes.
  static constexpr Common::Duration MaxDisproofAge = std::chrono::seconds(8);
  static constexpr std::size_t MaxSupposedCrashes = 64;

  struct Probe {
    Common::DaemonId Entry;
    /// Number of the probes before it.
    std::uint32_t Number = 0;
    Common::TimePoint GrantedAt;
    bool Sent = false;
  };

  void refuse(const Common::CauseSet &Causes, Common::TimePoint Since);
  void end(const Common::CauseSet &Causes, const State::ControlState &State);
  /// Forgets the crashes of servers that have announced themselves since, and
  /// ends the recent refusals that rest on them.
  void removeDisproved(const State::ControlState &State,
                       const Membership::ServerRegistry &Servers,
                       Common::TimePoint Now);
  /// Asks the entry daemons whether the server process went on after At.
  void suppose(const Routing::ServerIncarnation &Server, Common::TimePoint At);
  /// Whether there are still enough crashes for the refusal.
  bool isSupported(const Common::CauseSet &Causes) const;
  /// Forgets what concerns refusals that are not in force any more.
  void removeEnded(const State::ControlState &State);
  /// The refusal's survivals count from then on.
  Common::TimePoint since(const Common::CauseSet &Causes) const;

  Common::TimePoint LeadingSince;
  /// Servers that failed while they ran a content, with the time, by content
  /// hash.
  std::map<Common::CauseHash,
           std::map<Routing::ServerIncarnation, Common::TimePoint>>
      ContentCrashes;
  Routing::CrashAttribution PartCrashes;
  struct Supposed {
    Routing::ServerIncarnation Server;
    Common::TimePoint At;
  };
  std::map<std::uint64_t, Supposed> SupposedCrashes;
  std::uint64_t LastSupposedCrash = 0;
  /// Until when answers prove that a server process ran.
  std::map<Routing::ServerIncarnation, Common::TimePoint> ProvedRunningAt;
  bool SuspectsChanged = false;
  std::vector<Common::CauseHash> PartSuspects;
  /// Decisions that the replicated state does not show yet.
  std::set<Common::CauseSet> ToRefuse;
  std::set<Common::CauseSet> ToEnd;
  std::map<Common::CauseSet, Common::TimePoint> ProposedAt;
  /// When the first of the crashes happened, for the refusals that this leader
  /// has decided.
  std::map<Common::CauseSet, Common::TimePoint> Since;
  std::map<Common::CauseSet, Common::TimePoint> DecidedAt;
  std::map<Common::CauseSet, Probe> Probes;
};

} // namespace StateDaemon

#endif
