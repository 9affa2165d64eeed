#include "Network/Http1Reader.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <algorithm>
#include <climits>
#include <http_parser.h>

namespace Network {

struct Http1Reader::Parser {
  http_parser Raw{};

  static Http1Reader &of(http_parser *From) {
    return *static_cast<Http1Reader *>(From->data);
  }

  static int onUrl(http_parser *From, const char *At, std::size_t Length) {
    of(From).Head.Target.append(At, Length);
    return 0;
  }
  static int onField(http_parser *From, const char *At, std::size_t Length) {
    Http1Reader &Self = of(From);
    if (Self.LastWasValue || Self.Head.Headers.empty())
      Self.Head.Headers.emplace_back();
    Self.LastWasValue = false;
    Self.Head.Headers.back().Name.append(At, Length);
    return 0;
  }
  static int onValue(http_parser *From, const char *At, std::size_t Length) {
    Http1Reader &Self = of(From);
    Self.LastWasValue = true;
    if (!Self.Head.Headers.empty())
      Self.Head.Headers.back().Value.append(At, Length);
    return 0;
  }
  static int onHeadersComplete(http_parser *From);
  static int onBody(http_parser *From, const char *At, std::size_t Length) {
    Http1Reader &Self = of(From);
    Self.BodyBytes += Length;
    if (Self.BodyBytes > Self.Bounds.MaxBodyBytes) {
      Self.Now = State::BodyTooLarge;
      return 1;
    }
    Self.Body.append(At, Length);
    return 0;
  }
  static int onComplete(http_parser *From) {
    of(From).Now = State::Complete;
    // Bytes behind this message belong to the caller.
    http_parser_pause(From, 1);
    return 0;
  }

