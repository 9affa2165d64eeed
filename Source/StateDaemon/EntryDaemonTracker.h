#ifndef SYCAMOREREACH_STATEDAEMON_ENTRYDAEMONTRACKER_H
#define SYCAMOREREACH_STATEDAEMON_ENTRYDAEMONTRACKER_H

#include "Admission/AllowanceLedger.h"
#include "Membership/ServerRegistry.h"
#include "State/ClockMedian.h"
#include "State/ControlProtocol.h"
#include "State/UsageAggregator.h"
#include "StateDaemon/RefusalPlanner.h"

#include <map>
#include <string>

namespace StateDaemon {

/// The leader's view of the entry daemons, built from their polls: which are
/// live, their clocks, their use of the teams' allowances, their load, and what
/// crashes servers. A new leader starts with an empty one.
class EntryDaemonTracker {
public:
  EntryDaemonTracker(Admission::AllowanceTolerance Tolerance,
                     Common::TimePoint Now)
      : LeadingSince(Now), Allowances(Tolerance, Now), Refusals(Now) {}

  /// Declaration is null until a declaration is in force.
  State::EntryPollResponse
  handlePoll(const State::EntryPoll &Poll,
             const Configuration::ServiceMap *Declaration,
             const State::ControlState &State, Common::TimePoint Now);
  /// Adds this daemon's own clock to the median.
  void addOwnClock(const Common::DaemonId &Self, Common::WallTime Wall,
                   Common::TimePoint Now) {
    this->Clocks.addReading(Self, Wall, Now);
  }
  /// Median of the wall clocks of all daemons.
  Common::WallTime medianTime(Common::TimePoint Now) {
    return this->Clocks.timeAt(Now);
  }
  State::UsageAggregator &usage() { return this->Usage; }
  /// Grants tokens to a state daemon for its entry daemons. Declaration is null
  /// until a declaration is in force.
  State::TokenPoolGrant
  grantTokens(const State::TokenPoolRequest &Request,
              const Configuration::ServiceMap *Declaration,
              Common::TimePoint Now);
  /// Load of all live entry daemons on each server that is not idle.
  State::ServerLoads totalLoads() const;
  /// Removes what has expired. Called periodically, so that polls do not go
  /// over all entry daemons.
  void expire(Common::TimePoint Now);
  /// Engines that the requests of all live entry daemons keep busy, by service:
  /// the engine time that they ask for or the slots that they occupy, whichever
  /// is more.
  std::map<Common::ServiceName, double>
  engineDemand(const Membership::ServerRegistry &Servers) const;
  std::size_t liveEntryCount() const { return this->LiveEntries; }
  /// Takes in what an entry daemon's answers disprove, and returns the supposed
  /// crashes that are still to be disproved.
  std::vector<State::SupposedCrash>
  handleDisproofs(const std::vector<std::uint64_t> &Disproved,
                  Common::TimePoint Now) {
    for (const std::uint64_t Each : Disproved)
      this->Refusals.recordDisproof(Each);
    return this->Refusals.supposedCrashes(Now);
  }
  /// Commands that change what is refused because it crashes servers. They are
  /// to be proposed.
  std::vector<State::ControlCommand>
  planRefusals(const State::ControlState &State,
               const Membership::ServerRegistry &Servers,
               Common::TimePoint Now) {
    return this->Refusals.plan(State, Servers, Now);
  }

private:
  /// An entry daemon that sent no poll for longer is not counted as live.
  static constexpr Common::Duration EntryTimeout = std::chrono::seconds(3);
  /// Time before a new leader restores the allowance accounts from the reported
  /// grants. It exceeds two poll periods, so that every reachable entry daemon
  /// has reported by then.
  static constexpr Common::Duration AllowanceLearningTime =
      std::chrono::milliseconds(900);

  struct Entry {
    bool Live = false;
    Common::TimePoint LastPollAt;
    std::vector<State::ServerLoad> Loads;
    std::vector<State::ServiceDemand> Services;
    std::vector<State::RecentTokenGrants> RecentGrants;
  };
  /// Initializes the allowance accounts, once, from what the entry daemons were
  /// granted by earlier leaders.
  void learnAllowances(const Configuration::ServiceMap &Declaration,
                       Common::TimePoint Now);
  struct LoadSum {
    std::int64_t Requests = 0;
    std::int64_t PromptTokens = 0;
  };
  /// Adds the loads to the sums, or subtracts them if Sign is -1.
  void addLoads(const std::vector<State::ServerLoad> &Loads, int Sign);

  Common::TimePoint LeadingSince;
  bool AllowancesLearned = false;
  /// Highest number of live entry daemons that a poll reported; used to
  /// estimate the grants of the unreachable ones.
  std::uint32_t MaxReportedEntries = 0;
  std::map<Common::DaemonId, Entry> Entries;
  std::size_t LiveEntries = 0;
  /// Sums over the live entry daemons.
  std::map<Common::BackendServerId, LoadSum> Loads;
  Admission::AllowanceLedger Allowances;
  State::ClockMedian Clocks;
  State::UsageAggregator Usage;
  RefusalPlanner Refusals;
};

} // namespace StateDaemon

#endif
