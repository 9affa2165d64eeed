#ifndef SYCAMOREREACH_FAKES_ANNOUNCER_H
#define SYCAMOREREACH_FAKES_ANNOUNCER_H

#include "Membership/Announcement.h"
#include "Network/EventLoop.h"
#include "Network/HttpClient.h"

#include <functional>
#include <string>
#include <vector>

namespace Fakes {

/// Announces a backend server to one entry host after another.
class Announcer {
public:
  using Describe = std::function<void(Membership::Announcement &)>;

  /// Update fills in what changes from one announcement to the next.
  Announcer(Network::EventLoop &Loop, Network::HttpClient &Http,
            std::vector<Network::Address> Entries, std::string Token,
            Membership::Announcement About, Describe Update);

  void start();
  /// Says once more that the server is leaving, then falls silent.
  void leave();
  void announceNow();

private:
  Network::EventLoop &Loop;
  Network::HttpClient &Http;
  std::vector<Network::Address> Entries;
  std::string Token;
  Membership::Announcement About;
  Describe Update;
  std::size_t NextEntry = 0;
  Network::EventHandle Timer;
};

} // namespace Fakes

#endif
