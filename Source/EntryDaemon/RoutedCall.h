#ifndef SYCAMOREREACH_ENTRYDAEMON_ROUTEDCALL_H
#define SYCAMOREREACH_ENTRYDAEMON_ROUTEDCALL_H

#include "EntryDaemon/AnswerOwner.h"
#include "EntryDaemon/CallFailure.h"
#include "EntryDaemon/GatewayContext.h"
#include "EntryDaemon/ResponseBuffer.h"
#include "Network/EventSplitter.h"
#include "Network/Http1Server.h"
#include "Routing/AnswerProgress.h"
#include "platform/RequestHeaders.h"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace EntryDaemon {

/// One caller's request, from its arrival until its response is complete,
/// including retries on other servers. A failed attempt was not sent, was
/// reported by the server as not executed, or may have executed. The caller
/// gets a status that guarantees that the request was not executed only if no
/// attempt may have executed.
class RoutedCall : public std::enable_shared_from_this<RoutedCall> {
public:
  RoutedCall(GatewayContext &Context,
             std::shared_ptr<Network::Http1Exchange> Exchange);

  void start();
  /// Continues a call that arrived during startup: the first declaration is
  /// confirmed, or the call has waited as long as it may.
  void continueAfterStartup();
  /// The tokens that the call needs and how much longer it may wait for them.
  State::TokenNeed tokenNeed() const;
  void handleTokenDecision(const State::TokenDecision &Decision);
  /// Ends the call because the process is about to stop.
  void endBeforeStop();
  /// Resumes the stream at a server of the version that is rolled out, if its
  /// server's version is to be left. Returns whether it did.
  bool moveStream();
  /// Moves a running stream that can be resumed to another server, because of
  /// Reason: reading from its server pauses until the other one has accepted,
  /// for 400 ms at most. Returns whether another server was asked.
  bool moveAway(const std::string &Reason);

private:
  enum class AttemptResult {
    NotSent,
    MayHaveExecuted,
    NotExecuted,
    /// May have executed; part of the stream was received.
    StreamInterrupted
  };

  /// The state of one attempt. It is discarded when the attempt ends, so that
  /// the response of one attempt is never judged by that of another.
  struct Attempt {
    Attempt(Routing::PlacementChoice To, Common::TimePoint SentAt)
        : Server(std::move(To)), SentAt(SentAt) {}

    Routing::PlacementChoice Server;
    Common::TimePoint SentAt;
    /// When the head of the response arrived, and the first bytes of its body.
    std::optional<Common::TimePoint> HeadAt;
    std::optional<Common::TimePoint> OutputAt;
    /// Of a success.
    Routing::AnswerProgress Progress;
    bool SurvivalRecorded = false;
    Network::Http1Client::CallPtr Call;
    /// Set when the request is written.
    Network::ConnectionUse Connection;
    /// A response to another request came on the connection meanwhile.
    bool AnswerSkipped = false;
    std::optional<Network::Http1Head> ResponseHead;
    std::unique_ptr<ResponseBuffer> ResponseBody =
        std::make_unique<ResponseBuffer>();
    /// Set if the response is a stream whose events are forwarded.
    std::optional<Network::EventSplitter> Splitter;
    /// The event after which the server was asked to resume the stream.
    std::optional<std::string> ResumedAfter;
    /// Whether the attempt has produced output.
    bool OutputStarted = false;
    bool ReadingPaused = false;
    Rollout::ObservedNumber Observed;
    Network::EventHandle BackpressureTimer;
    Network::EventHandle SilenceTimer;
    /// Whether this is the second of two attempts; null if it never was.
    std::shared_ptr<bool> IsSecond;
    /// 0 if the attempt's times are not measured.
    Routing::SpeedMeter::StreamNumber Measured = 0;
  };

