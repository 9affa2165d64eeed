#include "EntryDaemon/Gateway.h"

// The reports of this daemon to the leader, and what the leader directs.

namespace EntryDaemon {

void Gateway::setReportHandlers(ControlLink::Handlers &Handlers) {
  Handlers.FillReport = [this](State::EntryReport &Report) {
    this->fillReport(Report);
  };
  Handlers.OnDirectives = [this](const State::EntryDirectives &Directives,
                                 std::optional<Common::TimePoint> PollSentAt) {
    this->applyDirectives(Directives, PollSentAt);
  };
  Handlers.OnServerSpeeds = [this](const State::ServerSpeeds &Speeds) {
    this->applyServerSpeeds(Speeds);
  };
  Handlers.OnServerVersions = [this](const State::ServerVersions &Versions) {
    this->applyServerVersions(Versions);
  };
}

void Gateway::fillReport(State::EntryReport &Report) {
  if (this->Context.Settings.AdmissionControl)
    Report.Services = this->Context.Gate.takeReport(this->Loop.now());
}

void Gateway::applyDirectives(const State::EntryDirectives &Directives,
                              std::optional<Common::TimePoint> PollSentAt) {
  if (PollSentAt)
    this->Context.Gate.setLevels(Directives.Levels, *PollSentAt);
}

void Gateway::applyServerSpeeds(const State::ServerSpeeds &) {}

void Gateway::applyServerVersions(const State::ServerVersions &) {}

} // namespace EntryDaemon
