#ifndef SYCAMOREREACH_UNITTESTS_RAWPEER_H
#define SYCAMOREREACH_UNITTESTS_RAWPEER_H

#include "Network/Address.h"
#include "Network/EventLoop.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace UnitTests {

/// A server that answers with scripted bytes, well or badly.
class RawServer {
public:
  /// What to do once the request of this number (from 0, over all connections)
  /// has arrived.
  struct Step {
    std::string Write;
    bool Close = false;
    bool Reset = false;
    /// Act on the head alone, before the body is there.
    bool Early = false;
  };

  RawServer(Network::EventLoop &Loop, std::vector<Step> Script);
  ~RawServer();

  Network::Address address() const { return this->Where; }
  /// Requests whose heads arrived, with what followed them.
  const std::vector<std::string> &requests() const { return this->Requests; }
  std::size_t connections() const { return this->Accepted; }
  /// All bytes that came in, over all connections.
  std::size_t bytes() const { return this->Bytes; }

private:
  struct Peer {
    std::string Input;
    Network::EventHandle Watch;
  };
  void accept();
  void read(int Descriptor);
  void act(int Descriptor);

  Network::EventLoop &Loop;
  std::vector<Step> Script;
  Network::Address Where;
  int Listener = -1;
  Network::EventHandle Watch;
  std::map<int, Peer> Peers;
  std::vector<std::string> Requests;
  std::size_t Accepted = 0;
  std::size_t Bytes = 0;
};

/// A caller that writes what it likes and keeps what comes back.
class RawCaller {
public:
  RawCaller(Network::EventLoop &Loop, const Network::Address &To);
  ~RawCaller();

  void write(const std::string &Bytes);
  void close();
  const std::string &received() const { return this->Received; }
  bool ended() const { return this->Ended; }

private:
  int Descriptor = -1;
  std::string Received;
  bool Ended = false;
  Network::EventHandle Watch;
};

/// Runs the loop until Done holds; false after five seconds.
bool runUntil(Network::EventLoop &Loop, const std::function<bool()> &Done);

/// A free port of this process's tests on the loopback address.
Network::Address freshAddress();

} // namespace UnitTests

#endif
