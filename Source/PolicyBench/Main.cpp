#include "PolicyBench/Scenarios.h"
#include "PolicyBench/Spread.h"
#include "Settings/SettingsReader.h"

#include <absl/strings/str_format.h>
#include <iostream>
#include <nlohmann/json.hpp>

namespace {

using namespace PolicyBench;
using namespace std::chrono_literals;
using Json = nlohmann::ordered_json;

const char *const Usage =
    R"(policybench: simulates dispatch policies under load and faults

Usage:
  policybench [options] [<part>]

Parts: floods, fairness, prompts, daemons, retries, crashes, preemption and
spread; all of them if none is given.

Options:
  --json              Print one JSON object per line.
  --seed=N            Random seed; default 1.
  -h --help           Show this text.
  --version           Show the version.
)";

/// Prints results as a table or as JSON.
class Report {
public:
  explicit Report(bool AsJson) : AsJson(AsJson) {}

  void printTitle(const std::string &Text) const {
    if (!this->AsJson)
      std::cout << "\n" << Text << "\n";
  }

  void printPriorities(const Scenario &Setup, const std::string &Variant,
                       const RunResult &Result) const {
    for (const auto &[Name, Each] : Result.Priorities) {
      const double WithinOfSubmitted =
          Each.FloodSubmitted == 0 ? 0
                                   : 100.0 * double(Each.FloodWithinTarget) /
                                         double(Each.FloodSubmitted);
      const double WithinOfAdmitted =
          Each.FloodAdmitted == 0 ? 0
                                  : 100.0 * double(Each.FloodWithinTarget) /
                                        double(Each.FloodAdmitted);
      if (this->AsJson) {
        this->printLine({{"scenario", Setup.Name},
                         {"policy", Variant},
                         {"seed", Setup.Seed},
                         {"priority", Name.str()},
                         {"asked", Each.FloodSubmitted},
                         {"within_of_asked", WithinOfSubmitted},
                         {"within_of_admitted", WithinOfAdmitted},
                         {"p50", Each.FirstTokenP50},
                         {"p95", Each.FirstTokenP95},
                         {"p99", Each.FirstTokenP99},
                         {"share", Each.FloodShare},
                         {"jain", Each.Fairness},
                         {"completed", Each.Completed},
                         {"refused", Each.Refused}});
        continue;
      }
      std::cout << absl::StrFormat(
          "%-18s %-14s %-7s asked %6d  in target %5.1f%% of asked, %5.1f%% "
          "of admitted  p50/95/99 %6.2f %6.2f %6.2f s  share %4.1f%%  jain "
          "%.3f\n",
          Setup.Name, Variant, Name.str(), Each.FloodSubmitted,
          WithinOfSubmitted, WithinOfAdmitted, Each.FirstTokenP50,
          Each.FirstTokenP95, Each.FirstTokenP99, 100 * Each.FloodShare,
          Each.Fairness);
    }
  }

  void printValues(const std::string &Name, const std::string &Variant,
                   const Json &Values) const {
    if (this->AsJson) {
      Json Row = {{"scenario", Name}, {"policy", Variant}};
      Row.update(Values);
      this->printLine(Row);
      return;
    }
    std::cout << absl::StrFormat("%-28s %-22s", Name, Variant);
    for (const auto &[Key, Value] : Values.items())
      std::cout << "  " << Key << " " << Value.dump();
    std::cout << "\n";
  }

private:
  void printLine(const Json &Row) const { std::cout << Row.dump() << "\n"; }
  bool AsJson;
};

constexpr std::array Policies = {Policy::Sycamore, Policy::RoundRobin,
                                 Policy::LeastLoad, Policy::Omniscient};

double percent(double Share) { return std::round(Share * 1000) / 10; }

Scenario halonen(std::uint64_t Seed) {
  Scenario Result = steadyLoad(12, 8, 500us);
  Result.Seed = Seed;
  return Result;
}

Scenario teranga(std::uint64_t Seed) {
  Scenario Result = steadyLoad(20, 8, 1500us);
  Result.Seed = Seed;
  return Result;
}

