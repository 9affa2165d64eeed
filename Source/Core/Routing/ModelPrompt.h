#ifndef SYCAMOREREACH_ROUTING_MODELPROMPT_H
#define SYCAMOREREACH_ROUTING_MODELPROMPT_H

#include <cstdint>
#include <string>
#include <vector>

namespace Routing {

/// A part of a prompt that other requests may share.
struct PromptPart {
  std::string Id;
  std::uint64_t Tokens = 0;
};

/// What a caller says of a model request's size and shared beginnings.
struct ModelPrompt {
  std::string Model;
  std::uint64_t PromptTokens = 0;
  std::uint64_t MaxOutputTokens = 0;
  /// In the order of the prompt; a part is only reused when all before it are.
  std::vector<PromptPart> Parts;

  std::uint64_t totalTokens() const {
    return this->PromptTokens + this->MaxOutputTokens;
  }
};

} // namespace Routing

#endif
