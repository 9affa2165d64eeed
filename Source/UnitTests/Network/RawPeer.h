#ifndef SYCAMOREREACH_UNITTESTS_RAWPEER_H
#define SYCAMOREREACH_UNITTESTS_RAWPEER_H

#include "Network/Address.h"
#include "Network/EventLoop.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace UnitTests {

/// Test server that follows a script of raw responses, valid or not.
class RawServer {
public:
  /// How to treat a request. The steps apply to the requests in order of
  /// arrival, over all connections.
  struct Step {
    std::string Write;
    bool Close = false;
    /// Close with a TCP reset.
    bool Reset = false;
    /// Respond after the head, without waiting for the body.
    bool BeforeBody = false;
    /// Written before Write if the connection has carried another request: a
    /// late answer to that.
    std::string WriteIfReused = {};
    /// Send the end of the stream after Write; the connection stays open for
    /// reading.
    bool EndWriting = false;
    /// Leave in the socket what arrives after the request was answered.
    bool StopReading = false;
  };

  /// A ReceiveBufferBytes of 0 leaves the size of the receive buffers to the
  /// kernel.
  RawServer(Network::EventLoop &Loop, std::vector<Step> Script,
            int ReceiveBufferBytes = 0);
  ~RawServer();

  /// Writes to all connections that the peers have not closed, without a
  /// request.
  void write(const std::string &Bytes);
  /// Closes all connections with a TCP reset.
  void resetAll();

  Network::Address address() const { return this->ServerAddress; }
  /// The requests received so far. After a step with BeforeBody, part of the
  /// body may be missing.
  const std::vector<std::string> &requests() const { return this->Requests; }
  std::size_t connections() const { return this->ConnectionCount; }
  /// Bytes received over all connections.
  std::size_t bytes() const { return this->ByteCount; }

private:
  struct Peer {
    std::string Input;
    bool Reused = false;
    Network::EventHandle ReadEvent;
  };
  void accept();
  void read(int Descriptor);
  void runStep(int Descriptor);

  Network::EventLoop &Loop;
  std::vector<Step> Script;
  Network::Address ServerAddress;
  int Listener = -1;
  Network::EventHandle ReadEvent;
  std::map<int, Peer> Peers;
  std::vector<std::string> Requests;
  std::size_t ConnectionCount = 0;
  std::size_t ByteCount = 0;
};

/// Test client that sends arbitrary bytes and records the response.
class RawCaller {
public:
  /// A ReceiveBufferBytes of 0 leaves the size of the receive buffer to the
  /// kernel.
  RawCaller(Network::EventLoop &Loop, const Network::Address &To,
            int ReceiveBufferBytes = 0);
  ~RawCaller();

  void write(const std::string &Bytes);
  /// Sends an end of file and keeps reading.
  void endWriting();
  /// Leaves bytes that arrive in the socket until resumeReading().
  void pauseReading() { this->ReadEvent.cancel(); }
  void resumeReading();
  void close();
  const std::string &received() const { return this->Received; }
  /// Whether the server closed the connection.
  bool ended() const { return this->Ended; }

private:
  Network::EventLoop &Loop;
  int Descriptor = -1;
  std::string Received;
  bool Ended = false;
  Network::EventHandle ReadEvent;
};

/// Runs the loop until Done returns true; returns false after five seconds.
bool runUntil(Network::EventLoop &Loop, const std::function<bool()> &Done);

/// A loopback address that belongs to this process, so that test programs can
/// run side by side, with a port that it has not used before.
Network::Address allocateAddress();

} // namespace UnitTests

#endif
