#ifndef SYCAMOREREACH_ENTRYDAEMON_PROMPTCRASHREPORTER_H
#define SYCAMOREREACH_ENTRYDAEMON_PROMPTCRASHREPORTER_H

#include "Membership/ServerRegistry.h"
#include "Routing/LivenessEvidence.h"
#include "State/ControlProtocol.h"

#include <deque>
#include <map>
#include <set>
#include <vector>

namespace EntryDaemon {

/// What this daemon reports to the leader about prompt parts that may crash
/// servers: the runs that were lost soon after their answers had begun, and,
/// for the causes under suspicion, the answers that went on.
class PromptCrashReporter {
public:
  struct Run {
    /// The parts of the prompt that other requests may share.
    Common::CauseSet Parts;
    /// Parts and the whole content.
    Common::CauseSet Causes;
    Common::BackendServerId Server;
    std::uint64_t ServerStartedAt = 0;
    Common::TimePoint BegunAt;
  };

  /// Records that the run was lost soon after its answer had begun.
  void recordLostRun(const Run &Lost, Common::TimePoint Now);
  /// Records that the answer ended soon after it had begun and only with its
  /// connection. It is complete if the server goes on to announce itself;
  /// otherwise the server crashed.
  void recordUncertainEnd(const Run &Ended, Common::TimePoint Now);
  /// Records that another entry daemon lost a run with the server process at
  /// At. Answers that ended with their connections in the same moment were cut
  /// off, if it crashed.
  void recordSupposedCrash(const Common::BackendServerId &Server,
                           std::uint64_t ServerStartedAt, Common::TimePoint At);
  /// Records that an answer that began at BegunAt, of a request with these
  /// causes, went on.
  void recordSurvival(const Common::CauseSet &Causes,
                      Common::TimePoint BegunAt);
  /// Sets the causes whose surviving answers are reported.
  void setSuspects(const std::vector<Common::CauseHash> &Causes) {
    this->Suspects = Causes;
  }
  /// Adds the reports to a poll. They are sent repeatedly, so that a newly
  /// elected leader receives them too.
  void fillPoll(State::EntryPoll &Poll, const Membership::ServerRegistry &Known,
                const Routing::LivenessEvidence &Evidence,
                Common::TimePoint Now);

private:
  static constexpr Common::Duration LostRunRetention = std::chrono::seconds(15);
  static constexpr Common::Duration SurvivalRetention =
      std::chrono::seconds(15);
  static constexpr std::size_t MaxLostRuns = 32;
  static constexpr std::size_t MaxUncertainEnds = 256;
  static constexpr std::size_t MaxSurvivals = 8192;
  /// Runs that end within this time of a lost one were lost with it.
  static constexpr Common::Duration SameCrashTime =
      std::chrono::milliseconds(300);
  /// An announcement that arrives sooner after an answer's end may have been
  /// sent before it, as announcements can be seconds late.
  static constexpr Common::Duration MaxAnnouncementDelay =
      std::chrono::milliseconds(5500);
  /// A server that was not heard of for this long has crashed. Several
  /// announcements are due within this time.
  static constexpr Common::Duration MaxSilence = std::chrono::seconds(3);
  /// Without proof that the server runs, an end is taken for a crash after this
  /// time: announcements that were sent after the end have arrived by then.
  static constexpr Common::Duration MaxUncertainty =
      std::chrono::milliseconds(7500);

  struct TimedRun {
    Run Value;
    Common::TimePoint EndedAt;
  };
  void addLostRun(const Run &Lost, Common::TimePoint At);
  void judgeUncertainEnds(const Membership::ServerRegistry &Known,
                          const Routing::LivenessEvidence &Evidence,
                          Common::TimePoint Now);

  /// Oldest first.
  std::deque<TimedRun> LostRuns;
  std::deque<TimedRun> UncertainEnds;
  std::vector<Common::CauseHash> Suspects;
  /// When the newest surviving answer of a cause began, and the same by age.
  std::map<Common::CauseHash, Common::TimePoint> Survivals;
  std::set<std::pair<Common::TimePoint, Common::CauseHash>> SurvivalsByAge;
};

} // namespace EntryDaemon

#endif
