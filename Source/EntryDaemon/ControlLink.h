#ifndef SYCAMOREREACH_ENTRYDAEMON_CONTROLLINK_H
#define SYCAMOREREACH_ENTRYDAEMON_CONTROLLINK_H

#include "Common/Random.h"
#include "Network/FrameSocket.h"
#include "State/ControlProtocol.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace EntryDaemon {

/// An entry daemon's connection to the state daemons. It polls the leader
/// through one state daemon. When answers do not arrive in time, it tries
/// others beside it, one shortly after the other, and changes to the first one
/// through which the leader answers.
class ControlLink {
public:
  struct Options {
    Common::DaemonId Self;
    Common::DataCentreId DataCentre;
    Network::ClusterKey Key;
    /// Link addresses used until the list of state daemons is received.
    std::vector<Network::Address> Seeds;
    std::uint64_t RandomSeed = 1;
  };
  struct Handlers {
    /// Returns the servers whose records are to be requested from the sender.
    std::function<std::vector<Common::BackendServerId>(
        const State::RegistryDelta &)>
        OnRegistryDelta;
    /// Gets a declaration and the name of what it came with, for the log.
    std::function<void(const State::DeclarationPush &, const char *)>
        OnDeclaration;
    /// The version of the daemon's declaration, if it has one.
    std::function<std::optional<Common::ConfigurationVersion>()> HeldVersion;
    /// Completes each poll with the daemon's own report before it is sent.
    std::function<void(State::EntryPoll &)> FillPoll;
    /// Gets the answer and the time at which its poll was sent.
    std::function<void(const State::EntryPollResponse &, Common::TimePoint)>
        OnPollAnswer;
    std::function<void(const State::TokenDecisions &)> OnTokenDecisions;
    std::function<void(const State::ServerLoads &)> OnServerLoads;
    /// Completes the report that accompanies each poll.
    std::function<void(State::EntryReport &)> FillReport;
    /// Gets the directives and the time at which the poll was sent to which
    /// they belong; nothing if they were sent unasked.
    std::function<void(const State::EntryDirectives &,
                       std::optional<Common::TimePoint>)>
        OnDirectives;
    std::function<void(const State::ServerSpeeds &)> OnServerSpeeds;
    std::function<void(const State::ServerVersions &)> OnServerVersions;
    /// A connection to a state daemon was opened; what was sent on an earlier
    /// one may be lost.
    std::function<void()> OnConnected;
  };

  ControlLink(Network::EventLoop &Loop, Options Opts, Handlers EventHandlers);

  /// Whether a message of the state daemon is on its way, as it is for a while
  /// with a large one on a slow link.
  bool isReceiving() const { return this->Current.Client->isReceiving(); }
  /// Polls within a few milliseconds instead of at the next regular time.
  void pollSoon();
  /// Polls after Delay, unless a poll is already scheduled.
  void schedulePoll(Common::Duration Delay);
  /// Requests tokens from the connected state daemon. Entry and Incarnation are
  /// filled in. Returns false if nothing was sent.
  bool requestTokens(State::TokenRequest Request);
  void setSeeds(std::vector<Network::Address> Seeds);

private:
  using LinkNumber = Common::StrongNumber<struct LinkNumberTag>;
  struct StateLink {
    LinkNumber Number;
    std::unique_ptr<Network::FrameClient> Client;
    /// When the connection attempt began.
    Common::TimePoint StartedAt;
  };

  StateLink connect(const Network::Address &StateDaemon);
  void handleConnected(LinkNumber Number);
  void handleFrame(LinkNumber From, const std::string &Payload);
  void poll();
  void sendPoll(Network::FrameClient &To);
  void sendReport(Network::FrameClient &To);
  void requestDeclaration(Network::FrameClient &From);
  void handleRequestedDeclaration(const State::RequestedDeclaration &Received);
  void handleDirectives(const State::EntryDirectives &Directives);
  void handleRegistryDelta(LinkNumber From, const State::RegistryDelta &Delta);
  void checkConnection();
  bool isAnswerOverdue() const;
  void closeFailedAttempts();
  bool isTried(const Network::Address &StateDaemon) const;
  /// Tries the next candidate beside the current link.
  void tryNextCandidate();
  void changeTo(LinkNumber Number);
  /// Null if there is no such link any more.
  Network::FrameClient *find(LinkNumber Number);
  Network::Address nextCandidate();
  std::vector<Network::Address> connectionOrder();

  Network::EventLoop &Loop;
  Options Opts;
  Handlers EventHandlers;
  Common::Random Randomness;
  Common::Incarnation Incarnation;
  std::vector<State::StateEndpoint> StateDaemons;
  /// Addresses to connect to, in order of preference.
  std::vector<Network::Address> Candidates;
  std::size_t NextCandidate = 0;
  LinkNumber LastLinkNumber;
  StateLink Current;
  /// Links to other state daemons while answers are overdue.
  std::vector<StateLink> Attempts;
  Network::EventHandle AttemptTimer;
  std::uint64_t Sequence = 0;
  /// Send times of unanswered polls, by sequence number.
  std::map<std::uint64_t, Common::TimePoint> PollSentAt;
  /// The same for the reports that accompany the polls.
  std::map<std::uint64_t, Common::TimePoint> ReportSentAt;
  Common::TimePoint LastAnswerAt;
  Common::TimePoint LastPollAt;
  Network::EventHandle PollTimer;
  Network::EventHandle ScheduledPollTimer;
  bool PollScheduled = false;
};

} // namespace EntryDaemon

#endif
