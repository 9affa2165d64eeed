#include "Routing/DispatchWindow.h"

#include <algorithm>

namespace Routing {

namespace {

/// Work besides the prompt, as tokens; keeps short prompts comparable.
constexpr double FixedTokens = 128;
/// How fast the base follows slower answers.
constexpr double Rise = 0.01;

} // namespace

void DispatchWindow::resize(std::uint64_t NewSlots) {
  const double Next = static_cast<double>(NewSlots);
  if (Next == this->Slots)
    return;
  this->Size = std::clamp(this->Size * Next / this->Slots, LeastSize, Next);
  this->Slots = Next;
}

void DispatchWindow::firstToken(Common::Duration Delay,
                                std::uint64_t UncachedTokens) {
  const double PerToken = Common::toSeconds(Delay) /
                          (FixedTokens + static_cast<double>(UncachedTokens));
  if (this->BaseSeconds == 0)
    this->BaseSeconds = PerToken;
  const bool Late = PerToken > LateFactor * this->BaseSeconds;
  this->BaseSeconds =
      PerToken < this->BaseSeconds
          ? PerToken
          : this->BaseSeconds + Rise * (PerToken - this->BaseSeconds);
  const double Next = Late ? this->Size * Decrease : this->Size + Increase;
  this->Size = std::clamp(Next, LeastSize, this->Slots);
}

} // namespace Routing
