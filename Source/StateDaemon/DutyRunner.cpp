#include "StateDaemon/DutyRunner.h"

#include "Network/Codec.h"
#include "Telemetry/LogEvents.h"
#include "platform/DutyCalls.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace StateDaemon {

namespace {

namespace Events = Telemetry::Events;

constexpr Common::Duration ActPeriod = std::chrono::milliseconds(250);
/// After a window's end, until the entry daemons' counts are in.
constexpr std::uint64_t SettleMilliseconds = 1800;
/// A call without an answer is given up after this time.
constexpr Common::Duration CallTime = std::chrono::milliseconds(1500);
constexpr Common::Duration UsageRetryDelay = std::chrono::milliseconds(700);
/// A new leader still reports windows that ended this many windows ago.
constexpr std::uint64_t WindowsBack = 2;
/// Beyond the lease, for clocks that differ.
constexpr double LeaseMargin = 1.1;
constexpr int Conflict = 409;
constexpr int Ok = 200;

} // namespace

Fleet::ReplicaOrdersOptions
DutyRunner::orderOptions(const Consensus::Replica &Leader) {
  Fleet::ReplicaOrdersOptions Result;
  Result.NewGroup = Leader.isFirstLeader();
  return Result;
}

DutyRunner::DutyRunner(Parts Held)
    : Held(Held), LeadingSince(Held.Loop.now()),
      Orders(orderOptions(*Held.Host.replica())), RatedAt(Held.Loop.now()) {
  this->Timer = this->Held.Loop.callEvery(ActPeriod, [this] { this->act(); });
}

DutyRunner::~DutyRunner() { *this->Alive = false; }

bool DutyRunner::mayAct() const {
  if (this->Superseded || !this->Held.Host.leads())
    return false;
  if (this->Held.Host.replica()->isFirstLeader())
    return true;
  const auto Turn = std::chrono::duration_cast<Common::Duration>(
      this->Held.Settings.DutyLease * LeaseMargin);
  return this->Held.Loop.now() - this->LeadingSince > Turn;
}

Common::FencingNumber DutyRunner::fencing() const {
  return Common::FencingNumber{this->Held.Host.replica()->termStart().Value};
}

bool DutyRunner::takeRate() {
  const Common::TimePoint Now = this->Held.Loop.now();
  const double Rate = this->Held.Settings.DutyRate;
  this->RateTokens =
      std::min(Rate / 2, this->RateTokens +
                             Rate * Common::toSeconds(Now - this->RatedAt));
  this->RatedAt = Now;
  if (this->RateTokens < 1)
    return false;
  this->RateTokens -= 1;
  return true;
}

void DutyRunner::act() {
  if (!this->mayAct() || !this->Declared)
    return;
  if (this->Held.Settings.ReportsUsage)
    this->reportUsage();
  if (this->Held.Settings.OrdersServers)
    this->orderServers();
}

void DutyRunner::reportUsage() {
  const Common::TimePoint Now = this->Held.Loop.now();
  const std::uint64_t Length = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          this->Held.Settings.UsageWindow)
          .count());
  const std::uint64_t Time = this->Held.Ledger.time(Now).Milliseconds;
  if (Time < Length * (WindowsBack + 1) + SettleMilliseconds)
    return;
  const std::uint64_t Ended = (Time - SettleMilliseconds) / Length;
  if (this->FirstWindow.Value == 0)
    this->FirstWindow = State::UsageWindow{Ended - WindowsBack};
  for (std::uint64_t Each =
           std::max(this->FirstWindow.Value, Ended - WindowsBack);
       Each < Ended; ++Each)
    if (this->Held.State.usage().count(State::UsageWindow{Each}) == 0)
      this->fixWindow(State::UsageWindow{Each});
  for (const auto &[Window, Usage] : this->Held.State.usage()) {
    const auto Retry = this->UsageRetryAt.find(Window);
    if (Usage.Reported ||
        (Retry != this->UsageRetryAt.end() && Now < Retry->second))
      continue;
    this->sendUsage(Window, Usage.Counts);
  }
  this->Held.Ledger.usage().forgetBefore(
      State::UsageWindow{Ended - WindowsBack - 1});
}

