#ifndef SYCAMOREREACH_FAKES_ANNOUNCER_H
#define SYCAMOREREACH_FAKES_ANNOUNCER_H

#include "Membership/Announcement.h"
#include "Network/EventLoop.h"
#include "Network/HttpClient.h"

#include <functional>
#include <string>
#include <vector>

namespace Fakes {

/// Announces a backend server periodically, to the entry daemons in turn.
class Announcer {
public:
  /// Updates the fields that differ from one announcement to the next.
  using UpdateHandler = std::function<void(Membership::Announcement &)>;

  /// Authenticates with the bearer token Token. Announcement holds the constant
  /// fields.
  Announcer(Network::EventLoop &Loop, Network::HttpClient &Http,
            std::vector<Network::Address> Entries, std::string Token,
            Membership::Announcement Announcement, UpdateHandler OnUpdate);

  /// Sends the first announcement, then repeats it periodically.
  void start();
  /// Announces immediately that the server is leaving. Periodic announcements
  /// repeat it until the announcer is destroyed.
  void announceLeaving();
  void announceNow();

private:
  Network::EventLoop &Loop;
  Network::HttpClient &Http;
  std::vector<Network::Address> Entries;
  std::string Token;
  Membership::Announcement Announcement;
  UpdateHandler OnUpdate;
  std::size_t NextAddress = 0;
  Network::EventHandle Timer;
};

} // namespace Fakes

#endif
