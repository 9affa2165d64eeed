#include "Network/HttpSyntax.h"

#include <absl/strings/ascii.h>
#include <algorithm>

namespace Network {

bool isTokenCharacter(char Character) {
  return absl::ascii_isalnum(static_cast<unsigned char>(Character)) ||
         std::string_view("!#$%&'*+-.^_`|~").find(Character) !=
             std::string_view::npos;
}

bool isTextCharacter(char Character) {
  return Character == '\t' ||
         !absl::ascii_iscntrl(static_cast<unsigned char>(Character));
}

bool isToken(std::string_view Text) {
  return !Text.empty() &&
         std::all_of(Text.begin(), Text.end(), isTokenCharacter);
}

bool isWritable(const HttpHeader &Header) {
  return isToken(Header.Name) &&
         std::all_of(Header.Value.begin(), Header.Value.end(), isTextCharacter);
}

bool isWritableHead(int Status, const HttpHeaders &Headers) {
  return Status >= 200 && Status < 600 &&
         std::all_of(Headers.begin(), Headers.end(), isWritable);
}

bool isStatusLine(std::string_view Line) {
  constexpr std::string_view Protocol = "HTTP/1.";
  // A digit for the minor version and a space precede the status.
  constexpr std::size_t StatusAt = Protocol.size() + 2;
  constexpr std::size_t StatusDigits = 3;
  constexpr std::size_t StatusEnd = StatusAt + StatusDigits;
  if (Line.size() < StatusEnd || Line.substr(0, Protocol.size()) != Protocol ||
      !absl::ascii_isdigit(Line[Protocol.size()]) || Line[StatusAt - 1] != ' ')
    return false;
  const std::string_view Status = Line.substr(StatusAt, StatusDigits);
  if (!std::all_of(Status.begin(), Status.end(), absl::ascii_isdigit) ||
      Status.front() < '1' || Status.front() > '5')
    return false;
  const std::string_view Rest = Line.substr(StatusEnd);
  return Rest.empty() ||
         (Rest.front() == ' ' &&
          std::all_of(Rest.begin(), Rest.end(), isTextCharacter));
}

} // namespace Network
