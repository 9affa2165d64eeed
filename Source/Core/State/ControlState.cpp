#include "State/ControlState.h"

#include "Network/Codec.h"

#include <algorithm>
#include <utility>

namespace State {

CommandEffect ControlState::apply(const ControlCommand &Command) {
  const bool TookEffect = std::visit(
      [this](const auto &Each) { return this->applyCommand(Each); }, Command);
  return TookEffect ? CommandEffect::Applied : CommandEffect::Ignored;
}

bool ControlState::applyCommand(const DeclareCommand &Command) {
  if (this->hasDeclaration() && Command.Version <= this->Version)
    return false;
  this->Version = Command.Version;
  this->Document = Command.Document;
  return true;
}

bool ControlState::applyCommand(const CorrectVersionCommand &Command) {
  if (this->Version != Command.Stored || Command.Corrected >= this->Version)
    return false;
  this->Version = Command.Corrected;
  return true;
}

bool ControlState::applyCommand(const RecordUsageCommand &Command) {
  // The first counts recorded for a window are final; later commands for the
  // same window have no effect.
  const bool Inserted =
      this->Usage.emplace(Command.Window, WindowUsage{Command.Counts, false})
          .second;
  const std::uint64_t Newest = this->Usage.rbegin()->first.Value;
  std::erase_if(this->Usage, [Newest](const auto &Each) {
    return Each.first.Value + RetainedWindows < Newest;
  });
  return Inserted;
}

bool ControlState::applyCommand(const MarkUsageReportedCommand &Command) {
  const auto Found = this->Usage.find(Command.Window);
  if (Found == this->Usage.end())
    return false;
  return !std::exchange(Found->second.Reported, true);
}

bool ControlState::applyCommand(const RefuseCommand &Command) {
  Refusal Added{Command.Causes};
  for (const Refusal &Each : this->Refusals) {
    if (Common::includesCauses(Command.Causes, Each.Causes))
      return false;
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
  return true;
}

bool ControlState::applyCommand(const EndRefusalCommand &Command) {
  return std::erase_if(this->Refusals, [&](const Refusal &Each) {
           return Each.Causes == Command.Causes;
         }) != 0;
}

bool ControlState::applyCommand(const ProbeRefusalCommand &Command) {
  bool Counted = false;
  for (Refusal &Each : this->Refusals)
    if (Each.Causes == Command.Causes && Each.Probes == Command.Number) {
      ++Each.Probes;
      Counted = true;
    }
  return Counted;
}

bool ControlState::applyCommand(const RaiseProtocolLevelCommand &Command) {
  if (Command.Level <= this->Level)
    return false;
  this->Level = Command.Level;
  return true;
}

bool ControlState::applyCommand(const RecordServerEndsCommand &Command) {
  bool Recorded = false;
  for (const Membership::ServerEnd &Each : Command.Ends)
    Recorded = this->recordServerEnd(Each) || Recorded;
  return Recorded;
}

bool ControlState::recordServerEnd(const Membership::ServerEnd &End) {
  if (this->hasServerEnd(End))
    return false;
  this->Ends[End.Id] = RecordedEnd{End, ++this->LastEndNumber};
  if (this->Ends.size() > MaxServerEnds)
    this->Ends.erase(std::min_element(
        this->Ends.begin(), this->Ends.end(), [](const auto &A, const auto &B) {
          return A.second.Number < B.second.Number;
        }));
  return true;
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
