#include "Routing/ServerTable.h"

#include "Common/Hash.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <cmath>
#include <limits>

namespace Routing {

namespace {

/// Points of each server on its service's hash ring; several points even out
/// the arcs.
constexpr int PointsPerServer = 16;
/// Candidates taken from the hash ring: the home server of a prompt's shared
/// part and the servers that take over when it has no room.
constexpr std::size_t RingCandidates = 6;
/// Attempts to draw each of them, in proportion to the speeds.
constexpr int MaxDraws = 4;
/// Seed of the hash that decides for which keys a slow server is passed over.
constexpr std::uint64_t PassOverSeed = 0x5eed;
/// Candidates chosen at random.
constexpr std::size_t RandomCandidates = 3;
/// A server has room for another prompt up to this fraction of its slots. The
/// rest absorbs what other daemons send before their loads are known here.
constexpr double SlotLoadBound = 0.8;
/// Penalty per fraction of the slots beyond SlotLoadBound, as an equivalent
/// wait. It outweighs the recomputation of a long shared part, as a full engine
/// rejects or preempts requests.
constexpr double SlotOverloadPenaltyMilliseconds = 15'000;
/// A server has room for another prompt while the queued prefill takes less
/// than this fraction of the route's target.
constexpr double QueuedTargetShare = 0.25;
constexpr double MinQueuedMilliseconds = 60;
/// Applies to routes without a target.
constexpr double DefaultMaxQueuedMilliseconds = 500;
/// Penalty per millisecond of queued prefill beyond that fraction.
constexpr double QueuedOverloadPenaltyWeight = 6;
/// Up to this many servers, all of them are candidates.
constexpr std::size_t MaxFullScan = 24;
/// Cost of a full server's running requests while the service's engine profile
/// is not known, so that equal servers get equally many.
constexpr double UnknownStepMillisecondsOfAllSlots = 6;
/// The headroom of the servers that are ordered is in engines of this cost. The
/// learnt step time contains the prefill of other prompts, which would count
/// twice.
constexpr double ProvisionedMillisecondsPerOutputToken = 0.102;
/// Estimated wait for a slot, in milliseconds per request beyond the number of
/// slots.
constexpr double SlotWaitMilliseconds = 60;
/// A prompt part is assumed to be cached on a server for this long after it was
/// sent there.
constexpr Common::Duration PartCacheLifetime = std::chrono::seconds(20);
/// Maximum number of prompt parts remembered per server.
constexpr std::size_t MaxTrackedParts = 4096;
/// Cost of the latency and the traffic to another data centre, as an equivalent
/// wait.
constexpr double RemoteDataCentrePenaltyMilliseconds = 4;
/// Weight of the latest outcome in the smoothed failure rate.
constexpr double OutcomeWeight = 0.1;
/// Time constant with which the failure rate decays, so that a server without
/// traffic is tried again.
constexpr double FailureDecaySeconds = 3;
/// Penalty for a failure rate of one, as an equivalent wait.
constexpr double FailurePenaltyMilliseconds = 1500;
/// Penalty for recomputing a shared prompt token, as an equivalent wait: it
/// takes engine time and slows the requests that run beside it.
constexpr double RecomputePenaltyMillisecondsPerToken = 0.4;
/// Part of that penalty for the ring's first server with room, so that all
/// daemons overflow to the same server.
constexpr double OverflowPenaltyShare = 0.5;
/// Silence that is considered normal, in addition to twice the estimated
/// prefill time of the pending prompts.
constexpr double ToleratedSilenceMilliseconds = 100;
/// Penalty per further millisecond of silence, as an equivalent wait in
/// milliseconds: a server that has stopped responding usually stays so for
/// seconds.
constexpr double SilencePenaltyWeight = 10;
/// Penalties that rank a server behind all others, in milliseconds.
constexpr double BackoffPenaltyMilliseconds = 30'000;
constexpr double FullPenaltyMilliseconds = 5'000;
/// A full server is better than one that has probably crashed.
constexpr double MaxOverloadPenaltyMilliseconds = 20'000;
constexpr double StalePenaltyMilliseconds = 40'000;
constexpr Common::Duration RecordRetention = std::chrono::minutes(5);

ServerIncarnation incarnationOf(const Membership::ServerRecord &Record) {
  return {Record.Id, Common::Incarnation{Record.StartedAt}};
}

ServerIncarnation incarnationOf(const PlacementChoice &Choice) {
  return {Choice.Id, Common::Incarnation{Choice.ServerStartedAt}};
}

/// Identifier of the last shared part, which precedes the part that belongs to
/// the request alone.
std::string sharedPartId(const ModelPrompt &Prompt) {
  if (Prompt.Parts.size() < 2)
    return Prompt.Parts.empty() ? std::string() : Prompt.Parts.back().Id;
  return Prompt.Parts[Prompt.Parts.size() - 2].Id;
}

} // namespace

ServerTable::ServerTable(ServerTableOptions Options)
    : Options(std::move(Options)), Randomness(this->Options.Seed) {}

void ServerTable::setServices(std::set<Common::ServiceName> Declared,
                              Common::TimePoint Now) {
  for (const Membership::ServerRecord &Each :
       this->Registry.setServices(std::move(Declared), Now))
    this->apply(Each, Now);
  // Those that were known before the first declaration may be set aside or
  // replaced now.
  std::vector<Common::BackendServerId> Listed;
  for (const auto &Each : this->ListedIn)
    Listed.push_back(Each.first);
  for (const Common::BackendServerId &Each : Listed)
    this->updateRing(Each);
}

bool ServerTable::apply(const Membership::ServerRecord &Announced,
                        Common::TimePoint Now) {
  const Membership::ServerRegistry::Entry *Previous =
      this->Registry.find(Announced.Id);
  const std::uint64_t PreviousStartedAt =
      Previous ? Previous->Record.StartedAt : 0;
  // A new server at the address of another one replaces it.
  const Common::BackendServerId AddressOwner =
      this->Registry.ownerOf(Announced.Address);
  const auto Outcome = this->Registry.update(Announced, Now);
  if (Outcome != Membership::ServerRegistry::Outcome::Changed)
    return false;
  if (PreviousStartedAt != Announced.StartedAt) {
    // A restarted server has an empty cache, and its earlier failures no longer
    // apply.
    ServerState &State = this->States[Announced.Id];
    State.PartsSentAt.clear();
    State.FailureRate = 0;
    State.WarmUntil =
        Now + std::chrono::milliseconds(Announced.WarmUpMilliseconds);
    if (State.Speed.StartedAt != Announced.StartedAt)
      State.Speed = ServerSpeed();
    this->Conditions.record(incarnationOf(Announced));
  }
  this->updateRing(Announced.Id);
  if (!AddressOwner.empty())
    this->updateRing(AddressOwner);
  return true;
}

Membership::ServerRegistry::RefreshOutcome
ServerTable::refresh(const Common::BackendServerId &Id, std::uint64_t StartedAt,
                     std::uint64_t Sequence, Membership::ServerPhase Phase,
                     Common::TimePoint Now) {
  const auto Outcome =
      this->Registry.refresh(Id, StartedAt, Sequence, Phase, Now);
  if (Outcome == Membership::ServerRegistry::RefreshOutcome::PhaseChanged)
    this->updateRing(Id);
  return Outcome;
}

void ServerTable::removeExpired(Common::TimePoint Now) {
  this->Registry.removeExpired(Now, RecordRetention);
  std::erase_if(this->States, [this](const auto &Each) {
    return Each.second.Running == 0 && !this->Registry.find(Each.first);
  });
  this->Conditions.removeExpired(Now,
                                 [this](const Common::BackendServerId &Id) {
                                   return this->Registry.find(Id) != nullptr;
                                 });
  std::vector<Common::BackendServerId> Removed;
  for (const auto &Each : this->ListedIn)
    if (!this->Registry.find(Each.first))
      Removed.push_back(Each.first);
  std::erase_if(this->Groups, [this](const auto &Each) {
    return !this->Registry.find(Each.first);
  });
  for (const Common::BackendServerId &Each : Removed)
    this->updateRing(Each);
}

void ServerTable::updateRing(const Common::BackendServerId &Id) {
  const auto *Entry = this->Registry.find(Id);
  const bool Serving =
      Entry && Entry->Record.Phase == Membership::ServerPhase::Serving;
  const ServerGroup Group = this->groupOf(Id);
  const bool InRing = Serving && Group != ServerGroup::Excluded;
  const auto Listed = this->ListedIn.find(Id);
  if (Listed != this->ListedIn.end()) {
    if (InRing && Listed->second == RingKey{Entry->Record.Service, Group})
      return;
    removeFromRing(this->Rings[Listed->second], Id);
    this->ListedIn.erase(Listed);
  }
  if (!InRing)
    return;
  const RingKey Key{Entry->Record.Service, Group};
  HashRing &Ring = this->Rings[Key];
  Ring.Servers.push_back(Id);
  for (int I = 0; I < PointsPerServer; ++I)
    Ring.Points[Common::hashBytes(Id.str(), I)] = Id;
  this->ListedIn[Id] = Key;
}

void ServerTable::setGroup(const Common::BackendServerId &Id,
                           ServerGroup Group) {
  if (Group == this->groupOf(Id))
    return;
  if (Group == ServerGroup::Default)
    this->Groups.erase(Id);
  else
    this->Groups[Id] = Group;
  this->updateRing(Id);
}

ServerGroup ServerTable::groupOf(const Common::BackendServerId &Id) const {
  const auto Found = this->Groups.find(Id);
  return Found == this->Groups.end() ? ServerGroup::Default : Found->second;
}

const ServerTable::HashRing *
ServerTable::ringOf(const Common::ServiceName &Service,
                    ServerGroup Group) const {
  const auto Found = this->Rings.find({Service, Group});
  return Found == this->Rings.end() || Found->second.Servers.empty()
             ? nullptr
             : &Found->second;
}

void ServerTable::removeFromRing(HashRing &Ring,
                                 const Common::BackendServerId &Id) {
  std::erase(Ring.Servers, Id);
  for (int I = 0; I < PointsPerServer; ++I)
    Ring.Points.erase(Common::hashBytes(Id.str(), I));
}

std::vector<ServerTable::Load> ServerTable::reportLoads() {
  std::vector<Load> Result;
  for (auto &[Id, State] : this->States) {
    State.ReportedRunning = State.Running;
    State.ReportedPrefillTokens = State.PendingPrefillTokens;
    if (State.Running != 0)
      Result.push_back({Id, State.Running, State.PendingPrefillTokens});
  }
  return Result;
}

void ServerTable::setTotalLoads(const std::vector<Load> &Totals) {
  for (auto &Each : this->States) {
    Each.second.RemoteRunning = 0;
    Each.second.RemotePendingPrefillTokens = 0;
  }
  for (const Load &Each : Totals) {
    ServerState &State = this->States[Each.Id];
    State.RemoteRunning =
        Each.Requests - std::min(Each.Requests, State.ReportedRunning);
    State.RemotePendingPrefillTokens =
        Each.PromptTokens -
        std::min(Each.PromptTokens, State.ReportedPrefillTokens);
  }
}

void ServerTable::setSpeeds(const std::vector<EngineProfile> &Engines,
                            const std::vector<ServerSpeed> &Servers) {
  for (const EngineProfile &Each : Engines) {
    this->Profiles[Each.Service] = Each;
    // Also of servers of other groups.
    for (const auto &[Key, Ring] : this->Rings)
      if (Key.first == Each.Service)
        for (const Common::BackendServerId &Id : Ring.Servers)
          this->States[Id].Speed = ServerSpeed();
  }
  for (const ServerSpeed &Each : Servers) {
    const auto *Entry = this->Registry.find(Each.Id);
    // Of another incarnation, or of a server that is not known here yet.
    if (!Entry || Entry->Record.StartedAt != Each.StartedAt ||
        !(Each.Prefill > 0) || !(Each.Decode > 0))
      continue;
    this->States[Each.Id].Speed = Each;
  }
  this->updateMaxSpeeds();
}

void ServerTable::updateMaxSpeeds() {
  for (auto &Each : this->Rings) {
    HashRing &Ring = Each.second;
    Ring.MaxSpeed = 1;
    for (const Common::BackendServerId &Id : Ring.Servers)
      Ring.MaxSpeed = std::max<double>(Ring.MaxSpeed, this->speed(Id).Prefill);
  }
}

ServerSpeed ServerTable::speed(const Common::BackendServerId &Id) const {
  const auto Found = this->States.find(Id);
  return Found == this->States.end() ? ServerSpeed() : Found->second.Speed;
}

std::size_t ServerTable::countOfOtherSpeed() const {
  return static_cast<std::size_t>(std::count_if(
      this->ListedIn.begin(), this->ListedIn.end(), [this](const auto &Each) {
        const ServerSpeed Speed = this->speed(Each.first);
        return Speed.Prefill != 1 || Speed.Decode != 1;
      }));
}

const EngineProfile *
ServerTable::profile(const Common::ServiceName &Service) const {
  const auto Found = this->Profiles.find(Service);
  return Found == this->Profiles.end() ? nullptr : &Found->second;
}

EngineCost
ServerTable::provisioningCost(const Common::ServiceName &Service) const {
  return {this->idlePrefillRate(Service),
          ProvisionedMillisecondsPerOutputToken};
}

bool ServerTable::isWarmingUp(const Common::BackendServerId &Id,
                              Common::TimePoint Now) const {
  const auto Found = this->States.find(Id);
  return Found != this->States.end() && Now < Found->second.WarmUntil;
}

std::uint32_t
ServerTable::runningRequests(const Common::BackendServerId &Id) const {
  const auto Found = this->States.find(Id);
  return Found == this->States.end()
             ? 0
             : Found->second.Running + Found->second.RemoteRunning;
}

double ServerTable::relativeSpeed(const Common::BackendServerId &Id,
                                  const HashRing &Ring) const {
  return std::min(1.0, this->speed(Id).Prefill / Ring.MaxSpeed);
}

bool ServerTable::serving(const Common::BackendServerId &Id) const {
  const auto *Found = this->Registry.find(Id);
  return Found && Found->Record.Phase == Membership::ServerPhase::Serving;
}

bool ServerTable::hasServing(const Common::ServiceName &Service) const {
  return this->ringOf(Service, ServerGroup::Default) ||
         this->ringOf(Service, ServerGroup::Canary);
}

std::vector<Common::BackendServerId>
ServerTable::ringServers(const HashRing &Ring, std::uint64_t Key) const {
  std::vector<Common::BackendServerId> Result;
  std::vector<Common::BackendServerId> PassedOver;
  const auto IsListed = [](const std::vector<Common::BackendServerId> &In,
                           const Common::BackendServerId &Id) {
    return std::find(In.begin(), In.end(), Id) != In.end();
  };
  auto At = Ring.Points.lower_bound(Key);
  for (std::size_t Step = 0;
       Step < Ring.Points.size() && Result.size() < RingCandidates; ++Step) {
    if (At == Ring.Points.end())
      At = Ring.Points.begin();
    const Common::BackendServerId &Id = At->second;
    ++At;
    if (IsListed(Result, Id) || IsListed(PassedOver, Id))
      continue;
    const double Speed = this->relativeSpeed(Id, Ring);
    const double Position =
        static_cast<double>(Common::hashBytes(Id.str(), Key ^ PassOverSeed)) /
        static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    (Position <= Speed ? Result : PassedOver).push_back(Id);
  }
  for (const Common::BackendServerId &Id : PassedOver)
    if (Result.size() < RingCandidates)
      Result.push_back(Id);
  return Result;
}

std::vector<Common::BackendServerId> ServerTable::candidates(
    const HashRing &Ring,
    const std::vector<Common::BackendServerId> &RingServers) {
  if (Ring.Servers.size() <= MaxFullScan)
    return Ring.Servers;
  std::vector<Common::BackendServerId> Result = RingServers;
  for (std::size_t I = 0; I < RandomCandidates; ++I) {
    std::size_t Drawn = this->Randomness.below(Ring.Servers.size());
    for (int Draw = 1; Draw < MaxDraws; ++Draw) {
      const double Speed = this->relativeSpeed(Ring.Servers[Drawn], Ring);
      if (Speed >= 1 || this->Randomness.fraction() < Speed)
        break;
      Drawn = this->Randomness.below(Ring.Servers.size());
    }
    const Common::BackendServerId &Id = Ring.Servers[Drawn];
    if (std::find(Result.begin(), Result.end(), Id) == Result.end())
      Result.push_back(Id);
  }
  return Result;
}

bool ServerTable::hasRoom(const Common::BackendServerId &Id,
                          const PlacementRequest &Request,
                          Common::TimePoint Now) const {
  const auto *Entry = this->Registry.find(Id);
  if (!Entry || Request.Excluded.count(Id) != 0 ||
      Now - Entry->HeardAt > this->Options.StaleAfter)
    return false;
  const ServerCondition *Condition =
      this->Conditions.find(incarnationOf(Entry->Record));
  if (Condition && (!Condition->acceptsRequests(Now) ||
                    Condition->isInBackoff(Now) || Condition->isFull(Now)))
    return false;
  const auto Found = this->States.find(Id);
  if (Found == this->States.end())
    return true;
  const ServerState &State = Found->second;
  return State.Running + State.RemoteRunning + 1 <=
             Entry->Record.Slots * SlotLoadBound &&
         queuedPrefillMilliseconds(State, this->prefillRate(Request.Service) *
                                              State.Speed.Prefill) <=
             maxQueuedMilliseconds(Request);
}

double ServerTable::expectedMilliseconds(
    const Membership::ServerRecord &Record, const ServerState &State,
    const PlacementRequest &Request, bool IsAffinityServer, double PrefillRate,
    std::uint64_t &Uncached, Common::TimePoint Now) const {
  const double Running = State.Running + State.RemoteRunning;
  double Expected = 0;
  Uncached = 0;
  if (Request.Prompt) {
    Uncached = Request.Prompt->PromptTokens;
    for (std::size_t I = 0; I + 1 < Request.Prompt->Parts.size(); ++I) {
      const PromptPart &Part = Request.Prompt->Parts[I];
      const auto Sent = State.PartsSentAt.find(Part.Id);
      const bool IsCached =
          IsAffinityServer || (Sent != State.PartsSentAt.end() &&
                               Now - Sent->second < PartCacheLifetime);
      if (!IsCached)
        break;
      Uncached -= std::min(Uncached, Part.Tokens);
    }
    Expected +=
        static_cast<double>(State.PendingPrefillTokens +
                            State.RemotePendingPrefillTokens + Uncached) /
        PrefillRate;
    const EngineProfile *Profile = this->profile(Request.Service);
    Expected += Profile ? Running * Profile->StepMillisecondsPerRequest /
                              State.Speed.Decode
                        : Running * UnknownStepMillisecondsOfAllSlots /
                              std::max<std::uint32_t>(Record.Slots, 1);
  }
  const double Excess = Running + 1 - Record.Slots;
  if (Excess > 0)
    Expected += Excess * SlotWaitMilliseconds;
  else if (!Request.Prompt)
    Expected += Running * SlotWaitMilliseconds / (4.0 * Record.Slots);
  if (Record.DataCentre != this->Options.LocalDataCentre)
    Expected += RemoteDataCentrePenaltyMilliseconds;
  Expected += static_cast<double>(Record.WarmUpMilliseconds) / 100;
  return Expected;
}

double ServerTable::currentFailureRate(const ServerState &State,
                                       Common::TimePoint Now) {
  return State.FailureRate * std::exp(-Common::toSeconds(Now - State.FailedAt) /
                                      FailureDecaySeconds);
}

double ServerTable::unexpectedSilenceMilliseconds(const ServerState &State,
                                                  double PrefillRate,
                                                  Common::TimePoint Now) {
  if (State.Running == 0)
    return 0;
  const double PrefillMilliseconds =
      queuedPrefillMilliseconds(State, PrefillRate);
  const double SilentMilliseconds =
      1000 * Common::toSeconds(Now - State.LastActivityAt);
  return std::max(0.0, SilentMilliseconds - 2 * PrefillMilliseconds -
                           ToleratedSilenceMilliseconds);
}

double ServerTable::queuedPrefillMilliseconds(const ServerState &State,
                                              double PrefillRate) {
  return static_cast<double>(State.PendingPrefillTokens +
                             State.RemotePendingPrefillTokens) /
         PrefillRate;
}

double ServerTable::prefillRate(const Common::ServiceName &Service) const {
  const EngineProfile *Profile = this->profile(Service);
  if (Profile && Profile->PromptTokensPerMillisecond > 0)
    return Profile->PromptTokensPerMillisecond;
  return this->idlePrefillRate(Service);
}

double ServerTable::idlePrefillRate(const Common::ServiceName &Service) const {
  const auto Found = this->PrefillRates.find(Service);
  return (Found == this->PrefillRates.end() ? PrefillRate() : Found->second)
      .tokensPerMillisecond();
}

void ServerTable::recordPrefillTime(const PlacementChoice &At,
                                    Common::TimePoint Now) {
  if (At.QueuedPrefillTime > Common::Duration::zero())
    return;
  this->PrefillRates[At.Service].record(
      At.UncachedTokens, At.LocalRequests + At.RemoteRequests,
      std::chrono::duration_cast<Common::Duration>(Now - At.ChosenAt));
}

double ServerTable::maxQueuedMilliseconds(const PlacementRequest &Request) {
  if (Request.Target <= Common::Duration::zero())
    return DefaultMaxQueuedMilliseconds;
  return std::max(MinQueuedMilliseconds,
                  1000 * Common::toSeconds(Request.Target) * QueuedTargetShare);
}

std::optional<ServerTable::Evaluation>
ServerTable::evaluate(const Common::BackendServerId &Id,
                      const PlacementRequest &Request, const Affinity &Prefixes,
                      Common::TimePoint Now) {
  const auto *Entry = this->Registry.find(Id);
  if (!Entry || Request.Excluded.count(Id) != 0)
    return std::nullopt;
  const ServerCondition *Condition =
      this->Conditions.find(incarnationOf(Entry->Record));
  if (Condition && !Condition->acceptsRequests(Now))
    return std::nullopt;
  const ServerState &State = this->States[Id];
  const double PrefillRate =
      this->prefillRate(Request.Service) * State.Speed.Prefill;
  std::uint64_t Uncached = 0;
  const double Expected = this->expectedMilliseconds(
      Entry->Record, State, Request, Id == Prefixes.Home, PrefillRate, Uncached,
      Now);
  Evaluation Result;
  Result.Cost =
      Expected + currentFailureRate(State, Now) * FailurePenaltyMilliseconds;
  double Queued = 0;
  if (Request.Prompt) {
    const double Share = Id == Prefixes.Preferred ? OverflowPenaltyShare : 1;
    Result.Cost +=
        static_cast<double>(Uncached - Request.Prompt->unsharedTokens()) *
        RecomputePenaltyMillisecondsPerToken * Share;
    const double SlotLoad =
        (State.Running + State.RemoteRunning + 1.0) / Entry->Record.Slots;
    Queued = queuedPrefillMilliseconds(State, PrefillRate);
    const double Excess = Queued - maxQueuedMilliseconds(Request);
    Result.Cost +=
        std::min(MaxOverloadPenaltyMilliseconds,
                 std::max(0.0, SlotLoad - SlotLoadBound) *
                         SlotOverloadPenaltyMilliseconds +
                     std::max(0.0, Excess) * QueuedOverloadPenaltyWeight);
    Result.Overloaded = SlotLoad > SlotLoadBound || Excess > 0;
  }
  if (Condition && Condition->isInBackoff(Now))
    Result.Cost += BackoffPenaltyMilliseconds;
  if (Condition && Condition->isFull(Now)) {
    Result.Cost += FullPenaltyMilliseconds;
    Result.Overloaded = true;
  }
  if (Now - Entry->HeardAt > this->Options.StaleAfter)
    Result.Cost += StalePenaltyMilliseconds;
  Result.Cost += unexpectedSilenceMilliseconds(State, PrefillRate, Now) *
                 SilencePenaltyWeight;
  // Ties are broken at random.
  Result.Cost += this->Randomness.fraction();
  Result.Choice = PlacementChoice{
      Id,
      Request.Service,
      Entry->Record.StartedAt,
      Entry->Record.Address,
      Common::fromSeconds(Expected / 1000),
      Uncached,
      Common::fromSeconds(Queued / 1000),
      State.PendingPrefillTokens + State.RemotePendingPrefillTokens,
      State.Running,
      State.RemoteRunning,
      std::chrono::duration_cast<Common::Duration>(Now - Entry->HeardAt),
      Now};
  return Result;
}

std::optional<PlacementChoice>
ServerTable::choose(const PlacementRequest &Request, Common::TimePoint Now) {
  if (Request.Group == ServerGroup::Canary)
    return this->chooseCanary(Request, Now);
  return this->chooseInGroup(Request, Now);
}

std::optional<PlacementChoice>
ServerTable::chooseCanary(const PlacementRequest &Request,
                          Common::TimePoint Now) {
  bool Overloaded = false;
  auto Canary = this->chooseInGroup(Request, Now, &Overloaded);
  if (Canary && !Overloaded)
    return Canary;
  PlacementRequest Other = Request;
  Other.Group = ServerGroup::Default;
  auto Default = this->chooseInGroup(Other, Now);
  return Default ? Default : Canary;
}

std::optional<PlacementChoice>
ServerTable::chooseInGroup(const PlacementRequest &Request,
                           Common::TimePoint Now, bool *Overloaded) {
  const HashRing *Found = this->ringOf(Request.Service, Request.Group);
  if (!Found)
    return std::nullopt;
  const HashRing &Ring = *Found;
  std::vector<Common::BackendServerId> RingServers;
  Affinity Prefixes;
  if (Request.Prompt) {
    RingServers =
        ringServers(Ring, Common::hashBytes(sharedPartId(*Request.Prompt)));
    Prefixes.Home = RingServers.front();
    for (const Common::BackendServerId &Id : RingServers)
      if (this->hasRoom(Id, Request, Now)) {
        Prefixes.Preferred = Id;
        break;
      }
  }
  std::optional<Evaluation> Best;
  const auto Compare = [&](const std::vector<Common::BackendServerId> &Ids) {
    for (const Common::BackendServerId &Id : Ids) {
      auto Evaluated = this->evaluate(Id, Request, Prefixes, Now);
      if (Evaluated && (!Best || Evaluated->Cost < Best->Cost))
        Best = std::move(Evaluated);
    }
  };
  const auto Candidates = this->candidates(Ring, RingServers);
  Compare(Candidates);
  if ((!Best || Best->Overloaded) && Candidates.size() < Ring.Servers.size())
    Compare(Ring.Servers);
  if (!Best)
    return std::nullopt;
  Best->Choice.Group = Request.Group;
  if (Overloaded)
    *Overloaded = Best->Overloaded;
  return Best->Choice;
}

std::optional<Common::TimePoint>
ServerTable::restEnd(const Common::ServiceName &Service,
                     Common::TimePoint Now) const {
  const HashRing *Ring = this->ringOf(Service, ServerGroup::Default);
  if (!Ring)
    Ring = this->ringOf(Service, ServerGroup::Canary);
  if (!Ring)
    return std::nullopt;
  std::vector<ServerIncarnation> Servers;
  for (const Common::BackendServerId &Id : Ring->Servers)
    if (const auto *Entry = this->Registry.find(Id))
      Servers.push_back(incarnationOf(Entry->Record));
  return this->Conditions.restEnd(Servers, Now);
}

bool ServerTable::recordStart(const PlacementChoice &At,
                              const ModelPrompt *Prompt,
                              Common::TimePoint Now) {
  ServerState &State = this->States[At.Id];
  if (State.Running == 0)
    State.LastActivityAt = Now;
  ++State.Running;
  State.PendingPrefillTokens += At.UncachedTokens;
  ServerCondition *Condition = this->Conditions.record(incarnationOf(At));
  const bool IsProbe = Condition && Condition->recordSent(At.ChosenAt);
  if (!Prompt)
    return IsProbe;
  if (State.PartsSentAt.size() > MaxTrackedParts)
    std::erase_if(State.PartsSentAt, [Now](const auto &Each) {
      return Now - Each.second > PartCacheLifetime;
    });
  for (std::size_t I = 0; I + 1 < Prompt->Parts.size(); ++I)
    State.PartsSentAt[Prompt->Parts[I].Id] = Now;
  return IsProbe;
}

void ServerTable::recordActivity(const PlacementChoice &At,
                                 Common::TimePoint Now) {
  this->States[At.Id].LastActivityAt = Now;
  this->LastServerActivityAt = Now;
}

Common::Duration ServerTable::silenceDuration(const PlacementChoice &At,
                                              Common::TimePoint Now) const {
  const auto Found = this->States.find(At.Id);
  if (Found == this->States.end() || Found->second.Running == 0)
    return {};
  return std::chrono::duration_cast<Common::Duration>(
      Now - Found->second.LastActivityAt);
}

void ServerTable::recordFirstOutput(const PlacementChoice &At) {
  ServerState &State = this->States[At.Id];
  State.PendingPrefillTokens -=
      std::min(State.PendingPrefillTokens, At.UncachedTokens);
}

bool ServerTable::mayWrite(const PlacementChoice &At,
                           Common::TimePoint Now) const {
  // A canary server may have been opened to all requests since.
  const ServerGroup Group = this->groupOf(At.Id);
  if (Group != At.Group && Group != ServerGroup::Default)
    return false;
  const ServerCondition *Condition = this->Conditions.find(incarnationOf(At));
  return !Condition || Condition->mayWrite(At.ChosenAt, Now);
}

std::optional<Common::TimePoint>
ServerTable::recordRetryAfter(const PlacementChoice &At, Common::Duration Asked,
                              Common::TimePoint Now) {
  ServerCondition *Condition = this->Conditions.record(incarnationOf(At));
  if (!Condition)
    return std::nullopt;
  return Condition->recordRetryAfter(Asked, Now);
}

bool ServerTable::recordLeaving(const PlacementChoice &At,
                                Common::TimePoint Now) {
  const bool IsNews = this->Registry.applyEnd(
      {At.Id, At.ServerStartedAt, Membership::ServerPhase::Leaving}, Now);
  if (IsNews)
    this->updateRing(At.Id);
  return IsNews;
}

bool ServerTable::recordAnswerBegun(const PlacementChoice &At) {
  ServerCondition *Condition = this->Conditions.record(incarnationOf(At));
  return Condition && Condition->recordAnswer(At.ChosenAt);
}

void ServerTable::recordEnd(const PlacementChoice &At, ServerOutcome Outcome,
                            Common::TimePoint Now) {
  ServerState &State = this->States[At.Id];
  State.Running -= std::min<std::uint32_t>(State.Running, 1);
  ServerCondition *Condition = this->Conditions.record(incarnationOf(At));
  if (!Condition)
    return;
  Condition->recordEnd(At.ChosenAt);
  switch (Outcome) {
  case ServerOutcome::Answered:
    State.FailureRate *= 1 - OutcomeWeight;
    Condition->recordCompleteAnswer();
    return;
  case ServerOutcome::Abandoned:
    return;
  case ServerOutcome::Rejected:
    Condition->recordRejection(Now);
    break;
  case ServerOutcome::Failed:
    break;
  case ServerOutcome::Unreachable:
    Condition->recordUnreachable(Now);
    break;
  }
  const double Rate = currentFailureRate(State, Now);
  State.FailureRate = Rate + OutcomeWeight * (1 - Rate);
  State.FailedAt = Now;
}

} // namespace Routing
