#include "PolicyBench/BenchRun.h"

#include "Common/Hash.h"

#include <algorithm>
#include <cmath>

namespace PolicyBench {

namespace {

using namespace std::chrono_literals;

constexpr Common::Duration Step = 2ms;
constexpr Common::Duration AnnouncePeriod = 500ms;
constexpr Common::Duration RestartAfter = 10s;
constexpr std::size_t MostTurns = 8;

Common::DaemonId daemonName(std::size_t Index) {
  return Common::DaemonId("e" + std::to_string(100 + Index));
}

double quantile(std::vector<double> Values, double Part) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  const double At = Part * double(Values.size() - 1);
  return Values[static_cast<std::size_t>(std::llround(At))];
}

double jain(const std::map<Common::CallerId, double> &Served) {
  double Sum = 0;
  double Squares = 0;
  for (const auto &Each : Served) {
    Sum += Each.second;
    Squares += Each.second * Each.second;
  }
  return Squares == 0 ? 1 : Sum * Sum / (double(Served.size()) * Squares);
}

} // namespace

const char *policyName(Policy Which) {
  switch (Which) {
  case Policy::Sycamore:
    return "sycamorereach";
  case Policy::RoundRobin:
    return "round robin";
  case Policy::LeastLoad:
    return "least load";
  case Policy::AllSeeing:
    return "all-seeing";
  }
  return "";
}

Outcome run(const Scenario &Which, Policy How) {
  return BenchRun(Which, How).run();
}

BenchRun::BenchRun(const Scenario &Which, Policy How)
    : Given(Which), How(How), Randomness(Which.Seed),
      Start(std::chrono::hours(1)), Now(Start), ReportedLoad(Which.Engines) {
  for (std::size_t I = 0; I < Which.Engines; ++I)
    this->Engines.emplace_back(
        Which.Engine, Common::BackendServerId("b" + std::to_string(100 + I)));
  this->Announced.assign(Which.Engines, 1);
  const std::size_t Count =
      How == Policy::Sycamore ? Which.Daemons : std::size_t(1);
  std::vector<Membership::Peer> Peers;
  for (std::size_t I = 0; I < Count; ++I)
    Peers.push_back({daemonName(I), Common::DataCentreId("dc"), {}});
  for (std::size_t I = 0; I < Count; ++I) {
    Daemon Added;
    Added.Dispatcher = std::make_unique<Routing::Dispatcher>(Which.Dispatch);
    Added.Dispatcher->configure(Which.Rules);
    Added.Peers = std::make_unique<Membership::PeerTable>(daemonName(I), Peers,
                                                          this->Now);
    Added.Salt = Common::hashBytes(daemonName(I).str());
    for (std::size_t J = 0; J < Which.Engines; ++J)
      Added.Dispatcher->pool().update(this->factsOf(J));
    this->Daemons.push_back(std::move(Added));
  }
  this->Turns.assign(Which.Conversations, 0);
  this->NextArrival.assign(Which.Streams.size(), 0);
  this->CrashAt = this->Start + Which.CrashPeriod;
}

bool BenchRun::inFlood() const {
  return this->Now >= this->Start + this->Given.FloodFrom &&
         this->Now < this->Start + this->Given.FloodTo;
}

void BenchRun::later(Common::Duration Delay, std::function<void()> Run) {
  this->Due.emplace(this->Now + Delay, std::move(Run));
}

void BenchRun::runDue() {
  while (!this->Due.empty() && this->Due.begin()->first <= this->Now) {
    const auto Run = std::move(this->Due.begin()->second);
    this->Due.erase(this->Due.begin());
    Run();
  }
}

Outcome BenchRun::run() {
  const Common::TimePoint End = this->Start + this->Given.Length;
  Common::TimePoint DigestAt = this->Now;
  Common::TimePoint AnnounceAt = this->Now;
  while (this->Now < End) {
    this->Now += Step;
    this->arrivals();
    this->advanceEngines();
    this->failShare();
    this->runDue();
    if (this->Now >= AnnounceAt) {
      this->announce();
      AnnounceAt += AnnouncePeriod;
    }
    if (this->Now >= DigestAt) {
      this->sendDigests();
      DigestAt += this->Given.DigestPeriod;
    }
    if (!this->usesDispatcher())
      continue;
    const bool Refresh = this->Now.time_since_epoch() % 20ms == 0ms;
    for (std::size_t I = 0; I < this->Daemons.size(); ++I)
      if (this->Daemons[I].Dirty || Refresh)
        this->poll(I);
  }
  return this->summarize();
}

