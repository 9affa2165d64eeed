#include "Routing/Quarantine.h"

#include <algorithm>

namespace Routing {

std::vector<Fingerprint> Quarantine::recordServerFailure(
    const ServerIncarnation &Server, const std::vector<Fingerprint> &Contents,
    Common::Duration RefuseFor, Common::TimePoint Now) {
  std::vector<Fingerprint> NewlyRefused;
  for (const Fingerprint Content : Contents) {
    const bool Known = this->Records.count(Content) != 0;
    if (!Known && this->Records.size() >= MaxRecords)
      continue;
    Record &Entry = this->Records[Content];
    this->Safe.erase(Content);
    Entry.Failures.insert(Server);
    Entry.LastFailure = Now;
    if (Entry.Failures.size() < FailuresToRefuse)
      continue;
    if (Entry.RefusedUntil <= Now)
      NewlyRefused.push_back(Content);
    Entry.RefusedUntil = Now + RefuseFor;
  }
  return NewlyRefused;
}

void Quarantine::recordSuccess(Fingerprint Content) {
  const auto Found = this->Records.find(Content);
  const bool OnlySuspect = Found != this->Records.end() &&
                           Found->second.Failures.size() < FailuresToRefuse;
  if (OnlySuspect)
    this->Records.erase(Found);
  if (!this->Safe.insert(Content).second)
    return;
  this->SafeOrder.push_back(Content);
  if (this->SafeOrder.size() <= MaxSafeContents)
    return;
  this->Safe.erase(this->SafeOrder.front());
  this->SafeOrder.pop_front();
}

bool Quarantine::isSuspect(Fingerprint Content, Common::TimePoint Now) const {
  const auto Found = this->Records.find(Content);
  return Found != this->Records.end() &&
         Now - Found->second.LastFailure < SuspicionDuration;
}

bool Quarantine::isRefused(Fingerprint Content, Common::TimePoint Now) const {
  const auto Found = this->Records.find(Content);
  return Found != this->Records.end() && Now < Found->second.RefusedUntil;
}

void Quarantine::removeExpired(Common::TimePoint Now) {
  std::erase_if(this->Records, [&](const auto &Entry) {
    return Now >= Entry.second.RefusedUntil &&
           Now - Entry.second.LastFailure >= SuspicionDuration;
  });
}

} // namespace Routing
