#include "StateDaemon/ReportHandler.h"

#include "Telemetry/LogEvents.h"

#include <algorithm>

namespace StateDaemon {

namespace {

namespace Events = Telemetry::Events;

constexpr Common::Duration LevelPeriod = std::chrono::milliseconds(100);
/// A server without a message for longer does not count as serving, as in
/// Routing::ServerTableOptions.
constexpr Common::Duration ServerTimeout = std::chrono::milliseconds(4200);

} // namespace

void ReportHandler::setServers(const Membership::ServerRegistry &Servers,
                               Common::TimePoint Now) {
  if (!this->Planner)
    this->Planner.emplace(Admission::LevelPlannerOptions(), Now);
  std::map<Common::ServiceName, std::uint32_t> Slots;
  for (const auto &[Id, Each] : Servers.entries())
    if (Each.Record.Phase == Membership::ServerPhase::Serving &&
        Now - Each.HeardAt < ServerTimeout)
      Slots[Each.Record.Service] += Each.Record.Slots;
  for (const auto &[Service, Sum] : Slots)
    this->Planner->setSlots(Service, Sum);
}

void ReportHandler::updateLevels(Common::TimePoint Now) {
  if (Now - this->LevelsUpdatedAt < LevelPeriod)
    return;
  this->LevelsUpdatedAt = Now;
  const std::vector<Admission::AdmissionLevel> Previous =
      std::exchange(this->Levels, this->Planner->levels(Now));
  const auto Find = [](const std::vector<Admission::AdmissionLevel> &In,
                       const Common::ServiceName &Service) {
    return std::find_if(In.begin(), In.end(), [&Service](const auto &Each) {
      return Each.Service == Service;
    });
  };
  const auto Log = [this, Now](const Admission::AdmissionLevel &Level,
                               const std::string &Rank) {
    const auto Figures = this->Planner->figures(Level.Service, Now);
    Telemetry::log(Events::AdmissionLevelChanged, Level.Service.str(), Rank,
                   Level.Share, Figures.Limit, Figures.OfferedRate,
                   Figures.ServedRate, Figures.WithoutRoomShare,
                   Level.RetryAfterMilliseconds);
  };
  for (const auto &Each : this->Levels) {
    const auto Before = Find(Previous, Each.Service);
    if (Before == Previous.end() || Before->Rank != Each.Rank)
      Log(Each, std::to_string(Each.Rank));
  }
  for (const auto &Each : Previous)
    if (Find(this->Levels, Each.Service) == this->Levels.end())
      Log(Each, "all");
}

State::EntryDirectives
ReportHandler::handleReport(const State::EntryReport &Report,
                            Common::TimePoint Now) {
  Common::ServiceName Service;
  for (Routing::ServerTiming Each : Report.Timings) {
    if (Each.Service.empty())
      Each.Service = Service;
    Service = Each.Service;
    this->Speeds.record(Each, Now);
  }
  if (!this->Planner)
    this->Planner.emplace(Admission::LevelPlannerOptions(), Now);
  for (const Admission::ServiceLoad &Each : Report.Services)
    this->Planner->recordLoad(Each, Now);
  this->updateLevels(Now);
  State::EntryDirectives Result;
  Result.Levels = this->Levels;
  Result.Entry = Report.Entry;
  Result.Incarnation = Report.Incarnation;
  Result.Sequence = Report.Sequence;
  this->Rollouts.handleReport(Report, Now);
  Result.Rollouts = this->Rollouts.directives(Now);
  return Result;
}

std::optional<State::EntryDirectives>
ReportHandler::takeUrgent(Common::TimePoint) {
  State::EntryDirectives Result;
  Result.Rollouts = this->Rollouts.takeUrgent();
  if (Result.Rollouts.empty())
    return std::nullopt;
  return Result;
}

std::optional<State::ServerSpeeds>
ReportHandler::takeSpeeds(Common::TimePoint Now) {
  auto Learnt = this->Speeds.take(Now);
  if (!Learnt)
    return std::nullopt;
  for (const Routing::ServerSpeed &Each : Learnt->Changed)
    Telemetry::log(Telemetry::Events::ServerSpeed, Each.Id.str(),
                   Each.StartedAt, Each.Prefill, Each.Decode);
  return State::ServerSpeeds{std::move(Learnt->Engines),
                             std::move(Learnt->Servers)};
}

} // namespace StateDaemon
