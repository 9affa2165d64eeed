#include "EntryDaemon/ServiceDispatchers.h"

#include "Common/Hash.h"

#include <algorithm>

namespace EntryDaemon {

namespace {

/// Number of callers whose use one digest reports to the peers.
constexpr std::size_t MaxReportedCallers = 8;

Routing::ServerFacts factsOf(const Membership::Announcement &Announced) {
  Routing::ServerFacts Facts;
  Facts.Id = Announced.BackendServer;
  Facts.Life = Announced.Life;
  Facts.Sequence = Announced.Sequence;
  Facts.Capacity = Announced.Capacity;
  Facts.Load = Announced.Load;
  return Facts;
}

bool runsDeclaredVersion(const Membership::Announcement &Announced,
                         const Configuration::ServiceDeclaration &Declaration) {
  return Announced.Model == Declaration.Model &&
         (Declaration.ModelVersion.empty() ||
          Announced.ModelVersion == Declaration.ModelVersion);
}

} // namespace

ServiceDispatchers::ServiceDispatchers(EntryContext &Context,
                                       const Membership::PeerTable &Peers)
    : Context(Context), Peers(Peers),
      Salt(Common::hashBytes(Context.Settings.Name.str())) {}

ServiceDispatchers::ServiceEntry *
ServiceDispatchers::findEntry(const Common::ServiceName &Service) {
  const auto Found = this->Services.find(Service);
  return Found == this->Services.end() ? nullptr : &Found->second;
}

void ServiceDispatchers::configure() {
  std::map<Common::PriorityName, Admission::PriorityRule> PriorityRules;
  for (const auto &[Name, Each] : this->Context.Declared.priorities())
    PriorityRules[Name] =
        Admission::PriorityRule{Each.Rank, Each.Floor, Each.Worth};
  for (const auto &[Name, Each] : this->Context.Declared.services()) {
    if (this->Services.count(Name) == 0) {
      Routing::DispatchRules DispatchRules;
      DispatchRules.QuarantineLength = Each.Quarantine.span();
      this->Services.emplace(Name, ServiceEntry(DispatchRules));
    }
    this->Services.at(Name).Dispatcher.configure(PriorityRules);
  }
  this->refresh();
}

void ServiceDispatchers::refresh() {
  for (auto &[Service, Entry] : this->Services) {
    this->refreshPool(Service, Entry);
    this->poll(Service);
  }
}

void ServiceDispatchers::refreshPool(const Common::ServiceName &Service,
                                     ServiceEntry &Entry) {
  const auto &DeclaredServices = this->Context.Declared.services();
  const auto Declaration = DeclaredServices.find(Service);
  const auto &Drained = this->Context.Declared.drainedHosts();
  const Common::TimePoint Now = this->Context.Loop.now();
  bool DeclaredVersionUsable = false;
  std::vector<std::pair<Routing::ServerFacts, bool>> Servers;
  for (const auto &[Id, Each] : this->Context.Registry.entries()) {
    const Membership::Announcement &Announced = Each.Latest;
    if (Announced.Service != Service)
      continue;
    Routing::ServerFacts Facts = factsOf(Announced);
    Facts.Local = Announced.DataCentre == this->Context.Settings.DataCentre;
    Facts.Usable = Declaration != DeclaredServices.end() &&
                   this->Context.Registry.usable(Each, Now) &&
                   Drained.count(Announced.Host) == 0 &&
                   Announced.Model == Declaration->second.Model;
    const bool Matches =
        Facts.Usable && runsDeclaredVersion(Announced, Declaration->second);
    DeclaredVersionUsable = DeclaredVersionUsable || Matches;
    Servers.emplace_back(Facts, Matches);
  }
  for (auto &[Facts, Matches] : Servers) {
    // Servers of another version are used only until a server of the declared
    // version is usable.
    Facts.Usable = Facts.Usable && (Matches || !DeclaredVersionUsable);
    Entry.Dispatcher.pool().learn(Facts);
  }
  Entry.Dispatcher.pool().removeUnused();
}

std::optional<Common::RefusalReason>
ServiceDispatchers::checkAdmission(const Common::ServiceName &Service,
                                   const Routing::WorkRequest &Work) {
  ServiceEntry *Entry = this->findEntry(Service);
  if (!Entry)
    return Common::RefusalReason::UnknownService;
  return Entry->Dispatcher.refusalOf(Work, this->Context.Loop.now());
}

std::optional<Common::RefusalReason>
ServiceDispatchers::submit(const Common::ServiceName &Service,
                           Routing::WorkRequest Work, CallHandlers Handlers) {
  ServiceEntry *Entry = this->findEntry(Service);
  if (!Entry)
    return Common::RefusalReason::UnknownService;
  const Common::RequestId Id = Work.Id;
  const auto Refused =
      Entry->Dispatcher.arrive(std::move(Work), this->Context.Loop.now());
  if (Refused)
    return Refused;
  Entry->Calls[Id] = std::move(Handlers);
  this->schedulePoll(Service);
  return std::nullopt;
}

bool ServiceDispatchers::resubmit(const Common::ServiceName &Service,
                                  Routing::WorkRequest Work,
                                  CallHandlers Handlers) {
  ServiceEntry *Entry = this->findEntry(Service);
  if (!Entry)
    return false;
  Entry->Calls[Work.Id] = std::move(Handlers);
  Entry->Dispatcher.readmit(std::move(Work), this->Context.Loop.now());
  this->schedulePoll(Service);
  return true;
}

void ServiceDispatchers::schedulePoll(const Common::ServiceName &Service) {
  ServiceEntry *Entry = this->findEntry(Service);
  if (!Entry || Entry->PollScheduled)
    return;
  // Deferred, so that callbacks do not run inside the call that caused them.
  Entry->PollScheduled = true;
  this->Context.Loop.defer([this, Service] { this->poll(Service); });
}

void ServiceDispatchers::poll(const Common::ServiceName &Service) {
  ServiceEntry *Entry = this->findEntry(Service);
  if (!Entry)
    return;
  Entry->PollScheduled = false;
  const Common::TimePoint Now = this->Context.Loop.now();
  const double Share =
      this->Peers.share(Service, Entry->Dispatcher.demand(), Now);
  const auto Orders = Entry->Dispatcher.poll(Share, this->Salt, Now);
  for (const Common::RetryReason Reason : Entry->Dispatcher.takeRetries())
    this->Context.Metrics.retried(Reason);
  for (const Routing::Order &Order : Orders)
    this->execute(*Entry, Order);
}

void ServiceDispatchers::execute(ServiceEntry &Entry,
                                 const Routing::Order &Order) {
  const Common::RequestId Id =
      std::visit([](const auto &Any) { return Any.Id; }, Order);
  const auto Found = Entry.Calls.find(Id);
  if (Found == Entry.Calls.end())
    return;
  // Copied, as the handlers may change the table of calls.
  const CallHandlers Handlers = Found->second;
  if (const auto *Start = std::get_if<Routing::StartOrder>(&Order)) {
    Handlers.OnStart(Start->Server);
  } else if (std::holds_alternative<Routing::PreemptOrder>(Order)) {
    if (Handlers.OnPreempt)
      Handlers.OnPreempt();
  } else if (const auto *Refuse = std::get_if<Routing::RefuseOrder>(&Order)) {
    Entry.Calls.erase(Id);
    Handlers.OnRefuse(Refuse->Reason);
  }
}

void ServiceDispatchers::firstTokenReceived(const Common::ServiceName &Service,
                                            Common::RequestId Id) {
  if (ServiceEntry *Entry = this->findEntry(Service))
    Entry->Dispatcher.firstToken(Id, this->Context.Loop.now());
}

void ServiceDispatchers::updateProgress(const Common::ServiceName &Service,
                                        Common::RequestId Id,
                                        std::uint64_t Tokens) {
  if (ServiceEntry *Entry = this->findEntry(Service))
    Entry->Dispatcher.progress(Id, Tokens);
}

void ServiceDispatchers::finished(const Common::ServiceName &Service,
                                  Common::RequestId Id) {
  ServiceEntry *Entry = this->findEntry(Service);
  if (!Entry)
    return;
  Entry->Dispatcher.finished(Id, this->Context.Loop.now());
  Entry->Calls.erase(Id);
  this->schedulePoll(Service);
}

void ServiceDispatchers::attemptFailed(const Common::ServiceName &Service,
                                       Common::RequestId Id,
                                       const Common::BackendServerId &Server,
                                       Routing::Failure Failure) {
  ServiceEntry *Entry = this->findEntry(Service);
  if (!Entry)
    return;
  const bool ServerFailed = Failure == Routing::Failure::ConnectionLost ||
                            Failure == Routing::Failure::StreamBroken;
  if (ServerFailed)
    this->reportCrash(Service, Server);
  Entry->Dispatcher.failed(Id, Failure, this->Context.Loop.now());
  this->schedulePoll(Service);
}

void ServiceDispatchers::reportCrash(const Common::ServiceName &Service,
                                     const Common::BackendServerId &Server) {
  const auto *RegistryEntry = this->Context.Registry.find(Server);
  ServiceEntry *Entry = this->findEntry(Service);
  // The failure of a server that is leaving is not caused by its requests.
  if (!Entry || !RegistryEntry ||
      RegistryEntry->Latest.State == Membership::ServerState::Leaving)
    return;
  Membership::CrashNotice Notice;
  Notice.Service = Service;
  Notice.BackendServer = Server;
  Notice.Life = RegistryEntry->Latest.Life;
  Notice.Suspects = Entry->Dispatcher.runningAt(Server);
  this->handleCrashNotice(Notice);
  if (this->NotifyCrash)
    this->NotifyCrash(Notice);
}

void ServiceDispatchers::handleCrashNotice(
    const Membership::CrashNotice &Notice) {
  ServiceEntry *Entry = this->findEntry(Notice.Service);
  if (!Entry)
    return;
  const Routing::ServerLife Server{Notice.BackendServer, Notice.Life};
  const auto Quarantined = Entry->Dispatcher.serverFailed(
      Server, Notice.Suspects, this->Context.Loop.now());
  this->Context.Metrics.count("quarantined_requests_total", Quarantined.size());
}

void ServiceDispatchers::updateCache(
    const Membership::Announcement &Announced) {
  if (ServiceEntry *Entry = this->findEntry(Announced.Service))
    Entry->Dispatcher.pool().learnCache(Announced.BackendServer,
                                        Announced.CacheEvents);
}

void ServiceDispatchers::recordPeerUse(const Membership::CallerUse &Use) {
  if (ServiceEntry *Entry = this->findEntry(Use.Service))
    Entry->Dispatcher.chargeElsewhere(Use.Caller, Admission::Cost{Use.Cost},
                                      this->Context.Loop.now());
}

void ServiceDispatchers::returnToQueue(const Common::ServiceName &Service,
                                       Common::RequestId Id) {
  if (ServiceEntry *Entry = this->findEntry(Service))
    Entry->Dispatcher.returned(Id);
  this->schedulePoll(Service);
}

void ServiceDispatchers::remove(const Common::ServiceName &Service,
                                Common::RequestId Id) {
  ServiceEntry *Entry = this->findEntry(Service);
  if (!Entry)
    return;
  Entry->Dispatcher.forget(Id);
  Entry->Calls.erase(Id);
  this->schedulePoll(Service);
}

std::vector<Membership::ServiceDemand> ServiceDispatchers::demands() const {
  std::vector<Membership::ServiceDemand> Result;
  for (const auto &[Service, Each] : this->Services)
    if (Each.Dispatcher.demand() > 0)
      Result.push_back({Service, Each.Dispatcher.demand()});
  return Result;
}

std::vector<Membership::CallerUse> ServiceDispatchers::takeTopCallerUses() {
  std::vector<Membership::CallerUse> Result;
  for (auto &[Service, Each] : this->Services)
    for (const auto &[Caller, Cost] : Each.Dispatcher.takeUse())
      Result.push_back({Service, Caller, Cost.Value});
  std::sort(Result.begin(), Result.end(),
            [](const auto &Left, const auto &Right) {
              return Left.Cost > Right.Cost;
            });
  if (Result.size() > MaxReportedCallers)
    Result.resize(MaxReportedCallers);
  return Result;
}

const Routing::Dispatcher *
ServiceDispatchers::findDispatcher(const Common::ServiceName &Service) const {
  const auto Found = this->Services.find(Service);
  return Found == this->Services.end() ? nullptr : &Found->second.Dispatcher;
}

bool ServiceDispatchers::isUsable(const Common::ServiceName &Service,
                                  const Common::BackendServerId &Server) const {
  const auto *RegistryEntry = this->Context.Registry.find(Server);
  const auto &Drained = this->Context.Declared.drainedHosts();
  return RegistryEntry && RegistryEntry->Latest.Service == Service &&
         this->Context.Registry.usable(*RegistryEntry,
                                       this->Context.Loop.now()) &&
         Drained.count(RegistryEntry->Latest.Host) == 0;
}

} // namespace EntryDaemon
