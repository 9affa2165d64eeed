#include "Routing/CrashAttribution.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <set>

namespace Routing {

namespace {

bool hasRunWith(const std::vector<Common::CauseSet> &Runs,
                const Common::CauseSet &Parts) {
  return std::any_of(Runs.begin(), Runs.end(), [&](const auto &Each) {
    return Common::includesCauses(Each, Parts);
  });
}

} // namespace

bool CrashAttribution::recordLostRun(const ServerIncarnation &Server,
                                     Common::CauseSet Parts,
                                     Common::TimePoint CrashedAt) {
  if (Parts.empty())
    return false;
  auto Known =
      std::find_if(this->Crashes.begin(), this->Crashes.end(),
                   [&](const Crash &Each) { return Each.Server == Server; });
  if (Known == this->Crashes.end()) {
    const auto Next = std::find_if(
        this->Crashes.begin(), this->Crashes.end(),
        [CrashedAt](const Crash &Each) { return Each.At > CrashedAt; });
    Known = this->Crashes.insert(Next, Crash{Server, CrashedAt, {}, {}, false});
  }
  // Reports are repeated.
  if (Known->ReportedRuns.size() >= MaxRunsPerCrash ||
      std::find(Known->ReportedRuns.begin(), Known->ReportedRuns.end(),
                Parts) != Known->ReportedRuns.end())
    return false;
  if (!Known->Disproved)
    Known->Runs.push_back(this->unsurvivedParts(Parts, Known->At));
  Known->ReportedRuns.push_back(std::move(Parts));
  if (this->Crashes.size() > MaxCrashes)
    this->Crashes.pop_front();
  return true;
}

Common::CauseSet
CrashAttribution::unsurvivedParts(const Common::CauseSet &Parts,
                                  Common::TimePoint CrashedAt) const {
  Common::CauseSet Result;
  std::copy_if(Parts.begin(), Parts.end(), std::back_inserter(Result),
               [&](Common::CauseHash Each) {
                 const auto Newest = this->Survivals.find(Each);
                 return Newest == this->Survivals.end() ||
                        Newest->second <= CrashedAt;
               });
  return Result;
}

bool CrashAttribution::recordSurvival(Common::CauseHash Part,
                                      Common::TimePoint BegunAt) {
  const auto [Newest, IsNew] = this->Survivals.try_emplace(Part, BegunAt);
  if (!IsNew && Newest->second >= BegunAt)
    return false;
  Newest->second = BegunAt;
  for (Crash &Each : this->Crashes) {
    if (Each.At >= BegunAt)
      break;
    for (Common::CauseSet &Run : Each.Runs)
      std::erase(Run, Part);
  }
  return true;
}

bool CrashAttribution::discardDisproved(const LastHeardOf &HeardAt) {
  bool Any = false;
  for (Crash &Each : this->Crashes) {
    if (Each.Disproved || !isDisproved(Each.Server, Each.At, HeardAt))
      continue;
    Each.Disproved = true;
    Each.Runs.clear();
    Any = true;
  }
  return Any;
}

bool CrashAttribution::supports(const Common::CauseSet &Parts) const {
  std::vector<const Crash *> With;
  for (const Crash &Each : this->Crashes)
    if (!Each.Disproved && hasRunWith(Each.ReportedRuns, Parts))
      With.push_back(&Each);
  return static_cast<double>(countDistinct(With)) >= MinWeight;
}

std::vector<Common::CauseHash> CrashAttribution::suspects() const {
  std::map<Common::CauseHash, std::size_t> RunsWith;
  for (const Crash &Each : this->Crashes)
    for (const Common::CauseSet &Run : Each.Runs)
      for (const Common::CauseHash Part : Run)
        ++RunsWith[Part];
  std::vector<Common::CauseHash> Result;
  for (const auto &Each : RunsWith)
    Result.push_back(Each.first);
  std::stable_sort(Result.begin(), Result.end(),
                   [&](Common::CauseHash Left, Common::CauseHash Right) {
                     return RunsWith[Left] > RunsWith[Right];
                   });
  return Result;
}

void CrashAttribution::removeExpired(Common::TimePoint Now) {
  while (!this->Crashes.empty() &&
         Now - this->Crashes.front().At > CrashRetention)
    this->Crashes.pop_front();
  std::erase_if(this->Survivals, [Now](const auto &Each) {
    return Now - Each.second > SurvivalRetention;
  });
}

std::map<Common::CauseHash, std::vector<const CrashAttribution::Crash *>>
CrashAttribution::crashesByPart(const std::vector<const Crash *> &Crashes) {
  std::map<Common::CauseHash, std::vector<const Crash *>> Result;
  for (const Crash *Each : Crashes)
    for (const Common::CauseSet &Run : Each->Runs)
      for (const Common::CauseHash Part : Run) {
        std::vector<const Crash *> &With = Result[Part];
        if (With.empty() || With.back() != Each)
          With.push_back(Each);
      }
  return Result;
}

double CrashAttribution::weight(Common::CauseHash Part,
                                const std::vector<const Crash *> &Crashes) {
  std::ptrdiff_t Runs = 0;
  for (const Crash *Each : Crashes)
    Runs += std::count_if(Each->Runs.begin(), Each->Runs.end(),
                          [Part](const Common::CauseSet &Run) {
                            return Common::includesCauses(Run, {Part});
                          });
  return static_cast<double>(countDistinct(Crashes)) *
         static_cast<double>(Crashes.size()) / static_cast<double>(Runs);
}

std::size_t
CrashAttribution::countDistinct(const std::vector<const Crash *> &Crashes) {
  std::size_t Count = 0;
  Common::TimePoint LastCounted;
  for (const Crash *Each : Crashes) {
    if (Count != 0 && Each->At - LastCounted < MinCrashDistance)
      continue;
    ++Count;
    LastCounted = Each->At;
  }
  return Count;
}

Common::CauseSet
CrashAttribution::partsAlwaysWith(Common::CauseHash Part,
                                  const std::vector<const Crash *> &Crashes) {
  std::optional<Common::CauseSet> Common;
  for (const Crash *Each : Crashes) {
    std::set<Common::CauseHash> Together;
    for (const Common::CauseSet &Run : Each->Runs)
      if (Common::includesCauses(Run, {Part}))
        Together.insert(Run.begin(), Run.end());
    if (!Common)
      Common.emplace(Together.begin(), Together.end());
    else
      std::erase_if(*Common, [&](Common::CauseHash Other) {
        return Together.count(Other) == 0;
      });
  }
  // Several runs of one crash may have had one of the parts each.
  const bool InOneRun =
      std::all_of(Crashes.begin(), Crashes.end(), [&](const Crash *Each) {
        return hasRunWith(Each->Runs, *Common);
      });
  return InOneRun ? *Common : Common::CauseSet{Part};
}

std::vector<CrashAttribution::Cause>
CrashAttribution::findCauses(const std::vector<Common::CauseSet> &Refused,
                             Common::TimePoint Now) const {
  std::vector<const Crash *> Unexplained;
  for (const Crash &Each : this->Crashes)
    if (std::none_of(Refused.begin(), Refused.end(), [&](const auto &Set) {
          return hasRunWith(Each.Runs, Set);
        }))
      Unexplained.push_back(&Each);
  std::vector<Cause> Result;
  while (true) {
    Cause Best;
    double BestWeight = 0;
    std::vector<const Crash *> BestCrashes;
    for (auto &[Part, With] : crashesByPart(Unexplained)) {
      const double Weight = weight(Part, With);
      if (Weight < MinWeight || Weight <= BestWeight ||
          Now - With.front()->At < MinEvidenceAge)
        continue;
      BestWeight = Weight;
      Best = {{Part}, countDistinct(With), With.front()->At};
      BestCrashes = std::move(With);
    }
    if (BestCrashes.empty())
      break;
    Best.Parts = partsAlwaysWith(Best.Parts.front(), BestCrashes);
    std::erase_if(Unexplained, [&](const Crash *Each) {
      return hasRunWith(Each->Runs, Best.Parts);
    });
    Result.push_back(std::move(Best));
  }
  return Result;
}

} // namespace Routing
