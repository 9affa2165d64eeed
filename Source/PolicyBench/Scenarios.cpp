#include "PolicyBench/Scenarios.h"

namespace PolicyBench {

namespace {

using namespace std::chrono_literals;

/// Requests per second that one engine with default options completes.
constexpr double EngineCapacity = 4.5;
constexpr double FloodFactor = 5;

} // namespace

const Common::PriorityName Urgent("urgent");
const Common::PriorityName Normal("normal");
const Common::PriorityName Later("later");

Scenario steadyLoad(std::size_t Engines, std::size_t Daemons,
                    Common::Duration NetworkDelay) {
  Scenario Result;
  Result.Name = "steady";
  Result.Engines = Engines;
  Result.Daemons = Daemons;
  Result.NetworkDelay = NetworkDelay;
  Result.PriorityRules = {
      {Urgent, {0, 0.2, 10}}, {Normal, {1, 0.15, 3}}, {Later, {2, 0.1, 1}}};
  const double Capacity = EngineCapacity * double(Engines);
  const auto Add = [&](const Common::PriorityName &Name,
                       Common::Duration Target, double Share) {
    Workload Each;
    Each.Priority = Name;
    Each.Target = Target;
    Each.Rate = Capacity * Share;
    Each.FloodRate = Each.Rate;
    Result.Workloads.push_back(Each);
  };
  Add(Urgent, 800ms, 0.15);
  Add(Normal, 3s, 0.15);
  Add(Later, 30s, 0.2);
  return Result;
}

Scenario floodOf(const Common::PriorityName &Priority, Scenario Base) {
  Base.Name = "flood of " + Priority.str();
  for (Workload &Each : Base.Workloads)
    if (Each.Priority == Priority)
      Each.FloodRate = EngineCapacity * double(Base.Engines) * FloodFactor;
  return Base;
}

Scenario greedyCaller(Scenario Base) {
  Base.Name = "greedy caller";
  // Each light caller requests slightly more than a fifth of the capacity.
  Workload &Each = Base.Workloads[1];
  Each.Callers = 5;
  Each.HeavyCallers = 1;
  Each.HeavyCallerFactor = 50;
  const double FairRate = EngineCapacity * double(Base.Engines) / 5;
  Each.FloodRate = 1.2 * FairRate * (50 + 4);
  return Base;
}

Scenario conversations(double CacheFactor, Scenario Base) {
  Base.Name = "conversations, cache " + std::to_string(CacheFactor) + "x";
  Base.Conversations = 400;
  for (Workload &Each : Base.Workloads) {
    Each.PromptTokens = 256;
    Each.OutputTokens = 30;
  }
  // A conversation has four and a half turns of 256 tokens on average.
  const double WorkingSetBlocks =
      400.0 * 4.5 * 256 / double(Routing::BlockTokens);
  Base.Engine.CacheBlocks = static_cast<std::size_t>(
      WorkingSetBlocks * CacheFactor / double(Base.Engines));
  return Base;
}

} // namespace PolicyBench
