#ifndef SYCAMOREREACH_ENTRYDAEMON_PLAINCALL_H
#define SYCAMOREREACH_ENTRYDAEMON_PLAINCALL_H

#include "EntryDaemon/CallerGate.h"
#include "EntryDaemon/EntryContext.h"
#include "EntryDaemon/ServiceDispatchers.h"
#include "Network/HttpServer.h"

#include <memory>
#include <optional>

namespace EntryDaemon {

/// A request to a plain service in the form sent to a backend server.
struct PlainRequest {
  Common::ServiceName Service;
  Network::HttpRequest Content;
  Routing::DispatchRequest Work;
};

/// The headers of a request or an answer to forward: all except those that
/// apply to a single connection, the caller's key and the requested priority.
Network::HttpHeaders forwardedHeaders(const Network::HttpHeaders &Headers);

/// Parses a request to /services/NAME/REST. Returns a refusal if there is no
/// plain service of that name.
std::variant<PlainRequest, Common::Refusal>
parsePlainRequest(const Network::HttpRequest &Request,
                  const CallerContext &Caller,
                  const Configuration::Declaration &Declared);

/// The reason to give for refusing a call that a server may have run. It does
/// not promise that the call was not run.
Common::RefusalReason reasonAfterRun(Common::RefusalReason Reason);

/// A call to a plain service that is idempotent and so may be retried.
class PlainCall : public std::enable_shared_from_this<PlainCall> {
public:
  /// Starts the call. The exchange always gets an answer.
  static void start(EntryContext &Context, ServiceDispatchers &Dispatchers,
                    const std::shared_ptr<Network::HttpExchange> &Exchange,
                    PlainRequest Request);

private:
  using ExchangePtr = std::shared_ptr<Network::HttpExchange>;

  PlainCall(EntryContext &Context, ServiceDispatchers &Dispatchers,
            ExchangePtr Exchange, PlainRequest Request);
  void admit();
  void send(const Common::BackendServerId &Server);
  void attemptEnded(Network::HttpCallResult Result,
                    Network::HttpResponse Answer);
  void refuse(Common::RefusalReason Reason);
  /// Answers the call at once, as the daemon stops.
  void interrupt();
  void stop();
  /// Cancels the attempt and leaves the dispatcher.
  void withdraw();

  EntryContext &Context;
  ServiceDispatchers &Dispatchers;
  ExchangePtr Exchange;
  PlainRequest Request;
  Common::TimePoint ArrivedAt;
  std::optional<Network::HttpAttempt> Attempt;
  Common::BackendServerId Server;
  /// Whether an attempt that ended may have run the call.
  bool MayHaveRun = false;
  bool Finished = false;
};

} // namespace EntryDaemon

#endif
