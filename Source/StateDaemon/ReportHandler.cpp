#include "StateDaemon/ReportHandler.h"

#include "Telemetry/LogEvents.h"

namespace StateDaemon {

State::EntryDirectives
ReportHandler::handleReport(const State::EntryReport &Report,
                            Common::TimePoint Now) {
  for (const Routing::ServerTiming &Each : Report.Timings)
    this->Speeds.record(Each, Now);
  State::EntryDirectives Result;
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
