#ifndef SYCAMOREREACH_ROLLOUT_ROLLOUTBOOK_H
#define SYCAMOREREACH_ROLLOUT_ROLLOUTBOOK_H

#include "Rollout/RolloutCommands.h"

#include <map>

namespace Rollout {

/// The rollouts of all services, as replicated by the log. Deterministic.
class RolloutBook {
public:
  // Each returns whether the command took effect.

  /// Ignored unless the command has the next number and no rollout of the
  /// service is running.
  bool apply(const BeginRolloutCommand &Command);
  /// Ignored unless the rollout is running in an earlier phase.
  bool apply(const AdvanceRolloutCommand &Command);
  /// Ignored unless the rollout is running.
  bool apply(const EndRolloutCommand &Command);

  /// Null if no rollout of the service was ever ordered.
  const ServiceRollout *find(const Common::ServiceName &Service) const;
  const std::map<Common::ServiceName, ServiceRollout> &services() const {
    return this->Services;
  }
  RolloutNumber nextNumber() const {
    return RolloutNumber{this->LastNumber.Value + 1};
  }
  /// Refused versions beyond this number are forgotten, the oldest first.
  static constexpr std::size_t MaxRefusedVersions = 64;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->LastNumber, this->Services);
  }

private:
  /// Null unless the rollout with this number is running.
  ServiceRollout *running(const Common::ServiceName &Service,
                          RolloutNumber Number);

  RolloutNumber LastNumber;
  std::map<Common::ServiceName, ServiceRollout> Services;
};

} // namespace Rollout

#endif
