#ifndef SYCAMOREREACH_ROUTING_QUARANTINE_H
#define SYCAMOREREACH_ROUTING_QUARANTINE_H

#include "Common/Ids.h"
#include "Common/Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <vector>

namespace Routing {

/// Hash of service and request content.
using Fingerprint = std::uint64_t;

/// One life of a backend server.
struct ServerIncarnation {
  Common::BackendServerId BackendServer;
  Common::Incarnation Incarnation;
  auto operator<=>(const ServerIncarnation &) const = default;
};

/// Finds requests that end the servers which run them. What ran at a server
/// when it failed is suspect; what was there in the failures of two servers
/// is refused for a time.
class Quarantine {
public:
  static constexpr std::size_t FailuresToRefuse = 2;
  /// A suspicion without further failures ends after this time.
  static constexpr Common::Duration SuspicionDuration =
      std::chrono::minutes(10);
  static constexpr std::size_t MaxRecords = 100'000;
  static constexpr std::size_t MaxSafe = 16'384;

  /// Returns the fingerprints that are refused from now on.
  std::vector<Fingerprint>
  recordServerFailure(const ServerIncarnation &Server,
                      const std::vector<Fingerprint> &Contents,
                      Common::Duration RefuseFor, Common::TimePoint Now);
  /// A request was answered: it is harmless.
  void recordSuccess(Fingerprint Request);
  /// Whether a request with this content was answered lately.
  bool isSafe(Fingerprint Request) const {
    return this->Safe.count(Request) != 0;
  }
  bool isSuspect(Fingerprint Request, Common::TimePoint Now) const;
  bool isRefused(Fingerprint Request, Common::TimePoint Now) const;
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
