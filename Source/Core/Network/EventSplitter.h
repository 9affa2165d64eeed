#ifndef SYCAMOREREACH_NETWORK_EVENTSPLITTER_H
#define SYCAMOREREACH_NETWORK_EVENTSPLITTER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Network {

/// Splits a stream of server-sent events at event boundaries and passes the
/// complete events on unchanged.
class EventSplitter {
public:
  /// A stream with a larger event, in bytes, is treated as malformed.
  static constexpr std::size_t MaxEventBytes = 1u << 20;

  /// Returns the bytes of all events that Bytes completes.
  std::string feed(std::string_view Bytes);
  /// Whether an incomplete event is buffered.
  bool hasPartialEvent() const { return !this->Buffer.empty(); }
  /// Whether the incomplete event exceeds MaxEventBytes.
  bool isOversized() const { return this->Buffer.size() > MaxEventBytes; }
  /// Complete events so far; events that hold only comments do not count.
  std::uint64_t eventCount() const { return this->EventCount; }
  /// The id of the first complete event that had one.
  const std::optional<std::string> &firstEventId() const {
    return this->FirstEventId;
  }
  /// The id of the last complete event that had one.
  const std::optional<std::string> &lastEventId() const {
    return this->LastEventId;
  }

private:
  void recordEvent(std::string_view Event);

  std::string Buffer;
  std::uint64_t EventCount = 0;
  std::optional<std::string> FirstEventId;
  std::optional<std::string> LastEventId;
};

} // namespace Network

#endif