  static const http_parser_settings &settings() {
    static const http_parser_settings Table = [] {
      http_parser_settings Result;
      http_parser_settings_init(&Result);
      Result.on_url = onUrl;
      Result.on_header_field = onField;
      Result.on_header_value = onValue;
      Result.on_headers_complete = onHeadersComplete;
      Result.on_body = onBody;
      Result.on_message_complete = onComplete;
      return Result;
    }();
    return Table;
  }
};

namespace {

/// The library lets names pass that others read differently.
bool wellNamed(const HttpHeaders &Headers) {
  return std::all_of(
      Headers.begin(), Headers.end(), [](const HttpHeader &Each) {
        return !Each.Name.empty() &&
               std::all_of(Each.Name.begin(), Each.Name.end(), [](char C) {
                 return absl::ascii_isalnum(C) ||
                        std::string_view("!#$%&'*+-.^_`|~").find(C) !=
                            std::string_view::npos;
               });
      });
}

/// Framing headers that two programs could read in two ways.
bool ambiguousFraming(const Http1Head &Head) {
  int Lengths = 0;
  int Encodings = 0;
  for (const HttpHeader &Each : Head.Headers) {
    if (absl::EqualsIgnoreCase(Each.Name, "Content-Length"))
      ++Lengths;
    if (absl::EqualsIgnoreCase(Each.Name, "Transfer-Encoding")) {
      ++Encodings;
      if (!absl::EqualsIgnoreCase(absl::StripAsciiWhitespace(Each.Value),
                                  "chunked"))
        return true;
    }
  }
  return Lengths > 1 || Encodings > 1 || (Lengths != 0 && Encodings != 0);
}

} // namespace

int Http1Reader::Parser::onHeadersComplete(http_parser *From) {
  Http1Reader &Self = of(From);
  Self.HeadDone = true;
  Http1Head &Head = Self.Head;
  if (Self.Of == Kind::Requests)
    Head.Method = http_method_str(static_cast<http_method>(From->method));
  else
    Head.Status = static_cast<int>(From->status_code);
  Head.KeepAlive = http_should_keep_alive(From) != 0;
  constexpr std::uint64_t Unknown = ULLONG_MAX;
  const bool Framed = From->content_length != Unknown ||
                      (From->flags & F_CHUNKED) != 0 ||
                      hasNoBody(Head.Status) || Self.WithoutBody;
  Head.EndsWithConnection = Self.Of == Kind::Answers && !Framed;
  if (ambiguousFraming(Head) || !wellNamed(Head.Headers) ||
      From->upgrade != 0) {
    Self.Now = State::Malformed;
    return -1;
  }
  if (Self.WithoutBody)
    return 1;
  if (From->content_length != Unknown &&
      From->content_length > Self.Bounds.MaxBodyBytes) {
    Self.Now = State::BodyTooLarge;
    return -1;
  }
  return 0;
}

Http1Reader::Http1Reader(Kind Of, Limits Bounds)
    : Of(Of), Bounds(Bounds), Raw(std::make_unique<Parser>()) {
  this->reset();
}

Http1Reader::~Http1Reader() = default;

void Http1Reader::reset() {
  http_parser_init(&this->Raw->Raw,
                   this->Of == Kind::Requests ? HTTP_REQUEST : HTTP_RESPONSE);
  this->Raw->Raw.data = this;
  this->Now = State::NeedsMore;
  this->HeadDone = false;
  this->Started = false;
  this->HeaderBytes = 0;
  this->BodyBytes = 0;
  this->Head = Http1Head();
  this->Body.clear();
  this->LastWasValue = false;
  this->AtLineStart = false;
}

bool Http1Reader::continuesHeader(std::string_view Bytes) {
  for (const char C : Bytes) {
    if (this->AtLineStart && (C == ' ' || C == '\t'))
      return true;
    // A blank line ends the head.
    if (this->AtLineStart && (C == '\r' || C == '\n'))
      return false;
    this->AtLineStart = C == '\n';
  }
  return false;
}

std::size_t Http1Reader::feed(std::string_view Bytes) {
  if (this->Now != State::NeedsMore || Bytes.empty())
    return 0;
  this->Started = true;
  const bool InHead = !this->HeadDone;
  if (InHead && this->continuesHeader(Bytes)) {
    this->Now = State::Malformed;
    return 0;
  }
  const std::size_t Taken = http_parser_execute(
      &this->Raw->Raw, &Parser::settings(), Bytes.data(), Bytes.size());
  if (InHead) {
    this->HeaderBytes += this->HeadDone ? this->Raw->Raw.nread : Bytes.size();
    const bool TooLarge =
        !this->HeadDone && this->HeaderBytes > this->Bounds.MaxHeaderBytes;
    std::size_t Held = this->Head.Target.size();
    for (const HttpHeader &Each : this->Head.Headers)
      Held += Each.Name.size() + Each.Value.size();
    if (TooLarge || Held > this->Bounds.MaxHeaderBytes) {
      this->Now = State::HeadersTooLarge;
      return Taken;
    }
  }
  const auto Fault = HTTP_PARSER_ERRNO(&this->Raw->Raw);
  if (Fault == HPE_HEADER_OVERFLOW)
    this->Now = State::HeadersTooLarge;
  else if (Fault != HPE_OK && Fault != HPE_PAUSED &&
           this->Now == State::NeedsMore)
    this->Now = State::Malformed;
  return Taken;
}

bool Http1Reader::endOfConnection() {
  if (this->Now != State::NeedsMore)
    return this->Now == State::Complete;
  if (!this->HeadDone || !this->Head.EndsWithConnection)
    return false;
  http_parser_execute(&this->Raw->Raw, &Parser::settings(), nullptr, 0);
  return this->Now == State::Complete;
}

std::string Http1Reader::takeBody() {
  std::string Result;
  Result.swap(this->Body);
  return Result;
}

const char *Http1Reader::faultText() const {
  return http_errno_description(HTTP_PARSER_ERRNO(&this->Raw->Raw));
}

} // namespace Network
