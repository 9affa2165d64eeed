#ifndef SYCAMOREREACH_POLICYBENCH_ENGINEMODEL_H
#define SYCAMOREREACH_POLICYBENCH_ENGINEMODEL_H

#include "Common/Ids.h"
#include "Common/Time.h"
#include "Membership/Announcement.h"
#include "Routing/PrefixBlocks.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace PolicyBench {

/// One request as an engine receives it.
struct EngineJob {
  Common::RequestId Id;
  /// Index of the entry daemon that sent it.
  std::size_t Daemon = 0;
  std::vector<Routing::BlockHash> Blocks;
  std::uint64_t PromptTokens = 0;
  /// Output tokens that remain to be generated.
  std::uint64_t RemainingTokens = 0;
  bool Crashes = false;
};

/// Capacity and speed of an engine.
struct EngineOptions {
  std::size_t Slots = 8;
  std::size_t CacheBlocks = 2000;
  /// Prompt tokens processed per second.
  double PrefillTokensPerSecond = 8000;
  /// Time per output token of a stream that runs alone.
  Common::Duration TokenInterval = std::chrono::milliseconds(20);
  /// Relative increase of the time per token with each running stream.
  double SlowdownPerStream = 0.05;
};

/// Simulates an inference engine with continuous batching and an LRU cache of
/// prompt prefixes. Requests beyond its slots wait in a queue.
class EngineModel {
public:
  EngineModel(EngineOptions Options, Common::BackendServerId ServerId)
      : Options(Options), ServerId(std::move(ServerId)) {}

  struct Event {
    enum class Kind { FirstToken, Finished, Crashed } EventKind;
    EngineJob Job;
  };

  void submit(const EngineJob &Job, Common::TimePoint Now);
  /// Removes a job and returns the number of tokens generated for it; 0 if it
  /// was queued or is unknown.
  std::uint64_t cancel(std::size_t Daemon, Common::RequestId Id);
  /// Advances the simulation to Now and returns the events in order.
  std::vector<Event> advance(Common::TimePoint Now);
  /// Stops the engine and clears its cache; returns all running and queued
  /// jobs.
  std::vector<EngineJob> crash();
  void restart();

  /// Tokens generated so far for a running job; 0 if it is not running.
  std::uint64_t progress(std::size_t Daemon, Common::RequestId Id) const;
  /// Number of leading blocks that are cached.
  std::size_t
  countCachedBlocks(const std::vector<Routing::BlockHash> &Blocks) const;
  std::vector<Membership::CacheEvent> takeCacheEvents();
  std::size_t running() const { return this->Active.size(); }
  std::size_t queued() const { return this->Queue.size(); }
  bool isAlive() const { return this->Alive; }
  std::uint64_t incarnation() const { return this->Incarnation; }
  const Common::BackendServerId &id() const { return this->ServerId; }
  const EngineOptions &options() const { return this->Options; }

  /// Total prompt tokens computed, without those found in the cache.
  std::uint64_t PrefillTokens = 0;
  std::uint64_t GeneratedTokens = 0;

private:
  struct ActiveRequest {
    EngineJob Job;
    double RemainingPrefill = 0;
    double GeneratedTokens = 0;
    bool FirstTokenSent = false;
  };
  void startQueued();
  void insertIntoCache(const std::vector<Routing::BlockHash> &Blocks);

  EngineOptions Options;
  Common::BackendServerId ServerId;
  std::deque<EngineJob> Queue;
  std::list<ActiveRequest> Active;
  std::list<Routing::BlockHash> LruOrder;
  std::unordered_map<Routing::BlockHash,
                     std::list<Routing::BlockHash>::iterator>
      Cache;
  std::vector<Membership::CacheEvent> Events;
  std::uint64_t EventSequence = 0;
  Common::TimePoint LastAdvance;
  bool Alive = true;
  std::uint64_t Incarnation = 1;
};

} // namespace PolicyBench

#endif
