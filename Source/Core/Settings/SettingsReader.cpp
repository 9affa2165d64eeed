#include "Settings/SettingsReader.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <absl/strings/str_split.h>
#include <charconv>
#include <cstdlib>
#include <docopt/docopt.h>
#include <iostream>

namespace Settings {

namespace {

std::string variableOf(const std::string &Flag) {
  const std::string Name = absl::StrReplaceAll(Flag.substr(2), {{"-", "_"}});
  return "SYCAMORE_" + absl::AsciiStrToUpper(Name);
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
    Reader.Asked = Request::ShowHelp;
  } catch (const docopt::DocoptExitVersion &) {
    Reader.Asked = Request::ShowVersion;
  } catch (const std::exception &Fault) {
    return absl::InvalidArgumentError(Fault.what());
  }
  return Reader;
}

std::string SettingsReader::text(const std::string &Flag,
                                 const std::string &Default) {
  const auto Given = this->Values.find(Flag);
  if (Given != this->Values.end())
    return Given->second;
  const char *FromEnvironment = std::getenv(variableOf(Flag).c_str());
  return FromEnvironment ? FromEnvironment : Default;
}

std::string SettingsReader::required(const std::string &Flag) {
  std::string Value = this->text(Flag, "");
  if (Value.empty())
    this->fault(Flag, "is missing; give it or set " + variableOf(Flag));
  return Value;
}

std::uint64_t SettingsReader::number(const std::string &Flag,
                                     std::uint64_t Default, std::uint64_t Least,
                                     std::uint64_t Most) {
  const std::string Value = this->text(Flag, absl::StrCat(Default));
  std::uint64_t Result = 0;
  const char *End = Value.data() + Value.size();
  const auto Read = std::from_chars(Value.data(), End, Result);
  if (Read.ec != std::errc() || Read.ptr != End || Result < Least ||
      Result > Most) {
    this->fault(Flag, absl::StrCat("is '", Value,
                                   "'; use a whole number "
                                   "from ",
                                   Least, " to ", Most));
    return Default;
  }
  return Result;
}

Network::Address SettingsReader::address(const std::string &Flag) {
  const std::string Value = this->required(Flag);
  if (Value.empty())
    return {};
  auto Parsed = Network::Address::create(Value);
  if (Parsed.ok())
    return *Parsed;
  this->fault(Flag, std::string(Parsed.status().message()));
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
      this->fault(Flag, std::string(Parsed.status().message()));
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
                                   std::size_t LeastBytes) {
  const char *Value = std::getenv(Variable.c_str());
  std::string Result = Value ? Value : "";
  if (Result.size() < LeastBytes)
    this->Faults.push_back(
        absl::StrCat(Variable, " must be set in the environment to at least ",
                     LeastBytes, " characters"));
  return Result;
}

void SettingsReader::fault(const std::string &Flag, const std::string &What) {
  this->Faults.push_back(absl::StrCat(Flag, " ", What));
}

std::string SettingsReader::faults() const {
  std::string Text;
  for (const std::string &Each : this->Faults)
    absl::StrAppend(&Text, Each, "\n");
  return Text;
}

const char *programVersion() { return "sycamorereach 0.1.0"; }

StartResult startProgram(const std::string &Usage, int ArgumentCount,
                         char **Arguments) {
  StartResult Result{SettingsReader::create(
      Usage,
      std::vector<std::string>(Arguments + 1, Arguments + ArgumentCount))};
  if (!Result.Reader.ok()) {
    std::cerr << Result.Reader.status().message() << "\n"
              << "give the options as shown:\n"
              << Usage;
    Result.ExitCode = UsageExitCode;
  } else if (Result.Reader->request() == SettingsReader::Request::ShowHelp) {
    std::cout << Usage;
    Result.ExitCode = 0;
  } else if (Result.Reader->request() == SettingsReader::Request::ShowVersion) {
    std::cout << programVersion() << "\n";
    Result.ExitCode = 0;
  }
  return Result;
}

bool reportFaults(const SettingsReader &Reader) {
  const std::string Faults = Reader.faults();
  if (!Faults.empty())
    std::cerr << "bad settings:\n" << Faults;
  return !Faults.empty();
}

} // namespace Settings
