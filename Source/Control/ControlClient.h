#ifndef SYCAMOREREACH_CONTROL_CONTROLCLIENT_H
#define SYCAMOREREACH_CONTROL_CONTROLCLIENT_H

#include "Network/EventLoop.h"
#include "Network/HttpClient.h"

#include <string>
#include <vector>

namespace Control {

/// The result of a statement. The values are the exit codes of sycamorectl.
enum class StatementStatus {
  Succeeded = 0,
  /// A daemon rejected the statement.
  Refused = 1,
  InvalidUsage = 2,
  /// No daemon responded; a change may or may not have been applied.
  NoResponse = 3,
};

struct ControlResult {
  Control::StatementStatus Status = StatementStatus::NoResponse;
  /// The daemon's response, or an error message with a remedy.
  std::string Text;
};

/// Sends statements to the first daemon that responds. A statement that is sent
/// again keeps its command id, so that it takes effect at most once.
class ControlClient {
public:
  struct Options {
    /// HTTP addresses of entry or state daemons.
    std::vector<Network::Address> Daemons;
    std::string OperatorToken;
    bool Json = false;
  };

  ControlClient(Network::EventLoop &Loop, Options ClientOptions);
  /// Blocks until a daemon has responded or each was tried twice.
  ControlResult run(const std::string &Statement, const std::string &CommandId);

private:
  Network::EventLoop &Loop;
  Options ClientOptions;
  Network::HttpClient Http;
};

} // namespace Control

#endif
