#ifndef SYCAMOREREACH_ENTRYDAEMON_CONTROLLINK_H
#define SYCAMOREREACH_ENTRYDAEMON_CONTROLLINK_H

#include "Common/Random.h"
#include "Network/FrameSocket.h"
#include "State/ControlProtocol.h"

#include <functional>
#include <memory>
#include <vector>

namespace EntryDaemon {

/// An entry daemon's one link to the state daemons. It polls the leader
/// through the state daemon at the other end, and moves on to another one when
/// answers stay away.
class ControlLink {
public:
  struct Options {
    Common::DaemonId Self;
    Common::DataCentreId DataCentre;
    Network::ClusterKey Key;
    /// Links of the seeds, until the group's members are known.
    std::vector<Network::Address> Seeds;
    std::uint64_t RandomSeed = 1;
  };
  struct Handlers {
    std::function<void(const State::RegistryDelta &)> OnServers;
    std::function<void(const State::DeclarationPush &)> OnDeclaration;
    /// Fills in what the daemon asks for; called for each poll.
    std::function<void(State::EntryPoll &)> FillPoll;
    /// An answer, and when the poll was sent.
    std::function<void(const State::EntryPollAnswer &, Common::TimePoint)>
        OnAnswer;
  };

  ControlLink(Network::EventLoop &Loop, Options Wanted, Handlers Handle);

  /// Polls within a moment rather than at the next turn.
  void pollSoon();
  /// Polls after Delay, if none was asked for sooner.
  void pollAfter(Common::Duration Delay);
  /// New seeds from the settings.
  void setSeeds(std::vector<Network::Address> Seeds);

private:
  void connect();
  void moveOn(const char *Reason);
  void received(const std::string &Payload);
  void poll();
  void check();
  std::vector<Network::Address> order();

  Network::EventLoop &Loop;
  Options Wanted;
  Handlers Handle;
  Common::Random Randomness;
  Common::Incarnation Life;
  std::vector<State::StatePlace> Places;
  std::vector<Network::Address> Order;
  std::size_t NextInOrder = 0;
  std::unique_ptr<Network::FrameClient> Link;
  std::uint64_t Sequence = 0;
  std::map<std::uint64_t, Common::TimePoint> SentAt;
  Common::TimePoint AnsweredAt;
  Common::TimePoint ConnectedAt;
  Common::TimePoint PolledAt;
  Network::EventHandle PollTimer;
  Network::EventHandle SoonTimer;
  bool Soon = false;
};

} // namespace EntryDaemon

#endif
