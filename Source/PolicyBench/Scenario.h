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

/// How requests are placed.
enum class Policy {
  /// The project's parts.
  Sycamore,
  /// Servers in turn, first come first served.
  RoundRobin,
  /// The least load as last reported, first come first served.
  LeastLoad,
  /// As the project's parts, with every cache and queue seen at once by one
  /// daemon.
  AllSeeing,
};

const char *policyName(Policy Which);

/// The work of one priority.
struct Stream {
  Common::PriorityName Priority;
  Common::Duration Target{};
  /// Requests a second in all, outside of the flood.
  double Rate = 0;
  /// Rate during the flood.
  double FloodRate = 0;
  /// Callers; the first Large of them ask for LargeFactor times the rest.
  std::size_t Callers = 5;
  std::size_t Large = 0;
  double LargeFactor = 1;
  std::uint64_t PromptTokens = 400;
  std::uint64_t AnswerTokens = 60;
};

struct Scenario {
  std::string Name;
  std::uint64_t Seed = 1;
  std::size_t Engines = 12;
  std::size_t Daemons = 8;
  EngineRules Engine;
  Common::Duration OneWay = std::chrono::microseconds(500);
  std::vector<Stream> Streams;
  std::map<Common::PriorityName, Admission::PriorityRule> Rules;
  Common::Duration Length = std::chrono::seconds(60);
  Common::Duration FloodFrom = std::chrono::seconds(15);
  Common::Duration FloodTo = std::chrono::seconds(45);
  /// Conversations whose turns share their prefixes; 0 for single requests.
  std::size_t Conversations = 0;
  Common::Duration DigestPeriod = std::chrono::milliseconds(250);
  double DigestLoss = 0;
  /// Share of cache event batches that are lost.
  double EventLoss = 0.05;
  /// A crashing request is sent this often; never when 0.
  Common::Duration CrashPeriod{};
  /// At this time this share of the engines fails for ten seconds.
  Common::Duration FailAt{};
  double FailShare = 0;
  Routing::DispatchOptions Dispatch;
};

/// What one priority got.
struct PriorityOutcome {
  std::size_t Asked = 0;
  std::size_t Completed = 0;
  std::size_t WithinTarget = 0;
  /// Of those that arrived in the flood.
  std::size_t FloodAsked = 0;
  std::size_t FloodAdmitted = 0;
  std::size_t FloodWithinTarget = 0;
  std::map<std::string, std::size_t> Refused;
  double FirstTokenP50 = 0;
  double FirstTokenP95 = 0;
  double FirstTokenP99 = 0;
  /// Jain's index over the callers' completed cost in the flood.
  double Fairness = 1;
  /// Share of all work that was done in the flood.
  double FloodShare = 0;
};

struct Outcome {
  std::map<Common::PriorityName, PriorityOutcome> Priorities;
  std::uint64_t PromptTokens = 0;
  std::uint64_t ComputedTokens = 0;
  /// Tokens generated for answers, and in all.
  std::uint64_t UsefulTokens = 0;
  std::uint64_t GeneratedTokens = 0;
  std::size_t Preemptions = 0;
  std::size_t Sent = 0;
  std::size_t Crashes = 0;
  std::size_t FalseQuarantines = 0;

  double recomputedShare() const {
    return this->PromptTokens == 0
               ? 0
               : double(this->ComputedTokens) / double(this->PromptTokens);
  }
};

/// Runs the scenario on a paused clock. Equal seeds give equal outcomes.
Outcome run(const Scenario &Which, Policy How);

} // namespace PolicyBench

#endif
