#ifndef SYCAMOREREACH_STATEDAEMON_TOKENPOOL_H
#define SYCAMOREREACH_STATEDAEMON_TOKENPOOL_H

#include "Admission/AllowanceAccount.h"
#include "State/ControlProtocol.h"

#include <deque>
#include <map>
#include <memory>
#include <vector>

namespace StateDaemon {

/// A state daemon's part of the teams' allowances, from which it serves the
/// token needs of its entry daemons. What it lacks it requests from the leader.
/// With one pool per state daemon instead of one per entry daemon, a part is
/// large enough for whole requests, and the leader hears from few daemons.
class TokenPool {
public:
  explicit TokenPool(Admission::AllowanceTolerance Tolerance)
      : Account(Tolerance) {}

  /// Sets the number of state daemons that hold pools.
  void setHolders(std::size_t Count) { this->Account.setHolders(Count); }
  void setDeclaration(std::shared_ptr<const Configuration::ServiceMap> Newest);

  /// Serves the needs of an entry daemon, or queues them.
  void handleRequest(const State::TokenRequest &Request, Common::TimePoint Now);
  /// The demand to send to the leader now, if there is any.
  std::optional<State::TokenPoolRequest> takeDemand(Common::TimePoint Now);
  /// Applies the leader's grant and serves the queued needs.
  void handleGrant(const State::TokenPoolGrant &Grant, Common::TimePoint Now);
  /// Refuses the needs that have waited as long as they may.
  void refuseExpired(Common::TimePoint Now);
  bool hasWaiting() const { return !this->Waiting.empty(); }

  /// The decisions made since the last call, by entry daemon.
  std::vector<State::TokenDecisions> takeDecisions();

private:
  using Client = std::pair<Common::DaemonId, Common::Incarnation>;
  struct WaitingNeed {
    Client From;
    State::TokenNeed Need;
    Common::TimePoint ExpiresAt;
    /// The tokens are not requested from the leader before this time.
    Common::TimePoint RequestAt;
    /// Sequence number of the last request to the leader that included it.
    std::uint64_t RequestedIn = 0;
  };
  struct PendingRequest {
    Common::TimePoint SentAt;
    Admission::AllowanceAccount::TokensByTeam Tokens;
  };
  void decide(const Client &To, std::uint64_t Number, bool Granted,
              Common::Duration RetryAfter);
  void refuse(const WaitingNeed &Each, Common::Duration RetryAfter);
  Admission::AllowanceAccount::TokensByTeam
  requestedTokens(Common::TimePoint Now);

  Admission::AllowanceAccount Account;
  std::shared_ptr<const Configuration::ServiceMap> Declaration;
  std::deque<WaitingNeed> Waiting;
  std::uint64_t LastSequence = 0;
  /// Requests to the leader that are not answered yet, by sequence number.
  std::map<std::uint64_t, PendingRequest> Pending;
  std::map<Client, std::vector<State::TokenDecision>> Decisions;
};

} // namespace StateDaemon

#endif
