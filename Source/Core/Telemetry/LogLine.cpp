#include "Telemetry/LogLine.h"

#include <absl/strings/str_cat.h>
#include <iomanip>
#include <optional>
#include <sstream>

namespace Telemetry {

namespace {

/// The length of a timestamp such as 2026-12-04T09:05:28.000001.
constexpr std::size_t TimestampLength = 26;

bool isTimestamp(std::string_view Text) {
  constexpr std::string_view Pattern = "dddd-dd-ddTdd:dd:dd.dddddd";
  for (std::size_t I = 0; I < Pattern.size(); ++I) {
    const bool IsDigit = Text[I] >= '0' && Text[I] <= '9';
    if (Pattern[I] == 'd' ? !IsDigit : Text[I] != Pattern[I])
      return false;
  }
  return true;
}

std::optional<std::size_t> findTimestamp(std::string_view Text) {
  for (std::size_t Position = 0; Position + TimestampLength <= Text.size();
       ++Position)
    if (isTimestamp(Text.substr(Position, TimestampLength)))
      return Position;
  return std::nullopt;
}

int parseNumber(std::string_view Digits) {
  int Result = 0;
  for (const char Digit : Digits)
    Result = Result * 10 + (Digit - '0');
  return Result;
}

LogTime parseTimestamp(std::string_view Text) {
  using namespace std::chrono;
  const sys_days Day = year(parseNumber(Text.substr(0, 4))) /
                       parseNumber(Text.substr(5, 2)) /
                       parseNumber(Text.substr(8, 2));
  return Day + hours(parseNumber(Text.substr(11, 2))) +
         minutes(parseNumber(Text.substr(14, 2))) +
         seconds(parseNumber(Text.substr(17, 2))) +
         microseconds(parseNumber(Text.substr(20, 6)));
}

/// Parses the quoted or unquoted value at Position, and moves Position past it.
std::string parseValue(std::string_view Text, std::size_t &Position) {
  std::string Value;
  if (Position >= Text.size() || Text[Position] != '"') {
    const std::size_t End = std::min(Text.find(' ', Position), Text.size());
    Value = Text.substr(Position, End - Position);
    Position = End;
    return Value;
  }
  for (++Position; Position < Text.size() && Text[Position] != '"';
       ++Position) {
    if (Text[Position] == '\\' && Position + 1 < Text.size())
      ++Position;
    Value.push_back(Text[Position]);
  }
  Position = std::min(Position + 1, Text.size());
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
  const auto Start = findTimestamp(Text);
  if (!Start)
    return absl::InvalidArgumentError("the line has no timestamp");
  LogLine Result;
  Result.Time = parseTimestamp(Text.substr(*Start, TimestampLength));
  std::size_t Position = *Start + TimestampLength;
  while (Position < Text.size()) {
    if (Text[Position] == ' ') {
      ++Position;
      continue;
    }
    const std::size_t Equals = Text.find('=', Position);
    if (Equals == std::string_view::npos)
      break;
    const std::string Key(Text.substr(Position, Equals - Position));
    Position = Equals + 1;
    std::string Value = parseValue(Text, Position);
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
    return absl::InvalidArgumentError("the line has no event");
  return Result;
}

} // namespace Telemetry
