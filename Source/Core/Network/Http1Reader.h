#ifndef SYCAMOREREACH_NETWORK_HTTP1READER_H
#define SYCAMOREREACH_NETWORK_HTTP1READER_H

#include "Network/HttpMessage.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Network {

/// The start line and headers of a message, as they were sent.
struct Http1Head {
  /// Empty for an answer.
  std::string Method;
  /// Path and query, byte for byte; empty for an answer.
  std::string Target;
  /// 0 for a request.
  int Status = 0;
  HttpHeaders Headers;
  /// Whether the connection may carry another message after this one.
  bool KeepAlive = false;
  /// An answer without a length: it ends with its connection.
  bool EndsWithConnection = false;
};

/// Parses HTTP/1.x messages incrementally with http-parser. It stops after
/// each message, so that bytes behind a message stay with the caller.
class Http1Reader {
public:
  enum class Kind { Requests, Answers };
  struct Limits {
    std::size_t MaxHeaderBytes = 16u << 10;
    std::size_t MaxBodyBytes = 4u << 20;
  };
  /// What stopped the last call of feed.
  enum class State {
    NeedsMore,
    Complete,
    Malformed,
    HeadersTooLarge,
    BodyTooLarge,
  };

  Http1Reader(Kind Of, Limits Bounds);
  ~Http1Reader();
  Http1Reader(const Http1Reader &) = delete;
  Http1Reader &operator=(const Http1Reader &) = delete;

  /// Consumes from the front of Bytes and returns how much was taken.
  std::size_t feed(std::string_view Bytes);
  /// The connection ended in an orderly way; true when that completes the
  /// message.
  bool endOfConnection();
  /// Starts over for the next message.
  void reset();
  /// The next answer belongs to a HEAD request: it ends with its head.
  void expectNoBody(bool Expected) { this->WithoutBody = Expected; }

  State state() const { return this->Now; }
  bool headComplete() const { return this->HeadDone; }
  /// Whether any byte of the current message has been read.
  bool started() const { return this->Started; }
  const Http1Head &head() const { return this->Head; }
  /// Body bytes decoded since the last call.
  std::string takeBody();
  const char *faultText() const;

private:
  struct Parser;
  friend struct Parser;

  /// Whether Bytes hold a header line that continues the one before: obsolete,
  /// and read differently by others.
  bool continuesHeader(std::string_view Bytes);

  Kind Of;
  Limits Bounds;
  std::unique_ptr<Parser> Raw;
  State Now = State::NeedsMore;
  bool HeadDone = false;
  bool Started = false;
  std::size_t HeaderBytes = 0;
  std::size_t BodyBytes = 0;
  Http1Head Head;
  std::string Body;
  bool LastWasValue = false;
  /// The last byte fed ended a line.
  bool AtLineStart = false;
  bool WithoutBody = false;
};

} // namespace Network

#endif
