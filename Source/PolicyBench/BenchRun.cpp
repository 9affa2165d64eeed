#include "PolicyBench/BenchRun.h"

#include "Common/Hash.h"

#include <algorithm>
#include <cmath>

namespace PolicyBench {

namespace {

using namespace std::chrono_literals;

constexpr Common::Duration TimeStep = 2ms;
constexpr Common::Duration AnnouncementInterval = 500ms;
constexpr Common::Duration RestartDelay = 10s;
constexpr std::size_t MaxTurns = 8;

Common::DaemonId daemonName(std::size_t Index) {
  return Common::DaemonId("e" + std::to_string(100 + Index));
}

double quantile(std::vector<double> Values, double Fraction) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  const double Position = Fraction * double(Values.size() - 1);
  return Values[static_cast<std::size_t>(std::llround(Position))];
}

double jainIndex(const std::map<Common::CallerId, double> &CompletedCost) {
  double Sum = 0;
  double Squares = 0;
  for (const auto &Each : CompletedCost) {
    Sum += Each.second;
    Squares += Each.second * Each.second;
  }
  return Squares == 0 ? 1
                      : Sum * Sum / (double(CompletedCost.size()) * Squares);
}

} // namespace

const char *policyName(Policy Placement) {
  switch (Placement) {
  case Policy::Sycamore:
    return "sycamorereach";
  case Policy::RoundRobin:
    return "round robin";
  case Policy::LeastLoad:
    return "least load";
  case Policy::Omniscient:
    return "all-seeing";
  }
  return "";
}

RunResult run(const Scenario &Setup, Policy Placement) {
  return BenchRun(Setup, Placement).run();
}

BenchRun::BenchRun(const Scenario &Setup, Policy Placement)
    : Setup(Setup), Placement(Placement), Randomness(Setup.Seed),
      Start(std::chrono::hours(1)), Now(Start), ReportedLoads(Setup.Engines) {
  for (std::size_t I = 0; I < Setup.Engines; ++I)
    this->Engines.emplace_back(
        Setup.Engine, Common::BackendServerId("b" + std::to_string(100 + I)));
  this->AnnouncementSequences.assign(Setup.Engines, 1);
  const std::size_t Count =
      Placement == Policy::Sycamore ? Setup.Daemons : std::size_t(1);
  std::vector<Membership::Peer> Peers;
  for (std::size_t I = 0; I < Count; ++I)
    Peers.push_back({daemonName(I), Common::DataCentreId("dc"), {}});
  for (std::size_t I = 0; I < Count; ++I) {
    Daemon NewDaemon;
    NewDaemon.Dispatcher =
        std::make_unique<Routing::Dispatcher>(Setup.DispatcherOptions);
    NewDaemon.Dispatcher->configure(Setup.PriorityRules);
    NewDaemon.Peers = std::make_unique<Membership::PeerTable>(daemonName(I),
                                                              Peers, this->Now);
    NewDaemon.Salt = Common::hashBytes(daemonName(I).str());
    for (std::size_t J = 0; J < Setup.Engines; ++J)
      NewDaemon.Dispatcher->pool().update(this->serverStatus(J));
    this->Daemons.push_back(std::move(NewDaemon));
  }
  this->ConversationTurns.assign(Setup.Conversations, 0);
  this->NextArrival.assign(Setup.Workloads.size(), 0);
  this->NextCrash = this->Start + Setup.CrashInterval;
}

bool BenchRun::inFlood() const {
  return this->Now >= this->Start + this->Setup.FloodStart &&
         this->Now < this->Start + this->Setup.FloodEnd;
}

void BenchRun::schedule(Common::Duration Delay, std::function<void()> Run) {
  this->Scheduled.emplace(this->Now + Delay, std::move(Run));
}

void BenchRun::runScheduled() {
  while (!this->Scheduled.empty() &&
         this->Scheduled.begin()->first <= this->Now) {
    const auto Run = std::move(this->Scheduled.begin()->second);
    this->Scheduled.erase(this->Scheduled.begin());
    Run();
  }
}

