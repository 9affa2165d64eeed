#ifndef SYCAMOREREACH_NETWORK_HTTPCLIENT_H
#define SYCAMOREREACH_NETWORK_HTTPCLIENT_H

#include "Network/Address.h"
#include "Network/EventLoop.h"
#include "Network/HttpMessage.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace Network {

/// What became of a call to another server.
enum class CallResult {
  /// A whole answer arrived.
  Answered,
  /// No byte of the request was given to a connection: it did not run.
  NotSent,
  /// The request was sent, in part or whole, and the answer is missing.
  Lost,
};

/// How a call may be carried.
enum class ConnectionUse {
  /// Take an idle connection where there is one.
  Pooled,
  /// Open a connection for this call alone; for calls that may not be
  /// repeated, so that a connect failure proves that nothing was sent.
  Fresh,
};

struct HttpCall {
  Address To;
  HttpRequest Request;
  /// Longest silence before the call is given up.
  Common::Duration Timeout = std::chrono::seconds(30);
  ConnectionUse Use = ConnectionUse::Pooled;
};

struct HttpCallHandlers {
  /// Status and headers, before any part of the body.
  std::function<void(const HttpAnswer &)> OnStart;
  /// With this set, the body is handed over in parts and not kept.
  std::function<void(std::string)> OnChunk;
  std::function<void(CallResult, HttpAnswer)> OnDone;
};

/// A call under way. Destroying it does not cancel it.
class HttpAttempt {
public:
  /// Closes the connection; OnDone does not run.
  void cancel();

private:
  friend class HttpClient;
  struct State;
  explicit HttpAttempt(std::shared_ptr<State> Held) : Held(std::move(Held)) {}
  std::shared_ptr<State> Held;
};

/// Calls other servers through evhttp; it never sends a request again.
class HttpClient {
public:
  explicit HttpClient(EventLoop &Loop);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  HttpAttempt start(HttpCall Call, HttpCallHandlers Handle);

private:
  friend class HttpAttempt;
  struct Connection;
  static constexpr std::size_t MaxIdlePerAddress = 64;

  std::unique_ptr<Connection> takeIdle(const Address &To);
  std::unique_ptr<Connection> open(const Address &To);
  void release(std::unique_ptr<Connection> Used, bool Reusable);
  void complete(const std::shared_ptr<HttpAttempt::State> &Attempt,
                CallResult Result, HttpAnswer Answer);

  EventLoop &Loop;
  std::map<Address, std::vector<std::unique_ptr<Connection>>> Idle;
  std::map<HttpAttempt::State *, std::shared_ptr<HttpAttempt::State>> Active;
};

} // namespace Network

#endif
