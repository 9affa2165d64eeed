#ifndef SYCAMOREREACH_ROLLOUT_SERVICEROLLOUT_H
#define SYCAMOREREACH_ROLLOUT_SERVICEROLLOUT_H

#include "Rollout/Observation.h"

#include <optional>
#include <string>
#include <vector>

namespace Rollout {

/// Phase of a rollout. It only advances. Stored in the replicated log.
enum class Phase : std::uint8_t {
  /// No server of the target version serves yet.
  Waiting,
  /// Few servers of the target version get a small share of the requests.
  Trial,
  /// The share of the target version rises to 1.
  Shift,
  /// The other versions get no new requests; those that run there end.
  Drain,
  Completed,
  RolledBack,
};

/// Name of the phase in log lines.
constexpr const char *nameOf(Phase Value) {
  switch (Value) {
  case Phase::Waiting:
    return "waiting";
  case Phase::Trial:
    return "trial";
  case Phase::Shift:
    return "shift";
  case Phase::Drain:
    return "drain";
  case Phase::Completed:
    return "completed";
  case Phase::RolledBack:
    return "rolled_back";
  }
  return "unknown";
}

/// The newest rollout of a service, and the versions that the rollouts so far
/// allow.
struct ServiceRollout {
  RolloutNumber Number;
  Common::SoftwareVersion Target;
  std::uint64_t DurationMilliseconds = 0;
  /// Reference time of the order.
  Common::WallTime BegunAt;
  Phase Current = Phase::Waiting;
  /// Why it ended, and the figures that decided it; empty while it is running.
  std::string Cause;
  std::string Figures;
  /// Versions of rollouts that were rolled back, the oldest first.
  std::vector<Common::SoftwareVersion> RefusedVersions;
  /// Target of the last completed rollout.
  std::optional<Common::SoftwareVersion> OnlyVersion;

  bool isRunning() const {
    return this->Current != Phase::Completed &&
           this->Current != Phase::RolledBack;
  }

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Number, this->Target, this->DurationMilliseconds, this->BegunAt,
       this->Current, this->Cause, this->Figures, this->RefusedVersions,
       this->OnlyVersion);
  }
};

} // namespace Rollout

#endif