RunResult BenchRun::run() {
  const Common::TimePoint End = this->Start + this->Setup.RunTime;
  Common::TimePoint NextDigest = this->Now;
  Common::TimePoint NextAnnouncement = this->Now;
  while (this->Now < End) {
    this->Now += TimeStep;
    this->generateArrivals();
    this->advanceEngines();
    this->failEngines();
    this->runScheduled();
    if (this->Now >= NextAnnouncement) {
      this->publishAnnouncements();
      NextAnnouncement += AnnouncementInterval;
    }
    if (this->Now >= NextDigest) {
      this->broadcastDigests();
      NextDigest += this->Setup.DigestInterval;
    }
    if (!this->usesDispatcher())
      continue;
    const bool PollAll = this->Now.time_since_epoch() % 20ms == 0ms;
    for (std::size_t I = 0; I < this->Daemons.size(); ++I)
      if (this->Daemons[I].NeedsPoll || PollAll)
        this->pollDispatcher(I);
  }
  return this->summarize();
}

void BenchRun::generateArrivals() {
  const double Elapsed = Common::toSeconds(this->Now - this->Start);
  for (std::size_t I = 0; I < this->Setup.Workloads.size(); ++I) {
    const Workload &Source = this->Setup.Workloads[I];
    const double Rate = this->inFlood() ? Source.FloodRate : Source.Rate;
    if (Rate <= 0) {
      this->NextArrival[I] = Elapsed;
      continue;
    }
    while (this->NextArrival[I] <= Elapsed) {
      this->addRequest(I, false);
      this->NextArrival[I] += Common::toSeconds(
          this->Randomness.exponential(Common::fromSeconds(1 / Rate)));
    }
  }
  const bool Crashes = this->Setup.CrashInterval.count() != 0;
  if (!Crashes || this->Now < this->NextCrash)
    return;
  this->NextCrash += this->Setup.CrashInterval;
  this->addRequest(this->Setup.Workloads.size() - 1, true);
}

std::size_t BenchRun::pickCaller(const Workload &Source) {
  const double HeavyWeight =
      double(Source.HeavyCallers) * Source.HeavyCallerFactor;
  const double TotalWeight =
      HeavyWeight + double(Source.Callers - Source.HeavyCallers);
  const double Position = this->Randomness.fraction() * TotalWeight;
  if (Position < HeavyWeight)
    return static_cast<std::size_t>(Position / Source.HeavyCallerFactor);
  return Source.HeavyCallers + static_cast<std::size_t>(Position - HeavyWeight);
}

void BenchRun::fillPrompt(const Workload &Source, std::size_t Caller,
                          Request &NewRequest) {
  std::uint64_t Tokens = Source.PromptTokens;
  std::uint64_t PromptId = this->Randomness.next();
  if (this->Setup.Conversations > 0) {
    const std::size_t Conversation =
        this->Randomness.below(this->Setup.Conversations);
    if (++this->ConversationTurns[Conversation] % MaxTurns == 0)
      this->ConversationTurns[Conversation] += MaxTurns;
    // Each turn extends the prompt; after MaxTurns a new conversation begins.
    PromptId = 1 + Conversation * 1000 +
               this->ConversationTurns[Conversation] / MaxTurns;
    Tokens *= 1 + this->ConversationTurns[Conversation] % MaxTurns;
  }
  // Requests of a conversation, or of a caller, start with the same system
  // prompt.
  const std::uint64_t SystemPrompt =
      7'000'000 + (this->Setup.Conversations > 0 ? PromptId : Caller) % 5;
  Routing::BlockHash Previous = Common::hashBytes("system", SystemPrompt);
  const std::size_t Blocks = Tokens / Routing::BlockTokens;
  const std::size_t Shared = std::min<std::size_t>(2, Blocks);
  for (std::size_t I = 0; I < Blocks; ++I) {
    const std::uint64_t Seed =
        I < Shared ? Previous : Previous ^ Common::hashBytes("t", PromptId);
    Previous = Common::hashBytes("block", Seed + I);
    NewRequest.Dispatch.Blocks.push_back(Previous);
  }
  NewRequest.Dispatch.PromptTokens = Tokens;
  NewRequest.Dispatch.AffinityKey = Common::hashBytes("talk", PromptId) | 1;
}

