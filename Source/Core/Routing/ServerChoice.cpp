#include "Routing/ServerChoice.h"

#include "Common/Hash.h"

#include <algorithm>

namespace Routing {

namespace {

/// A server with capacity under consideration.
struct Candidate {
  const PooledServer *Server = nullptr;
  std::size_t MatchedBlocks = 0;
  std::uint64_t RendezvousWeight = 0;
  double Utilization = 0;
};

bool isEligible(const PooledServer &Server, const ChoiceQuery &Query) {
  const auto &Id = Server.Status.Id;
  if (!Server.hasCapacity() || Query.Excluded.count(Id) != 0)
    return false;
  if (Query.RequiredServer && *Query.RequiredServer != Id)
    return false;
  return !Query.Suspect || Query.ServersRunningSuspects.count(Id) == 0;
}

std::vector<Candidate> candidates(const ServerPool &Pool,
                                  const ChoiceQuery &Query, bool Local) {
  std::vector<Candidate> Result;
  for (const auto &[Id, Server] : Pool.servers()) {
    if (Server.Status.Local != Local || !isEligible(Server, Query))
      continue;
    Candidate Added;
    Added.Server = &Server;
    Added.MatchedBlocks = Server.Cache.countMatched(Query.Blocks);
    Added.RendezvousWeight = Common::hashBytes(Id.str(), Query.AffinityKey);
    Added.Utilization =
        double(Server.Running.size()) / double(Server.ConcurrencyLimit);
    Result.push_back(Added);
  }
  return Result;
}

/// Mean utilization of all usable servers, with or without free capacity.
double meanUtilization(const ServerPool &Pool, bool Local) {
  double Running = 0;
  double Limit = 0;
  for (const auto &Each : Pool.servers()) {
    const PooledServer &Server = Each.second;
    if (Server.Status.Local != Local || !Server.Status.Usable)
      continue;
    Running += double(Server.Running.size());
    Limit += double(Server.ConcurrencyLimit);
  }
  return Limit == 0 ? 0 : Running / Limit;
}

std::optional<Choice> chooseFrom(const std::vector<Candidate> &All,
                                 double MeanUtilization,
                                 const ChoiceQuery &Query,
                                 const ChoiceOptions &Options) {
  if (All.empty())
    return std::nullopt;
  const auto UnderBound = [&](const Candidate &Each) {
    const double Running =
        Each.Utilization * double(Each.Server->ConcurrencyLimit);
    return Running <= Options.LoadBound * MeanUtilization *
                          double(Each.Server->ConcurrencyLimit);
  };
  const Candidate *Matching = nullptr;
  const Candidate *Preferred = nullptr;
  const Candidate *LeastUtilized = nullptr;
  for (const Candidate &Each : All) {
    if (!LeastUtilized || Each.Utilization < LeastUtilized->Utilization)
      LeastUtilized = &Each;
    if (!UnderBound(Each))
      continue;
    if (Each.MatchedBlocks >= Options.MinMatchedBlocks &&
        (!Matching || Each.MatchedBlocks > Matching->MatchedBlocks))
      Matching = &Each;
    if (!Preferred || Each.RendezvousWeight > Preferred->RendezvousWeight)
      Preferred = &Each;
  }
  const bool WantsAffinity = Query.AffinityKey != 0;
  const Candidate *Best = LeastUtilized;
  if (Matching)
    Best = Matching;
  else if (WantsAffinity && Preferred)
    Best = Preferred;
  return Choice{Best->Server->Status.Id, Best->MatchedBlocks};
}

} // namespace

std::optional<Choice> chooseServer(const ServerPool &Pool,
                                   const ChoiceQuery &Query,
                                   const ChoiceOptions &Options) {
  for (const bool Local : {true, false}) {
    auto Found = chooseFrom(candidates(Pool, Query, Local),
                            meanUtilization(Pool, Local), Query, Options);
    if (Found)
      return Found;
  }
  return std::nullopt;
}

} // namespace Routing
