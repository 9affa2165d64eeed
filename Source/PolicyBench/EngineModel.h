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

/// One request at an engine.
struct EngineJob {
  Common::RequestId Id;
  /// Which entry daemon sent it.
  std::size_t Daemon = 0;
  std::vector<Routing::BlockHash> Blocks;
  std::uint64_t PromptTokens = 0;
  /// Tokens still to be generated.
  std::uint64_t Tokens = 0;
  bool Crashes = false;
};

struct EngineRules {
  std::size_t Slots = 8;
  std::size_t CacheBlocks = 2000;
  /// Prompt tokens that the engine works off in a second.
  double PrefillPerSecond = 8000;
  /// Time between two tokens of a stream with an idle engine.
  Common::Duration TokenTime = std::chrono::milliseconds(20);
  /// How much each further running stream slows all of them.
  double SlowdownPerStream = 0.05;
};

/// A model engine as the policy sees it: it batches continuously, caches
/// prompt prefixes and evicts the least recently used, and runs what is over
/// its slots later.
class EngineModel {
public:
  EngineModel(EngineRules Rules, Common::BackendServerId Id)
      : Rules(Rules), Name(std::move(Id)) {}

  struct Event {
    enum class Kind { FirstToken, Finished, Crashed } What;
    EngineJob Job;
  };

  void submit(const EngineJob &Job, Common::TimePoint Now);
  /// Takes a job out; returns the tokens that it has generated.
  std::uint64_t cancel(std::size_t Daemon, Common::RequestId Id);
  /// Lets time pass; events come in order.
  std::vector<Event> advance(Common::TimePoint Now);
  /// All that runs or waits is lost.
  std::vector<EngineJob> crash();
  void restart();

  /// Tokens generated for a job so far.
  std::uint64_t progress(std::size_t Daemon, Common::RequestId Id) const;
  /// Leading blocks that are cached.
  std::size_t cached(const std::vector<Routing::BlockHash> &Blocks) const;
  std::vector<Membership::CacheEvent> takeCacheEvents();
  std::size_t running() const { return this->Active.size(); }
  std::size_t queued() const { return this->Queue.size(); }
  bool alive() const { return this->Alive; }
  std::uint64_t life() const { return this->Life; }
  const Common::BackendServerId &id() const { return this->Name; }
  const EngineRules &rules() const { return this->Rules; }

  /// Prompt tokens computed, in all.
  std::uint64_t PrefillTokens = 0;
  std::uint64_t GeneratedTokens = 0;

private:
  struct Stream {
    EngineJob Job;
    double PrefillLeft = 0;
    double TokensDone = 0;
    bool FirstSeen = false;
  };
  void begin();
  void store(const std::vector<Routing::BlockHash> &Blocks);

  EngineRules Rules;
  Common::BackendServerId Name;
  std::deque<EngineJob> Queue;
  std::list<Stream> Active;
  std::list<Routing::BlockHash> Order;
  std::unordered_map<Routing::BlockHash,
                     std::list<Routing::BlockHash>::iterator>
      Cache;
  std::vector<Membership::CacheEvent> Events;
  std::uint64_t EventSequence = 0;
  Common::TimePoint AdvancedTo;
  bool Alive = true;
  std::uint64_t Life = 1;
};

} // namespace PolicyBench

#endif
