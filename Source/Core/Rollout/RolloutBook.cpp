#include "Rollout/RolloutBook.h"

#include <algorithm>

namespace Rollout {

bool RolloutBook::apply(const BeginRolloutCommand &Command) {
  if (Command.Number != this->nextNumber())
    return false;
  ServiceRollout &Rollout = this->Services[Command.Service];
  if (Rollout.Number.Value != 0 && Rollout.isRunning())
    return false;
  this->LastNumber = Command.Number;
  Rollout.Number = Command.Number;
  Rollout.Target = Command.Target;
  Rollout.DurationMilliseconds = Command.DurationMilliseconds;
  Rollout.BegunAt = Command.BegunAt;
  Rollout.Current = Phase::Waiting;
  Rollout.Cause.clear();
  Rollout.Figures.clear();
  // A version that was rolled back may be ordered again.
  std::erase(Rollout.RefusedVersions, Command.Target);
  if (Rollout.OnlyVersion == Command.Target) {
    Rollout.Current = Phase::Completed;
    Rollout.Cause = "only_version_already";
  }
  return true;
}

bool RolloutBook::apply(const AdvanceRolloutCommand &Command) {
  ServiceRollout *Rollout = this->running(Command.Service, Command.Number);
  if (!Rollout || Command.To >= Phase::Completed ||
      Command.To <= Rollout->Current)
    return false;
  Rollout->Current = Command.To;
  return true;
}

bool RolloutBook::apply(const EndRolloutCommand &Command) {
  ServiceRollout *Rollout = this->running(Command.Service, Command.Number);
  if (!Rollout)
    return false;
  Rollout->Cause = Command.Cause;
  Rollout->Figures = Command.Figures;
  if (Command.Completed) {
    Rollout->Current = Phase::Completed;
    Rollout->OnlyVersion = Rollout->Target;
    Rollout->RefusedVersions.clear();
    return true;
  }
  Rollout->Current = Phase::RolledBack;
  Rollout->RefusedVersions.push_back(Rollout->Target);
  if (Rollout->RefusedVersions.size() > MaxRefusedVersions)
    Rollout->RefusedVersions.erase(Rollout->RefusedVersions.begin());
  return true;
}

const ServiceRollout *
RolloutBook::find(const Common::ServiceName &Service) const {
  const auto Found = this->Services.find(Service);
  return Found == this->Services.end() ? nullptr : &Found->second;
}

ServiceRollout *RolloutBook::running(const Common::ServiceName &Service,
                                     RolloutNumber Number) {
  const auto Found = this->Services.find(Service);
  if (Found == this->Services.end() || Found->second.Number != Number ||
      !Found->second.isRunning())
    return nullptr;
  return &Found->second;
}

} // namespace Rollout