void BenchRun::arrivals() {
  const double Elapsed = Common::toSeconds(this->Now - this->Start);
  for (std::size_t I = 0; I < this->Given.Streams.size(); ++I) {
    const Stream &From = this->Given.Streams[I];
    const double Rate = this->inFlood() ? From.FloodRate : From.Rate;
    if (Rate <= 0) {
      this->NextArrival[I] = Elapsed;
      continue;
    }
    while (this->NextArrival[I] <= Elapsed) {
      this->arrive(I, false);
      this->NextArrival[I] += Common::toSeconds(
          this->Randomness.exponential(Common::fromSeconds(1 / Rate)));
    }
  }
  const bool Crashes = this->Given.CrashPeriod.count() != 0;
  if (!Crashes || this->Now < this->CrashAt)
    return;
  this->CrashAt += this->Given.CrashPeriod;
  this->arrive(this->Given.Streams.size() - 1, true);
}

std::size_t BenchRun::pickCaller(const Stream &From) {
  const double Large = double(From.Large) * From.LargeFactor;
  const double Total = Large + double(From.Callers - From.Large);
  const double At = this->Randomness.fraction() * Total;
  if (At < Large)
    return static_cast<std::size_t>(At / From.LargeFactor);
  return From.Large + static_cast<std::size_t>(At - Large);
}

void BenchRun::fillPrompt(const Stream &From, std::size_t Caller,
                          Request &Added) {
  std::uint64_t Tokens = From.PromptTokens;
  std::uint64_t Name = this->Randomness.next();
  if (this->Given.Conversations > 0) {
    const std::size_t Talk = this->Randomness.below(this->Given.Conversations);
    if (++this->Turns[Talk] % MostTurns == 0)
      this->Turns[Talk] += MostTurns;
    // Each turn adds to the prompt; after some turns a new talk begins.
    Name = 1 + Talk * 1000 + this->Turns[Talk] / MostTurns;
    Tokens *= 1 + this->Turns[Talk] % MostTurns;
  }
  // A conversation keeps its caller's opening.
  const std::uint64_t System =
      7'000'000 + (this->Given.Conversations > 0 ? Name : Caller) % 5;
  Routing::BlockHash Previous = Common::hashBytes("system", System);
  const std::size_t Blocks = Tokens / Routing::BlockTokens;
  const std::size_t Shared = std::min<std::size_t>(2, Blocks);
  for (std::size_t I = 0; I < Blocks; ++I) {
    const std::uint64_t Seed =
        I < Shared ? Previous : Previous ^ Common::hashBytes("t", Name);
    Previous = Common::hashBytes("block", Seed + I);
    Added.Work.Blocks.push_back(Previous);
  }
  Added.Work.PromptTokens = Tokens;
  Added.Work.AffinityKey = Common::hashBytes("talk", Name) | 1;
}

void BenchRun::arrive(std::size_t Index, bool Crashes) {
  const Stream &From = this->Given.Streams[Index];
  const std::size_t Caller = this->pickCaller(From);
  Request Added;
  Added.Work.Id = Common::RequestId{++this->LastRequest};
  Added.Work.Caller = Common::CallerId("c" + std::to_string(Index) + "-" +
                                       std::to_string(Caller));
  Added.Work.Priority = From.Priority;
  Added.Work.Target = From.Target;
  Added.Work.ExpectedTokens = From.AnswerTokens;
  Added.Work.Fingerprint =
      Crashes ? this->BadContent : 10'000'000 + this->LastRequest;
  Added.Work.Resumable = true;
  Added.Stream = Index;
  Added.ArrivedAt = this->Now;
  Added.InFlood = this->inFlood();
  Added.Crashes = Crashes;
  this->fillPrompt(From, Caller, Added);
  if (Crashes)
    Added.Work.AffinityKey = this->BadContent;
  Added.Daemon = this->Randomness.below(this->Daemons.size());
  if (!Crashes) {
    PriorityOutcome &Count = this->Result.Priorities[From.Priority];
    ++Count.Asked;
    Count.FloodAsked += Added.InFlood ? 1 : 0;
    if (Added.InFlood)
      this->Served[From.Priority][Added.Work.Caller] += 0;
  }
  const Common::RequestId Id = Added.Work.Id;
  this->Requests[Id] = std::move(Added);
  this->place(this->Requests.at(Id));
}

