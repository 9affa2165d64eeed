#include "StateDaemon/DutyRunner.h"

#include "Network/Codec.h"
#include "Telemetry/LogEvents.h"
#include "platform/DutyRequests.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace StateDaemon {

namespace {

namespace Events = Telemetry::Events;

constexpr Common::Duration DutyPeriod = std::chrono::milliseconds(250);
/// Time after a window's end in which the entry daemons' counts still arrive.
constexpr std::uint64_t UsageSettleMs = 1800;
constexpr Common::Duration CallTimeout = std::chrono::milliseconds(1500);
constexpr Common::Duration UsageRetryDelay = std::chrono::milliseconds(700);
/// A new leader still reports windows that ended this many windows ago, in case
/// the previous one did not.
constexpr std::uint64_t MaxWindowsBack = 2;
/// How long after a rollout the number of servers is not reduced either. Until
/// the heartbeats of the servers that it ended have expired, these count as
/// healthy, and the servers that replaced them would be taken for surplus.
constexpr Common::Duration HoldAfterRollout = std::chrono::seconds(8);
/// Factor on the lease, for hosts whose clocks run at different rates.
constexpr double LeaseMargin = 1.1;
constexpr int HttpConflict = 409;
constexpr int HttpOk = 200;

} // namespace

Fleet::AutoscalerOptions
DutyRunner::autoscalerOptions(const Consensus::Replica &Leader) {
  Fleet::AutoscalerOptions Result;
  Result.NewCluster = Leader.isFirstLeader();
  return Result;
}

DutyRunner::DutyRunner(Dependencies Deps)
    : Deps(Deps), LeadingSince(Deps.Loop.now()),
      Autoscaler(autoscalerOptions(*Deps.Driver.replica())),
      RateUpdatedAt(Deps.Loop.now()) {
  this->Timer =
      this->Deps.Loop.callEvery(DutyPeriod, [this] { this->runDuties(); });
}

DutyRunner::~DutyRunner() { *this->Alive = false; }

bool DutyRunner::mayRunDuties() const {
  if (this->Superseded || !this->Deps.Driver.holdsLeadership())
    return false;
  if (this->Deps.Driver.replica()->isFirstLeader())
    return true;
  const auto LeaseWait = std::chrono::duration_cast<Common::Duration>(
      this->Deps.Settings.DutyLease * LeaseMargin);
  return this->Deps.Loop.now() - this->LeadingSince > LeaseWait;
}

Common::FencingNumber DutyRunner::fencingNumber() const {
  return Common::FencingNumber{
      this->Deps.Driver.replica()->termStartIndex().Value};
}

bool DutyRunner::tryTakeRateToken() {
  const Common::TimePoint Now = this->Deps.Loop.now();
  const double Rate = this->Deps.Settings.DutyRate;
  this->RateTokens = std::min(
      Rate / 2,
      this->RateTokens + Rate * Common::toSeconds(Now - this->RateUpdatedAt));
  this->RateUpdatedAt = Now;
  if (this->RateTokens < 1)
    return false;
  this->RateTokens -= 1;
  return true;
}

void DutyRunner::runDuties() {
  if (!this->mayRunDuties() || !this->Declaration)
    return;
  if (this->Deps.Settings.ReportsUsage)
    this->reportUsage();
  if (this->Deps.Settings.ScalesServices)
    this->scaleServices();
}

void DutyRunner::reportUsage() {
  const Common::TimePoint Now = this->Deps.Loop.now();
  const std::uint64_t WindowMs = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          this->Deps.Settings.UsageWindow)
          .count());
  const std::uint64_t TimeMs = this->Deps.Tracker.medianTime(Now).Milliseconds;
  if (TimeMs < WindowMs * (MaxWindowsBack + 1) + UsageSettleMs)
    return;
  const std::uint64_t Ended = (TimeMs - UsageSettleMs) / WindowMs;
  if (this->FirstWindow.Value == 0)
    this->FirstWindow = State::UsageWindow{Ended - MaxWindowsBack};
  for (std::uint64_t Each =
           std::max(this->FirstWindow.Value, Ended - MaxWindowsBack);
       Each < Ended; ++Each)
    if (this->Deps.State.usage().count(State::UsageWindow{Each}) == 0)
      this->proposeUsageCounts(State::UsageWindow{Each});
  for (const auto &[Window, Usage] : this->Deps.State.usage()) {
    const auto RetryAt = this->UsageRetryAt.find(Window);
    if (Usage.Reported ||
        (RetryAt != this->UsageRetryAt.end() && Now < RetryAt->second))
      continue;
    this->sendUsage(Window, Usage.Counts);
  }
  this->Deps.Tracker.usage().removeBefore(
      State::UsageWindow{Ended - MaxWindowsBack - 1});
}

