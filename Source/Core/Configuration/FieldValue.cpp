#include "Configuration/FieldValue.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <array>
#include <charconv>

namespace Configuration {

namespace {

struct DurationUnit {
  const char *Name;
  std::int64_t Milliseconds;
};

constexpr std::array<DurationUnit, 4> Units = {
    {{"ms", 1}, {"s", 1000}, {"min", 60'000}, {"h", 3'600'000}}};
constexpr double PercentScale = 100;
constexpr std::int64_t MaxDurationMilliseconds = 366LL * 24 * 3'600'000;

/// A number and the lower-case unit that follows it.
struct Quantity {
  double Number = 0;
  std::string Unit;
};

absl::StatusOr<Quantity> parseQuantity(const std::string &Text) {
  const std::size_t End = Text.find_first_not_of("0123456789.");
  Quantity Result;
  if (!absl::SimpleAtod(Text.substr(0, End), &Result.Number))
    return absl::InvalidArgumentError(
        absl::StrCat("'", Text, "' does not start with a number"));
  if (End != std::string::npos)
    Result.Unit = std::string(
        absl::StripAsciiWhitespace(absl::AsciiStrToLower(Text.substr(End))));
  return Result;
}

} // namespace

absl::StatusOr<std::chrono::milliseconds>
parseDuration(const std::string &Text) {
  const auto Parsed = parseQuantity(Text);
  if (Parsed.ok())
    for (const DurationUnit &Unit : Units) {
      if (Parsed->Unit != Unit.Name)
        continue;
      const double DurationMilliseconds =
          Parsed->Number * double(Unit.Milliseconds);
      if (DurationMilliseconds >= 1 &&
          DurationMilliseconds <= double(MaxDurationMilliseconds))
        return std::chrono::milliseconds(std::int64_t(DurationMilliseconds));
    }
  return absl::InvalidArgumentError(absl::StrCat(
      "'", Text,
      "' is not a duration; write it as 800 ms, 2 s, 5 min or 24 h"));
}

absl::StatusOr<double> parseShare(const std::string &Text) {
  const auto Parsed = parseQuantity(Text);
  if (Parsed.ok()) {
    const bool IsPercent = Parsed->Unit == "%";
    const double Share =
        IsPercent ? Parsed->Number / PercentScale : Parsed->Number;
    if ((IsPercent || Parsed->Unit.empty()) && Share <= 1)
      return Share;
  }
  return absl::InvalidArgumentError(absl::StrCat(
      "'", Text, "' is not a share; write it as 20 % or 0.2, at most 100 %"));
}

absl::StatusOr<double> parseAmount(const std::string &Text) {
  const auto Parsed = parseQuantity(Text);
  if (!Parsed.ok() || !Parsed->Unit.empty())
    return absl::InvalidArgumentError(absl::StrCat(
        "'", Text, "' is not an amount; write a number such as 12.5"));
  return Parsed->Number;
}

absl::StatusOr<std::uint64_t>
parseInteger(const std::string &Text, std::uint64_t Min, std::uint64_t Max) {
  std::uint64_t Result = 0;
  if (!absl::SimpleAtoi(Text, &Result) || Result < Min || Result > Max)
    return absl::InvalidArgumentError(absl::StrCat(
        "'", Text, "' is not a whole number from ", Min, " to ", Max));
  return Result;
}

absl::StatusOr<bool> parseYesNo(const std::string &Text) {
  const std::string Word = absl::AsciiStrToLower(Text);
  if (Word == "yes")
    return true;
  if (Word == "no")
    return false;
  return absl::InvalidArgumentError(
      absl::StrCat("'", Text, "' is not yes or no"));
}

std::string formatDuration(std::chrono::milliseconds Duration) {
  const DurationUnit *Best = &Units.front();
  for (const DurationUnit &Unit : Units)
    if (Duration.count() % Unit.Milliseconds == 0)
      Best = &Unit;
  return absl::StrCat(Duration.count() / Best->Milliseconds, " ", Best->Name);
}

} // namespace Configuration
