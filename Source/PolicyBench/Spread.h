#ifndef SYCAMOREREACH_POLICYBENCH_SPREAD_H
#define SYCAMOREREACH_POLICYBENCH_SPREAD_H

#include <cstddef>
#include <cstdint>

namespace PolicyBench {

/// How a new configuration spread to the nodes.
struct SpreadResult {
  /// Number of messages that carried the configuration.
  std::size_t Messages = 0;
  /// Rounds of 250 ms until all live nodes had received it.
  std::size_t Rounds = 0;
  bool Complete = false;
};

struct SpreadParameters {
  std::size_t Nodes = 8;
  std::size_t DataCentres = 4;
  /// Share of the nodes that neither send nor receive.
  double SilentShare = 0;
  std::uint64_t Seed = 1;
};

/// The leader sends to one relay per data centre, which forwards to the nodes
/// there. Nodes that received nothing poll a state daemon in one of four rounds
/// on average.
SpreadResult spreadByRelay(const SpreadParameters &Parameters);

/// Push-pull gossip with random partners and a median counter: R. Karp,
/// C. Schindelhauer, S. Shenker, B. Voecking, "Randomized Rumor Spreading",
/// FOCS 2000.
SpreadResult spreadByRumor(const SpreadParameters &Parameters);

} // namespace PolicyBench

#endif
