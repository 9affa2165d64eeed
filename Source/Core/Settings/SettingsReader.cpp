#include "Settings/SettingsReader.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <absl/strings/str_split.h>
#include <charconv>
#include <cmath>
#include <cstdlib>
#include <docopt/docopt.h>
#include <fstream>
#include <iostream>

namespace Settings {

namespace {

std::string environmentVariableName(const std::string &Flag) {
  const std::string Suffix = absl::StrReplaceAll(Flag.substr(2), {{"-", "_"}});
  return "SYCAMORE_" + absl::AsciiStrToUpper(Suffix);
}

} // namespace

absl::StatusOr<SettingsReader>
SettingsReader::create(const std::string &Usage,
                       const std::vector<std::string> &Arguments) {
  SettingsReader Reader;
  try {
    const auto Parsed = docopt::docopt_parse(Usage, Arguments, true, true);
    for (const auto &[Name, Value] : Parsed) {
      if (Value.isString() && Name.compare(0, 2, "--") == 0)
        Reader.Values[Name] = Value.asString();
      else if (Value.isString())
        Reader.Positionals[Name] = {Value.asString()};
      else if (Value.isStringList())
        Reader.Positionals[Name] = Value.asStringList();
      else if (Value.isBool())
        Reader.Flags[Name] = Value.asBool();
    }
  } catch (const docopt::DocoptExitHelp &) {
    Reader.ProgramMode = Mode::ShowHelp;
  } catch (const docopt::DocoptExitVersion &) {
    Reader.ProgramMode = Mode::ShowVersion;
  } catch (const std::exception &Error) {
    return absl::InvalidArgumentError(Error.what());
  }
  return Reader;
}

std::string SettingsReader::text(const std::string &Flag,
                                 const std::string &Default) {
  const auto Given = this->Values.find(Flag);
  if (Given != this->Values.end())
    return Given->second;
  const std::string *Set = this->variable(environmentVariableName(Flag));
  return Set ? *Set : Default;
}

const std::string *SettingsReader::variable(const std::string &Name) {
  if (const char *FromEnvironment = std::getenv(Name.c_str()))
    this->Variables[Name] = FromEnvironment;
  const auto Found = this->Variables.find(Name);
  return Found == this->Variables.end() ? nullptr : &Found->second;
}

absl::Status SettingsReader::loadFile(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    return absl::NotFoundError(absl::StrCat("cannot read the settings file ",
                                            Path, "; check its path and mode"));
  std::string Line;
  std::size_t Number = 0;
  while (std::getline(File, Line)) {
    ++Number;
    if (Line.empty() || Line.front() == '#')
      continue;
    const std::size_t Equals = Line.find('=');
    if (Equals == std::string::npos || Equals == 0)
      return absl::InvalidArgumentError(absl::StrCat(
          Path, " line ", Number, " is not a setting; write NAME=value"));
    this->Variables[Line.substr(0, Equals)] = Line.substr(Equals + 1);
  }
  return absl::OkStatus();
}

std::string SettingsReader::required(const std::string &Flag) {
  std::string Value = this->text(Flag, "");
  if (Value.empty())
    this->addError(Flag, "is missing; give it or set " +
                             environmentVariableName(Flag));
  return Value;
}

std::uint64_t SettingsReader::number(const std::string &Flag,
                                     std::uint64_t Default, std::uint64_t Min,
                                     std::uint64_t Max) {
  const std::string Value = this->text(Flag, absl::StrCat(Default));
  std::uint64_t Result = 0;
  const char *End = Value.data() + Value.size();
  const auto ParseResult = std::from_chars(Value.data(), End, Result);
  if (ParseResult.ec != std::errc() || ParseResult.ptr != End || Result < Min ||
      Result > Max) {
    this->addError(Flag, absl::StrCat("is '", Value,
                                      "'; use a whole number "
                                      "from ",
                                      Min, " to ", Max));
    return Default;
  }
  return Result;
}

double SettingsReader::decimal(const std::string &Flag, double Default) {
  const std::string Value = this->text(Flag, "");
  if (Value.empty())
    return Default;
  double Result = 0;
  if (absl::SimpleAtod(Value, &Result) && std::isfinite(Result) && Result >= 0)
    return Result;
  this->addError(Flag,
                 absl::StrCat("is '", Value, "'; use a number of 0 or more"));
  return Default;
}

Common::Duration SettingsReader::duration(const std::string &Flag,
                                          Common::Duration Default,
                                          Common::Duration Unit) {
  constexpr double MaxSeconds = 86'400;
  const double Units =
      this->decimal(Flag, Common::toSeconds(Default) / Common::toSeconds(Unit));
  const double Seconds = Units * Common::toSeconds(Unit);
  if (Seconds > 0 && Seconds <= MaxSeconds)
    return Common::fromSeconds(Seconds);
  this->addError(Flag, "is out of range; use more than 0 and at most a day");
  return Default;
}

Network::Address SettingsReader::address(const std::string &Flag) {
  const std::string Value = this->required(Flag);
  if (Value.empty())
    return {};
  auto Parsed = Network::Address::create(Value);
  if (Parsed.ok())
    return *Parsed;
  this->addError(Flag, std::string(Parsed.status().message()));
  return {};
}

std::vector<Network::Address>
SettingsReader::addresses(const std::string &Flag) {
  std::vector<Network::Address> Result;
  for (const std::string &Each : this->list(Flag)) {
    auto Parsed = Network::Address::create(Each);
    if (Parsed.ok())
      Result.push_back(*Parsed);
    else
      this->addError(Flag, std::string(Parsed.status().message()));
  }
  return Result;
}

std::vector<std::string> SettingsReader::list(const std::string &Flag) {
  return absl::StrSplit(this->text(Flag, ""), ',', absl::SkipEmpty());
}

bool SettingsReader::flag(const std::string &Flag) const {
  const auto Found = this->Flags.find(Flag);
  return Found != this->Flags.end() && Found->second;
}

std::vector<std::string>
SettingsReader::positional(const std::string &Name) const {
  const auto Found = this->Positionals.find(Name);
  if (Found == this->Positionals.end())
    return {};
  return Found->second;
}

std::string SettingsReader::secret(const std::string &Variable,
                                   std::size_t MinBytes) {
  const std::string *Set = this->variable(Variable);
  std::string Result = Set ? *Set : "";
  if (Result.size() < MinBytes)
    this->Errors.push_back(
        absl::StrCat(Variable, " must be set in the environment to at least ",
                     MinBytes, " characters"));
  return Result;
}

void SettingsReader::addError(const std::string &Flag,
                              const std::string &Message) {
  this->Errors.push_back(absl::StrCat(Flag, " ", Message));
}

std::string SettingsReader::errors() const {
  std::string Text;
  for (const std::string &Error : this->Errors)
    absl::StrAppend(&Text, Error, "\n");
  return Text;
}

const char *programVersion() { return "sycamorereach 0.1.0"; }

CommandLineResult parseCommandLine(const std::string &Usage, int ArgumentCount,
                                   char **Arguments) {
  CommandLineResult Result{SettingsReader::create(
      Usage,
      std::vector<std::string>(Arguments + 1, Arguments + ArgumentCount))};
  if (!Result.Reader.ok()) {
    std::cerr << Result.Reader.status().message() << "\n"
              << "give the options as shown:\n"
              << Usage;
    Result.ExitCode = UsageExitCode;
  } else if (Result.Reader->mode() == SettingsReader::Mode::ShowHelp) {
    std::cout << Usage;
    Result.ExitCode = 0;
  } else if (Result.Reader->mode() == SettingsReader::Mode::ShowVersion) {
    std::cout << programVersion() << "\n";
    Result.ExitCode = 0;
  }
  return Result;
}

bool reportErrors(const SettingsReader &Reader) {
  const std::string Errors = Reader.errors();
  if (!Errors.empty())
    std::cerr << "invalid settings:\n" << Errors;
  return !Errors.empty();
}

} // namespace Settings
