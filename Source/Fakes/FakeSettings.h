#ifndef SYCAMOREREACH_FAKES_FAKESETTINGS_H
#define SYCAMOREREACH_FAKES_FAKESETTINGS_H

#include "Membership/Announcement.h"
#include "Network/EventLoop.h"
#include "Settings/SettingsReader.h"

#include <functional>
#include <string>
#include <vector>

namespace Fakes {

/// The settings that all stand-ins for backend servers share.
struct FakeSettings {
  Network::Address Listen;
  std::vector<Network::Address> Entries;
  std::string BackendToken;
  Membership::Announcement About;
  Common::Duration Delay{};
  std::string RunsFile;

  static FakeSettings create(Settings::SettingsReader &Reader);
};

/// The options section of the usage texts.
extern const char *const FakeOptions;

/// On SIGTERM calls Leave, then ends the loop once Idle says so.
class GracefulStop {
public:
  GracefulStop(Network::EventLoop &Loop, std::function<void()> Leave,
               std::function<bool()> Idle);

private:
  Network::EventLoop &Loop;
  std::function<void()> Leave;
  std::function<bool()> Idle;
  Network::EventHandle Signal;
  Network::EventHandle Poll;
};

} // namespace Fakes

#endif
