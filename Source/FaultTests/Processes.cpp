#include "FaultTests/Processes.h"

#include "FaultTests/ProgramPaths.h"

#include <chrono>
#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <fstream>
#include <map>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

extern char **environ;

namespace FaultTests {

namespace {

pid_t spawn(const std::string &Program, std::vector<std::string> Arguments,
            const std::string &LogPath) {
  std::vector<char *> Argv;
  std::string Name = Program;
  Argv.push_back(Name.data());
  for (std::string &Each : Arguments)
    Argv.push_back(Each.data());
  Argv.push_back(nullptr);
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_addopen(&Actions, STDOUT_FILENO, LogPath.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&Actions, STDOUT_FILENO, STDERR_FILENO);
  pid_t Id = -1;
  posix_spawn(&Id, Program.c_str(), &Actions, nullptr, Argv.data(), environ);
  posix_spawn_file_actions_destroy(&Actions);
  return Id;
}

} // namespace

Process::Process(const std::string &Program, std::vector<std::string> Arguments,
                 const std::string &LogPath)
    : Id(spawn(Program, std::move(Arguments), LogPath)) {}

Process::~Process() { this->kill(); }

void Process::signal(int Number) const {
  if (!this->Done)
    ::kill(this->Id, Number);
}

void Process::kill() {
  if (this->Done || this->Id <= 0)
    return;
  ::kill(this->Id, SIGKILL);
  int Status = 0;
  waitpid(this->Id, &Status, 0);
  this->Done = true;
}

bool Process::ended() {
  if (this->Done)
    return true;
  int Status = 0;
  if (waitpid(this->Id, &Status, WNOHANG) != this->Id)
    return false;
  this->Done = true;
  this->Code = WIFEXITED(Status) ? WEXITSTATUS(Status) : -1;
  return true;
}

ProgramOutput runProgram(const std::string &Program,
                         const std::vector<std::string> &Arguments) {
  const std::string Path = "/tmp/sycamore-output-" + std::to_string(getpid());
  std::remove(Path.c_str());
  ProgramOutput Result;
  {
    Process Run(Program, Arguments, Path);
    while (!Run.ended())
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    Result.ExitCode = Run.exitCode();
  }
  std::ostringstream Text;
  Text << std::ifstream(Path).rdbuf();
  Result.Text = Text.str();
  std::remove(Path.c_str());
  return Result;
}

std::string programPath(const std::string &Name) {
  static const std::map<std::string, std::string> Paths = {
      {"sycamore-state", StateProgram},
      {"sycamore-entry", EntryProgram},
      {"sycamore-fleet", FleetProgram},
      {"sycamore-fake-cloud", CloudProgram},
      {"sycamorectl", ControlProgram},
      {"sycamore-fake-engine", EngineProgram},
      {"sycamore-fake-service", ServiceProgram}};
  return Paths.at(Name);
}

} // namespace FaultTests
