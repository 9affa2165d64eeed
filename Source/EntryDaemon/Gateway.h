#ifndef SYCAMOREREACH_ENTRYDAEMON_GATEWAY_H
#define SYCAMOREREACH_ENTRYDAEMON_GATEWAY_H

#include "EntryDaemon/ControlLink.h"
#include "EntryDaemon/GatewayContext.h"
#include "EntryDaemon/RoutedCall.h"
#include "Network/Http1Server.h"

#include <memory>
#include <vector>

namespace EntryDaemon {

/// An entry daemon of routed serving: it takes callers' requests and passes
/// them on to backend servers by the declaration in force.
class Gateway {
public:
  static absl::StatusOr<std::unique_ptr<Gateway>>
  create(Network::EventLoop &Loop, GatewaySettings Settings,
         std::function<absl::StatusOr<GatewaySettings>()> Reread);

  /// Runs until a signal ends it; the exit code.
  int run();

private:
  Gateway(Network::EventLoop &Loop, GatewaySettings Settings);
  absl::Status listen();
  void openControlLink();
  void accept(const std::shared_ptr<Network::Http1Exchange> &Exchange);
  void serversChanged(const State::RegistryDelta &Delta);
  void declared(const State::DeclarationPush &Push);
  void fillPoll(State::EntryPoll &Asked);
  void answered(const State::EntryPollResponse &Answer,
                Common::TimePoint AskedAt);
  bool ready() const;
  void noticeReadiness();
  void reload();
  void shutDown();
  void checkShutdown();

  Network::EventLoop &Loop;
  GatewayContext Context;
  std::function<absl::StatusOr<GatewaySettings>()> Reread;
  std::unique_ptr<Network::Http1Server> Callers;
  std::unique_ptr<Network::Http1Server> Readiness;
  std::unique_ptr<Network::Http1Server> MetricsHttp;
  std::unique_ptr<ControlLink> Control;
  std::uint32_t EntryCount = 0;
  Common::ConfigurationVersion HeardOf;
  bool WasReady = false;
  bool ShuttingDown = false;
  Common::TimePoint StoppingSince;
  std::vector<Network::EventHandle> Handles;
  Network::EventHandle StopTimer;
};

} // namespace EntryDaemon

#endif
