#include "Network/DatagramSocket.h"

#include "Network/SocketAddress.h"

#include <absl/strings/str_cat.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Network {

DatagramSocket::DatagramSocket(const ClusterKey &Key, Handlers EventHandlers)
    : Codec(Key), EventHandlers(std::move(EventHandlers)) {}

absl::StatusOr<std::unique_ptr<DatagramSocket>>
DatagramSocket::create(EventLoop &Loop, const Address &Listen,
                       const ClusterKey &Key, Handlers EventHandlers) {
  std::unique_ptr<DatagramSocket> Result(
      new DatagramSocket(Key, std::move(EventHandlers)));
  Result->Descriptor =
      socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in SocketAddress = toSocketAddress(Listen);
  if (Result->Descriptor < 0 ||
      bind(Result->Descriptor,
           reinterpret_cast<const sockaddr *>(&SocketAddress),
           sizeof(SocketAddress)) != 0)
    return absl::UnavailableError(absl::StrCat("cannot bind UDP ", Listen.str(),
                                               "; free the port or change it"));
  DatagramSocket *Self = Result.get();
  Result->ReadEvent =
      Loop.onReadable(Result->Descriptor, [Self] { Self->receive(); });
  return Result;
}

DatagramSocket::~DatagramSocket() {
  this->ReadEvent.cancel();
  if (this->Descriptor >= 0)
    close(this->Descriptor);
}

bool DatagramSocket::send(const Address &To, std::string_view Payload) {
  if (Payload.size() > MaxPayloadBytes)
    return false;
  const std::string Frame = this->Codec.encodeFrame(Payload);
  const sockaddr_in SocketAddress = toSocketAddress(To);
  return sendto(this->Descriptor, Frame.data(), Frame.size(), 0,
                reinterpret_cast<const sockaddr *>(&SocketAddress),
                sizeof(SocketAddress)) == static_cast<ssize_t>(Frame.size());
}

void DatagramSocket::receive() {
  constexpr std::size_t MaxDatagramBytes = 65'536;
  std::string Buffer;
  while (true) {
    Buffer.resize(MaxDatagramBytes);
    const ssize_t Size =
        recv(this->Descriptor, Buffer.data(), Buffer.size(), 0);
    if (Size < 0)
      return;
    Buffer.resize(static_cast<std::size_t>(Size));
    auto Result = this->Codec.decodeFrame(Buffer);
    if (auto *Received = std::get_if<FrameCodec::Payload>(&Result))
      this->EventHandlers.OnPayload(std::move(Received->Bytes));
    else if (const auto *Reason = std::get_if<Common::RefusalReason>(&Result))
      this->EventHandlers.OnRefused(*Reason);
    else
      this->EventHandlers.OnRefused(Common::RefusalReason::DamagedFrame);
  }
}

} // namespace Network
