#include "Routing/Dispatcher.h"

#include <algorithm>

namespace Routing {

using Common::RefusalReason;
using Common::RetryReason;

namespace {

RetryReason retryReasonOf(Failure What) {
  switch (What) {
  case Failure::ConnectFailed:
    return RetryReason::ConnectFailed;
  case Failure::ConnectionLost:
    return RetryReason::ConnectionLost;
  case Failure::StreamBroken:
    return RetryReason::StreamBroken;
  case Failure::ServerError:
    return RetryReason::ServerError;
  }
  return RetryReason::ConnectionLost;
}

} // namespace

void Dispatcher::configure(
    const std::map<Common::PriorityName, Admission::PriorityRule> &Declared) {
  this->Scheduler.configure(Declared);
}

Admission::Cost Dispatcher::costOf(const WorkRequest &Work) const {
  return Admission::Cost{
      std::max<std::uint64_t>(Work.PromptTokens + Work.ExpectedTokens, 1)};
}

Dispatcher::Tracked &Dispatcher::track(WorkRequest Request,
                                       Common::TimePoint Now) {
  const Common::RequestId Id = Request.Id;
  Tracked &Each = this->Requests[Id];
  Each.Cost = this->costOf(Request);
  Each.ArrivedAt = Now;
  Each.Deadline = Now + Request.Target;
  Each.Work = std::move(Request);
  return Each;
}

std::optional<RefusalReason> Dispatcher::refusalOf(const WorkRequest &Request,
                                                   Common::TimePoint Now) {
  if (this->Suspects.refused(Request.Fingerprint, Now))
    return RefusalReason::Quarantined;
  if (this->waiting() >= this->Rules.MaxWaiting)
    return RefusalReason::QueueFull;
  if (this->Rules.RefuseEarly && !this->canMeetTarget(Request, Now))
    return RefusalReason::TargetUnreachable;
  return std::nullopt;
}

std::optional<RefusalReason> Dispatcher::arrive(WorkRequest Request,
                                                Common::TimePoint Now) {
  const auto Reason = this->refusalOf(Request, Now);
  if (Reason)
    return Reason;
  this->Budgets[Request.Priority].requestSeen();
  this->enqueue(this->track(std::move(Request), Now), false);
  return std::nullopt;
}

void Dispatcher::readmit(WorkRequest Request, Common::TimePoint Now) {
  Tracked &Each = this->track(std::move(Request), Now);
  Each.Deadline = Common::TimePoint::max();
  this->enqueue(Each, false);
}

bool Dispatcher::canMeetTarget(const WorkRequest &Request,
                               Common::TimePoint Now) {
  const Admission::Cost Own = this->costOf(Request);
  const auto Waiting = this->waitingPriorities();
  const double Share =
      this->Scheduler.available(Request.Priority, Waiting, Now);
  const Admission::Cost OwnBefore =
      this->Queues[Request.Priority].workBefore(Request.Caller, Own, Now);
  Admission::Cost Before = OwnBefore;
  const Admission::PriorityRule *Rule = this->Scheduler.find(Request.Priority);
  for (const Common::PriorityName &Other : Waiting) {
    const Admission::PriorityRule *Ahead = this->Scheduler.find(Other);
    if (Rule && Ahead && Ahead->Rank < Rule->Rank)
      Before.Value += this->Queues[Other].queued().Value;
  }
  if (Before.Value == 0)
    return true;
  const auto Slots = static_cast<double>(this->Servers.totalAllowance());
  const double Usable = std::max(Slots, 1.0);
  // It is served after all that is more urgent, or out of its own floor,
  // whichever comes first.
  const Common::Duration ByRank = this->Rate.waitFor(Before, Usable, Share);
  const Common::Duration ByFloor = this->Rate.waitFor(
      OwnBefore, Usable, this->Scheduler.floorOf(Request.Priority));
  const Common::Duration Expected =
      std::min(ByRank, ByFloor) + this->Rate.timeToFirstToken();
  return Common::toSeconds(Expected) <=
         Common::toSeconds(Request.Target) * this->Rules.RefuseAbove;
}

void Dispatcher::enqueue(const Tracked &Each, bool First) {
  Admission::WaitingRequest Waiting;
  Waiting.Id = Each.Work.Id;
  Waiting.Caller = Each.Work.Caller;
  Waiting.CallerWeight = Each.Work.CallerWeight;
  Waiting.Cost = Each.Cost;
  Waiting.Deadline = Each.Deadline;
  Admission::FairQueue &Queue = this->Queues[Each.Work.Priority];
  if (First)
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
  std::size_t Count = this->SetAside.size();
  for (const auto &Each : this->Queues)
    Count += Each.second.size();
  return Count;
}

std::vector<Order> Dispatcher::poll(double Part, std::uint64_t DaemonSalt,
                                    Common::TimePoint Now) {
  std::vector<Order> Orders;
  for (const RefuseOrder &Each : this->Pending)
    Orders.push_back(Each);
  this->Pending.clear();
  this->Servers.share(Part, DaemonSalt);
  this->expire(Orders, Now);
  this->startSetAside(Orders, Now);
  while (this->startNext(Orders, Now)) {
  }
  if (this->Rules.Preempt)
    this->preempt(Orders, Now);
  return Orders;
}

void Dispatcher::expire(std::vector<Order> &Orders, Common::TimePoint Now) {
  const bool NoServers = !this->Servers.anyUsable();
  for (auto &Each : this->Queues)
    for (const auto &Late : Each.second.takeExpired(Now)) {
      Orders.push_back(
          RefuseOrder{Late.Id, NoServers ? RefusalReason::NoBackendServer
                                         : RefusalReason::WaitedTooLong});
      this->Requests.erase(Late.Id);
    }
}

std::set<Common::BackendServerId>
Dispatcher::serversWithSuspects(Common::TimePoint Now) const {
  std::set<Common::BackendServerId> Result;
  for (const auto &[Id, Each] : this->Requests)
    if (Each.running() && this->Suspects.suspect(Each.Work.Fingerprint, Now))
      Result.insert(Each.Server);
  return Result;
}

std::optional<Common::BackendServerId>
Dispatcher::runsElsewhere(Fingerprint Content) const {
  const auto Found = this->RunningContents.find(Content);
  if (Found == this->RunningContents.end())
    return std::nullopt;
  return this->Requests.at(Found->second).Server;
}

bool Dispatcher::mustWaitAlone(const Tracked &Each,
                               Common::TimePoint Now) const {
  const Fingerprint Content = Each.Work.Fingerprint;
  return !Each.FailedAt.empty() || this->Suspects.suspect(Content, Now) ||
         (!this->Suspects.harmless(Content) && this->runsElsewhere(Content));
}

bool Dispatcher::start(Tracked &Each, std::vector<Order> &Orders,
                       Common::TimePoint Now) {
  ChoiceQuery Query;
  Query.Blocks = Each.Work.Blocks;
  Query.AffinityKey = Each.Work.AffinityKey;
  Query.Excluded = Each.FailedAt;
  Query.Suspect = this->Suspects.suspect(Each.Work.Fingerprint, Now);
  if (Query.Suspect)
    Query.RunsSuspects = this->serversWithSuspects(Now);
  // Until a content was answered once, its copies can only harm one server.
  if (!this->Suspects.harmless(Each.Work.Fingerprint))
    Query.OnlyAt = this->runsElsewhere(Each.Work.Fingerprint);
  if (Query.Suspect && Query.OnlyAt)
    return false;
  const auto Chosen = chooseServer(this->Servers, Query, this->Rules.Choice);
  if (!Chosen)
    return false;
  PooledServer &Server = *this->Servers.find(Chosen->Server);
  Server.Running.insert(Each.Work.Id);
  this->RunningContents.emplace(Each.Work.Fingerprint, Each.Work.Id);
  Server.Cache.sent(Each.Work.Blocks);
  const std::uint64_t Cached = std::min<std::uint64_t>(
      Chosen->MatchedBlocks * BlockTokens, Each.Work.PromptTokens);
  Each.Server = Chosen->Server;
  Each.StartedAt = Now;
  Each.Uncached = Each.Work.PromptTokens - Cached;
  Each.Cost = this->remainingCost(Each);
  ++Each.Attempts;
  this->Scheduler.served(Each.Work.Priority, Each.Cost, Now);
  this->Use[Each.Work.Caller].Value += Each.Cost.Value;
  Orders.push_back(StartOrder{Each.Work.Id, Chosen->Server});
  return true;
}

void Dispatcher::startSetAside(std::vector<Order> &Orders,
                               Common::TimePoint Now) {
  std::vector<Common::RequestId> Still;
  for (const Common::RequestId Id : this->SetAside) {
    const auto Found = this->Requests.find(Id);
    if (Found == this->Requests.end())
      continue;
    if (this->Suspects.refused(Found->second.Work.Fingerprint, Now)) {
      Orders.push_back(RefuseOrder{Id, RefusalReason::Quarantined});
      this->Requests.erase(Found);
    } else if (Found->second.Deadline <= Now) {
      Orders.push_back(RefuseOrder{Id, RefusalReason::WaitedTooLong});
      this->Requests.erase(Found);
    } else if (!this->start(Found->second, Orders, Now)) {
      Still.push_back(Id);
    }
  }
  this->SetAside = std::move(Still);
}

bool Dispatcher::startNext(std::vector<Order> &Orders, Common::TimePoint Now) {
  const auto Chosen = this->Scheduler.choose(this->waitingPriorities(), Now);
  if (!Chosen)
    return false;
  Admission::FairQueue &Queue = this->Queues[*Chosen];
  const Common::RequestId Id = Queue.front(Now)->Id;
  Tracked &Each = this->Requests.at(Id);
  if (this->Suspects.refused(Each.Work.Fingerprint, Now)) {
    Queue.pop(Now);
    Orders.push_back(RefuseOrder{Id, RefusalReason::Quarantined});
    this->Requests.erase(Id);
    return true;
  }
  if (this->start(Each, Orders, Now)) {
    Queue.pop(Now);
    return true;
  }
  // A request that only it keeps from running must not block the others.
  const bool OnlyItIsBlocked = this->mustWaitAlone(Each, Now);
  const bool AnyOpen = std::any_of(
      this->Servers.servers().begin(), this->Servers.servers().end(),
      [](const auto &Server) { return Server.second.open(); });
  if (!OnlyItIsBlocked || !AnyOpen)
    return false;
  Queue.pop(Now);
  this->SetAside.push_back(Id);
  return true;
}

Dispatcher::Tracked *Dispatcher::preemptionVictim(std::uint64_t UrgentRank,
                                                  Common::TimePoint Now) {
  Tracked *Victim = nullptr;
  std::uint64_t VictimRank = 0;
  for (auto &[Id, Each] : this->Requests) {
    // Once is enough: a stream that gives way again and again never ends.
    if (!Each.running() || !Each.Work.Resumable || Each.WasPreempted)
      continue;
    const Admission::PriorityRule *Rule =
        this->Scheduler.find(Each.Work.Priority);
    const bool KeepsFloor = Rule && this->Scheduler.recentShare(
                                        Each.Work.Priority, Now) > Rule->Floor;
    const PooledServer *Server = this->Servers.find(Each.Server);
    if (!Rule || Rule->Rank <= UrgentRank || !KeepsFloor || !Server ||
        !Server->Facts.Usable)
      continue;
    const bool Better =
        !Victim || Rule->Rank > VictimRank ||
        (Rule->Rank == VictimRank && Each.TokensDone < Victim->TokensDone);
    if (!Better)
      continue;
    Victim = &Each;
    VictimRank = Rule->Rank;
  }
  return Victim;
}

void Dispatcher::preempt(std::vector<Order> &Orders, Common::TimePoint Now) {
  // Bounds the cancelled work of one decision.
  constexpr int MostAtOnce = 4;
  for (int I = 0; I < MostAtOnce; ++I) {
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
    Tracked &First = this->Requests.at(Queue.front(Now)->Id);
    const auto Patience = Common::fromSeconds(
        Common::toSeconds(First.Work.Target) * this->Rules.PreemptAfter);
    if (Now - First.ArrivedAt < Patience)
      return;
    Tracked *Victim = this->preemptionVictim(UrgentRank, Now);
    if (!Victim)
      return;
    Orders.push_back(PreemptOrder{Victim->Work.Id, Victim->Server});
    this->Retries.push_back(RetryReason::Preempted);
    // What it did not get to does not count as served.
    Victim->Uncached = 0;
    this->Scheduler.unserved(Victim->Work.Priority,
                             this->remainingCost(*Victim), Now);
    this->leaveServer(*Victim);
    Victim->WasPreempted = true;
    Victim->Deadline = Common::TimePoint::max();
    this->enqueue(*Victim, true);
    if (!this->start(First, Orders, Now))
      return;
    Queue.pop(Now);
  }
}

Admission::Cost Dispatcher::remainingCost(const Tracked &Each) const {
  const std::uint64_t Tokens =
      Each.Work.ExpectedTokens -
      std::min(Each.Work.ExpectedTokens, Each.TokensDone);
  return Admission::Cost{std::max<std::uint64_t>(Each.Uncached + Tokens, 1)};
}

void Dispatcher::leaveServer(Tracked &Each) {
  if (PooledServer *Server = this->Servers.find(Each.Server))
    Server->Running.erase(Each.Work.Id);
  const auto Same = this->RunningContents.equal_range(Each.Work.Fingerprint);
  for (auto Copy = Same.first; Copy != Same.second; ++Copy)
    if (Copy->second == Each.Work.Id) {
      this->RunningContents.erase(Copy);
      break;
    }
  Each.Server = Common::BackendServerId();
}

void Dispatcher::firstToken(Common::RequestId Id, Common::TimePoint Now) {
  const auto Found = this->Requests.find(Id);
  if (Found == this->Requests.end() || !Found->second.running() ||
      Found->second.FirstTokenSeen)
    return;
  Tracked &Each = Found->second;
  Each.FirstTokenSeen = true;
  this->Rate.firstToken(Now - Each.StartedAt);
  if (PooledServer *Server = this->Servers.find(Each.Server))
    Server->Window.firstToken(Now - Each.StartedAt, Each.Uncached);
}

void Dispatcher::progress(Common::RequestId Id, std::uint64_t Tokens) {
  const auto Found = this->Requests.find(Id);
  if (Found != this->Requests.end())
    Found->second.TokensDone = Tokens;
}

void Dispatcher::finished(Common::RequestId Id, Common::TimePoint Now) {
  const auto Found = this->Requests.find(Id);
  if (Found == this->Requests.end())
    return;
  Tracked &Each = Found->second;
  if (Each.running())
    this->Rate.finished(Each.Cost, Now - Each.StartedAt);
  this->Suspects.completed(Each.Work.Fingerprint);
  this->leaveServer(Each);
  this->Requests.erase(Found);
}

void Dispatcher::failed(Common::RequestId Id, Failure What,
                        Common::TimePoint Now) {
  const auto Found = this->Requests.find(Id);
  if (Found == this->Requests.end() || !Found->second.running())
    return;
  Tracked &Each = Found->second;
  if (What != Failure::ServerError)
    this->Servers.failed(Each.Server);
  Each.FailedAt.insert(Each.Server);
  this->leaveServer(Each);
  const bool MayRetry = Each.Attempts < this->Rules.MaxAttempts &&
                        this->Budgets[Each.Work.Priority].take();
  if (this->Suspects.refused(Each.Work.Fingerprint, Now)) {
    this->Pending.push_back({Id, RefusalReason::Quarantined});
    this->Requests.erase(Found);
    return;
  }
  if (!MayRetry) {
    this->Pending.push_back({Id, RefusalReason::RetriesExhausted});
    this->Requests.erase(Found);
    return;
  }
  this->Retries.push_back(retryReasonOf(What));
  // It was taken in already and keeps its turn.
  Each.Deadline = std::max(Each.Deadline, Now + Each.Work.Target);
  this->enqueue(Each, true);
}

void Dispatcher::returned(Common::RequestId Id) {
  const auto Found = this->Requests.find(Id);
  if (Found == this->Requests.end() || !Found->second.running())
    return;
  this->leaveServer(Found->second);
  this->enqueue(Found->second, true);
}

void Dispatcher::forget(Common::RequestId Id) {
  const auto Found = this->Requests.find(Id);
  if (Found == this->Requests.end())
    return;
  if (Found->second.running())
    this->leaveServer(Found->second);
  else
    this->Queues[Found->second.Work.Priority].remove(Id);
  std::erase(this->SetAside, Id);
  this->Requests.erase(Found);
}

std::vector<Fingerprint>
Dispatcher::serverFailed(const ServerLife &Server,
                         const std::vector<Fingerprint> &Ran,
                         Common::TimePoint Now) {
  const PooledServer *Known = this->Servers.find(Server.BackendServer);
  if (Known && Known->Facts.Life == Server.Life)
    this->Servers.failed(Server.BackendServer);
  if (!Ran.empty())
    this->Retries.push_back(RetryReason::SuspectIsolated);
  return this->Suspects.serverFailed(Server, Ran, this->Rules.QuarantineLength,
                                     Now);
}

std::vector<Fingerprint>
Dispatcher::runningAt(const Common::BackendServerId &Server) const {
  std::vector<Fingerprint> Result;
  for (const auto &Each : this->Requests)
    if (Each.second.Server == Server)
      Result.push_back(Each.second.Work.Fingerprint);
  return Result;
}

void Dispatcher::chargeElsewhere(const Common::CallerId &Caller,
                                 Admission::Cost Used, Common::TimePoint Now) {
  for (auto &Each : this->Queues)
    Each.second.charge(Caller, Used, Now);
}

std::map<Common::CallerId, Admission::Cost> Dispatcher::takeUse() {
  return std::exchange(this->Use, {});
}

std::vector<RetryReason> Dispatcher::takeRetries() {
  return std::exchange(this->Retries, {});
}

} // namespace Routing
