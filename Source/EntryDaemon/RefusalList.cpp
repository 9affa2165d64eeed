#include "EntryDaemon/RefusalList.h"

#include "Telemetry/LogEvents.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

namespace EntryDaemon {

namespace {

void logChanges(const std::vector<Common::CauseSet> &From,
                const std::vector<Common::CauseSet> &To, const char *Change) {
  for (const Common::CauseSet &Each : To) {
    if (std::find(From.begin(), From.end(), Each) != From.end())
      continue;
    const std::string Causes =
        absl::StrJoin(Each, ",", [](std::string *Out, Common::CauseHash Cause) {
          absl::StrAppend(Out, absl::Hex(Cause));
        });
    Telemetry::log(Telemetry::Events::RefusalKnown, Causes, Change);
  }
}

} // namespace

void RefusalList::replace(std::vector<Common::CauseSet> Refusals,
                          Common::TimePoint Now) {
  this->AnsweredAt = Now;
  logChanges(this->FromLeader, Refusals, "begins");
  logChanges(Refusals, this->FromLeader, "ends");
  this->FromLeader = std::move(Refusals);
  this->FromOwnEvidence.clear();
  this->OwnEvidence.removeExpired(Now);
}

void RefusalList::grantProbes(const std::vector<Common::CauseSet> &Refusals,
                              Common::TimePoint Now) {
  for (const Common::CauseSet &Each : Refusals)
    this->Probes[Each] = Now + ProbeDuration;
}

void RefusalList::checkOwnEvidence(Common::TimePoint Now) {
  if (Now - this->AnsweredAt <= LeaderTimeout ||
      Now - this->OwnEvidenceCheckedAt < OwnCheckPeriod)
    return;
  this->OwnEvidenceCheckedAt = Now;
  this->OwnEvidence.removeExpired(Now);
  std::vector<Common::CauseSet> Found;
  for (const auto &Each : this->OwnEvidence.findCauses(this->FromLeader, Now))
    Found.push_back(Each.Parts);
  logChanges(this->FromOwnEvidence, Found, "begins_without_leader");
  this->FromOwnEvidence = std::move(Found);
}

RefusalList::Decision RefusalList::check(const Common::CauseSet &Causes,
                                         Common::TimePoint Now) {
  this->checkOwnEvidence(Now);
  for (const Common::CauseSet &Each : this->FromOwnEvidence)
    if (Common::includesCauses(Causes, Each))
      return Decision::Refused;
  std::size_t Met = 0;
  const Common::CauseSet *LastMet = nullptr;
  for (const Common::CauseSet &Each : this->FromLeader) {
    if (!Common::includesCauses(Causes, Each))
      continue;
    ++Met;
    LastMet = &Each;
    this->Used.insert(Each);
  }
  if (Met == 0)
    return Decision::Allowed;
  const auto Granted = this->Probes.find(*LastMet);
  if (Met != 1 || Granted == this->Probes.end())
    return Decision::Refused;
  const bool Expired = Now >= Granted->second;
  this->Probes.erase(Granted);
  return Expired ? Decision::Refused : Decision::Probe;
}

std::vector<Common::CauseSet> RefusalList::takeUsed() {
  std::vector<Common::CauseSet> Result(this->Used.begin(), this->Used.end());
  this->Used.clear();
  return Result;
}

} // namespace EntryDaemon
