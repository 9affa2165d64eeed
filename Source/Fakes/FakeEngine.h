#ifndef SYCAMOREREACH_FAKES_FAKEENGINE_H
#define SYCAMOREREACH_FAKES_FAKEENGINE_H

#include "Fakes/Announcer.h"
#include "Fakes/RestSwitch.h"
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
  Membership::Announcement Announcement;
  /// Time between two output tokens.
  Common::Duration TokenDelay = std::chrono::milliseconds(5);
  /// Prefill time per prompt token that is not cached.
  Common::Duration PrefillPerToken = std::chrono::microseconds(100);
};

/// A fake model engine: it streams generated tokens that depend on the prompt
/// only, runs a limited number of requests concurrently, caches prompt prefixes
/// and resumes streams. A prompt containing CRASH-THE-ENGINE calls the crash
/// handler. RestSwitch makes the engine ask for rest.
class FakeEngine {
public:
  static absl::StatusOr<std::unique_ptr<FakeEngine>>
  create(Network::EventLoop &Loop, Network::HttpClient &Http,
         FakeEngineOptions Options);

  void announce() { this->BackendAnnouncer.start(); }
  void announceLeaving();
  bool isIdle() const {
    return this->RunningRequests.empty() && this->QueuedRequests.empty();
  }
  /// Handler is called when a prompt asks for a crash.
  void onCrash(std::function<void()> Handler) {
    this->OnCrash = std::move(Handler);
  }

private:
  struct GenerationRequest;
  using RequestPtr = std::shared_ptr<GenerationRequest>;
  using ExchangePtr = std::shared_ptr<Network::HttpExchange>;

  FakeEngine(Network::EventLoop &Loop, Network::HttpClient &Http,
             FakeEngineOptions Options);
  void handle(const ExchangePtr &Exchange);
  void handleGeneration(const ExchangePtr &Exchange, bool Chat);
  void startQueued();
  void startPrefill(const RequestPtr &Request);
  void sendNextToken(const RequestPtr &Request);
  void sendFinalEvent(const RequestPtr &Request);
  /// Adds the prompt to the cache, evicting the oldest blocks. Returns the
  /// number of tokens that were not cached.
  std::uint64_t cachePrompt(const std::string &Prompt);
  void updateAnnouncement(Membership::Announcement &Announcement);
  std::string stats() const;

  Network::EventLoop &Loop;
  FakeEngineOptions Options;
  RestSwitch Rest;
  Announcer BackendAnnouncer;
  std::unique_ptr<Network::HttpServer> Server;
  std::deque<RequestPtr> QueuedRequests;
  std::set<RequestPtr> RunningRequests;
  std::deque<Routing::BlockHash> CacheOrder;
  std::set<Routing::BlockHash> Cache;
  std::deque<Membership::CacheEvent> PendingCacheEvents;
  std::uint64_t EventSequence = 0;
  std::uint64_t Requests = 0;
  std::uint64_t PrefillTokens = 0;
  std::uint64_t ResumedRequests = 0;
  std::uint64_t HighestFencingNumber = 0;
  std::uint64_t LoadRequests = 0;
  std::function<void()> OnCrash;
};

} // namespace Fakes

#endif
