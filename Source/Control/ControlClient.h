#ifndef SYCAMOREREACH_CONTROL_CONTROLCLIENT_H
#define SYCAMOREREACH_CONTROL_CONTROLCLIENT_H

#include "Network/EventLoop.h"
#include "Network/HttpClient.h"

#include <string>
#include <vector>

namespace Control {

/// How a statement ended; also the exit codes of sycamorectl.
enum class Verdict {
  Done = 0,
  /// The statement was refused.
  Refused = 1,
  BadUsage = 2,
  /// No daemon answered; a change may or may not be in force.
  NoConnection = 3,
};

struct ControlResult {
  Control::Verdict Verdict = Verdict::NoConnection;
  /// The daemon's answer, or what went wrong and what to do.
  std::string Text;
};

/// Sends statements to the first daemon that answers. A statement that has to
/// be sent again keeps its command id, so that it takes effect once.
class ControlClient {
public:
  struct Options {
    std::vector<Network::Address> Daemons;
    std::string Token;
    bool Json = false;
  };

  ControlClient(Network::EventLoop &Loop, Options Settings);
  ControlResult run(const std::string &Statement, const std::string &CommandId);

private:
  Network::EventLoop &Loop;
  Options Settings;
  Network::HttpClient Http;
};

} // namespace Control

#endif
