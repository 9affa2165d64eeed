#ifndef SYCAMOREREACH_POLICYBENCH_BENCHRUN_H
#define SYCAMOREREACH_POLICYBENCH_BENCHRUN_H

#include "Common/Random.h"
#include "Membership/PeerTable.h"
#include "PolicyBench/Scenario.h"
#include "Routing/Dispatcher.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace PolicyBench {

/// Simulates one scenario under one placement policy, in fixed time steps on a
/// simulated clock.
class BenchRun {
public:
  BenchRun(const Scenario &Setup, Policy Placement);
  RunResult run();

private:
  /// One request from its arrival to its completion or refusal.
  struct Request {
    Routing::DispatchRequest Dispatch;
    std::size_t Workload = 0;
    std::size_t Daemon = 0;
    std::size_t Engine = 0;
    Common::TimePoint ArrivedAt;
    bool InFlood = false;
    bool FirstTokenReceived = false;
    bool Crashes = false;
    std::uint64_t GeneratedTokens = 0;
  };
  struct Daemon {
    std::unique_ptr<Routing::Dispatcher> Dispatcher;
    std::unique_ptr<Membership::PeerTable> Peers;
    std::uint64_t Sequence = 0;
    std::uint64_t Salt = 0;
    bool NeedsPoll = true;
  };

  bool usesDispatcher() const {
    return this->Placement == Policy::Sycamore ||
           this->Placement == Policy::Omniscient;
  }
  bool inFlood() const;
  void schedule(Common::Duration Delay, std::function<void()> Run);
  void runScheduled();

  // Request generation and placement.
  void generateArrivals();
  void addRequest(std::size_t Workload, bool Crashes);
  std::size_t pickCaller(const Workload &Source);
  void fillPrompt(const Workload &Source, std::size_t Caller,
                  Request &NewRequest);
  void route(Request &Current);

  // Engines.
  void advanceEngines();
  void submit(Common::RequestId Id, std::size_t Engine);
  void handleEvent(std::size_t Engine, const EngineModel::Event &Event);
  void crashEngine(std::size_t Engine, bool ByRequest);
  void failEngines();
  void handleFirstToken(Request &Current);
  void handleFinished(Common::RequestId Id);
  void handleLost(const EngineJob &Job, std::size_t Engine);

  // Daemons.
  void pollDispatcher(std::size_t Index);
  void executeAction(std::size_t Index, const Routing::Action &Action);
  void broadcastDigests();
  void publishAnnouncements();
  void reportProgress();
  void recordRefusal(Common::RequestId Id, Common::RefusalReason Reason);
  Routing::ServerStatus serverStatus(std::size_t Engine) const;

  RunResult summarize();

  const Scenario &Setup;
  Policy Placement;
  Common::Random Randomness;
  Common::TimePoint Start;
  Common::TimePoint Now;
  std::vector<EngineModel> Engines;
  std::vector<std::uint64_t> AnnouncementSequences;
  std::vector<Daemon> Daemons;
  std::map<Common::RequestId, Request> Requests;
  std::multimap<Common::TimePoint, std::function<void()>> Scheduled;
  std::vector<std::size_t> ConversationTurns;
  std::vector<double> NextArrival;
  std::uint64_t LastRequest = 0;
  std::size_t NextEngine = 0;
  std::size_t LeastLoadIndex = 0;
  std::vector<std::size_t> ReportedLoads;
  Common::TimePoint NextCrash;
  bool EnginesFailed = false;
  Routing::Fingerprint CrashingContent = 4242;
  RunResult Result;
  std::map<Common::PriorityName, std::vector<double>> FirstTokenSeconds;
  std::map<Common::PriorityName, std::map<Common::CallerId, double>>
      CompletedCost;
  std::map<Common::PriorityName, double> FloodCost;
};

} // namespace PolicyBench

#endif
