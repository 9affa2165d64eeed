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

const char *const Usage = R"(policybench: the decisions under load and faults

Usage:
  policybench [options] [<part>]

Parts: floods, fairness, prompts, daemons, retries, crashes, preemption and
spread; all of them unless one is named.

Options:
  --json              Print one JSON object a line.
  --seed=N            Seed of the runs; 1 unless given.
  -h --help           Show this text.
  --version           Show the version.
)";

/// Prints outcomes as a table or as JSON.
class Report {
public:
  explicit Report(bool AsJson) : AsJson(AsJson) {}

  void title(const std::string &Text) const {
    if (!this->AsJson)
      std::cout << "\n" << Text << "\n";
  }

  void priorities(const Scenario &Given, const std::string &How,
                  const Outcome &Seen) const {
    for (const auto &[Name, Each] : Seen.Priorities) {
      const double All = Each.FloodAsked == 0
                             ? 0
                             : 100.0 * double(Each.FloodWithinTarget) /
                                   double(Each.FloodAsked);
      const double Taken = Each.FloodAdmitted == 0
                               ? 0
                               : 100.0 * double(Each.FloodWithinTarget) /
                                     double(Each.FloodAdmitted);
      if (this->AsJson) {
        this->line({{"scenario", Given.Name},
                    {"policy", How},
                    {"seed", Given.Seed},
                    {"priority", Name.str()},
                    {"asked", Each.FloodAsked},
                    {"within_of_asked", All},
                    {"within_of_admitted", Taken},
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
          Given.Name, How, Name.str(), Each.FloodAsked, All, Taken,
          Each.FirstTokenP50, Each.FirstTokenP95, Each.FirstTokenP99,
          100 * Each.FloodShare, Each.Fairness);
    }
  }

  void facts(const std::string &Name, const std::string &How,
             const Json &Values) const {
    if (this->AsJson) {
      Json Row = {{"scenario", Name}, {"policy", How}};
      Row.update(Values);
      this->line(Row);
      return;
    }
    std::cout << absl::StrFormat("%-28s %-22s", Name, How);
    for (const auto &[Key, Value] : Values.items())
      std::cout << "  " << Key << " " << Value.dump();
    std::cout << "\n";
  }

private:
  void line(const Json &Row) const { std::cout << Row.dump() << "\n"; }
  bool AsJson;
};

constexpr std::array Baselines = {Policy::Sycamore, Policy::RoundRobin,
                                  Policy::LeastLoad, Policy::AllSeeing};

double percent(double Part) { return std::round(Part * 1000) / 10; }

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

void floods(const Report &To, std::uint64_t Seed) {
  To.title("Floods: one priority asks for 5 times the capacity (Halonen "
           "and Teranga sizes)");
  for (const Scenario &Base : {halonen(Seed), teranga(Seed)})
    for (const auto &Priority : {Later, Normal, Urgent})
      for (const Policy How : Baselines) {
        const Scenario Given = floodOf(Priority, Base);
        To.priorities(Given, policyName(How), run(Given, How));
      }
}

void fairness(const Report &To, std::uint64_t Seed) {
  To.title("Fairness: one caller of five asks for 50 times the rest");
  for (const Scenario &Base : {halonen(Seed), teranga(Seed)})
    for (const Policy How : Baselines) {
      const Scenario Given = greedyCaller(Base);
      To.priorities(Given, policyName(How), run(Given, How));
    }
}

void prompts(const Report &To, std::uint64_t Seed) {
  To.title("Prompt tokens recomputed, of all sent");
  for (const double CacheTimes : {0.25, 1.0, 4.0})
    for (const Policy How : Baselines) {
      const Scenario Given = conversations(CacheTimes, halonen(Seed));
      const Outcome Seen = run(Given, How);
      To.facts(Given.Name, policyName(How),
               {{"recomputed_percent", percent(Seen.recomputedShare())}});
    }
  for (const double Bound : {1.0, 1.25, 1.5, 2.0, 3.0}) {
    Scenario Given = conversations(1, halonen(Seed));
    Given.Dispatch.Choice.LoadBound = Bound;
    const Outcome Seen = run(Given, Policy::Sycamore);
    To.facts("load bound " + absl::StrFormat("%.2f", Bound),
             policyName(Policy::Sycamore),
             {{"recomputed_percent", percent(Seen.recomputedShare())},
              {"urgent_p95", Seen.Priorities.at(Urgent).FirstTokenP95}});
  }
}

void daemons(const Report &To, std::uint64_t Seed) {
  To.title("Partial sight: the urgent flood through 1 to 34 daemons");
  for (const std::size_t Count : {1, 2, 8, 34})
    for (const double Loss : {0.0, 0.3}) {
      // 34 daemons stand before the replicas of a large data centre.
      Scenario Base =
          Count == 34 ? steadyLoad(83, Count, 500us) : halonen(Seed);
      Base.Seed = Seed;
      Base.Daemons = Count;
      Base.DigestLoss = Loss;
      const Scenario Given = floodOf(Urgent, Base);
      To.priorities(Given,
                    absl::StrFormat("%d, loss %.0f%%", Count, 100 * Loss),
                    run(Given, Policy::Sycamore));
    }
}

void retries(const Report &To, std::uint64_t Seed) {
  To.title("Retries: a third of the servers fails at once for 10 s");
  for (const Policy How : Baselines) {
    Scenario Given = halonen(Seed);
    Given.Name = "third fails";
    Given.FailAt = 20s;
    Given.FailShare = 1.0 / 3;
    const Outcome Seen = run(Given, How);
    std::size_t Asked = 0;
    for (const auto &Each : Seen.Priorities)
      Asked += Each.second.Asked;
    To.facts(Given.Name, policyName(How),
             {{"sent_over_asked", double(Seen.Sent) / double(Asked)},
              {"urgent_p95", Seen.Priorities.at(Urgent).FirstTokenP95}});
  }
}

void crashes(const Report &To, std::uint64_t Seed) {
  To.title("A request that crashes servers, sent every 0.2 s for a minute");
  for (const Policy How : Baselines) {
    Scenario Given = halonen(Seed);
    Given.Name = "crashing request";
    Given.CrashPeriod = 200ms;
    const Outcome Seen = run(Given, How);
    const PriorityOutcome &First = Seen.Priorities.at(Urgent);
    To.facts(Given.Name, policyName(How),
             {{"servers_lost", Seen.Crashes},
              {"false_quarantines", Seen.FalseQuarantines},
              {"urgent_in_target_percent",
               percent(double(First.WithinTarget) / double(First.Asked))}});
  }
}

void preemption(const Report &To, std::uint64_t Seed) {
  To.title("Preemption: the least urgent flood first, then the most urgent");
  for (const double After : {0.0, 0.15, 0.3, 0.5}) {
    Scenario Given = floodOf(Later, halonen(Seed));
    Given.Dispatch.Preempt = After > 0;
    Given.Dispatch.PreemptAfter = After;
    const Outcome Seen = run(Given, Policy::Sycamore);
    const PriorityOutcome &First = Seen.Priorities.at(Urgent);
    To.facts(Given.Name,
             After > 0 ? absl::StrFormat("preempt after %.2f", After)
                       : std::string("no preemption"),
             {{"urgent_p95", First.FirstTokenP95},
              {"urgent_in_target_percent",
               percent(double(First.WithinTarget) / double(First.Asked))},
              {"preemptions", Seen.Preemptions}});
  }
}

void spread(const Report &To, std::uint64_t Seed) {
  To.title("Spread of a configuration: relay against random push and pull, "
           "means of 200 runs");
  constexpr std::size_t Runs = 200;
  struct Way {
    const char *Name;
    SpreadOutcome (*Run)(const SpreadCase &);
  };
  for (const std::size_t Nodes : {8, 34, 410})
    for (const double Silent : {0.0, 0.1})
      for (const Way &How :
           {Way{"relay", spreadByRelay}, Way{"push and pull", spreadByRumor}}) {
        SpreadCase Given;
        Given.Nodes = Nodes;
        Given.Centres = Nodes == 410 ? 12 : 4;
        Given.Silent = Silent;
        std::size_t Messages = 0;
        std::size_t Rounds = 0;
        std::size_t Complete = 0;
        for (std::size_t I = 0; I < Runs; ++I) {
          Given.Seed = Seed * Runs + I;
          const SpreadOutcome Seen = How.Run(Given);
          Messages += Seen.Messages;
          Rounds += Seen.Rounds;
          Complete += Seen.Complete ? 1 : 0;
        }
        To.facts(
            absl::StrFormat("%d nodes, %.0f%% silent", Nodes, 100 * Silent),
            How.Name,
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
  struct Part {
    const char *Name;
    void (*Run)(const Report &, std::uint64_t);
  };
  constexpr std::array Parts = {
      Part{"floods", floods},         Part{"fairness", fairness},
      Part{"prompts", prompts},       Part{"daemons", daemons},
      Part{"retries", retries},       Part{"crashes", crashes},
      Part{"preemption", preemption}, Part{"spread", spread}};
  const auto Wanted = Reader.positional("<part>");
  const Report To(Reader.flag("--json"));
  for (const Part &Each : Parts)
    if (Wanted.empty() || Wanted[0] == Each.Name)
      Each.Run(To, Seed);
  return 0;
}