void runFloods(const Report &Output, std::uint64_t Seed) {
  Output.printTitle(
      "Floods: one priority requests 5 times the capacity (Halonen "
      "and Teranga sizes)");
  for (const Scenario &Base : {halonen(Seed), teranga(Seed)})
    for (const auto &Priority : {Later, Normal, Urgent})
      for (const Policy Placement : Policies) {
        const Scenario Setup = floodOf(Priority, Base);
        Output.printPriorities(Setup, policyName(Placement),
                               run(Setup, Placement));
      }
}

void runFairness(const Report &Output, std::uint64_t Seed) {
  Output.printTitle("Fairness: one of five callers sends 50 times the load of "
                    "each of the rest");
  for (const Scenario &Base : {halonen(Seed), teranga(Seed)})
    for (const Policy Placement : Policies) {
      const Scenario Setup = greedyCaller(Base);
      Output.printPriorities(Setup, policyName(Placement),
                             run(Setup, Placement));
    }
}

void runPrompts(const Report &Output, std::uint64_t Seed) {
  Output.printTitle("Prompt tokens recomputed, of all sent");
  for (const double CacheFactor : {0.25, 1.0, 4.0})
    for (const Policy Placement : Policies) {
      const Scenario Setup = conversations(CacheFactor, halonen(Seed));
      const RunResult Result = run(Setup, Placement);
      Output.printValues(
          Setup.Name, policyName(Placement),
          {{"recomputed_percent", percent(Result.recomputedShare())}});
    }
  for (const double Bound : {1.0, 1.25, 1.5, 2.0, 3.0}) {
    Scenario Setup = conversations(1, halonen(Seed));
    Setup.DispatcherOptions.Choice.LoadBound = Bound;
    const RunResult Result = run(Setup, Policy::Sycamore);
    Output.printValues(
        "load bound " + absl::StrFormat("%.2f", Bound),
        policyName(Policy::Sycamore),
        {{"recomputed_percent", percent(Result.recomputedShare())},
         {"urgent_p95", Result.Priorities.at(Urgent).FirstTokenP95}});
  }
}

void runDaemons(const Report &Output, std::uint64_t Seed) {
  Output.printTitle(
      "Partial knowledge: the urgent flood through 1 to 34 daemons");
  for (const std::size_t Count : {1, 2, 8, 34})
    for (const double LossRate : {0.0, 0.3}) {
      // 34 daemons serve the 83 engines of a large data centre.
      Scenario Base =
          Count == 34 ? steadyLoad(83, Count, 500us) : halonen(Seed);
      Base.Seed = Seed;
      Base.Daemons = Count;
      Base.DigestLossRate = LossRate;
      const Scenario Setup = floodOf(Urgent, Base);
      Output.printPriorities(
          Setup, absl::StrFormat("%d, loss %.0f%%", Count, 100 * LossRate),
          run(Setup, Policy::Sycamore));
    }
}

void runRetries(const Report &Output, std::uint64_t Seed) {
  Output.printTitle(
      "Retries: a third of the servers fails simultaneously for 10 s");
  for (const Policy Placement : Policies) {
    Scenario Setup = halonen(Seed);
    Setup.Name = "third fails";
    Setup.FailureTime = 20s;
    Setup.FailureShare = 1.0 / 3;
    const RunResult Result = run(Setup, Placement);
    std::size_t Submitted = 0;
    for (const auto &Each : Result.Priorities)
      Submitted += Each.second.Submitted;
    Output.printValues(
        Setup.Name, policyName(Placement),
        {{"sent_over_asked", double(Result.Attempts) / double(Submitted)},
         {"urgent_p95", Result.Priorities.at(Urgent).FirstTokenP95}});
  }
}

void runCrashes(const Report &Output, std::uint64_t Seed) {
  Output.printTitle(
      "A request that crashes servers, sent every 0.2 s for a minute");
  for (const Policy Placement : Policies) {
    Scenario Setup = halonen(Seed);
    Setup.Name = "crashing request";
    Setup.CrashInterval = 200ms;
    const RunResult Result = run(Setup, Placement);
    const PriorityResult &UrgentResult = Result.Priorities.at(Urgent);
    Output.printValues(Setup.Name, policyName(Placement),
                       {{"servers_lost", Result.Crashes},
                        {"false_quarantines", Result.FalseQuarantines},
                        {"urgent_in_target_percent",
                         percent(double(UrgentResult.WithinTarget) /
                                 double(UrgentResult.Submitted))}});
  }
}

