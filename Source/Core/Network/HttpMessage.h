#ifndef SYCAMOREREACH_NETWORK_HTTPMESSAGE_H
#define SYCAMOREREACH_NETWORK_HTTPMESSAGE_H

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Network {

struct HttpHeader {
  std::string Name;
  std::string Value;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Name, this->Value);
  }
};

using HttpHeaders = std::vector<HttpHeader>;

/// The value of the first header of this name, compared without regard to
/// case; std::nullopt when there is none.
std::optional<std::string> findHeader(const HttpHeaders &Headers,
                                      std::string_view Name);

/// The token of 'Authorization: Bearer TOKEN'; std::nullopt when the header is
/// missing or has another scheme.
std::optional<std::string> bearerToken(const HttpHeaders &Headers);

enum class HttpMethod { Get, Head, Post, Put, Patch, Delete, Options };

/// The method as it is written in a request line.
const char *httpMethodName(HttpMethod Method);
/// std::nullopt for an unsupported method; names are case-sensitive.
std::optional<HttpMethod> parseHttpMethod(std::string_view Name);

/// A request with its complete body.
struct HttpRequest {
  HttpMethod Method = HttpMethod::Get;
  /// Path and query as received.
  std::string Target;
  HttpHeaders Headers;
  std::string Body;

  /// The target without its query.
  std::string path() const;
};

/// A response with its complete body.
struct HttpResponse {
  int Status = 0;
  HttpHeaders Headers;
  std::string Body;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Status, this->Headers, this->Body);
  }
};

/// Whether responses with this status never have a body (RFC 9110).
constexpr bool hasNoBody(int Status) {
  return (Status >= 100 && Status < 200) || Status == 204 || Status == 304;
}

} // namespace Network

#endif
