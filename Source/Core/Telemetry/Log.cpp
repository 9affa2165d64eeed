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

/// The maximum number of lines per event and second. Warnings and errors report
/// failed requests, so their limit is higher.
constexpr std::uint32_t MaxInfoLinesPerSecond = 200;
constexpr std::uint32_t MaxWarningLinesPerSecond = 2000;

/// Boost.Log's sink for standard output.
class StandardOutputSink
    : public sinks::basic_formatted_sink_backend<char,
                                                 sinks::synchronized_feeding> {
public:
  void consume(const boost::log::record_view &, const std::string &Line) {
    this->Writer.write(Line);
  }

private:
  LineWriter Writer{STDOUT_FILENO};
};

/// Limits the number of lines per event in each second.
class LineRateLimiter {
public:
  /// Returns false when the line must be suppressed. Otherwise SuppressedLines
  /// receives the number of lines of Event suppressed since the last one
  /// written.
  bool tryConsume(LogLevel Level, const std::string &Event,
                  std::uint64_t &SuppressedLines) {
    timespec Now{};
    clock_gettime(CLOCK_MONOTONIC, &Now);
    EventWindow &Window = this->Events[Event];
    if (Window.Second != Now.tv_sec) {
      Window.Second = Now.tv_sec;
      Window.Lines = 0;
    }
    const std::uint32_t MaxLines = Level >= LogLevel::Warning
                                       ? MaxWarningLinesPerSecond
                                       : MaxInfoLinesPerSecond;
    if (++Window.Lines > MaxLines) {
      ++Window.SuppressedLines;
      return false;
    }
    SuppressedLines = Window.SuppressedLines;
    Window.SuppressedLines = 0;
    return true;
  }

private:
  struct EventWindow {
    std::int64_t Second = 0;
    std::uint32_t Lines = 0;
    std::uint64_t SuppressedLines = 0;
  };
  std::map<std::string, EventWindow> Events;
};

LineRateLimiter &lineRateLimiter() {
  static LineRateLimiter Instance;
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
  return absl::InvalidArgumentError(absl::StrCat(
      "'", Name, "' is not a log level; use debug, info, warning or error"));
}

void initializeLog(const LogIdentity &Identity, LogLevel MinLevel) {
  const std::string ProcessFields = absl::StrCat(
      "program=", Identity.Program, " datacentre=", Identity.DataCentre.str(),
      " host=", Identity.Daemon.str());
  boost::log::add_common_attributes();
  using Sink = sinks::synchronous_sink<StandardOutputSink>;
  const auto OutputSink = boost::make_shared<Sink>();
  OutputSink->set_formatter(expr::stream
                            << expr::format_date_time<boost::posix_time::ptime>(
                                   "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                            << " level=" << expr::attr<LogLevel>("Severity")
                            << " " << ProcessFields << " " << expr::smessage);
  boost::log::core::get()->add_sink(OutputSink);
  boost::log::core::get()->set_filter(expr::attr<LogLevel>("Severity") >=
                                      MinLevel);
}

std::string formatLogField(const std::string &Key, const std::string &Value) {
  const bool NeedsNoQuotes = Value.find_first_of(" \"\n=") == std::string::npos;
  if (NeedsNoQuotes && !Value.empty())
    return absl::StrCat(" ", Key, "=", Value);
  std::string Quoted;
  for (const char C : Value) {
    if (C == '"' || C == '\\')
      Quoted.push_back('\\');
    Quoted.push_back(C == '\n' ? ' ' : C);
  }
  return absl::StrCat(" ", Key, "=\"", Quoted, "\"");
}

bool detail::tryConsumeLine(LogLevel Level, const char *Event,
                            std::uint64_t &SuppressedLines) {
  return lineRateLimiter().tryConsume(Level, Event, SuppressedLines);
}

void detail::writeLine(LogLevel Level, const std::string &Line) {
  BOOST_LOG_SEV(logger(), Level) << Line;
}

} // namespace Telemetry
