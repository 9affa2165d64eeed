#include "Telemetry/RequestHistory.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <algorithm>
#include <map>

namespace Telemetry {

namespace {

/// Events by which a daemon's view of a server changes.
bool aboutServer(const LogLine &Line) {
  return Line.Event == "server_known" || Line.Event == "server_changed";
}

/// Events by which a daemon's view of the system changes.
bool aboutSystem(const LogLine &Line) {
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

std::string describe(const LogLine &Line) {
  const auto Whole = std::chrono::floor<std::chrono::seconds>(Line.At);
  const std::chrono::hh_mm_ss OfDay(
      Whole - std::chrono::floor<std::chrono::days>(Whole));
  std::string Text =
      absl::StrFormat("%02d:%02d:%02d.%06d %s %s", OfDay.hours().count(),
                      OfDay.minutes().count(), OfDay.seconds().count(),
                      (Line.At - Whole).count(), Line.Daemon.str(), Line.Event);
  for (const auto &[Key, Value] : Line.Fields)
    if (Key != "program" && Key != "datacentre")
      absl::StrAppend(&Text, " ", Key, "=", Value.empty() ? "-" : Value);
  return Text;
}

} // namespace

void RequestHistory::add(std::string_view Text) {
  auto Read = LogLine::create(Text);
  if (Read.ok())
    this->Lines.push_back(std::move(*Read));
  else
    ++this->Unreadable;
}

bool RequestHistory::concerns(const LogLine &Line,
                              const std::set<std::string> &Servers,
                              const Common::DaemonId &Daemon, LogTime From,
                              LogTime Until) const {
  if (Line.field("request") == this->Request)
    return true;
  if (Line.At < From - Around || Line.At > Until + Around)
    return false;
  // What other entry daemons knew of the server did not matter here.
  if (aboutServer(Line))
    return Servers.count(Line.field("server")) != 0 &&
           (Line.Event == "server_changed" || Line.Daemon == Daemon);
  const bool Leadership =
      Line.Event == "leadership_gained" || Line.Event == "leadership_lost";
  return Leadership || (aboutSystem(Line) && Line.Daemon == Daemon);
}

std::string
RequestHistory::tellClocks(const Common::DaemonId &Daemon,
                           const std::set<Common::DaemonId> &Others) const {
  // The same news about a server reaches all daemons within the network's
  // delay. The smallest differences both ways bound that of the clocks.
  const auto KeyOf = [](const LogLine &Line) {
    return absl::StrCat(Line.field("server"), "/", Line.field("started"), "/",
                        Line.field("sequence"));
  };
  std::map<std::string, LogTime> Here;
  for (const LogLine &Line : this->Lines)
    if (Line.Daemon == Daemon && aboutServer(Line))
      Here.emplace(KeyOf(Line), Line.At);
  std::string Text;
  for (const Common::DaemonId &Other : Others) {
    std::vector<std::int64_t> Differences;
    for (const LogLine &Line : this->Lines) {
      if (Line.Daemon != Other || !aboutServer(Line))
        continue;
      const auto Same = Here.find(KeyOf(Line));
      if (Same != Here.end())
        Differences.push_back((Line.At - Same->second).count());
    }
    if (Differences.size() < LeastCommonEvents) {
      absl::StrAppend(&Text, "clock of ", Other.str(), " against ",
                      Daemon.str(), ": unknown, too few common events\n");
      continue;
    }
    const auto Middle = Differences.begin() +
                        static_cast<std::ptrdiff_t>(Differences.size() / 2);
    std::nth_element(Differences.begin(), Middle, Differences.end());
    absl::StrAppend(&Text, "clock of ", Other.str(), " against ", Daemon.str(),
                    ": ",
                    absl::StrFormat("%+.1f ms, median of %d common events\n",
                                    static_cast<double>(*Middle) / 1000,
                                    Differences.size()));
  }
  return Text;
}

absl::StatusOr<std::string> RequestHistory::tell() const {
  std::set<std::string> Servers;
  std::optional<LogTime> From;
  LogTime Until;
  Common::DaemonId Daemon;
  for (const LogLine &Line : this->Lines) {
    if (Line.field("request") != this->Request)
      continue;
    if (!From || Line.At < *From) {
      From = Line.At;
      Daemon = Line.Daemon;
    }
    Until = std::max(Until, Line.At);
    if (const std::string Server = Line.field("server"); !Server.empty())
      Servers.insert(Server);
  }
  if (!From)
    return absl::NotFoundError(absl::StrCat(
        "no line names request ", this->Request, " (", this->Lines.size(),
        " lines read, ", this->Unreadable,
        " are no log lines); add the logs of the entry daemons of that time"));
  std::vector<const LogLine *> Shown;
  std::set<Common::DaemonId> Others;
  for (const LogLine &Line : this->Lines) {
    if (!this->concerns(Line, Servers, Daemon, *From, Until))
      continue;
    Shown.push_back(&Line);
    if (Line.Daemon != Daemon)
      Others.insert(Line.Daemon);
  }
  std::stable_sort(
      Shown.begin(), Shown.end(),
      [](const LogLine *A, const LogLine *B) { return A->At < B->At; });
  std::string Text =
      absl::StrCat("request ", this->Request, " at ", Daemon.str(),
                   ", each line by its own "
                   "daemon's clock\n");
  Text += this->tellClocks(Daemon, Others);
  for (const LogLine *Line : Shown)
    absl::StrAppend(&Text,
                    Line->field("request") == this->Request ? "> " : "  ",
                    describe(*Line), "\n");
  if (this->Unreadable != 0)
    absl::StrAppend(&Text, this->Unreadable, " lines are no log lines\n");
  return Text;
}

} // namespace Telemetry
