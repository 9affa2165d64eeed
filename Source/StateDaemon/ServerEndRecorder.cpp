#include "StateDaemon/ServerEndRecorder.h"

#include <algorithm>
#include <iterator>

namespace StateDaemon {

void ServerEndRecorder::record(const Membership::ServerEnd &End,
                               Common::TimePoint Now, Callback OnDone) {
  this->Waiting[End].Calls.push_back({Now, std::move(OnDone)});
}

ServerEndRecorder::Ends ServerEndRecorder::takeDue(Common::TimePoint Now) {
  Ends Result;
  for (auto &[End, Each] : this->Waiting) {
    if (Each.Sent && Now - Each.SentAt < ResendInterval)
      continue;
    Each.Sent = true;
    Each.SentAt = Now;
    Result.push_back(End);
  }
  return Result;
}

void ServerEndRecorder::send(Common::TimePoint Now, bool Leads) {
  Ends Recordable;
  Ends Others;
  for (const Membership::ServerEnd &Each : this->takeDue(Now)) {
    // Without a start time, a recorded end would also end later incarnations
    // for as long as the log keeps it.
    const bool LogTakesIt =
        Each.StartedAt != 0 &&
        this->State.protocolLevel() >= State::ServerEndsLevel;
    (LogTakesIt ? Recordable : Others).push_back(Each);
  }
  if (!Others.empty())
    this->OwnerHandlers.SendToMembers(
        Others, [this, Others] { this->confirm(Others); });
  if (Recordable.empty())
    return;
  if (Leads)
    this->propose(Recordable,
                  [this, Recordable] { this->confirm(Recordable); });
  else
    this->OwnerHandlers.SendToLeader(State::ServerEndRequest{Recordable});
}

void ServerEndRecorder::handleRequest(const State::ServerEndRequest &Request,
                                      std::function<void()> OnRecorded) {
  if (this->State.protocolLevel() >= State::ServerEndsLevel)
    this->propose(Request.Ends, std::move(OnRecorded));
}

void ServerEndRecorder::propose(const Ends &Proposed,
                                std::function<void()> OnRecorded) {
  State::RecordServerEndsCommand Command;
  std::copy_if(Proposed.begin(), Proposed.end(),
               std::back_inserter(Command.Ends),
               [this](const Membership::ServerEnd &Each) {
                 return !this->State.hasServerEnd(Each);
               });
  if (Command.Ends.empty())
    OnRecorded();
  else
    this->OwnerHandlers.Propose(std::move(Command), std::move(OnRecorded));
}

void ServerEndRecorder::confirm(const Ends &Recorded) {
  std::vector<Call> Completed;
  for (const Membership::ServerEnd &Each : Recorded) {
    // The ends of one server are neighbours, ordered by their start time.
    auto At =
        this->Waiting.lower_bound({Each.Id, 0, Membership::ServerPhase{}});
    while (At != this->Waiting.end() && Each.covers(At->first)) {
      std::move(At->second.Calls.begin(), At->second.Calls.end(),
                std::back_inserter(Completed));
      At = this->Waiting.erase(At);
    }
  }
  complete(Completed, Outcome::Recorded);
}

void ServerEndRecorder::expire(Common::TimePoint Now) {
  std::vector<Call> Expired;
  for (auto At = this->Waiting.begin(); At != this->Waiting.end();) {
    std::vector<Call> &Calls = At->second.Calls;
    const auto FirstExpired = std::stable_partition(
        Calls.begin(), Calls.end(),
        [Now](const Call &Each) { return Now - Each.AddedAt < Timeout; });
    std::move(FirstExpired, Calls.end(), std::back_inserter(Expired));
    Calls.erase(FirstExpired, Calls.end());
    At = Calls.empty() ? this->Waiting.erase(At) : std::next(At);
  }
  complete(Expired, Outcome::Unknown);
}

void ServerEndRecorder::complete(const std::vector<Call> &Calls,
                                 Outcome Result) {
  for (const Call &Each : Calls)
    Each.OnDone(Result);
}

} // namespace StateDaemon
