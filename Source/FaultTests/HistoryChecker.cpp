#include "FaultTests/HistoryChecker.h"

#include <algorithm>

namespace FaultTests {

namespace {

/// The outcomes of all calls with one key.
struct KeySummary {
  bool Answered = false;
  bool AllNotExecuted = true;
  std::vector<std::string> Bodies;
};

} // namespace

std::vector<std::string> findViolations(const History &Observed) {
  std::vector<std::string> Violations;
  std::map<std::string, KeySummary> Keys;
  for (const CallerEvent &Event : Observed.Events) {
    KeySummary &Key = Keys[Event.Key];
    Key.AllNotExecuted =
        Key.AllNotExecuted && Event.Result == CallerEvent::Outcome::NotExecuted;
    if (Event.Result != CallerEvent::Outcome::Answered)
      continue;
    Key.Answered = true;
    Key.Bodies.push_back(Event.Body);
    if (Event.Body.find(Event.Key.substr(Event.Key.find('/') + 1)) ==
        std::string::npos)
      Violations.push_back(Event.Key +
                           " received the answer to another request");
  }
  for (const auto &[Key, Count] : Observed.Runs) {
    if (Count > 1)
      Violations.push_back(Key + " was executed " + std::to_string(Count) +
                           " times");
    const auto Summary = Keys.find(Key);
    if (Summary != Keys.end() && Summary->second.AllNotExecuted)
      Violations.push_back(
          Key + " was executed although its caller was told not_run");
  }
  for (const auto &[Key, Summary] : Keys) {
    if (Summary.Answered && Observed.Runs.count(Key) == 0)
      Violations.push_back(Key + " was answered but never executed");
    for (const std::string &Body : Summary.Bodies)
      if (Body != Summary.Bodies.front())
        Violations.push_back(Key + " received different answers");
  }
  std::map<std::string, unsigned> Last;
  for (const VersionRead &Read : Observed.Versions) {
    if (Read.Version < Last[Read.Daemon])
      Violations.push_back(Read.Daemon + " went back to version " +
                           std::to_string(Read.Version));
    Last[Read.Daemon] = Read.Version;
  }
  for (const unsigned Accepted : Observed.AcceptedVersions)
    for (const auto &[Daemon, Final] : Observed.FinalVersions)
      if (Final < Accepted)
        Violations.push_back(Daemon + " never reached accepted version " +
                             std::to_string(Accepted));
  return Violations;
}

} // namespace FaultTests
