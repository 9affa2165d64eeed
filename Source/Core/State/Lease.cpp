#include "State/Lease.h"

#include <algorithm>

namespace State {

namespace {

Common::Duration durationOf(const Lease &Each) {
  return std::chrono::milliseconds(Each.DurationMilliseconds);
}

} // namespace

LeaseResult LeaseTable::apply(const AcquireLeaseCommand &Command,
                              Common::FencingNumber LogIndex) {
  Lease &Current = this->Leases[Command.Name];
  if (Current.Fencing != Command.PreviousFencing)
    return {Current.Holder == Command.Holder, Current};
  Current.Holder = Command.Holder;
  Current.Fencing = LogIndex;
  Current.DurationMilliseconds = Command.DurationMilliseconds;
  return {true, Current};
}

LeaseResult LeaseTable::apply(const RenewLeaseCommand &Command) {
  const auto Found = this->Leases.find(Command.Name);
  if (Found == this->Leases.end())
    return {};
  const bool Current = Found->second.Holder == Command.Holder &&
                       Found->second.Fencing == Command.Fencing;
  return {Current, Found->second};
}

void LeaseGuard::recordGrant(const LeaseName &Name, Common::TimePoint Now) {
  this->LastGrant[Name] = Now;
}

void LeaseGuard::onLeadershipGained(Common::TimePoint Now) {
  this->LeadingSince = Now;
}

bool LeaseGuard::canGrant(const LeaseName &Name, const Lease &Current,
                          const Common::DaemonId &Requester,
                          Common::TimePoint Now) const {
  if (Current.Fencing.Value == 0 || Current.Holder == Requester)
    return true;
  const auto Found = this->LastGrant.find(Name);
  const Common::TimePoint Since =
      Found == this->LastGrant.end()
          ? this->LeadingSince
          : std::max(Found->second, this->LeadingSince);
  const auto Wait = durationOf(Current) * (1.0 + MaxClockDrift);
  return Now - Since >= std::chrono::duration_cast<Common::Duration>(Wait);
}

void HeldLease::onGranted(Common::TimePoint RequestedAt, const Lease &Grant) {
  this->Held = true;
  this->Fencing = Grant.Fencing;
  this->ValidFrom = RequestedAt;
  this->Duration = durationOf(Grant);
}

bool HeldLease::isValid(Common::TimePoint Now) const {
  return this->Held && Now < this->ValidFrom + this->Duration;
}

bool HeldLease::needsRenewal(Common::TimePoint Now) const {
  return this->Held && Now >= this->ValidFrom + this->Duration / 3;
}

} // namespace State
