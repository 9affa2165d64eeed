#ifndef SYCAMOREREACH_NETWORK_HTTP1HEADSCANNER_H
#define SYCAMOREREACH_NETWORK_HTTP1HEADSCANNER_H

#include <cstddef>
#include <string>
#include <string_view>

namespace Network {

/// Checks the lines of a message's head for forms that http-parser accepts
/// although they are not HTTP/1.x (RFC 9112), and that HTTP implementations
/// interpret differently.
class Http1HeadScanner {
public:
  enum class StartLine { Request, Status };

  explicit Http1HeadScanner(StartLine Expected) : Expected(Expected) {}

  /// Takes the next bytes of a message; those behind the head are ignored.
  /// Returns false if the head is malformed.
  bool feed(std::string_view Bytes);
  /// How many of the bytes fed last belong to the head.
  std::size_t headBytes() const { return this->HeadBytes; }

private:
  /// Returns false if the line is malformed.
  bool endLine();

  StartLine Expected;
  bool InStartLine = true;
  bool Ended = false;
  /// A carriage return ends a line, together with a line feed.
  bool LineFeedDue = false;
  std::size_t HeadBytes = 0;
  /// Characters of the current line, without its end.
  std::size_t LineLength = 0;
  /// The status line without its end, as far as it has arrived.
  std::string StatusLine;
};

} // namespace Network

#endif
