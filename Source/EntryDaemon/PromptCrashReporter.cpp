#include "EntryDaemon/PromptCrashReporter.h"

namespace EntryDaemon {

namespace {

std::uint64_t millisecondsBetween(Common::TimePoint From,
                                  Common::TimePoint To) {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(
      Common::toMilliseconds(
          std::chrono::duration_cast<Common::Duration>(To - From)),
      0));
}

} // namespace

void PromptCrashReporter::recordLostRun(const Run &Lost,
                                        Common::TimePoint Now) {
  this->recordSupposedCrash(Lost.Server, Lost.ServerStartedAt, Now);
  this->addLostRun(Lost, Now);
}

void PromptCrashReporter::recordSupposedCrash(
    const Common::BackendServerId &Server, std::uint64_t ServerStartedAt,
    Common::TimePoint At) {
  std::erase_if(this->UncertainEnds, [&](const TimedRun &Each) {
    const bool SameCrash = Each.Value.Server == Server &&
                           Each.Value.ServerStartedAt == ServerStartedAt &&
                           Each.EndedAt > At - SameCrashTime &&
                           Each.EndedAt < At + SameCrashTime;
    if (SameCrash)
      this->addLostRun(Each.Value, Each.EndedAt);
    return SameCrash;
  });
}

void PromptCrashReporter::addLostRun(const Run &Lost, Common::TimePoint At) {
  if (Lost.Parts.empty())
    return;
  for (const TimedRun &Each : this->LostRuns)
    if (Each.Value.Server == Lost.Server &&
        Each.Value.ServerStartedAt == Lost.ServerStartedAt &&
        Each.Value.Parts == Lost.Parts)
      return;
  this->LostRuns.push_back({Lost, At});
  if (this->LostRuns.size() > MaxLostRuns)
    this->LostRuns.pop_front();
}

void PromptCrashReporter::recordUncertainEnd(const Run &Ended,
                                             Common::TimePoint Now) {
  this->UncertainEnds.push_back({Ended, Now});
  if (this->UncertainEnds.size() > MaxUncertainEnds)
    this->UncertainEnds.pop_front();
}

void PromptCrashReporter::recordSurvival(const Common::CauseSet &Causes,
                                         Common::TimePoint BegunAt) {
  for (const Common::CauseHash Each : Causes) {
    const auto [Newest, IsNew] = this->Survivals.try_emplace(Each, BegunAt);
    if (!IsNew) {
      if (Newest->second >= BegunAt)
        continue;
      this->SurvivalsByAge.erase({Newest->second, Each});
      Newest->second = BegunAt;
    }
    this->SurvivalsByAge.insert({BegunAt, Each});
  }
  while (this->Survivals.size() > MaxSurvivals) {
    this->Survivals.erase(this->SurvivalsByAge.begin()->second);
    this->SurvivalsByAge.erase(this->SurvivalsByAge.begin());
  }
}

void PromptCrashReporter::judgeUncertainEnds(
    const Membership::ServerRegistry &Known,
    const Routing::LivenessEvidence &Evidence, Common::TimePoint Now) {
  std::erase_if(this->UncertainEnds, [&](const TimedRun &Each) {
    const auto *Server = Known.find(Each.Value.Server);
    if (!Server || (Server->Record.StartedAt == Each.Value.ServerStartedAt &&
                    Server->Record.Phase == Membership::ServerPhase::Gone))
      return true;
    if (Server->Record.StartedAt == Each.Value.ServerStartedAt) {
      if (Server->HeardAt > Each.EndedAt + MaxAnnouncementDelay ||
          Evidence.hasSurvived(
              {Each.Value.Server, {Each.Value.ServerStartedAt}},
              Each.EndedAt)) {
        this->recordSurvival(Each.Value.Causes, Each.Value.BegunAt);
        return true;
      }
      const Common::TimePoint LastSign =
          std::max(Server->HeardAt, Each.EndedAt);
      if (Now - LastSign < MaxSilence && Now - Each.EndedAt < MaxUncertainty)
        return false;
    }
    this->addLostRun(Each.Value, Each.EndedAt);
    return true;
  });
}

void PromptCrashReporter::fillPoll(State::EntryPoll &Poll,
                                   const Membership::ServerRegistry &Known,
                                   const Routing::LivenessEvidence &Evidence,
                                   Common::TimePoint Now) {
  this->judgeUncertainEnds(Known, Evidence, Now);
  std::erase_if(this->LostRuns, [Now](const TimedRun &Each) {
    return Now - Each.EndedAt > LostRunRetention;
  });
  for (const TimedRun &Each : this->LostRuns)
    Poll.LostRuns.push_back({Each.Value.Parts, Each.Value.Server,
                             Each.Value.ServerStartedAt,
                             millisecondsBetween(Each.EndedAt, Now)});
  for (const Common::CauseHash Each : this->Suspects) {
    const auto Newest = this->Survivals.find(Each);
    if (Newest != this->Survivals.end() &&
        Now - Newest->second <= SurvivalRetention)
      Poll.Survivals.push_back(
          {Each, millisecondsBetween(Newest->second, Now)});
  }
}

} // namespace EntryDaemon
