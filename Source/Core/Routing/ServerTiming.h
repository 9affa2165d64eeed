#ifndef SYCAMOREREACH_ROUTING_SERVERTIMING_H
#define SYCAMOREREACH_ROUTING_SERVERTIMING_H

#include "Common/Ids.h"

#include <cstdint>

namespace Routing {

/// Work that one entry daemon has seen a server do since its last report, and
/// the time it took. Sums rather than ratios, so that the leader can compare
/// them with any engine profile.
struct ServerTiming {
  Common::BackendServerId Id;
  std::uint64_t StartedAt = 0;
  /// Empty in a report if it is that of the entry before.
  Common::ServiceName Service;
  /// Prompt tokens that were to be processed before the first event.
  float PrefillTokens = 0;
  float PrefillMilliseconds = 0;
  /// Decoding steps, the same weighted by the number of running requests, and
  /// the time that they took.
  float DecodeSteps = 0;
  float DecodeRequestSteps = 0;
  float DecodeMilliseconds = 0;

  template <class Archive> void serialize(Archive &Ar) {
    // An empty name takes one byte, as most entries have none.
    bool HasService = !this->Service.empty();
    Ar(HasService);
    if (HasService)
      Ar(this->Service);
    Ar(this->Id, this->StartedAt, this->PrefillTokens,
       this->PrefillMilliseconds, this->DecodeSteps, this->DecodeRequestSteps,
       this->DecodeMilliseconds);
  }
};

/// Speed of one server, relative to the engine profile of its service: 2 takes
/// half the time.
struct ServerSpeed {
  Common::BackendServerId Id;
  std::uint64_t StartedAt = 0;
  float Prefill = 1;
  float Decode = 1;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->StartedAt, this->Prefill, this->Decode);
  }
};

/// Timing of a service's engines at speed 1, learnt from all entry daemons.
struct EngineProfile {
  Common::ServiceName Service;
  double PromptTokensPerMillisecond = 0;
  /// Time of a decoding step with no other request, and what each further
  /// request adds to it.
  double StepMilliseconds = 0;
  double StepMillisecondsPerRequest = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Service, this->PromptTokensPerMillisecond, this->StepMilliseconds,
       this->StepMillisecondsPerRequest);
  }
};

} // namespace Routing

#endif
