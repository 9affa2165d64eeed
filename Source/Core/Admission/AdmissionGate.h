#ifndef SYCAMOREREACH_ADMISSION_ADMISSIONGATE_H
#define SYCAMOREREACH_ADMISSION_ADMISSIONGATE_H

#include "Admission/LevelPlanner.h"
#include "Admission/LoadMeter.h"
#include "Admission/RankShares.h"

#include <optional>
#include <string>

namespace Admission {

/// What decides whether a request is admitted.
struct AdmissionQuery {
  Common::ServiceName Service;
  std::uint32_t Rank = 0;
  std::string Team;
  /// Engine time at speed 1, in milliseconds.
  double Work = 1;
  /// Hash of the request id.
  std::uint64_t RequestHash = 0;
  /// The time until the caller's deadline.
  Common::Duration TimeLeft{};
  /// The time that the caller has left, as a fraction of what it had at first.
  double TimeLeftShare = 1;
};

struct AdmissionDecision {
  bool Admitted = true;
  /// The level that decided; nothing if the service has room.
  std::optional<AdmissionLevel> Level;
  /// Whether Level is this daemon's own, as it has none from the leader.
  bool IsOwnLevel = false;
  /// The fraction of such requests that is admitted.
  double Fraction = 1;
};

/// An entry daemon's decision which requests to admit: by the leader's levels,
/// or, without contact to a leader, by what it sees itself.
class AdmissionGate {
public:
  explicit AdmissionGate(Common::TimePoint Now);

  AdmissionDecision decide(const AdmissionQuery &Query, Common::TimePoint Now);
  /// The level in force for the service; nothing if it has room.
  std::optional<AdmissionLevel> level(const Common::ServiceName &Service,
                                      Common::TimePoint Now);
  /// Replaces the leader's levels by those of a response to the poll that was
  /// sent at PollSentAt.
  void setLevels(const std::vector<AdmissionLevel> &Levels,
                 Common::TimePoint PollSentAt);
  /// What this daemon has counted since the last call, to be reported.
  std::vector<ServiceLoad> takeReport(Common::TimePoint Now);
  LoadMeter &meter() { return this->Meter; }

private:
  struct HeldLevel {
    AdmissionLevel Level;
    Common::TimePoint Until;
  };
  bool hasContact(Common::TimePoint Now) const;
  /// Moves what was counted to the report and to this daemon's own planner.
  void advance(Common::TimePoint Now);

  LoadMeter Meter;
  LevelPlanner OwnPlanner;
  std::vector<ServiceLoad> Unreported;
  Common::TimePoint AdvancedAt;
  std::map<Common::ServiceName, HeldLevel> Levels;
  std::optional<Common::TimePoint> LeaderHeardAt;
  std::map<std::pair<Common::ServiceName, std::uint32_t>, RankShares> Shares;
};

} // namespace Admission

#endif
