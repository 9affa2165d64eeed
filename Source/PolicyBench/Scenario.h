#ifndef SYCAMOREREACH_POLICYBENCH_SCENARIO_H
#define SYCAMOREREACH_POLICYBENCH_SCENARIO_H

#include "Common/Ids.h"
#include "Common/Time.h"
#include "PolicyBench/EngineModel.h"
#include "Routing/Dispatcher.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace PolicyBench {

/// How requests are assigned to engines.
enum class Policy {
  /// The dispatcher, peer table and admission rules of this project.
  Sycamore,
  /// Engines in rotation, first come first served.
  RoundRobin,
  /// The engine with the lowest reported load, first come first served.
  LeastLoad,
  /// As Sycamore, but with a single daemon that sees all requests and receives
  /// all cache events.
  Omniscient,
};

const char *policyName(Policy Placement);

/// The requests of one priority.
struct Workload {
  Common::PriorityName Priority;
  Common::Duration Target{};
  /// Total requests per second outside the flood.
  double Rate = 0;
  /// Total requests per second during the flood.
  double FloodRate = 0;
  /// Number of callers. Each of the first HeavyCallers sends HeavyCallerFactor
  /// times as many requests as any other.
  std::size_t Callers = 5;
  std::size_t HeavyCallers = 0;
  double HeavyCallerFactor = 1;
  std::uint64_t PromptTokens = 400;
  std::uint64_t OutputTokens = 60;
};

/// Fleet, load and faults of one simulation.
struct Scenario {
  std::string Name;
  std::uint64_t Seed = 1;
  std::size_t Engines = 12;
  std::size_t Daemons = 8;
  EngineOptions Engine;
  Common::Duration NetworkDelay = std::chrono::microseconds(500);
  std::vector<Workload> Workloads;
  std::map<Common::PriorityName, Admission::PriorityRule> PriorityRules;
  Common::Duration RunTime = std::chrono::seconds(60);
  Common::Duration FloodStart = std::chrono::seconds(15);
  Common::Duration FloodEnd = std::chrono::seconds(45);
  /// Number of conversations whose turns share a prompt prefix; 0 for
  /// independent requests.
  std::size_t Conversations = 0;
  Common::Duration DigestInterval = std::chrono::milliseconds(250);
  double DigestLossRate = 0;
  /// Probability that a batch of cache events is lost.
  double EventLossRate = 0.05;
  /// Interval between requests that crash their engine; 0 for none.
  Common::Duration CrashInterval{};
  /// Time from the start at which FailureShare of the engines fails for ten
  /// seconds; 0 for never.
  Common::Duration FailureTime{};
  double FailureShare = 0;
  Routing::DispatchOptions DispatcherOptions;
};

/// Results of one priority. First-token times are in seconds.
struct PriorityResult {
  std::size_t Submitted = 0;
  std::size_t Completed = 0;
  std::size_t WithinTarget = 0;
  /// Counts of requests that arrived during the flood.
  std::size_t FloodSubmitted = 0;
  std::size_t FloodAdmitted = 0;
  std::size_t FloodWithinTarget = 0;
  std::map<std::string, std::size_t> Refused;
  double FirstTokenP50 = 0;
  double FirstTokenP95 = 0;
  double FirstTokenP99 = 0;
  /// Jain's fairness index over the callers' completed cost in the flood.
  double Fairness = 1;
  /// Share of the cost completed during the flood.
  double FloodShare = 0;
};

/// Results of one simulation.
struct RunResult {
  std::map<Common::PriorityName, PriorityResult> Priorities;
  std::uint64_t PromptTokens = 0;
  std::uint64_t ComputedTokens = 0;
  /// Output tokens of completed requests, and of all completed engine jobs.
  std::uint64_t UsefulTokens = 0;
  std::uint64_t GeneratedTokens = 0;
  std::size_t Preemptions = 0;
  std::size_t Attempts = 0;
  std::size_t Crashes = 0;
  std::size_t FalseQuarantines = 0;

  double recomputedShare() const {
    return this->PromptTokens == 0
               ? 0
               : double(this->ComputedTokens) / double(this->PromptTokens);
  }
};

/// Simulates the scenario. Equal seeds give equal results.
RunResult run(const Scenario &Setup, Policy Placement);

} // namespace PolicyBench

#endif
