#ifndef SYCAMOREREACH_ROUTING_SERVERTABLE_H
#define SYCAMOREREACH_ROUTING_SERVERTABLE_H

#include "Common/Random.h"
#include "Common/Time.h"
#include "Configuration/ServiceMap.h"
#include "Membership/ServerRegistry.h"
#include "Routing/EngineCost.h"
#include "Routing/ModelPrompt.h"
#include "Routing/PrefillRate.h"
#include "Routing/ServerConditions.h"
#include "Routing/ServerTiming.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Routing {

/// How a request ended on a server, with regard to the server's health.
enum class ServerOutcome {
  Answered,
  /// The server reported that it did not run the request.
  Rejected,
  /// The server returned an error of its own or an invalid answer.
  Failed,
  /// The connection failed or broke.
  Unreachable,
  /// The caller disconnected or the deadline passed, which does not reflect on
  /// the server.
  Abandoned,
};

/// Divides the servers of a service during a rollout.
enum class ServerGroup : std::uint8_t {
  Default,
  /// Takes the requests of the rollout's share only.
  Canary,
  /// Takes no requests.
  Excluded,
};

struct ServerTableOptions {
  Common::DataCentreId LocalDataCentre;
  /// A server without an announcement for longer than this is used only as a
  /// last resort.
  Common::Duration StaleAfter = std::chrono::milliseconds(4200);
  std::uint64_t Seed = 1;
};

/// A request for which a server is to be chosen.
struct PlacementRequest {
  Common::ServiceName Service;
  /// Null for plain requests.
  const ModelPrompt *Prompt = nullptr;
  /// Servers that must not be chosen.
  std::set<Common::BackendServerId> Excluded;
  /// Target time until the first output; zero if the route has none.
  Common::Duration Target{};
  /// A request for a canary server goes to the default group if no server of
  /// the canary group can take it without making it wait.
  ServerGroup Group = ServerGroup::Default;
};

/// The chosen server and the figures behind the choice.
struct PlacementChoice {
  Common::BackendServerId Id;
  Common::ServiceName Service;
  /// Start of the server process; tells a restarted server from the earlier
  /// one.
  std::uint64_t ServerStartedAt = 0;
  Network::Address Address;
  /// Expected time until the server begins its output.
  Common::Duration ExpectedWait{};
  /// Prompt tokens that are probably not cached on the server.
  std::uint64_t UncachedTokens = 0;
  /// Time to prefill the prompts that are already pending on the server; zero
  /// for a plain request. Unlike ExpectedWait, it leaves out the terms that are
  /// only estimates.
  Common::Duration QueuedPrefillTime{};
  /// Prompt tokens that are already pending on the server.
  std::uint64_t QueuedTokens = 0;
  /// Requests on the server from this daemon and from the others, and the time
  /// since its last announcement.
  std::uint32_t LocalRequests = 0;
  std::uint32_t RemoteRequests = 0;
  Common::Duration AnnouncementAge{};
  Common::TimePoint ChosenAt;
  /// The server's group when it was chosen.
  ServerGroup Group = ServerGroup::Default;
};

/// An entry daemon's view of the backend servers: which ones serve, the load on
/// each from this and the other daemons, and their recent failures. Choosing a
/// server takes a bounded number of steps, however many servers there are,
/// unless all candidates are overloaded: then every server is compared.
class ServerTable {
public:
  explicit ServerTable(ServerTableOptions Options);

  /// See ServerRegistry::awaitServices.
  void awaitServices() { this->Registry.awaitServices(); }
  /// Declares the services whose servers may be used; by default, those of all
  /// services may. Servers that announced themselves before their
  /// service was declared are applied. See ServerRegistry::setServices.
  void setServices(std::set<Common::ServiceName> Declared,
                   Common::TimePoint Now);
  /// Applies a server's announcement. Returns whether it changed the table.
  bool apply(const Membership::ServerRecord &Announced, Common::TimePoint Now);
  /// Applies a report that another daemon received message Sequence of the
  /// server process started at StartedAt, so that it counts as heard from.
  Membership::ServerRegistry::RefreshOutcome
  refresh(const Common::BackendServerId &Id, std::uint64_t StartedAt,
          std::uint64_t Sequence, Membership::ServerPhase Phase,
          Common::TimePoint Now);
  void removeExpired(Common::TimePoint Now);
  /// Keeps the software version of an incarnation, which may not be known yet.
  void setVersion(const Common::BackendServerId &Id, std::uint64_t StartedAt,
                  const Common::SoftwareVersion &Version,
                  Common::TimePoint Now) {
    this->Registry.setVersion(Id, StartedAt, Version, Now);
  }
  /// Servers without a call of this are in the default group.
  void setGroup(const Common::BackendServerId &Id, ServerGroup Group);
  ServerGroup groupOf(const Common::BackendServerId &Id) const;
  struct Load {
    Common::BackendServerId Id;
    std::uint32_t Requests = 0;
    std::uint64_t PromptTokens = 0;
  };
  /// This daemon's load on each server that is not idle, to be reported. The
  /// next total loads are assumed to include it.
  std::vector<Load> reportLoads();
  /// Replaces the load of the other daemons: Totals, of all daemons, without
  /// what this daemon reported.
  void setTotalLoads(const std::vector<Load> &Totals);

