#ifndef SYCAMOREREACH_ENTRYDAEMON_ROUTEDCALL_H
#define SYCAMOREREACH_ENTRYDAEMON_ROUTEDCALL_H

#include "EntryDaemon/CallFailure.h"
#include "EntryDaemon/GatewayContext.h"
#include "Network/EventSplitter.h"
#include "Network/Http1Server.h"
#include "platform/RequestHeaders.h"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace EntryDaemon {

/// One caller's request on its way through the system. Each attempt is in one
/// of four states: not sent, may have run, said not run, answered; only the
/// first and the third allow a status that promises that it did not run.
class RoutedCall : public std::enable_shared_from_this<RoutedCall> {
public:
  RoutedCall(GatewayContext &Context,
             std::shared_ptr<Network::Http1Exchange> Exchange);

  void begin();
  /// The daemon's first declaration is confirmed, or will not be soon.
  void declarationArrived();
  /// Tokens may have come for the request's team, in answer to a question
  /// that was asked at AskedAt.
  void tokensGranted(Common::TimePoint AskedAt);

private:
  enum class AttemptEnd { NotSent, MayHaveRun, SaidNotRun, Broken };

  bool identify();
  void admit();
  void refuseOverAllowance();
  void dispatch();
  /// How long the caller waits for the answer to begin.
  Common::Duration patience() const;
  void send(const Routing::PlacementChoice &To);
  bool headArrived(const Network::Http1Head &Head);
  void bodyArrived(const std::string &Bytes);
  void attemptDone(Network::Http1CallResult End);
  void heard();
  void watchSilence();
  void serverSilent();
  /// Whether another server would take the request now; takes a repeat out of
  /// the retry budget for it.
  bool canMove();
  Routing::Placement placement() const;
  void attemptFailed(AttemptEnd How, CallFailure Why,
                     Routing::ServerOutcome Outcome);
  bool mayRetry(AttemptEnd How) const;
  void endAttempt(Routing::ServerOutcome Outcome);
  void finishWhole();
  void startStream(const Network::Http1Head &Head);
  void noteBegan();
  /// 0 is first.
  std::uint32_t priority() const;
  /// Labels of this request's latencies.
  std::string labels() const;
  void noteOutput();
  void logServed(int Status) const;
  Routing::ServerOutcome outcomeIfAbandoned() const;
  void suspect();

  void callerGone();
  void deadlinePassed();
  void fail(CallFailure Why, int Status,
            std::optional<Common::Duration> RetryAfter = std::nullopt);
  void finish();
  Common::Duration timeLeft() const;
  const Configuration::Route &route() const { return *this->Route; }
  std::uint64_t contentHash() const;

  GatewayContext &Context;
  std::shared_ptr<Network::Http1Exchange> Exchange;
  Common::TimePoint ArrivedAt;
  Common::TimePoint Deadline;
  Platform::CallerHeaders Said;
  /// Keeps the route and the team alive while a newer declaration is in force.
  std::shared_ptr<const Configuration::ServiceMap> Declared;
  const Configuration::Route *Route = nullptr;
  const Configuration::Team *Team = nullptr;
  Common::ServiceName Service;
  double Tokens = 0;
  bool TokensTaken = false;
  bool Identified = false;
  bool Awaiting = false;
  Common::TimePoint AwaitingSince;
  bool Done = false;

  std::uint32_t Attempts = 0;
  /// A repeat was taken out of the retry budget for the next attempt.
  bool RepeatTaken = false;
  /// Some attempt may have run the request.
  bool MayHaveRun = false;
  std::set<Common::BackendServerId> Tried;
  std::optional<Routing::PlacementChoice> At;
  Network::Http1Client::CallPtr Call;
  std::optional<Network::Http1Head> AnswerHead;
  std::string AnswerBody;
  std::optional<Network::EventSplitter> Events;
  /// The last event that the caller got whole, over all attempts.
  std::optional<std::string> LastEvent;
  bool Streaming = false;
  bool Began = false;
  bool Counted = false;
  bool Paused = false;
  Network::EventHandle DeadlineTimer;
  Network::EventHandle TokenTimer;
  Network::EventHandle StartTimer;
  Network::EventHandle DrainTimer;
  Network::EventHandle SilenceTimer;
};

} // namespace EntryDaemon

#endif
