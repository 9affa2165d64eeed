#ifndef SYCAMOREREACH_ROLLOUT_COORDINATOR_H
#define SYCAMOREREACH_ROLLOUT_COORDINATOR_H

#include "Rollout/Directive.h"
#include "Rollout/Evidence.h"
#include "Rollout/ServiceRollout.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Rollout {

/// Limits on the requests that a bad version gets.
struct ExposureLimits {
  /// Fraction of all requests of the service between the order and the end of
  /// its duration.
  double Share = 0.1;
  /// Requests in addition to that.
  double Slack = 50;
  /// How long after its 50th bad response a bad version may get requests.
  Common::Duration RollbackTime = std::chrono::seconds(5);
};

/// Decides on one running rollout from what the entry daemons observe. Exists
/// at the leader; a new leader starts with an empty one.
class Coordinator {
public:
  /// A serving server of the service.
  struct Server {
    Common::BackendServerId Id;
    /// Empty if unknown.
    Common::SoftwareVersion Version;
  };
  /// What the leader knows besides the reports.
  struct View {
    std::vector<Server> Servers;
    /// Number of entry daemons that poll.
    std::size_t Entries = 0;
    /// The phase in the replicated log.
    Phase Recorded = Phase::Waiting;
  };
  struct Verdict {
    bool Completed = false;
    std::string Cause;
    std::string Figures;
  };
  /// What follows from a call of update().
  struct Decision {
    /// A phase to record.
    std::optional<Phase> Advance;
    /// A verdict to record.
    std::optional<Verdict> End;
    /// The directive changed; a line for the log.
    bool ShareChanged = false;
    /// The directive allows less and cannot wait for the next reports.
    bool Urgent = false;
  };

  /// Revisions of directives start above FirstRevision.
  Coordinator(ExposureLimits Limits, Common::ServiceName Service,
              const ServiceRollout &Rollout, Common::TimePoint BegunAt,
              std::uint64_t FirstRevision, Common::TimePoint Now);

  /// Takes in the parts of a report that concern this rollout.
  void handleReport(const Common::DaemonId &Entry,
                    Common::Incarnation Incarnation, std::uint64_t Sequence,
                    const std::vector<Observation> &Observations,
                    const std::vector<Progress> &Progresses,
                    Common::TimePoint Now);
  /// Called periodically. A phase or verdict is returned again until View shows
  /// that it is recorded, or the rollout has ended.
  Decision update(const View &Current, Common::TimePoint Now);

  /// The versions that earlier rollouts refuse are left to the caller.
  const Directive &directive() const { return this->Directed; }
  RolloutNumber number() const { return this->Directed.Number; }

  /// Figures for logs, metrics and operators.
  std::uint64_t sentToTarget() const { return this->TargetSent; }
  std::uint64_t sentInTotal() const { return this->TotalSent; }
  std::size_t targetServers() const { return this->TargetServers; }
  const Assessment &assessment() const { return this->Assessed; }
  Phase phase() const { return this->Recorded; }

private:
  struct Entry {
    Common::Incarnation Incarnation;
    std::uint64_t Sequence = 0;
    Common::TimePoint ReportedAt;
    /// By route and server.
    std::map<std::pair<std::string, Common::BackendServerId>, Observation>
        Observations;
    std::optional<Progress> Reported;
  };

  /// Writes off the requests that an earlier incarnation was running.
  void writeOff(const Entry &Ended, Common::TimePoint Now);
  void addObservation(Entry &From, const Observation &Observed, bool Recent,
                      Common::TimePoint Now);
  void updateRate(Common::TimePoint Now);
  /// Time after the end of the trial that the rest of the rollout needs.
  Common::Duration expectedDrainTime() const;
  Common::Duration shiftTime() const;
  Common::TimePoint trialEndsAt(Common::Duration DrainTime) const;
  Common::TimePoint latestTrialEnd() const;
  bool knowsEnoughEntries(const View &Current, Common::TimePoint Now) const;
  bool isDrained(Common::TimePoint Now) const;
  /// Chooses the number of trial servers as well.
  double trialShare(Common::TimePoint Now);
  void decide(const View &Current, Common::TimePoint Now, Decision &Result);
  void decideInTrial(const View &Current, Common::TimePoint Now,
                     Decision &Result);
  Directive plannedDirective(const View &Current, Common::TimePoint Now);
  std::string figures() const;

  ExposureLimits Limits;
  Common::TimePoint BegunAt;
  Common::TimePoint EndsAt;
  Common::TimePoint CreatedAt;
  Directive Directed;
  Phase Recorded;
  std::map<Common::DaemonId, Entry> Entries;
  Evidence Seen;
  Assessment Assessed;
  std::uint64_t TotalSent = 0;
  std::uint64_t TargetSent = 0;
  std::uint64_t OthersEnded = 0;
  /// Requests per second to the service, and those of them that ended at other
  /// versions.
  double Rate = 0;
  double OthersEndedRate = 0;
  struct RateSample {
    Common::TimePoint At;
    /// Time since the sample before it, with this share.
    Common::Duration For;
    std::uint64_t Sent;
    std::uint64_t OthersEnded;
    double TargetShare;
  };
  std::vector<RateSample> RateSamples;
  std::size_t TargetServers = 0;
  std::size_t OtherServers = 0;
  std::uint32_t TrialServers = 0;
  std::optional<Common::TimePoint> FirstTargetServerAt;
  std::optional<Common::TimePoint> ShiftStartedAt;
  Common::TimePoint ShiftUpdatedAt;
  Common::Duration ShiftProgress{};
  std::optional<Common::TimePoint> DrainStartedAt;
  std::uint64_t DrainRevision = 0;
  std::optional<Common::TimePoint> SuspiciousSince;
  std::optional<Verdict> Ended;
  Common::TimePoint ShareSetAt;
};

} // namespace Rollout

#endif
