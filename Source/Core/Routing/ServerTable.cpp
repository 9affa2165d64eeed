#include "Routing/ServerTable.h"

#include "Common/Hash.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <cmath>

namespace Routing {

namespace {

/// Points of a server on its service's ring; evens out the arcs.
constexpr int PointsPerServer = 16;
/// Servers looked at along the ring.
constexpr std::size_t RingCandidates = 3;
/// Servers looked at by lot.
constexpr std::size_t RandomCandidates = 3;
/// Up to this many servers all are looked at.
constexpr std::size_t LookAtAll = 24;
/// Prompt tokens that an engine reads in a millisecond, from the engines'
/// published figures.
constexpr double PromptTokensPerMillisecond = 50;
/// What each running request adds to a step, in milliseconds, from the
/// engines' published figures.
constexpr double StepMillisecondsPerRequest = 0.1;
/// What waiting for a slot is taken for, in milliseconds for each request
/// beyond the slots.
constexpr double SlotWaitMilliseconds = 60;
/// A part that was sent to a server within this time is taken as held there.
constexpr Common::Duration PartHeldFor = std::chrono::seconds(20);
/// Parts remembered for a server.
constexpr std::size_t MostPartsSeen = 4096;
/// Way to another data centre and its price, as waiting time.
constexpr double OtherDataCentreMilliseconds = 4;
/// Weight of the newest outcome in the share of failures.
constexpr double FailureWeight = 0.1;
/// A server that is not used is forgiven with this time constant, so that it
/// is tried again.
constexpr double FailureMemorySeconds = 3;
/// What a share of failures of one is taken for, in milliseconds of waiting.
constexpr double FailureMilliseconds = 1500;
/// What reading a shared prompt token again is taken for, in milliseconds of
/// waiting: it costs the engine's time and that of the requests beside it.
constexpr double RereadMillisecondsPerToken = 0.4;
/// How long a server that cannot be reached is avoided, first and at most.
constexpr Common::Duration FirstAvoid = std::chrono::milliseconds(400);
constexpr Common::Duration MostAvoid = std::chrono::milliseconds(3200);
/// Silence that says nothing, beyond twice the time that reading the prompts
/// there takes.
constexpr double UsualSilenceMilliseconds = 100;
/// What each further millisecond of silence is taken for, in milliseconds of
/// waiting: a server that has stopped mostly stays so for seconds.
constexpr double SilenceWeight = 10;
/// Penalties that put a server behind all others, in milliseconds.
constexpr double AvoidedMilliseconds = 20'000;
constexpr double StaleMilliseconds = 10'000;
constexpr Common::Duration KeepRecords = std::chrono::minutes(5);

/// The last part that requests share: the one before a request's own.
std::string sharedKey(const ModelPrompt &Prompt) {
  if (Prompt.Parts.size() < 2)
    return Prompt.Parts.empty() ? std::string() : Prompt.Parts.back().Id;
  return Prompt.Parts[Prompt.Parts.size() - 2].Id;
}

/// Prompt tokens that no other request shares.
std::uint64_t ownTokens(const ModelPrompt &Prompt) {
  std::uint64_t Shared = 0;
  for (std::size_t I = 0; I + 1 < Prompt.Parts.size(); ++I)
    Shared += Prompt.Parts[I].Tokens;
  return Prompt.PromptTokens - std::min(Prompt.PromptTokens, Shared);
}

} // namespace

ServerTable::ServerTable(ServerTableOptions Options)
    : Options(std::move(Options)), Randomness(this->Options.Seed) {}

bool ServerTable::apply(const Membership::ServerRecord &Said,
                        Common::TimePoint Now) {
  const Membership::ServerRegistry::Entry *Before =
      this->Registry.find(Said.Id);
  const std::uint64_t LifeBefore = Before ? Before->Record.StartedAt : 0;
  const auto Outcome = this->Registry.update(Said, Now);
  if (Outcome != Membership::ServerRegistry::Outcome::Changed)
    return false;
  if (LifeBefore != Said.StartedAt) {
    // A new life holds and knows nothing of the one before.
    Condition &Of = this->Conditions[Said.Id];
    Of.PartsSeen.clear();
    Of.FailureShare = 0;
    Of.FailuresInRow = 0;
    Of.AvoidUntil = {};
  }
  std::set<Common::ServiceName> Touched = {Said.Service};
  for (const auto &Each : this->Rings)
    for (const Common::BackendServerId &Id : Each.second.Servers)
      if (!this->serving(Id))
        Touched.insert(Each.first);
  for (const Common::ServiceName &Each : Touched)
    this->rebuildRing(Each);
  return true;
}

void ServerTable::refresh(const Common::BackendServerId &Id,
                          std::uint64_t StartedAt, std::uint64_t Sequence,
                          Common::TimePoint Now) {
  this->Registry.refresh(Id, StartedAt, Sequence, Now);
}

void ServerTable::forgetOld(Common::TimePoint Now) {
  this->Registry.removeExpired(Now, KeepRecords);
  std::erase_if(this->Conditions, [this](const auto &Each) {
    return Each.second.Running == 0 && !this->Registry.find(Each.first);
  });
  std::vector<Common::ServiceName> Services;
  for (const auto &Each : this->Rings)
    Services.push_back(Each.first);
  for (const Common::ServiceName &Each : Services)
    this->rebuildRing(Each);
}

void ServerTable::rebuildRing(const Common::ServiceName &Service) {
  Ring Fresh;
  for (const auto &[Id, Entry] : this->Registry.entries()) {
    if (Entry.Record.Service != Service ||
        Entry.Record.Phase != Membership::ServerPhase::Serving)
      continue;
    Fresh.Servers.push_back(Id);
    for (int I = 0; I < PointsPerServer; ++I)
      Fresh.Points[Common::hashBytes(Id.str(), I)] = Id;
  }
  this->Rings[Service] = std::move(Fresh);
}

void ServerTable::setOthersLoad(const Common::BackendServerId &Id,
                                std::uint32_t Requests,
                                std::uint64_t PromptTokens) {
  Condition &Of = this->Conditions[Id];
  Of.OthersRunning = Requests;
  Of.OthersPendingTokens = PromptTokens;
}

void ServerTable::clearOthersLoad() {
  for (auto &Each : this->Conditions) {
    Each.second.OthersRunning = 0;
    Each.second.OthersPendingTokens = 0;
  }
}

bool ServerTable::serving(const Common::BackendServerId &Id) const {
  const auto *Found = this->Registry.find(Id);
  return Found && Found->Record.Phase == Membership::ServerPhase::Serving;
}

bool ServerTable::anyServing(const Common::ServiceName &Service) const {
  const auto Found = this->Rings.find(Service);
  return Found != this->Rings.end() && !Found->second.Servers.empty();
}

std::vector<Common::BackendServerId>
ServerTable::candidates(const Ring &Of, const Placement &Wanted,
                        std::uint64_t Key) {
  if (Of.Servers.size() <= LookAtAll)
    return Of.Servers;
  std::vector<Common::BackendServerId> Result;
  const auto Add = [&Result](const Common::BackendServerId &Id) {
    if (std::find(Result.begin(), Result.end(), Id) == Result.end())
      Result.push_back(Id);
  };
  if (Wanted.Prompt) {
    auto At = Of.Points.lower_bound(Key);
    for (std::size_t Step = 0;
         Step < Of.Points.size() && Result.size() < RingCandidates; ++Step) {
      if (At == Of.Points.end())
        At = Of.Points.begin();
      Add(At->second);
      ++At;
    }
  }
  for (std::size_t I = 0; I < RandomCandidates; ++I)
    Add(Of.Servers[this->Randomness.below(Of.Servers.size())]);
  return Result;
}

double ServerTable::expectedMilliseconds(const Membership::ServerRecord &Record,
                                         const Condition &State,
                                         const Placement &Wanted, bool Home,
                                         std::uint64_t &Uncached,
                                         Common::TimePoint Now) const {
  const double Running = State.Running + State.OthersRunning;
  double Expected = 0;
  Uncached = 0;
  if (Wanted.Prompt) {
    Uncached = Wanted.Prompt->PromptTokens;
    for (std::size_t I = 0; I + 1 < Wanted.Prompt->Parts.size(); ++I) {
      const PromptPart &Part = Wanted.Prompt->Parts[I];
      const auto Seen = State.PartsSeen.find(Part.Id);
      const bool Held = Home || (Seen != State.PartsSeen.end() &&
                                 Now - Seen->second < PartHeldFor);
      if (!Held)
        break;
      Uncached -= std::min(Uncached, Part.Tokens);
    }
    Expected += static_cast<double>(State.PendingTokens +
                                    State.OthersPendingTokens + Uncached) /
                PromptTokensPerMillisecond;
    Expected += Running * StepMillisecondsPerRequest;
  }
  const double Beyond = Running + 1 - Record.Slots;
  if (Beyond > 0)
    Expected += Beyond * SlotWaitMilliseconds;
  else if (!Wanted.Prompt)
    Expected += Running * SlotWaitMilliseconds / (4.0 * Record.Slots);
  if (Record.DataCentre != this->Options.Own)
    Expected += OtherDataCentreMilliseconds;
  Expected += static_cast<double>(Record.WarmUpMilliseconds) / 100;
  return Expected;
}

double ServerTable::failureShare(const Condition &State,
                                 Common::TimePoint Now) {
  return State.FailureShare *
         std::exp(-Common::toSeconds(Now - State.FailedAt) /
                  FailureMemorySeconds);
}

double ServerTable::silenceMilliseconds(const Condition &State,
                                        Common::TimePoint Now) {
  if (State.Running == 0)
    return 0;
  const double Reading =
      static_cast<double>(State.PendingTokens + State.OthersPendingTokens) /
      PromptTokensPerMillisecond;
  const double Silent = 1000 * Common::toSeconds(Now - State.HeardAt);
  return std::max(0.0, Silent - 2 * Reading - UsualSilenceMilliseconds);
}

Common::Duration ServerTable::readingTime(const Condition &State,
                                          const Placement &Wanted) {
  if (!Wanted.Prompt)
    return {};
  const auto Tokens =
      static_cast<double>(State.PendingTokens + State.OthersPendingTokens);
  return Common::fromSeconds(Tokens / PromptTokensPerMillisecond / 1000);
}

std::optional<PlacementChoice> ServerTable::choose(const Placement &Wanted,
                                                   Common::TimePoint Now) {
  const auto Found = this->Rings.find(Wanted.Service);
  if (Found == this->Rings.end() || Found->second.Servers.empty())
    return std::nullopt;
  const Ring &Of = Found->second;
  const std::uint64_t Key =
      Wanted.Prompt ? Common::hashBytes(sharedKey(*Wanted.Prompt)) : 0;
  Common::BackendServerId HomeServer;
  if (Wanted.Prompt) {
    auto At = Of.Points.lower_bound(Key);
    HomeServer = At == Of.Points.end() ? Of.Points.begin()->second : At->second;
  }
  std::optional<PlacementChoice> Best;
  double BestCost = 0;
  for (const Common::BackendServerId &Id : this->candidates(Of, Wanted, Key)) {
    const auto *Entry = this->Registry.find(Id);
    if (!Entry || Wanted.Tried.count(Id) != 0)
      continue;
    const Condition &State = this->Conditions[Id];
    std::uint64_t Uncached = 0;
    const double Expected = this->expectedMilliseconds(
        Entry->Record, State, Wanted, Id == HomeServer, Uncached, Now);
    double Cost = Expected + failureShare(State, Now) * FailureMilliseconds;
    if (Wanted.Prompt)
      Cost += static_cast<double>(Uncached - ownTokens(*Wanted.Prompt)) *
              RereadMillisecondsPerToken;
    if (Now < State.AvoidUntil)
      Cost += AvoidedMilliseconds;
    if (Now - Entry->HeardAt > this->Options.FreshFor)
      Cost += StaleMilliseconds;
    Cost += silenceMilliseconds(State, Now) * SilenceWeight;
    // Equal servers are taken by lot.
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
        readingTime(State, Wanted),
        State.Running,
        State.OthersRunning,
        std::chrono::duration_cast<Common::Duration>(Now - Entry->HeardAt)};
  }
  return Best;
}

