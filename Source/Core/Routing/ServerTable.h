#ifndef SYCAMOREREACH_ROUTING_SERVERTABLE_H
#define SYCAMOREREACH_ROUTING_SERVERTABLE_H

#include "Common/Random.h"
#include "Common/Time.h"
#include "Configuration/ServiceMap.h"
#include "Membership/ServerRegistry.h"
#include "Routing/ModelPrompt.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Routing {

/// Why a request ended at a server, as far as the server's health goes.
enum class ServerOutcome {
  Answered,
  /// The server said that it did not run the request.
  Rejected,
  /// It answered with a failure of its own, or with what is no answer.
  Failed,
  /// No connection, or one that broke.
  Unreachable,
  /// The caller left or the time was over; says nothing about the server.
  Abandoned,
};

struct ServerTableOptions {
  Common::DataCentreId LocalDataCentre;
  /// A server that was not heard of for longer is used last.
  Common::Duration StaleAfter = std::chrono::milliseconds(4200);
  std::uint64_t Seed = 1;
};

/// What is to be placed.
struct PlacementRequest {
  Common::ServiceName Service;
  /// Null for a plain request.
  const ModelPrompt *Prompt = nullptr;
  /// Not to be used again.
  std::set<Common::BackendServerId> Excluded;
};

/// Where to send a request.
struct PlacementChoice {
  Common::BackendServerId Id;
  std::uint64_t StartedAt = 0;
  Network::Address Address;
  /// Expected time until the server begins the request's output.
  Common::Duration ExpectedWait{};
  /// Prompt tokens that the server probably has to read.
  std::uint64_t UncachedTokens = 0;
  /// Time to read the prompts that are there; zero for a plain request. Unlike
  /// ExpectedWait it leaves out what is only guessed.
  Common::Duration QueuedPrefillTime{};
  /// What decided: requests there, of this daemon and of the others, and how
  /// long ago the server announced itself.
  std::uint32_t LocalRequests = 0;
  std::uint32_t RemoteRequests = 0;
  Common::Duration AnnouncementAge{};
};

/// An entry daemon's view of the backend servers: who serves, how loaded each
/// is by its own and the other daemons' work, and how each behaved lately.
/// Choosing takes a bounded number of steps, however many servers there are.
class ServerTable {
public:
  explicit ServerTable(ServerTableOptions Options);

  bool apply(const Membership::ServerRecord &Announced, Common::TimePoint Now);
  void refresh(const Common::BackendServerId &Id, std::uint64_t StartedAt,
               std::uint64_t Sequence, Common::TimePoint Now);
  void removeExpired(Common::TimePoint Now);
  /// The other daemons' work at a server.
  void setRemoteLoad(const Common::BackendServerId &Id, std::uint32_t Requests,
                     std::uint64_t PromptTokens);
  void clearRemoteLoads();

  std::optional<PlacementChoice> choose(const PlacementRequest &Request,
                                        Common::TimePoint Now);
  /// Whether any server of the service may be used at all.
  bool hasServing(const Common::ServiceName &Service) const;

  void recordStart(const PlacementChoice &At, const ModelPrompt *Prompt,
                   Common::TimePoint Now);
  /// Bytes arrived from the server.
  void recordActivity(const PlacementChoice &At, Common::TimePoint Now);
  /// How long the server has said nothing to this daemon while requests of it
  /// were there; zero while there are none.
  Common::Duration silenceDuration(const PlacementChoice &At,
                                   Common::TimePoint Now) const;
  /// When bytes last arrived from any server.
  Common::TimePoint lastActivity() const { return this->LastServerActivityAt; }
  /// The server has begun the request's output.
  void recordFirstOutput(const PlacementChoice &At);
  void recordEnd(const PlacementChoice &At, ServerOutcome Outcome,
                 Common::TimePoint Now);

  struct Load {
    Common::BackendServerId Id;
    std::uint32_t Requests = 0;
    std::uint64_t PromptTokens = 0;
  };
  /// This daemon's own work, without the idle servers.
  std::vector<Load> localLoads() const;
  const Membership::ServerRegistry &registry() const { return this->Registry; }
  /// Whether the server still takes new requests.
  bool serving(const Common::BackendServerId &Id) const;

private:
  struct ServerState {
    std::uint32_t Running = 0;
    std::uint64_t PendingPrefillTokens = 0;
    /// When this daemon last had bytes from the server, or began to wait for
    /// some.
    Common::TimePoint LastActivityAt;
    std::uint32_t RemoteRunning = 0;
    std::uint64_t RemotePendingPrefillTokens = 0;
    /// Share of failures lately, smoothed.
    double FailureRate = 0;
    Common::TimePoint FailedAt;
    Common::TimePoint BackoffUntil;
    std::uint32_t ConsecutiveFailures = 0;
    /// When prompt parts were last sent here by this daemon.
    std::unordered_map<std::string, Common::TimePoint> PartsSentAt;
  };
  /// Servers of one service on a ring, for prefix affinity.
  struct HashRing {
    std::map<std::uint64_t, Common::BackendServerId> Points;
    std::vector<Common::BackendServerId> Servers;
  };

  void rebuildRing(const Common::ServiceName &Service);
  std::vector<Common::BackendServerId>
  candidates(const HashRing &Ring, const PlacementRequest &Request,
             std::uint64_t Key);
  static double currentFailureRate(const ServerState &State,
                                   Common::TimePoint Now);
  static Common::Duration queuedPrefillTime(const ServerState &State,
                                            const PlacementRequest &Request);
  static double unexpectedSilenceMilliseconds(const ServerState &State,
                                              Common::TimePoint Now);
  double expectedMilliseconds(const Membership::ServerRecord &Record,
                              const ServerState &State,
                              const PlacementRequest &Request, bool IsHome,
                              std::uint64_t &Uncached,
                              Common::TimePoint Now) const;

  ServerTableOptions Options;
  Common::Random Randomness;
  Membership::ServerRegistry Registry;
  std::map<Common::BackendServerId, ServerState> States;
  std::map<Common::ServiceName, HashRing> Rings;
  Common::TimePoint LastServerActivityAt;
};

} // namespace Routing

#endif
