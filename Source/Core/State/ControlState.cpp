#include "State/ControlState.h"

#include "Network/Codec.h"

#include <algorithm>

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

void ControlState::applyCommand(const RefuseCommand &Command) {
  Refusal Added{Command.Causes};
  for (const Refusal &Each : this->Refusals) {
    if (Common::includesCauses(Command.Causes, Each.Causes))
      return;
    // Probes of a larger set were probes of this one.
    if (Common::includesCauses(Each.Causes, Command.Causes))
      Added.Probes = std::max(Added.Probes, Each.Probes);
  }
  std::erase_if(this->Refusals, [&](const Refusal &Each) {
    return Common::includesCauses(Each.Causes, Command.Causes);
  });
  this->Refusals.push_back(std::move(Added));
  if (this->Refusals.size() > MaxRefusals)
    this->Refusals.erase(this->Refusals.begin());
}

void ControlState::applyCommand(const EndRefusalCommand &Command) {
  std::erase_if(this->Refusals, [&](const Refusal &Each) {
    return Each.Causes == Command.Causes;
  });
}

void ControlState::applyCommand(const ProbeRefusalCommand &Command) {
  for (Refusal &Each : this->Refusals)
    if (Each.Causes == Command.Causes && Each.Probes == Command.Number)
      ++Each.Probes;
}

std::string ControlState::snapshot() const { return Network::encode(*this); }

absl::StatusOr<ControlState> ControlState::restore(const std::string &Bytes) {
  if (Bytes.empty())
    return ControlState();
  absl::StatusOr<ControlState> Result = Network::decode<ControlState>(Bytes);
  if (Result.ok())
    return Result;
  // Releases before the refusals wrote the other members only.
  const std::string NoRefusals = Network::encode(std::vector<Refusal>());
  if (auto Older = Network::decode<ControlState>(Bytes + NoRefusals);
      Older.ok())
    return Older;
  return Result;
}

} // namespace State
