#include "Common/Hash.h"
#include "Control/ControlClient.h"
#include "Settings/SettingsReader.h"
#include "Telemetry/RequestHistory.h"

#include <absl/strings/str_join.h>
#include <fstream>
#include <iostream>

namespace {

const char *const Usage =
    R"(sycamorectl: command-line client for operators of sycamorereach

Usage:
  sycamorectl hash-key <key>
  sycamorectl explain <request> [<file>...]
  sycamorectl [options] <word>...
  sycamorectl [options]
  sycamorectl (-h | --help)
  sycamorectl --version

Without words, statements are read from standard input, one per line.
'sycamorectl help' lists the statements. 'explain' reads the daemons' log files,
or standard input when no file is given, and shows the history of a request.

Options:
  --daemons=LIST      HTTP addresses of entry or state daemons, separated by
                      commas; the first that responds is used.
  --command-id=ID     Idempotency key of a change; repeat it to send the change
                      again.
  --json              Print the response as JSON.
  -h --help           Show this text.
  --version           Show the version.

SYCAMORE_DAEMONS can replace --daemons. SYCAMORE_OPERATOR_TOKEN is read from the
environment only. Exit codes: 0 success, 1 refused, 2 invalid usage, 3 no
response.
)";

int runStatement(Control::ControlClient &Client, const std::string &Statement,
                 const std::string &CommandId) {
  const auto Result = Client.run(Statement, CommandId);
  const bool Succeeded = Result.Status == Control::StatementStatus::Succeeded;
  (Succeeded ? std::cout : std::cerr) << Result.Text;
  return static_cast<int>(Result.Status);
}

int runStandardInput(Control::ControlClient &Client) {
  std::string Line;
  while (std::getline(std::cin, Line)) {
    if (Line.empty() || Line[0] == '#')
      continue;
    const int ExitCode = runStatement(Client, Line, Common::randomHexId());
    if (ExitCode != 0)
      return ExitCode;
  }
  return 0;
}

int explain(const std::string &Request, const std::vector<std::string> &Files) {
  Telemetry::RequestHistory History(Request);
  const auto Read = [&History](std::istream &Input) {
    std::string Line;
    while (std::getline(Input, Line))
      History.add(Line);
  };
  if (Files.empty())
    Read(std::cin);
  for (const std::string &Name : Files) {
    std::ifstream Input(Name);
    if (!Input) {
      std::cerr << "cannot read '" << Name
                << "'; give log files that this user may read\n";
      return static_cast<int>(Control::StatementStatus::InvalidUsage);
    }
    Read(Input);
  }
  const auto Explanation = History.report();
  if (!Explanation.ok()) {
    std::cerr << Explanation.status().message() << "\n";
    return static_cast<int>(Control::StatementStatus::Refused);
  }
  std::cout << *Explanation;
  return 0;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  auto Start = Settings::parseCommandLine(Usage, ArgumentCount, Arguments);
  if (Start.shouldExit())
    return Start.ExitCode;
  auto &Reader = *Start.Reader;
  if (Reader.flag("hash-key")) {
    std::cout << Common::sha256Hex(Reader.positional("<key>").at(0)) << "\n";
    return 0;
  }
  if (Reader.flag("explain"))
    return explain(Reader.positional("<request>").at(0),
                   Reader.positional("<file>"));
  constexpr std::size_t MinTokenBytes = 16;
  Control::ControlClient::Options Options;
  Options.Daemons = Reader.addresses("--daemons");
  Options.OperatorToken =
      Reader.secret("SYCAMORE_OPERATOR_TOKEN", MinTokenBytes);
  Options.Json = Reader.flag("--json");
  if (Options.Daemons.empty())
    Reader.addError("--daemons",
                    "is missing; give the address of at least one daemon");
  if (Settings::reportErrors(Reader))
    return Settings::UsageExitCode;
  auto Loop = Network::EventLoop::create();
  if (!Loop.ok())
    return 1;
  Control::ControlClient Client(**Loop, Options);
  const auto Words = Reader.positional("<word>");
  if (Words.empty())
    return runStandardInput(Client);
  const std::string CommandId =
      Reader.text("--command-id", Common::randomHexId());
  return runStatement(Client, absl::StrJoin(Words, " "), CommandId);
}
