#include "Routing/Quarantine.h"

#include <algorithm>

namespace Routing {

std::vector<Fingerprint>
Quarantine::serverFailed(const ServerLife &Server,
                         const std::vector<Fingerprint> &Ran,
                         Common::Duration RefuseFor, Common::TimePoint Now) {
  std::vector<Fingerprint> NewlyRefused;
  for (const Fingerprint Request : Ran) {
    const bool Known = this->Records.count(Request) != 0;
    if (!Known && this->Records.size() >= MaxTracked)
      continue;
    Record &Each = this->Records[Request];
    this->Harmless.erase(Request);
    Each.Failures.insert(Server);
    Each.LastFailure = Now;
    if (Each.Failures.size() < FailuresToRefuse)
      continue;
    if (Each.RefusedUntil <= Now)
      NewlyRefused.push_back(Request);
    Each.RefusedUntil = Now + RefuseFor;
  }
  return NewlyRefused;
}

void Quarantine::completed(Fingerprint Request) {
  const auto Found = this->Records.find(Request);
  const bool OnlySuspect = Found != this->Records.end() &&
                           Found->second.Failures.size() < FailuresToRefuse;
  if (OnlySuspect)
    this->Records.erase(Found);
  if (!this->Harmless.insert(Request).second)
    return;
  this->HarmlessOrder.push_back(Request);
  if (this->HarmlessOrder.size() <= MaxHarmless)
    return;
  this->Harmless.erase(this->HarmlessOrder.front());
  this->HarmlessOrder.pop_front();
}

bool Quarantine::suspect(Fingerprint Request, Common::TimePoint Now) const {
  const auto Found = this->Records.find(Request);
  return Found != this->Records.end() &&
         Now - Found->second.LastFailure < SuspicionLength;
}

bool Quarantine::refused(Fingerprint Request, Common::TimePoint Now) const {
  const auto Found = this->Records.find(Request);
  return Found != this->Records.end() && Now < Found->second.RefusedUntil;
}

void Quarantine::forgetOld(Common::TimePoint Now) {
  std::erase_if(this->Records, [&](const auto &Each) {
    return Now >= Each.second.RefusedUntil &&
           Now - Each.second.LastFailure >= SuspicionLength;
  });
}

} // namespace Routing
