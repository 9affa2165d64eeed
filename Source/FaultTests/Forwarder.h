#ifndef SYCAMOREREACH_FAULTTESTS_FORWARDER_H
#define SYCAMOREREACH_FAULTTESTS_FORWARDER_H

#include "Network/Address.h"
#include "Network/EventLoop.h"

#include <map>
#include <memory>
#include <string>

struct bufferevent;
struct ev_token_bucket_cfg;
struct evconnlistener;

namespace FaultTests {

/// Forwards TCP connections and UDP datagrams to a target. While blocked it
/// discards all data and keeps connections open, as a network partition does.
class Forwarder {
public:
  /// Throws std::runtime_error if the UDP socket cannot be bound.
  Forwarder(Network::EventLoop &Loop, const Network::Address &Listen,
            const Network::Address &Target);
  ~Forwarder();

  /// From now on, accepted connections carry at most BytesPerSecond from the
  /// target to the client.
  void limitRate(std::size_t BytesPerSecond);
  void block() { this->Blocked = true; }
  /// Forwards again. Discarded data stays lost, and open TCP connections are
  /// closed, as bytes are missing from their streams.
  void unblock();

private:
  struct Connection;
  void accept(int Descriptor);
  void forward(bufferevent *From, bufferevent *To) const;
  void remove(Connection *Closed);
  void forwardDatagrams() const;

  Network::EventLoop &Loop;
  Network::Address Target;
  evconnlistener *Listener = nullptr;
  int DatagramSocket = -1;
  Network::EventHandle DatagramEvent;
  std::map<Connection *, std::unique_ptr<Connection>> Connections;
  bool Blocked = false;
  /// Null if the rate is not limited.
  ev_token_bucket_cfg *RateLimit = nullptr;
};

} // namespace FaultTests

#endif
