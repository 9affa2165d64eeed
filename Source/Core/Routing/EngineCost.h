#ifndef SYCAMOREREACH_ROUTING_ENGINECOST_H
#define SYCAMOREREACH_ROUTING_ENGINECOST_H

#include <cstdint>

namespace Routing {

/// Engine time that a model request takes at a server of speed 1. A decoding
/// step generates one token for each running request, so that an output token
/// costs what one more request adds to a step. The constant part of a step is
/// not attributed to requests.
class EngineCost {
public:
  /// A rate or time that is not known yet is 0 and leaves out its part.
  EngineCost(double PromptTokensPerMillisecond,
             double StepMillisecondsPerRequest)
      : PromptTokensPerMillisecond(PromptTokensPerMillisecond),
        StepMillisecondsPerRequest(StepMillisecondsPerRequest) {}

  /// Engine time of one request, in milliseconds.
  double milliseconds(std::uint64_t UncachedPromptTokens,
                      double OutputTokens) const {
    const double Prefill = this->PromptTokensPerMillisecond > 0
                               ? static_cast<double>(UncachedPromptTokens) /
                                     this->PromptTokensPerMillisecond
                               : 0;
    return Prefill + OutputTokens * this->StepMillisecondsPerRequest;
  }

private:
  double PromptTokensPerMillisecond;
  double StepMillisecondsPerRequest;
};

} // namespace Routing

#endif