  /// Applies speeds that the leader has learnt. A service whose profile is
  /// among Engines has all its servers whose speed is not 1 in Servers.
  void setSpeeds(const std::vector<EngineProfile> &Engines,
                 const std::vector<ServerSpeed> &Servers);
  /// 1 if nothing else is known.
  ServerSpeed speed(const Common::BackendServerId &Id) const;
  /// Servers whose speed is not 1.
  std::size_t countOfOtherSpeed() const;
  /// Null before the service's profile is known.
  const EngineProfile *profile(const Common::ServiceName &Service) const;
  /// What requests of the service cost at a server of speed 1, in the unit in
  /// which servers are ordered, from the prefill of almost idle engines.
  EngineCost provisioningCost(const Common::ServiceName &Service) const;
  /// Whether the server announced reduced performance that is not over yet.
  bool isWarmingUp(const Common::BackendServerId &Id,
                   Common::TimePoint Now) const;
  /// Requests on the server, of all daemons.
  std::uint32_t runningRequests(const Common::BackendServerId &Id) const;

  /// Chooses the server with the lowest expected cost; nothing if no server of
  /// the service serves and takes requests or all candidates are excluded.
  std::optional<PlacementChoice> choose(const PlacementRequest &Request,
                                        Common::TimePoint Now);
  /// When the first of the service's servers takes requests again; nothing
  /// unless all of them rest or are being probed after a rest.
  std::optional<Common::TimePoint> restEnd(const Common::ServiceName &Service,
                                           Common::TimePoint Now) const;
  /// Whether the service has any server that accepts requests.
  bool hasServing(const Common::ServiceName &Service) const;

  /// Returns whether the request is the first one after a rest of the server.
  bool recordStart(const PlacementChoice &At, const ModelPrompt *Prompt,
                   Common::TimePoint Now);
  /// Whether the request may be written to the server that was chosen for it:
  /// false if the server has asked for rest since, or its group no longer takes
  /// the request.
  bool mayWrite(const PlacementChoice &At, Common::TimePoint Now) const;
  /// Records the Retry-After of an answer. Returns the end of the server's rest
  /// if this changed it, and nothing if another lifetime of it is known.
  std::optional<Common::TimePoint> recordRetryAfter(const PlacementChoice &At,
                                                    Common::Duration Asked,
                                                    Common::TimePoint Now);
  /// Records that the server said in an answer that it leaves. It is not chosen
  /// again, whatever its delayed announcements say, until its next process
  /// announces itself. Returns whether that is news.
  bool recordLeaving(const PlacementChoice &At, Common::TimePoint Now);
  /// Records that an answer that is no rejection has begun. Returns whether
  /// the server takes requests again after a rest.
  bool recordAnswerBegun(const PlacementChoice &At);
  std::size_t countResting(Common::TimePoint Now) const {
    return this->Conditions.countResting(Now);
  }
  /// Records that bytes arrived from the server.
  void recordActivity(const PlacementChoice &At, Common::TimePoint Now);
  /// While this daemon has requests on the server: time since it last received
  /// bytes from it, or since it sent the first of them if nothing has arrived.
  /// Zero otherwise.
  Common::Duration silenceDuration(const PlacementChoice &At,
                                   Common::TimePoint Now) const;
  /// When bytes last arrived from any server.
  Common::TimePoint lastActivity() const { return this->LastServerActivityAt; }
  /// Records that the server has begun the request's output, or will not begin
  /// it any more.
  void recordFirstOutput(const PlacementChoice &At);
  /// Measures the prefill from the arrival of the request's first event.
  void recordPrefillTime(const PlacementChoice &At, Common::TimePoint Now);
  /// Measured prefill rate of the service's engines, in prompt tokens per
  /// millisecond.
  double prefillRate(const Common::ServiceName &Service) const;
  void recordEnd(const PlacementChoice &At, ServerOutcome Outcome,
                 Common::TimePoint Now);

