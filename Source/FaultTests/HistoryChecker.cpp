#include "FaultTests/HistoryChecker.h"

#include <algorithm>

namespace FaultTests {

namespace {

/// All that callers were told about one key.
struct KeySummary {
  bool Answered = false;
  bool AllNotRun = true;
  std::vector<std::string> Bodies;
};

} // namespace

std::vector<std::string> violations(const History &Seen) {
  std::vector<std::string> Found;
  std::map<std::string, KeySummary> Keys;
  for (const CallerEvent &Event : Seen.Events) {
    KeySummary &Key = Keys[Event.Key];
    Key.AllNotRun = Key.AllNotRun && Event.What == CallerEvent::Told::NotRun;
    if (Event.What != CallerEvent::Told::Answered)
      continue;
    Key.Answered = true;
    Key.Bodies.push_back(Event.Body);
    if (Event.Body.find(Event.Key.substr(Event.Key.find('/') + 1)) ==
        std::string::npos)
      Found.push_back(Event.Key + " got the answer of another request");
  }
  for (const auto &[Key, Count] : Seen.Runs) {
    if (Count > 1)
      Found.push_back(Key + " ran " + std::to_string(Count) + " times");
    const auto Told = Keys.find(Key);
    if (Told != Keys.end() && Told->second.AllNotRun)
      Found.push_back(Key + " ran although its caller was told not_run");
  }
  for (const auto &[Key, Told] : Keys) {
    if (Told.Answered && Seen.Runs.count(Key) == 0)
      Found.push_back(Key + " was answered and never ran");
    for (const std::string &Body : Told.Bodies)
      if (Body != Told.Bodies.front())
        Found.push_back(Key + " got different answers");
  }
  std::map<std::string, unsigned> Last;
  for (const VersionRead &Read : Seen.Versions) {
    if (Read.Version < Last[Read.Daemon])
      Found.push_back(Read.Daemon + " went back to version " +
                      std::to_string(Read.Version));
    Last[Read.Daemon] = Read.Version;
  }
  for (const unsigned Accepted : Seen.AcceptedVersions)
    for (const auto &[Daemon, Final] : Seen.FinalVersions)
      if (Final < Accepted)
        Found.push_back(Daemon + " never got accepted version " +
                        std::to_string(Accepted));
  return Found;
}

} // namespace FaultTests