void DutyRunner::fixWindow(State::UsageWindow Window) {
  if (!this->Fixing.insert(Window).second)
    return;
  State::FixUsageCommand Command;
  Command.Window = Window;
  Command.Counts = this->Held.Ledger.usage().total(Window);
  for (const Configuration::Team &Each : this->Declared->teams())
    Command.Counts.emplace(Each.Name, 0);
  const bool Appended = this->Held.Host.propose(
      Network::encode(State::ControlCommand(std::move(Command))),
      [this, Alive = this->Alive, Window](ReplicaHost::ProposalEnd) {
        if (*Alive)
          this->Fixing.erase(Window);
      });
  if (!Appended)
    this->Fixing.erase(Window);
}

void DutyRunner::sendUsage(State::UsageWindow Window,
                           const State::UsageCounts &Counts) {
  if (!this->takeRate())
    return;
  this->UsageRetryAt[Window] =
      this->Held.Loop.now() + CallTime + UsageRetryDelay;
  this->call(
      Platform::encodeUsage(this->Held.Settings.Name, this->fencing(), Window,
                            Counts),
      [this, Window](int Status) {
        this->UsageRetryAt[Window] = this->Held.Loop.now() + UsageRetryDelay;
        Telemetry::log(Events::UsageReport, Window.Value, Status);
        if (Status == Conflict)
          this->Superseded = true;
        if (Status != Ok)
          return;
        this->Held.Host.propose(Network::encode(State::ControlCommand(
                                    State::UsageReportedCommand{Window})),
                                nullptr);
      });
}

void DutyRunner::orderServers() {
  const Common::TimePoint Now = this->Held.Loop.now();
  const auto Planned = this->Orders.plan(*this->Declared, this->Held.Registry,
                                         this->Held.Ledger.demand(Now), Now);
  for (const Fleet::ReplicaOrder &Each : Planned) {
    if (!this->takeRate()) {
      this->Orders.lost(Each, Now);
      continue;
    }
    Platform::ScaleOrder Order;
    Order.Service = Each.Pool.Service;
    Order.DataCentre = Each.Pool.DataCentre;
    Order.Servers = Each.Servers;
    Order.Reclaimable = Each.Pool.Reclaimable;
    this->call(
        Platform::encodeScale(this->Held.Settings.Name, this->fencing(), Order),
        [this, Each](int Status) {
          Telemetry::log(Events::ServersOrdered, Each.Pool.Service.str(),
                         Each.Pool.DataCentre.str(),
                         Each.Pool.Reclaimable ? "1" : "0", Each.Servers,
                         Status);
          const Common::TimePoint Then = this->Held.Loop.now();
          if (Status == Ok)
            this->Orders.accepted(Each, Then);
          else if (Status == Conflict)
            this->Orders.refused(Each, Then);
          else
            this->Orders.lost(Each, Then);
        });
  }
}

void DutyRunner::call(const Platform::DutyCall &Made,
                      std::function<void(int)> Done) {
  Network::Http1Call Wanted;
  Wanted.To = this->Held.Settings.DutyAddress;
  Wanted.Method = Made.Method;
  Wanted.Target = Made.Target;
  Wanted.Headers = Made.Headers;
  Wanted.Headers.push_back({"Host", this->Held.Settings.DutyAddress.str()});
  Wanted.Body = Made.Body;
  Wanted.ConnectTime = CallTime;
  Wanted.Silence = CallTime;
  auto Status = std::make_shared<int>(0);
  Network::Http1CallHandlers Handle;
  Handle.OnHead = [Status](const Network::Http1Head &Head) {
    *Status = Head.Status;
    return true;
  };
  Handle.OnDone = [Status, Done = std::move(Done),
                   Alive = this->Alive](Network::CallEnd End) {
    if (*Alive)
      Done(End == Network::CallEnd::Complete ? *Status : 0);
  };
  this->Held.Metrics.incrementCounter("duty_calls_total");
  this->Held.Client.start(std::move(Wanted), std::move(Handle));
}

} // namespace StateDaemon
