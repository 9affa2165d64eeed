#include "EntryDaemon/Lanes.h"

#include "Common/Hash.h"

#include <algorithm>

namespace EntryDaemon {

namespace {

/// Callers whose use is told to peers in one digest.
constexpr std::size_t ReportedCallers = 8;

Routing::ServerFacts factsOf(const Membership::Announcement &Said) {
  Routing::ServerFacts Facts;
  Facts.Id = Said.BackendServer;
  Facts.Life = Said.Life;
  Facts.Sequence = Said.Sequence;
  Facts.Capacity = Said.Capacity;
  Facts.Load = Said.Load;
  return Facts;
}

bool runsDeclared(const Membership::Announcement &Said,
                  const Configuration::ServiceDeclaration &Declared) {
  return Said.Model == Declared.Model &&
         (Declared.ModelVersion.empty() ||
          Said.ModelVersion == Declared.ModelVersion);
}

} // namespace

Lanes::Lanes(EntryContext &Context, const Membership::PeerTable &Peers)
    : Context(Context), Peers(Peers),
      Salt(Common::hashBytes(Context.Settings.Name.str())) {}

Lanes::Lane *Lanes::lane(const Common::ServiceName &Service) {
  const auto Found = this->Services.find(Service);
  return Found == this->Services.end() ? nullptr : &Found->second;
}

void Lanes::configure() {
  std::map<Common::PriorityName, Admission::PriorityRule> Rules;
  for (const auto &[Name, Each] : this->Context.Declared.priorities())
    Rules[Name] = Admission::PriorityRule{Each.Rank, Each.Floor, Each.Worth};
  for (const auto &[Name, Each] : this->Context.Declared.services()) {
    if (this->Services.count(Name) == 0) {
      Routing::DispatchRules Dispatch;
      Dispatch.QuarantineLength = Each.Quarantine.span();
      this->Services.emplace(Name, Lane(Dispatch));
    }
    this->Services.at(Name).Dispatcher.configure(Rules);
  }
  this->refresh();
}

void Lanes::refresh() {
  for (auto &[Service, Target] : this->Services) {
    this->refreshPool(Service, Target);
    this->poll(Service);
  }
}

void Lanes::refreshPool(const Common::ServiceName &Service, Lane &Target) {
  const auto &Services = this->Context.Declared.services();
  const auto Declared = Services.find(Service);
  const auto &Drained = this->Context.Declared.drainedHosts();
  const Common::TimePoint Now = this->Context.Loop.now();
  bool AnyDeclared = false;
  std::vector<std::pair<Routing::ServerFacts, bool>> Known;
  for (const auto &[Id, Each] : this->Context.Registry.entries()) {
    const Membership::Announcement &Said = Each.Latest;
    if (Said.Service != Service)
      continue;
    Routing::ServerFacts Facts = factsOf(Said);
    Facts.Local = Said.DataCentre == this->Context.Settings.DataCentre;
    Facts.Usable = Declared != Services.end() &&
                   this->Context.Registry.usable(Each, Now) &&
                   Drained.count(Said.Host) == 0 &&
                   Said.Model == Declared->second.Model;
    const bool Matches = Facts.Usable && runsDeclared(Said, Declared->second);
    AnyDeclared = AnyDeclared || Matches;
    Known.emplace_back(Facts, Matches);
  }
  for (auto &[Facts, Matches] : Known) {
    // An older version serves only until the declared one is there.
    Facts.Usable = Facts.Usable && (Matches || !AnyDeclared);
    Target.Dispatcher.pool().learn(Facts);
  }
  Target.Dispatcher.pool().removeUnused();
}

std::optional<Common::RefusalReason>
Lanes::refusalOf(const Common::ServiceName &Service,
                 const Routing::WorkRequest &Work) {
  Lane *Target = this->lane(Service);
  if (!Target)
    return Common::RefusalReason::UnknownService;
  return Target->Dispatcher.refusalOf(Work, this->Context.Loop.now());
}

std::optional<Common::RefusalReason>
Lanes::arrive(const Common::ServiceName &Service, Routing::WorkRequest Work,
              CallHandlers Handle) {
  Lane *Target = this->lane(Service);
  if (!Target)
    return Common::RefusalReason::UnknownService;
  const Common::RequestId Id = Work.Id;
  const auto Refused =
      Target->Dispatcher.arrive(std::move(Work), this->Context.Loop.now());
  if (Refused)
    return Refused;
  Target->Calls[Id] = std::move(Handle);
  this->schedulePoll(Service);
  return std::nullopt;
}

bool Lanes::readmit(const Common::ServiceName &Service,
                    Routing::WorkRequest Work, CallHandlers Handle) {
  Lane *Target = this->lane(Service);
  if (!Target)
    return false;
  Target->Calls[Work.Id] = std::move(Handle);
  Target->Dispatcher.readmit(std::move(Work), this->Context.Loop.now());
  this->schedulePoll(Service);
  return true;
}

void Lanes::schedulePoll(const Common::ServiceName &Service) {
  Lane *Target = this->lane(Service);
  if (!Target || Target->PollScheduled)
    return;
  // Deferred, so that orders never run inside the event that caused them.
  Target->PollScheduled = true;
  this->Context.Loop.defer([this, Service] { this->poll(Service); });
}

void Lanes::poll(const Common::ServiceName &Service) {
  Lane *Target = this->lane(Service);
  if (!Target)
    return;
  Target->PollScheduled = false;
  const Common::TimePoint Now = this->Context.Loop.now();
  const double Part =
      this->Peers.share(Service, Target->Dispatcher.demand(), Now);
  const auto Orders = Target->Dispatcher.poll(Part, this->Salt, Now);
  for (const Common::RetryReason Reason : Target->Dispatcher.takeRetries())
    this->Context.Metrics.recordRetry(Reason);
  for (const Routing::Order &Each : Orders)
    this->carryOut(*Target, Each);
}

void Lanes::carryOut(Lane &Target, const Routing::Order &Each) {
  const Common::RequestId Id =
      std::visit([](const auto &Any) { return Any.Id; }, Each);
  const auto Found = Target.Calls.find(Id);
  if (Found == Target.Calls.end())
    return;
  // The handlers may change the table of calls.
  const CallHandlers Handle = Found->second;
  if (const auto *Start = std::get_if<Routing::StartOrder>(&Each)) {
    Handle.OnStart(Start->Server);
  } else if (std::holds_alternative<Routing::PreemptOrder>(Each)) {
    if (Handle.OnPreempt)
      Handle.OnPreempt();
  } else if (const auto *Refuse = std::get_if<Routing::RefuseOrder>(&Each)) {
    Target.Calls.erase(Id);
    Handle.OnRefuse(Refuse->Reason);
  }
}

void Lanes::firstToken(const Common::ServiceName &Service,
                       Common::RequestId Id) {
  if (Lane *Target = this->lane(Service))
    Target->Dispatcher.firstToken(Id, this->Context.Loop.now());
}

void Lanes::progress(const Common::ServiceName &Service, Common::RequestId Id,
                     std::uint64_t Tokens) {
  if (Lane *Target = this->lane(Service))
    Target->Dispatcher.progress(Id, Tokens);
}

void Lanes::finished(const Common::ServiceName &Service, Common::RequestId Id) {
  Lane *Target = this->lane(Service);
  if (!Target)
    return;
  Target->Dispatcher.finished(Id, this->Context.Loop.now());
  Target->Calls.erase(Id);
  this->schedulePoll(Service);
}

void Lanes::failed(const Common::ServiceName &Service, Common::RequestId Id,
                   const Common::BackendServerId &Server,
                   Routing::Failure What) {
  Lane *Target = this->lane(Service);
  if (!Target)
    return;
  const bool Broke = What == Routing::Failure::ConnectionLost ||
                     What == Routing::Failure::StreamBroken;
  if (Broke)
    this->reportCrash(Service, Server);
  Target->Dispatcher.failed(Id, What, this->Context.Loop.now());
  this->schedulePoll(Service);
}

void Lanes::reportCrash(const Common::ServiceName &Service,
                        const Common::BackendServerId &Server) {
  const auto *Known = this->Context.Registry.find(Server);
  Lane *Target = this->lane(Service);
  // A server that was taken back did not fail because of its requests.
  if (!Target || !Known ||
      Known->Latest.State == Membership::ServerState::Leaving)
    return;
  Membership::CrashNotice Notice;
  Notice.Service = Service;
  Notice.BackendServer = Server;
  Notice.Life = Known->Latest.Life;
  Notice.Suspects = Target->Dispatcher.runningAt(Server);
  this->learn(Notice);
  if (this->Crash)
    this->Crash(Notice);
}

void Lanes::learn(const Membership::CrashNotice &Notice) {
  Lane *Target = this->lane(Notice.Service);
  if (!Target)
    return;
  const Routing::ServerLife Server{Notice.BackendServer, Notice.Life};
  const auto Refused = Target->Dispatcher.serverFailed(
      Server, Notice.Suspects, this->Context.Loop.now());
  this->Context.Metrics.incrementCounter("quarantined_requests_total",
                                         Refused.size());
}

void Lanes::learnCache(const Membership::Announcement &Said) {
  if (Lane *Target = this->lane(Said.Service))
    Target->Dispatcher.pool().learnCache(Said.BackendServer, Said.CacheEvents);
}

void Lanes::learnUse(const Membership::CallerUse &Use) {
  if (Lane *Target = this->lane(Use.Service))
    Target->Dispatcher.chargeElsewhere(Use.Caller, Admission::Cost{Use.Cost},
                                       this->Context.Loop.now());
}

void Lanes::returned(const Common::ServiceName &Service, Common::RequestId Id) {
  if (Lane *Target = this->lane(Service))
    Target->Dispatcher.returned(Id);
  this->schedulePoll(Service);
}

void Lanes::forget(const Common::ServiceName &Service, Common::RequestId Id) {
  Lane *Target = this->lane(Service);
  if (!Target)
    return;
  Target->Dispatcher.forget(Id);
  Target->Calls.erase(Id);
  this->schedulePoll(Service);
}

std::vector<Membership::ServiceDemand> Lanes::demands() const {
  std::vector<Membership::ServiceDemand> Result;
  for (const auto &[Service, Each] : this->Services)
    if (Each.Dispatcher.demand() > 0)
      Result.push_back({Service, Each.Dispatcher.demand()});
  return Result;
}

std::vector<Membership::CallerUse> Lanes::takeHeaviestUses() {
  std::vector<Membership::CallerUse> Result;
  for (auto &[Service, Each] : this->Services)
    for (const auto &[Caller, Cost] : Each.Dispatcher.takeUse())
      Result.push_back({Service, Caller, Cost.Value});
  std::sort(Result.begin(), Result.end(),
            [](const auto &Left, const auto &Right) {
              return Left.Cost > Right.Cost;
            });
  if (Result.size() > ReportedCallers)
    Result.resize(ReportedCallers);
  return Result;
}

const Routing::Dispatcher *
Lanes::find(const Common::ServiceName &Service) const {
  const auto Found = this->Services.find(Service);
  return Found == this->Services.end() ? nullptr : &Found->second.Dispatcher;
}

bool Lanes::usable(const Common::ServiceName &Service,
                   const Common::BackendServerId &Server) const {
  const auto *Known = this->Context.Registry.find(Server);
  const auto &Drained = this->Context.Declared.drainedHosts();
  return Known && Known->Latest.Service == Service &&
         this->Context.Registry.usable(*Known, this->Context.Loop.now()) &&
         Drained.count(Known->Latest.Host) == 0;
}

} // namespace EntryDaemon
