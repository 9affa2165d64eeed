#ifndef SYCAMOREREACH_NETWORK_HTTPSERVER_H
#define SYCAMOREREACH_NETWORK_HTTPSERVER_H

#include "Network/Address.h"
#include "Network/EventLoop.h"
#include "Network/HttpMessage.h"

#include <functional>
#include <memory>

struct evhttp;
struct evhttp_connection;
struct evhttp_request;

namespace Network {

/// One request of a caller and the way to answer it. It stays valid after
/// the caller has gone; answers are then dropped.
class HttpExchange : public std::enable_shared_from_this<HttpExchange> {
public:
  ~HttpExchange();

  const HttpRequest &request() const { return this->Request; }
  /// False once the answer is complete or the caller has gone.
  bool open() const { return this->Raw != nullptr; }
  bool streaming() const { return this->Streaming; }

  void reply(const HttpAnswer &Answer);
  void startStream(int Status, const HttpHeaders &Headers);
  void sendChunk(std::string_view Bytes);
  void endStream();
  /// Runs when the caller closes before the answer is complete.
  void onCallerGone(std::function<void()> Run);

private:
  friend class HttpServer;
  HttpExchange() = default;
  void watchCaller();
  void callerClosed();
  void finish();

  EventLoop *Loop = nullptr;
  evhttp_request *Raw = nullptr;
  evhttp_connection *Connection = nullptr;
  std::shared_ptr<std::size_t> OpenCount;
  HttpRequest Request;
  bool Streaming = false;
  std::function<void()> CallerGone;
  EventHandle Closed;
  std::shared_ptr<HttpExchange> SelfWhileOpen;
};

/// An HTTP server on evhttp.
class HttpServer {
public:
  struct Limits {
    std::size_t MaxHeaderBytes = 16u << 10;
    std::size_t MaxBodyBytes = 4u << 20;
  };
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

  static absl::StatusOr<std::unique_ptr<HttpServer>>
  create(EventLoop &Loop, const Address &Listen, const Limits &Bounds,
         Handler Handle);
  ~HttpServer();

  /// Takes no further connections; open exchanges go on.
  void stopAccepting();
  /// Exchanges whose answer is not complete.
  std::size_t openExchanges() const { return *this->OpenCount; }

private:
  HttpServer(EventLoop &Loop, Handler Handle);
  void receive(evhttp_request *Raw);

  EventLoop &Loop;
  Handler Handle;
  evhttp *Server = nullptr;
  void *Listener = nullptr;
  std::shared_ptr<std::size_t> OpenCount = std::make_shared<std::size_t>(0);
};

} // namespace Network

#endif