void BenchRun::addRequest(std::size_t Index, bool Crashes) {
  const Workload &Source = this->Setup.Workloads[Index];
  const std::size_t Caller = this->pickCaller(Source);
  Request NewRequest;
  NewRequest.Dispatch.Id = Common::RequestId{++this->LastRequest};
  NewRequest.Dispatch.Caller = Common::CallerId("c" + std::to_string(Index) +
                                                "-" + std::to_string(Caller));
  NewRequest.Dispatch.Priority = Source.Priority;
  NewRequest.Dispatch.Target = Source.Target;
  NewRequest.Dispatch.ExpectedTokens = Source.OutputTokens;
  NewRequest.Dispatch.Fingerprint =
      Crashes ? this->CrashingContent : 10'000'000 + this->LastRequest;
  NewRequest.Dispatch.Resumable = true;
  NewRequest.Workload = Index;
  NewRequest.ArrivedAt = this->Now;
  NewRequest.InFlood = this->inFlood();
  NewRequest.Crashes = Crashes;
  this->fillPrompt(Source, Caller, NewRequest);
  if (Crashes)
    NewRequest.Dispatch.AffinityKey = this->CrashingContent;
  NewRequest.Daemon = this->Randomness.below(this->Daemons.size());
  if (!Crashes) {
    PriorityResult &Count = this->Result.Priorities[Source.Priority];
    ++Count.Submitted;
    Count.FloodSubmitted += NewRequest.InFlood ? 1 : 0;
    if (NewRequest.InFlood)
      this->CompletedCost[Source.Priority][NewRequest.Dispatch.Caller] += 0;
  }
  const Common::RequestId Id = NewRequest.Dispatch.Id;
  this->Requests[Id] = std::move(NewRequest);
  this->route(this->Requests.at(Id));
}

void BenchRun::route(Request &Current) {
  const Common::RequestId Id = Current.Dispatch.Id;
  if (this->usesDispatcher()) {
    Daemon &Entry = this->Daemons[Current.Daemon];
    Entry.NeedsPoll = true;
    const auto Refused = Entry.Dispatcher->submit(Current.Dispatch, this->Now);
    if (Refused)
      this->recordRefusal(Id, *Refused);
    return;
  }
  std::size_t Chosen = this->NextEngine++ % this->Engines.size();
  if (this->Placement == Policy::LeastLoad) {
    // Ties go to the next engine in rotation.
    for (std::size_t I = 0; I < this->Engines.size(); ++I) {
      const std::size_t Other = (Chosen + I) % this->Engines.size();
      if (this->Engines[Other].isAlive() &&
          this->ReportedLoads[Other] < this->ReportedLoads[Chosen])
        Chosen = Other;
    }
  }
  if (!this->Engines[Chosen].isAlive())
    Chosen = this->NextEngine++ % this->Engines.size();
  this->submit(Id, Chosen);
}

void BenchRun::submit(Common::RequestId Id, std::size_t Engine) {
  ++this->Result.Attempts;
  this->Requests.at(Id).Engine = Engine;
  this->schedule(this->Setup.NetworkDelay, [this, Id, Engine] {
    const auto Found = this->Requests.find(Id);
    if (Found == this->Requests.end())
      return;
    const Request &Current = Found->second;
    EngineJob Job;
    Job.Id = Id;
    Job.Daemon = Current.Daemon;
    Job.Blocks = Current.Dispatch.Blocks;
    Job.PromptTokens = Current.Dispatch.PromptTokens;
    Job.RemainingTokens = std::max<std::uint64_t>(
        Current.Dispatch.ExpectedTokens - Current.GeneratedTokens, 1);
    Job.Crashes = Current.Crashes;
    if (!this->Engines[Engine].isAlive()) {
      this->handleLost(Job, Engine);
      return;
    }
    this->Result.PromptTokens += Job.PromptTokens;
    this->Engines[Engine].submit(Job, this->Now);
  });
}

