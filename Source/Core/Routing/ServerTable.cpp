#include "Routing/ServerTable.h"

#include "Common/Hash.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <cmath>

namespace Routing {

namespace {

/// Points of each server on its service's hash ring; several points even out
/// the arcs.
constexpr int PointsPerServer = 16;
/// Candidates taken from the hash ring.
constexpr std::size_t RingCandidates = 3;
/// Candidates chosen at random.
constexpr std::size_t RandomCandidates = 3;
/// Up to this many servers, all of them are candidates.
constexpr std::size_t MaxFullScan = 24;
/// Prefill throughput of an engine in prompt tokens per millisecond, from the
/// published figures of inference engines.
constexpr double PrefillTokensPerMillisecond = 50;
/// Time that each running request adds to a decoding step, in milliseconds,
/// from the published figures of inference engines.
constexpr double StepMillisecondsPerRequest = 0.1;
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
/// Initial and maximum time for which an unreachable server is avoided.
constexpr Common::Duration InitialBackoff = std::chrono::milliseconds(400);
constexpr Common::Duration MaxBackoff = std::chrono::milliseconds(3200);
/// Silence that is considered normal, in addition to twice the estimated
/// prefill time of the pending prompts.
constexpr double ToleratedSilenceMilliseconds = 100;
/// Penalty per further millisecond of silence, as an equivalent wait in
/// milliseconds: a server that has stopped responding usually stays so for
/// seconds.
constexpr double SilencePenaltyWeight = 10;
/// Penalties that rank a server behind all others, in milliseconds.
constexpr double BackoffPenaltyMilliseconds = 20'000;
constexpr double StalePenaltyMilliseconds = 10'000;
constexpr Common::Duration RecordRetention = std::chrono::minutes(5);

/// Identifier of the last shared part, which precedes the part that belongs to
/// the request alone.
std::string sharedPartId(const ModelPrompt &Prompt) {
  if (Prompt.Parts.size() < 2)
    return Prompt.Parts.empty() ? std::string() : Prompt.Parts.back().Id;
  return Prompt.Parts[Prompt.Parts.size() - 2].Id;
}

/// Prompt tokens that are not part of a shared prefix.
std::uint64_t unsharedTokens(const ModelPrompt &Prompt) {
  std::uint64_t Shared = 0;
  for (std::size_t I = 0; I + 1 < Prompt.Parts.size(); ++I)
    Shared += Prompt.Parts[I].Tokens;
  return Prompt.PromptTokens - std::min(Prompt.PromptTokens, Shared);
}

} // namespace

ServerTable::ServerTable(ServerTableOptions Options)
    : Options(std::move(Options)), Randomness(this->Options.Seed) {}

bool ServerTable::apply(const Membership::ServerRecord &Announced,
                        Common::TimePoint Now) {
  const Membership::ServerRegistry::Entry *Previous =
      this->Registry.find(Announced.Id);
  const std::uint64_t PreviousStartedAt =
      Previous ? Previous->Record.StartedAt : 0;
  const auto Outcome = this->Registry.update(Announced, Now);
  if (Outcome != Membership::ServerRegistry::Outcome::Changed)
    return false;
  if (PreviousStartedAt != Announced.StartedAt) {
    // A restarted server has an empty cache, and its earlier failures no longer
    // apply.
    ServerState &State = this->States[Announced.Id];
    State.PartsSentAt.clear();
    State.FailureRate = 0;
    State.ConsecutiveFailures = 0;
    State.BackoffUntil = {};
  }
  std::set<Common::ServiceName> AffectedServices = {Announced.Service};
  for (const auto &Each : this->Rings)
    for (const Common::BackendServerId &Id : Each.second.Servers)
      if (!this->serving(Id))
        AffectedServices.insert(Each.first);
  for (const Common::ServiceName &Each : AffectedServices)
    this->rebuildRing(Each);
  return true;
}

void ServerTable::refresh(const Common::BackendServerId &Id,
                          std::uint64_t StartedAt, std::uint64_t Sequence,
                          Common::TimePoint Now) {
  this->Registry.refresh(Id, StartedAt, Sequence, Now);
}

void ServerTable::removeExpired(Common::TimePoint Now) {
  this->Registry.removeExpired(Now, RecordRetention);
  std::erase_if(this->States, [this](const auto &Each) {
    return Each.second.Running == 0 && !this->Registry.find(Each.first);
  });
  std::vector<Common::ServiceName> Services;
  for (const auto &Each : this->Rings)
    Services.push_back(Each.first);
  for (const Common::ServiceName &Each : Services)
    this->rebuildRing(Each);
}

void ServerTable::rebuildRing(const Common::ServiceName &Service) {
  HashRing Rebuilt;
  for (const auto &[Id, Entry] : this->Registry.entries()) {
    if (Entry.Record.Service != Service ||
        Entry.Record.Phase != Membership::ServerPhase::Serving)
      continue;
    Rebuilt.Servers.push_back(Id);
    for (int I = 0; I < PointsPerServer; ++I)
      Rebuilt.Points[Common::hashBytes(Id.str(), I)] = Id;
  }
  this->Rings[Service] = std::move(Rebuilt);
}

void ServerTable::setRemoteLoad(const Common::BackendServerId &Id,
                                std::uint32_t Requests,
                                std::uint64_t PromptTokens) {
  ServerState &State = this->States[Id];
  State.RemoteRunning = Requests;
  State.RemotePendingPrefillTokens = PromptTokens;
}

void ServerTable::clearRemoteLoads() {
  for (auto &Each : this->States) {
    Each.second.RemoteRunning = 0;
    Each.second.RemotePendingPrefillTokens = 0;
  }
}

bool ServerTable::serving(const Common::BackendServerId &Id) const {
  const auto *Found = this->Registry.find(Id);
  return Found && Found->Record.Phase == Membership::ServerPhase::Serving;
}

bool ServerTable::hasServing(const Common::ServiceName &Service) const {
  const auto Found = this->Rings.find(Service);
  return Found != this->Rings.end() && !Found->second.Servers.empty();
}

std::vector<Common::BackendServerId>
ServerTable::candidates(const HashRing &Ring, const PlacementRequest &Request,
                        std::uint64_t Key) {
  if (Ring.Servers.size() <= MaxFullScan)
    return Ring.Servers;
  std::vector<Common::BackendServerId> Result;
  const auto Add = [&Result](const Common::BackendServerId &Id) {
    if (std::find(Result.begin(), Result.end(), Id) == Result.end())
      Result.push_back(Id);
  };
  if (Request.Prompt) {
    auto At = Ring.Points.lower_bound(Key);
    for (std::size_t Step = 0;
         Step < Ring.Points.size() && Result.size() < RingCandidates; ++Step) {
      if (At == Ring.Points.end())
        At = Ring.Points.begin();
      Add(At->second);
      ++At;
    }
  }
  for (std::size_t I = 0; I < RandomCandidates; ++I)
    Add(Ring.Servers[this->Randomness.below(Ring.Servers.size())]);
  return Result;
}

double ServerTable::expectedMilliseconds(const Membership::ServerRecord &Record,
                                         const ServerState &State,
                                         const PlacementRequest &Request,
                                         bool IsAffinityServer,
                                         std::uint64_t &Uncached,
                                         Common::TimePoint Now) const {
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
        PrefillTokensPerMillisecond;
    Expected += Running * StepMillisecondsPerRequest;
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
                                                  Common::TimePoint Now) {
  if (State.Running == 0)
    return 0;
  const double PrefillMilliseconds =
      static_cast<double>(State.PendingPrefillTokens +
                          State.RemotePendingPrefillTokens) /
      PrefillTokensPerMillisecond;
  const double SilentMilliseconds =
      1000 * Common::toSeconds(Now - State.LastActivityAt);
  return std::max(0.0, SilentMilliseconds - 2 * PrefillMilliseconds -
                           ToleratedSilenceMilliseconds);
}

Common::Duration
ServerTable::queuedPrefillTime(const ServerState &State,
                               const PlacementRequest &Request) {
  if (!Request.Prompt)
    return {};
  const auto Tokens = static_cast<double>(State.PendingPrefillTokens +
                                          State.RemotePendingPrefillTokens);
  return Common::fromSeconds(Tokens / PrefillTokensPerMillisecond / 1000);
}

std::optional<PlacementChoice>
ServerTable::choose(const PlacementRequest &Request, Common::TimePoint Now) {
  const auto Found = this->Rings.find(Request.Service);
  if (Found == this->Rings.end() || Found->second.Servers.empty())
    return std::nullopt;
  const HashRing &Ring = Found->second;
  const std::uint64_t Key =
      Request.Prompt ? Common::hashBytes(sharedPartId(*Request.Prompt)) : 0;
  // The server that the hash ring assigns to the prompt's shared part. Its
  // cache is assumed to hold the prompt's parts.
  Common::BackendServerId AffinityServer;
  if (Request.Prompt) {
    auto At = Ring.Points.lower_bound(Key);
    AffinityServer =
        At == Ring.Points.end() ? Ring.Points.begin()->second : At->second;
  }
  std::optional<PlacementChoice> Best;
  double BestCost = 0;
  for (const Common::BackendServerId &Id :
       this->candidates(Ring, Request, Key)) {
    const auto *Entry = this->Registry.find(Id);
    if (!Entry || Request.Excluded.count(Id) != 0)
      continue;
    const ServerState &State = this->States[Id];
    std::uint64_t Uncached = 0;
    const double Expected = this->expectedMilliseconds(
        Entry->Record, State, Request, Id == AffinityServer, Uncached, Now);
    double Cost =
        Expected + currentFailureRate(State, Now) * FailurePenaltyMilliseconds;
    if (Request.Prompt)
      Cost += static_cast<double>(Uncached - unsharedTokens(*Request.Prompt)) *
              RecomputePenaltyMillisecondsPerToken;
    if (Now < State.BackoffUntil)
      Cost += BackoffPenaltyMilliseconds;
    if (Now - Entry->HeardAt > this->Options.StaleAfter)
      Cost += StalePenaltyMilliseconds;
    Cost += unexpectedSilenceMilliseconds(State, Now) * SilencePenaltyWeight;
    // Ties are broken at random.
    Cost += this->Randomness.fraction();
    if (Best && Cost >= BestCost)
      continue;
    BestCost = Cost;
    Best = PlacementChoice{
        Id,
        Entry->Record.StartedAt,
        Entry->Record.Address,
        Common::fromSeconds(Expected / 1000),
        Uncached,
        queuedPrefillTime(State, Request),
        State.Running,
        State.RemoteRunning,
        std::chrono::duration_cast<Common::Duration>(Now - Entry->HeardAt)};
  }
  return Best;
}

void ServerTable::recordStart(const PlacementChoice &At,
                              const ModelPrompt *Prompt,
                              Common::TimePoint Now) {
  ServerState &State = this->States[At.Id];
  if (State.Running == 0)
    State.LastActivityAt = Now;
  ++State.Running;
  State.PendingPrefillTokens += At.UncachedTokens;
  if (!Prompt)
    return;
  if (State.PartsSentAt.size() > MaxTrackedParts)
    std::erase_if(State.PartsSentAt, [Now](const auto &Each) {
      return Now - Each.second > PartCacheLifetime;
    });
  for (std::size_t I = 0; I + 1 < Prompt->Parts.size(); ++I)
    State.PartsSentAt[Prompt->Parts[I].Id] = Now;
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

void ServerTable::recordEnd(const PlacementChoice &At, ServerOutcome Outcome,
                            Common::TimePoint Now) {
  ServerState &State = this->States[At.Id];
  State.Running -= std::min<std::uint32_t>(State.Running, 1);
  const auto *Entry = this->Registry.find(At.Id);
  if (!Entry || Entry->Record.StartedAt != At.ServerStartedAt)
    return;
  switch (Outcome) {
  case ServerOutcome::Answered:
    State.FailureRate *= 1 - OutcomeWeight;
    State.ConsecutiveFailures = 0;
    return;
  case ServerOutcome::Abandoned:
    return;
  case ServerOutcome::Rejected:
  case ServerOutcome::Failed:
    break;
  case ServerOutcome::Unreachable:
    ++State.ConsecutiveFailures;
    State.BackoffUntil =
        Now + std::min(MaxBackoff,
                       InitialBackoff *
                           (1 << std::min(State.ConsecutiveFailures - 1, 3u)));
    break;
  }
  const double Rate = currentFailureRate(State, Now);
  State.FailureRate = Rate + OutcomeWeight * (1 - Rate);
  State.FailedAt = Now;
}

std::vector<ServerTable::Load> ServerTable::localLoads() const {
  std::vector<Load> Result;
  for (const auto &[Id, State] : this->States)
    if (State.Running != 0)
      Result.push_back({Id, State.Running, State.PendingPrefillTokens});
  return Result;
}

} // namespace Routing