void ServerTable::started(const PlacementChoice &At, const ModelPrompt *Prompt,
                          Common::TimePoint Now) {
  Condition &Of = this->Conditions[At.Id];
  if (Of.Running == 0)
    Of.HeardAt = Now;
  ++Of.Running;
  Of.PendingTokens += At.UncachedTokens;
  if (!Prompt)
    return;
  if (Of.PartsSeen.size() > MostPartsSeen)
    std::erase_if(Of.PartsSeen, [Now](const auto &Each) {
      return Now - Each.second > PartHeldFor;
    });
  for (std::size_t I = 0; I + 1 < Prompt->Parts.size(); ++I)
    Of.PartsSeen[Prompt->Parts[I].Id] = Now;
}

void ServerTable::heard(const PlacementChoice &At, Common::TimePoint Now) {
  this->Conditions[At.Id].HeardAt = Now;
  this->AnyHeardAt = Now;
}

Common::Duration ServerTable::silence(const PlacementChoice &At,
                                      Common::TimePoint Now) const {
  const auto Found = this->Conditions.find(At.Id);
  if (Found == this->Conditions.end() || Found->second.Running == 0)
    return {};
  return std::chrono::duration_cast<Common::Duration>(Now -
                                                      Found->second.HeardAt);
}

void ServerTable::beganOutput(const PlacementChoice &At) {
  Condition &Of = this->Conditions[At.Id];
  Of.PendingTokens -= std::min(Of.PendingTokens, At.UncachedTokens);
}

