#include "StateDaemon/ControllerSettings.h"

#include <algorithm>

namespace StateDaemon {

ControllerSettings
ControllerSettings::create(Settings::SettingsReader &Reader) {
  constexpr std::uint64_t MaxToleratedHosts = 20;
  ControllerSettings Result;
  static_cast<RoutedSettings &>(Result) = RoutedSettings::create(Reader);
  Result.DataPath = Reader.required("--data");
  Result.FirstStart = Reader.text("--first-start", "false") == "true";
  Result.ToleratedHosts = static_cast<std::uint32_t>(
      Reader.number("--tolerated-hosts", 1, 0, MaxToleratedHosts));
  Result.CatchUpTime = Reader.duration("--catch-up-time", Result.CatchUpTime,
                                       std::chrono::seconds(1));
  if (!Reader.text("--duty-address", "").empty())
    Result.DutyAddress = Reader.address("--duty-address");
  Result.DutyRate = Reader.decimal("--duty-rate", Result.DutyRate);
  const auto Duties = Reader.list("--duties");
  Result.ReportsUsage =
      std::find(Duties.begin(), Duties.end(), "usage_report") != Duties.end();
  Result.ScalesServices =
      std::find(Duties.begin(), Duties.end(), "scale") != Duties.end();
  Result.Tolerance = Settings::readAllowanceTolerance(Reader);
  Result.DutyLease = Reader.duration("--duty-lease", Result.DutyLease,
                                     std::chrono::milliseconds(1));
  Result.UsageWindow = Reader.duration("--usage-window", Result.UsageWindow,
                                       std::chrono::seconds(1));
  Result.Rollouts = Reader.text("--rollouts", "false") == "true";
  Result.Exposure.Share =
      Reader.decimal("--expose-share", Result.Exposure.Share);
  Result.Exposure.Slack =
      Reader.decimal("--expose-slack", Result.Exposure.Slack);
  Result.Exposure.RollbackTime =
      Reader.duration("--rollback-time", Result.Exposure.RollbackTime,
                      std::chrono::milliseconds(1));
  Result.AckTime = Reader.duration("--ack-time", Result.AckTime,
                                   std::chrono::milliseconds(1));
  return Result;
}

} // namespace StateDaemon
