#ifndef SYCAMOREREACH_FAULTTESTS_ROUTEDRAWSERVER_H
#define SYCAMOREREACH_FAULTTESTS_ROUTEDRAWSERVER_H

#include "Network/Address.h"
#include "Network/EventLoop.h"
#include "Network/Http1Reader.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace FaultTests {

/// An HTTP/1.1 server that sends any bytes at any time on its connections, also
/// answers that no request is due for.
class RoutedRawServer {
public:
  /// Numbers the connections of one server from 1.
  using ConnectionNumber = std::uint64_t;
  struct Arrival {
    ConnectionNumber Connection = 0;
    /// Requests that the connection has carried, with this one.
    int Use = 0;
    Network::Http1Head Head;
    std::string RequestId;
  };

  /// Throws std::runtime_error if it cannot listen.
  RoutedRawServer(Network::EventLoop &Loop, const Network::Address &Listen);
  ~RoutedRawServer();
  RoutedRawServer(const RoutedRawServer &) = delete;
  RoutedRawServer &operator=(const RoutedRawServer &) = delete;

  /// Does nothing if the connection is closed.
  void send(ConnectionNumber To, const std::string &Bytes);
  void close(ConnectionNumber Which);
  /// Closes the connection with a reset.
  void reset(ConnectionNumber Which);
  bool isOpen(ConnectionNumber Which) const {
    return this->Peers.count(Which) != 0;
  }

  /// Leaves what the peer sends in the socket.
  void stopReading(ConnectionNumber From);
  /// Sends the end of the stream; the connection stays open for reading.
  void endWriting(ConnectionNumber To);

  /// The head of a request has arrived. Optional; its handler may close the
  /// connection.
  std::function<void(const Arrival &)> OnHead;
  /// A request has arrived as a whole.
  std::function<void(const Arrival &)> OnRequest;
  /// The peer closed the connection.
  std::function<void(ConnectionNumber)> OnPeerClosed;

private:
  struct Peer;
  void accept();
  void read(ConnectionNumber From);

  Network::EventLoop &Loop;
  int Listener = -1;
  Network::EventHandle AcceptEvent;
  std::map<ConnectionNumber, std::unique_ptr<Peer>> Peers;
  ConnectionNumber LastConnection = 0;
};

/// Responses of a backend server.
namespace RawResponse {

/// A refusal of the request RequestId, which names no request if that is empty.
std::string refusal(const std::string &RequestId,
                    const std::string &RetryAfter = "");
/// A signed success.
std::string success(const std::string &RequestId, const std::string &Body);
/// The head of a signed stream of events that ends with its connection.
std::string streamHead(const std::string &RequestId);

} // namespace RawResponse

} // namespace FaultTests

#endif