void runPreemption(const Report &Output, std::uint64_t Seed) {
  Output.printTitle(
      "Preemption: flood of the lowest priority, latency of the highest");
  for (const double Threshold : {0.0, 0.15, 0.3, 0.5}) {
    Scenario Setup = floodOf(Later, halonen(Seed));
    Setup.DispatcherOptions.Preempt = Threshold > 0;
    Setup.DispatcherOptions.PreemptAfter = Threshold;
    const RunResult Result = run(Setup, Policy::Sycamore);
    const PriorityResult &UrgentResult = Result.Priorities.at(Urgent);
    Output.printValues(Setup.Name,
                       Threshold > 0
                           ? absl::StrFormat("preempt after %.2f", Threshold)
                           : std::string("no preemption"),
                       {{"urgent_p95", UrgentResult.FirstTokenP95},
                        {"urgent_in_target_percent",
                         percent(double(UrgentResult.WithinTarget) /
                                 double(UrgentResult.Submitted))},
                        {"preemptions", Result.Preemptions}});
  }
}

void runSpread(const Report &Output, std::uint64_t Seed) {
  Output.printTitle("Spread of a configuration: relay against random push and "
                    "pull, means of 200 runs");
  constexpr std::size_t Runs = 200;
  struct Algorithm {
    const char *Name;
    SpreadResult (*Run)(const SpreadParameters &);
  };
  for (const std::size_t Nodes : {8, 34, 410})
    for (const double SilentShare : {0.0, 0.1})
      for (const Algorithm &Candidate :
           {Algorithm{"relay", spreadByRelay},
            Algorithm{"push and pull", spreadByRumor}}) {
        SpreadParameters Parameters;
        Parameters.Nodes = Nodes;
        Parameters.DataCentres = Nodes == 410 ? 12 : 4;
        Parameters.SilentShare = SilentShare;
        std::size_t Messages = 0;
        std::size_t Rounds = 0;
        std::size_t Complete = 0;
        for (std::size_t I = 0; I < Runs; ++I) {
          Parameters.Seed = Seed * Runs + I;
          const SpreadResult Result = Candidate.Run(Parameters);
          Messages += Result.Messages;
          Rounds += Result.Rounds;
          Complete += Result.Complete ? 1 : 0;
        }
        Output.printValues(
            absl::StrFormat("%d nodes, %.0f%% silent", Nodes,
                            100 * SilentShare),
            Candidate.Name,
            {{"messages_per_node",
              std::round(double(Messages) / double(Runs * Nodes) * 100) / 100},
             {"rounds", double(Rounds) / double(Runs)},
             {"complete_percent", 100.0 * double(Complete) / double(Runs)}});
      }
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  auto Start = Settings::parseCommandLine(Usage, ArgumentCount, Arguments);
  if (Start.shouldExit())
    return Start.ExitCode;
  auto &Reader = *Start.Reader;
  const std::uint64_t Seed = Reader.number("--seed", 1, 1, 1'000'000);
  if (Settings::reportErrors(Reader))
    return Settings::UsageExitCode;
  struct Experiment {
    const char *Name;
    void (*Run)(const Report &, std::uint64_t);
  };
  constexpr std::array Experiments = {Experiment{"floods", runFloods},
                                      Experiment{"fairness", runFairness},
                                      Experiment{"prompts", runPrompts},
                                      Experiment{"daemons", runDaemons},
                                      Experiment{"retries", runRetries},
                                      Experiment{"crashes", runCrashes},
                                      Experiment{"preemption", runPreemption},
                                      Experiment{"spread", runSpread}};
  const auto Selected = Reader.positional("<part>");
  const Report Output(Reader.flag("--json"));
  for (const Experiment &Each : Experiments)
    if (Selected.empty() || Selected[0] == Each.Name)
      Each.Run(Output, Seed);
  return 0;
}
