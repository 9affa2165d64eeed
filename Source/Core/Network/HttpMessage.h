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

/// The value of a header; names are compared without case.
std::optional<std::string> findHeader(const HttpHeaders &Headers,
                                      std::string_view Name);

/// The token of 'Authorization: Bearer TOKEN'.
std::optional<std::string> bearerToken(const HttpHeaders &Headers);

enum class HttpMethod { Get, Head, Post, Put, Patch, Delete, Options };

const char *httpMethodName(HttpMethod Method);
std::optional<HttpMethod> parseHttpMethod(std::string_view Name);

/// A request with its whole body.
struct HttpRequest {
  HttpMethod Method = HttpMethod::Get;
  /// Path and query as sent.
  std::string Target;
  HttpHeaders Headers;
  std::string Body;

  std::string path() const;
};

/// An answer with its whole body.
struct HttpAnswer {
  int Status = 0;
  HttpHeaders Headers;
  std::string Body;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Status, this->Headers, this->Body);
  }
};

/// Whether an answer with this status ends with its head.
constexpr bool hasNoBody(int Status) {
  return (Status >= 100 && Status < 200) || Status == 204 || Status == 304;
}

} // namespace Network

#endif
