#ifndef SYCAMOREREACH_ROUTING_DISPATCHER_H
#define SYCAMOREREACH_ROUTING_DISPATCHER_H

#include "Admission/FairQueue.h"
#include "Admission/PriorityScheduler.h"
#include "Admission/RateEstimator.h"
#include "Common/Refusal.h"
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

/// A request as the dispatcher sees it.
struct DispatchRequest {
  Common::RequestId Id;
  Common::CallerId Caller;
  double CallerWeight = 1;
  Common::PriorityName Priority;
  /// Time from arrival to the first token or the answer.
  Common::Duration Target{};
  Routing::Fingerprint Fingerprint = 0;
  std::vector<BlockHash> Blocks;
  std::uint64_t AffinityKey = 0;
  std::uint64_t PromptTokens = 0;
  std::uint64_t ExpectedTokens = 1;
  /// A stream that can be cancelled and resumed.
  bool Resumable = false;
};

/// Send the request to the server.
struct StartAction {
  Common::RequestId Id;
  Common::BackendServerId Server;
};
/// Cancel the request's stream; it waits again and will be resumed.
struct PreemptAction {
  Common::RequestId Id;
  Common::BackendServerId Server;
};
/// Tell the caller; the request is forgotten.
struct RefuseAction {
  Common::RequestId Id;
  Common::RefusalReason Reason = Common::RefusalReason::QueueFull;
};
using Action = std::variant<StartAction, PreemptAction, RefuseAction>;

/// What went wrong with a request at a server.
enum class Failure {
  /// No byte was sent.
  ConnectFailed,
  /// The connection broke before any part of the answer.
  ConnectionLost,
  /// The connection broke within the answer; it can be resumed.
  StreamBroken,
  /// The server answered with an error and did not run the request.
  ServerError,
};

/// Whether parts of the policy are used; for comparisons.
struct DispatchOptions {
  ChoiceOptions Choice;
  bool Preempt = true;
  bool RefuseEarly = true;
  /// Requests that one service may have waiting.
  std::size_t MaxWaiting = 10'000;
  /// Servers that are tried for one request.
  std::size_t MaxAttempts = 4;
  /// An urgent request that has waited this share of its target makes a less
  /// urgent stream give way.
  double PreemptAfter = 0.15;
  /// Expected waits above this share of the target are refused at arrival.
  double RefuseAbove = 0.5;
  Common::Duration QuarantineDuration = std::chrono::minutes(10);
};

/// Decides for one service at one entry daemon which request runs where and
/// when. It does no I/O: callers report events and carry out the orders.
class Dispatcher {
public:
  explicit Dispatcher(DispatchOptions Options) : Options(Options) {}

  void configure(const std::map<Common::PriorityName, Admission::PriorityRule>
                     &Priorities);
  ServerPool &pool() { return this->Servers; }
  const ServerPool &pool() const { return this->Servers; }

  /// Why the request would not be taken in now.
  std::optional<Common::RefusalReason>
  checkAdmission(const DispatchRequest &Request, Common::TimePoint Now);
  /// Takes a request in, or says why not. Nothing was run in that case.
  std::optional<Common::RefusalReason> submit(DispatchRequest Request,
                                              Common::TimePoint Now);
  /// Takes a request back in that was accepted before; it is never refused.
  void readmit(DispatchRequest Request, Common::TimePoint Now);
  /// Decides what to do now. Part is this daemon's part of all windows.
  std::vector<Action> poll(double Share, std::uint64_t DaemonSalt,
                           Common::TimePoint Now);

  void onFirstToken(Common::RequestId Id, Common::TimePoint Now);
  /// Tokens of the answer that have arrived in all.
  void onProgress(Common::RequestId Id, std::uint64_t Tokens);
  void onFinished(Common::RequestId Id, Common::TimePoint Now);
  /// The request waits for another server, or a RefuseOrder follows.
  void onFailed(Common::RequestId Id, Failure Kind, Common::TimePoint Now);
  /// Nothing was sent for a reason that says nothing of the server; the
  /// request waits again.
  void requeue(Common::RequestId Id);
  /// The caller went away, or the request ended otherwise.
  void remove(Common::RequestId Id);
  /// A server failed while it ran these for some daemon.
  std::vector<Fingerprint>
  onServerFailed(const ServerIncarnation &Server,
                 const std::vector<Fingerprint> &Contents,
                 Common::TimePoint Now);
  /// Fingerprints of what this daemon runs at a server.
  std::vector<Fingerprint>
  runningAt(const Common::BackendServerId &Server) const;
  /// Use of a caller at other daemons.
  void chargeRemoteUsage(const Common::CallerId &Caller, Admission::Cost Usage,
                         Common::TimePoint Now);

  /// Waiting and running requests.
  std::size_t demand() const { return this->Requests.size(); }
  std::size_t waiting() const;
  /// Cost served to each caller since the last call.
  std::map<Common::CallerId, Admission::Cost> takeUsage();
  const Quarantine &quarantine() const { return this->QuarantineState; }
  /// The reasons of the retries since the last call.
  std::vector<Common::RetryReason> takeRetryReasons();

private:
  struct RequestState {
    DispatchRequest Work;
    Common::TimePoint Deadline;
    Common::TimePoint ArrivedAt;
    Common::TimePoint StartedAt;
    /// Empty while it waits.
    Common::BackendServerId Server;
    Admission::Cost Cost;
    std::uint64_t UncachedTokens = 0;
    std::uint64_t TokensReceived = 0;
    std::size_t Attempts = 0;
    bool WasPreempted = false;
    bool FirstTokenReceived = false;
    std::set<Common::BackendServerId> FailedAt;
    bool running() const { return !this->Server.empty(); }
  };

  Admission::Cost costOf(const DispatchRequest &Work) const;
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
  /// The server that runs a request with the same content, if any.
  std::optional<Common::BackendServerId>
  serverRunning(Fingerprint Content) const;
  bool isRestricted(const RequestState &State, Common::TimePoint Now) const;
  void startDeferred(std::vector<Action> &Actions, Common::TimePoint Now);
  void preempt(std::vector<Action> &Actions, Common::TimePoint Now);
  RequestState *choosePreemptionVictim(std::uint64_t UrgentRank,
                                       Common::TimePoint Now);
  void releaseServer(RequestState &State);
  /// Work that is left when the server goes on from the tokens done.
  Admission::Cost remainingCost(const RequestState &State) const;

  DispatchOptions Options;
  ServerPool Servers;
  Admission::PriorityScheduler Scheduler;
  Admission::RateEstimator Rate;
  std::map<Common::PriorityName, Admission::FairQueue> Queues;
  std::map<Common::PriorityName, RetryBudget> RetryBudgets;
  std::map<Common::RequestId, RequestState> Requests;
  /// Running requests by content.
  std::multimap<Fingerprint, Common::RequestId> RunningContents;
  /// Requests that no open server may take now; tried first.
  std::vector<Common::RequestId> Deferred;
  Quarantine QuarantineState;
  std::map<Common::CallerId, Admission::Cost> UsageByCaller;
  std::vector<Common::RetryReason> RetryReasons;
  /// Refusals that the next poll gives out.
  std::vector<RefuseAction> PendingRefusals;
};

} // namespace Routing

#endif
