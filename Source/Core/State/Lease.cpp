#include "State/Lease.h"

#include <algorithm>

namespace State {

namespace {

Common::Duration lengthOf(const Lease &Each) {
  return std::chrono::milliseconds(Each.DurationMilliseconds);
}

} // namespace

LeaseResult LeaseTable::apply(const AcquireLeaseCommand &Command,
                              Common::FencingNumber LogIndex) {
  Lease &Current = this->Leases[Command.Name];
  if (Current.Fencing != Command.Previous)
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

void LeaseGuard::observed(const LeaseName &Name, Common::TimePoint Now) {
  this->LastSign[Name] = Now;
}

void LeaseGuard::startedLeading(Common::TimePoint Now) {
  this->LeadingSince = Now;
}

bool LeaseGuard::mayGrant(const LeaseName &Name, const Lease &Current,
                          const Common::DaemonId &Asker,
                          Common::TimePoint Now) const {
  if (Current.Fencing.Value == 0 || Current.Holder == Asker)
    return true;
  const auto Sign = this->LastSign.find(Name);
  const Common::TimePoint Since =
      Sign == this->LastSign.end() ? this->LeadingSince
                                   : std::max(Sign->second, this->LeadingSince);
  const auto Wait = lengthOf(Current) * (1.0 + MaxDrift);
  return Now - Since >= std::chrono::duration_cast<Common::Duration>(Wait);
}

void HeldLease::granted(Common::TimePoint AskedAt, const Lease &Grant) {
  this->Held = true;
  this->Fencing = Grant.Fencing;
  this->From = AskedAt;
  this->Length = lengthOf(Grant);
}

bool HeldLease::valid(Common::TimePoint Now) const {
  return this->Held && Now < this->From + this->Length;
}

bool HeldLease::wantsRenewal(Common::TimePoint Now) const {
  return this->Held && Now >= this->From + this->Length / 3;
}

} // namespace State