void BenchRun::place(Request &Added) {
  const Common::RequestId Id = Added.Work.Id;
  if (this->usesDispatcher()) {
    Daemon &Entry = this->Daemons[Added.Daemon];
    Entry.Dirty = true;
    const auto Refused = Entry.Dispatcher->submit(Added.Work, this->Now);
    if (Refused)
      this->refuse(Id, *Refused);
    return;
  }
  std::size_t Chosen = this->NextServer++ % this->Engines.size();
  if (this->How == Policy::LeastLoad) {
    // Ties go to the next in turn.
    for (std::size_t I = 0; I < this->Engines.size(); ++I) {
      const std::size_t Other = (Chosen + I) % this->Engines.size();
      if (this->Engines[Other].alive() &&
          this->ReportedLoad[Other] < this->ReportedLoad[Chosen])
        Chosen = Other;
    }
  }
  if (!this->Engines[Chosen].alive())
    Chosen = this->NextServer++ % this->Engines.size();
  this->submit(Id, Chosen);
}

void BenchRun::submit(Common::RequestId Id, std::size_t Engine) {
  ++this->Result.Sent;
  this->Requests.at(Id).Engine = Engine;
  this->later(this->Given.OneWay, [this, Id, Engine] {
    const auto Found = this->Requests.find(Id);
    if (Found == this->Requests.end())
      return;
    const Request &Each = Found->second;
    EngineJob Job;
    Job.Id = Id;
    Job.Daemon = Each.Daemon;
    Job.Blocks = Each.Work.Blocks;
    Job.PromptTokens = Each.Work.PromptTokens;
    Job.Tokens =
        std::max<std::uint64_t>(Each.Work.ExpectedTokens - Each.TokensDone, 1);
    Job.Crashes = Each.Crashes;
    if (!this->Engines[Engine].alive()) {
      this->lost(Job, Engine);
      return;
    }
    this->Result.PromptTokens += Job.PromptTokens;
    this->Engines[Engine].submit(Job, this->Now);
  });
}

void BenchRun::advanceEngines() {
  for (std::size_t I = 0; I < this->Engines.size(); ++I)
    for (const EngineModel::Event &What : this->Engines[I].advance(this->Now)) {
      if (What.What == EngineModel::Event::Kind::Crashed) {
        this->crashEngine(I, true);
        break;
      }
      this->later(this->Given.OneWay,
                  [this, I, What] { this->handle(I, What); });
    }
}

void BenchRun::handle(std::size_t Engine, const EngineModel::Event &What) {
  const auto Found = this->Requests.find(What.Job.Id);
  if (Found == this->Requests.end() || Found->second.Engine != Engine)
    return;
  if (What.What == EngineModel::Event::Kind::FirstToken)
    this->firstToken(Found->second);
  else
    this->finished(What.Job.Id);
}

void BenchRun::firstToken(Request &Of) {
  if (this->usesDispatcher())
    this->Daemons[Of.Daemon].Dispatcher->onFirstToken(Of.Work.Id, this->Now);
  if (std::exchange(Of.FirstSeen, true) || Of.Crashes)
    return;
  const Common::Duration Waited = this->Now - Of.ArrivedAt;
  PriorityOutcome &Count = this->Result.Priorities[Of.Work.Priority];
  this->FirstTokens[Of.Work.Priority].push_back(Common::toSeconds(Waited));
  if (Waited > Of.Work.Target)
    return;
  ++Count.WithinTarget;
  Count.FloodWithinTarget += Of.InFlood ? 1 : 0;
}

void BenchRun::finished(Common::RequestId Id) {
  const Request &Each = this->Requests.at(Id);
  const double Work = double(Each.Work.PromptTokens + Each.Work.ExpectedTokens);
  ++this->Result.Priorities[Each.Work.Priority].Completed;
  this->Result.UsefulTokens += Each.Work.ExpectedTokens;
  if (this->inFlood()) {
    this->Served[Each.Work.Priority][Each.Work.Caller] += Work;
    this->FloodWork[Each.Work.Priority] += Work;
  }
  if (this->usesDispatcher()) {
    Daemon &Entry = this->Daemons[Each.Daemon];
    Entry.Dispatcher->onFinished(Id, this->Now);
    Entry.Dirty = true;
  }
  this->Requests.erase(Id);
}