void BenchRun::advanceEngines() {
  for (std::size_t I = 0; I < this->Engines.size(); ++I)
    for (const EngineModel::Event &Event :
         this->Engines[I].advance(this->Now)) {
      if (Event.EventKind == EngineModel::Event::Kind::Crashed) {
        this->crashEngine(I, true);
        break;
      }
      this->schedule(this->Setup.NetworkDelay,
                     [this, I, Event] { this->handleEvent(I, Event); });
    }
}

void BenchRun::handleEvent(std::size_t Engine,
                           const EngineModel::Event &Event) {
  const auto Found = this->Requests.find(Event.Job.Id);
  if (Found == this->Requests.end() || Found->second.Engine != Engine)
    return;
  if (Event.EventKind == EngineModel::Event::Kind::FirstToken)
    this->handleFirstToken(Found->second);
  else
    this->handleFinished(Event.Job.Id);
}

void BenchRun::handleFirstToken(Request &Current) {
  if (this->usesDispatcher())
    this->Daemons[Current.Daemon].Dispatcher->onFirstToken(Current.Dispatch.Id,
                                                           this->Now);
  if (std::exchange(Current.FirstTokenReceived, true) || Current.Crashes)
    return;
  const Common::Duration FirstTokenTime = this->Now - Current.ArrivedAt;
  PriorityResult &Count = this->Result.Priorities[Current.Dispatch.Priority];
  this->FirstTokenSeconds[Current.Dispatch.Priority].push_back(
      Common::toSeconds(FirstTokenTime));
  if (FirstTokenTime > Current.Dispatch.Target)
    return;
  ++Count.WithinTarget;
  Count.FloodWithinTarget += Current.InFlood ? 1 : 0;
}

void BenchRun::handleFinished(Common::RequestId Id) {
  const Request &Current = this->Requests.at(Id);
  const double Cost =
      double(Current.Dispatch.PromptTokens + Current.Dispatch.ExpectedTokens);
  ++this->Result.Priorities[Current.Dispatch.Priority].Completed;
  this->Result.UsefulTokens += Current.Dispatch.ExpectedTokens;
  if (this->inFlood()) {
    this->CompletedCost[Current.Dispatch.Priority][Current.Dispatch.Caller] +=
        Cost;
    this->FloodCost[Current.Dispatch.Priority] += Cost;
  }
  if (this->usesDispatcher()) {
    Daemon &Entry = this->Daemons[Current.Daemon];
    Entry.Dispatcher->onFinished(Id, this->Now);
    Entry.NeedsPoll = true;
  }
  this->Requests.erase(Id);
}

void BenchRun::handleLost(const EngineJob &Job, std::size_t Engine) {
  const auto Found = this->Requests.find(Job.Id);
  if (Found == this->Requests.end() || Found->second.Engine != Engine)
    return;
  if (!this->usesDispatcher()) {
    // The baseline policies retry immediately.
    this->route(Found->second);
    return;
  }
  Daemon &Entry = this->Daemons[Found->second.Daemon];
  Entry.NeedsPoll = true;
  Entry.Dispatcher->onFailed(Job.Id, Routing::Failure::ConnectionLost,
                             this->Now);
}

