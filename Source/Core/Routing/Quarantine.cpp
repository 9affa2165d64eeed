#include "Routing/Quarantine.h"

#include <algorithm>

namespace Routing {

std::vector<Fingerprint> Quarantine::recordServerFailure(
    const ServerIncarnation &Server, const std::vector<Fingerprint> &Contents,
    Common::Duration RefuseFor, Common::TimePoint Now) {
  std::vector<Fingerprint> NewlyRefused;
  for (const Fingerprint Request : Contents) {
    const bool Known = this->Records.count(Request) != 0;
    if (!Known && this->Records.size() >= MaxRecords)
      continue;
    Record &Entry = this->Records[Request];
    this->Safe.erase(Request);
    Entry.Failures.insert(Server);
    Entry.LastFailure = Now;
    if (Entry.Failures.size() < FailuresToRefuse)
      continue;
    if (Entry.RefusedUntil <= Now)
      NewlyRefused.push_back(Request);
    Entry.RefusedUntil = Now + RefuseFor;
  }
  return NewlyRefused;
}

void Quarantine::recordSuccess(Fingerprint Request) {
  const auto Found = this->Records.find(Request);
  const bool OnlySuspect = Found != this->Records.end() &&
                           Found->second.Failures.size() < FailuresToRefuse;
  if (OnlySuspect)
    this->Records.erase(Found);
  if (!this->Safe.insert(Request).second)
    return;
  this->SafeOrder.push_back(Request);
  if (this->SafeOrder.size() <= MaxSafe)
    return;
  this->Safe.erase(this->SafeOrder.front());
  this->SafeOrder.pop_front();
}

bool Quarantine::isSuspect(Fingerprint Request, Common::TimePoint Now) const {
  const auto Found = this->Records.find(Request);
  return Found != this->Records.end() &&
         Now - Found->second.LastFailure < SuspicionDuration;
}

bool Quarantine::isRefused(Fingerprint Request, Common::TimePoint Now) const {
  const auto Found = this->Records.find(Request);
  return Found != this->Records.end() && Now < Found->second.RefusedUntil;
}

void Quarantine::removeExpired(Common::TimePoint Now) {
  std::erase_if(this->Records, [&](const auto &Entry) {
    return Now >= Entry.second.RefusedUntil &&
           Now - Entry.second.LastFailure >= SuspicionDuration;
  });
}

} // namespace Routing
