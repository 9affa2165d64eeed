#ifndef SYCAMOREREACH_NETWORK_FRAME_H
#define SYCAMOREREACH_NETWORK_FRAME_H

#include "Common/Refusal.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace Network {

/// The secret shared by all daemons of a cluster.
struct ClusterKey {
  std::string Secret;
};

/// Encodes and decodes the frames sent between daemons. A frame consists of a
/// magic number, the payload length, an HMAC-SHA256 of the payload under the
/// cluster key, and the payload.
class FrameCodec {
public:
  static constexpr std::size_t HeaderBytes = 40;
  static constexpr std::size_t MaxPayloadBytes = 16u << 20;

  /// The buffer does not hold a complete frame yet.
  struct Incomplete {};
  struct Payload {
    std::string Bytes;
  };
  using DecodeResult = std::variant<Incomplete, Payload, Common::RefusalReason>;

  explicit FrameCodec(ClusterKey Key) : Key(std::move(Key)) {}

  std::string encodeFrame(std::string_view Bytes) const;
  /// Removes one frame from the front of Buffer and returns its payload. After
  /// a refusal the frame boundaries of the stream are unknown, and the caller
  /// must close it.
  DecodeResult decodeFrame(std::string &Buffer) const;

private:
  ClusterKey Key;
};

} // namespace Network

#endif
