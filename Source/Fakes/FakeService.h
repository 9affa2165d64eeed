#ifndef SYCAMOREREACH_FAKES_FAKESERVICE_H
#define SYCAMOREREACH_FAKES_FAKESERVICE_H

#include "Fakes/Announcer.h"
#include "Network/HttpServer.h"

#include <map>
#include <memory>

namespace Fakes {

struct FakeServiceOptions {
  Network::Address Listen;
  std::vector<Network::Address> Entries;
  std::string BackendToken;
  Membership::Announcement About;
  Common::Duration Delay{};
  /// Each run is appended here as 'CALLER/KEY'; may be empty.
  std::string RunsFile;
};

/// A stand-in for a plain service with calls that may not be repeated. It
/// writes down every call that it runs: POST counts for the key it carries.
/// GET /runs lists the counts. A body with CLOSE-AFTER-RUN runs the call and
/// closes without an answer.
class FakeService {
public:
  static absl::StatusOr<std::unique_ptr<FakeService>>
  create(Network::EventLoop &Loop, Network::HttpClient &Http,
         FakeServiceOptions Options);

  void announce() { this->Announcing.start(); }
  void leave() { this->Announcing.leave(); }
  bool idle() const { return this->Server->openExchanges() == 0; }
  /// Runs after a call that asked to lose its answer was run.
  void onCrash(std::function<void()> Run) { this->Crash = std::move(Run); }

private:
  using ExchangePtr = std::shared_ptr<Network::HttpExchange>;
  FakeService(Network::EventLoop &Loop, Network::HttpClient &Http,
              FakeServiceOptions Options);
  void handle(const ExchangePtr &Exchange);
  void run(const ExchangePtr &Exchange);

  Network::EventLoop &Loop;
  FakeServiceOptions Options;
  Announcer Announcing;
  std::unique_ptr<Network::HttpServer> Server;
  /// Times that each caller and key was run.
  std::map<std::string, std::uint64_t> Runs;
  std::map<const Network::HttpExchange *, Network::EventHandle> Timers;
  std::function<void()> Crash;
};

} // namespace Fakes

#endif
