#include "StateDaemon/Controller.h"

#include "Network/Codec.h"

// Reports of entry daemons, and what the leader directs.

namespace StateDaemon {

void Controller::handleEntryReport(Network::ConnectionId From,
                                   State::EntryReport Report) {
  if (this->Driver->holdsLeadership() && this->Reports) {
    const Common::TimePoint Now = this->Loop.now();
    State::EntryDirectives Answer = this->Reports->handleReport(Report, Now);
    if (this->Tracker)
      Answer.Crashes =
          this->Tracker->handleDisproofs(Report.DisprovedCrashes, Now);
    this->sendTo(From, Answer);
    return;
  }
  // Forwarded at most once, as polls are.
  const auto Entry = this->Entries.find(Report.Entry);
  if (Entry == this->Entries.end() || Entry->second != From)
    return;
  if (Network::FrameClient *Leader = this->leaderLink())
    Leader->send(Network::encode(State::ControlFrame(std::move(Report))));
}

void Controller::forwardDirectives(const State::EntryDirectives &Directives) {
  const auto Entry = this->Entries.find(Directives.Entry);
  if (Entry != this->Entries.end())
    this->sendTo(Entry->second, Directives);
}

void Controller::publishReports() {
  if (!this->Reports || !this->Driver->holdsLeadership())
    return;
  const Common::TimePoint Now = this->Loop.now();
  this->planRollouts(Now);
  this->Reports->setServers(this->Registry, Now);
  if (const auto Urgent = this->Reports->takeUrgent(Now)) {
    this->broadcastToPeers(*Urgent);
    this->broadcastToEntries(*Urgent);
  }
  if (const auto Speeds = this->Reports->takeSpeeds(Now)) {
    this->broadcastToPeers(*Speeds);
    this->broadcastToEntries(*Speeds);
  }
}

} // namespace StateDaemon
