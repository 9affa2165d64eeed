#ifndef SYCAMOREREACH_FAULTTESTS_CONNECTIONCROWD_H
#define SYCAMOREREACH_FAULTTESTS_CONNECTIONCROWD_H

#include "Network/Address.h"

#include <cstddef>
#include <string>
#include <sys/types.h>
#include <vector>

namespace FaultTests {

/// Many connections to one address that send the same bytes, piece by piece in
/// turn, and stay open. Nothing here blocks; step() is called repeatedly.
class ConnectionCrowd {
public:
  struct Script {
    std::string Start = {};
    /// Sent repeatedly after Start, until MiddleBytes are sent.
    std::string Piece = {};
    std::size_t MiddleBytes = 0;
    std::string End = {};
    /// Whether what the daemon sends is received.
    bool Receives = true;
  };

  ConnectionCrowd(const Network::Address &To, int Connections, Script Lines);
  ~ConnectionCrowd();
  ConnectionCrowd(const ConnectionCrowd &) = delete;
  ConnectionCrowd &operator=(const ConnectionCrowd &) = delete;

  /// Sends a piece on each connection that accepts one, and receives. Returns
  /// whether any byte was sent or received, or any connection ended.
  bool step();
  /// Whether every connection has sent everything or was ended.
  bool isDone() const;

private:
  struct Member {
    int Descriptor = -1;
    std::size_t Sent = 0;
  };
  bool advance(Member &Each);
  std::size_t totalBytes() const;
  /// The next bytes of a member that has sent Offset bytes.
  const char *bytesAt(std::size_t Offset, std::size_t &Length) const;

  Script Lines;
  std::vector<Member> Members;
};

/// Peak resident memory of a process since its start, in bytes; 0 if it does
/// not exist.
std::size_t peakMemory(pid_t ProcessId);
/// Number of open descriptors of a process.
std::size_t openDescriptors(pid_t ProcessId);

} // namespace FaultTests

#endif
