#include "PolicyBench/Spread.h"

#include "Common/Random.h"

#include <cmath>
#include <vector>

namespace PolicyBench {

namespace {

constexpr std::size_t MostRounds = 200;
/// A node asks a state daemon about once a second, in rounds of 250 ms.
constexpr double PollChance = 0.25;

std::vector<bool> livingNodes(const SpreadCase &Given,
                              Common::Random &Randomness) {
  std::vector<bool> Living(Given.Nodes);
  for (std::size_t I = 0; I < Given.Nodes; ++I)
    Living[I] = I == 0 || !Randomness.chance(Given.Silent);
  return Living;
}

bool allHold(const std::vector<bool> &Living, const std::vector<bool> &Holds) {
  for (std::size_t I = 0; I < Living.size(); ++I)
    if (Living[I] && !Holds[I])
      return false;
  return true;
}

/// A node of the median-counter algorithm.
struct RumorNode {
  enum class State { Uninformed, Counting, Closing, Silent };
  State Now = State::Uninformed;
  std::size_t Counter = 0;
  std::size_t RoundsClosing = 0;
  std::size_t Higher = 0;
  std::size_t Lower = 0;
  bool HeardFromClosing = false;
  bool HeardAny = false;

  bool transmits() const {
    return this->Now == State::Counting || this->Now == State::Closing;
  }
};

/// What Listener learns from Speaker's transmission or silence.
void hear(RumorNode &Listener, const RumorNode &Speaker) {
  const bool Closing = Speaker.Now == RumorNode::State::Closing;
  Listener.HeardAny = Listener.HeardAny || Speaker.transmits();
  Listener.HeardFromClosing = Listener.HeardFromClosing || Closing;
  const bool AsHigh = Closing || (Speaker.Now == RumorNode::State::Counting &&
                                  Speaker.Counter >= Listener.Counter);
  ++(AsHigh ? Listener.Higher : Listener.Lower);
}

void endRound(RumorNode &Node, std::size_t MostCounter) {
  using State = RumorNode::State;
  if (Node.Now == State::Uninformed && Node.HeardAny) {
    Node.Now = Node.HeardFromClosing ? State::Closing : State::Counting;
    Node.Counter = 1;
  } else if (Node.Now == State::Counting) {
    if (Node.Higher > Node.Lower)
      ++Node.Counter;
    if (Node.HeardFromClosing || Node.Counter > MostCounter)
      Node.Now = State::Closing;
  } else if (Node.Now == State::Closing && ++Node.RoundsClosing > MostCounter) {
    Node.Now = State::Silent;
  }
  Node.Higher = 0;
  Node.Lower = 0;
  Node.HeardAny = false;
  Node.HeardFromClosing = false;
}

} // namespace

SpreadOutcome spreadByRelay(const SpreadCase &Given) {
  Common::Random Randomness(Given.Seed);
  const std::vector<bool> Living = livingNodes(Given, Randomness);
  std::vector<bool> Holds(Given.Nodes, false);
  Holds[0] = true;
  SpreadOutcome Result;
  // The relays are the first nodes of the data centres.
  for (std::size_t Relay = 0; Relay < Given.Centres; ++Relay) {
    ++Result.Messages;
    if (!Living[Relay])
      continue;
    Holds[Relay] = true;
    for (std::size_t I = Relay + Given.Centres; I < Given.Nodes;
         I += Given.Centres) {
      ++Result.Messages;
      Holds[I] = Living[I];
    }
  }
  Result.Rounds = 1;
  while (!allHold(Living, Holds) && Result.Rounds < MostRounds) {
    ++Result.Rounds;
    for (std::size_t I = 0; I < Given.Nodes; ++I) {
      if (!Living[I] || Holds[I] || !Randomness.chance(PollChance))
        continue;
      ++Result.Messages;
      Holds[I] = true;
    }
  }
  Result.Complete = allHold(Living, Holds);
  return Result;
}

SpreadOutcome spreadByRumor(const SpreadCase &Given) {
  Common::Random Randomness(Given.Seed);
  const std::vector<bool> Living = livingNodes(Given, Randomness);
  const auto MostCounter = static_cast<std::size_t>(std::ceil(
                               std::log2(std::log2(double(Given.Nodes) + 2)))) +
                           1;
  std::vector<RumorNode> Nodes(Given.Nodes);
  Nodes[0].Now = RumorNode::State::Counting;
  Nodes[0].Counter = 1;
  SpreadOutcome Result;
  for (std::size_t Round = 1; Round <= MostRounds; ++Round) {
    const std::vector<RumorNode> Before = Nodes;
    bool AnyTransmits = false;
    for (std::size_t I = 0; I < Given.Nodes; ++I) {
      const std::size_t Partner = Randomness.below(Given.Nodes);
      if (Partner == I || !Living[I])
        continue;
      AnyTransmits = AnyTransmits || Before[I].transmits();
      Result.Messages += Before[I].transmits() ? 1 : 0;
      if (!Living[Partner])
        continue;
      Result.Messages += Before[Partner].transmits() ? 1 : 0;
      hear(Nodes[Partner], Before[I]);
      hear(Nodes[I], Before[Partner]);
    }
    for (RumorNode &Each : Nodes)
      endRound(Each, MostCounter);
    bool All = true;
    for (std::size_t I = 0; I < Given.Nodes; ++I)
      All = All && (!Living[I] || Nodes[I].Now != RumorNode::State::Uninformed);
    if (All && !Result.Complete) {
      Result.Complete = true;
      Result.Rounds = Round;
    }
    if (!AnyTransmits)
      break;
  }
  return Result;
}

} // namespace PolicyBench
