#include "Telemetry/Log.h"

#include <array>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>

namespace Telemetry {

namespace {

namespace expr = boost::log::expressions;

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
  boost::log::add_console_log(
      std::clog,
      boost::log::keywords::format =
          (expr::stream << expr::format_date_time<boost::posix_time::ptime>(
                               "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                        << " level=" << expr::attr<LogLevel>("Severity") << " "
                        << Who << " " << expr::smessage),
      boost::log::keywords::auto_flush = true);
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

void log(LogLevel Level, const std::string &Event, const std::string &Fields) {
  BOOST_LOG_SEV(logger(), Level) << "event=" << Event << Fields;
}

} // namespace Telemetry
