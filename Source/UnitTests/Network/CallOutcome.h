#ifndef SYCAMOREREACH_UNITTESTS_CALLOUTCOME_H
#define SYCAMOREREACH_UNITTESTS_CALLOUTCOME_H

#include "Network/Http1Client.h"

#include <memory>
#include <optional>
#include <string>

namespace UnitTests {

/// How a call ended, and what its handlers were given.
struct CallOutcome {
  std::optional<Network::Http1CallResult> CallResult;
  int Status = 0;
  std::string Body;

  bool isDone() const { return this->CallResult.has_value(); }
};

/// Sends a POST with Body to To.
inline std::shared_ptr<CallOutcome>
post(Network::Http1Client &Client, const Network::Address &To,
     std::string Body = "",
     Common::Duration IdleTimeout = std::chrono::seconds(5)) {
  auto Result = std::make_shared<CallOutcome>();
  Network::Http1Call Request;
  Request.To = To;
  Request.Method = "POST";
  Request.Target = "/x";
  Request.Headers = {{"Host", "h"}};
  Request.Body = std::move(Body);
  Request.IdleTimeout = IdleTimeout;
  Network::Http1CallHandlers Handlers;
  Handlers.OnHead = [Result](const Network::Http1Head &Head) {
    Result->Status = Head.Status;
    return true;
  };
  Handlers.OnBody = [Result](const std::string &Part) { Result->Body += Part; };
  Handlers.OnDone = [Result](Network::Http1CallResult CallResult) {
    Result->CallResult = CallResult;
  };
  Client.start(std::move(Request), std::move(Handlers));
  return Result;
}

} // namespace UnitTests

#endif
