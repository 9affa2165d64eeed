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
#include <vector>

struct bufferevent;
struct evconnlistener;

namespace Network {

/// Identifies an accepted connection of a FrameServer.
struct ConnectionId {
  std::uint64_t Value = 0;
  auto operator<=>(const ConnectionId &) const = default;
};

/// Accepts TCP connections that carry authenticated frames. Empty payloads are
/// keepalives and are echoed; an idle connection is closed.
class FrameServer {
public:
  struct Handlers {
    std::function<void(ConnectionId, std::string)> OnPayload;
    std::function<void(ConnectionId)> OnClosed;
    std::function<void(Common::RefusalReason)> OnRefused;
  };

  static absl::StatusOr<std::unique_ptr<FrameServer>>
  create(EventLoop &Loop, const Address &Listen, const ClusterKey &Key,
         Handlers EventHandlers);
  ~FrameServer();

  /// Sends to an open connection; does nothing if the connection is closed. A
  /// connection whose peer does not read is closed, so that the peer connects
  /// again instead of missing messages.
  void send(ConnectionId Connection, std::string_view Payload);
  /// Sends to several connections, which share the memory of the frame.
  void broadcast(const std::vector<ConnectionId> &To, std::string_view Payload);

private:
  struct Connection;
  FrameServer(EventLoop &Loop, const ClusterKey &Key, Handlers EventHandlers);
  void accept(int Descriptor);
  void read(Connection &Source);
  /// Frees what a connection holds, since the process exceeds its limits.
  void giveWay(Connection &Ended);
  void close(ConnectionId Connection);
  void write(ConnectionId To,
             const std::shared_ptr<const std::string> &EncodedFrame);

  EventLoop &Loop;
  FrameCodec Codec;
  Handlers EventHandlers;
  evconnlistener *Listener = nullptr;
  std::uint64_t LastConnectionId = 0;
  std::map<ConnectionId, std::unique_ptr<Connection>> Connections;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

/// A TCP connection to one daemon that reconnects after a failure or when the
/// peer stops responding. Keepalives detect a peer or network that drops
/// packets without closing the connection. Payloads sent while disconnected
/// are dropped; the caller retries.
class FrameClient {
public:
  struct Handlers {
    std::function<void(std::string)> OnPayload;
    std::function<void()> OnConnected;
    std::function<void()> OnDisconnected;
    std::function<void(Common::RefusalReason)> OnRefused;
  };

  FrameClient(EventLoop &Loop, Address To, const ClusterKey &Key,
              Handlers EventHandlers);
  ~FrameClient();
  FrameClient(const FrameClient &) = delete;
  FrameClient &operator=(const FrameClient &) = delete;

  bool isConnected() const { return this->Connected; }
  /// Part of a frame has arrived, and the rest is still to come.
  bool isReceiving() const { return !this->Buffer.empty(); }
  /// Connected, and data was received recently.
  bool isResponsive() const;
  /// Returns false if nothing was sent, because the connection is down or its
  /// output buffer is full.
  bool send(std::string_view Payload);
  /// Runs OnHandled once the peer has handled all payloads that were sent
  /// before. Does not run it if the connection fails before that is known.
  void whenHandled(std::function<void()> OnHandled);
  const Address &peer() const { return this->To; }

private:
  void connect();
  void read();
  void disconnect();
  void checkConnection();
  /// Returns false if nothing was sent.
  bool sendKeepAlive();
  void handleKeepAliveEcho();

  EventLoop &Loop;
  Address To;
  FrameCodec Codec;
  Handlers EventHandlers;
  bufferevent *Socket = nullptr;
  bool Connected = false;
  std::string Buffer;
  /// When data was last received, or the connection attempt started.
  Common::TimePoint LastContact;
  /// Keepalives sent and echoed on the current connection.
  std::uint64_t KeepAlivesSent = 0;
  std::uint64_t KeepAlivesEchoed = 0;
  /// Handlers of whenHandled, by the keepalive whose echo they wait for.
  std::multimap<std::uint64_t, std::function<void()>> HandledCallbacks;
  EventHandle ReconnectTimer;
  EventHandle KeepAliveTimer;
};

} // namespace Network

#endif
