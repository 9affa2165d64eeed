#ifndef SYCAMOREREACH_FAKES_FAKECLOUD_H
#define SYCAMOREREACH_FAKES_FAKECLOUD_H

#include "Fakes/FakeEngine.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Fakes {

struct FakeCloudOptions {
  Network::Address Listen;
  std::vector<Network::Address> Entries;
  std::string BackendToken;
  std::vector<std::string> DataCentres;
  /// Hosts get the ports from here on.
  std::uint16_t FirstHostPort = 0;
  Common::Duration StartDelay = std::chrono::milliseconds(200);
  Common::Duration LoadDelay = std::chrono::milliseconds(300);
};

/// A stand-in for a cloud and its weight store: it offers reclaimable and
/// on-demand hosts, starts and stops them, takes data centres back with a
/// notice, and refuses to start hosts where it is told to. Each running host
/// has an agent that loads a model and then is a model engine.
///
///   GET /v1/offers, GET /v1/hosts, POST /v1/hosts, DELETE /v1/hosts/NAME
///   POST /v1/hosts/NAME/load {service, model, version, fencing}
///   POST /v1/reclaim {datacentre, notice_ms}, POST /v1/refuse {datacentre}
class FakeCloud {
public:
  static absl::StatusOr<std::unique_ptr<FakeCloud>>
  create(Network::EventLoop &Loop, Network::HttpClient &Http,
         FakeCloudOptions Options);
  ~FakeCloud();

private:
  struct Host;
  using ExchangePtr = std::shared_ptr<Network::HttpExchange>;

  FakeCloud(Network::EventLoop &Loop, Network::HttpClient &Http,
            FakeCloudOptions Options);
  void handle(const ExchangePtr &Exchange);
  void listOffers(const ExchangePtr &Exchange) const;
  void listHosts(const ExchangePtr &Exchange) const;
  void startHost(const ExchangePtr &Exchange);
  void stopHost(const ExchangePtr &Exchange, const std::string &Name);
  void load(const ExchangePtr &Exchange, const std::string &Name);
  void finishLoad(const std::string &Name);
  void reclaim(const ExchangePtr &Exchange);

  Network::EventLoop &Loop;
  Network::HttpClient &Http;
  FakeCloudOptions Options;
  std::unique_ptr<Network::HttpServer> Server;
  std::map<std::string, std::unique_ptr<Host>> Hosts;
  /// Answers to start orders by their idempotency key.
  std::map<std::string, std::string> StartedBy;
  std::vector<std::string> Refusing;
  std::uint64_t LastHost = 0;
  /// The weight store serves one load at a time.
  Common::TimePoint StoreFreeAt;
  /// Orders refused because of an old fencing number.
  std::uint64_t RefusedOrders = 0;
  std::uint64_t HighestFencing = 0;
  std::vector<Network::EventHandle> Timers;
};

} // namespace Fakes

#endif
