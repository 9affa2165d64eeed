#ifndef SYCAMOREREACH_ROLLOUT_ROLLOUTCOMMANDS_H
#define SYCAMOREREACH_ROLLOUT_ROLLOUTCOMMANDS_H

#include "Rollout/ServiceRollout.h"

namespace Rollout {

/// Starts a rollout. Ignored unless Number follows the last one and no rollout
/// of the service is running, so that an order that was proposed twice starts
/// one rollout.
struct BeginRolloutCommand {
  Common::ServiceName Service;
  RolloutNumber Number;
  Common::SoftwareVersion Target;
  std::uint64_t DurationMilliseconds = 0;
  Common::WallTime BegunAt;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Service, this->Number, this->Target, this->DurationMilliseconds,
       this->BegunAt);
  }
};

/// Advances the running rollout with this number to a later phase that is no
/// verdict.
struct AdvanceRolloutCommand {
  Common::ServiceName Service;
  RolloutNumber Number;
  Phase To = Phase::Waiting;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Service, this->Number, this->To);
  }
};

/// Ends the running rollout with this number.
struct EndRolloutCommand {
  Common::ServiceName Service;
  RolloutNumber Number;
  bool Completed = false;
  std::string Cause;
  std::string Figures;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Service, this->Number, this->Completed, this->Cause,
       this->Figures);
  }
};

} // namespace Rollout

#endif
