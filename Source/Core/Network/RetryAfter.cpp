#include "Network/RetryAfter.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>

namespace Network {

namespace {

std::optional<Common::Duration> parseSeconds(const std::string &Text) {
  // SimpleAtod also accepts signs, exponents, "inf" and "nan".
  const bool OnlyDigits =
      !Text.empty() &&
      Text.find_first_not_of("0123456789.") == std::string::npos;
  double Seconds = 0;
  if (!OnlyDigits || !absl::SimpleAtod(Text, &Seconds))
    return std::nullopt;
  return Common::fromSeconds(
      std::min(Seconds, Common::toSeconds(MaxRetryAfter)));
}

} // namespace

absl::StatusOr<std::optional<Common::Duration>>
parseRetryAfter(const HttpHeaders &Headers) {
  std::optional<Common::Duration> Longest;
  std::optional<std::string> Invalid;
  for (const HttpHeader &Each : Headers) {
    if (!absl::EqualsIgnoreCase(Each.Name, "Retry-After"))
      continue;
    const std::string Text(absl::StripAsciiWhitespace(Each.Value));
    const auto Time = parseSeconds(Text);
    if (!Time)
      Invalid = Text;
    else if (!Longest || *Time > *Longest)
      Longest = Time;
  }
  if (!Longest && Invalid)
    return absl::InvalidArgumentError(absl::StrCat(
        "invalid Retry-After '", *Invalid, "'; send a number of seconds"));
  return Longest;
}

bool isRejection(int Status) {
  constexpr int TooManyRequests = 429;
  constexpr int Unavailable = 503;
  return Status == TooManyRequests || Status == Unavailable;
}

absl::StatusOr<std::optional<Common::Duration>>
parseRejectionRetryAfter(int Status, const HttpHeaders &Headers) {
  if (!isRejection(Status))
    return std::nullopt;
  return parseRetryAfter(Headers);
}

} // namespace Network
