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
  for (std::string &Argument : Arguments)
    Argv.push_back(Argument.data());
  Argv.push_back(nullptr);
  posix_spawn_file_actions_t FileActions;
  posix_spawn_file_actions_init(&FileActions);
  posix_spawn_file_actions_addopen(&FileActions, STDOUT_FILENO, LogPath.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&FileActions, STDOUT_FILENO, STDERR_FILENO);
  pid_t ProcessId = -1;
  posix_spawn(&ProcessId, Program.c_str(), &FileActions, nullptr, Argv.data(),
              environ);
  posix_spawn_file_actions_destroy(&FileActions);
  return ProcessId;
}

} // namespace

Process::Process(const std::string &Program, std::vector<std::string> Arguments,
                 const std::string &LogPath)
    : ProcessId(spawn(Program, std::move(Arguments), LogPath)) {}

Process::~Process() { this->kill(); }

void Process::signal(int SignalNumber) const {
  if (!this->Exited)
    ::kill(this->ProcessId, SignalNumber);
}

void Process::kill() {
  if (this->Exited || this->ProcessId <= 0)
    return;
  ::kill(this->ProcessId, SIGKILL);
  int Status = 0;
  waitpid(this->ProcessId, &Status, 0);
  this->Exited = true;
}

bool Process::hasExited() {
  if (this->Exited)
    return true;
  int Status = 0;
  if (waitpid(this->ProcessId, &Status, WNOHANG) != this->ProcessId)
    return false;
  this->Exited = true;
  this->ExitCode = WIFEXITED(Status) ? WEXITSTATUS(Status) : -1;
  return true;
}

ProgramOutput runProgram(const std::string &Program,
                         const std::vector<std::string> &Arguments) {
  const std::string Path = "/tmp/sycamore-output-" + std::to_string(getpid());
  std::remove(Path.c_str());
  ProgramOutput Result;
  {
    Process Child(Program, Arguments, Path);
    while (!Child.hasExited())
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    Result.ExitCode = Child.exitCode();
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
