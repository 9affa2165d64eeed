#include "StateDaemon/EntryDaemonTracker.h"

#include "Routing/RetryShare.h"
#include "Telemetry/LogEvents.h"

namespace StateDaemon {

State::EntryPollResponse EntryDaemonTracker::handlePoll(
    const State::EntryPoll &Poll, const Configuration::ServiceMap *Declaration,
    const State::ControlState &State, Common::TimePoint Now) {
  // The others get bigger parts of the retry budget once a daemon is no longer
  // counted.
  static_assert(Routing::RetryShare::PartValidity < EntryTimeout);
  Entry &Sender = this->Entries[Poll.Entry];
  if (Sender.Live)
    this->addLoads(Sender.Loads, -1);
  else
    ++this->LiveEntries;
  Sender.Live = true;
  Sender.LastPollAt = Now;
  Sender.Loads = Poll.Loads;
  this->addLoads(Sender.Loads, 1);
  Sender.Services = Poll.Services;
  Sender.RecentGrants = Poll.RecentGrants;
  this->MaxReportedEntries =
      std::max(this->MaxReportedEntries, Poll.EntryCount);
  if (Declaration && !this->AllowancesLearned &&
      Now - this->LeadingSince > AllowanceLearningTime)
    this->learnAllowances(*Declaration, Now);
  this->Clocks.addReading(Poll.Entry, Poll.Wall, Now);
  this->Usage.update(Poll.Entry, Poll.Incarnation, Poll.Usage);
  for (const State::CrashReport &Each : Poll.Crashes)
    this->Refusals.recordCrash(Poll.Entry, Each, Now);
  for (const State::LostRun &Each : Poll.LostRuns)
    this->Refusals.recordLostRun(Poll.Entry, Each, Now);
  for (const State::Survival &Each : Poll.Survivals)
    this->Refusals.recordSurvival(Each, State, Now);
  for (const Common::CauseSet &Each : Poll.UsedRefusals)
    this->Refusals.recordUse(Poll.Entry, Each, State, Now);

  State::EntryPollResponse Answer;
  Answer.Entry = Poll.Entry;
  Answer.Incarnation = Poll.Incarnation;
  Answer.Sequence = Poll.Sequence;
  Answer.EntryCount = static_cast<std::uint32_t>(this->LiveEntries);
  Answer.ReferenceTime = this->Clocks.timeAt(Now);
  Answer.NewestVersion = State.declarationVersion();
  // The entry daemon heard of the version in an earlier answer, but its own
  // state daemon has not pushed the declaration since.
  if (Poll.InstalledVersion < Answer.NewestVersion &&
      Poll.NewestSeenVersion >= Answer.NewestVersion)
    Answer.Declaration =
        State::DeclarationPush{State.declarationVersion(), State.document()};
  Answer.Refusals = this->Refusals.refusals(State);
  Answer.Suspects = this->Refusals.suspects(State);
  Answer.Probes = this->Refusals.takeProbes(Poll.Entry, State);
  return Answer;
}

State::TokenPoolGrant
EntryDaemonTracker::grantTokens(const State::TokenPoolRequest &Request,
                                const Configuration::ServiceMap *Declaration,
                                Common::TimePoint Now) {
  State::TokenPoolGrant Result;
  Result.Sequence = Request.Sequence;
  for (const State::TokenDemand &Each : Request.Demands) {
    const Configuration::Team *Limits =
        Declaration ? Declaration->team(Each.Team) : nullptr;
    if (!Limits)
      continue;
    const auto Granted =
        this->Allowances.grant(*Limits, Each.Needed, Each.Reserve, Now);
    Result.Grants.push_back(
        {Each.Team, Granted.Tokens,
         static_cast<std::uint64_t>(Common::toMilliseconds(Granted.Wait))});
  }
  return Result;
}

void EntryDaemonTracker::addLoads(const std::vector<State::ServerLoad> &Loads,
                                  int Sign) {
  for (const State::ServerLoad &Each : Loads) {
    LoadSum &Sum = this->Loads[Each.Id];
    Sum.Requests += Sign * static_cast<std::int64_t>(Each.Requests);
    Sum.PromptTokens += Sign * static_cast<std::int64_t>(Each.PromptTokens);
  }
}

State::ServerLoads EntryDaemonTracker::totalLoads() const {
  State::ServerLoads Result;
  Result.Loads.reserve(this->Loads.size());
  for (const auto &[Id, Sum] : this->Loads)
    if (Sum.Requests > 0)
      Result.Loads.push_back({Id, static_cast<std::uint32_t>(Sum.Requests),
                              static_cast<std::uint64_t>(Sum.PromptTokens)});
  return Result;
}

void EntryDaemonTracker::expire(Common::TimePoint Now) {
  for (auto &Each : this->Entries) {
    Entry &Silent = Each.second;
    if (!Silent.Live || Now - Silent.LastPollAt <= EntryTimeout)
      continue;
    Silent.Live = false;
    --this->LiveEntries;
    this->addLoads(Silent.Loads, -1);
    Silent.Loads.clear();
    Silent.Services.clear();
  }
  std::erase_if(this->Loads,
                [](const auto &Each) { return Each.second.Requests <= 0; });
  this->Refusals.removeExpired(Now);
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

std::map<Common::ServiceName, double> EntryDaemonTracker::engineDemand(
    const Membership::ServerRegistry &Servers) const {
  std::map<Common::ServiceName, double> Result;
  for (const auto &Each : this->Entries)
    for (const State::ServiceDemand &Demand : Each.second.Services)
      Result[Demand.Service] += Demand.Engines;
  std::map<Common::ServiceName, double> OccupiedEngines;
  for (const auto &[Id, Sum] : this->Loads) {
    const auto *Server = Servers.find(Id);
    if (Server && Server->Record.Slots != 0)
      OccupiedEngines[Server->Record.Service] +=
          static_cast<double>(Sum.Requests) / Server->Record.Slots;
  }
  for (auto &[Service, Engines] : Result)
    Engines = std::max(Engines, OccupiedEngines[Service]);
  return Result;
}

} // namespace StateDaemon
