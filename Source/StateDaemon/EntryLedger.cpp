#include "StateDaemon/EntryLedger.h"

#include "Telemetry/LogEvents.h"

#include <absl/strings/str_cat.h>

namespace StateDaemon {

State::EntryPollResponse
EntryLedger::answer(const State::EntryPoll &Asked,
                    const Configuration::ServiceMap *Declared,
                    const State::ControlState &State, Common::TimePoint Now) {
  Entry &From = this->Entries[Asked.Entry];
  From.HeardAt = Now;
  From.Loads = Asked.Loads;
  From.Services = Asked.Services;
  From.Used = Asked.RecentGrants;
  this->MostEntries = std::max(this->MostEntries, Asked.EntryCount);
  if (Declared && !this->AllowancesLearned &&
      Now - this->LeadingSince > LearnAllowancesFor)
    this->learnAllowances(*Declared, Now);
  this->Clocks.addReading(Asked.Entry, Asked.Wall, Now);
  this->Usage.update(Asked.Entry, Asked.Incarnation, Asked.Usage);
  this->forgetCrashes(Now);
  for (const State::CrashReport &Each : Asked.Crashes)
    this->crashed(Each, Now);

  State::EntryPollResponse Answer;
  Answer.Entry = Asked.Entry;
  Answer.Incarnation = Asked.Incarnation;
  Answer.Sequence = Asked.Sequence;
  Answer.EntryCount = static_cast<std::uint32_t>(this->entryCount(Now));
  Answer.ReferenceTime = this->Clocks.timeAt(Now);
  Answer.Loads = this->loadsWithout(Asked.Entry, Now);
  Answer.NewestVersion = State.version();
  // Its own state daemon should have pushed it since the last answer.
  if (Asked.InstalledVersion < Answer.NewestVersion &&
      Asked.NewestSeenVersion >= Answer.NewestVersion)
    Answer.Declaration =
        State::DeclarationPush{State.version(), State.document()};
  if (Declared) {
    for (const State::TokenDemand &Each : Asked.Demands) {
      const Configuration::Team *Limits = Declared->team(Each.Team);
      if (!Limits)
        continue;
      const double Granted =
          this->Allowances.grant(*Limits, Each.Needed, Each.Reserve, Now);
      if (Granted > 0)
        Answer.Grants.push_back({Each.Team, Granted});
    }
  }
  for (const auto &Each : this->Refused) {
    if (Answer.RefusedContents.size() >= MostRefused)
      break;
    Answer.RefusedContents.push_back(Each.first);
  }
  return Answer;
}

void EntryLedger::learnAllowances(const Configuration::ServiceMap &Declared,
                                  Common::TimePoint Now) {
  this->AllowancesLearned = true;
  // Daemons that cannot be reached are taken for as busy as the others.
  const double Known = static_cast<double>(this->Entries.size());
  const double Scale = std::max(1.0, this->MostEntries / Known);
  std::map<Configuration::TeamName, std::vector<double>> Used;
  for (const auto &Each : this->Entries) {
    for (const State::RecentTokenGrants &Part : Each.second.Used) {
      std::vector<double> &Sum = Used[Part.Team];
      Sum.resize(std::max(Sum.size(), Part.CumulativeTokens.size()));
      for (std::size_t I = 0; I < Part.CumulativeTokens.size(); ++I)
        Sum[I] += Part.CumulativeTokens[I] * Scale;
    }
  }
  for (const Configuration::Team &Each : Declared.teams())
    this->Allowances.grantedLately(Each, Used[Each.Name], Now);
  Telemetry::log(Telemetry::Events::AllowancesLearned, Known,
                 this->MostEntries);
}

void EntryLedger::crashed(const State::CrashReport &Report,
                          Common::TimePoint Now) {
  if (this->Crashes.size() > MostContents)
    this->Crashes.clear();
  auto &Servers = this->Crashes[Report.Content];
  Servers.emplace(ServerLife{Report.Server, Report.StartedAt}, Now);
  if (Servers.size() < CrashesToRefuse ||
      !this->Refused.emplace(Report.Content, Now).second)
    return;
  Telemetry::log(Telemetry::Events::ContentRefused, absl::Hex(Report.Content),
                 Servers.size());
}

void EntryLedger::forgetCrashes(Common::TimePoint Now) {
  for (auto Each = this->Crashes.begin(); Each != this->Crashes.end();) {
    std::erase_if(Each->second, [Now](const auto &Failure) {
      return Now - Failure.second > CrashMemory;
    });
    Each = Each->second.empty() ? this->Crashes.erase(Each) : std::next(Each);
  }
  std::erase_if(this->Refused, [Now](const auto &Each) {
    return Now - Each.second > RefuseFor;
  });
}

std::vector<State::ServerLoad>
EntryLedger::loadsWithout(const Common::DaemonId &Asker,
                          Common::TimePoint Now) const {
  std::map<Common::BackendServerId, State::ServerLoad> Sum;
  for (const auto &[Name, Each] : this->Entries) {
    if (Name == Asker || Now - Each.HeardAt > EntryLivesFor)
      continue;
    for (const State::ServerLoad &Load : Each.Loads) {
      State::ServerLoad &Into = Sum[Load.Id];
      Into.Id = Load.Id;
      Into.Requests += Load.Requests;
      Into.PromptTokens += Load.PromptTokens;
    }
  }
  std::vector<State::ServerLoad> Result;
  Result.reserve(Sum.size());
  for (auto &Each : Sum)
    Result.push_back(std::move(Each.second));
  return Result;
}

std::map<Common::ServiceName, double>
EntryLedger::demand(Common::TimePoint Now) const {
  std::map<Common::ServiceName, double> Sum;
  for (const auto &Each : this->Entries)
    if (Now - Each.second.HeardAt <= EntryLivesFor)
      for (const State::ServiceDemand &Part : Each.second.Services)
        Sum[Part.Service] += Part.Engines;
  return Sum;
}

std::size_t EntryLedger::entryCount(Common::TimePoint Now) const {
  std::size_t Count = 0;
  for (const auto &Each : this->Entries)
    if (Now - Each.second.HeardAt <= EntryLivesFor)
      ++Count;
  return Count;
}

} // namespace StateDaemon
