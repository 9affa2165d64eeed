#ifndef SYCAMOREREACH_FAKES_RESTSWITCH_H
#define SYCAMOREREACH_FAKES_RESTSWITCH_H

#include "Network/EventLoop.h"
#include "Network/HttpServer.h"

#include <cstdint>
#include <memory>

namespace Fakes {

/// Lets a test put a fake server to rest: POST /rest/MILLISECONDS makes it
/// reject all requests for that time with 503 and a Retry-After of the time
/// left. GET /rest returns how many it rejected since, and how many of them
/// came although the caller knew: later than half a second after the first
/// rejection.
class RestSwitch {
public:
  explicit RestSwitch(Network::EventLoop &Loop) : Loop(Loop) {}

  /// Handles the exchange if it is one of the test's, or if the server rests.
  /// Returns whether it did.
  bool handle(const std::shared_ptr<Network::HttpExchange> &Exchange);

private:
  Network::EventLoop &Loop;
  Common::TimePoint RestUntil;
  Common::TimePoint FirstRejectionAt;
  std::uint64_t Rejected = 0;
  std::uint64_t RejectedLate = 0;
};

} // namespace Fakes

#endif
