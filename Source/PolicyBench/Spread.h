#ifndef SYCAMOREREACH_POLICYBENCH_SPREAD_H
#define SYCAMOREREACH_POLICYBENCH_SPREAD_H

#include <cstddef>
#include <cstdint>

namespace PolicyBench {

/// How one new configuration reached the nodes.
struct SpreadOutcome {
  /// Transmissions of the configuration.
  std::size_t Messages = 0;
  /// Rounds of a quarter of a second until all living nodes held it.
  std::size_t Rounds = 0;
  bool Complete = false;
};

struct SpreadCase {
  std::size_t Nodes = 8;
  std::size_t Centres = 4;
  /// Share of the nodes that says and hears nothing.
  double Silent = 0;
  std::uint64_t Seed = 1;
};

/// Leader to one relay in each data centre, relay to its neighbours; who has
/// heard nothing asks a state daemon in one of four rounds.
SpreadOutcome spreadByRelay(const SpreadCase &Given);

/// Push and pull with random partners and a median counter: R. Karp,
/// C. Schindelhauer, S. Shenker, B. Voecking, "Randomized Rumor Spreading",
/// FOCS 2000.
SpreadOutcome spreadByRumor(const SpreadCase &Given);

} // namespace PolicyBench

#endif
