#include "State/ControlState.h"

#include "Network/Codec.h"

namespace State {

void ControlState::apply(const ControlCommand &Command) {
  std::visit([this](const auto &Each) { this->applyCommand(Each); }, Command);
}

void ControlState::applyCommand(const DeclareCommand &Command) {
  if (Command.Version <= this->Version)
    return;
  this->Version = Command.Version;
  this->Document = Command.Document;
}

void ControlState::applyCommand(const RecordUsageCommand &Command) {
  // The first counts recorded for a window are final; later commands for the
  // same window have no effect.
  this->Usage.emplace(Command.Window, WindowUsage{Command.Counts, false});
  const std::uint64_t Newest = this->Usage.rbegin()->first.Value;
  std::erase_if(this->Usage, [Newest](const auto &Each) {
    return Each.first.Value + RetainedWindows < Newest;
  });
}

void ControlState::applyCommand(const MarkUsageReportedCommand &Command) {
  const auto Found = this->Usage.find(Command.Window);
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