  /// Determines the route, team, deadline and service. If it fails, the caller
  /// has been sent an error response.
  bool resolve();
  void chooseService();
  /// Sets the causes under which this request may be refused.
  void setCauses();
  /// Fails the call if its content or a part of its prompt crashes servers.
  /// Returns whether it did.
  bool failIfRefused();
  void admit();
  /// Refuses the call if the service is short of room and the level in force
  /// does not admit it. Returns whether it did.
  bool refuseByLevel();
  /// Engine time that the request needs, at speed 1 and with the shared parts
  /// of its prompt cached, in milliseconds; 1 for a plain request.
  double estimateWork() const;
  double expectedOutputTokens() const;
  /// Reports that no server has room for the request in time. Once per call.
  void recordWithoutRoom();
  void noteRoom(const Routing::PlacementChoice &Chosen);
  /// Whether the prompt cannot be read at the chosen server before the call's
  /// deadline.
  bool missesDeadline(const Routing::PlacementChoice &Chosen) const;
  /// When a caller that is refused for lack of room should return: Otherwise
  /// unless a level is in force.
  Common::Duration retryAfterShortage(Common::Duration Otherwise);
  Common::Duration spreadReturn(const Admission::AdmissionLevel &Level);
  double timeLeftShare() const;
  void refuseOverAllowance(Common::Duration RetryAfter);
  void stopAwaitingTokens();
  void dispatch();
  /// Longest queued prefill time at which the request is still sent to a
  /// server.
  Common::Duration maxQueueingTime() const;
  /// Pause after which callers abandon a stream.
  Common::Duration abandonPause() const;
  /// With AsSecond, beside the current attempt.
  void sendTo(const Routing::PlacementChoice &To, bool AsSecond = false);
  void handleSent(bool AsSecond);
  /// Whose response an attempt has received. Counts and logs those that are not
  /// the current request's, and those that reject it.
  AnswerOwner attribute(Attempt &Receiver, int Status,
                        const Platform::ResponseHeaders &Decoded);
  /// Begins to measure the times of an attempt that starts.
  void startMeasuring(Attempt &Started);
  /// Whether a server that answers with this head has accepted the request, so
  /// that it can go on with it.
  bool isAcceptance(const Network::Http1Head &Head,
                    const Platform::ResponseHeaders &Decoded) const;
  /// Records for how long a server that rejects requests wants none.
  void noteRetryAfter(const Attempt &Receiver, int Status,
                      const Platform::ResponseHeaders &Decoded);
  /// Logs and counts what is no answer, from the second or the current attempt.
  void noteMalformed(bool FromSecond);
  /// Records that the server leaves, if the answer says so. Any answer counts,
  /// also one to another request.
  void noteLeaving(const Attempt &Receiver,
                   const Platform::ResponseHeaders &Decoded);
  /// Records that the server takes requests.
  void noteAcceptance();
  /// Returns false to skip a response that belongs to another request.
  bool handleHead(const Network::Http1Head &Head);
  void handleBody(const std::string &Bytes);
  /// Ends the current attempt because its response cannot be used.
  void rejectResponse(AttemptResult Result);
  void handleAttemptEnd(Network::Http1CallResult End);
  void noteServerActivity();
  void checkServerSilence();
  /// Takes a retry from this daemon's share of the budget. Returns false if
  /// none is left.
  bool takeRetry(Common::TimePoint Now);
  /// The server to which a reserved retry would go.
  std::optional<Routing::PlacementChoice> reserveRetry();
  /// Asks another server beside the current one, which is left once the other
  /// one has accepted.
  void openSecond(const Routing::PlacementChoice &To,
                  const std::string &Reason);
  bool handleSecondHead(const Network::Http1Head &Head);
  void handleSecondEnd(Network::Http1CallResult End);
  /// Ends the second attempt, which has failed, and goes on with the current
  /// one.
  void endSecond(Routing::ServerOutcome Outcome, bool MayHaveRun,
                 const char *Cause);
  /// Leaves the current server, as the second one has accepted.
  void leaveFirst();
  /// Makes the second attempt the current one. Returns false if there is none.
  bool adoptSecond();
  /// Ends the second attempt, as the current one goes on or the call ends.
  void cancelSecond(const char *Cause);
  void recordSecondEnd(Routing::ServerOutcome Outcome, bool MayHaveRun,
                       const char *Cause);
  void resumePausedFirst();
  Routing::PlacementRequest placement() const;
  void handleAttemptFailure(AttemptResult Result, CallFailure Failure,
                            Routing::ServerOutcome Outcome);
  bool canRetry(AttemptResult Result) const;
  /// When a caller whose request no server has taken should repeat it.
  Common::Duration retryAfterRejection();
  /// Makes another attempt after a short delay, if the request can still be
  /// taken over by a server although an earlier one may have executed it.
  /// Returns false if it cannot.
  bool retryLater();
  void endAttempt(Routing::ServerOutcome Outcome);
  void finishBuffered();
  void startStream(const Network::Http1Head &Head);
  /// Records the current attempt's first output and, once per call, the latency
  /// metric and the team's usage. Also called after a failed attempt that may
  /// have executed without output.
  void recordExecutionStarted();
  /// 0 is the most urgent.
  std::uint32_t priority() const;
  /// Labels of this call's latency metrics.
  std::string metricLabels() const;
  void updateMeanOutput();
  void logServed(int Status) const;
  Routing::ServerOutcome outcomeIfAbandoned() const;
  void reportCrash();
  void logLostRun() const;
  PromptCrashReporter::Run currentRun() const;
  /// Records that the server has survived the request, once it has.
  void noteSurvival();
  /// Records a complete response, by whose framing the server has survived the
  /// request or may have crashed.
  void recordCompleteAnswer();

