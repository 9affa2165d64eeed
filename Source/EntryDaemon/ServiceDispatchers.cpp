#include "EntryDaemon/ServiceDispatchers.h"

#include "Common/Hash.h"
#include "Network/RetryAfter.h"
#include "Telemetry/LogEvents.h"

#include <algorithm>

namespace EntryDaemon {

namespace {

/// Number of callers whose use one digest reports to the peers.
constexpr std::size_t MaxReportedCallers = 8;
/// Older answers are taken for as old as this, in microseconds.
constexpr std::uint64_t MaxSurvivalAge = 60'000'000;

Routing::ServerStatus statusOf(const Membership::Announcement &Announced) {
  Routing::ServerStatus Status;
  Status.Id = Announced.BackendServer;
  Status.Incarnation = Announced.Incarnation;
  Status.Sequence = Announced.Sequence;
  Status.Capacity = Announced.Capacity;
  Status.Load = Announced.Load;
  return Status;
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
      DaemonSalt(Common::hashBytes(Context.Settings.Name.str())) {}

ServiceDispatchers::ServiceEntry *
ServiceDispatchers::findEntry(const Common::ServiceName &Service) {
  const auto Found = this->Services.find(Service);
  return Found == this->Services.end() ? nullptr : &Found->second;
}

void ServiceDispatchers::configure() {
  std::map<Common::PriorityName, Admission::PriorityRule> PriorityRules;
  for (const auto &[Name, Each] : this->Context.Declared.priorities())
    PriorityRules[Name] =
        Admission::PriorityRule{Each.Rank, Each.Floor, Each.DeficitWeight};
  for (const auto &[Name, Each] : this->Context.Declared.services()) {
    if (this->Services.count(Name) == 0) {
      Routing::DispatchOptions Options;
      Options.QuarantineDuration = Each.QuarantineDuration.duration();
      this->Services.emplace(Name, ServiceEntry(Options));
    }
    this->Services.at(Name).Dispatcher.configure(PriorityRules);
  }
  this->refresh();
}

void ServiceDispatchers::refresh() {
  for (auto &[Service, Entry] : this->Services) {
    this->refreshPool(Service, Entry);
    this->updatePromptQuarantine(Service, Entry);
    this->poll(Service);
  }
}

void ServiceDispatchers::updatePromptQuarantine(
    const Common::ServiceName &Service, ServiceEntry &Entry) {
  const Common::TimePoint Now = this->Context.Loop.now();
  const auto &DeclaredServices = this->Context.Declared.services();
  const auto Declaration = DeclaredServices.find(Service);
  if (Declaration == DeclaredServices.end())
    return;
  Routing::PromptQuarantine &Quarantine = Entry.Dispatcher.promptQuarantine();
  const auto HeardAt = [this](const Routing::ServerIncarnation &Server)
      -> std::optional<Common::TimePoint> {
    const auto *Known = this->Context.Registry.find(Server.BackendServer);
    if (!Known || Known->Latest.Incarnation != Server.Incarnation)
      return std::nullopt;
    return Known->HeardAt;
  };
  Quarantine.update(HeardAt, Declaration->second.QuarantineDuration.duration(),
                    Now);
  Membership::SurvivalNotice Notice;
  Notice.Service = Service;
  for (const Routing::PromptQuarantine::Survival &Each :
       Quarantine.takeSurvivals())
    Notice.Parts.push_back(
        {Each.Part,
         static_cast<std::uint64_t>(
             std::chrono::duration_cast<Common::Duration>(Now - Each.BegunAt)
                 .count())});
  if (!Notice.Parts.empty() && this->NotifySurvivals)
    this->NotifySurvivals(Notice);
}

void ServiceDispatchers::onSurvivals(const Membership::SurvivalNotice &Notice) {
  ServiceEntry *Entry = this->findEntry(Notice.Service);
  if (!Entry)
    return;
  const Common::TimePoint Now = this->Context.Loop.now();
  for (const Membership::SurvivalNotice::Part &Each : Notice.Parts)
    Entry->Dispatcher.promptQuarantine().recordSurvival(
        {Each.Hash,
         Now - Common::Duration(static_cast<std::int64_t>(
                   std::min<std::uint64_t>(Each.AgeMicros, MaxSurvivalAge)))});
}

void ServiceDispatchers::refreshPool(const Common::ServiceName &Service,
                                     ServiceEntry &Entry) {
  const auto &DeclaredServices = this->Context.Declared.services();
  const auto Declaration = DeclaredServices.find(Service);
  const auto &Drained = this->Context.Declared.drainedHosts();
  const Common::TimePoint Now = this->Context.Loop.now();
  bool DeclaredVersionUsable = false;
  std::vector<std::pair<Routing::ServerStatus, bool>> Servers;
  for (const auto &[Id, Each] : this->Context.Registry.entries()) {
    const Membership::Announcement &Announced = Each.Latest;
    if (Announced.Service != Service)
      continue;
    Routing::ServerStatus Status = statusOf(Announced);
    Status.Local = Announced.DataCentre == this->Context.Settings.DataCentre;
    Status.Usable = Declaration != DeclaredServices.end() &&
                    this->Context.Registry.isUsable(Each, Now) &&
                    Drained.count(Announced.Host) == 0 &&
                    Announced.Model == Declaration->second.Model;
    const bool Matches =
        Status.Usable && runsDeclaredVersion(Announced, Declaration->second);
    DeclaredVersionUsable = DeclaredVersionUsable || Matches;
    Servers.emplace_back(Status, Matches);
  }
  for (auto &[Status, Matches] : Servers) {
    // Servers of another version are used only until a server of the declared
    // version is usable.
    Status.Usable = Status.Usable && (Matches || !DeclaredVersionUsable);
    Entry.Dispatcher.pool().update(Status);
  }
  Entry.Dispatcher.pool().removeUnused();
}

std::optional<Common::RefusalReason>
ServiceDispatchers::checkAdmission(const Common::ServiceName &Service,
                                   const Routing::DispatchRequest &Work) {
  ServiceEntry *Entry = this->findEntry(Service);
  if (!Entry)
    return Common::RefusalReason::UnknownService;
  return Entry->Dispatcher.checkAdmission(Work, this->Context.Loop.now());
}

std::optional<Common::RefusalReason>
ServiceDispatchers::submit(const Common::ServiceName &Service,
                           Routing::DispatchRequest Work,
                           CallHandlers Handlers) {
  ServiceEntry *Entry = this->findEntry(Service);
  if (!Entry)
    return Common::RefusalReason::UnknownService;
  const Common::RequestId Id = Work.Id;
  const auto Refused =
      Entry->Dispatcher.submit(std::move(Work), this->Context.Loop.now());
  if (Refused)
    return Refused;
  Entry->Calls[Id] = std::move(Handlers);
  this->schedulePoll(Service);
  return std::nullopt;
}

bool ServiceDispatchers::readmit(const Common::ServiceName &Service,
                                 Routing::DispatchRequest Work,
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
  const auto Actions = Entry->Dispatcher.poll(Share, this->DaemonSalt, Now);
  for (const Common::RetryReason Reason : Entry->Dispatcher.takeRetryReasons())
    this->Context.Metrics.recordRetry(Reason);
  for (const Routing::Action &Action : Actions)
    this->execute(*Entry, Action);
}

void ServiceDispatchers::execute(ServiceEntry &Entry,
                                 const Routing::Action &Action) {
  const Common::RequestId Id =
      std::visit([](const auto &Any) { return Any.Id; }, Action);
  const auto Found = Entry.Calls.find(Id);
  if (Found == Entry.Calls.end())
    return;
  // Copied, as the handlers may change the table of calls.
  const CallHandlers Handlers = Found->second;
  if (const auto *Start = std::get_if<Routing::StartAction>(&Action)) {
    Handlers.OnStart(Start->Server);
  } else if (std::holds_alternative<Routing::PreemptAction>(Action)) {
    if (Handlers.OnPreempt)
      Handlers.OnPreempt();
  } else if (const auto *Refuse = std::get_if<Routing::RefuseAction>(&Action)) {
    Entry.Calls.erase(Id);
    Handlers.OnRefuse(Refuse->Reason);
  }
}

void ServiceDispatchers::onFirstToken(const Common::ServiceName &Service,
                                      Common::RequestId Id) {
  if (ServiceEntry *Entry = this->findEntry(Service))
    Entry->Dispatcher.onFirstToken(Id, this->Context.Loop.now());
}

void ServiceDispatchers::onProgress(const Common::ServiceName &Service,
                                    Common::RequestId Id,
                                    std::uint64_t Tokens) {
  if (ServiceEntry *Entry = this->findEntry(Service))
    Entry->Dispatcher.onProgress(Id, Tokens, this->Context.Loop.now());
}

void ServiceDispatchers::onFinished(const Common::ServiceName &Service,
                                    Common::RequestId Id) {
  ServiceEntry *Entry = this->findEntry(Service);
  if (!Entry)
    return;
  Entry->Dispatcher.onFinished(Id, this->Context.Loop.now());
  Entry->Calls.erase(Id);
  this->schedulePoll(Service);
}

void ServiceDispatchers::onFailed(const Common::ServiceName &Service,
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
  Entry->Dispatcher.onFailed(Id, Failure, this->Context.Loop.now());
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
  Notice.Incarnation = RegistryEntry->Latest.Incarnation;
  Notice.RequestFingerprints = Entry->Dispatcher.runningAt(Server);
  Notice.LostRuns = Entry->Dispatcher.unprovenRunsAt(Server);
  this->onServerFailed(Notice);
  if (this->NotifyCrash)
    this->NotifyCrash(Notice);
}

void ServiceDispatchers::onServerFailed(const Membership::CrashNotice &Notice) {
  ServiceEntry *Entry = this->findEntry(Notice.Service);
  if (!Entry)
    return;
  const Routing::ServerIncarnation Server{Notice.BackendServer,
                                          Notice.Incarnation};
  Entry->Dispatcher.promptQuarantine().recordLostRuns(Server, Notice.LostRuns,
                                                      this->Context.Loop.now());
  const auto Quarantined = Entry->Dispatcher.onServerFailed(
      Server, Notice.RequestFingerprints, this->Context.Loop.now());
  this->Context.Metrics.incrementCounter("quarantined_requests_total",
                                         Quarantined.size());
}

void ServiceDispatchers::applyCacheEvents(
    const Membership::Announcement &Announced) {
  if (ServiceEntry *Entry = this->findEntry(Announced.Service))
    Entry->Dispatcher.pool().applyCacheEvents(Announced.BackendServer,
                                              Announced.CacheEvents);
}

void ServiceDispatchers::chargeRemoteUsage(const Membership::CallerUsage &Use) {
  if (ServiceEntry *Entry = this->findEntry(Use.Service))
    Entry->Dispatcher.chargeRemoteUsage(Use.Caller, Admission::Cost{Use.Cost},
                                        this->Context.Loop.now());
}

void ServiceDispatchers::onResponseHead(const Common::ServiceName &Service,
                                        Common::RequestId Id,
                                        const Network::HttpResponse &Head) {
  namespace Events = Telemetry::Events;
  ServiceEntry *Entry = this->findEntry(Service);
  const auto From = Entry ? Entry->Dispatcher.serverOf(Id) : std::nullopt;
  if (!From)
    return;
  const std::string Server = From->BackendServer.str();
  const std::uint64_t Lifetime = From->Incarnation.Value;
  if (!Network::isRejection(Head.Status)) {
    if (Entry->Dispatcher.onAccepted(Id))
      Telemetry::log(Events::ServerCondition, Server, Lifetime, "accepting",
                     "answer", Id.Value, "");
    return;
  }
  const auto Asked =
      Network::parseRejectionRetryAfter(Head.Status, Head.Headers);
  if (!Asked.ok()) {
    this->Context.Metrics.incrementCounter("retry_after_invalid_total");
    Telemetry::log(Events::RetryAfterInvalid, Id.Value, Server,
                   Asked.status().message());
    return;
  }
  if (!*Asked)
    return;
  const Common::TimePoint Now = this->Context.Loop.now();
  this->Context.Metrics.incrementLabelledCounter(
      "rests_requested_total", "status", std::to_string(Head.Status));
  const auto RestEnd = Entry->Dispatcher.onRetryAfter(Id, **Asked, Now);
  if (!RestEnd)
    return;
  Telemetry::log(Events::ServerCondition, Server, Lifetime, "resting",
                 "retry_after", Id.Value,
                 Common::toMilliseconds(*RestEnd - Now));
  // Calls that still wait for their connections go elsewhere.
  for (const Common::RequestId Waiting :
       Entry->Dispatcher.requestsAt(From->BackendServer)) {
    const auto Found = Entry->Calls.find(Waiting);
    if (Waiting == Id || Found == Entry->Calls.end() ||
        !Found->second.CancelIfUnsent || !Found->second.CancelIfUnsent())
      continue;
    this->Context.Metrics.incrementCounter("requests_withheld_total");
    this->requeue(Service, Waiting);
  }
}

bool ServiceDispatchers::mayWrite(const Common::ServiceName &Service,
                                  Common::RequestId Id) const {
  const Routing::Dispatcher *Dispatcher = this->findDispatcher(Service);
  return !Dispatcher || Dispatcher->mayWrite(Id, this->Context.Loop.now());
}

Common::Refusal ServiceDispatchers::refusal(
    const Common::ServiceName &Service, const Common::PriorityName &Priority,
    Common::RefusalReason Reason, const std::string &Details) {
  Common::Refusal Result{Reason, Details};
  const Common::TimePoint Now = this->Context.Loop.now();
  const Routing::Dispatcher *Dispatcher = this->findDispatcher(Service);
  const auto RestEnd =
      Dispatcher ? Dispatcher->pool().restEnd(Now) : std::nullopt;
  const bool Depends = Reason == Common::RefusalReason::ServersResting ||
                       Reason == Common::RefusalReason::QueueFull;
  if (!RestEnd || !Depends)
    return Result;
  const auto &Priorities = this->Context.Declared.priorities();
  const auto Declared = Priorities.find(Priority);
  Routing::RefusedCaller Caller;
  if (Declared != Priorities.end())
    Caller.Priority = static_cast<std::uint32_t>(Declared->second.Rank);
  Result.RetryAfter = this->Returns.add(Service, Caller, *RestEnd, Now);
  return Result;
}

void ServiceDispatchers::requeue(const Common::ServiceName &Service,
                                 Common::RequestId Id) {
  if (ServiceEntry *Entry = this->findEntry(Service))
    Entry->Dispatcher.requeue(Id);
  this->schedulePoll(Service);
}

void ServiceDispatchers::remove(const Common::ServiceName &Service,
                                Common::RequestId Id) {
  ServiceEntry *Entry = this->findEntry(Service);
  if (!Entry)
    return;
  Entry->Dispatcher.remove(Id);
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

std::vector<Membership::CallerUsage> ServiceDispatchers::takeTopCallerUsage() {
  std::vector<Membership::CallerUsage> Result;
  for (auto &[Service, Each] : this->Services)
    for (const auto &[Caller, Cost] : Each.Dispatcher.takeUsage())
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
         this->Context.Registry.isUsable(*RegistryEntry,
                                         this->Context.Loop.now()) &&
         Drained.count(RegistryEntry->Latest.Host) == 0;
}

} // namespace EntryDaemon
