#include "EntryDaemon/EntryViews.h"

#include "Configuration/FieldValue.h"

#include <absl/strings/str_cat.h>
#include <map>
#include <nlohmann/json.hpp>

namespace EntryDaemon {

namespace {

using Operator::Table;

const char *serverState(const EntryContext &Context,
                        const Membership::BackendRegistry::Entry &Each) {
  if (Each.Latest.State == Membership::ServerState::Leaving)
    return "leaving";
  if (!Context.Registry.isUsable(Each, Context.Loop.now()))
    return "silent";
  if (Context.Declared.drainedHosts().count(Each.Latest.Host) != 0)
    return "drained";
  return "serving";
}

Table serviceTable(const EntryContext &Context,
                   const ServiceDispatchers &Dispatchers) {
  Table Result({"service", "kind", "model", "version", "servers", "wanted",
                "waiting", "running"});
  for (const auto &[Name, Each] : Context.Declared.services()) {
    std::size_t Usable = 0;
    for (const auto &[Id, Server] : Context.Registry.entries())
      if (Dispatchers.isUsable(Name, Id))
        ++Usable;
    const Routing::Dispatcher *Dispatcher = Dispatchers.findDispatcher(Name);
    const std::size_t Waiting = Dispatcher ? Dispatcher->waiting() : 0;
    const std::size_t Running = Dispatcher ? Dispatcher->demand() - Waiting : 0;
    const bool IsModel = Each.Kind == Configuration::ServiceKind::Model;
    Result.add({Name.str(), IsModel ? "model" : "plain", Each.Model.str(),
                Each.ModelVersion, absl::StrCat(Usable),
                absl::StrCat(Each.Replicas), absl::StrCat(Waiting),
                absl::StrCat(Running)});
  }
  return Result;
}

/// Whether a server takes requests, and why not.
std::string serverCondition(const EntryContext &Context,
                            const ServiceDispatchers &Dispatchers,
                            const Membership::Announcement &Latest) {
  const Routing::Dispatcher *Dispatcher =
      Dispatchers.findDispatcher(Latest.Service);
  const Routing::ServerCondition *Known =
      Dispatcher ? Dispatcher->pool().conditions().find(
                       {Latest.BackendServer, Latest.Incarnation})
                 : nullptr;
  const Common::TimePoint Now = Context.Loop.now();
  if (!Known || Known->acceptsRequests(Now))
    return "accepting";
  if (!Known->isResting(Now))
    return "probed";
  return absl::StrCat("resting for ",
                      Common::toMilliseconds(Known->restEnd() - Now),
                      " ms (Retry-After)");
}

Table backendTable(const EntryContext &Context,
                   const ServiceDispatchers &Dispatchers) {
  Table Result({"backend", "service", "version", "datacentre", "host", "state",
                "condition", "slots", "running"});
  for (const auto &[Id, Each] : Context.Registry.entries()) {
    const Membership::Announcement &Latest = Each.Latest;
    Result.add({Id.str(), Latest.Service.str(), Latest.ModelVersion,
                Latest.DataCentre.str(), Latest.Host.str(),
                serverState(Context, Each),
                serverCondition(Context, Dispatchers, Latest),
                absl::StrCat(Latest.Capacity.Slots),
                absl::StrCat(Latest.Load.Running)});
  }
  return Result;
}

/// One row per host that has a usable or leaving server.
Table hostTable(const EntryContext &Context) {
  struct Host {
    std::string DataCentre;
    std::size_t Servers = 0;
    double Price = 0;
  };
  std::map<Common::HostId, Host> Hosts;
  for (const auto &[Id, Each] : Context.Registry.entries()) {
    if (!Context.Registry.isUsable(Each, Context.Loop.now()) &&
        Each.Latest.State != Membership::ServerState::Leaving)
      continue;
    Host &Row = Hosts[Each.Latest.Host];
    Row.DataCentre = Each.Latest.DataCentre.str();
    Row.Price = std::max(Row.Price, Each.Latest.PricePerHour);
    ++Row.Servers;
  }
  Table Result({"host", "datacentre", "servers", "state", "per-hour"});
  for (const auto &[Id, Each] : Hosts) {
    const bool Drained = Context.Declared.drainedHosts().count(Id) != 0;
    Result.add({Id.str(), Each.DataCentre, absl::StrCat(Each.Servers),
                Drained ? "drained" : "open",
                Operator::formatNumber(Each.Price)});
  }
  return Result;
}

Table daemonTable(const EntryContext &Context,
                  const Membership::PeerTable &Peers) {
  Table Result({"daemon", "datacentre", "address", "state"});
  Result.add({Context.Settings.Name.str(), Context.Settings.DataCentre.str(),
              Context.Settings.Peer.str(), "this one"});
  const Common::TimePoint Now = Context.Loop.now();
  for (const auto *List : {&Peers.local(), &Peers.remote()})
    for (const Membership::Peer &Each : *List)
      Result.add({Each.Daemon.str(), Each.DataCentre.str(), Each.Address.str(),
                  Peers.isLive(Each.Daemon, Now) ? "living" : "silent"});
  return Result;
}

} // namespace

std::optional<Table> entryView(Operator::View Requested,
                               const EntryContext &Context,
                               const Membership::PeerTable &Peers,
                               const ServiceDispatchers &Dispatchers) {
  switch (Requested) {
  case Operator::View::Services:
    return serviceTable(Context, Dispatchers);
  case Operator::View::Backends:
    return backendTable(Context, Dispatchers);
  case Operator::View::Hosts:
  case Operator::View::Cost:
    return hostTable(Context);
  case Operator::View::Callers:
    return Operator::callerTable(Context.Declared);
  case Operator::View::Priorities:
    return Operator::priorityTable(Context.Declared);
  case Operator::View::Configuration:
    return Operator::configurationTable(Context.Declared);
  case Operator::View::Refusals:
    return Operator::refusalTable(Context.Metrics);
  case Operator::View::Retries:
    return Operator::retryTable(Context.Metrics);
  case Operator::View::Latency:
    return Operator::latencyTable(Context.Metrics);
  case Operator::View::Daemons:
    return daemonTable(Context, Peers);
  default:
    return std::nullopt;
  }
}

std::string backendsJson(const EntryContext &Context) {
  nlohmann::json Rows = nlohmann::json::array();
  for (const auto &[Id, Each] : Context.Registry.entries()) {
    nlohmann::json Row =
        nlohmann::json::parse(Membership::formatAnnouncement(Each.Latest));
    Row.erase("cache_events");
    Row["usable"] = Context.Registry.isUsable(Each, Context.Loop.now());
    Rows.push_back(Row);
  }
  return Rows.dump();
}

} // namespace EntryDaemon