void BenchRun::lost(const EngineJob &Job, std::size_t Engine) {
  const auto Found = this->Requests.find(Job.Id);
  if (Found == this->Requests.end() || Found->second.Engine != Engine)
    return;
  if (!this->usesDispatcher()) {
    // The baselines send it again at once.
    this->place(Found->second);
    return;
  }
  Daemon &Entry = this->Daemons[Found->second.Daemon];
  Entry.Dirty = true;
  Entry.Dispatcher->onFailed(Job.Id, Routing::Failure::ConnectionLost,
                             this->Now);
}

void BenchRun::crashEngine(std::size_t Engine, bool ByRequest) {
  EngineModel &Target = this->Engines[Engine];
  const Routing::ServerIncarnation Life{Target.id(),
                                        Common::Incarnation{Target.life()}};
  const std::vector<EngineJob> Lost = Target.crash();
  this->Result.Crashes += ByRequest ? 1 : 0;
  // Each daemon tells the others what it had there.
  for (std::size_t From = 0;
       this->usesDispatcher() && From < this->Daemons.size(); ++From) {
    const auto Ran = this->Daemons[From].Dispatcher->runningAt(Target.id());
    for (std::size_t To = 0; To < this->Daemons.size(); ++To) {
      const Common::Duration Delay =
          From == To ? Common::Duration(0) : this->Given.OneWay;
      this->later(Delay, [this, To, Life, Ran] {
        for (const Routing::Fingerprint Each :
             this->Daemons[To].Dispatcher->onServerFailed(Life, Ran, this->Now))
          this->Result.FalseQuarantines +=
              To == 0 && Each != this->BadContent ? 1 : 0;
      });
    }
  }
  this->later(this->Given.OneWay, [this, Lost, Engine] {
    for (const EngineJob &Job : Lost)
      this->lost(Job, Engine);
  });
  this->later(RestartAfter, [this, Engine] {
    this->Engines[Engine].restart();
    this->Announced[Engine] = 1;
  });
}

void BenchRun::failShare() {
  const bool Wanted = this->Given.FailAt.count() != 0 && !this->FailedShare;
  if (!Wanted || this->Now < this->Start + this->Given.FailAt)
    return;
  this->FailedShare = true;
  const auto Count = static_cast<std::size_t>(double(this->Engines.size()) *
                                              this->Given.FailShare);
  for (std::size_t I = 0; I < Count; ++I)
    this->crashEngine(I, false);
}

Routing::ServerStatus BenchRun::factsOf(std::size_t Engine) const {
  const EngineModel &Target = this->Engines[Engine];
  Routing::ServerStatus Facts;
  Facts.Id = Target.id();
  Facts.Incarnation = Common::Incarnation{Target.life()};
  Facts.Sequence = this->Announced.empty() ? 1 : this->Announced[Engine];
  Facts.Capacity = {Target.rules().Slots, Target.rules().CacheBlocks};
  Facts.Load = {Target.running(), Target.queued()};
  Facts.Usable = Target.alive();
  return Facts;
}

void BenchRun::announce() {
  for (std::size_t I = 0; I < this->Engines.size(); ++I) {
    EngineModel &Target = this->Engines[I];
    this->ReportedLoad[I] = Target.running() + Target.queued();
    if (!this->usesDispatcher() || !Target.alive())
      continue;
    ++this->Announced[I];
    const Routing::ServerStatus Facts = this->factsOf(I);
    const auto Events = Target.takeCacheEvents();
    const std::size_t Hears = this->Randomness.below(this->Daemons.size());
    const bool Lossless = this->How == Policy::AllSeeing;
    const bool EventsLost =
        !Lossless && this->Randomness.chance(this->Given.EventLoss);
    for (std::size_t To = 0; To < this->Daemons.size(); ++To) {
      const Common::Duration Delay =
          To == Hears ? this->Given.OneWay : this->Given.DigestPeriod;
      this->later(Delay, [this, To, Facts] {
        this->Daemons[To].Dispatcher->pool().update(Facts);
      });
    }
    if (!EventsLost)
      this->Daemons[Hears].Dispatcher->pool().applyCacheEvents(Target.id(),
                                                               Events);
  }
}

