#include "Common/Hash.h"
#include "Control/ControlClient.h"
#include "Settings/SettingsReader.h"
#include "Telemetry/RequestHistory.h"

#include <absl/strings/str_join.h>
#include <fstream>
#include <iostream>

namespace {

const char *const Usage = R"(sycamorectl: ask and tell sycamorereach

Usage:
  sycamorectl hash-key <key>
  sycamorectl explain <request> [<file>...]
  sycamorectl [options] <word>...
  sycamorectl [options]
  sycamorectl (-h | --help)
  sycamorectl --version

Without words, statements are read from standard input, one a line.
'sycamorectl help' lists the statements. 'explain' reads daemons' logs, or
standard input without files, and tells what became of a request.

Options:
  --daemons=LIST      HTTP addresses of entry or state daemons, separated by
                      commas; the first that answers is used.
  --command-id=ID     Name of this change; give the same one to send it again.
  --json              Answer in JSON.
  -h --help           Show this text.
  --version           Show the version.

SYCAMORE_DAEMONS may stand for --daemons. SYCAMORE_OPERATOR_TOKEN is read
from the environment. Exit codes: 0 done, 1 refused, 2 bad usage, 3 no
connection.
)";

int runOne(Control::ControlClient &Client, const std::string &Statement,
           const std::string &CommandId) {
  const auto Result = Client.run(Statement, CommandId);
  const bool Done = Result.Verdict == Control::Verdict::Done;
  (Done ? std::cout : std::cerr) << Result.Text;
  return static_cast<int>(Result.Verdict);
}

int runAllLines(Control::ControlClient &Client) {
  std::string Line;
  while (std::getline(std::cin, Line)) {
    if (Line.empty() || Line[0] == '#')
      continue;
    const int Code = runOne(Client, Line, Common::randomIdentity());
    if (Code != 0)
      return Code;
  }
  return 0;
}

int explain(const std::string &Request, const std::vector<std::string> &Files) {
  Telemetry::RequestHistory History(Request);
  const auto Read = [&History](std::istream &From) {
    std::string Line;
    while (std::getline(From, Line))
      History.add(Line);
  };
  if (Files.empty())
    Read(std::cin);
  for (const std::string &Name : Files) {
    std::ifstream From(Name);
    if (!From) {
      std::cerr << "cannot read '" << Name
                << "'; name log files that this user may read\n";
      return static_cast<int>(Control::Verdict::BadUsage);
    }
    Read(From);
  }
  const auto Told = History.report();
  if (!Told.ok()) {
    std::cerr << Told.status().message() << "\n";
    return static_cast<int>(Control::Verdict::Refused);
  }
  std::cout << *Told;
  return 0;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  auto Start = Settings::startProgram(Usage, ArgumentCount, Arguments);
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
  constexpr std::size_t LeastSecretBytes = 16;
  Control::ControlClient::Options Options;
  Options.Daemons = Reader.addresses("--daemons");
  Options.Token = Reader.secret("SYCAMORE_OPERATOR_TOKEN", LeastSecretBytes);
  Options.Json = Reader.flag("--json");
  if (Options.Daemons.empty())
    Reader.fault("--daemons", "is missing; name at least one daemon");
  if (Settings::reportFaults(Reader))
    return Settings::UsageExitCode;
  auto Loop = Network::EventLoop::create();
  if (!Loop.ok())
    return 1;
  Control::ControlClient Client(**Loop, Options);
  const auto Words = Reader.positional("<word>");
  if (Words.empty())
    return runAllLines(Client);
  const std::string Id = Reader.text("--command-id", Common::randomIdentity());
  return runOne(Client, absl::StrJoin(Words, " "), Id);
}
