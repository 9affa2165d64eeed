#include "FaultTests/ConnectionCrowd.h"

#include "Network/SocketAddress.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <sys/socket.h>
#include <unistd.h>

namespace FaultTests {

namespace {

/// What one connection sends at most before the next one's turn.
constexpr std::size_t MaxSendBytes = 64u << 10;
/// A small receive buffer keeps a response that is not received in the daemon.
constexpr int ReceiveBufferBytes = 16 << 10;

} // namespace

ConnectionCrowd::ConnectionCrowd(const Network::Address &To, int Connections,
                                 Script Lines)
    : Lines(std::move(Lines)), Members(static_cast<std::size_t>(Connections)) {
  const sockaddr_in Endpoint = Network::toSocketAddress(To);
  for (Member &Each : this->Members) {
    Each.Descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    setsockopt(Each.Descriptor, SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes,
               sizeof(ReceiveBufferBytes));
    if (connect(Each.Descriptor, reinterpret_cast<const sockaddr *>(&Endpoint),
                sizeof(Endpoint)) != 0 &&
        errno != EINPROGRESS) {
      close(Each.Descriptor);
      Each.Descriptor = -1;
    }
  }
}

ConnectionCrowd::~ConnectionCrowd() {
  for (const Member &Each : this->Members)
    if (Each.Descriptor >= 0)
      close(Each.Descriptor);
}

std::size_t ConnectionCrowd::totalBytes() const {
  return this->Lines.Start.size() + this->Lines.MiddleBytes +
         this->Lines.End.size();
}

const char *ConnectionCrowd::bytesAt(std::size_t Offset,
                                     std::size_t &Length) const {
  if (Offset < this->Lines.Start.size()) {
    Length = this->Lines.Start.size() - Offset;
    return this->Lines.Start.data() + Offset;
  }
  Offset -= this->Lines.Start.size();
  if (Offset < this->Lines.MiddleBytes) {
    const std::size_t InPiece = Offset % this->Lines.Piece.size();
    Length = std::min(this->Lines.Piece.size() - InPiece,
                      this->Lines.MiddleBytes - Offset);
    return this->Lines.Piece.data() + InPiece;
  }
  Offset -= this->Lines.MiddleBytes;
  Length = this->Lines.End.size() - Offset;
  return this->Lines.End.data() + Offset;
}

bool ConnectionCrowd::advance(Member &Each) {
  bool Progress = false;
  if (this->Lines.Receives) {
    std::array<char, MaxSendBytes> Buffer{};
    const ssize_t Received =
        recv(Each.Descriptor, Buffer.data(), Buffer.size(), 0);
    if (Received == 0 || (Received < 0 && errno != EAGAIN &&
                          errno != EWOULDBLOCK && errno != ENOTCONN)) {
      close(Each.Descriptor);
      Each.Descriptor = -1;
      return true;
    }
    Progress = Received > 0;
  }
  if (Each.Sent == this->totalBytes())
    return Progress;
  std::size_t Length = 0;
  const char *Bytes = this->bytesAt(Each.Sent, Length);
  const ssize_t Accepted = send(Each.Descriptor, Bytes,
                                std::min(Length, MaxSendBytes), MSG_NOSIGNAL);
  if (Accepted > 0) {
    Each.Sent += static_cast<std::size_t>(Accepted);
    return true;
  }
  if (errno == EAGAIN || errno == EWOULDBLOCK || errno == ENOTCONN)
    return Progress;
  close(Each.Descriptor);
  Each.Descriptor = -1;
  return true;
}

bool ConnectionCrowd::step() {
  bool Progress = false;
  for (Member &Each : this->Members)
    if (Each.Descriptor >= 0)
      Progress = this->advance(Each) || Progress;
  return Progress;
}

bool ConnectionCrowd::isDone() const {
  return std::all_of(
      this->Members.begin(), this->Members.end(), [this](const Member &Each) {
        return Each.Descriptor < 0 || Each.Sent == this->totalBytes();
      });
}

std::size_t peakMemory(pid_t ProcessId) {
  std::ifstream Status("/proc/" + std::to_string(ProcessId) + "/status");
  std::string Name;
  while (Status >> Name) {
    if (Name == "VmHWM:") {
      std::size_t Kilobytes = 0;
      Status >> Kilobytes;
      return Kilobytes << 10;
    }
    std::getline(Status, Name);
  }
  return 0;
}

std::size_t openDescriptors(pid_t ProcessId) {
  std::error_code Error;
  const std::filesystem::directory_iterator Folder(
      "/proc/" + std::to_string(ProcessId) + "/fd", Error);
  return static_cast<std::size_t>(std::distance(begin(Folder), end(Folder)));
}

} // namespace FaultTests
