#include "StateDaemon/ReportHandler.h"

namespace StateDaemon {

State::EntryDirectives
ReportHandler::handleReport(const State::EntryReport &Report,
                            Common::TimePoint) {
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
ReportHandler::takeSpeeds(Common::TimePoint) {
  return std::nullopt;
}

} // namespace StateDaemon
