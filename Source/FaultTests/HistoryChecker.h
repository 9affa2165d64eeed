#ifndef SYCAMOREREACH_FAULTTESTS_HISTORYCHECKER_H
#define SYCAMOREREACH_FAULTTESTS_HISTORYCHECKER_H

#include <map>
#include <string>
#include <vector>

namespace FaultTests {

/// What one caller was told about one of its calls with a key.
struct CallerEvent {
  enum class Told {
    Answered,
    NotRun,
    /// Told so, or the connection broke.
    Unknown,
  };
  /// "CALLER/KEY".
  std::string Key;
  Told What = Told::Unknown;
  /// The answer's body.
  std::string Body;
};

/// A configuration version as one daemon showed it, in the order of reading.
struct VersionRead {
  std::string Daemon;
  unsigned Version = 0;
};

struct History {
  std::vector<CallerEvent> Events;
  /// How often the backend servers ran each key.
  std::map<std::string, int> Runs;
  std::vector<VersionRead> Versions;
  /// Versions that operators were told are accepted.
  std::vector<unsigned> AcceptedVersions;
  /// The version that every daemon shows at the end.
  std::map<std::string, unsigned> FinalVersions;
};

/// All broken promises, one sentence each; empty when there are none.
std::vector<std::string> violations(const History &Seen);

} // namespace FaultTests

#endif
