#include "PolicyBench/Scenarios.h"

namespace PolicyBench {

namespace {

using namespace std::chrono_literals;

/// Requests that one engine of the default rules finishes in a second.
constexpr double EngineCapacity = 4.5;
constexpr double FloodFactor = 5;

} // namespace

const Common::PriorityName Urgent("urgent");
const Common::PriorityName Normal("normal");
const Common::PriorityName Later("later");

Scenario steadyLoad(std::size_t Engines, std::size_t Daemons,
                    Common::Duration OneWay) {
  Scenario Result;
  Result.Name = "steady";
  Result.Engines = Engines;
  Result.Daemons = Daemons;
  Result.OneWay = OneWay;
  Result.Rules = {
      {Urgent, {0, 0.2, 10}}, {Normal, {1, 0.15, 3}}, {Later, {2, 0.1, 1}}};
  const double Capacity = EngineCapacity * double(Engines);
  const auto Add = [&](const Common::PriorityName &Name,
                       Common::Duration Target, double Part) {
    Stream Each;
    Each.Priority = Name;
    Each.Target = Target;
    Each.Rate = Capacity * Part;
    Each.FloodRate = Each.Rate;
    Result.Streams.push_back(Each);
  };
  Add(Urgent, 800ms, 0.15);
  Add(Normal, 3s, 0.15);
  Add(Later, 30s, 0.2);
  return Result;
}

Scenario floodOf(const Common::PriorityName &Priority, Scenario Base) {
  Base.Name = "flood of " + Priority.str();
  for (Stream &Each : Base.Streams)
    if (Each.Priority == Priority)
      Each.FloodRate = EngineCapacity * double(Base.Engines) * FloodFactor;
  return Base;
}

Scenario greedyCaller(Scenario Base) {
  Base.Name = "greedy caller";
  // Each small caller asks for a little more than a fifth of the capacity.
  Stream &Each = Base.Streams[1];
  Each.Callers = 5;
  Each.Large = 1;
  Each.LargeFactor = 50;
  const double Fair = EngineCapacity * double(Base.Engines) / 5;
  Each.FloodRate = 1.2 * Fair * (50 + 4);
  return Base;
}

Scenario conversations(double CacheTimes, Scenario Base) {
  Base.Name = "conversations, cache " + std::to_string(CacheTimes) + "x";
  Base.Conversations = 400;
  for (Stream &Each : Base.Streams) {
    Each.PromptTokens = 256;
    Each.AnswerTokens = 30;
  }
  // A conversation holds four turns of 256 tokens in the mean.
  const double BlocksInUse = 400.0 * 4.5 * 256 / double(Routing::BlockTokens);
  Base.Engine.CacheBlocks =
      static_cast<std::size_t>(BlocksInUse * CacheTimes / double(Base.Engines));
  return Base;
}

} // namespace PolicyBench
