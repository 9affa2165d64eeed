#ifndef SYCAMOREREACH_FAKES_FAKESETTINGS_H
#define SYCAMOREREACH_FAKES_FAKESETTINGS_H

#include "Membership/Announcement.h"
#include "Network/EventLoop.h"
#include "Settings/SettingsReader.h"

#include <functional>
#include <string>
#include <vector>

namespace Fakes {

/// Settings common to the fake backend servers.
struct FakeSettings {
  Network::Address Listen;
  std::vector<Network::Address> Entries;
  std::string BackendToken;
  Membership::Announcement Announcement;
  /// Time per request of a service, or per token of an engine.
  Common::Duration Delay{};
  /// Where a service logs its runs; may be empty.
  std::string RunsFile;

  /// Invalid settings are recorded in Reader.
  static FakeSettings create(Settings::SettingsReader &Reader);
};

/// The options section of the usage texts of fake backend servers.
extern const char *const FakeOptionsUsage;

/// On SIGTERM calls OnShutdown, then polls IsIdle and stops the loop once it is
/// true.
class GracefulShutdown {
public:
  GracefulShutdown(Network::EventLoop &Loop, std::function<void()> OnShutdown,
                   std::function<bool()> IsIdle);

private:
  Network::EventLoop &Loop;
  std::function<void()> OnShutdown;
  std::function<bool()> IsIdle;
  Network::EventHandle SignalHandler;
  Network::EventHandle IdlePoll;
};

} // namespace Fakes

#endif
