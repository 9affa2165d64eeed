#include "State/ControlState.h"

#include "Network/Codec.h"

#include <algorithm>

namespace State {

void ControlState::apply(const ControlCommand &Command) {
  std::visit([this](const auto &Each) { this->applyCommand(Each); }, Command);
}

void ControlState::applyCommand(const DeclareCommand &Command) {
  if (this->hasDeclaration() && Command.Version <= this->Version)
    return;
  this->Version = Command.Version;
  this->Document = Command.Document;
}

void ControlState::applyCommand(const CorrectVersionCommand &Command) {
  if (this->Version == Command.Stored)
    this->Version = std::min(this->Version, Command.Corrected);
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

void ControlState::applyCommand(const RaiseProtocolLevelCommand &Command) {
  this->Level = std::max(this->Level, Command.Level);
}

void ControlState::applyCommand(const RecordServerEndsCommand &Command) {
  for (const Membership::ServerEnd &Each : Command.Ends)
    this->recordServerEnd(Each);
}

void ControlState::recordServerEnd(const Membership::ServerEnd &End) {
  if (this->hasServerEnd(End))
    return;
  this->Ends[End.Id] = RecordedEnd{End, ++this->LastEndNumber};
  if (this->Ends.size() <= MaxServerEnds)
    return;
  this->Ends.erase(std::min_element(this->Ends.begin(), this->Ends.end(),
                                    [](const auto &A, const auto &B) {
                                      return A.second.Number < B.second.Number;
                                    }));
}

bool ControlState::hasServerEnd(const Membership::ServerEnd &End) const {
  const auto Found = this->Ends.find(End.Id);
  return Found != this->Ends.end() && Found->second.End.covers(End);
}

std::vector<Membership::ServerEnd> ControlState::serverEnds() const {
  std::vector<Membership::ServerEnd> Result;
  Result.reserve(this->Ends.size());
  for (const auto &Each : this->Ends)
    Result.push_back(Each.second.End);
  return Result;
}

std::string ControlState::snapshotEndUnknownAt(ProtocolLevel Level) {
  const ControlState Empty;
  std::string Result;
  if (Level < ServerEndsLevel)
    Result += Network::encode(Empty.Level) + Network::encode(Empty.Ends) +
              Network::encode(Empty.LastEndNumber);
  if (Level < RolloutsLevel)
    Result += Network::encode(Empty.Rollouts);
  return Result;
}

std::string ControlState::snapshot() const {
  std::string Result = Network::encode(*this);
  Result.resize(Result.size() - snapshotEndUnknownAt(this->Level).size());
  return Result;
}

absl::StatusOr<ControlState> ControlState::restore(const std::string &Bytes) {
  if (Bytes.empty())
    return ControlState();
  absl::StatusOr<ControlState> Result = Network::decode<ControlState>(Bytes);
  // Earlier releases, and groups at an earlier level, write only the first
  // members.
  const std::string NoServerEnds = snapshotEndUnknownAt(ProtocolLevel{0});
  const std::string NoRefusals = Network::encode(std::vector<Refusal>());
  for (const std::string &Missing : {snapshotEndUnknownAt(ServerEndsLevel),
                                     NoServerEnds, NoRefusals + NoServerEnds}) {
    if (Result.ok())
      break;
    if (auto Older = Network::decode<ControlState>(Bytes + Missing); Older.ok())
      return Older;
  }
  return Result;
}

} // namespace State
