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
  /// Host N listens on this port plus N, where N starts at 1.
  std::uint16_t FirstHostPort = 0;
  Common::Duration StartDelay = std::chrono::milliseconds(200);
  Common::Duration LoadDelay = std::chrono::milliseconds(300);
};

/// A fake cloud and weight store: it offers reclaimable and on-demand hosts,
/// starts and stops them, reclaims the reclaimable hosts of a data centre with
/// advance notice, and can be told to refuse new hosts in a data centre. Each
/// running host has an agent that loads a model and then runs a FakeEngine.
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
  void startLoad(const ExchangePtr &Exchange, const std::string &Name);
  void finishLoad(const std::string &Name);
  void reclaim(const ExchangePtr &Exchange);

  Network::EventLoop &Loop;
  Network::HttpClient &Http;
  FakeCloudOptions Options;
  std::unique_ptr<Network::HttpServer> Server;
  std::map<std::string, std::unique_ptr<Host>> Hosts;
  /// Names of the started hosts by the idempotency key of the request.
  std::map<std::string, std::string> HostsByIdempotencyKey;
  std::vector<std::string> DataCentresWithoutCapacity;
  std::uint64_t LastHostNumber = 0;
  /// When the pending loads end; the weight store serves one at a time.
  Common::TimePoint WeightStoreFreeAt;
  /// Load requests rejected because of an outdated fencing number.
  std::uint64_t RejectedLoads = 0;
  std::uint64_t HighestFencingNumber = 0;
  std::vector<Network::EventHandle> Timers;
};

} // namespace Fakes

#endif
