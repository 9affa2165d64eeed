#ifndef SYCAMOREREACH_STATEDAEMON_ENTRYLEDGER_H
#define SYCAMOREREACH_STATEDAEMON_ENTRYLEDGER_H

#include "Admission/AllowanceLedger.h"
#include "State/ClockMedian.h"
#include "State/ControlProtocol.h"
#include "State/UsageAggregator.h"

#include <map>
#include <set>
#include <string>

namespace StateDaemon {

/// What the leader knows of the entry daemons: who lives, their clocks, their
/// use of the teams' allowances, their load, and which contents crash servers.
/// It is made anew with each leadership.
class EntryLedger {
public:
  EntryLedger(Admission::AllowanceTolerance Borne, Common::TimePoint Now)
      : LeadingSince(Now), Allowances(Borne, Now) {}

  State::EntryPollResponse answer(const State::EntryPoll &Asked,
                                  const Configuration::ServiceMap *Declared,
                                  const State::ControlState &State,
                                  Common::TimePoint Now);
  /// Adds this daemon's own clock to the median.
  void ownClock(const Common::DaemonId &Self, Common::WallTime Wall,
                Common::TimePoint Now) {
    this->Clocks.addReading(Self, Wall, Now);
  }
  Common::WallTime time(Common::TimePoint Now) {
    return this->Clocks.timeAt(Now);
  }
  State::UsageAggregator &usage() { return this->Usage; }
  /// Engine time that all entry daemons ask for.
  std::map<Common::ServiceName, double> demand(Common::TimePoint Now) const;
  std::size_t entryCount(Common::TimePoint Now) const;

private:
  /// An entry daemon that did not ask for longer counts no more.
  static constexpr Common::Duration EntryLivesFor = std::chrono::seconds(3);
  /// Longer than two polls of an entry daemon: by then those that can be
  /// reached have told what they were granted.
  static constexpr Common::Duration LearnAllowancesFor =
      std::chrono::milliseconds(900);
  /// Servers that a content must have crashed before it is refused.
  static constexpr std::size_t CrashesToRefuse = 3;
  /// Failures further apart than this are not put down to one content.
  static constexpr Common::Duration CrashMemory = std::chrono::seconds(30);
  static constexpr Common::Duration RefuseFor = std::chrono::minutes(2);
  static constexpr std::size_t MostContents = 20'000;
  /// Contents sent with each answer at most.
  static constexpr std::size_t MostRefused = 256;

  struct Entry {
    Common::TimePoint HeardAt;
    std::vector<State::ServerLoad> Loads;
    std::vector<State::ServiceDemand> Services;
    std::vector<State::RecentTokenGrants> Used;
  };
  /// Takes over the accounts of earlier leaders, once.
  void learnAllowances(const Configuration::ServiceMap &Declared,
                       Common::TimePoint Now);
  void crashed(const State::CrashReport &Report, Common::TimePoint Now);
  void forgetCrashes(Common::TimePoint Now);
  std::vector<State::ServerLoad> loadsWithout(const Common::DaemonId &Asker,
                                              Common::TimePoint Now) const;

  Common::TimePoint LeadingSince;
  bool AllowancesLearned = false;
  /// The most entry daemons that any of them knew of.
  std::uint32_t MostEntries = 0;
  std::map<Common::DaemonId, Entry> Entries;
  Admission::AllowanceLedger Allowances;
  State::ClockMedian Clocks;
  State::UsageAggregator Usage;
  using ServerLife = std::pair<Common::BackendServerId, std::uint64_t>;
  /// Servers that failed while they ran a content, and when.
  std::map<std::uint64_t, std::map<ServerLife, Common::TimePoint>> Crashes;
  /// Refused contents, and since when.
  std::map<std::uint64_t, Common::TimePoint> Refused;
};

} // namespace StateDaemon

#endif
