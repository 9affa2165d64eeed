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
struct ServerLife {
  Common::BackendServerId BackendServer;
  Common::Incarnation Life;
  auto operator<=>(const ServerLife &) const = default;
};

/// Finds requests that end the servers which run them. What ran at a server
/// when it failed is suspect; what was there in the failures of two servers
/// is refused for a time.
class Quarantine {
public:
  static constexpr std::size_t FailuresToRefuse = 2;
  /// A suspicion without further failures ends after this time.
  static constexpr Common::Duration SuspicionLength = std::chrono::minutes(10);
  static constexpr std::size_t MaxTracked = 100'000;
  static constexpr std::size_t MaxHarmless = 16'384;

  /// Returns the fingerprints that are refused from now on.
  std::vector<Fingerprint> serverFailed(const ServerLife &Server,
                                        const std::vector<Fingerprint> &Ran,
                                        Common::Duration RefuseFor,
                                        Common::TimePoint Now);
  /// A request was answered: it is harmless.
  void completed(Fingerprint Request);
  /// Whether a request with this content was answered lately.
  bool harmless(Fingerprint Request) const {
    return this->Harmless.count(Request) != 0;
  }
  bool suspect(Fingerprint Request, Common::TimePoint Now) const;
  bool refused(Fingerprint Request, Common::TimePoint Now) const;
  void forgetOld(Common::TimePoint Now);

private:
  struct Record {
    std::set<ServerLife> Failures;
    Common::TimePoint LastFailure;
    Common::TimePoint RefusedUntil;
  };
  std::map<Fingerprint, Record> Records;
  std::set<Fingerprint> Harmless;
  /// Oldest first.
  std::deque<Fingerprint> HarmlessOrder;
};

} // namespace Routing

#endif
