#include "PolicyBench/Spread.h"

#include "Common/Random.h"

#include <cmath>
#include <vector>

namespace PolicyBench {

namespace {

constexpr std::size_t MaxRounds = 200;
/// A node polls a state daemon about once a second; a round is 250 ms.
constexpr double PollProbability = 0.25;

std::vector<bool> selectLiveNodes(const SpreadParameters &Parameters,
                                  Common::Random &Randomness) {
  std::vector<bool> Live(Parameters.Nodes);
  for (std::size_t I = 0; I < Parameters.Nodes; ++I)
    Live[I] = I == 0 || !Randomness.chance(Parameters.SilentShare);
  return Live;
}

bool allInformed(const std::vector<bool> &Live,
                 const std::vector<bool> &Informed) {
  for (std::size_t I = 0; I < Live.size(); ++I)
    if (Live[I] && !Informed[I])
      return false;
  return true;
}

/// A node of the median-counter algorithm.
struct RumorNode {
  enum class State { Uninformed, Counting, Closing, Silent };
  State Phase = State::Uninformed;
  std::size_t Counter = 0;
  std::size_t ClosingRounds = 0;
  std::size_t HigherCounters = 0;
  std::size_t LowerCounters = 0;
  bool HeardFromClosing = false;
  bool HeardTransmission = false;

  bool transmits() const {
    return this->Phase == State::Counting || this->Phase == State::Closing;
  }
};

/// Updates Receiver with what Sender transmitted, if anything.
void receive(RumorNode &Receiver, const RumorNode &Sender) {
  const bool Closing = Sender.Phase == RumorNode::State::Closing;
  Receiver.HeardTransmission = Receiver.HeardTransmission || Sender.transmits();
  Receiver.HeardFromClosing = Receiver.HeardFromClosing || Closing;
  const bool AtLeastAsHigh =
      Closing || (Sender.Phase == RumorNode::State::Counting &&
                  Sender.Counter >= Receiver.Counter);
  ++(AtLeastAsHigh ? Receiver.HigherCounters : Receiver.LowerCounters);
}

void endRound(RumorNode &Node, std::size_t MaxCounter) {
  using State = RumorNode::State;
  if (Node.Phase == State::Uninformed && Node.HeardTransmission) {
    Node.Phase = Node.HeardFromClosing ? State::Closing : State::Counting;
    Node.Counter = 1;
  } else if (Node.Phase == State::Counting) {
    if (Node.HigherCounters > Node.LowerCounters)
      ++Node.Counter;
    if (Node.HeardFromClosing || Node.Counter > MaxCounter)
      Node.Phase = State::Closing;
  } else if (Node.Phase == State::Closing &&
             ++Node.ClosingRounds > MaxCounter) {
    Node.Phase = State::Silent;
  }
  Node.HigherCounters = 0;
  Node.LowerCounters = 0;
  Node.HeardTransmission = false;
  Node.HeardFromClosing = false;
}

} // namespace

SpreadResult spreadByRelay(const SpreadParameters &Parameters) {
  Common::Random Randomness(Parameters.Seed);
  const std::vector<bool> Live = selectLiveNodes(Parameters, Randomness);
  std::vector<bool> Informed(Parameters.Nodes, false);
  Informed[0] = true;
  SpreadResult Result;
  // The first node of each data centre is its relay.
  for (std::size_t Relay = 0; Relay < Parameters.DataCentres; ++Relay) {
    ++Result.Messages;
    if (!Live[Relay])
      continue;
    Informed[Relay] = true;
    for (std::size_t I = Relay + Parameters.DataCentres; I < Parameters.Nodes;
         I += Parameters.DataCentres) {
      ++Result.Messages;
      Informed[I] = Live[I];
    }
  }
  Result.Rounds = 1;
  while (!allInformed(Live, Informed) && Result.Rounds < MaxRounds) {
    ++Result.Rounds;
    for (std::size_t I = 0; I < Parameters.Nodes; ++I) {
      if (!Live[I] || Informed[I] || !Randomness.chance(PollProbability))
        continue;
      ++Result.Messages;
      Informed[I] = true;
    }
  }
  Result.Complete = allInformed(Live, Informed);
  return Result;
}

SpreadResult spreadByRumor(const SpreadParameters &Parameters) {
  Common::Random Randomness(Parameters.Seed);
  const std::vector<bool> Live = selectLiveNodes(Parameters, Randomness);
  const auto MaxCounter =
      static_cast<std::size_t>(
          std::ceil(std::log2(std::log2(double(Parameters.Nodes) + 2)))) +
      1;
  std::vector<RumorNode> Nodes(Parameters.Nodes);
  Nodes[0].Phase = RumorNode::State::Counting;
  Nodes[0].Counter = 1;
  SpreadResult Result;
  for (std::size_t Round = 1; Round <= MaxRounds; ++Round) {
    const std::vector<RumorNode> Previous = Nodes;
    bool AnyTransmits = false;
    for (std::size_t I = 0; I < Parameters.Nodes; ++I) {
      const std::size_t Partner = Randomness.below(Parameters.Nodes);
      if (Partner == I || !Live[I])
        continue;
      AnyTransmits = AnyTransmits || Previous[I].transmits();
      Result.Messages += Previous[I].transmits() ? 1 : 0;
      if (!Live[Partner])
        continue;
      Result.Messages += Previous[Partner].transmits() ? 1 : 0;
      receive(Nodes[Partner], Previous[I]);
      receive(Nodes[I], Previous[Partner]);
    }
    for (RumorNode &Each : Nodes)
      endRound(Each, MaxCounter);
    bool AllInformed = true;
    for (std::size_t I = 0; I < Parameters.Nodes; ++I)
      AllInformed =
          AllInformed &&
          (!Live[I] || Nodes[I].Phase != RumorNode::State::Uninformed);
    if (AllInformed && !Result.Complete) {
      Result.Complete = true;
      Result.Rounds = Round;
    }
    if (!AnyTransmits)
      break;
  }
  return Result;
}

} // namespace PolicyBench
