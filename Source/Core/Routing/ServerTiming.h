#ifndef SYCAMOREREACH_ROUTING_SERVERTIMING_H
#define SYCAMOREREACH_ROUTING_SERVERTIMING_H

#include "Common/Ids.h"

#include <cstdint>

namespace Routing {

/// Times that one entry daemon has measured at a server since its last report,
/// beside those that the service's engine profile predicts for the same work.
struct ServerTiming {
  Common::BackendServerId Id;
  std::uint64_t StartedAt = 0;
  std::uint32_t PrefillSamples = 0;
  float ExpectedPrefillMilliseconds = 0;
  float MeasuredPrefillMilliseconds = 0;
  std::uint32_t DecodeSamples = 0;
  float ExpectedDecodeMilliseconds = 0;
  float MeasuredDecodeMilliseconds = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->StartedAt, this->PrefillSamples,
       this->ExpectedPrefillMilliseconds, this->MeasuredPrefillMilliseconds,
       this->DecodeSamples, this->ExpectedDecodeMilliseconds,
       this->MeasuredDecodeMilliseconds);
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