void BenchRun::reportProgress() {
  for (const auto &[Id, Each] : this->Requests)
    if (Each.Engine < this->Engines.size())
      this->Daemons[Each.Daemon].Dispatcher->onProgress(
          Id, Each.TokensDone +
                  this->Engines[Each.Engine].progress(Each.Daemon, Id));
}

void BenchRun::sendDigests() {
  if (!this->usesDispatcher())
    return;
  this->reportProgress();
  if (this->How != Policy::Sycamore)
    return;
  for (std::size_t From = 0; From < this->Daemons.size(); ++From) {
    Daemon &Entry = this->Daemons[From];
    Membership::Digest Digest;
    Digest.From = daemonName(From);
    Digest.Incarnation = Common::Incarnation{1};
    Digest.Sequence = ++Entry.Sequence;
    Digest.Demands = {{Common::ServiceName("s"), Entry.Dispatcher->demand()}};
    const auto Use = Entry.Dispatcher->takeUsage();
    for (std::size_t To = 0; To < this->Daemons.size(); ++To) {
      if (To == From || this->Randomness.chance(this->Given.DigestLoss))
        continue;
      this->later(this->Given.OneWay, [this, To, Digest, Use] {
        Daemon &Target = this->Daemons[To];
        Target.Peers->update(Digest, this->Now);
        for (const auto &[Caller, Cost] : Use)
          Target.Dispatcher->chargeRemoteUsage(Caller, Cost, this->Now);
      });
    }
  }
}

void BenchRun::poll(std::size_t Index) {
  Daemon &Entry = this->Daemons[Index];
  Entry.Dirty = false;
  const double Part = Entry.Peers->share(Common::ServiceName("s"),
                                         Entry.Dispatcher->demand(), this->Now);
  for (const Routing::Action &Each :
       Entry.Dispatcher->poll(Part, Entry.Salt, this->Now))
    this->carryOut(Index, Each);
}

void BenchRun::carryOut(std::size_t, const Routing::Action &Each) {
  if (const auto *Start = std::get_if<Routing::StartAction>(&Each)) {
    std::size_t Engine = 0;
    while (this->Engines[Engine].id() != Start->Server)
      ++Engine;
    this->submit(Start->Id, Engine);
  } else if (const auto *Preempt = std::get_if<Routing::PreemptAction>(&Each)) {
    Request &Victim = this->Requests.at(Preempt->Id);
    ++this->Result.Preemptions;
    Victim.TokensDone +=
        this->Engines[Victim.Engine].cancel(Victim.Daemon, Preempt->Id);
    Victim.Engine = this->Engines.size();
  } else if (const auto *Refuse = std::get_if<Routing::RefuseAction>(&Each)) {
    this->refuse(Refuse->Id, Refuse->Reason);
  }
}

void BenchRun::refuse(Common::RequestId Id, Common::RefusalReason Reason) {
  const Request &Each = this->Requests.at(Id);
  if (!Each.Crashes)
    ++this->Result.Priorities[Each.Work.Priority]
          .Refused[Common::refusalInfo(Reason).Name];
  if (Each.InFlood && !Each.Crashes)
    ++this->Result.Priorities[Each.Work.Priority].FloodAdmitted;
  this->Requests.erase(Id);
}

Outcome BenchRun::summarize() {
  double AllWork = 0;
  for (const auto &Each : this->FloodWork)
    AllWork += Each.second;
  for (auto &[Name, Each] : this->Result.Priorities) {
    // What was counted so far is what was refused.
    Each.FloodAdmitted = Each.FloodAsked - Each.FloodAdmitted;
    Each.FirstTokenP50 = quantile(this->FirstTokens[Name], 0.5);
    Each.FirstTokenP95 = quantile(this->FirstTokens[Name], 0.95);
    Each.FirstTokenP99 = quantile(this->FirstTokens[Name], 0.99);
    Each.Fairness = jain(this->Served[Name]);
    Each.FloodShare = AllWork == 0 ? 0 : this->FloodWork[Name] / AllWork;
  }
  for (const EngineModel &Each : this->Engines) {
    this->Result.ComputedTokens += Each.PrefillTokens;
    this->Result.GeneratedTokens += Each.GeneratedTokens;
  }
  return this->Result;
}

} // namespace PolicyBench
