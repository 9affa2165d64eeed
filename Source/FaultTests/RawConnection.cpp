#include "FaultTests/RawConnection.h"

#include "Network/SocketAddress.h"

#include <stdexcept>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>
#include <vector>

namespace FaultTests {

namespace {

constexpr int ReceiveBufferBytes = 64 << 10;
/// Generous for a loaded machine; only a failing test waits this long.
constexpr timeval ReceiveTimeout = {25, 0};

} // namespace

RawConnection::RawConnection(int Port)
    : Descriptor(socket(AF_INET, SOCK_STREAM, 0)) {
  setsockopt(this->Descriptor, SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes,
             sizeof(ReceiveBufferBytes));
  setsockopt(this->Descriptor, SOL_SOCKET, SO_RCVTIMEO, &ReceiveTimeout,
             sizeof(ReceiveTimeout));
  const sockaddr_in Endpoint =
      Network::toSocketAddress({"127.0.0.1", static_cast<std::uint16_t>(Port)});
  if (connect(this->Descriptor, reinterpret_cast<const sockaddr *>(&Endpoint),
              sizeof(Endpoint)) != 0)
    throw std::runtime_error("cannot connect to port " + std::to_string(Port));
}

RawConnection::~RawConnection() { close(this->Descriptor); }

bool RawConnection::send(const std::string &Bytes) const {
  return ::send(this->Descriptor, Bytes.data(), Bytes.size(), MSG_NOSIGNAL) ==
         static_cast<ssize_t>(Bytes.size());
}

std::string RawConnection::receiveAll() const {
  std::string Received;
  std::vector<char> Buffer(ReceiveBufferBytes);
  ssize_t Length = 0;
  while ((Length = recv(this->Descriptor, Buffer.data(), Buffer.size(), 0)) > 0)
    Received.append(Buffer.data(), static_cast<std::size_t>(Length));
  return Received;
}

} // namespace FaultTests
