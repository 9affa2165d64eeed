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
  for (const auto &[Crash, At] : this->Context.SupposedCrashes)
    if (this->Context.Liveness.hasSurvived({Crash.Server, {Crash.StartedAt}},
                                           At))
      Report.DisprovedCrashes.push_back(Crash.Number);
  Report.Timings = this->Context.Speeds.take(this->Loop.now());
  if (this->Context.Rollouts)
    this->Context.Rollouts->fillReport(Report, this->Loop.now());
  if (this->Context.Settings.AdmissionControl)
    Report.Services = this->Context.Gate.takeReport(this->Loop.now());
}

void Gateway::applyDirectives(const State::EntryDirectives &Directives,
                              std::optional<Common::TimePoint> PollSentAt) {
  const Common::TimePoint Now = this->Loop.now();
  if (this->Context.Rollouts)
    this->Context.Rollouts->applyDirectives(Directives, PollSentAt, Now);
  if (!PollSentAt)
    return;
  this->Context.Gate.setLevels(Directives.Levels, *PollSentAt);
  this->Context.SupposedCrashes.clear();
  for (const State::SupposedCrash &Each : Directives.Crashes) {
    const Common::TimePoint At =
        Now - std::chrono::milliseconds(Each.AgeMilliseconds);
    this->Context.SupposedCrashes.emplace_back(Each, At);
    this->Context.PromptCrashes.recordSupposedCrash(Each.Server, Each.StartedAt,
                                                    At);
  }
}

void Gateway::applyServerSpeeds(const State::ServerSpeeds &Speeds) {
  this->Context.Servers.setSpeeds(Speeds.Engines, Speeds.Servers);
}

void Gateway::applyServerVersions(const State::ServerVersions &Versions) {
  for (const State::ServerVersion &Each : Versions.Versions)
    this->Context.Servers.setVersion(Each.Id, Each.StartedAt, Each.Version,
                                     this->Loop.now());
  if (this->Context.Rollouts)
    this->Context.Rollouts->refresh(this->Loop.now());
}

} // namespace EntryDaemon
