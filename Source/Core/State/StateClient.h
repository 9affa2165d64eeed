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

/// Why a request has no response.
enum class RequestFailure {
  /// Every attempt was refused before anything was appended to the log, or was
  /// never sent.
  NotExecuted,
  /// At least one attempt may have taken effect.
  MayHaveExecuted,
};

using RequestResult = std::variant<ResponseBody, RequestFailure>;

/// Sends requests to the state daemons. A request is retried, following
/// redirects to the leader, until its timeout; every command is safe to repeat.
class StateClient {
public:
  struct Options {
    std::vector<Network::Address> Daemons;
    Network::ClusterKey Key;
    /// Timeout of a single attempt.
    Common::Duration AttemptTimeout = std::chrono::milliseconds(700);
    /// Delay before the next attempt after a refusal.
    Common::Duration RetryDelay = std::chrono::milliseconds(50);

    /// After this time without a leader, a request fails as soon as all
    /// reachable daemons have refused it.
    Common::Duration LeaderlessTimeout = std::chrono::seconds(2);
  };
  /// Never runs inside the call that sends the request.
  using ResponseHandler = std::function<void(RequestResult)>;
  using ConfigurationHandler = std::function<void(Configuration::Declaration)>;

  StateClient(Network::EventLoop &Loop, Options Settings,
              Telemetry::Metrics &Metrics);

  /// Retries until the leader responds or Timeout has passed.
  void sendToLeader(RequestBody Body, Common::Duration Timeout,
                    ResponseHandler OnDone);
  /// Sends the request once, to any connected daemon; waits up to Timeout for a
  /// connection. A sent request is not retried.
  void sendToAny(RequestBody Body, Common::Duration Timeout,
                 ResponseHandler OnDone);
  /// Subscribes to configuration updates from all daemons.
  void watchConfiguration(ConfigurationHandler Handler);

private:
  struct PendingRequest;
  using PendingRequestPtr = std::shared_ptr<PendingRequest>;

  void attempt(const PendingRequestPtr &Pending);
  void retryAfter(const PendingRequestPtr &Pending, Common::Duration Delay);
  void handleMissingResponse(const PendingRequestPtr &Pending);
  void finish(const PendingRequestPtr &Pending, RequestResult Result);
  void handlePayload(std::size_t From, const std::string &Payload);
  void handleResponse(std::size_t From, const Response &Received);
  void onLinkUp(std::size_t Link);
  void onLinkDown(std::size_t Link);
  std::size_t chooseLink();

  std::size_t aliveLinkCount() const;
  bool isLeaderless() const;
  void noteLeaderMissing();

  bool redirect(const NotLeader &Redirection);

  Network::EventLoop &Loop;
  Options Settings;
  Telemetry::Metrics &Metrics;
  std::vector<std::unique_ptr<Network::FrameClient>> Links;
  std::size_t PreferredLink = 0;
  Correlation LastCorrelation;
  /// Requests with an attempt in progress.
  std::map<Correlation, PendingRequestPtr> InFlight;
  ConfigurationHandler OnConfiguration;

  /// When a leader was first found missing since one last responded; empty
  /// while the leader responds.
  std::optional<Common::TimePoint> LeaderlessSince;
};

} // namespace State

#endif
