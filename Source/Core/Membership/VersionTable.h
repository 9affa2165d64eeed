#ifndef SYCAMOREREACH_MEMBERSHIP_VERSIONTABLE_H
#define SYCAMOREREACH_MEMBERSHIP_VERSIONTABLE_H

#include "Common/Ids.h"
#include "Common/Time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace Membership {

/// Software versions of the backend servers' incarnations. A version may arrive
/// before the record of its incarnation, repeatedly, and out of order.
class VersionTable {
public:
  /// Returns whether the version of this incarnation was unknown. An empty
  /// version is ignored.
  bool set(const Common::BackendServerId &Id, std::uint64_t StartedAt,
           const Common::SoftwareVersion &Version, Common::TimePoint Now);
  std::optional<Common::SoftwareVersion> find(const Common::BackendServerId &Id,
                                              std::uint64_t StartedAt) const;
  /// Removes the versions of servers that are not known and whose version was
  /// received longer than RetentionTime ago.
  void removeExpired(
      Common::TimePoint Now, Common::Duration RetentionTime,
      const std::function<bool(const Common::BackendServerId &)> &IsKnown);

private:
  /// A late message of an earlier incarnation must not displace the current
  /// one, and the next one may be announced before the current one has ended.
  static constexpr std::size_t IncarnationsPerServer = 2;

  struct Received {
    Common::SoftwareVersion Version;
    Common::TimePoint At;
  };
  /// By server, then by start time.
  std::map<Common::BackendServerId, std::map<std::uint64_t, Received>> Servers;
};

} // namespace Membership

#endif
