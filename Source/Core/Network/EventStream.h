#ifndef SYCAMOREREACH_NETWORK_EVENTSTREAM_H
#define SYCAMOREREACH_NETWORK_EVENTSTREAM_H

#include <string>
#include <string_view>
#include <vector>

namespace Network {

/// Parses a stream of server-sent events and extracts the data of each event.
class EventStreamReader {
public:
  /// A stream with a larger event, in bytes, is treated as malformed.
  static constexpr std::size_t MaxEventBytes = 1u << 20;

  /// Returns the data of each event that Bytes completes. Events without data
  /// are left out.
  std::vector<std::string> feed(std::string_view Bytes);
  /// Whether the incomplete event exceeds MaxEventBytes.
  bool isOversized() const { return this->Buffer.size() > MaxEventBytes; }

private:
  std::string Buffer;
};

/// Formats a server-sent event with the given data, which must be a single
/// line.
std::string formatEvent(const std::string &Data);

} // namespace Network

#endif
