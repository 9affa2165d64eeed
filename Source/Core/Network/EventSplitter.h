#ifndef SYCAMOREREACH_NETWORK_EVENTSPLITTER_H
#define SYCAMOREREACH_NETWORK_EVENTSPLITTER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Network {

/// Cuts a stream of server-sent events behind its whole events, without
/// changing a byte of them.
class EventSplitter {
public:
  /// An event larger than this ends the stream as damaged.
  static constexpr std::size_t MaxEventBytes = 1u << 20;

  /// The bytes of all events that Bytes completes.
  std::string feed(std::string_view Bytes);
  /// Whether part of an event is held back.
  bool midEvent() const { return !this->Held.empty(); }
  bool damaged() const { return this->Held.size() > MaxEventBytes; }
  std::uint64_t events() const { return this->Events; }
  /// The id of the last whole event that carried one.
  const std::optional<std::string> &lastId() const { return this->LastId; }

private:
  void note(std::string_view Event);

  std::string Held;
  std::uint64_t Events = 0;
  std::optional<std::string> LastId;
};

} // namespace Network

#endif
