#ifndef SYCAMOREREACH_CONFIGURATION_SERVICEMAP_H
#define SYCAMOREREACH_CONFIGURATION_SERVICEMAP_H

#include "Common/Ids.h"
#include "Common/Time.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Configuration {

using TeamName = Common::StrongId<struct TeamNameTag>;

/// How often the requests of a route may be executed.
enum class RouteKind {
  /// Safe to execute repeatedly.
  Idempotent,
  /// Executed at most once per request of a caller.
  AtMostOnce,
  /// Answered by an event stream; executed at most once unless resumable.
  Streamed,
};

struct WeightedService {
  Common::ServiceName Service;
  std::uint32_t Weight = 1;
};

/// Requests with one HTTP Host header and path prefix, and how they are served.
struct Route {
  std::string Name;
  /// Value of the HTTP Host header.
  std::string HostHeader;
  std::string PathPrefix;
  RouteKind Kind = RouteKind::AtMostOnce;
  /// A broken stream can resume at another server after its last event.
  bool Resumable = false;
  Common::Duration Timeout{};
  /// Target time to the complete response or the first event of a stream.
  Common::Duration Target{};
  /// Maximum time between two events of a stream.
  Common::Duration MaxEventGap{};
  /// 0 is the most urgent.
  std::uint32_t Priority = 0;
  std::vector<WeightedService> Services;
  std::uint32_t MaxAttempts = 1;
  /// Requests need no API key.
  bool Public = false;
  /// Requests carry prompt prefixes for cache affinity.
  bool PrefixAffinity = false;

  /// Whether a request may be executed again after a failed attempt.
  bool isIdempotent() const {
    return this->Kind == RouteKind::Idempotent ||
           (this->Kind == RouteKind::Streamed && this->Resumable);
  }
};

/// A team of callers with shared API keys and a shared allowance.
struct Team {
  TeamName Name;
  std::vector<std::string> Keys;
  std::optional<std::uint32_t> Priority;
  /// Whether requests are charged by their tokens instead of a fixed cost.
  bool CountsTokens = false;
  /// Allowance in tokens per second; 0 for no limit.
  double TokenRate = 0;
  double TokenBurst = 0;
  /// Cost in tokens of a request without a token count.
  double PlainRequestTokens = 0;
};

/// Properties of the model engine of a service.
struct EngineProperties {
  std::uint32_t Slots = 0;
  /// Capacity of the key-value cache in tokens.
  std::uint64_t CacheTokens = 0;
  std::uint64_t CacheBytesPerToken = 0;
  /// Number of tokens in one event of a stream.
  std::uint32_t TokensPerEvent = 1;
};

/// Limits on the number of servers of a service in a data centre, and prices.
struct ScalingBounds {
  std::uint32_t MinServers = 0;
  std::uint32_t MaxServers = 0;
  Common::Duration StartupTime{};
  /// Price of a reclaimable server relative to an on-demand one; 1 if there are
  /// no reclaimable servers.
  double ReclaimablePriceRatio = 1;
  std::map<Common::DataCentreId, double> Prices;
};

struct ServiceEntry {
  Common::ServiceName Name;
  std::string HealthPath;
  std::uint32_t MaxConnections = 0;
  std::optional<EngineProperties> Engine;
  std::optional<ScalingBounds> Scaling;
};

/// Limits on the size and duration of requests.
struct RequestLimits {
  std::size_t MaxHeaderBytes = 16u << 10;
  std::size_t MaxBodyBytes = 4u << 20;
  Common::Duration HeaderTimeout = std::chrono::seconds(3);
  Common::Duration IdleTimeout = std::chrono::seconds(15);
};

/// The parts of a service map before validation.
struct ServiceMapParts {
  Common::ConfigurationVersion Version;
  std::vector<Route> Routes;
  std::vector<ServiceEntry> Services;
  std::vector<Team> Teams;
  /// Requests need an API key even if Teams is empty, as when an operator
  /// removes the last team.
  bool KeysRequired = false;
  RequestLimits Limits;
};

/// The gateway's configuration: routes, services, teams and request limits.
/// Immutable and replaced as a whole; the operator assigns its version.
/// Independent of Declaration.
class ServiceMap {
public:
  /// Validates Parts. Returns InvalidArgument with the first error and its
  /// remedy.
  static absl::StatusOr<ServiceMap> create(ServiceMapParts Parts);

  Common::ConfigurationVersion version() const { return this->Parts.Version; }
  /// Finds the route of the Host header with the longest path prefix of Path;
  /// null if there is none.
  const Route *route(const std::string &Host, const std::string &Path) const;
  /// Finds the team that owns the API key; null if there is none. An empty key
  /// stands for a request without one, and is nobody's.
  const Team *findTeamByKey(const std::string &Key) const;
  const Team *team(const TeamName &Name) const;
  const ServiceEntry *service(const Common::ServiceName &Name) const;
  /// Scheduling rank of a request; 0 is the most urgent. All pairs of (team
  /// priority, or route priority if the team has none; route priority) are
  /// sorted and numbered. If there are more than RankCount, the numbers are
  /// scaled down to 0 to RankCount - 1, so that neighbouring pairs share a
  /// rank.
  std::uint32_t rank(const Route &Matched, const Team *Sender) const;
  static constexpr std::uint32_t RankCount = 10;
  /// Whether requests of routes that are not public need an API key.
  bool requiresKeys() const {
    return this->Parts.KeysRequired || !this->Parts.Teams.empty();
  }

  const std::vector<Route> &routes() const { return this->Parts.Routes; }
  const std::vector<ServiceEntry> &services() const {
    return this->Parts.Services;
  }
  std::set<Common::ServiceName> serviceNames() const;
  const std::vector<Team> &teams() const { return this->Parts.Teams; }
  const RequestLimits &limits() const { return this->Parts.Limits; }

private:
  explicit ServiceMap(ServiceMapParts Parts);

  using PriorityPair = std::pair<std::uint32_t, std::uint32_t>;
  static PriorityPair priorityPair(const Route &Matched, const Team *Sender);

  ServiceMapParts Parts;
  /// All pairs that occur, the most urgent first.
  std::vector<PriorityPair> PriorityPairs;
  /// Maps host and path prefix, joined by a line break, to the route index.
  std::unordered_map<std::string, std::size_t> RouteIndexes;
  /// Maps API keys to team indexes.
  std::unordered_map<std::string, std::size_t> TeamIndexes;
};

} // namespace Configuration

#endif
