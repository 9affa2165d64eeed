#include "StateDaemon/ReportHandler.h"

#include "Telemetry/LogEvents.h"

namespace StateDaemon {

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
  State::EntryDirectives Result;
  Result.Entry = Report.Entry;
  Result.Incarnation = Report.Incarnation;
  Result.Sequence = Report.Sequence;
  return Result;
}

std::optional<State::EntryDirectives>
ReportHandler::takeUrgent(Common::TimePoint) {
  return std::nullopt;
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
