#ifndef SYCAMOREREACH_FAULTTESTS_PROCESSES_H
#define SYCAMOREREACH_FAULTTESTS_PROCESSES_H

#include <string>
#include <sys/types.h>
#include <vector>

namespace FaultTests {

/// A program that a test runs; it is killed with its owner.
class Process {
public:
  Process(const std::string &Program, std::vector<std::string> Arguments,
          const std::string &LogPath);
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  void signal(int Number) const;
  /// SIGKILL, and waits for the end.
  void kill();
  /// Whether it has ended; the exit code is then known.
  bool ended();
  int exitCode() const { return this->Code; }
  pid_t id() const { return this->Id; }

private:
  pid_t Id = -1;
  int Code = -1;
  bool Done = false;
};

/// Runs a program to its end and returns what it printed.
struct ProgramOutput {
  int ExitCode = -1;
  std::string Text;
};
ProgramOutput runProgram(const std::string &Program,
                         const std::vector<std::string> &Arguments);

/// The path of a built program of the project.
std::string programPath(const std::string &Name);

} // namespace FaultTests

#endif
