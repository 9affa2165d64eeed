#ifndef SYCAMOREREACH_NETWORK_HTTPCLIENT_H
#define SYCAMOREREACH_NETWORK_HTTPCLIENT_H

#include "Network/Address.h"
#include "Network/EventLoop.h"
#include "Network/Http1Client.h"
#include "Network/HttpMessage.h"

#include <functional>
#include <memory>

namespace Network {

/// How a call to another server ended.
enum class HttpCallResult {
  /// A complete response arrived.
  Complete,
  /// No byte of the request was written to a connection, so the server did not
  /// execute it.
  NotSent,
  /// The request was sent, at least in part, but no complete response arrived.
  /// The server may have executed it.
  Incomplete,
  /// What arrived is no response in HTTP/1.x, or exceeds the limits of one. The
  /// server may have executed the request.
  Malformed,
};

/// Which connection a call uses.
enum class ConnectionPolicy {
  /// Open a new connection for this call. What arrives on it answers this call
  /// and no other, and a connect failure proves that nothing was sent.
  Dedicated,
  /// Reuse an idle connection if there is one. Answers do not name their
  /// request, so a late or repeated answer to an earlier call is taken for the
  /// answer to this one. Only for servers that are known to send none.
  Pooled,
};

struct HttpCall {
  Address To;
  HttpRequest Request;
  /// Maximum time to open the connection, until the head of the response is
  /// complete, and between parts of its body.
  Common::Duration Timeout = std::chrono::seconds(30);
  ConnectionPolicy Policy = ConnectionPolicy::Dedicated;
};

struct HttpCallHandlers {
  /// Status and headers have arrived; the body is still empty.
  std::function<void(const HttpResponse &)> OnHead;
  /// Receives the body in parts. If set, the response passed to OnDone has an
  /// empty body.
  std::function<void(std::string)> OnBody;
  /// Runs once, unless the call is cancelled.
  std::function<void(HttpCallResult, HttpResponse)> OnDone;
};

/// Handle of a call in progress. Destroying it does not cancel the call.
class HttpAttempt {
public:
  /// Closes the connection; OnDone does not run.
  void cancel();
  /// The same, if no byte of the request was written. Returns whether that was
  /// so.
  bool cancelIfUnsent();

private:
  friend class HttpClient;
  struct State;
  explicit HttpAttempt(std::shared_ptr<State> SharedState)
      : SharedState(std::move(SharedState)) {}
  std::shared_ptr<State> SharedState;
};

/// Calls with whole requests, on Http1Client. It never retries a request.
/// Fields of a request that HTTP cannot carry are left out.
class HttpClient {
public:
  explicit HttpClient(EventLoop &Loop) : Client(Loop) {}
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  HttpAttempt start(HttpCall Call, HttpCallHandlers Handlers);

private:
  Http1Client Client;
};

} // namespace Network

#endif
