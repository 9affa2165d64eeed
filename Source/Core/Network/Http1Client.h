#ifndef SYCAMOREREACH_NETWORK_HTTP1CLIENT_H
#define SYCAMOREREACH_NETWORK_HTTP1CLIENT_H

#include "Network/Address.h"
#include "Network/EventLoop.h"
#include "Network/Http1Reader.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

struct bufferevent;

namespace Network {

/// How a call to a backend server ended.
enum class Http1CallResult {
  /// A complete response arrived.
  Complete,
  /// No byte of the request was written to a connection, so the server did not
  /// execute it.
  NotSent,
  /// The same, because MayWrite withheld the request.
  Withheld,
  /// The request was sent, at least in part, but no response started. The
  /// server may have executed it.
  NoResponse,
  /// The response started but did not complete.
  Truncated,
  /// What arrived is no response in HTTP/1.x, or exceeds the limits of one. It
  /// proves nothing: the server may have executed the request.
  Malformed,
};

struct Http1Call {
  Address To;
  std::string Method;
  std::string Target;
  HttpHeaders Headers;
  /// What the server repeats in its response to say which request it answers.
  /// The request gets a connection that has not carried it before, so that a
  /// response with this id cannot be a late one to an earlier send of the same
  /// request. Absent if responses name no request.
  std::optional<std::string> CorrelationId;
  std::string Body;
  /// Sent instead of Body if it is set, without a copy.
  std::shared_ptr<const std::string> SharedBody;
  /// Maximum time to open a connection.
  Common::Duration ConnectTimeout = std::chrono::milliseconds(250);
  /// Maximum time until the head of the response is complete, and between parts
  /// of its body. Interim responses do not extend it.
  Common::Duration IdleTimeout = std::chrono::seconds(30);
  /// The connection fails when sent data stays unacknowledged for this long. A
  /// network that drops packets silently reports no error by itself.
  Common::Duration AcknowledgementTimeout = std::chrono::seconds(3);
  /// Whether the connection, once its response has begun, is closed by a reset.
  /// Otherwise each closed connection keeps its port for a minute, and 470
  /// calls a second to one server take all ports.
  bool ResetOnClose = false;
  /// Whether the request gets a new connection, which is closed after it. For
  /// requests whose response cannot be told from a late one to another request.
  bool OwnConnection = false;
  /// Pooled connections that were idle for longer are not reused.
  Common::Duration MaxReuseIdleTime = std::chrono::seconds(3);
};

struct Http1CallHandlers {
  /// Asked immediately before the request is written, as a call may have waited
  /// for its connection. If it returns false, the call ends as Withheld.
  std::function<bool()> MayWrite;
  /// The request was handed to an open connection.
  std::function<void()> OnSent;
  /// The head of a response arrived. Returns false to skip a response that
  /// belongs to another request.
  std::function<bool(const Http1Head &)> OnHead;
  std::function<void(std::string)> OnBody;
  /// Runs once, unless the call is cancelled.
  std::function<void(Http1CallResult)> OnDone;
};

/// The connection of a call, and how many requests it has carried with this
/// one.
struct ConnectionUse {
  /// Counts the connections of a client from 1; 0 before the request was
  /// written.
  std::uint64_t Connection = 0;
  std::uint32_t Use = 0;
};

/// HTTP/1.1 client for backend servers with a pool of keep-alive connections.
/// It never retries a request. A response without a length is complete if its
/// connection ends in an orderly way, and is not reset while the rest of the
/// request is under way.
class Http1Client {
public:
  /// A call in progress; the client keeps it alive until it ends.
  class ActiveCall;
  using CallPtr = std::shared_ptr<ActiveCall>;

  explicit Http1Client(EventLoop &Loop);
  /// Ends all calls without running another handler.
  ~Http1Client();
  Http1Client(const Http1Client &) = delete;
  Http1Client &operator=(const Http1Client &) = delete;

  CallPtr start(Http1Call Request, Http1CallHandlers Handlers);
  /// Closes the connection of the call without running another handler.
  static void cancel(const CallPtr &Call);
  /// Pauses or resumes reading the response, for backpressure from a slow
  /// consumer.
  static void pauseReading(const CallPtr &Call, bool Pause);
  /// Valid from OnSent until the call ends.
  static ConnectionUse connectionUse(const CallPtr &Call);

private:
  struct Connection;
  static constexpr std::size_t MaxIdlePerAddress = 64;

  void finishCall(ActiveCall &Call, Http1CallResult Result);
  /// The most recently used idle connection that is still usable and has not
  /// carried the request's correlation id, or null.
  std::unique_ptr<Connection> acquireIdle(const Http1Call &Request);
  /// Null when connecting fails immediately.
  std::unique_ptr<Connection> open(const Address &To);
  void connect(const CallPtr &Call);
  /// Ends the call unless its request may be written. Returns whether it did.
  bool withhold(ActiveCall &Call);
  void writeRequest(ActiveCall &Call);
  void handleInput(Connection &Source);
  void handleEvent(Connection &Source, short Events);
  /// Ends a call whose response ends with the connection, once it is known what
  /// becomes of the rest of its request.
  void endWithConnection(const CallPtr &Call);
  /// Does nothing unless the connection is idle.
  void closeIdle(const Connection &Source);
  void closeExpiredConnections();

  EventLoop &Loop;
  std::map<Address, std::vector<std::unique_ptr<Connection>>> IdleConnections;
  std::map<ActiveCall *, CallPtr> ActiveCalls;
  EventHandle ExpiryTimer;
  std::uint64_t LastConnection = 0;
};

} // namespace Network

#endif
