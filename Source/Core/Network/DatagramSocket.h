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

/// Sends and receives authenticated frames over UDP. Delivery is not
/// guaranteed: a datagram may be lost or duplicated.
class DatagramSocket {
public:
  /// Largest payload of one datagram, in bytes.
  static constexpr std::size_t MaxPayloadBytes = 60'000;

  struct Handlers {
    std::function<void(std::string)> OnPayload;
    std::function<void(Common::RefusalReason)> OnRefused;
  };

  static absl::StatusOr<std::unique_ptr<DatagramSocket>>
  create(EventLoop &Loop, const Address &Listen, const ClusterKey &Key,
         Handlers EventHandlers);
  ~DatagramSocket();

  /// Returns false when the payload is larger than MaxPayloadBytes or the
  /// operating system did not accept the datagram.
  bool send(const Address &To, std::string_view Payload);

private:
  DatagramSocket(const ClusterKey &Key, Handlers EventHandlers);
  void receive();

  FrameCodec Codec;
  Handlers EventHandlers;
  int Descriptor = -1;
  EventHandle ReadEvent;
};

} // namespace Network

#endif
