#include "Network/HttpMessage.h"

#include <absl/strings/match.h>
#include <array>

namespace Network {

namespace {

constexpr std::array MethodNames = {"GET",   "HEAD",   "POST",   "PUT",
                                    "PATCH", "DELETE", "OPTIONS"};

} // namespace

std::optional<std::string> findHeader(const HttpHeaders &Headers,
                                      std::string_view Name) {
  const std::string HeaderName(Name);
  for (const HttpHeader &Header : Headers)
    if (absl::EqualsIgnoreCase(Header.Name, HeaderName))
      return Header.Value;
  return std::nullopt;
}

std::optional<std::string> bearerToken(const HttpHeaders &Headers) {
  constexpr std::string_view Prefix = "Bearer ";
  const auto Value = findHeader(Headers, "Authorization");
  if (!Value || Value->compare(0, Prefix.size(), Prefix) != 0)
    return std::nullopt;
  return Value->substr(Prefix.size());
}

const char *httpMethodName(HttpMethod Method) {
  return MethodNames[static_cast<std::size_t>(Method)];
}

std::optional<HttpMethod> parseHttpMethod(std::string_view Name) {
  for (std::size_t I = 0; I < MethodNames.size(); ++I)
    if (Name == MethodNames[I])
      return static_cast<HttpMethod>(I);
  return std::nullopt;
}

std::string HttpRequest::path() const {
  return this->Target.substr(0, this->Target.find('?'));
}

} // namespace Network
