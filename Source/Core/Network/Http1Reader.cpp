#include "Network/Http1Reader.h"

#include "Network/HttpSyntax.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <algorithm>
#include <climits>
#include <http_parser.h>

namespace Network {

struct Http1Reader::Parser {
  http_parser Native{};

  static Http1Reader &readerOf(http_parser *RawParser) {
    return *static_cast<Http1Reader *>(RawParser->data);
  }

  static int onUrl(http_parser *RawParser, const char *Bytes,
                   std::size_t Length) {
    readerOf(RawParser).Head.Target.append(Bytes, Length);
    return 0;
  }
  static int onStatus(http_parser *RawParser, const char *Bytes,
                      std::size_t Length) {
    readerOf(RawParser).Reason.append(Bytes, Length);
    return 0;
  }
  static int onHeaderField(http_parser *RawParser, const char *Bytes,
                           std::size_t Length) {
    Http1Reader &Self = readerOf(RawParser);
    // Trailers are dropped, as the framing headers and the marks of a server
    // count only where they were sent before the body.
    if (Self.HeadComplete)
      return 0;
    if (Self.LastTokenWasValue || Self.Head.Headers.empty())
      Self.Head.Headers.emplace_back();
    Self.LastTokenWasValue = false;
    Self.Head.Headers.back().Name.append(Bytes, Length);
    return 0;
  }
  static int onHeaderValue(http_parser *RawParser, const char *Bytes,
                           std::size_t Length) {
    Http1Reader &Self = readerOf(RawParser);
    if (Self.HeadComplete)
      return 0;
    Self.LastTokenWasValue = true;
    if (!Self.Head.Headers.empty())
      Self.Head.Headers.back().Value.append(Bytes, Length);
    return 0;
  }
  static int onHeadersComplete(http_parser *RawParser);
  static int onBody(http_parser *RawParser, const char *Bytes,
                    std::size_t Length) {
    Http1Reader &Self = readerOf(RawParser);
    if (!Self.checkFraming(Bytes))
      return 1;
    Self.FramingBegin = Bytes + Length;
    Self.BodyBytes += Length;
    if (Self.BodyBytes > Self.ReaderLimits.MaxBodyBytes) {
      Self.CurrentState = State::BodyTooLarge;
      return 1;
    }
    Self.Body.append(Bytes, Length);
    return 0;
  }
  static int onMessageComplete(http_parser *RawParser) {
    readerOf(RawParser).CurrentState = State::Complete;
    // Stop here: the bytes that follow belong to the next message.
    http_parser_pause(RawParser, 1);
    return 0;
  }

