#ifndef SYCAMOREREACH_STATEDAEMON_SERVERENDRECORDER_H
#define SYCAMOREREACH_STATEDAEMON_SERVERENDRECORDER_H

#include "Common/Time.h"
#include "State/ControlProtocol.h"

#include <functional>
#include <map>
#include <vector>

namespace StateDaemon {

/// Has the ends of servers recorded where they outlive this daemon, before they
/// are acknowledged: in the replicated log, or by a majority of the members
/// while the log does not take them. A server whose end was acknowledged gets
/// no more requests, even if the daemon that acknowledged it fails at once.
class ServerEndRecorder {
public:
  using Ends = std::vector<Membership::ServerEnd>;
  enum class Outcome {
    Recorded,
    /// Not confirmed in time. It may still be recorded.
    Unknown,
  };
  using Callback = std::function<void(Outcome)>;
  struct Handlers {
    /// Proposes the command, as this daemon leads. Calls OnApplied once it is
    /// applied, and does not call it if the outcome is not known.
    std::function<void(State::RecordServerEndsCommand,
                       std::function<void()> OnApplied)>
        Propose;
    std::function<void(const State::ServerEndRequest &)> SendToLeader;
    /// Tells the other members, and calls OnHeld once a majority of the members
    /// holds the ends.
    std::function<void(const Ends &, std::function<void()> OnHeld)>
        SendToMembers;
  };

  /// State is the replicated state as this daemon has applied it.
  ServerEndRecorder(const State::ControlState &State, Handlers OwnerHandlers)
      : State(State), OwnerHandlers(std::move(OwnerHandlers)) {}

  /// Calls OnDone once the end is recorded, or Timeout has passed. The owner
  /// calls send before long.
  void record(const Membership::ServerEnd &End, Common::TimePoint Now,
              Callback OnDone);
  /// Sends the ends that are new, and those whose confirmation is overdue.
  void send(Common::TimePoint Now, bool Leads);
  /// Completes what has waited for longer than Timeout.
  void expire(Common::TimePoint Now);
  /// Handles the request of another daemon while this one leads. Calls
  /// OnRecorded once all ends are recorded, unless the outcome is not known.
  void handleRequest(const State::ServerEndRequest &Request,
                     std::function<void()> OnRecorded);
  /// Completes what is covered by recorded ends.
  void confirm(const Ends &Recorded);
  std::size_t pending() const { return this->Waiting.size(); }

  /// Servers call another daemon after a second without an answer.
  static constexpr Common::Duration Timeout = std::chrono::milliseconds(800);
  /// Longer than a confirmation takes, so that ends are seldom sent twice.
  static constexpr Common::Duration ResendInterval =
      std::chrono::milliseconds(200);

private:
  struct Call {
    Common::TimePoint AddedAt;
    Callback OnDone;
  };
  struct Entry {
    std::vector<Call> Calls;
    bool Sent = false;
    Common::TimePoint SentAt;
  };
  Ends takeDue(Common::TimePoint Now);
  void propose(const Ends &Proposed, std::function<void()> OnRecorded);
  static void complete(const std::vector<Call> &Calls, Outcome Result);

  const State::ControlState &State;
  Handlers OwnerHandlers;
  std::map<Membership::ServerEnd, Entry> Waiting;
};

} // namespace StateDaemon

#endif
