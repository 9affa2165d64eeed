#include "Telemetry/LogLine.h"

#include <absl/strings/str_cat.h>
#include <iomanip>
#include <optional>
#include <sstream>

namespace Telemetry {

namespace {

/// As in 2026-12-04T09:05:28.000001.
constexpr std::size_t TimeLength = 26;

bool looksLikeTime(std::string_view Text) {
  constexpr std::string_view Shape = "dddd-dd-ddTdd:dd:dd.dddddd";
  for (std::size_t I = 0; I < Shape.size(); ++I) {
    const bool Digit = Text[I] >= '0' && Text[I] <= '9';
    if (Shape[I] == 'd' ? !Digit : Text[I] != Shape[I])
      return false;
  }
  return true;
}

std::optional<std::size_t> findTime(std::string_view Text) {
  for (std::size_t At = 0; At + TimeLength <= Text.size(); ++At)
    if (looksLikeTime(Text.substr(At, TimeLength)))
      return At;
  return std::nullopt;
}

int number(std::string_view Digits) {
  int Result = 0;
  for (const char Digit : Digits)
    Result = Result * 10 + (Digit - '0');
  return Result;
}

LogTime timeOf(std::string_view Text) {
  using namespace std::chrono;
  const sys_days Day = year(number(Text.substr(0, 4))) /
                       number(Text.substr(5, 2)) / number(Text.substr(8, 2));
  return Day + hours(number(Text.substr(11, 2))) +
         minutes(number(Text.substr(14, 2))) +
         seconds(number(Text.substr(17, 2))) +
         microseconds(number(Text.substr(20, 6)));
}

/// Reads the value that begins at At, quoted or not, and moves At behind it.
std::string readValue(std::string_view Text, std::size_t &At) {
  std::string Value;
  if (At >= Text.size() || Text[At] != '"') {
    const std::size_t End = std::min(Text.find(' ', At), Text.size());
    Value = Text.substr(At, End - At);
    At = End;
    return Value;
  }
  for (++At; At < Text.size() && Text[At] != '"'; ++At) {
    if (Text[At] == '\\' && At + 1 < Text.size())
      ++At;
    Value.push_back(Text[At]);
  }
  At = std::min(At + 1, Text.size());
  return Value;
}

} // namespace

std::string LogLine::field(std::string_view Name) const {
  for (const auto &[Key, Value] : this->Fields)
    if (Key == Name)
      return Value;
  return {};
}

absl::StatusOr<LogLine> LogLine::create(std::string_view Text) {
  const auto Start = findTime(Text);
  if (!Start)
    return absl::InvalidArgumentError("the line has no time");
  LogLine Result;
  Result.At = timeOf(Text.substr(*Start, TimeLength));
  std::size_t At = *Start + TimeLength;
  while (At < Text.size()) {
    if (Text[At] == ' ') {
      ++At;
      continue;
    }
    const std::size_t Equals = Text.find('=', At);
    if (Equals == std::string_view::npos)
      break;
    const std::string Key(Text.substr(At, Equals - At));
    At = Equals + 1;
    std::string Value = readValue(Text, At);
    if (Key == "level")
      Result.Level = std::move(Value);
    else if (Key == "host")
      Result.Daemon = Common::DaemonId(std::move(Value));
    else if (Key == "event")
      Result.Event = std::move(Value);
    else
      Result.Fields.emplace_back(Key, std::move(Value));
  }
  if (Result.Event.empty())
    return absl::InvalidArgumentError("the line names no event");
  return Result;
}

} // namespace Telemetry