  const Membership::ServerRegistry &registry() const { return this->Registry; }
  /// Whether the server accepts new requests.
  bool serving(const Common::BackendServerId &Id) const;

private:
  struct ServerState {
    std::uint32_t Running = 0;
    std::uint64_t PendingPrefillTokens = 0;
    /// When this daemon last received bytes from the server, or sent it a
    /// request while it had none there.
    Common::TimePoint LastActivityAt;
    /// This daemon's part of the total loads.
    std::uint32_t ReportedRunning = 0;
    std::uint64_t ReportedPrefillTokens = 0;
    std::uint32_t RemoteRunning = 0;
    std::uint64_t RemotePendingPrefillTokens = 0;
    /// End of the reduced performance after the start that it announced.
    Common::TimePoint WarmUntil;
    /// Of the incarnation that is named in it.
    ServerSpeed Speed;
    /// Smoothed fraction of recent requests that failed.
    double FailureRate = 0;
    Common::TimePoint FailedAt;
    /// When this daemon last sent each prompt part to the server.
    std::unordered_map<std::string, Common::TimePoint> PartsSentAt;
  };
  /// Consistent-hash ring of a service's servers, used for prefix affinity.
  struct HashRing {
    std::map<std::uint64_t, Common::BackendServerId> Points;
    std::vector<Common::BackendServerId> Servers;
    double MaxSpeed = 1;
  };

  /// Adds the server to its service's ring or removes it, according to its
  /// record.
  void updateRing(const Common::BackendServerId &Id);
  static void removeFromRing(HashRing &Ring, const Common::BackendServerId &Id);
  /// The first distinct servers of the ring, starting at Key. Each is passed
  /// over for a share of the keys, so that the keys of which it is the first
  /// are in proportion to its speed.
  std::vector<Common::BackendServerId> ringServers(const HashRing &Ring,
                                                   std::uint64_t Key) const;
  /// Speed relative to the fastest server of the ring, of both kinds of work.
  double relativeSpeed(const Common::BackendServerId &Id,
                       const HashRing &Ring) const;
  void updateMaxSpeeds();
  /// Null if the group has no servers.
  const HashRing *ringOf(const Common::ServiceName &Service,
                         ServerGroup Group) const;
  std::vector<Common::BackendServerId>
  candidates(const HashRing &Ring,
             const std::vector<Common::BackendServerId> &RingServers);
  /// Sets Overloaded to whether the request would probably wait.
  std::optional<PlacementChoice> chooseInGroup(const PlacementRequest &Request,
                                               Common::TimePoint Now,
                                               bool *Overloaded = nullptr);
  std::optional<PlacementChoice> chooseCanary(const PlacementRequest &Request,
                                              Common::TimePoint Now);
  /// Whether the server is healthy and can take another prompt without making
  /// it wait.
  bool hasRoom(const Common::BackendServerId &Id,
               const PlacementRequest &Request, Common::TimePoint Now) const;
  struct Evaluation {
    PlacementChoice Choice;
    double Cost = 0;
    /// The request would probably wait for a slot or behind other prompts.
    bool Overloaded = false;
  };
  struct Affinity {
    /// First server of the ring; assumed to have cached the prompt's parts.
    Common::BackendServerId Home;
    /// First server of the ring that has room; the home server's overflow.
    Common::BackendServerId Preferred;
  };
  std::optional<Evaluation> evaluate(const Common::BackendServerId &Id,
                                     const PlacementRequest &Request,
                                     const Affinity &Prefixes,
                                     Common::TimePoint Now);
  static double currentFailureRate(const ServerState &State,
                                   Common::TimePoint Now);
  static double queuedPrefillMilliseconds(const ServerState &State,
                                          double PrefillRate);
  /// Longest queued prefill time with which a server counts as having room.
  static double maxQueuedMilliseconds(const PlacementRequest &Request);
  static double unexpectedSilenceMilliseconds(const ServerState &State,
                                              double PrefillRate,
                                              Common::TimePoint Now);
  /// The rate of almost idle engines of speed 1, in prompt tokens per
  /// millisecond, as measured by this daemon.
  double idlePrefillRate(const Common::ServiceName &Service) const;
  double expectedMilliseconds(const Membership::ServerRecord &Record,
                              const ServerState &State,
                              const PlacementRequest &Request,
                              bool IsAffinityServer, double PrefillRate,
                              std::uint64_t &Uncached,
                              Common::TimePoint Now) const;

  ServerTableOptions Options;
  Common::Random Randomness;
  Membership::ServerRegistry Registry;
  std::map<Common::BackendServerId, ServerState> States;
  ServerConditions Conditions;
  using RingKey = std::pair<Common::ServiceName, ServerGroup>;
  std::map<RingKey, HashRing> Rings;
  std::map<Common::ServiceName, PrefillRate> PrefillRates;
  std::map<Common::ServiceName, EngineProfile> Profiles;
  /// The ring that lists the server.
  std::map<Common::BackendServerId, RingKey> ListedIn;
  /// Of servers that are not in the default group.
  std::map<Common::BackendServerId, ServerGroup> Groups;
  Common::TimePoint LastServerActivityAt;
};

} // namespace Routing

#endif
