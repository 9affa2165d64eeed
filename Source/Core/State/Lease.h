#ifndef SYCAMOREREACH_STATE_LEASE_H
#define SYCAMOREREACH_STATE_LEASE_H

#include "Common/Ids.h"
#include "Common/Time.h"

#include <cstdint>
#include <map>
#include <string>

namespace State {

using LeaseName = Common::StrongId<struct LeaseNameTag>;

/// A lease in the replicated state.
struct Lease {
  Common::DaemonId Holder;
  /// The log index of the grant.
  Common::FencingNumber Fencing;
  std::uint64_t DurationMilliseconds = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Holder, this->Fencing, this->DurationMilliseconds);
  }
};

struct AcquireLeaseCommand {
  LeaseName Name;
  Common::DaemonId Holder;
  std::uint64_t DurationMilliseconds = 0;
  /// The lease's fencing number when the leader proposed the command; set by
  /// the leader, 0 if the lease was never granted.
  Common::FencingNumber PreviousFencing;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Name, this->Holder, this->DurationMilliseconds,
       this->PreviousFencing);
  }
};

struct RenewLeaseCommand {
  LeaseName Name;
  Common::DaemonId Holder;
  Common::FencingNumber Fencing;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Name, this->Holder, this->Fencing);
  }
};

struct LeaseResult {
  bool Granted = false;
  Lease Current;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Granted, this->Current);
  }
};

/// The replicated leases.
class LeaseTable {
public:
  /// Grants the lease if its fencing number still equals
  /// Command.PreviousFencing. Otherwise Granted is true only if the requester
  /// already holds it. The leader proposes the command only if
  /// LeaseGuard::canGrant() allows it.
  LeaseResult apply(const AcquireLeaseCommand &Command,
                    Common::FencingNumber LogIndex);
  LeaseResult apply(const RenewLeaseCommand &Command);

  const std::map<LeaseName, Lease> &leases() const { return this->Leases; }

  template <class Archive> void serialize(Archive &Ar) { Ar(this->Leases); }

private:
  std::map<LeaseName, Lease> Leases;
};

/// Prevents the leader from granting a lease while its last holder may still
/// consider it valid. The lease duration is measured on this process's
/// monotonic clock from the last grant or renewal applied here; wall clocks are
/// not used.
class LeaseGuard {
public:
  /// Maximum relative drift between two monotonic clocks during one lease.
  static constexpr double MaxClockDrift = 0.05;

  /// Must be called when an AcquireLeaseCommand, whatever its result, or a
  /// successful renewal is applied. A call too many only delays the next grant.
  void recordGrant(const LeaseName &Name, Common::TimePoint Now);
  /// Must be called when this process becomes leader. A missing renewal before
  /// that time does not show that the lease has expired.
  void onLeadershipGained(Common::TimePoint Now);
  bool canGrant(const LeaseName &Name, const Lease &Current,
                const Common::DaemonId &Requester, Common::TimePoint Now) const;

private:
  std::map<LeaseName, Common::TimePoint> LastGrant;
  Common::TimePoint LeadingSince;
};

/// A lease from its holder's point of view. Its duration is measured on the
/// holder's clock from the time at which the request for it was sent.
class HeldLease {
public:
  void onGranted(Common::TimePoint RequestedAt, const Lease &Grant);
  void onLost() { this->Held = false; }
  bool isValid(Common::TimePoint Now) const;
  Common::FencingNumber fencing() const { return this->Fencing; }
  /// Returns true after a third of the duration.
  bool needsRenewal(Common::TimePoint Now) const;

private:
  bool Held = false;
  Common::FencingNumber Fencing;
  Common::TimePoint ValidFrom;
  Common::Duration Duration{};
};

} // namespace State

#endif
