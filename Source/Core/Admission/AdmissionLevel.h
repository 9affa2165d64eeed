#ifndef SYCAMOREREACH_ADMISSION_ADMISSIONLEVEL_H
#define SYCAMOREREACH_ADMISSION_ADMISSIONLEVEL_H

#include "Common/Ids.h"

#include <cstdint>
#include <vector>

namespace Admission {

/// Requests of one scheduling rank that one entry daemon has had for a service
/// since its last report. Times are engine time at speed 1.
struct RankLoad {
  std::uint32_t Rank = 0;
  float OfferedMilliseconds = 0;
  /// Of requests whose output a server has begun.
  float AdmittedMilliseconds = 0;
  std::uint32_t Offered = 0;
  std::uint32_t Refused = 0;
  /// Admitted requests for which no server had room: the shortest queue was
  /// longer than their target allows, or servers rejected them.
  std::uint32_t WithoutRoom = 0;
  /// Held back by this daemon now.

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Rank, this->OfferedMilliseconds, this->AdmittedMilliseconds,
       this->Offered, this->Refused, this->WithoutRoom);
  }
};

struct ServiceLoad {
  Common::ServiceName Service;
  /// The time that this report covers.
  std::uint32_t PeriodMilliseconds = 0;
  std::vector<RankLoad> Ranks;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Service, this->PeriodMilliseconds, this->Ranks);
  }
};

/// What entry daemons admit to a service that is short of room. The same for
/// all of them, so that they agree on what is turned away.
struct AdmissionLevel {
  Common::ServiceName Service;
  /// Requests of a more urgent rank are admitted, those of a less urgent one
  /// only up to their guaranteed share.
  std::uint32_t Rank = 0;
  /// Fraction of the work of this rank that is admitted.
  float Share = 1;
  /// The same for the ranks after it: more than the guaranteed share for ranks
  /// whose requests need so little work that to refuse them gains little.
  std::vector<float> LesserShares;
  /// Time until room is expected, at which callers may return.
  std::uint32_t RetryAfterMilliseconds = 0;
  /// The level ends this long after the poll was sent to which it belongs.
  std::uint32_t ValidMilliseconds = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Service, this->Rank, this->Share, this->LesserShares,
       this->RetryAfterMilliseconds, this->ValidMilliseconds);
  }
};

} // namespace Admission

#endif