  static const http_parser_settings &settings() {
    static const http_parser_settings Table = [] {
      http_parser_settings Result;
      http_parser_settings_init(&Result);
      Result.on_url = onUrl;
      Result.on_status = onStatus;
      Result.on_header_field = onHeaderField;
      Result.on_header_value = onHeaderValue;
      Result.on_headers_complete = onHeadersComplete;
      Result.on_body = onBody;
      Result.on_message_complete = onMessageComplete;
      return Result;
    }();
    return Table;
  }
};

namespace {

/// http-parser accepts names that are no tokens, which HTTP implementations
/// interpret differently.
bool haveValidNames(const HttpHeaders &Headers) {
  return std::all_of(
      Headers.begin(), Headers.end(),
      [](const HttpHeader &Header) { return isToken(Header.Name); });
}

/// A status that announces another protocol, which no request asks for.
constexpr int SwitchingProtocols = 101;

/// Whether the framing headers allow more than one interpretation, as in
/// request smuggling.
bool hasAmbiguousFraming(const Http1Head &Head) {
  int Lengths = 0;
  int Encodings = 0;
  for (const HttpHeader &Header : Head.Headers) {
    if (absl::EqualsIgnoreCase(Header.Name, "Content-Length"))
      ++Lengths;
    if (absl::EqualsIgnoreCase(Header.Name, "Transfer-Encoding")) {
      ++Encodings;
      if (!absl::EqualsIgnoreCase(absl::StripAsciiWhitespace(Header.Value),
                                  "chunked"))
        return true;
    }
  }
  return Lengths > 1 || Encodings > 1 || (Lengths != 0 && Encodings != 0);
}

/// Whether Text holds a status line of HTTP/1.x.
bool holdsStatusLine(std::string_view Text) {
  constexpr std::string_view Protocol = "HTTP/1.";
  constexpr std::size_t LineLength = Protocol.size() + 5;
  for (std::size_t At = Text.find(Protocol); At != std::string_view::npos;
       At = Text.find(Protocol, At + 1)) {
    const std::string_view Line = Text.substr(At, LineLength);
    const std::string_view Status =
        Line.substr(std::min<std::size_t>(Line.size(), Protocol.size() + 2));
    if (Line.size() == LineLength && Line[Protocol.size() + 1] == ' ' &&
        std::all_of(Status.begin(), Status.end(), absl::ascii_isdigit))
      return true;
  }
  return false;
}

/// Whether the head of a response holds the start of another one, as where a
/// response was cut off within its head and the next one follows.
bool holdsAnotherHead(const std::string &Reason, const HttpHeaders &Headers) {
  return holdsStatusLine(Reason) ||
         std::any_of(Headers.begin(), Headers.end(),
                     [](const HttpHeader &Header) {
                       return holdsStatusLine(Header.Value);
                     });
}

} // namespace

int Http1Reader::Parser::onHeadersComplete(http_parser *RawParser) {
  Http1Reader &Self = readerOf(RawParser);
  Self.HeadComplete = true;
  Http1Head &Head = Self.Head;
  if (Self.MessageKind == Kind::Requests)
    Head.Method = http_method_str(static_cast<http_method>(RawParser->method));
  else
    Head.Status = static_cast<int>(RawParser->status_code);
  Head.KeepAlive = http_should_keep_alive(RawParser) != 0;
  constexpr std::uint64_t Unknown = ULLONG_MAX;
  const bool WithoutBody = Self.NoBodyExpected || hasNoBody(Head.Status);
  const bool Framed = RawParser->content_length != Unknown ||
                      (RawParser->flags & F_CHUNKED) != 0 || WithoutBody;
  Head.CloseDelimited = Self.MessageKind == Kind::Responses && !Framed;
  if (hasAmbiguousFraming(Head) || !haveValidNames(Head.Headers) ||
      RawParser->upgrade != 0 || Head.Status == SwitchingProtocols ||
      (Self.MessageKind == Kind::Responses &&
       holdsAnotherHead(Self.Reason, Head.Headers))) {
    Self.HeadMalformed = true;
    Self.CurrentState = State::Malformed;
    return -1;
  }
  Self.Chunked = !WithoutBody && (RawParser->flags & F_CHUNKED) != 0;
  // http-parser reads a body after these heads if they have a Content-Length.
  if (WithoutBody)
    return 1;
  if (RawParser->content_length != Unknown &&
      RawParser->content_length > Self.ReaderLimits.MaxBodyBytes) {
    Self.CurrentState = State::BodyTooLarge;
    return -1;
  }
  return 0;
}

Http1Reader::Http1Reader(Kind MessageKind, Limits ReaderLimits)
    : MessageKind(MessageKind), ReaderLimits(ReaderLimits),
      HttpParser(std::make_unique<Parser>()), HeadScanner(this->newScanner()) {
  this->reset();
}

Http1Reader::~Http1Reader() = default;

void Http1Reader::reset() {
  http_parser_init(&this->HttpParser->Native,
                   this->MessageKind == Kind::Requests ? HTTP_REQUEST
                                                       : HTTP_RESPONSE);
  this->HttpParser->Native.data = this;
  this->HeadScanner = this->newScanner();
  this->ChunkScanner = Http1ChunkScanner();
  this->Chunked = false;
  this->CurrentState = State::NeedsMore;
  this->HeadComplete = false;
  this->HeadMalformed = false;
  this->Started = false;
  this->HeaderBytes = 0;
  this->BodyBytes = 0;
  this->Head = Http1Head();
  this->Reason.clear();
  this->Body.clear();
  this->LastTokenWasValue = false;
}

Http1HeadScanner Http1Reader::newScanner() const {
  using StartLine = Http1HeadScanner::StartLine;
  return Http1HeadScanner(this->MessageKind == Kind::Responses
                              ? StartLine::Status
                              : StartLine::Request);
}

bool Http1Reader::checkFraming(const char *End) {
  if (!this->Chunked || End <= this->FramingBegin)
    return true;
  const std::string_view Framing(
      this->FramingBegin, static_cast<std::size_t>(End - this->FramingBegin));
  this->FramingBegin = End;
  if (this->ChunkScanner.feed(Framing))
    return true;
  this->CurrentState = State::Malformed;
  return false;
}

std::size_t Http1Reader::feed(std::string_view Bytes) {
  if (this->CurrentState != State::NeedsMore || Bytes.empty())
    return 0;
  this->Started = true;
  const bool WasInHead = !this->HeadComplete;
  if (WasInHead && !this->HeadScanner.feed(Bytes)) {
    this->CurrentState = State::Malformed;
    return 0;
  }
  this->FramingBegin =
      Bytes.data() + (WasInHead ? this->HeadScanner.headBytes() : 0);
  const std::size_t Consumed =
      http_parser_execute(&this->HttpParser->Native, &Parser::settings(),
                          Bytes.data(), Bytes.size());
  if (this->CurrentState == State::NeedsMore ||
      this->CurrentState == State::Complete)
    this->checkFraming(Bytes.data() + Consumed);
  if (WasInHead) {
    this->HeaderBytes +=
        this->HeadComplete ? this->HttpParser->Native.nread : Bytes.size();
    const bool TooLarge = !this->HeadComplete &&
                          this->HeaderBytes > this->ReaderLimits.MaxHeaderBytes;
    std::size_t ParsedBytes = this->Head.Target.size();
    for (const HttpHeader &Header : this->Head.Headers)
      ParsedBytes += Header.Name.size() + Header.Value.size();
    if (TooLarge || ParsedBytes > this->ReaderLimits.MaxHeaderBytes) {
      this->CurrentState = State::HeadersTooLarge;
      this->HeadMalformed = true;
      return Consumed;
    }
  }
  const auto Error = HTTP_PARSER_ERRNO(&this->HttpParser->Native);
  if (Error == HPE_HEADER_OVERFLOW)
    this->CurrentState = State::HeadersTooLarge;
  else if (Error != HPE_OK && Error != HPE_PAUSED &&
           this->CurrentState == State::NeedsMore)
    this->CurrentState = State::Malformed;
  return Consumed;
}

bool Http1Reader::handleConnectionEnd() {
  if (this->CurrentState != State::NeedsMore)
    return this->CurrentState == State::Complete;
  if (!this->HeadComplete || !this->Head.CloseDelimited)
    return false;
  http_parser_execute(&this->HttpParser->Native, &Parser::settings(), nullptr,
                      0);
  return this->CurrentState == State::Complete;
}

std::size_t Http1Reader::headMemory() const {
  // Strings grow by doubling, so the text may take twice its size.
  return 2 * this->HeaderBytes +
         this->Head.Headers.capacity() * sizeof(HttpHeader);
}

std::string Http1Reader::takeBody() {
  std::string Result;
  Result.swap(this->Body);
  return Result;
}

const char *Http1Reader::errorDescription() const {
  return http_errno_description(HTTP_PARSER_ERRNO(&this->HttpParser->Native));
}

} // namespace Network
