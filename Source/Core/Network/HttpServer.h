#ifndef SYCAMOREREACH_NETWORK_HTTPSERVER_H
#define SYCAMOREREACH_NETWORK_HTTPSERVER_H

#include "Network/Address.h"
#include "Network/EventLoop.h"
#include "Network/HttpMessage.h"

#include <functional>
#include <memory>
#include <set>

struct evhttp;
struct evhttp_bound_socket;
struct evhttp_connection;
struct evhttp_request;

namespace Network {

/// A request from a caller and its response. It stays valid after the caller
/// has disconnected; the response is then discarded.
class HttpExchange : public std::enable_shared_from_this<HttpExchange> {
public:
  ~HttpExchange();

  const HttpRequest &request() const { return this->Request; }
  /// False once the whole response has been passed on for sending or the
  /// caller has disconnected.
  bool isOpen() const { return this->RawRequest != nullptr; }
  /// Whether startStream() was called.
  bool isStreaming() const { return this->Streaming; }

  /// Sends a complete response. A head that HTTP/1.1 cannot carry is replaced
  /// by status 502.
  void reply(const HttpResponse &Response);
  /// Starts a response of unknown length. If HTTP/1.1 cannot carry the head,
  /// status 502 is sent instead and nothing follows.
  void startStream(int Status, const HttpHeaders &Headers);
  void sendChunk(std::string_view Bytes);
  void endStream();
  /// Sets the handler that runs if the caller disconnects before the response
  /// is complete.
  void onCallerDisconnected(std::function<void()> Run);
  /// Sets the handler that runs if the daemon must stop before the response is
  /// complete. It has to complete the response.
  void onInterrupted(std::function<void()> Run);

private:
  friend class HttpServer;
  /// What the exchanges of a server share; it outlives the server.
  struct ServerState {
    std::set<HttpExchange *> OpenExchanges;
    bool ShuttingDown = false;
  };
  HttpExchange() = default;
  void watchConnection();
  void handleDisconnect();
  /// Ends the part in which handlers may respond. The exchange counts as open
  /// until the response is written or its connection ends.
  evhttp_request *takeRequest();
  void finish();
  void addResponseHeaders(const HttpHeaders &Headers);

  EventLoop *Loop = nullptr;
  evhttp_request *RawRequest = nullptr;
  evhttp_connection *Connection = nullptr;
  std::shared_ptr<ServerState> Server;
  HttpRequest Request;
  bool Streaming = false;
  std::function<void()> DisconnectHandler;
  std::function<void()> InterruptHandler;
  EventHandle PeerClosedEvent;
  /// Keeps this exchange alive until it is no longer open.
  std::shared_ptr<HttpExchange> SelfWhileOpen;
};

/// HTTP server on evhttp.
class HttpServer {
public:
  struct Limits {
    std::size_t MaxHeaderBytes = 16u << 10;
    std::size_t MaxBodyBytes = 4u << 20;
  };
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

  /// Unavailable when the address cannot be bound.
  static absl::StatusOr<std::unique_ptr<HttpServer>>
  create(EventLoop &Loop, const Address &Listen, const Limits &ServerLimits,
         Handler OnRequest);
  ~HttpServer();

  /// Announces the close of the connection in each further response.
  void startShutdown();
  /// Accepts the connections that already wait and stops listening. Open
  /// connections and exchanges continue.
  void stopAccepting();
  /// Runs the interrupt handlers of all exchanges that are not complete, and
  /// closes the connections of those without one.
  void interruptExchanges();
  /// Number of exchanges whose response is not completely written to the
  /// socket.
  std::size_t openExchanges() const {
    return this->State->OpenExchanges.size();
  }

private:
  HttpServer(EventLoop &Loop, Handler OnRequest);
  void handleRequest(evhttp_request *RawRequest);
  bool hasWaitingConnections() const;

  EventLoop &Loop;
  Handler OnRequest;
  evhttp *Server = nullptr;
  evhttp_bound_socket *Listener = nullptr;
  EventHandle StopAcceptingTimer;
  std::shared_ptr<HttpExchange::ServerState> State =
      std::make_shared<HttpExchange::ServerState>();
};

} // namespace Network

#endif
