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

/// Reads the settings of one program: a flag wins over the environment, the
/// environment over the default. Every fault is collected, so that all of
/// them can be shown at once.
class SettingsReader {
public:
  /// What the command line asked for besides running.
  enum class Request { Run, ShowHelp, ShowVersion };

  /// Parses Arguments by the docopt text Usage; InvalidArgument on bad use.
  static absl::StatusOr<SettingsReader>
  create(const std::string &Usage, const std::vector<std::string> &Arguments);

  Request request() const { return this->Asked; }

  /// Reads lines of NAME=value, in the names of the environment variables.
  /// The environment wins over the file. Blank lines and lines that begin with
  /// '#' are skipped; InvalidArgument names the first other line.
  absl::Status loadFile(const std::string &Path);

  /// "--some-flag", or the variable SYCAMORE_SOME_FLAG, or Default.
  std::string text(const std::string &Flag, const std::string &Default);
  /// As text, but it must be given.
  std::string required(const std::string &Flag);
  std::uint64_t number(const std::string &Flag, std::uint64_t Default,
                       std::uint64_t Least, std::uint64_t Most);
  /// A decimal number of 0 or more.
  double decimal(const std::string &Flag, double Default);
  /// A decimal number of Units, more than 0.
  Common::Duration span(const std::string &Flag, Common::Duration Default,
                        Common::Duration Unit);
  Network::Address address(const std::string &Flag);
  /// Addresses separated by commas; empty when not given.
  std::vector<Network::Address> addresses(const std::string &Flag);
  /// Words separated by commas; empty when not given.
  std::vector<std::string> list(const std::string &Flag);
  bool flag(const std::string &Flag) const;
  /// A positional argument; empty when it was not given.
  std::vector<std::string> positional(const std::string &Name) const;
  /// A secret, from the environment only.
  std::string secret(const std::string &Variable, std::size_t LeastBytes);
  void fault(const std::string &Flag, const std::string &What);

  /// All faults so far, one a line; empty when there are none.
  std::string faults() const;

private:
  /// The environment's value of a variable, else the file's; null for neither.
  const std::string *variable(const std::string &Name);

  Request Asked = Request::Run;
  std::map<std::string, std::string> Variables;
  std::map<std::string, std::string> Values;
  std::map<std::string, std::vector<std::string>> Positionals;
  std::map<std::string, bool> Flags;
  std::vector<std::string> Faults;
};

/// Exit code of every program for bad settings or bad usage.
inline constexpr int UsageExitCode = 2;

/// The version that every program prints.
const char *programVersion();

/// Parses the command line, prints help, version or bad usage; returns an exit
/// code when the program should end now.
struct StartResult {
  absl::StatusOr<SettingsReader> Reader;
  int ExitCode = -1;
  bool shouldExit() const { return this->ExitCode >= 0; }
};
StartResult startProgram(const std::string &Usage, int ArgumentCount,
                         char **Arguments);

/// Prints the faults to standard error; true when there are any.
bool reportFaults(const SettingsReader &Reader);

} // namespace Settings

#endif
