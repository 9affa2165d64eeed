#ifndef SYCAMOREREACH_NETWORK_FRAME_H
#define SYCAMOREREACH_NETWORK_FRAME_H

#include "Common/Refusal.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace Network {

/// The secret that all daemons of one installation share.
struct ClusterKey {
  std::string Secret;
};

/// Wraps payloads for transport between daemons: a magic number, the length,
/// an HMAC-SHA256 under the cluster key, and the payload.
class FrameCodec {
public:
  static constexpr std::size_t HeaderBytes = 40;
  static constexpr std::size_t MaxPayloadBytes = 16u << 20;

  /// Nothing whole has arrived yet.
  struct Incomplete {};
  struct Payload {
    std::string Bytes;
  };
  using ReadResult = std::variant<Incomplete, Payload, Common::RefusalReason>;

  explicit FrameCodec(ClusterKey Key) : Key(std::move(Key)) {}

  std::string seal(std::string_view Bytes) const;
  /// Takes one frame from the front of Buffer. After a refusal the stream has
  /// lost its framing and must be closed.
  ReadResult takeFrom(std::string &Buffer) const;

private:
  ClusterKey Key;
};

} // namespace Network

#endif