void ServerTable::ended(const PlacementChoice &At, ServerOutcome Outcome,
                        Common::TimePoint Now) {
  Condition &Of = this->Conditions[At.Id];
  Of.Running -= std::min<std::uint32_t>(Of.Running, 1);
  const auto *Entry = this->Registry.find(At.Id);
  if (!Entry || Entry->Record.StartedAt != At.StartedAt)
    return;
  switch (Outcome) {
  case ServerOutcome::Answered:
    Of.FailureShare *= 1 - FailureWeight;
    Of.FailuresInRow = 0;
    return;
  case ServerOutcome::Abandoned:
    return;
  case ServerOutcome::Rejected:
  case ServerOutcome::Failed:
    break;
  case ServerOutcome::Unreachable:
    ++Of.FailuresInRow;
    Of.AvoidUntil =
        Now + std::min(MostAvoid,
                       FirstAvoid * (1 << std::min(Of.FailuresInRow - 1, 3u)));
    break;
  }
  const double Share = failureShare(Of, Now);
  Of.FailureShare = Share + FailureWeight * (1 - Share);
  Of.FailedAt = Now;
}

std::vector<ServerTable::Load> ServerTable::ownLoads() const {
  std::vector<Load> Result;
  for (const auto &[Id, Of] : this->Conditions)
    if (Of.Running != 0)
      Result.push_back({Id, Of.Running, Of.PendingTokens});
  return Result;
}

} // namespace Routing