void BenchRun::crashEngine(std::size_t Engine, bool ByRequest) {
  EngineModel &Target = this->Engines[Engine];
  const Routing::ServerIncarnation Incarnation{
      Target.id(), Common::Incarnation{Target.incarnation()}};
  const std::vector<EngineJob> Lost = Target.crash();
  this->Result.Crashes += ByRequest ? 1 : 0;
  // Each daemon reports to the others which requests it had on the engine.
  for (std::size_t From = 0;
       this->usesDispatcher() && From < this->Daemons.size(); ++From) {
    const auto Ran = this->Daemons[From].Dispatcher->runningAt(Target.id());
    for (std::size_t To = 0; To < this->Daemons.size(); ++To) {
      const Common::Duration Delay =
          From == To ? Common::Duration(0) : this->Setup.NetworkDelay;
      this->schedule(Delay, [this, To, Incarnation, Ran] {
        for (const Routing::Fingerprint Each :
             this->Daemons[To].Dispatcher->onServerFailed(Incarnation, Ran,
                                                          this->Now))
          this->Result.FalseQuarantines +=
              To == 0 && Each != this->CrashingContent ? 1 : 0;
      });
    }
  }
  this->schedule(this->Setup.NetworkDelay, [this, Lost, Engine] {
    for (const EngineJob &Job : Lost)
      this->handleLost(Job, Engine);
  });
  this->schedule(RestartDelay, [this, Engine] {
    this->Engines[Engine].restart();
    this->AnnouncementSequences[Engine] = 1;
  });
}

void BenchRun::failEngines() {
  const bool Pending =
      this->Setup.FailureTime.count() != 0 && !this->EnginesFailed;
  if (!Pending || this->Now < this->Start + this->Setup.FailureTime)
    return;
  this->EnginesFailed = true;
  const auto Count = static_cast<std::size_t>(double(this->Engines.size()) *
                                              this->Setup.FailureShare);
  for (std::size_t I = 0; I < Count; ++I)
    this->crashEngine(I, false);
}

Routing::ServerStatus BenchRun::serverStatus(std::size_t Engine) const {
  const EngineModel &Target = this->Engines[Engine];
  Routing::ServerStatus Status;
  Status.Id = Target.id();
  Status.Incarnation = Common::Incarnation{Target.incarnation()};
  Status.Sequence = this->AnnouncementSequences.empty()
                        ? 1
                        : this->AnnouncementSequences[Engine];
  Status.Capacity = {Target.options().Slots, Target.options().CacheBlocks};
  Status.Load = {Target.running(), Target.queued()};
  Status.Usable = Target.isAlive();
  return Status;
}

void BenchRun::publishAnnouncements() {
  for (std::size_t I = 0; I < this->Engines.size(); ++I) {
    EngineModel &Target = this->Engines[I];
    this->ReportedLoads[I] = Target.running() + Target.queued();
    if (!this->usesDispatcher() || !Target.isAlive())
      continue;
    ++this->AnnouncementSequences[I];
    const Routing::ServerStatus Status = this->serverStatus(I);
    const auto Events = Target.takeCacheEvents();
    const std::size_t Receiver = this->Randomness.below(this->Daemons.size());
    const bool ReceivesAllEvents = this->Placement == Policy::Omniscient;
    const bool EventsLost = !ReceivesAllEvents &&
                            this->Randomness.chance(this->Setup.EventLossRate);
    for (std::size_t To = 0; To < this->Daemons.size(); ++To) {
      const Common::Duration Delay = To == Receiver
                                         ? this->Setup.NetworkDelay
                                         : this->Setup.DigestInterval;
      this->schedule(Delay, [this, To, Status] {
        this->Daemons[To].Dispatcher->pool().update(Status);
      });
    }
    if (!EventsLost)
      this->Daemons[Receiver].Dispatcher->pool().applyCacheEvents(Target.id(),
                                                                  Events);
  }
}

void BenchRun::reportProgress() {
  for (const auto &[Id, Each] : this->Requests)
    if (Each.Engine < this->Engines.size())
      this->Daemons[Each.Daemon].Dispatcher->onProgress(
          Id,
          Each.GeneratedTokens +
              this->Engines[Each.Engine].progress(Each.Daemon, Id),
          this->Now);
}

