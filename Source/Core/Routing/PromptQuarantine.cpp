#include "Routing/PromptQuarantine.h"

#include <algorithm>

namespace Routing {

void PromptQuarantine::recordLostRuns(const ServerIncarnation &Server,
                                      const std::vector<Common::CauseSet> &Runs,
                                      Common::TimePoint Now) {
  for (const Common::CauseSet &Each : Runs)
    this->Evidence.recordLostRun(Server, Each, Now);
  this->Suspects = this->Evidence.suspects();
}

void PromptQuarantine::recordOwnSurvival(const Common::CauseSet &Parts,
                                         Common::TimePoint BegunAt) {
  for (const Common::CauseHash Each : Parts) {
    if (std::find(this->Suspects.begin(), this->Suspects.end(), Each) ==
        this->Suspects.end())
      continue;
    this->recordSurvival({Each, BegunAt});
    Common::TimePoint &Newest =
        this->Unreported.try_emplace(Each, BegunAt).first->second;
    Newest = std::max(Newest, BegunAt);
  }
}

void PromptQuarantine::recordSurvival(const Survival &Reported) {
  this->Evidence.recordSurvival(Reported.Part, Reported.BegunAt);
  // What was refused together with the part is found again without it.
  std::erase_if(this->Refusals, [&](const auto &Each) {
    return Common::includesCauses(Each.first, {Reported.Part}) &&
           Reported.BegunAt > Each.second.FirstCrashAt;
  });
}

std::vector<PromptQuarantine::Survival> PromptQuarantine::takeSurvivals() {
  std::vector<Survival> Result;
  for (const auto &[Part, BegunAt] : this->Unreported)
    Result.push_back({Part, BegunAt});
  this->Unreported.clear();
  return Result;
}

void PromptQuarantine::update(const CrashAttribution::LastHeardOf &HeardAt,
                              Common::Duration RefuseFor,
                              Common::TimePoint Now) {
  this->Evidence.removeExpired(Now);
  if (this->Evidence.discardDisproved(HeardAt))
    std::erase_if(this->Refusals, [&](const auto &Each) {
      return !this->Evidence.supports(Each.first);
    });
  std::erase_if(this->Refusals,
                [Now](const auto &Each) { return Now >= Each.second.Until; });
  std::vector<Common::CauseSet> Refused;
  for (const auto &Each : this->Refusals)
    Refused.push_back(Each.first);
  for (const CrashAttribution::Cause &Each :
       this->Evidence.findCauses(Refused, Now))
    this->Refusals[Each.Parts] = {Each.FirstCrashAt, Now + RefuseFor};
  this->Suspects = this->Evidence.suspects();
}

bool PromptQuarantine::isRefused(const Common::CauseSet &Parts,
                                 Common::TimePoint Now) const {
  return std::any_of(this->Refusals.begin(), this->Refusals.end(),
                     [&](const auto &Each) {
                       return Now < Each.second.Until &&
                              Common::includesCauses(Parts, Each.first);
                     });
}

} // namespace Routing
