#include "StateDaemon/EntryDaemonTracker.h"

#include "Telemetry/LogEvents.h"

#include <absl/strings/str_cat.h>

namespace StateDaemon {

State::EntryPollResponse EntryDaemonTracker::handlePoll(
    const State::EntryPoll &Poll, const Configuration::ServiceMap *Declaration,
    const State::ControlState &State, Common::TimePoint Now) {
  Entry &Sender = this->Entries[Poll.Entry];
  Sender.LastPollAt = Now;
  Sender.Loads = Poll.Loads;
  Sender.Services = Poll.Services;
  Sender.RecentGrants = Poll.RecentGrants;
  this->MaxReportedEntries =
      std::max(this->MaxReportedEntries, Poll.EntryCount);
  if (Declaration && !this->AllowancesLearned &&
      Now - this->LeadingSince > AllowanceLearningTime)
    this->learnAllowances(*Declaration, Now);
  this->Clocks.addReading(Poll.Entry, Poll.Wall, Now);
  this->Usage.update(Poll.Entry, Poll.Incarnation, Poll.Usage);
  this->expireCrashes(Now);
  for (const State::CrashReport &Each : Poll.Crashes)
    this->recordCrash(Each, Now);

  State::EntryPollResponse Answer;
  Answer.Entry = Poll.Entry;
  Answer.Incarnation = Poll.Incarnation;
  Answer.Sequence = Poll.Sequence;
  Answer.EntryCount = static_cast<std::uint32_t>(this->liveEntryCount(Now));
  Answer.ReferenceTime = this->Clocks.timeAt(Now);
  Answer.Loads = this->loadsOfOthers(Poll.Entry, Now);
  Answer.NewestVersion = State.declarationVersion();
  // The entry daemon heard of the version in an earlier answer, but its own
  // state daemon has not pushed the declaration since.
  if (Poll.InstalledVersion < Answer.NewestVersion &&
      Poll.NewestSeenVersion >= Answer.NewestVersion)
    Answer.Declaration =
        State::DeclarationPush{State.declarationVersion(), State.document()};
  if (Declaration) {
    for (const State::TokenDemand &Each : Poll.Demands) {
      const Configuration::Team *Limits = Declaration->team(Each.Team);
      if (!Limits)
        continue;
      const double Granted =
          this->Allowances.grant(*Limits, Each.Needed, Each.Reserve, Now);
      if (Granted > 0)
        Answer.Grants.push_back({Each.Team, Granted});
    }
  }
  for (const auto &Each : this->Refused) {
    if (Answer.RefusedContents.size() >= MaxRefusedPerAnswer)
      break;
    Answer.RefusedContents.push_back(Each.first);
  }
  return Answer;
}

void EntryDaemonTracker::learnAllowances(
    const Configuration::ServiceMap &Declaration, Common::TimePoint Now) {
  this->AllowancesLearned = true;
  // Assumes that unreachable entry daemons were granted as much as the others
  // on average.
  const double PolledEntries = static_cast<double>(this->Entries.size());
  const double Scale = std::max(1.0, this->MaxReportedEntries / PolledEntries);
  std::map<Configuration::TeamName, std::vector<double>> GrantsByTeam;
  for (const auto &Each : this->Entries) {
    for (const State::RecentTokenGrants &Grants : Each.second.RecentGrants) {
      std::vector<double> &Sum = GrantsByTeam[Grants.Team];
      Sum.resize(std::max(Sum.size(), Grants.CumulativeTokens.size()));
      for (std::size_t I = 0; I < Grants.CumulativeTokens.size(); ++I)
        Sum[I] += Grants.CumulativeTokens[I] * Scale;
    }
  }
  for (const Configuration::Team &Each : Declaration.teams())
    this->Allowances.restoreFromGrants(Each, GrantsByTeam[Each.Name], Now);
  Telemetry::log(Telemetry::Events::AllowancesLearned, PolledEntries,
                 this->MaxReportedEntries);
}

void EntryDaemonTracker::recordCrash(const State::CrashReport &Report,
                                     Common::TimePoint Now) {
  if (this->Crashes.size() > MaxTrackedContents)
    this->Crashes.clear();
  auto &Servers = this->Crashes[Report.Content];
  Servers.emplace(ServerIncarnation{Report.Server, Report.StartedAt}, Now);
  if (Servers.size() < MinCrashesToRefuse ||
      !this->Refused.emplace(Report.Content, Now).second)
    return;
  Telemetry::log(Telemetry::Events::ContentRefused, absl::Hex(Report.Content),
                 Servers.size());
}

void EntryDaemonTracker::expireCrashes(Common::TimePoint Now) {
  for (auto Each = this->Crashes.begin(); Each != this->Crashes.end();) {
    std::erase_if(Each->second, [Now](const auto &Failure) {
      return Now - Failure.second > CrashWindow;
    });
    Each = Each->second.empty() ? this->Crashes.erase(Each) : std::next(Each);
  }
  std::erase_if(this->Refused, [Now](const auto &Each) {
    return Now - Each.second > RefusalDuration;
  });
}

std::vector<State::ServerLoad>
EntryDaemonTracker::loadsOfOthers(const Common::DaemonId &Excluded,
                                  Common::TimePoint Now) const {
  std::map<Common::BackendServerId, State::ServerLoad> Sum;
  for (const auto &[Name, Each] : this->Entries) {
    if (Name == Excluded || Now - Each.LastPollAt > EntryTimeout)
      continue;
    for (const State::ServerLoad &Load : Each.Loads) {
      State::ServerLoad &Total = Sum[Load.Id];
      Total.Id = Load.Id;
      Total.Requests += Load.Requests;
      Total.PromptTokens += Load.PromptTokens;
    }
  }
  std::vector<State::ServerLoad> Result;
  Result.reserve(Sum.size());
  for (auto &Each : Sum)
    Result.push_back(std::move(Each.second));
  return Result;
}

std::map<Common::ServiceName, double>
EntryDaemonTracker::engineDemand(Common::TimePoint Now) const {
  std::map<Common::ServiceName, double> Sum;
  for (const auto &Each : this->Entries)
    if (Now - Each.second.LastPollAt <= EntryTimeout)
      for (const State::ServiceDemand &Demand : Each.second.Services)
        Sum[Demand.Service] += Demand.Engines;
  return Sum;
}

std::size_t EntryDaemonTracker::liveEntryCount(Common::TimePoint Now) const {
  std::size_t Count = 0;
  for (const auto &Each : this->Entries)
    if (Now - Each.second.LastPollAt <= EntryTimeout)
      ++Count;
  return Count;
}

} // namespace StateDaemon
