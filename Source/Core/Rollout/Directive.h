#ifndef SYCAMOREREACH_ROLLOUT_DIRECTIVE_H
#define SYCAMOREREACH_ROLLOUT_DIRECTIVE_H

#include "Rollout/Observation.h"

#include <optional>
#include <vector>

namespace Rollout {

/// How the requests of a service are divided between the versions of its
/// servers. An entry daemon obeys the directive with the highest revision.
struct Directive {
  Common::ServiceName Service;
  RolloutNumber Number;
  /// Increases with each change, over all leaders.
  std::uint64_t Revision = 0;
  /// The version that is rolled out; empty if no rollout is running.
  Common::SoftwareVersion Target;
  /// Fraction of the new requests that go to the target version. It ends
  /// ValidMilliseconds after the poll was sent to which the directive belongs.
  double TargetShare = 0;
  std::uint64_t ValidMilliseconds = 0;
  /// Number of servers of the target version that get the share; 0 for all.
  std::uint32_t TrialServers = 0;
  /// The servers of other versions get no new requests.
  bool OthersExcluded = false;
  /// Streams at servers of other versions move to the target version.
  bool MoveStreams = false;
  /// Versions whose servers get no requests: those of rollouts that were rolled
  /// back.
  std::vector<Common::SoftwareVersion> RefusedVersions;
  /// The only version whose servers get requests, after a completed rollout.
  std::optional<Common::SoftwareVersion> OnlyVersion;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Service, this->Number, this->Revision, this->Target,
       this->TargetShare, this->ValidMilliseconds, this->TrialServers,
       this->OthersExcluded, this->MoveStreams, this->RefusedVersions,
       this->OnlyVersion);
  }
};

} // namespace Rollout

#endif
