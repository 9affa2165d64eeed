#ifndef SYCAMOREREACH_ROUTING_DISPATCHER_H
#define SYCAMOREREACH_ROUTING_DISPATCHER_H

#include "Admission/FairQueue.h"
#include "Admission/PriorityScheduler.h"
#include "Admission/RateEstimator.h"
#include "Common/Refusal.h"
#include "Routing/AnswerProgress.h"
#include "Routing/PromptQuarantine.h"
#include "Routing/Quarantine.h"
#include "Routing/RetryBudget.h"
#include "Routing/ServerChoice.h"
#include "Routing/ServerPool.h"

#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace Routing {

/// The properties of a request that the dispatcher uses.
struct DispatchRequest {
  Common::RequestId Id;
  Common::CallerId Caller;
  double CallerWeight = 1;
  Common::PriorityName Priority;
  /// Target time from arrival to the first token, or to the answer of a plain
  /// request.
  Common::Duration Target{};
  Routing::Fingerprint Fingerprint = 0;
  std::vector<BlockHash> Blocks;
  /// The parts of the prompt that other requests may share.
  Common::CauseSet Parts;
  std::uint64_t AffinityKey = 0;
  std::uint64_t PromptTokens = 0;
  std::uint64_t ExpectedTokens = 1;
  /// Whether the request's stream can be cancelled and resumed.
  bool Resumable = false;
};

/// Send the request to the server.
struct StartAction {
  Common::RequestId Id;
  Common::BackendServerId Server;
};
/// Cancel the request's stream. The request is queued again and resumed later.
struct PreemptAction {
  Common::RequestId Id;
  Common::BackendServerId Server;
};
/// Refuse the request towards its caller. The dispatcher no longer tracks it.
struct RefuseAction {
  Common::RequestId Id;
  Common::RefusalReason Reason = Common::RefusalReason::QueueFull;
};
using Action = std::variant<StartAction, PreemptAction, RefuseAction>;

/// How an attempt to run a request on a server failed.
enum class Failure {
  /// Nothing was sent to the server.
  ConnectFailed,
  /// The connection broke before any part of the answer arrived.
  ConnectionLost,
  /// The connection broke during the answer, which can be resumed.
  StreamBroken,
  /// The server returned an error and did not run the request.
  ServerError,
  /// What the server sent is no answer. It goes on, and may have run the
  /// request.
  InvalidAnswer,
};

/// Options of the dispatch policy. Parts of it can be switched off for
/// comparisons.
struct DispatchOptions {
  ChoiceOptions Choice;
  bool Preempt = true;
  bool RefuseEarly = true;
  /// Maximum number of waiting requests of a service.
  std::size_t MaxWaiting = 10'000;
  /// Maximum number of attempts for one request.
  std::size_t MaxAttempts = 4;
  /// A waiting urgent request preempts a less urgent stream after this fraction
  /// of its target.
  double PreemptAfter = 0.15;
  /// A request is refused on arrival if its expected wait exceeds this fraction
  /// of its target.
  double RefuseAbove = 0.5;
  Common::Duration QuarantineDuration = std::chrono::minutes(10);
};

/// Decides for one service at one entry daemon which request runs on which
/// server and when. It does no I/O: its user reports events and carries out the
/// returned actions.
class Dispatcher {
public:
  explicit Dispatcher(DispatchOptions Options) : Options(Options) {}

  void configure(const std::map<Common::PriorityName, Admission::PriorityRule>
                     &Priorities);
  ServerPool &pool() { return this->Servers; }
  const ServerPool &pool() const { return this->Servers; }

  /// Returns the reason for which the request would be refused now, if any.
  std::optional<Common::RefusalReason>
  checkAdmission(const DispatchRequest &Request, Common::TimePoint Now);
  /// Queues a request, or returns the reason for refusing it, in which case
  /// nothing was run.
  std::optional<Common::RefusalReason> submit(DispatchRequest Request,
                                              Common::TimePoint Now);
  /// Queues a request that was accepted earlier, without admission checks and
  /// without a deadline. It can still be refused as quarantined or with its
  /// retries exhausted.
  void readmit(DispatchRequest Request, Common::TimePoint Now);
  /// Returns the actions to carry out now. Share and DaemonSalt are those of
  /// ServerPool::updateLimits.
  std::vector<Action> poll(double Share, std::uint64_t DaemonSalt,
                           Common::TimePoint Now);

