#ifndef SYCAMOREREACH_ROUTING_QUARANTINE_H
#define SYCAMOREREACH_ROUTING_QUARANTINE_H

#include "Common/Time.h"
#include "Routing/ServerIncarnation.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <vector>

namespace Routing {

/// Hash of a service name and a request's content.
using Fingerprint = std::uint64_t;

/// Detects requests that crash the servers which run them. Every request that
/// was running on a server when it failed becomes a suspect; a request that was
/// running during two failures (of different servers, or of one server before
/// and after a restart) is refused for a limited time.
class Quarantine {
public:
  static constexpr std::size_t FailuresToRefuse = 2;
  /// A request stops being a suspect after this time without further failures.
  static constexpr Common::Duration SuspicionDuration =
      std::chrono::minutes(10);
  static constexpr std::size_t MaxRecords = 100'000;
  static constexpr std::size_t MaxSafeContents = 16'384;

  /// Records that a server failed while it ran Contents. Returns the
  /// fingerprints that are refused from now on.
  std::vector<Fingerprint>
  recordServerFailure(const ServerIncarnation &Server,
                      const std::vector<Fingerprint> &Contents,
                      Common::Duration RefuseFor, Common::TimePoint Now);
  /// Records that a request was answered: it is safe, and no longer a suspect
  /// unless it was running during enough failures to be refused.
  void recordSuccess(Fingerprint Content);
  /// Whether a request with this content was answered, and none was running
  /// during a server failure since. At most MaxSafeContents contents are kept.
  bool isSafe(Fingerprint Content) const {
    return this->Safe.count(Content) != 0;
  }
  bool isSuspect(Fingerprint Content, Common::TimePoint Now) const;
  bool isRefused(Fingerprint Content, Common::TimePoint Now) const;
  void removeExpired(Common::TimePoint Now);

private:
  struct Record {
    std::set<ServerIncarnation> Failures;
    Common::TimePoint LastFailure;
    Common::TimePoint RefusedUntil;
  };
  std::map<Fingerprint, Record> Records;
  std::set<Fingerprint> Safe;
  /// Oldest first.
  std::deque<Fingerprint> SafeOrder;
};

} // namespace Routing

#endif
