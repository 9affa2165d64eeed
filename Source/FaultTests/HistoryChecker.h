#ifndef SYCAMOREREACH_FAULTTESTS_HISTORYCHECKER_H
#define SYCAMOREREACH_FAULTTESTS_HISTORYCHECKER_H

#include <map>
#include <string>
#include <vector>

namespace FaultTests {

/// The outcome that a caller was given for one call with an idempotency key.
struct CallerEvent {
  enum class Outcome {
    Answered,
    NotExecuted,
    /// Reported as unknown, or the connection was lost.
    Unknown,
  };
  /// "CALLER/KEY".
  std::string Key;
  Outcome Result = Outcome::Unknown;
  /// Body of the response.
  std::string Body;
};

/// A configuration version read from a daemon.
struct VersionRead {
  std::string Daemon;
  unsigned Version = 0;
};

/// What a test observed of the cluster.
struct History {
  std::vector<CallerEvent> Events;
  /// Number of executions by the backend servers, by "CALLER/KEY".
  std::map<std::string, int> Runs;
  /// In the order of reading.
  std::vector<VersionRead> Versions;
  /// Versions whose acceptance was reported to an operator.
  std::vector<unsigned> AcceptedVersions;
  /// Version of each daemon at the end of the test.
  std::map<std::string, unsigned> FinalVersions;
};

/// Checks a history: a key is executed at most once, never after all its calls
/// were reported as not run, and always if one was answered; all answers to a
/// key are equal and contain it; versions never go back, and accepted ones
/// reach every daemon. Returns a sentence for each violation.
std::vector<std::string> findViolations(const History &Observed);

} // namespace FaultTests

#endif
