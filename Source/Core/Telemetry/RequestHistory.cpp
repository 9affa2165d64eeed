#include "Telemetry/RequestHistory.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <algorithm>
#include <map>

namespace Telemetry {

namespace {

/// Whether the event changes a daemon's knowledge of a backend server.
bool isServerEvent(const LogLine &Line) {
  return Line.Event == "server_known" || Line.Event == "server_changed";
}

/// Whether the event changes a daemon's knowledge of the declaration or of the
/// state daemons, or the state of the daemon itself.
bool isSystemEvent(const LogLine &Line) {
  static const std::set<std::string> Names = {"declaration_in_force",
                                              "disk_failure",
                                              "leadership_gained",
                                              "leadership_lost",
                                              "log_lines_dropped",
                                              "process_was_stopped",
                                              "readiness",
                                              "reload",
                                              "shutting_down",
                                              "started",
                                              "state_daemon_changed",
                                              "state_daemon_connected",
                                              "state_daemon_lost",
                                              "stopped"};
  return Names.count(Line.Event) != 0;
}

std::string formatLine(const LogLine &Line) {
  const auto WholeSecond = std::chrono::floor<std::chrono::seconds>(Line.Time);
  const std::chrono::hh_mm_ss TimeOfDay(
      WholeSecond - std::chrono::floor<std::chrono::days>(WholeSecond));
  std::string Text = absl::StrFormat(
      "%02d:%02d:%02d.%06d %s %s", TimeOfDay.hours().count(),
      TimeOfDay.minutes().count(), TimeOfDay.seconds().count(),
      (Line.Time - WholeSecond).count(), Line.Daemon.str(), Line.Event);
  for (const auto &[Key, Value] : Line.Fields)
    if (Key != "program" && Key != "datacentre")
      absl::StrAppend(&Text, " ", Key, "=", Value.empty() ? "-" : Value);
  return Text;
}

} // namespace

void RequestHistory::add(std::string_view Text) {
  auto Line = LogLine::create(Text);
  if (Line.ok())
    this->Lines.push_back(std::move(*Line));
  else
    ++this->UnparsedLines;
}

bool RequestHistory::isRelevant(const LogLine &Line,
                                const std::set<std::string> &Servers,
                                const Common::DaemonId &Daemon, LogTime From,
                                LogTime Until) const {
  if (Line.field("request") == this->Request)
    return true;
  if (Line.Time < From - ContextTime || Line.Time > Until + ContextTime)
    return false;
  // What other entry daemons knew about the server had no effect on the
  // request.
  if (isServerEvent(Line))
    return Servers.count(Line.field("server")) != 0 &&
           (Line.Event == "server_changed" || Line.Daemon == Daemon);
  const bool IsLeadershipChange =
      Line.Event == "leadership_gained" || Line.Event == "leadership_lost";
  return IsLeadershipChange || (isSystemEvent(Line) && Line.Daemon == Daemon);
}

std::string RequestHistory::reportClockOffsets(
    const Common::DaemonId &Daemon,
    const std::set<Common::DaemonId> &Others) const {
  // Daemons log the same change of a server within the network delay of each
  // other, so the median of their time differences estimates the clock offset.
  const auto EventKey = [](const LogLine &Line) {
    return absl::StrCat(Line.field("server"), "/", Line.field("started"), "/",
                        Line.field("sequence"));
  };
  std::map<std::string, LogTime> LocalTimes;
  for (const LogLine &Line : this->Lines)
    if (Line.Daemon == Daemon && isServerEvent(Line))
      LocalTimes.emplace(EventKey(Line), Line.Time);
  std::string Text;
  for (const Common::DaemonId &Other : Others) {
    std::vector<std::int64_t> Differences;
    for (const LogLine &Line : this->Lines) {
      if (Line.Daemon != Other || !isServerEvent(Line))
        continue;
      const auto LocalTime = LocalTimes.find(EventKey(Line));
      if (LocalTime != LocalTimes.end())
        Differences.push_back((Line.Time - LocalTime->second).count());
    }
    if (Differences.size() < MinCommonEvents) {
      absl::StrAppend(&Text, "clock of ", Other.str(), " against ",
                      Daemon.str(), ": unknown, too few common events\n");
      continue;
    }
    const auto Median = Differences.begin() +
                        static_cast<std::ptrdiff_t>(Differences.size() / 2);
    std::nth_element(Differences.begin(), Median, Differences.end());
    absl::StrAppend(&Text, "clock of ", Other.str(), " against ", Daemon.str(),
                    ": ",
                    absl::StrFormat("%+.1f ms, median of %d common events\n",
                                    static_cast<double>(*Median) / 1000,
                                    Differences.size()));
  }
  return Text;
}

absl::StatusOr<std::string> RequestHistory::report() const {
  std::set<std::string> Servers;
  std::optional<LogTime> From;
  LogTime Until;
  Common::DaemonId Daemon;
  for (const LogLine &Line : this->Lines) {
    if (Line.field("request") != this->Request)
      continue;
    if (!From || Line.Time < *From) {
      From = Line.Time;
      Daemon = Line.Daemon;
    }
    Until = std::max(Until, Line.Time);
    if (const std::string Server = Line.field("server"); !Server.empty())
      Servers.insert(Server);
  }
  if (!From)
    return absl::NotFoundError(
        absl::StrCat("no log line names request ", this->Request, " (",
                     this->Lines.size(), " lines read, ", this->UnparsedLines,
                     " could not be parsed); add the logs of the entry daemons "
                     "of that time"));
  std::vector<const LogLine *> RelevantLines;
  std::set<Common::DaemonId> Others;
  for (const LogLine &Line : this->Lines) {
    if (!this->isRelevant(Line, Servers, Daemon, *From, Until))
      continue;
    RelevantLines.push_back(&Line);
    if (Line.Daemon != Daemon)
      Others.insert(Line.Daemon);
  }
  std::stable_sort(
      RelevantLines.begin(), RelevantLines.end(),
      [](const LogLine *A, const LogLine *B) { return A->Time < B->Time; });
  std::string Text =
      absl::StrCat("request ", this->Request, " at ", Daemon.str(),
                   ", times by the clock of the daemon that logged the line\n");
  Text += this->reportClockOffsets(Daemon, Others);
  for (const LogLine *Line : RelevantLines)
    absl::StrAppend(&Text,
                    Line->field("request") == this->Request ? "> " : "  ",
                    formatLine(*Line), "\n");
  if (this->UnparsedLines != 0)
    absl::StrAppend(&Text, this->UnparsedLines,
                    " lines could not be parsed as log lines\n");
  return Text;
}

} // namespace Telemetry