  void handleDisconnect();
  void handleDeadline();
  void fail(CallFailure Failure, int Status,
            std::optional<Common::Duration> RetryAfter = std::nullopt);
  void finish();
  Common::Duration timeLeft() const;
  /// Whether a server may have executed or may be executing the request.
  bool mayHaveExecuted() const {
    return this->MayHaveExecuted || this->CurrentAttempt.has_value();
  }
  const Configuration::Route &route() const { return *this->Route; }
  // What rollouts observe of the current attempt; no effect without rollouts.
  void observeSent();
  void observeOutput();
  void observePause();
  void observeStatus(int Status);
  void observeEnd(Routing::ServerOutcome Outcome);
  std::uint64_t contentHash() const;

  GatewayContext &Context;
  std::shared_ptr<Network::Http1Exchange> Exchange;
  Common::TimePoint ArrivedAt;
  Common::TimePoint Deadline;
  Platform::CallerHeaders CallerHeaders;
  /// Keeps Route and Team valid after a newer declaration takes effect.
  std::shared_ptr<const Configuration::ServiceMap> Declaration;
  const Configuration::Route *Route = nullptr;
  const Configuration::Team *Team = nullptr;
  Common::ServiceName Service;
  /// The parts of the prompt that other requests may share.
  Common::CauseSet SharedParts;
  /// SharedParts and the whole content.
  Common::CauseSet Causes;
  /// The call was let through a refusal. It is sent to one server only.
  bool IsProbe = false;
  /// Tokens that the request takes from its team's allowance.
  double TokenCost = 0;
  bool TokensCharged = false;
  /// Work that was counted when the call was offered; 0 before.
  double OfferedWork = 0;
  bool WithoutRoomRecorded = false;
  bool Resolved = false;
  /// Number of the token need while the call waits for the tokens; 0 otherwise.
  std::uint64_t TokenNeedNumber = 0;
  Common::TimePoint TokenWaitEnd;
  Common::TimePoint AwaitingTokensSince;
  bool Done = false;

  std::uint32_t Attempts = 0;
  /// Attempts that may have executed the request. Servers that reported that
  /// they did not execute it do not count against the route's MaxAttempts.
  std::uint32_t Executions = 0;
  std::uint32_t Rejections = 0;
  /// Whether any attempt may have executed the request.
  bool MayHaveExecuted = false;
  /// An attempt failed at a server that gets only a share of the requests.
  bool FailedAtCanary = false;
  /// Servers that were tried in this round of attempts.
  std::set<Common::BackendServerId> TriedServers;
  std::set<Common::BackendServerId> ServersThatMayHaveExecuted;
  /// When no server took the request over at once, after one may have executed
  /// it.
  std::optional<Common::TimePoint> RetryingLaterSince;
  /// Absent between attempts.
  std::optional<Attempt> CurrentAttempt;
  /// Beside the current one, until one of the two goes on.
  std::optional<Attempt> SecondAttempt;
  std::string TakeoverReason;
  /// Reading from the current server is paused for a move.
  bool PausedForMove = false;
  std::uint32_t FailedTakeovers = 0;
  Network::EventHandle MoveTimer;
  /// Id of the last complete event sent to the caller, over all attempts.
  std::optional<std::string> LastEventId;
  bool Streaming = false;
  /// When the last event was sent to the caller; at first, when the request
  /// arrived.
  Common::TimePoint LastEventAt;
  /// Whether the call was recorded in the latency metric and the team's usage.
  bool ExecutionStartRecorded = false;
  Network::EventHandle DeadlineTimer;
  Network::EventHandle TokenWaitTimer;
  Network::EventHandle StartupWaitTimer;
  Network::EventHandle RetryTimer;
};

} // namespace EntryDaemon

#endif
