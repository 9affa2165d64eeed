#ifndef SYCAMOREREACH_ENTRYDAEMON_PLAINCALL_H
#define SYCAMOREREACH_ENTRYDAEMON_PLAINCALL_H

#include "EntryDaemon/CallerGate.h"
#include "EntryDaemon/EntryContext.h"
#include "EntryDaemon/Lanes.h"
#include "Network/HttpServer.h"

#include <memory>
#include <optional>

namespace EntryDaemon {

/// A call for a plain service as it goes to a backend server.
struct PlainRequest {
  Common::ServiceName Service;
  Network::HttpRequest Content;
  Routing::WorkRequest Work;
};

/// Headers of a request or an answer that concern one connection only, and
/// the caller's key, are not passed on.
Network::HttpHeaders passedOn(const Network::HttpHeaders &Headers);

/// Reads /services/NAME/REST.
std::variant<PlainRequest, Common::Refusal>
parsePlainRequest(const Network::HttpRequest &Request,
                  const CallerContext &Caller,
                  const Configuration::Declaration &Declared);

/// One call that may be repeated without harm.
class PlainCall : public std::enable_shared_from_this<PlainCall> {
public:
  /// Answers the exchange in any case.
  static void start(EntryContext &Context, Lanes &Services,
                    const std::shared_ptr<Network::HttpExchange> &Exchange,
                    PlainRequest Request);

private:
  using ExchangePtr = std::shared_ptr<Network::HttpExchange>;

  PlainCall(EntryContext &Context, Lanes &Services, ExchangePtr Exchange,
            PlainRequest Request);
  void admit();
  void send(const Common::BackendServerId &Server);
  void attemptEnds(Network::HttpCallResult Result,
                   Network::HttpResponse Answer);
  void refuse(Common::RefusalReason Reason);
  void stop();

  EntryContext &Context;
  Lanes &Services;
  ExchangePtr Exchange;
  PlainRequest Request;
  Common::TimePoint ArrivedAt;
  std::optional<Network::HttpAttempt> Attempt;
  Common::BackendServerId Server;
  bool Ended = false;
};

} // namespace EntryDaemon

#endif
