#include "Network/DatagramSocket.h"

#include "Network/SocketAddress.h"

#include <absl/strings/str_cat.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Network {

DatagramSocket::DatagramSocket(const ClusterKey &Key, Handlers Handle)
    : Codec(Key), Handle(std::move(Handle)) {}

absl::StatusOr<std::unique_ptr<DatagramSocket>>
DatagramSocket::create(EventLoop &Loop, const Address &Listen,
                       const ClusterKey &Key, Handlers Handle) {
  std::unique_ptr<DatagramSocket> Result(
      new DatagramSocket(Key, std::move(Handle)));
  Result->Descriptor =
      socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in Where = toSocketAddress(Listen);
  if (Result->Descriptor < 0 ||
      bind(Result->Descriptor, reinterpret_cast<const sockaddr *>(&Where),
           sizeof(Where)) != 0)
    return absl::UnavailableError(absl::StrCat("cannot bind UDP ", Listen.str(),
                                               "; free the port or change it"));
  DatagramSocket *Self = Result.get();
  Result->Readable =
      Loop.onReadable(Result->Descriptor, [Self] { Self->receive(); });
  return Result;
}

DatagramSocket::~DatagramSocket() {
  this->Readable.cancel();
  if (this->Descriptor >= 0)
    close(this->Descriptor);
}

bool DatagramSocket::send(const Address &To, std::string_view Payload) {
  if (Payload.size() > MaxPayloadBytes)
    return false;
  const std::string Sealed = this->Codec.seal(Payload);
  const sockaddr_in Where = toSocketAddress(To);
  return sendto(this->Descriptor, Sealed.data(), Sealed.size(), 0,
                reinterpret_cast<const sockaddr *>(&Where),
                sizeof(Where)) == static_cast<ssize_t>(Sealed.size());
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
    auto Result = this->Codec.takeFrom(Buffer);
    if (auto *Whole = std::get_if<FrameCodec::Payload>(&Result))
      this->Handle.OnPayload(std::move(Whole->Bytes));
    else if (const auto *Reason = std::get_if<Common::RefusalReason>(&Result))
      this->Handle.OnRefused(*Reason);
    else
      this->Handle.OnRefused(Common::RefusalReason::DamagedFrame);
  }
}

} // namespace Network
