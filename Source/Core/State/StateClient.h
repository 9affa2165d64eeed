#ifndef SYCAMOREREACH_STATE_STATECLIENT_H
#define SYCAMOREREACH_STATE_STATECLIENT_H

#include "Network/EventLoop.h"
#include "Network/FrameSocket.h"
#include "State/Protocol.h"
#include "Telemetry/Metrics.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace State {

/// Why a question has no answer.
enum class AskFailure {
  /// Every attempt was refused before anything was appended, or never sent.
  NothingDone,
  /// Some attempt may have taken effect.
  MaybeDone,
};

using AskResult = std::variant<AnswerBody, AskFailure>;

/// Asks the state daemons. Questions are sent again, to the leader that the
/// answers name, until the time limit; every command is safe to repeat.
class StateClient {
public:
  struct Options {
    std::vector<Network::Address> Daemons;
    Network::ClusterKey Key;
    /// One attempt without an answer is given up after this time.
    Common::Duration AttemptLimit = std::chrono::milliseconds(700);
    /// Wait before another attempt after a refusal.
    Common::Duration RetryDelay = std::chrono::milliseconds(50);

    /// Without a leader for this long, questions fail at once when all
    /// daemons that can be reached refuse them.
    Common::Duration LeaderlessAfter = std::chrono::seconds(2);
  };
  /// Never runs inside the call that asks.
  using OnAnswer = std::function<void(AskResult)>;
  using OnConfiguration = std::function<void(Configuration::Declaration)>;

  StateClient(Network::EventLoop &Loop, Options Settings,
              Telemetry::Metrics &Metrics);

  /// Asks until the leader answers or Limit has passed.
  void ask(QuestionBody Body, Common::Duration Limit, OnAnswer Done);
  /// Asks any one daemon once.
  void askAny(QuestionBody Body, Common::Duration Limit, OnAnswer Done);
  /// Wants every new configuration pushed by all daemons.
  void watch(OnConfiguration Changed);

private:
  struct Pending;
  using PendingPtr = std::shared_ptr<Pending>;

  void attempt(const PendingPtr &Asked);
  void retryAfter(const PendingPtr &Asked, Common::Duration Delay);
  void expire(const PendingPtr &Asked);
  void finish(const PendingPtr &Asked, AskResult Result);
  void received(std::size_t From, const std::string &Payload);
  void answered(std::size_t From, const Answer &Given);
  void linkUp(std::size_t Link);
  void linkDown(std::size_t Link);
  std::size_t chooseLink();

  std::size_t aliveCount() const;
  bool leaderless() const;
  void noteRefusal();

  bool redirect(const NotLeader &Hint);

  Network::EventLoop &Loop;
  Options Settings;
  Telemetry::Metrics &Metrics;
  std::vector<std::unique_ptr<Network::FrameClient>> Links;
  std::size_t Preferred = 0;
  Correlation Last;
  /// Attempts under way.
  std::map<Correlation, PendingPtr> Waiting;
  OnConfiguration Changed;

  /// The first refusal, or lack of a connection, since a leader answered.
  std::optional<Common::TimePoint> RefusedSince;
};

} // namespace State

#endif
