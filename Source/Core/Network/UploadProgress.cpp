#include "Network/UploadProgress.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace Network {

namespace {

/// Longer than a peer that reads needs to take the next bytes.
constexpr Common::Duration StallTime = std::chrono::seconds(1);

bool hasFailed(int Descriptor) {
  int Error = 0;
  socklen_t Size = sizeof(Error);
  return getsockopt(Descriptor, SOL_SOCKET, SO_ERROR, &Error, &Size) != 0 ||
         Error != 0;
}

/// Bytes in the send queue of the kernel that the peer has not acknowledged; 0
/// where the system does not tell.
std::size_t unacknowledgedBytes(int Descriptor) {
  int Bytes = 0;
  return ioctl(Descriptor, SIOCOUTQ, &Bytes) == 0 && Bytes > 0
             ? static_cast<std::size_t>(Bytes)
             : 0;
}

} // namespace

UploadProgress::State UploadProgress::observe(bufferevent *Socket,
                                              Common::TimePoint Now) {
  const int Descriptor = bufferevent_getfd(Socket);
  if (hasFailed(Descriptor))
    return State::Failed;
  const std::size_t Pending =
      evbuffer_get_length(bufferevent_get_output(Socket)) +
      unacknowledgedBytes(Descriptor);
  if (Pending == 0)
    return State::Acknowledged;
  if (Pending != this->PendingBytes)
    this->ProgressAt = Now;
  this->PendingBytes = Pending;
  return Now - this->ProgressAt < StallTime ? State::Pending : State::Stalled;
}

} // namespace Network
