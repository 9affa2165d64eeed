#include "Routing/DispatchWindow.h"

#include <algorithm>

namespace Routing {

namespace {

/// Work besides the prompt, as tokens; keeps short prompts comparable.
constexpr double OverheadTokens = 128;
/// How fast the base follows slower answers.
constexpr double BaselineGain = 0.01;

} // namespace

void DispatchWindow::resize(std::uint64_t NewSlots) {
  const double Next = static_cast<double>(NewSlots);
  if (Next == this->Slots)
    return;
  this->Size = std::clamp(this->Size * Next / this->Slots, MinSize, Next);
  this->Slots = Next;
}

void DispatchWindow::recordFirstToken(Common::Duration Delay,
                                      std::uint64_t UncachedTokens) {
  const double SecondsPerToken =
      Common::toSeconds(Delay) /
      (OverheadTokens + static_cast<double>(UncachedTokens));
  if (this->BaselineSecondsPerToken == 0)
    this->BaselineSecondsPerToken = SecondsPerToken;
  const bool Late =
      SecondsPerToken > LateFactor * this->BaselineSecondsPerToken;
  this->BaselineSecondsPerToken =
      SecondsPerToken < this->BaselineSecondsPerToken
          ? SecondsPerToken
          : this->BaselineSecondsPerToken +
                BaselineGain *
                    (SecondsPerToken - this->BaselineSecondsPerToken);
  const double Next =
      Late ? this->Size * DecreaseFactor : this->Size + IncreaseStep;
  this->Size = std::clamp(Next, MinSize, this->Slots);
}

} // namespace Routing