void BenchRun::broadcastDigests() {
  if (!this->usesDispatcher())
    return;
  this->reportProgress();
  if (this->Placement != Policy::Sycamore)
    return;
  for (std::size_t From = 0; From < this->Daemons.size(); ++From) {
    Daemon &Entry = this->Daemons[From];
    Membership::Digest Digest;
    Digest.From = daemonName(From);
    Digest.Incarnation = Common::Incarnation{1};
    Digest.Sequence = ++Entry.Sequence;
    Digest.Demands = {{Common::ServiceName("s"), Entry.Dispatcher->demand()}};
    const auto Usage = Entry.Dispatcher->takeUsage();
    for (std::size_t To = 0; To < this->Daemons.size(); ++To) {
      if (To == From || this->Randomness.chance(this->Setup.DigestLossRate))
        continue;
      this->schedule(this->Setup.NetworkDelay, [this, To, Digest, Usage] {
        Daemon &Target = this->Daemons[To];
        Target.Peers->update(Digest, this->Now);
        for (const auto &[Caller, Cost] : Usage)
          Target.Dispatcher->chargeRemoteUsage(Caller, Cost, this->Now);
      });
    }
  }
}

void BenchRun::pollDispatcher(std::size_t Index) {
  Daemon &Entry = this->Daemons[Index];
  Entry.NeedsPoll = false;
  const double Share = Entry.Peers->share(
      Common::ServiceName("s"), Entry.Dispatcher->demand(), this->Now);
  for (const Routing::Action &Action :
       Entry.Dispatcher->poll(Share, Entry.Salt, this->Now))
    this->executeAction(Index, Action);
}

void BenchRun::executeAction(std::size_t, const Routing::Action &Action) {
  if (const auto *Start = std::get_if<Routing::StartAction>(&Action)) {
    std::size_t Engine = 0;
    while (this->Engines[Engine].id() != Start->Server)
      ++Engine;
    this->submit(Start->Id, Engine);
  } else if (const auto *Preempt =
                 std::get_if<Routing::PreemptAction>(&Action)) {
    Request &Preempted = this->Requests.at(Preempt->Id);
    ++this->Result.Preemptions;
    Preempted.GeneratedTokens +=
        this->Engines[Preempted.Engine].cancel(Preempted.Daemon, Preempt->Id);
    Preempted.Engine = this->Engines.size();
  } else if (const auto *Refuse = std::get_if<Routing::RefuseAction>(&Action)) {
    this->recordRefusal(Refuse->Id, Refuse->Reason);
  }
}

void BenchRun::recordRefusal(Common::RequestId Id,
                             Common::RefusalReason Reason) {
  const Request &Current = this->Requests.at(Id);
  if (!Current.Crashes)
    ++this->Result.Priorities[Current.Dispatch.Priority]
          .Refused[Common::refusalInfo(Reason).Name];
  if (Current.InFlood && !Current.Crashes)
    ++this->Result.Priorities[Current.Dispatch.Priority].FloodAdmitted;
  this->Requests.erase(Id);
}

RunResult BenchRun::summarize() {
  double TotalCost = 0;
  for (const auto &Each : this->FloodCost)
    TotalCost += Each.second;
  for (auto &[Name, Each] : this->Result.Priorities) {
    // Until here FloodAdmitted counted the refused requests.
    Each.FloodAdmitted = Each.FloodSubmitted - Each.FloodAdmitted;
    Each.FirstTokenP50 = quantile(this->FirstTokenSeconds[Name], 0.5);
    Each.FirstTokenP95 = quantile(this->FirstTokenSeconds[Name], 0.95);
    Each.FirstTokenP99 = quantile(this->FirstTokenSeconds[Name], 0.99);
    Each.Fairness = jainIndex(this->CompletedCost[Name]);
    Each.FloodShare = TotalCost == 0 ? 0 : this->FloodCost[Name] / TotalCost;
  }
  for (const EngineModel &Each : this->Engines) {
    this->Result.ComputedTokens += Each.PrefillTokens;
    this->Result.GeneratedTokens += Each.GeneratedTokens;
  }
  return this->Result;
}

} // namespace PolicyBench
