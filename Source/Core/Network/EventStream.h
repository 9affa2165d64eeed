#ifndef SYCAMOREREACH_NETWORK_EVENTSTREAM_H
#define SYCAMOREREACH_NETWORK_EVENTSTREAM_H

#include <string>
#include <string_view>
#include <vector>

namespace Network {

/// Splits a stream of server-sent events into the data of whole events.
class EventStreamReader {
public:
  /// An event larger than this ends the stream as damaged.
  static constexpr std::size_t MaxEventBytes = 1u << 20;

  /// The data of the events that Bytes completes.
  std::vector<std::string> feed(std::string_view Bytes);
  bool damaged() const { return this->Buffer.size() > MaxEventBytes; }

private:
  std::string Buffer;
};

/// One event with this data.
std::string eventOf(const std::string &Data);

} // namespace Network

#endif
