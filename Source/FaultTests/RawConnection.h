#ifndef SYCAMOREREACH_FAULTTESTS_RAWCONNECTION_H
#define SYCAMOREREACH_FAULTTESTS_RAWCONNECTION_H

#include <string>

namespace FaultTests {

/// A blocking loopback connection for arbitrary bytes. Its receive buffer is
/// small, so that what is not received stays with the daemon.
class RawConnection {
public:
  explicit RawConnection(int Port);
  ~RawConnection();
  RawConnection(const RawConnection &) = delete;
  RawConnection &operator=(const RawConnection &) = delete;

  /// Returns false if not all bytes could be sent.
  bool send(const std::string &Bytes) const;
  /// Receives until the daemon ends the connection.
  std::string receiveAll() const;

private:
  int Descriptor = -1;
};

} // namespace FaultTests

#endif
