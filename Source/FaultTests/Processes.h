#ifndef SYCAMOREREACH_FAULTTESTS_PROCESSES_H
#define SYCAMOREREACH_FAULTTESTS_PROCESSES_H

#include <string>
#include <sys/types.h>
#include <vector>

namespace FaultTests {

/// A child process, which is killed when this object is destroyed. Its output
/// is appended to a log file.
class Process {
public:
  Process(const std::string &Program, std::vector<std::string> Arguments,
          const std::string &LogPath);
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  void signal(int SignalNumber) const;
  /// Sends SIGKILL and waits until the process has ended.
  void kill();
  /// Whether the process has ended, without waiting.
  bool hasExited();
  /// Exit code after hasExited() returned true; -1 if a signal ended the
  /// process.
  int exitCode() const { return this->ExitCode; }
  pid_t id() const { return this->ProcessId; }

private:
  pid_t ProcessId = -1;
  int ExitCode = -1;
  bool Exited = false;
};

/// Exit code and output (stdout and stderr) of a program.
struct ProgramOutput {
  int ExitCode = -1;
  std::string Text;
};
/// Runs a program and waits for its end.
ProgramOutput runProgram(const std::string &Program,
                         const std::vector<std::string> &Arguments);

/// Path in the build folder of one of the project's programs. Throws
/// std::out_of_range if Name is not one of them.
std::string programPath(const std::string &Name);

} // namespace FaultTests

#endif
