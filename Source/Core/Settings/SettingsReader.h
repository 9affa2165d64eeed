#ifndef SYCAMOREREACH_SETTINGS_SETTINGSREADER_H
#define SYCAMOREREACH_SETTINGS_SETTINGSREADER_H

#include "Common/Time.h"
#include "Network/Address.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Settings {

/// Reads the settings of a program. A flag takes precedence over the
/// environment, the environment over the settings file, and that over the
/// default. Errors are collected, so that all of them can be shown at once.
class SettingsReader {
public:
  /// What the command line asks the program to do.
  enum class Mode { Run, ShowHelp, ShowVersion };

  /// Parses Arguments according to the docopt text Usage. Returns
  /// InvalidArgument when they do not match it.
  static absl::StatusOr<SettingsReader>
  create(const std::string &Usage, const std::vector<std::string> &Arguments);

  Mode mode() const { return this->ProgramMode; }

  /// Reads lines of the form NAME=value, where NAME is an environment variable.
  /// The environment takes precedence over the file. Blank lines and lines
  /// that start with '#' are skipped. Returns NotFound if the file cannot be
  /// opened, and InvalidArgument with the number of the first malformed line.
  absl::Status loadFile(const std::string &Path);

  /// The value of "--some-flag", else of the variable SYCAMORE_SOME_FLAG, else
  /// Default.
  std::string text(const std::string &Flag, const std::string &Default);
  /// As text(), but a missing or empty value is an error.
  std::string required(const std::string &Flag);
  /// A whole number from Min to Max.
  std::uint64_t number(const std::string &Flag, std::uint64_t Default,
                       std::uint64_t Min, std::uint64_t Max);
  /// A decimal number of 0 or more.
  double decimal(const std::string &Flag, double Default);
  /// A decimal number of Units; more than 0 and at most one day.
  Common::Duration duration(const std::string &Flag, Common::Duration Default,
                            Common::Duration Unit);
  Network::Address address(const std::string &Flag);
  /// Comma-separated addresses; empty if not given.
  std::vector<Network::Address> addresses(const std::string &Flag);
  /// Comma-separated words; empty if not given.
  std::vector<std::string> list(const std::string &Flag);
  bool flag(const std::string &Flag) const;
  /// The values of a positional argument; empty if not given.
  std::vector<std::string> positional(const std::string &Name) const;
  /// A secret of at least MinBytes; from the environment or the settings file,
  /// never from a flag.
  std::string secret(const std::string &Variable, std::size_t MinBytes);
  void addError(const std::string &Flag, const std::string &Message);

  /// All errors so far, one per line; empty if there are none.
  std::string errors() const;

private:
  /// The value of a variable in the environment, else in the settings file;
  /// null if it is in neither.
  const std::string *variable(const std::string &Name);

  Mode ProgramMode = Mode::Run;
  std::map<std::string, std::string> Variables;
  std::map<std::string, std::string> Values;
  std::map<std::string, std::vector<std::string>> Positionals;
  std::map<std::string, bool> Flags;
  std::vector<std::string> Errors;
};

/// The exit code of all programs for invalid settings or usage.
inline constexpr int UsageExitCode = 2;

/// The version that all programs print.
const char *programVersion();

/// The parsed command line, or the exit code of a program that should end now.
struct CommandLineResult {
  absl::StatusOr<SettingsReader> Reader;
  /// Negative if the program should run.
  int ExitCode = -1;
  bool shouldExit() const { return this->ExitCode >= 0; }
};
/// Parses the command line. Prints the help, the version or a usage error if
/// the program should end now.
CommandLineResult parseCommandLine(const std::string &Usage, int ArgumentCount,
                                   char **Arguments);

/// Prints the errors to standard error; returns whether there are any.
bool reportErrors(const SettingsReader &Reader);

} // namespace Settings

#endif
