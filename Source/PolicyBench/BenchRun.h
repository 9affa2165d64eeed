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

/// One run of a scenario under a policy, step by step on a paused clock.
class BenchRun {
public:
  BenchRun(const Scenario &Which, Policy How);
  Outcome run();

private:
  /// One request over its whole life.
  struct Request {
    Routing::DispatchRequest Work;
    std::size_t Stream = 0;
    std::size_t Daemon = 0;
    std::size_t Engine = 0;
    Common::TimePoint ArrivedAt;
    bool InFlood = false;
    bool FirstSeen = false;
    bool Crashes = false;
    std::uint64_t TokensDone = 0;
  };
  struct Daemon {
    std::unique_ptr<Routing::Dispatcher> Dispatcher;
    std::unique_ptr<Membership::PeerTable> Peers;
    std::uint64_t Sequence = 0;
    std::uint64_t Salt = 0;
    bool Dirty = true;
  };

  bool usesDispatcher() const {
    return this->How == Policy::Sycamore || this->How == Policy::AllSeeing;
  }
  bool inFlood() const;
  void later(Common::Duration Delay, std::function<void()> Run);
  void runDue();

  // Work.
  void arrivals();
  void arrive(std::size_t Stream, bool Crashes);
  std::size_t pickCaller(const Stream &From);
  void fillPrompt(const Stream &From, std::size_t Caller, Request &Added);
  void place(Request &Added);

  // Engines.
  void advanceEngines();
  void submit(Common::RequestId Id, std::size_t Engine);
  void handle(std::size_t Engine, const EngineModel::Event &What);
  void crashEngine(std::size_t Engine, bool ByRequest);
  void failShare();
  void firstToken(Request &Of);
  void finished(Common::RequestId Id);
  void lost(const EngineJob &Job, std::size_t Engine);

  // Daemons.
  void poll(std::size_t Index);
  void carryOut(std::size_t Index, const Routing::Action &Each);
  void sendDigests();
  void announce();
  void reportProgress();
  void refuse(Common::RequestId Id, Common::RefusalReason Reason);
  Routing::ServerStatus factsOf(std::size_t Engine) const;

  Outcome summarize();

  const Scenario &Given;
  Policy How;
  Common::Random Randomness;
  Common::TimePoint Start;
  Common::TimePoint Now;
  std::vector<EngineModel> Engines;
  std::vector<std::uint64_t> Announced;
  std::vector<Daemon> Daemons;
  std::map<Common::RequestId, Request> Requests;
  std::multimap<Common::TimePoint, std::function<void()>> Due;
  std::vector<std::size_t> Turns;
  std::vector<double> NextArrival;
  std::uint64_t LastRequest = 0;
  std::size_t NextServer = 0;
  std::size_t LeastLoadTurn = 0;
  std::vector<std::size_t> ReportedLoad;
  Common::TimePoint CrashAt;
  bool FailedShare = false;
  Routing::Fingerprint BadContent = 4242;
  Outcome Result;
  std::map<Common::PriorityName, std::vector<double>> FirstTokens;
  std::map<Common::PriorityName, std::map<Common::CallerId, double>> Served;
  std::map<Common::PriorityName, double> FloodWork;
};

} // namespace PolicyBench

#endif
