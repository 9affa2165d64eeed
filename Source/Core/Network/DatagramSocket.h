#ifndef SYCAMOREREACH_NETWORK_DATAGRAMSOCKET_H
#define SYCAMOREREACH_NETWORK_DATAGRAMSOCKET_H

#include "Common/Refusal.h"
#include "Network/Address.h"
#include "Network/EventLoop.h"
#include "Network/Frame.h"

#include <functional>
#include <memory>
#include <string>

namespace Network {

/// Sealed payloads over UDP; any of them may be lost or repeated.
class DatagramSocket {
public:
  /// Largest payload that one datagram carries.
  static constexpr std::size_t MaxPayloadBytes = 60'000;

  struct Handlers {
    std::function<void(std::string)> OnPayload;
    std::function<void(Common::RefusalReason)> OnRefused;
  };

  static absl::StatusOr<std::unique_ptr<DatagramSocket>>
  create(EventLoop &Loop, const Address &Listen, const ClusterKey &Key,
         Handlers Handle);
  ~DatagramSocket();

  /// False when the payload is too large or the system refused it.
  bool send(const Address &To, std::string_view Payload);

private:
  DatagramSocket(const ClusterKey &Key, Handlers Handle);
  void receive();

  FrameCodec Codec;
  Handlers Handle;
  int Descriptor = -1;
  EventHandle Readable;
};

} // namespace Network

#endif
