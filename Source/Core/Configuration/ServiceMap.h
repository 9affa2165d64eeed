#ifndef SYCAMOREREACH_CONFIGURATION_SERVICEMAP_H
#define SYCAMOREREACH_CONFIGURATION_SERVICEMAP_H

#include "Common/Ids.h"
#include "Common/Time.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Configuration {

using TeamName = Common::StrongId<struct TeamNameTag>;

/// How often a request of a route may be run.
enum class RouteKind {
  /// Running it again does no harm.
  Idempotent,
  /// At most once for each request of a caller.
  AtMostOnce,
  /// Answered by a stream of events; at most once unless it is resumable.
  Streamed,
};

struct WeightedService {
  Common::ServiceName Service;
  std::uint32_t Weight = 1;
};

/// What is served under one host and path prefix.
struct Route {
  std::string Name;
  std::string Host;
  std::string PathPrefix;
  RouteKind Kind = RouteKind::AtMostOnce;
  /// A broken stream may go on at another server after its last event.
  bool Resumable = false;
  Common::Duration Timeout{};
  /// Time to a whole answer, or to a stream's first event.
  Common::Duration Target{};
  /// Longest pause between the events of a stream.
  Common::Duration MaxEventGap{};
  /// 0 is the most urgent.
  std::uint32_t Priority = 0;
  std::vector<WeightedService> Services;
  std::uint32_t MaxAttempts = 1;
  /// Needs no key.
  bool Public = false;
  /// Its requests carry prompt prefixes.
  bool PrefixAffinity = false;

  bool isIdempotent() const {
    return this->Kind == RouteKind::Idempotent ||
           (this->Kind == RouteKind::Streamed && this->Resumable);
  }
};

/// The callers of one team and what they may use.
struct Team {
  TeamName Name;
  std::vector<std::string> Keys;
  std::optional<std::uint32_t> Priority;
  /// Whether requests cost their tokens; else each costs the same.
  bool CountsTokens = false;
  /// Tokens a second; 0 for no limit.
  double TokenRate = 0;
  double TokenBurst = 0;
  /// What a request without a token count costs.
  double PlainRequestTokens = 0;
};

/// A model engine as its service declares it.
struct EngineProperties {
  std::uint32_t Slots = 0;
  std::uint64_t CacheTokens = 0;
  std::uint64_t CacheBytesPerToken = 0;
  /// Tokens in one event of a stream.
  std::uint32_t TokensPerEvent = 1;
};

/// How many servers of a service may be ordered in a data centre.
struct ScalingBounds {
  std::uint32_t MinServers = 0;
  std::uint32_t MaxServers = 0;
  Common::Duration StartupTime{};
  /// Price of a reclaimable server as a share of the other kind's; 1 when
  /// there are none.
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

/// What a caller may send, and how long it may take.
struct RequestLimits {
  std::size_t MaxHeaderBytes = 16u << 10;
  std::size_t MaxBodyBytes = 4u << 20;
  Common::Duration HeaderTimeout = std::chrono::seconds(3);
  Common::Duration IdleTimeout = std::chrono::seconds(15);
};

/// The parts of a whole declaration before they are checked together.
struct ServiceMapParts {
  Common::ConfigurationVersion Version;
  std::vector<Route> Routes;
  std::vector<ServiceEntry> Services;
  std::vector<Team> Teams;
  RequestLimits Limits;
};

/// A whole declaration of routes, services and teams under the operator's
/// version. It never changes after it was made.
class ServiceMap {
public:
  /// InvalidArgument names the first fault and what to write instead.
  static absl::StatusOr<ServiceMap> create(ServiceMapParts Parts);

  Common::ConfigurationVersion version() const { return this->Parts.Version; }
  /// The route of the host whose prefix is the longest that begins Path.
  const Route *route(const std::string &Host, const std::string &Path) const;
  /// The team that holds Key.
  const Team *findTeamByKey(const std::string &Key) const;
  const Team *team(const TeamName &Name) const;
  const ServiceEntry *service(const Common::ServiceName &Name) const;
  /// Without teams no request needs a key.
  /// Where a request stands among all that may be asked, from 0, the most
  /// urgent, to RankCount - 1. A team's own priority goes before that of the
  /// route, which decides between requests that are equal so far.
  std::uint32_t rank(const Route &Of, const Team *By) const;
  static constexpr std::uint32_t RankCount = 10;
  bool requiresKeys() const { return !this->Parts.Teams.empty(); }

  const std::vector<Route> &routes() const { return this->Parts.Routes; }
  const std::vector<ServiceEntry> &services() const {
    return this->Parts.Services;
  }
  const std::vector<Team> &teams() const { return this->Parts.Teams; }
  const RequestLimits &limits() const { return this->Parts.Limits; }

private:
  explicit ServiceMap(ServiceMapParts Parts);

  using Precedence = std::pair<std::uint32_t, std::uint32_t>;
  static Precedence precedenceOf(const Route &Of, const Team *By);

  ServiceMapParts Parts;
  /// All that routes and teams can make, the most urgent first.
  std::vector<Precedence> Precedences;
  /// Host and prefix, joined by a line break, to the index of the route.
  std::unordered_map<std::string, std::size_t> RouteIndexes;
  std::unordered_map<std::string, std::size_t> TeamIndexes;
};

} // namespace Configuration

#endif
