#include "State/ControlState.h"

#include "Network/Codec.h"

namespace State {

void ControlState::apply(const ControlCommand &Applied) {
  std::visit([this](const auto &Each) { this->applyOne(Each); }, Applied);
}

void ControlState::applyOne(const DeclareCommand &Applied) {
  if (Applied.Version <= this->Version)
    return;
  this->Version = Applied.Version;
  this->Document = Applied.Document;
}

void ControlState::applyOne(const FixUsageCommand &Applied) {
  // The first counts of a window stand, whoever repeats it.
  this->Usage.emplace(Applied.Window, WindowUsage{Applied.Counts, false});
  const std::uint64_t Newest = this->Usage.rbegin()->first.Value;
  std::erase_if(this->Usage, [Newest](const auto &Each) {
    return Each.first.Value + KeptWindows < Newest;
  });
}

void ControlState::applyOne(const UsageReportedCommand &Applied) {
  const auto Found = this->Usage.find(Applied.Window);
  if (Found != this->Usage.end())
    Found->second.Reported = true;
}

std::string ControlState::snapshot() const { return Network::encode(*this); }

absl::StatusOr<ControlState> ControlState::restore(const std::string &Bytes) {
  if (Bytes.empty())
    return ControlState();
  return Network::decode<ControlState>(Bytes);
}

} // namespace State
