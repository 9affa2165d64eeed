#ifndef SYCAMOREREACH_FAKES_FAKESERVICE_H
#define SYCAMOREREACH_FAKES_FAKESERVICE_H

#include "Fakes/Announcer.h"
#include "Fakes/RestSwitch.h"
#include "Network/HttpServer.h"

#include <map>
#include <memory>

namespace Fakes {

struct FakeServiceOptions {
  Network::Address Listen;
  std::vector<Network::Address> Entries;
  std::string BackendToken;
  Membership::Announcement Announcement;
  /// Time to run a request.
  Common::Duration Delay{};
  /// File to which each run is appended as a line CALLER/KEY; may be empty.
  std::string RunsFile;
};

/// A fake plain service with requests that must not be repeated. It counts the
/// POST requests that it runs for each caller and idempotency key; GET /runs
/// returns the counts, and GET /large an answer of 32 MiB. After running a
/// request whose body contains CLOSE-AFTER-RUN it calls the crash handler
/// instead of sending a response. RestSwitch makes it ask for rest.
class FakeService {
public:
  static absl::StatusOr<std::unique_ptr<FakeService>>
  create(Network::EventLoop &Loop, Network::HttpClient &Http,
         FakeServiceOptions Options);

  void announce() { this->BackendAnnouncer.start(); }
  void announceLeaving() { this->BackendAnnouncer.announceLeaving(); }
  bool isIdle() const { return this->Server->openExchanges() == 0; }
  /// Handler is called when a request has asked for a crash.
  void onCrash(std::function<void()> Handler) {
    this->OnCrash = std::move(Handler);
  }

private:
  using ExchangePtr = std::shared_ptr<Network::HttpExchange>;
  FakeService(Network::EventLoop &Loop, Network::HttpClient &Http,
              FakeServiceOptions Options);
  void handle(const ExchangePtr &Exchange);
  void run(const ExchangePtr &Exchange);

  Network::EventLoop &Loop;
  FakeServiceOptions Options;
  RestSwitch Rest;
  Announcer BackendAnnouncer;
  std::unique_ptr<Network::HttpServer> Server;
  /// Number of runs by caller and idempotency key.
  std::map<std::string, std::uint64_t> Runs;
  std::map<const Network::HttpExchange *, Network::EventHandle> Timers;
  std::function<void()> OnCrash;
};

} // namespace Fakes

#endif
