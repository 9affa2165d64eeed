#ifndef SYCAMOREREACH_NETWORK_FRAMESOCKET_H
#define SYCAMOREREACH_NETWORK_FRAMESOCKET_H

#include "Common/Refusal.h"
#include "Network/Address.h"
#include "Network/EventLoop.h"
#include "Network/Frame.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

struct bufferevent;
struct evconnlistener;

namespace Network {

/// One accepted connection of a FrameServer.
struct ConnectionId {
  std::uint64_t Value = 0;
  auto operator<=>(const ConnectionId &) const = default;
};

/// Accepts TCP connections that carry sealed frames. Empty payloads are
/// keepalives and are sent back; a silent connection is closed.
class FrameServer {
public:
  struct Handlers {
    std::function<void(ConnectionId, std::string)> OnPayload;
    std::function<void(ConnectionId)> OnClosed;
    std::function<void(Common::RefusalReason)> OnRefused;
  };

  static absl::StatusOr<std::unique_ptr<FrameServer>>
  create(EventLoop &Loop, const Address &Listen, const ClusterKey &Key,
         Handlers Handle);
  ~FrameServer();

  /// Sends to an open connection; nothing happens on a closed one.
  void send(ConnectionId Connection, std::string_view Payload);

private:
  struct Connection;
  FrameServer(EventLoop &Loop, const ClusterKey &Key, Handlers Handle);
  void accept(int Descriptor);
  void read(Connection &From);
  void close(ConnectionId Connection);

  EventLoop &Loop;
  FrameCodec Codec;
  Handlers Handle;
  evconnlistener *Listener = nullptr;
  std::uint64_t LastConnection = 0;
  std::map<ConnectionId, std::unique_ptr<Connection>> Connections;
};

/// A TCP connection to one daemon that is opened again after it breaks or
/// falls silent: a network that drops silently, or a peer that vanished, says
/// nothing by itself. Payloads given while it is down are dropped; callers
/// resend.
class FrameLink {
public:
  struct Handlers {
    std::function<void(std::string)> OnPayload;
    std::function<void()> OnUp;
    std::function<void()> OnDown;
    std::function<void(Common::RefusalReason)> OnRefused;
  };

  FrameLink(EventLoop &Loop, Address To, const ClusterKey &Key,
            Handlers Handle);
  ~FrameLink();
  FrameLink(const FrameLink &) = delete;
  FrameLink &operator=(const FrameLink &) = delete;

  bool up() const { return this->Connected; }
  /// Up, and heard of lately.
  bool alive() const;
  /// False when the link is down and nothing was sent.
  bool send(std::string_view Payload);
  const Address &peer() const { return this->To; }

private:
  void connect();
  void read();
  void drop();
  void keepAlive();

  EventLoop &Loop;
  Address To;
  FrameCodec Codec;
  Handlers Handle;
  bufferevent *Socket = nullptr;
  bool Connected = false;
  std::string Buffer;
  /// When the peer was last heard, or the connection was begun.
  Common::TimePoint HeardAt;
  EventHandle Reconnect;
  EventHandle KeepAlive;
};

} // namespace Network

#endif
