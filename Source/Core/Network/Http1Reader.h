#ifndef SYCAMOREREACH_NETWORK_HTTP1READER_H
#define SYCAMOREREACH_NETWORK_HTTP1READER_H

#include "Network/Http1ChunkScanner.h"
#include "Network/Http1HeadScanner.h"
#include "Network/HttpMessage.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Network {

/// The start line and headers of a message, as received.
struct Http1Head {
  /// Empty for a response.
  std::string Method;
  /// Path and query, byte for byte; empty for a response.
  std::string Target;
  /// 0 for a request.
  int Status = 0;
  HttpHeaders Headers;
  /// Whether the connection may carry another message after this one.
  bool KeepAlive = false;
  /// A response without a length or chunked encoding: the end of the connection
  /// delimits its body.
  bool CloseDelimited = false;
};

/// Parses HTTP/1.x messages incrementally with http-parser, and rejects what
/// that accepts although it is no message of HTTP/1.x. It stops at the end of
/// each message, so that the caller keeps the bytes that follow.
class Http1Reader {
public:
  enum class Kind { Requests, Responses };
  struct Limits {
    std::size_t MaxHeaderBytes = 16u << 10;
    std::size_t MaxBodyBytes = 4u << 20;
  };
  /// The state of the current message after the last call of feed().
  enum class State {
    NeedsMore,
    Complete,
    Malformed,
    HeadersTooLarge,
    BodyTooLarge,
  };

  Http1Reader(Kind MessageKind, Limits ReaderLimits);
  ~Http1Reader();
  Http1Reader(const Http1Reader &) = delete;
  Http1Reader &operator=(const Http1Reader &) = delete;

  /// Parses the front of Bytes and returns the number of bytes consumed; 0 once
  /// the state is no longer NeedsMore.
  std::size_t feed(std::string_view Bytes);
  /// Call when the peer closed the connection in an orderly way. Returns
  /// whether the message is complete.
  bool handleConnectionEnd();
  /// Prepares for the next message.
  void reset();
  /// Call between two messages.
  void setLimits(const Limits &NewLimits) { this->ReaderLimits = NewLimits; }
  /// Set for the response to a HEAD request, which has no body whatever its
  /// headers say.
  void expectNoBody(bool NoBody) { this->NoBodyExpected = NoBody; }

  State state() const { return this->CurrentState; }
  bool isHeadComplete() const { return this->HeadComplete; }
  /// Whether a head, which may be complete, is malformed or too large.
  bool isHeadMalformed() const { return this->HeadMalformed; }
  /// Whether any byte of the current message has been parsed.
  bool isStarted() const { return this->Started; }
  const Http1Head &head() const { return this->Head; }
  /// Bytes that the head of the current message takes in memory, with the
  /// containers of its fields.
  std::size_t headMemory() const;
  /// Returns the body bytes decoded since the last call.
  std::string takeBody();
  /// The parse error, as http-parser describes it.
  const char *errorDescription() const;

private:
  struct Parser;
  friend struct Parser;

  Http1HeadScanner newScanner() const;
  /// Checks the framing of a chunked body up to End. Returns false if it is
  /// malformed; the state then says so.
  bool checkFraming(const char *End);

  Kind MessageKind;
  Limits ReaderLimits;
  std::unique_ptr<Parser> HttpParser;
  Http1HeadScanner HeadScanner;
  Http1ChunkScanner ChunkScanner;
  /// Where the part of the bytes begins that was not checked as framing.
  const char *FramingBegin = nullptr;
  bool Chunked = false;
  State CurrentState = State::NeedsMore;
  bool HeadComplete = false;
  bool HeadMalformed = false;
  bool Started = false;
  std::size_t HeaderBytes = 0;
  std::size_t BodyBytes = 0;
  Http1Head Head;
  /// The reason phrase of a response.
  std::string Reason;
  std::string Body;
  bool LastTokenWasValue = false;
  bool NoBodyExpected = false;
};

} // namespace Network

#endif
