#include "Routing/ServerChoice.h"

#include "Common/Hash.h"

#include <algorithm>

namespace Routing {

namespace {

/// One open server under consideration.
struct Candidate {
  const PooledServer *Server = nullptr;
  std::size_t Matched = 0;
  std::uint64_t RendezvousWeight = 0;
  double Fill = 0;
};

bool allowed(const PooledServer &Server, const ChoiceQuery &Query) {
  const auto &Id = Server.Facts.Id;
  if (!Server.open() || Query.Excluded.count(Id) != 0)
    return false;
  if (Query.OnlyAt && *Query.OnlyAt != Id)
    return false;
  return !Query.Suspect || Query.RunsSuspects.count(Id) == 0;
}

std::vector<Candidate> candidates(const ServerPool &Pool,
                                  const ChoiceQuery &Query, bool Local) {
  std::vector<Candidate> Result;
  for (const auto &[Id, Server] : Pool.servers()) {
    if (Server.Facts.Local != Local || !allowed(Server, Query))
      continue;
    Candidate Each;
    Each.Server = &Server;
    Each.Matched = Server.Cache.matched(Query.Blocks);
    Each.RendezvousWeight = Common::hashBytes(Id.str(), Query.AffinityKey);
    Each.Fill = double(Server.Running.size()) / double(Server.Allowance);
    Result.push_back(Each);
  }
  return Result;
}

/// Mean fill of all servers with an allowance, open or not.
double meanFill(const ServerPool &Pool, bool Local) {
  double Running = 0;
  double Allowed = 0;
  for (const auto &Each : Pool.servers()) {
    const PooledServer &Server = Each.second;
    if (Server.Facts.Local != Local || !Server.Facts.Usable)
      continue;
    Running += double(Server.Running.size());
    Allowed += double(Server.Allowance);
  }
  return Allowed == 0 ? 0 : Running / Allowed;
}

std::optional<Choice> chooseAmong(const std::vector<Candidate> &All,
                                  double Mean, const ChoiceQuery &Query,
                                  const ChoiceRules &Rules) {
  if (All.empty())
    return std::nullopt;
  const auto UnderBound = [&](const Candidate &Each) {
    const double Next = Each.Fill * double(Each.Server->Allowance);
    return Next <= Rules.LoadBound * Mean * double(Each.Server->Allowance);
  };
  const Candidate *Matching = nullptr;
  const Candidate *Preferred = nullptr;
  const Candidate *Emptiest = nullptr;
  for (const Candidate &Each : All) {
    if (!Emptiest || Each.Fill < Emptiest->Fill)
      Emptiest = &Each;
    if (!UnderBound(Each))
      continue;
    if (Each.Matched >= Rules.LeastMatch &&
        (!Matching || Each.Matched > Matching->Matched))
      Matching = &Each;
    if (!Preferred || Each.RendezvousWeight > Preferred->RendezvousWeight)
      Preferred = &Each;
  }
  const bool WantsAffinity = Query.AffinityKey != 0;
  const Candidate *Best = Emptiest;
  if (Matching)
    Best = Matching;
  else if (WantsAffinity && Preferred)
    Best = Preferred;
  return Choice{Best->Server->Facts.Id, Best->Matched};
}

} // namespace

std::optional<Choice> chooseServer(const ServerPool &Pool,
                                   const ChoiceQuery &Query,
                                   const ChoiceRules &Rules) {
  for (const bool Local : {true, false}) {
    auto Found = chooseAmong(candidates(Pool, Query, Local),
                             meanFill(Pool, Local), Query, Rules);
    if (Found)
      return Found;
  }
  return std::nullopt;
}

} // namespace Routing
