#ifndef SYCAMOREREACH_NETWORK_HTTP1SERVER_H
#define SYCAMOREREACH_NETWORK_HTTP1SERVER_H

#include "Network/Address.h"
#include "Network/EventLoop.h"
#include "Network/Http1Reader.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

struct bufferevent;
struct evconnlistener;

namespace Network {

namespace detail {
class Http1ServerConnection;
}

/// A complete request from a caller and its response. It stays valid after the
/// caller has disconnected; the response is then discarded.
class Http1Exchange {
public:
  const Http1Head &head() const { return this->Head; }
  const std::string &body() const { return *this->Body; }
  /// The same body, which the holder of the pointer keeps in memory.
  std::shared_ptr<const std::string> sharedBody() const { return this->Body; }
  Common::TimePoint receivedAt() const { return this->ReceivedAt; }
  /// The target without its query.
  std::string path() const;
  std::optional<std::string> header(std::string_view Name) const {
    return findHeader(this->Head.Headers, Name);
  }

  /// False once the response is complete or the caller has disconnected.
  bool isOpen() const { return this->Connection != nullptr; }
  /// Whether startStream() was called.
  bool isStreaming() const { return this->Streaming; }

  /// Sends a complete response. A head that HTTP/1.1 cannot carry is replaced
  /// by status 502.
  void reply(int Status, const HttpHeaders &Headers, std::string_view Body);
  /// Starts a response of unknown length with chunked encoding. If HTTP/1.1
  /// cannot carry the head, status 502 is sent instead and nothing follows.
  void startStream(int Status, const HttpHeaders &Headers);
  void sendChunk(std::string_view Bytes);
  void endStream();
  /// Closes the connection so that the caller sees an unfinished response as
  /// incomplete.
  void abort();
  /// Bytes of the response that are not yet written to the socket.
  std::size_t unsentBytes() const;
  /// Sets the handler that runs if the caller disconnects before the response
  /// is complete.
  void onCallerDisconnected(std::function<void()> Run) {
    this->DisconnectHandler = std::move(Run);
  }

private:
  friend class Http1Server;
  friend class detail::Http1ServerConnection;
  /// The response to a HEAD request has no body.
  bool isHeadRequest() const { return this->Head.Method == "HEAD"; }

  detail::Http1ServerConnection *Connection = nullptr;
  Http1Head Head;
  std::shared_ptr<const std::string> Body;
  Common::TimePoint ReceivedAt;
  bool Streaming = false;
  std::function<void()> DisconnectHandler;
};

/// HTTP/1.1 server on bufferevents and http-parser, for proxies. Unlike evhttp,
/// it exposes the exact bytes and the exact end of each message.
class Http1Server {
public:
  struct Limits {
    std::size_t MaxHeaderBytes = 16u << 10;
    std::size_t MaxBodyBytes = 4u << 20;
    /// Maximum time from the first byte of a request to the end of its head.
    Common::Duration HeaderTimeout = std::chrono::seconds(3);
    /// Maximum time without a byte of a body that has begun to arrive.
    Common::Duration BodyTimeout = std::chrono::seconds(30);
    /// Maximum time without progress in sending a finished response.
    Common::Duration SendTimeout = std::chrono::seconds(30);
    /// Maximum idle time of a keep-alive connection; it runs from the moment
    /// when the response is written.
    Common::Duration IdleTimeout = std::chrono::seconds(15);
  };
  /// Why a request was rejected before it reached OnRequest.
  enum class Rejection {
    Malformed,
    HeadersTooLarge,
    BodyTooLarge,
    HeaderTimeout,
    /// No byte of the body arrived for BodyTimeout, or for the stall time of
    /// the memory budget while that was exceeded.
    BodyStalled,
    /// The memory or descriptors of the process are exhausted.
    Overloaded,
  };
  /// Why a connection was closed.
  enum class Closure {
    /// Its last response was written.
    Complete,
    /// Its response was broken off with Http1Exchange::abort().
    Aborted,
    /// IdleTimeout, SendTimeout or LingerTimeout passed.
    Expired,
    /// The caller closed it, or it failed.
    Disconnected,
    /// The server stopped.
    Stopped,
  };
  struct ClosedConnection {
    Closure Reason;
    /// The exchange whose response is not completely written, or was aborted;
    /// null if there is none.
    std::shared_ptr<const Http1Exchange> Unfinished;
    /// Bytes of responses that were not written to the socket.
    std::size_t UnsentBytes = 0;
    /// Whether bytes of the caller were not parsed. If any of them were still
    /// in the socket, the connection was reset, which may also discard a
    /// response that has not arrived at the caller.
    bool HasUnreadInput = false;
  };
  struct Handlers {
    std::function<void(std::shared_ptr<Http1Exchange>)> OnRequest;
    std::function<void(Rejection)> OnRejected;
    std::function<void(const ClosedConnection &)> OnClosed;
  };

  /// Unavailable when the address cannot be bound.
  static absl::StatusOr<std::unique_ptr<Http1Server>>
  create(EventLoop &Loop, const Address &Listen, Handlers ServerHandlers);
  /// Creates a server that answers every request with the current result of
  /// Text, for example metrics. Unavailable when the address cannot be bound.
  static absl::StatusOr<std::unique_ptr<Http1Server>>
  serveText(EventLoop &Loop, const Address &Listen,
            std::function<std::string()> Text);
  ~Http1Server();

  /// A request that has begun to arrive keeps the size limits it began with.
  void setLimits(const Limits &ServerLimits) {
    this->ServerLimits = ServerLimits;
  }
  /// Closes each connection after its next response, and idle connections after
  /// IdleTimeout. A request that follows a response already begun is answered.
  void startShutdown(Common::Duration IdleTimeout);
  /// Number of exchanges whose request has begun to arrive and whose response
  /// is not completely written to the socket. Requests that are not read yet
  /// are counted only if there is no other exchange.
  std::size_t openExchanges() const;
  std::size_t connections() const { return this->Connections.size(); }
  /// Closes all connections.
  void closeAll();

private:
  friend class detail::Http1ServerConnection;
  Http1Server(EventLoop &Loop, Handlers ServerHandlers);
  void accept(int Descriptor);
  void erase(detail::Http1ServerConnection *Connection, Closure Reason);
  void closeExpiredConnections();

  EventLoop &Loop;
  Handlers ServerHandlers;
  Limits ServerLimits;
  evconnlistener *Listener = nullptr;
  std::map<detail::Http1ServerConnection *,
           std::unique_ptr<detail::Http1ServerConnection>>
      Connections;
  bool ShuttingDown = false;
  EventHandle ExpiryTimer;
};

} // namespace Network

#endif
