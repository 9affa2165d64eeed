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

/// One request of a caller, read whole, and the way to answer it. It stays
/// valid after the caller has gone; answers are then dropped.
class Http1Exchange {
public:
  const Http1Head &head() const { return this->Head; }
  const std::string &body() const { return this->Body; }
  std::string path() const;
  std::optional<std::string> header(std::string_view Name) const {
    return findHeader(this->Head.Headers, Name);
  }

  /// False once the answer is complete or the caller has gone.
  bool open() const { return this->Connection != nullptr; }
  bool streaming() const { return this->Streaming; }

  void reply(int Status, const HttpHeaders &Headers, std::string_view Body);
  /// Begins an answer of unknown length.
  void startStream(int Status, const HttpHeaders &Headers);
  void sendChunk(std::string_view Bytes);
  void endStream();
  /// Closes the connection so that an answer under way cannot look complete.
  void abort();
  /// Bytes of the answer that the caller has not read yet.
  std::size_t unsentBytes() const;
  /// Runs when the caller closes before the answer is complete.
  void onCallerGone(std::function<void()> Run) {
    this->CallerGone = std::move(Run);
  }

private:
  friend class Http1Server;
  friend class detail::Http1ServerConnection;
  detail::Http1ServerConnection *Connection = nullptr;
  Http1Head Head;
  std::string Body;
  bool Streaming = false;
  bool Chunked = false;
  std::function<void()> CallerGone;
};

/// An HTTP/1.1 server on bufferevents and http-parser. It takes the place of
/// evhttp where a proxy must see the exact bytes and ends of messages.
class Http1Server {
public:
  struct Limits {
    std::size_t MaxHeaderBytes = 16u << 10;
    std::size_t MaxBodyBytes = 4u << 20;
    /// Longest time from the first byte of a request to its whole head.
    Common::Duration HeaderTime = std::chrono::seconds(3);
    /// Longest idle time of a kept connection.
    Common::Duration IdleTime = std::chrono::seconds(15);
  };
  /// Why a request was answered without reaching the handler.
  enum class Rejection {
    Malformed,
    HeadersTooLarge,
    BodyTooLarge,
    HeaderTimeout,
  };
  struct Handlers {
    std::function<void(std::shared_ptr<Http1Exchange>)> OnRequest;
    std::function<void(Rejection)> OnRejected;
  };

  static absl::StatusOr<std::unique_ptr<Http1Server>>
  create(EventLoop &Loop, const Address &Listen, Handlers Handle);
  /// Answers every request with the text of that moment, such as metrics.
  static absl::StatusOr<std::unique_ptr<Http1Server>>
  serveText(EventLoop &Loop, const Address &Listen,
            std::function<std::string()> Text);
  ~Http1Server();

  void setLimits(const Limits &Bounds) { this->Bounds = Bounds; }
  /// From now on each answer closes its connection, and idle connections are
  /// closed once they have been idle for IdleLimit.
  void startClosing(Common::Duration IdleLimit);
  std::size_t openExchanges() const { return this->Open; }
  std::size_t connections() const { return this->Connections.size(); }

private:
  friend class detail::Http1ServerConnection;
  Http1Server(EventLoop &Loop, Handlers Handle);
  void accept(int Descriptor);
  void erase(detail::Http1ServerConnection *Gone);
  void checkIdle();

  EventLoop &Loop;
  Handlers Handle;
  Limits Bounds;
  evconnlistener *Listener = nullptr;
  std::map<detail::Http1ServerConnection *,
           std::unique_ptr<detail::Http1ServerConnection>>
      Connections;
  std::size_t Open = 0;
  bool Closing = false;
  EventHandle IdleCheck;
};

} // namespace Network

#endif
