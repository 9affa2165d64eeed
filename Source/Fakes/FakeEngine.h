#ifndef SYCAMOREREACH_FAKES_FAKEENGINE_H
#define SYCAMOREREACH_FAKES_FAKEENGINE_H

#include "Fakes/Announcer.h"
#include "Network/HttpServer.h"
#include "Routing/PrefixBlocks.h"

#include <deque>
#include <map>
#include <memory>
#include <set>

namespace Fakes {

struct FakeEngineOptions {
  Network::Address Listen;
  std::vector<Network::Address> Entries;
  std::string BackendToken;
  Membership::Announcement About;
  Common::Duration TokenDelay = std::chrono::milliseconds(5);
  /// Time for each prompt token that is not cached.
  Common::Duration PrefillPerToken = std::chrono::microseconds(100);
};

/// A stand-in for a model engine: it streams made-up tokens that depend on
/// the prompt only, runs a few requests at once, caches prompt prefixes, and
/// resumes streams. A prompt with the word CRASH-THE-ENGINE ends it.
class FakeEngine {
public:
  static absl::StatusOr<std::unique_ptr<FakeEngine>>
  create(Network::EventLoop &Loop, Network::HttpClient &Http,
         FakeEngineOptions Options);

  void announce() { this->Announcing.start(); }
  void leave();
  bool idle() const { return this->Running.empty() && this->Queue.empty(); }
  /// Runs when a prompt ends the engine.
  void onCrash(std::function<void()> Run) { this->Crash = std::move(Run); }

private:
  struct Stream;
  using StreamPtr = std::shared_ptr<Stream>;
  using ExchangePtr = std::shared_ptr<Network::HttpExchange>;

  FakeEngine(Network::EventLoop &Loop, Network::HttpClient &Http,
             FakeEngineOptions Options);
  void handle(const ExchangePtr &Exchange);
  void handleGeneration(const ExchangePtr &Exchange, bool Chat);
  void startQueued();
  void begin(const StreamPtr &Each);
  void emit(const StreamPtr &Each);
  void finish(const StreamPtr &Each);
  std::uint64_t cachePrompt(const std::string &Prompt);
  void describe(Membership::Announcement &About);
  std::string stats() const;

  Network::EventLoop &Loop;
  FakeEngineOptions Options;
  Announcer Announcing;
  std::unique_ptr<Network::HttpServer> Server;
  std::deque<StreamPtr> Queue;
  std::set<StreamPtr> Running;
  std::deque<Routing::BlockHash> CacheOrder;
  std::set<Routing::BlockHash> Cache;
  std::deque<Membership::CacheEvent> Events;
  std::uint64_t EventSequence = 0;
  std::uint64_t Requests = 0;
  std::uint64_t PrefillTokens = 0;
  std::uint64_t ResumedRequests = 0;
  std::uint64_t HighestFencing = 0;
  std::uint64_t LoadOrders = 0;
  std::function<void()> Crash;
};

} // namespace Fakes

#endif
