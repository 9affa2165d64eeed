#ifndef SYCAMOREREACH_ROUTING_MODELPROMPT_H
#define SYCAMOREREACH_ROUTING_MODELPROMPT_H

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace Routing {

/// A segment of a prompt that other requests may share.
struct PromptPart {
  std::string Id;
  std::uint64_t Tokens = 0;
};

/// The size and the shareable segments of a model request's prompt, as declared
/// by the caller.
struct ModelPrompt {
  std::string Model;
  std::uint64_t PromptTokens = 0;
  std::uint64_t MaxOutputTokens = 0;
  /// In prompt order. The cache of a part can be reused only if all parts
  /// before it are cached as well.
  std::vector<PromptPart> Parts;

  std::uint64_t totalTokens() const {
    return this->PromptTokens + this->MaxOutputTokens;
  }

  /// The tokens after the shareable segments: no cache saves their prefill.
  std::uint64_t unsharedTokens() const {
    std::uint64_t Shared = 0;
    for (std::size_t I = 0; I + 1 < this->Parts.size(); ++I)
      Shared += this->Parts[I].Tokens;
    return this->PromptTokens - std::min(this->PromptTokens, Shared);
  }
};

} // namespace Routing

#endif
