#ifndef SYCAMOREREACH_STATE_LEASE_H
#define SYCAMOREREACH_STATE_LEASE_H

#include "Common/Ids.h"
#include "Common/Time.h"

#include <cstdint>
#include <map>
#include <string>

namespace State {

using LeaseName = Common::StrongId<struct LeaseNameTag>;

/// A lease as it stands in the replicated state.
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
  /// The grant that this one follows; 0 for the first.
  Common::FencingNumber Previous;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Name, this->Holder, this->DurationMilliseconds, this->Previous);
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
  /// Granted when nobody was granted the lease after Command.Previous. The
  /// leader proposes it only when LeaseGuard lets it.
  LeaseResult apply(const AcquireLeaseCommand &Command,
                    Common::FencingNumber LogIndex);
  LeaseResult apply(const RenewLeaseCommand &Command);

  const std::map<LeaseName, Lease> &leases() const { return this->Leases; }

  template <class Archive> void serialize(Archive &Ar) { Ar(this->Leases); }

private:
  std::map<LeaseName, Lease> Leases;
};

/// Keeps a state leader from granting a lease that its last holder may still
/// believe in. It measures on this process's monotonic clock from the last
/// sign of the holder that was applied here, so wall clocks play no part.
class LeaseGuard {
public:
  /// Most that two monotonic clocks are allowed to differ over one lease.
  static constexpr double MaxDrift = 0.05;

  /// Call when a grant or renewal is applied.
  void observed(const LeaseName &Name, Common::TimePoint Now);
  /// Call when this process starts to lead: silence before it says nothing.
  void startedLeading(Common::TimePoint Now);
  bool mayGrant(const LeaseName &Name, const Lease &Current,
                const Common::DaemonId &Asker, Common::TimePoint Now) const;

private:
  std::map<LeaseName, Common::TimePoint> LastSign;
  Common::TimePoint LeadingSince;
};

/// The holder's side of a lease: valid by the holder's own clock, counted
/// from the moment the request for it was sent.
class HeldLease {
public:
  void granted(Common::TimePoint AskedAt, const Lease &Grant);
  void lost() { this->Held = false; }
  bool valid(Common::TimePoint Now) const;
  Common::FencingNumber fencing() const { return this->Fencing; }
  /// Asks for renewal after a third of the duration.
  bool wantsRenewal(Common::TimePoint Now) const;

private:
  bool Held = false;
  Common::FencingNumber Fencing;
  Common::TimePoint From;
  Common::Duration Length{};
};

} // namespace State

#endif
