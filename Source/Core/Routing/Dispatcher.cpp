#include "Routing/Dispatcher.h"

#include <algorithm>

namespace Routing {

using Common::RefusalReason;
using Common::RetryReason;

namespace {

RetryReason retryReasonOf(Failure Kind) {
  switch (Kind) {
  case Failure::ConnectFailed:
    return RetryReason::ConnectFailed;
  case Failure::ConnectionLost:
    return RetryReason::ConnectionLost;
  case Failure::StreamBroken:
    return RetryReason::StreamBroken;
  case Failure::ServerError:
  case Failure::InvalidAnswer:
    return RetryReason::ServerError;
  }
  return RetryReason::ConnectionLost;
}

} // namespace

void Dispatcher::configure(
    const std::map<Common::PriorityName, Admission::PriorityRule> &Priorities) {
  this->Scheduler.configure(Priorities);
}

Admission::Cost
Dispatcher::costWithoutCache(const DispatchRequest &Work) const {
  return Admission::Cost{
      std::max<std::uint64_t>(Work.PromptTokens + Work.ExpectedTokens, 1)};
}

Dispatcher::RequestState &Dispatcher::track(DispatchRequest Request,
                                            Common::TimePoint Now) {
  const Common::RequestId Id = Request.Id;
  RequestState &State = this->Requests[Id];
  State.Cost = this->costWithoutCache(Request);
  State.ArrivedAt = Now;
  State.Deadline = Now + Request.Target;
  State.Work = std::move(Request);
  return State;
}

std::optional<RefusalReason>
Dispatcher::checkAdmission(const DispatchRequest &Request,
                           Common::TimePoint Now) {
  if (this->isRefused(Request, Now))
    return RefusalReason::Quarantined;
  if (this->waiting() >= this->Options.MaxWaiting)
    return RefusalReason::QueueFull;
  const auto RestEnd = this->Servers.restEnd(Now);
  if (RestEnd && *RestEnd > Now + Request.Target)
    return RefusalReason::ServersResting;
  if (this->Options.RefuseEarly && !this->canMeetTarget(Request, Now))
    return RefusalReason::TargetUnreachable;
  return std::nullopt;
}

std::optional<RefusalReason> Dispatcher::submit(DispatchRequest Request,
                                                Common::TimePoint Now) {
  const auto Reason = this->checkAdmission(Request, Now);
  if (Reason)
    return Reason;
  this->RetryBudgets[Request.Priority].recordRequest();
  this->enqueue(this->track(std::move(Request), Now), false);
  return std::nullopt;
}

void Dispatcher::readmit(DispatchRequest Request, Common::TimePoint Now) {
  RequestState &State = this->track(std::move(Request), Now);
  State.Deadline = Common::TimePoint::max();
  this->enqueue(State, false);
}

bool Dispatcher::canMeetTarget(const DispatchRequest &Request,
                               Common::TimePoint Now) {
  const Admission::Cost OwnCost = this->costWithoutCache(Request);
  const auto Waiting = this->waitingPriorities();
  const double Share =
      this->Scheduler.availableShare(Request.Priority, Waiting, Now);
  const Admission::Cost OwnWorkAhead =
      this->Queues[Request.Priority].workAhead(Request.Caller, OwnCost, Now);
  Admission::Cost WorkAhead = OwnWorkAhead;
  const Admission::PriorityRule *Rule = this->Scheduler.find(Request.Priority);
  for (const Common::PriorityName &Other : Waiting) {
    const Admission::PriorityRule *OtherRule = this->Scheduler.find(Other);
    if (Rule && OtherRule && OtherRule->Rank < Rule->Rank)
      WorkAhead.Value += this->Queues[Other].queuedCost().Value;
  }
  if (WorkAhead.Value == 0)
    return true;
  const auto Slots = static_cast<double>(this->Servers.totalConcurrencyLimit());
  const double UsableSlots = std::max(Slots, 1.0);
  // Two estimates: the wait behind all more urgent work, and the wait if the
  // priority receives only its minimum share. The shorter one applies.
  const Common::Duration WaitBehindUrgent =
      this->Rate.estimateWait(WorkAhead, UsableSlots, Share);
  const Common::Duration WaitAtMinimumShare = this->Rate.estimateWait(
      OwnWorkAhead, UsableSlots, this->Scheduler.floorOf(Request.Priority));
  const Common::Duration Expected =
      std::min(WaitBehindUrgent, WaitAtMinimumShare) +
      this->Rate.timeToFirstToken();
  return Common::toSeconds(Expected) <=
         Common::toSeconds(Request.Target) * this->Options.RefuseAbove;
}

void Dispatcher::enqueue(const RequestState &State, bool AtFront) {
  Admission::WaitingRequest Waiting;
  Waiting.Id = State.Work.Id;
  Waiting.Caller = State.Work.Caller;
  Waiting.CallerWeight = State.Work.CallerWeight;
  Waiting.Cost = State.Cost;
  Waiting.Deadline = State.Deadline;
  Admission::FairQueue &Queue = this->Queues[State.Work.Priority];
  if (AtFront)
    Queue.pushFront(Waiting);
  else
    Queue.push(Waiting);
}

std::vector<Common::PriorityName> Dispatcher::waitingPriorities() const {
  std::vector<Common::PriorityName> Result;
  for (const auto &[Name, Queue] : this->Queues)
    if (!Queue.empty())
      Result.push_back(Name);
  return Result;
}

std::size_t Dispatcher::waiting() const {
  std::size_t Count = this->Deferred.size();
  for (const auto &Each : this->Queues)
    Count += Each.second.size();
  return Count;
}

std::vector<Action> Dispatcher::poll(double Share, std::uint64_t DaemonSalt,
                                     Common::TimePoint Now) {
  std::vector<Action> Actions;
  for (const RefuseAction &Each : this->PendingRefusals)
    Actions.push_back(Each);
  this->PendingRefusals.clear();
  this->Servers.updateConditions(Now);
  this->Servers.updateLimits(Share, DaemonSalt);
  this->refuseExpired(Actions, Now);
  this->startDeferred(Actions, Now);
  while (this->startNext(Actions, Now)) {
  }
  if (this->Options.Preempt)
    this->preempt(Actions, Now);
  return Actions;
}

void Dispatcher::refuseExpired(std::vector<Action> &Actions,
                               Common::TimePoint Now) {
  const auto RestEnd = this->Servers.restEnd(Now);
  RefusalReason Reason = RefusalReason::WaitedTooLong;
  if (!this->Servers.anyUsable())
    Reason = RefusalReason::NoBackendServer;
  else if (RestEnd)
    Reason = RefusalReason::ServersResting;
  for (auto &Each : this->Queues)
    for (const auto &Expired : Each.second.takeExpired(RestEnd.value_or(Now))) {
      Actions.push_back(RefuseAction{Expired.Id, Reason});
      this->Requests.erase(Expired.Id);
    }
}

std::set<Common::BackendServerId>
Dispatcher::serversRunningSuspects(Common::TimePoint Now) const {
  std::set<Common::BackendServerId> Result;
  for (const auto &[Id, Each] : this->Requests)
    if (Each.running() &&
        this->QuarantineState.isSuspect(Each.Work.Fingerprint, Now))
      Result.insert(Each.Server);
  return Result;
}

std::optional<Common::BackendServerId>
Dispatcher::serverRunning(Fingerprint Content) const {
  const auto Found = this->RunningContents.find(Content);
  if (Found == this->RunningContents.end())
    return std::nullopt;
  return this->Requests.at(Found->second).Server;
}

bool Dispatcher::isRestricted(const RequestState &State,
                              Common::TimePoint Now) const {
  const Fingerprint Content = State.Work.Fingerprint;
  return !State.FailedServers.empty() ||
         this->QuarantineState.isSuspect(Content, Now) ||
         (!this->QuarantineState.isSafe(Content) &&
          this->serverRunning(Content));
}

bool Dispatcher::start(RequestState &State, std::vector<Action> &Actions,
                       Common::TimePoint Now) {
  ChoiceQuery Query;
  Query.Blocks = State.Work.Blocks;
  Query.AffinityKey = State.Work.AffinityKey;
  Query.Excluded = State.FailedServers;
  Query.Suspect = this->QuarantineState.isSuspect(State.Work.Fingerprint, Now);
  if (Query.Suspect)
    Query.ServersRunningSuspects = this->serversRunningSuspects(Now);
  // Until a request with this content has succeeded, copies of it run on one
  // server only, so that they can crash at most that one.
  if (!this->QuarantineState.isSafe(State.Work.Fingerprint))
    Query.RequiredServer = this->serverRunning(State.Work.Fingerprint);
  if (Query.Suspect && Query.RequiredServer)
    return false;
  const auto Chosen = chooseServer(this->Servers, Query, this->Options.Choice);
  if (!Chosen)
    return false;
  PooledServer &Server = *this->Servers.find(Chosen->Server);
  Server.Running.insert(State.Work.Id);
  this->RunningContents.emplace(State.Work.Fingerprint, State.Work.Id);
  Server.Cache.recordPrompt(State.Work.Blocks);
  const std::uint64_t Cached = std::min<std::uint64_t>(
      Chosen->MatchedBlocks * BlockTokens, State.Work.PromptTokens);
  State.Server = Chosen->Server;
  State.ServerLifetime = Server.Status.Incarnation;
  State.StartedAt = Now;
  if (ServerCondition *Condition =
          this->Servers.recordCondition(State.incarnation()))
    Condition->recordSent(Now);
  Server.AcceptsRequests =
      this->Servers.conditions().acceptsRequests(State.incarnation(), Now);
  State.Progress = AnswerProgress();
  State.UncachedTokens = State.Work.PromptTokens - Cached;
  State.Cost = this->remainingCost(State);
  ++State.Attempts;
  this->Scheduler.recordService(State.Work.Priority, State.Cost, Now);
  this->UsageByCaller[State.Work.Caller].Value += State.Cost.Value;
  Actions.push_back(StartAction{State.Work.Id, Chosen->Server});
  return true;
}

void Dispatcher::startDeferred(std::vector<Action> &Actions,
                               Common::TimePoint Now) {
  const auto RestEnd = this->Servers.restEnd(Now);
  std::vector<Common::RequestId> StillDeferred;
  for (const Common::RequestId Id : this->Deferred) {
    const auto Found = this->Requests.find(Id);
    if (Found == this->Requests.end())
      continue;
    if (this->isRefused(Found->second.Work, Now)) {
      Actions.push_back(RefuseAction{Id, RefusalReason::Quarantined});
      this->Requests.erase(Found);
    } else if (Found->second.Deadline <= RestEnd.value_or(Now)) {
      Actions.push_back(RefuseAction{Id, RestEnd
                                             ? RefusalReason::ServersResting
                                             : RefusalReason::WaitedTooLong});
      this->Requests.erase(Found);
    } else if (!this->start(Found->second, Actions, Now)) {
      StillDeferred.push_back(Id);
    }
  }
  this->Deferred = std::move(StillDeferred);
}

bool Dispatcher::startNext(std::vector<Action> &Actions,
                           Common::TimePoint Now) {
  const auto Chosen = this->Scheduler.choose(this->waitingPriorities(), Now);
  if (!Chosen)
    return false;
  Admission::FairQueue &Queue = this->Queues[*Chosen];
  const Common::RequestId Id = Queue.front(Now)->Id;
  RequestState &State = this->Requests.at(Id);
  if (this->isRefused(State.Work, Now)) {
    Queue.pop(Now);
    Actions.push_back(RefuseAction{Id, RefusalReason::Quarantined});
    this->Requests.erase(Id);
    return true;
  }
  if (this->start(State, Actions, Now)) {
    Queue.pop(Now);
    return true;
  }
  // A request that is blocked by its own restrictions must not block the
  // requests behind it.
  const bool Restricted = this->isRestricted(State, Now);
  const bool AnyCapacity = std::any_of(
      this->Servers.servers().begin(), this->Servers.servers().end(),
      [](const auto &Server) { return Server.second.hasCapacity(); });
  if (!Restricted || !AnyCapacity)
    return false;
  Queue.pop(Now);
  this->Deferred.push_back(Id);
  return true;
}

Dispatcher::RequestState *
Dispatcher::choosePreemptionVictim(std::uint64_t UrgentRank,
                                   Common::TimePoint Now) {
  RequestState *Victim = nullptr;
  std::uint64_t VictimRank = 0;
  for (auto &[Id, Each] : this->Requests) {
    // A stream is preempted at most once; otherwise it might never finish.
    if (!Each.running() || !Each.Work.Resumable || Each.WasPreempted)
      continue;
    const Admission::PriorityRule *Rule =
        this->Scheduler.find(Each.Work.Priority);
    const bool AboveFloor = Rule && this->Scheduler.recentShare(
                                        Each.Work.Priority, Now) > Rule->Floor;
    const PooledServer *Server = this->Servers.find(Each.Server);
    // The place of a stream on a resting server would stay empty.
    if (!Rule || Rule->Rank <= UrgentRank || !AboveFloor || !Server ||
        !Server->Status.Usable || !Server->AcceptsRequests)
      continue;
    const bool IsBetter = !Victim || Rule->Rank > VictimRank ||
                          (Rule->Rank == VictimRank &&
                           Each.TokensReceived < Victim->TokensReceived);
    if (!IsBetter)
      continue;
    Victim = &Each;
    VictimRank = Rule->Rank;
  }
  return Victim;
}

void Dispatcher::preempt(std::vector<Action> &Actions, Common::TimePoint Now) {
  // Limits the work that is cancelled in one poll.
  constexpr int MaxPreemptions = 4;
  for (int I = 0; I < MaxPreemptions; ++I) {
    const Common::PriorityName *Urgent = nullptr;
    std::uint64_t UrgentRank = 0;
    for (const auto &[Name, Queue] : this->Queues) {
      const Admission::PriorityRule *Rule = this->Scheduler.find(Name);
      if (Queue.empty() || !Rule || (Urgent && Rule->Rank >= UrgentRank))
        continue;
      Urgent = &Name;
      UrgentRank = Rule->Rank;
    }
    if (!Urgent)
      return;
    Admission::FairQueue &Queue = this->Queues.at(*Urgent);
    RequestState &UrgentRequest = this->Requests.at(Queue.front(Now)->Id);
    const auto PreemptionDelay =
        Common::fromSeconds(Common::toSeconds(UrgentRequest.Work.Target) *
                            this->Options.PreemptAfter);
    if (Now - UrgentRequest.ArrivedAt < PreemptionDelay)
      return;
    RequestState *Victim = this->choosePreemptionVictim(UrgentRank, Now);
    if (!Victim)
      return;
    Actions.push_back(PreemptAction{Victim->Work.Id, Victim->Server});
    this->RetryReasons.push_back(RetryReason::Preempted);
    // The work that remains is not counted as served.
    Victim->UncachedTokens = 0;
    this->Scheduler.refundService(Victim->Work.Priority,
                                  this->remainingCost(*Victim), Now);
    this->releaseServer(*Victim);
    Victim->WasPreempted = true;
    Victim->Deadline = Common::TimePoint::max();
    this->enqueue(*Victim, true);
    if (!this->start(UrgentRequest, Actions, Now))
      return;
    Queue.pop(Now);
  }
}

Admission::Cost Dispatcher::remainingCost(const RequestState &State) const {
  const std::uint64_t Tokens =
      State.Work.ExpectedTokens -
      std::min(State.Work.ExpectedTokens, State.TokensReceived);
  return Admission::Cost{
      std::max<std::uint64_t>(State.UncachedTokens + Tokens, 1)};
}

void Dispatcher::releaseServer(RequestState &State) {
  if (PooledServer *Server = this->Servers.find(State.Server))
    Server->Running.erase(State.Work.Id);
  const auto Same = this->RunningContents.equal_range(State.Work.Fingerprint);
  for (auto Copy = Same.first; Copy != Same.second; ++Copy)
    if (Copy->second == State.Work.Id) {
      this->RunningContents.erase(Copy);
      break;
    }
  if (ServerCondition *Condition =
          this->Servers.recordCondition(State.incarnation()))
    Condition->recordEnd(State.StartedAt);
  State.Server = Common::BackendServerId();
}

std::optional<Common::TimePoint>
Dispatcher::onRetryAfter(Common::RequestId Id, Common::Duration Asked,
                         Common::TimePoint Now) {
  const auto Server = this->serverOf(Id);
  if (!Server)
    return std::nullopt;
  ServerCondition *Condition = this->Servers.recordCondition(*Server);
  if (!Condition)
    return std::nullopt;
  const auto RestEnd = Condition->recordRetryAfter(Asked, Now);
  this->Servers.updateConditions(Now);
  return RestEnd;
}

bool Dispatcher::onAccepted(Common::RequestId Id) {
  const auto Server = this->serverOf(Id);
  if (!Server)
    return false;
  ServerCondition *Condition = this->Servers.recordCondition(*Server);
  return Condition && Condition->recordAnswer(this->Requests.at(Id).StartedAt);
}

bool Dispatcher::mayWrite(Common::RequestId Id, Common::TimePoint Now) const {
  const auto Server = this->serverOf(Id);
  if (!Server)
    return true;
  const ServerCondition *Condition = this->Servers.conditions().find(*Server);
  return !Condition ||
         Condition->mayWrite(this->Requests.at(Id).StartedAt, Now);
}

std::optional<ServerIncarnation>
Dispatcher::serverOf(Common::RequestId Id) const {
  const auto Found = this->Requests.find(Id);
  if (Found == this->Requests.end() || !Found->second.running())
    return std::nullopt;
  return Found->second.incarnation();
}

std::vector<Common::RequestId>
Dispatcher::requestsAt(const Common::BackendServerId &Server) const {
  std::vector<Common::RequestId> Result;
  for (const auto &[Id, Each] : this->Requests)
    if (Each.Server == Server)
      Result.push_back(Id);
  return Result;
}

void Dispatcher::onFirstToken(Common::RequestId Id, Common::TimePoint Now) {
  const auto Found = this->Requests.find(Id);
  if (Found == this->Requests.end() || !Found->second.running() ||
      Found->second.FirstTokenReceived)
    return;
  RequestState &State = Found->second;
  State.FirstTokenReceived = true;
  this->recordAnswerBytes(State, Now);
  this->Rate.recordFirstToken(Now - State.StartedAt);
  if (PooledServer *Server = this->Servers.find(State.Server))
    Server->Window.recordFirstToken(Now - State.StartedAt,
                                    State.UncachedTokens);
}

void Dispatcher::onProgress(Common::RequestId Id, std::uint64_t Tokens,
                            Common::TimePoint Now) {
  const auto Found = this->Requests.find(Id);
  if (Found == this->Requests.end())
    return;
  RequestState &State = Found->second;
  const bool Grew = Tokens > State.TokensReceived;
  State.TokensReceived = Tokens;
  if (State.running() && Grew)
    this->recordAnswerBytes(State, Now);
}

void Dispatcher::recordAnswerBytes(RequestState &State, Common::TimePoint Now) {
  const bool WasProven = State.Progress.hasSurvived();
  State.Progress.recordBytes(Now);
  if (!WasProven && State.Progress.hasSurvived())
    this->PromptQuarantineState.recordOwnSurvival(State.Work.Parts,
                                                  *State.Progress.beganAt());
}

bool Dispatcher::isRefused(const DispatchRequest &Work,
                           Common::TimePoint Now) const {
  return this->QuarantineState.isRefused(Work.Fingerprint, Now) ||
         this->PromptQuarantineState.isRefused(Work.Parts, Now);
}

std::vector<Common::CauseSet>
Dispatcher::unprovenRunsAt(const Common::BackendServerId &Server) const {
  std::vector<Common::CauseSet> Result;
  for (const auto &Each : this->Requests) {
    const RequestState &State = Each.second;
    if (State.Server == Server && State.Progress.beganAt() &&
        !State.Progress.hasSurvived() && !State.Work.Parts.empty())
      Result.push_back(State.Work.Parts);
  }
  return Result;
}

void Dispatcher::onFinished(Common::RequestId Id, Common::TimePoint Now) {
  const auto Found = this->Requests.find(Id);
  if (Found == this->Requests.end())
    return;
  RequestState &State = Found->second;
  if (State.running())
    this->Rate.recordCompletion(State.Cost, Now - State.StartedAt);
  this->QuarantineState.recordSuccess(State.Work.Fingerprint);
  if (State.running() && !State.Progress.hasSurvived()) {
    State.Progress.recordFramedEnd(Now);
    this->PromptQuarantineState.recordOwnSurvival(State.Work.Parts,
                                                  *State.Progress.beganAt());
  }
  this->releaseServer(State);
  this->Requests.erase(Found);
}

void Dispatcher::onFailed(Common::RequestId Id, Failure Kind,
                          Common::TimePoint Now) {
  const auto Found = this->Requests.find(Id);
  if (Found == this->Requests.end() || !Found->second.running())
    return;
  RequestState &State = Found->second;
  if (Kind != Failure::ServerError)
    this->Servers.markFailed(State.Server);
  State.FailedServers.insert(State.Server);
  this->releaseServer(State);
  const bool MayRetry = State.Attempts < this->Options.MaxAttempts &&
                        this->RetryBudgets[State.Work.Priority].tryConsume();
  if (this->isRefused(State.Work, Now)) {
    this->PendingRefusals.push_back({Id, RefusalReason::Quarantined});
    this->Requests.erase(Found);
    return;
  }
  if (!MayRetry) {
    this->PendingRefusals.push_back({Id, RefusalReason::RetriesExhausted});
    this->Requests.erase(Found);
    return;
  }
  this->RetryReasons.push_back(retryReasonOf(Kind));
  // The request was already admitted, so it goes back to the head of its
  // caller's queue.
  State.Deadline = std::max(State.Deadline, Now + State.Work.Target);
  this->enqueue(State, true);
}

void Dispatcher::requeue(Common::RequestId Id) {
  const auto Found = this->Requests.find(Id);
  if (Found == this->Requests.end() || !Found->second.running())
    return;
  this->releaseServer(Found->second);
  this->enqueue(Found->second, true);
}

void Dispatcher::remove(Common::RequestId Id) {
  const auto Found = this->Requests.find(Id);
  if (Found == this->Requests.end())
    return;
  if (Found->second.running())
    this->releaseServer(Found->second);
  else
    this->Queues[Found->second.Work.Priority].remove(Id);
  std::erase(this->Deferred, Id);
  this->Requests.erase(Found);
}

std::vector<Fingerprint>
Dispatcher::onServerFailed(const ServerIncarnation &Server,
                           const std::vector<Fingerprint> &Contents,
                           Common::TimePoint Now) {
  const PooledServer *Known = this->Servers.find(Server.BackendServer);
  if (Known && Known->Status.Incarnation == Server.Incarnation)
    this->Servers.markFailed(Server.BackendServer);
  // The requests that ran there are now suspects and run apart from each other.
  if (!Contents.empty())
    this->RetryReasons.push_back(RetryReason::SuspectIsolated);
  return this->QuarantineState.recordServerFailure(
      Server, Contents, this->Options.QuarantineDuration, Now);
}

std::vector<Fingerprint>
Dispatcher::runningAt(const Common::BackendServerId &Server) const {
  std::vector<Fingerprint> Result;
  for (const auto &Each : this->Requests)
    if (Each.second.Server == Server)
      Result.push_back(Each.second.Work.Fingerprint);
  return Result;
}

void Dispatcher::chargeRemoteUsage(const Common::CallerId &Caller,
                                   Admission::Cost Usage,
                                   Common::TimePoint Now) {
  for (auto &Each : this->Queues)
    Each.second.charge(Caller, Usage, Now);
}

std::map<Common::CallerId, Admission::Cost> Dispatcher::takeUsage() {
  return std::exchange(this->UsageByCaller, {});
}

std::vector<RetryReason> Dispatcher::takeRetryReasons() {
  return std::exchange(this->RetryReasons, {});
}

} // namespace Routing
