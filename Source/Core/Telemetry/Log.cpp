#include "Telemetry/Log.h"

#include "Telemetry/LineWriter.h"

#include <absl/strings/str_cat.h>
#include <array>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/make_shared.hpp>
#include <boost/smart_ptr/shared_ptr.hpp>
#include <map>
#include <unistd.h>

namespace Telemetry {

namespace {

namespace expr = boost::log::expressions;
namespace sinks = boost::log::sinks;

/// Lines of one event in a second. Warnings and errors tell of requests that
/// failed, and get a wider budget.
constexpr std::uint32_t InfoLinesPerSecond = 200;
constexpr std::uint32_t WarningLinesPerSecond = 2000;

/// Boost.Log's way to standard output.
class StandardOutput
    : public sinks::basic_formatted_sink_backend<char,
                                                 sinks::synchronized_feeding> {
public:
  void consume(const boost::log::record_view &, const std::string &Line) {
    this->Output.write(Line);
  }

private:
  LineWriter Output{STDOUT_FILENO};
};

/// Counts the lines of each event in the current second.
class LineBudget {
public:
  /// False when the line is left out. Left receives how many lines of the
  /// event were left out before this one.
  bool take(LogLevel Level, const std::string &Event, std::uint64_t &Left) {
    timespec Now{};
    clock_gettime(CLOCK_MONOTONIC, &Now);
    Spent &Of = this->Events[Event];
    if (Of.Second != Now.tv_sec) {
      Of.Second = Now.tv_sec;
      Of.Lines = 0;
    }
    const std::uint32_t Most =
        Level >= LogLevel::Warning ? WarningLinesPerSecond : InfoLinesPerSecond;
    if (++Of.Lines > Most) {
      ++Of.LeftOut;
      return false;
    }
    Left = Of.LeftOut;
    Of.LeftOut = 0;
    return true;
  }

private:
  struct Spent {
    std::int64_t Second = 0;
    std::uint32_t Lines = 0;
    std::uint64_t LeftOut = 0;
  };
  std::map<std::string, Spent> Events;
};

LineBudget &lineBudget() {
  static LineBudget Instance;
  return Instance;
}

constexpr std::array LevelNames = {"debug", "info", "warning", "error"};

using Logger = boost::log::sources::severity_logger<LogLevel>;

Logger &logger() {
  static Logger Instance;
  return Instance;
}

} // namespace

std::ostream &operator<<(std::ostream &Out, LogLevel Level) {
  return Out << LevelNames[static_cast<std::size_t>(Level)];
}

absl::StatusOr<LogLevel> parseLogLevel(const std::string &Name) {
  for (std::size_t I = 0; I < LevelNames.size(); ++I)
    if (Name == LevelNames[I])
      return static_cast<LogLevel>(I);
  return absl::InvalidArgumentError(
      absl::StrCat("'", Name,
                   "' is no level; use debug, info, warning or "
                   "error"));
}

void startLog(const LogIdentity &Identity, LogLevel Least) {
  const std::string Who = absl::StrCat(
      "program=", Identity.Program, " datacentre=", Identity.DataCentre.str(),
      " host=", Identity.Daemon.str());
  boost::log::add_common_attributes();
  using Sink = sinks::synchronous_sink<StandardOutput>;
  const auto Output = boost::make_shared<Sink>();
  Output->set_formatter(expr::stream
                        << expr::format_date_time<boost::posix_time::ptime>(
                               "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                        << " level=" << expr::attr<LogLevel>("Severity") << " "
                        << Who << " " << expr::smessage);
  boost::log::core::get()->add_sink(Output);
  boost::log::core::get()->set_filter(expr::attr<LogLevel>("Severity") >=
                                      Least);
}

std::string logField(const std::string &Key, const std::string &Value) {
  const bool Plain = Value.find_first_of(" \"\n=") == std::string::npos;
  if (Plain && !Value.empty())
    return absl::StrCat(" ", Key, "=", Value);
  std::string Quoted;
  for (const char C : Value) {
    if (C == '"' || C == '\\')
      Quoted.push_back('\\');
    Quoted.push_back(C == '\n' ? ' ' : C);
  }
  return absl::StrCat(" ", Key, "=\"", Quoted, "\"");
}

bool detail::wantsLine(LogLevel Level, const char *Event,
                       std::uint64_t &LeftOut) {
  return lineBudget().take(Level, Event, LeftOut);
}

void detail::writeLine(LogLevel Level, const std::string &Line) {
  BOOST_LOG_SEV(logger(), Level) << Line;
}

} // namespace Telemetry
