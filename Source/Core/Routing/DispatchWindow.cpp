#include "Routing/DispatchWindow.h"

#include <algorithm>

namespace Routing {

namespace {

/// Fixed overhead of a request, in tokens; keeps short prompts comparable with
/// long ones.
constexpr double OverheadTokens = 128;
/// Smoothing factor with which the baseline rises towards slower answers.
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