  void onFirstToken(Common::RequestId Id, Common::TimePoint Now);
  /// Reports the total number of output tokens received so far.
  void onProgress(Common::RequestId Id, std::uint64_t Tokens,
                  Common::TimePoint Now);
  void onFinished(Common::RequestId Id, Common::TimePoint Now);
  /// The request is queued for another server, or a RefuseAction follows.
  void onFailed(Common::RequestId Id, Failure Kind, Common::TimePoint Now);
  /// Records that a server answers a request with a rejection and asks for no
  /// requests for Asked. Returns the end of its rest if this changed it.
  std::optional<Common::TimePoint> onRetryAfter(Common::RequestId Id,
                                                Common::Duration Asked,
                                                Common::TimePoint Now);
  /// Records that a server begins to answer and did not reject the request.
  /// Returns whether it takes requests again after a rest.
  bool onAccepted(Common::RequestId Id);
  /// Whether a request may be written to the server that was chosen for it:
  /// false if the server has asked for rest since.
  bool mayWrite(Common::RequestId Id, Common::TimePoint Now) const;
  /// The server that runs a request; nothing while it waits.
  std::optional<ServerIncarnation> serverOf(Common::RequestId Id) const;
  /// Queues a request again that was not sent, for a reason unrelated to the
  /// server's health.
  void requeue(Common::RequestId Id);
  /// Stops tracking a request whose caller disconnected or that ended
  /// otherwise.
  void remove(Common::RequestId Id);
  /// Reports that a server failed while it ran Contents for some daemon.
  /// Returns the fingerprints that are refused from now on.
  std::vector<Fingerprint>
  onServerFailed(const ServerIncarnation &Server,
                 const std::vector<Fingerprint> &Contents,
                 Common::TimePoint Now);
  /// The parts of the prompts whose answers this daemon's requests on a server
  /// have begun to receive, and that the server has not survived yet.
  std::vector<Common::CauseSet>
  unprovenRunsAt(const Common::BackendServerId &Server) const;
  PromptQuarantine &promptQuarantine() { return this->PromptQuarantineState; }
  /// The requests that this daemon runs on a server.
  std::vector<Common::RequestId>
  requestsAt(const Common::BackendServerId &Server) const;
  /// Fingerprints of the requests that this daemon runs on a server.
  std::vector<Fingerprint>
  runningAt(const Common::BackendServerId &Server) const;
  /// Adds a caller's usage at other entry daemons.
  void chargeRemoteUsage(const Common::CallerId &Caller, Admission::Cost Usage,
                         Common::TimePoint Now);

  /// Number of waiting and running requests.
  std::size_t demand() const { return this->Requests.size(); }
  std::size_t waiting() const;
  /// Returns, per caller, the expected cost of the attempts started since the
  /// last call. Failed and preempted attempts count in full.
  std::map<Common::CallerId, Admission::Cost> takeUsage();
  const Quarantine &quarantine() const { return this->QuarantineState; }
  /// Returns, since the last call, one reason for each retry, each preemption,
  /// and each reported server failure that made requests suspects.
  std::vector<Common::RetryReason> takeRetryReasons();

private:
  struct RequestState {
    DispatchRequest Work;
    /// Time after which the request, if it still waits, is refused;
    /// TimePoint::max() if it is not refused for waiting too long.
    Common::TimePoint Deadline;
    Common::TimePoint ArrivedAt;
    Common::TimePoint StartedAt;
    /// Empty while the request waits.
    Common::BackendServerId Server;
    Common::Incarnation ServerLifetime;
    Admission::Cost Cost;
    std::uint64_t UncachedTokens = 0;
    std::uint64_t TokensReceived = 0;
    std::size_t Attempts = 0;
    bool WasPreempted = false;
    bool FirstTokenReceived = false;
    /// Of the current attempt.
    AnswerProgress Progress;
    std::set<Common::BackendServerId> FailedServers;
    bool running() const { return !this->Server.empty(); }
    ServerIncarnation incarnation() const {
      return {this->Server, this->ServerLifetime};
    }
  };

  /// Whether the content, or a part of the prompt, crashes servers.
  bool isRefused(const DispatchRequest &Work, Common::TimePoint Now) const;
  void recordAnswerBytes(RequestState &State, Common::TimePoint Now);
  /// Cost if no part of the prompt is cached.
  Admission::Cost costWithoutCache(const DispatchRequest &Work) const;
  RequestState &track(DispatchRequest Request, Common::TimePoint Now);
  std::vector<Common::PriorityName> waitingPriorities() const;
  void enqueue(const RequestState &State, bool AtFront);
  bool canMeetTarget(const DispatchRequest &Request, Common::TimePoint Now);
  void refuseExpired(std::vector<Action> &Actions, Common::TimePoint Now);
  bool startNext(std::vector<Action> &Actions, Common::TimePoint Now);
  bool start(RequestState &State, std::vector<Action> &Actions,
             Common::TimePoint Now);
  std::set<Common::BackendServerId>
  serversRunningSuspects(Common::TimePoint Now) const;
  /// The server that runs a request with this content, if any.
  std::optional<Common::BackendServerId>
  serverRunning(Fingerprint Content) const;
  /// Whether some servers are excluded for this request: it failed before, is a
  /// suspect, or its content is not known to be safe and already runs.
  bool isRestricted(const RequestState &State, Common::TimePoint Now) const;
  void startDeferred(std::vector<Action> &Actions, Common::TimePoint Now);
  void preempt(std::vector<Action> &Actions, Common::TimePoint Now);
  RequestState *choosePreemptionVictim(std::uint64_t UrgentRank,
                                       Common::TimePoint Now);
  void releaseServer(RequestState &State);
  /// Work that remains if the request is resumed after the tokens received.
  Admission::Cost remainingCost(const RequestState &State) const;

  DispatchOptions Options;
  ServerPool Servers;
  Admission::PriorityScheduler Scheduler;
  Admission::RateEstimator Rate;
  std::map<Common::PriorityName, Admission::FairQueue> Queues;
  std::map<Common::PriorityName, RetryBudget> RetryBudgets;
  std::map<Common::RequestId, RequestState> Requests;
  /// Running requests by the fingerprint of their content.
  std::multimap<Fingerprint, Common::RequestId> RunningContents;
  /// Requests that could not start although a server had capacity: they failed
  /// on it, are suspects, or must run on the server that already runs the same
  /// content. They are tried before the queues.
  std::vector<Common::RequestId> Deferred;
  Quarantine QuarantineState;
  PromptQuarantine PromptQuarantineState;
  std::map<Common::CallerId, Admission::Cost> UsageByCaller;
  std::vector<Common::RetryReason> RetryReasons;
  /// Refusals that the next poll returns.
  std::vector<RefuseAction> PendingRefusals;
};

} // namespace Routing

#endif