void DutyRunner::proposeUsageCounts(State::UsageWindow Window) {
  if (!this->ProposedWindows.insert(Window).second)
    return;
  State::RecordUsageCommand Command;
  Command.Window = Window;
  Command.Counts = this->Deps.Tracker.usage().total(Window);
  for (const Configuration::Team &Each : this->Declaration->teams())
    Command.Counts.emplace(Each.Name, 0);
  const bool Appended = this->Deps.Driver.propose(
      Network::encode(State::ControlCommand(std::move(Command))),
      [this, Alive = this->Alive, Window](ReplicaDriver::ProposalOutcome) {
        if (*Alive)
          this->ProposedWindows.erase(Window);
      });
  if (!Appended)
    this->ProposedWindows.erase(Window);
}

void DutyRunner::sendUsage(State::UsageWindow Window,
                           const State::UsageCounts &Counts) {
  if (!this->tryTakeRateToken())
    return;
  this->UsageRetryAt[Window] =
      this->Deps.Loop.now() + CallTimeout + UsageRetryDelay;
  this->startCall(
      Platform::encodeUsageReport(this->Deps.Settings.Name,
                                  this->fencingNumber(), Window, Counts),
      [this, Window](int Status) {
        this->UsageRetryAt[Window] = this->Deps.Loop.now() + UsageRetryDelay;
        Telemetry::log(Events::UsageReport, Window.Value, Status);
        if (Status == HttpConflict)
          this->Superseded = true;
        if (Status != HttpOk)
          return;
        this->Deps.Driver.propose(Network::encode(State::ControlCommand(
                                      State::MarkUsageReportedCommand{Window})),
                                  nullptr);
      });
}

void DutyRunner::scaleServices() {
  const Common::TimePoint Now = this->Deps.Loop.now();
  std::set<Common::ServiceName> RollingOut;
  for (const auto &[Service, Rollout] :
       this->Deps.State.rollouts().services()) {
    // A new leader does not know when an ended rollout ended.
    const auto [SeenAt, IsNew] =
        this->RolloutSeenAt.try_emplace(Service, this->LeadingSince);
    if (Rollout.isRunning())
      SeenAt->second = Now;
    if (Now - SeenAt->second < HoldAfterRollout)
      RollingOut.insert(Service);
  }
  const auto Planned = this->Autoscaler.plan(
      *this->Declaration, this->Deps.Registry,
      this->Deps.Tracker.engineDemand(this->Deps.Registry), Now, RollingOut);
  for (const Fleet::ScalingAction &Each : Planned) {
    if (!this->tryTakeRateToken()) {
      this->Autoscaler.onUnconfirmed(Each, Now);
      continue;
    }
    Platform::ScaleTarget Target;
    Target.Service = Each.Pool.Service;
    Target.DataCentre = Each.Pool.DataCentre;
    Target.Servers = Each.Servers;
    Target.Reclaimable = Each.Pool.Reclaimable;
    this->startCall(
        Platform::encodeScaleRequest(this->Deps.Settings.Name,
                                     this->fencingNumber(), Target),
        [this, Each](int Status) {
          Telemetry::log(Events::ServersOrdered, Each.Pool.Service.str(),
                         Each.Pool.DataCentre.str(),
                         Each.Pool.Reclaimable ? "1" : "0", Each.Servers,
                         Status);
          const Common::TimePoint AnsweredAt = this->Deps.Loop.now();
          if (Status == HttpOk)
            this->Autoscaler.onAccepted(Each, AnsweredAt);
          else if (Status == HttpConflict)
            this->Autoscaler.onRefused(Each, AnsweredAt);
          else
            this->Autoscaler.onUnconfirmed(Each, AnsweredAt);
        });
  }
}

void DutyRunner::startCall(const Platform::DutyRequest &Call,
                           std::function<void(int)> OnDone) {
  Network::Http1Call Request;
  Request.To = this->Deps.Settings.DutyAddress;
  Request.Method = Call.Method;
  Request.Target = Call.Target;
  Request.Headers = Call.Headers;
  Request.Headers.push_back({"Host", this->Deps.Settings.DutyAddress.str()});
  Request.Body = Call.Body;
  Request.ConnectTimeout = CallTimeout;
  Request.IdleTimeout = CallTimeout;
  // Answers do not name their call, so on a reused connection a late answer to
  // an earlier call would be taken for the answer to this one.
  Request.OwnConnection = true;
  auto Status = std::make_shared<int>(0);
  Network::Http1CallHandlers CallHandlers;
  CallHandlers.OnHead = [Status](const Network::Http1Head &Head) {
    *Status = Head.Status;
    return true;
  };
  CallHandlers.OnDone = [Status, OnDone = std::move(OnDone),
                         Alive = this->Alive](Network::Http1CallResult End) {
    if (*Alive)
      OnDone(End == Network::Http1CallResult::Complete ? *Status : 0);
  };
  this->Deps.Metrics.incrementCounter("duty_calls_total");
  this->Deps.Client.start(std::move(Request), std::move(CallHandlers));
}

} // namespace StateDaemon
