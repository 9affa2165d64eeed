#include "Membership/ServerRegistry.h"
#include "Network/Codec.h"
#include "StateDaemon/ServerEndRecorder.h"
#include "UnitTests/Consensus/SimulatedGroup.h"
#include "UnitTests/TestSeeds.h"

#include <boost/test/unit_test.hpp>
#include <memory>

// State daemons over a simulated network: servers leave while daemons fail.

namespace UnitTests {

namespace {

using namespace std::chrono_literals;
using Membership::ServerEnd;
using Membership::ServerPhase;
using Membership::ServerRecord;
using Membership::ServerRegistry;
using StateDaemon::ServerEndRecorder;

constexpr Common::Duration Step = 5ms;
/// As in the state daemons.
constexpr Common::Duration ChangeFlushDelay = 4ms;
constexpr Common::Duration CheckPeriod = 50ms;
/// A server calls the next daemon after this time without an answer.
constexpr Common::Duration AnswerTime = 1s;
/// Time after an acknowledgement within which a daemon may still use the
/// server.
constexpr Common::Duration DrainTime = 2s;
/// Within this time of the last fault, daemons are in touch again.
constexpr Common::Duration ContactTime = 3s;
constexpr std::size_t EntryDaemons = 3;
constexpr std::size_t Servers = 6;

class Simulation {
public:
  Simulation(std::size_t StateDaemons, std::uint64_t Seed)
      : Randomness(Seed), Group(StateDaemons, Seed), Daemons(StateDaemons),
        Entries(EntryDaemons), Leavers(Servers) {
    for (std::size_t I = 0; I < Servers; ++I)
      this->Leavers[I].Id = Common::BackendServerId("s" + std::to_string(I));
    for (std::size_t I = 0; I < StateDaemons; ++I)
      this->startDaemon(I);
    this->run(2s);
    while (!this->Group.propose(
        this->encode(State::RaiseProtocolLevelCommand{State::ServerEndsLevel})))
      this->run(100ms);
    this->run(200ms);
    for (Leaver &Each : this->Leavers)
      this->startLifetime(Each);
    this->run(500ms);
  }

  /// Lets servers leave while daemons fail, and then repairs everything.
  void runRound() {
    this->Chaos = true;
    for (int I = 0; I < 30; ++I) {
      this->Group.injectRandomFault();
      this->noticeStarts();
      for (Entry &Each : this->Entries)
        if (this->Randomness.chance(0.1))
          this->disconnect(Each, 1500ms);
      this->run(this->Randomness.between(20ms, 180ms));
    }
    this->Chaos = false;
    this->Group.clearFaults();
    this->noticeStarts();
    this->run(ContactTime);
    this->check();
  }

  int acknowledged() const { return this->Acknowledged; }
  const std::string &violation() const { return this->Violation; }
  const std::string &groupViolation() const { return this->Group.violation(); }

private:
  struct Daemon {
    bool Up = false;
    /// Counts its starts.
    int Lifetime = 0;
    State::ControlState Replicated;
    ServerRegistry Registry;
    std::unique_ptr<ServerEndRecorder> Recorder;
    std::size_t AppliedPayloads = 0;
    std::map<std::uint64_t, std::function<void()>> Proposals;
    std::vector<ServerRecord> ToPeers;
    std::vector<ServerRecord> ToEntries;
    Common::TimePoint FlushAt;
    Common::TimePoint NextCheck;
  };
  struct Entry {
    ServerRegistry Registry;
    std::optional<std::size_t> Daemon;
    int DaemonLifetime = 0;
    /// Counts its connections.
    int Connection = 0;
    Common::TimePoint ReconnectAt;
  };
  struct Leaver {
    Common::BackendServerId Id;
    std::uint64_t StartedAt = 0;
    std::uint64_t Sequence = 0;
    Common::TimePoint LeavesAt;
    bool Leaving = false;
    bool Acknowledged = false;
    /// The daemon that it calls.
    std::size_t Called = 0;
    /// Tells the answers of its calls apart.
    std::uint64_t Call = 0;
    Common::TimePoint CalledAt;
    Common::TimePoint NextLifetimeAt;
  };
  struct AcknowledgedEnd {
    ServerEnd End;
    Common::TimePoint At;
  };
  /// Something that arrives at a daemon.
  struct Frame {
    Common::TimePoint DeliverAt;
    std::size_t To = 0;
    std::function<void()> Deliver;
  };

  std::string encode(const State::ControlCommand &Command) {
    return Network::encode(std::make_pair(++this->LastProposal, Command));
  }

  void startDaemon(std::size_t Index) {
    Daemon &Self = this->Daemons[Index];
    const int Lifetime = Self.Lifetime + 1;
    Self = Daemon();
    Self.Up = true;
    Self.Lifetime = Lifetime;
    ServerEndRecorder::Handlers Handlers;
    Handlers.Propose = [this, Index](State::RecordServerEndsCommand Command,
                                     std::function<void()> OnApplied) {
      if (this->Group.leader() != Index)
        return;
      const std::string Payload = this->encode(std::move(Command));
      const std::uint64_t Number = this->LastProposal;
      if (this->Group.propose(Payload))
        this->Daemons[Index].Proposals[Number] = std::move(OnApplied);
    };
    Handlers.SendToLeader = [this,
                             Index](const State::ServerEndRequest &Request) {
      this->sendToLeader(Index, Request);
    };
    Handlers.SendToMembers = [](const ServerEndRecorder::Ends &,
                                const std::function<void()> &) {};
    Self.Recorder = std::make_unique<ServerEndRecorder>(Self.Replicated,
                                                        std::move(Handlers));
  }

  /// Forgets the memory of daemons that ended, and starts those that came back.
  void noticeStarts() {
    for (std::size_t I = 0; I < this->Daemons.size(); ++I) {
      const bool Running = this->Group.running(I);
      if (this->Daemons[I].Up && !Running)
        this->Daemons[I].Up = false;
      else if (!this->Daemons[I].Up && Running)
        this->startDaemon(I);
    }
  }

  void kill(std::size_t Index) {
    this->Group.crash(Index);
    this->noticeStarts();
  }

  bool isLive(std::size_t Index, int Lifetime) const {
    return this->Daemons[Index].Up && this->Daemons[Index].Lifetime == Lifetime;
  }

  void send(std::size_t From, std::size_t To, std::function<void()> Deliver) {
    if (this->Group.isBlocked(From, To) || !this->Daemons[To].Up)
      return;
    const int Lifetime = this->Daemons[To].Lifetime;
    this->Frames.push_back(
        {this->Group.now() + this->Randomness.between(1ms, 20ms), To,
         [this, To, Lifetime, Deliver = std::move(Deliver)] {
           if (this->isLive(To, Lifetime))
             Deliver();
         }});
  }

  void sendToLeader(std::size_t From, const State::ServerEndRequest &Request) {
    const auto &Leader = this->Group.replica(From).leader();
    for (std::size_t To = 0; To < this->Daemons.size(); ++To) {
      if (To == From || this->Group.member(To).Id != Leader)
        continue;
      const int Lifetime = this->Daemons[From].Lifetime;
      this->send(From, To, [this, From, To, Lifetime, Request] {
        if (this->Group.leader() != To)
          return;
        this->Daemons[To].Recorder->handleRequest(
            Request, [this, From, To, Lifetime, Request] {
              this->send(To, From, [this, From, Lifetime, Request] {
                if (this->isLive(From, Lifetime))
                  this->Daemons[From].Recorder->confirm(Request.Ends);
              });
            });
      });
    }
  }

  void publish(std::size_t Index, const Common::BackendServerId &Id,
               bool ToPeers) {
    Daemon &Self = this->Daemons[Index];
    const ServerRecord &Record = Self.Registry.find(Id)->Record;
    if (Self.ToEntries.empty() && Self.ToPeers.empty())
      Self.FlushAt = this->Group.now() + ChangeFlushDelay;
    Self.ToEntries.push_back(Record);
    if (ToPeers)
      Self.ToPeers.push_back(Record);
  }

  void flush(std::size_t Index) {
    Daemon &Self = this->Daemons[Index];
    for (std::size_t To = 0; To < this->Daemons.size(); ++To)
      if (To != Index)
        this->send(Index, To, [this, To, Records = Self.ToPeers] {
          for (const ServerRecord &Each : Records)
            this->update(To, Each, false);
        });
    for (Entry &Each : this->Entries)
      if (Each.Daemon == Index && Each.DaemonLifetime == Self.Lifetime)
        for (const ServerRecord &Record : Self.ToEntries)
          Each.Registry.update(Record, this->Group.now());
    Self.ToPeers.clear();
    Self.ToEntries.clear();
  }

  void update(std::size_t Index, const ServerRecord &Record, bool ToPeers) {
    if (this->Daemons[Index].Registry.update(Record, this->Group.now()) ==
        ServerRegistry::Outcome::Changed)
      this->publish(Index, Record.Id, ToPeers);
  }

  void applyEnd(std::size_t Index, const ServerEnd &End, bool ToPeers) {
    if (this->Daemons[Index].Registry.applyEnd(End, this->Group.now()))
      this->publish(Index, End.Id, ToPeers);
  }

  void applyPayloads(std::size_t Index) {
    Daemon &Self = this->Daemons[Index];
    const std::vector<std::string> &Payloads = this->Group.applied(Index);
    for (; Self.AppliedPayloads < Payloads.size(); ++Self.AppliedPayloads) {
      const auto Decoded =
          *Network::decode<std::pair<std::uint64_t, State::ControlCommand>>(
              Payloads[Self.AppliedPayloads]);
      Self.Replicated.apply(Decoded.second);
      if (const auto *Recorded =
              std::get_if<State::RecordServerEndsCommand>(&Decoded.second)) {
        for (const ServerEnd &Each : Recorded->Ends)
          this->applyEnd(Index, Each, false);
        Self.Recorder->confirm(Recorded->Ends);
      }
      const auto Proposal = Self.Proposals.find(Decoded.first);
      if (Proposal == Self.Proposals.end())
        continue;
      const auto OnApplied = std::move(Proposal->second);
      Self.Proposals.erase(Proposal);
      OnApplied();
      if (!Self.Up)
        return;
    }
  }

  void disconnect(Entry &Each, Common::Duration MaxTime) {
    Each.Daemon.reset();
    Each.ReconnectAt =
        this->Group.now() + this->Randomness.between(100ms, MaxTime);
  }

  void runEntry(Entry &Self) {
    if (Self.Daemon && !this->isLive(*Self.Daemon, Self.DaemonLifetime))
      this->disconnect(Self, 500ms);
    if (Self.Daemon || this->Group.now() < Self.ReconnectAt)
      return;
    const std::size_t To = this->Randomness.below(this->Daemons.size());
    if (!this->Daemons[To].Up || this->Group.isPaused(To))
      return;
    Self.Daemon = To;
    Self.DaemonLifetime = this->Daemons[To].Lifetime;
    for (const ServerRecord &Each : this->Daemons[To].Registry.records())
      Self.Registry.update(Each, this->Group.now());
  }

  ServerRecord heartbeat(Leaver &Server) {
    ServerRecord Result;
    Result.Id = Server.Id;
    Result.Service = Common::ServiceName("shop");
    Result.Address = {"10.1.0." + Server.Id.str().substr(1), 80};
    Result.Slots = 4;
    Result.StartedAt = Server.StartedAt;
    Result.Sequence = ++Server.Sequence;
    return Result;
  }

  void announce(Leaver &Server) {
    const std::size_t To = this->Randomness.below(this->Daemons.size());
    if (this->Daemons[To].Up && !this->Group.isPaused(To))
      this->update(To, this->heartbeat(Server), true);
  }

  void startLifetime(Leaver &Server) {
    const Common::BackendServerId Id = Server.Id;
    const std::uint64_t StartedAt = Server.StartedAt + 1;
    const std::uint64_t Call = Server.Call;
    Server = Leaver();
    Server.Id = Id;
    Server.StartedAt = StartedAt;
    Server.Call = Call;
    Server.LeavesAt =
        this->Group.now() + this->Randomness.between(500ms, 5000ms);
    this->announce(Server);
  }

  void callDaemon(std::size_t Number) {
    Leaver &Server = this->Leavers[Number];
    Server.CalledAt = this->Group.now();
    const std::uint64_t Call = ++Server.Call;
    const std::size_t Called = Server.Called;
    if (!this->Daemons[Called].Up || this->Group.isPaused(Called))
      return;
    const ServerPhase Phase =
        this->Randomness.chance(0.5) ? ServerPhase::Gone : ServerPhase::Leaving;
    const ServerEnd End{Server.Id, Server.StartedAt, Phase};
    this->applyEnd(Called, End, true);
    this->Daemons[Called].Recorder->record(
        End, this->Group.now(),
        [this, Number, Call, Called, End](ServerEndRecorder::Outcome Outcome) {
          // The owner may run this inside its recorder, which a kill frees.
          this->Answers.push_back([this, Number, Call, Called, End, Outcome] {
            this->handleAnswer(Number, Call, Called, End, Outcome);
          });
        });
    this->sendEnds(Called);
  }

  void handleAnswer(std::size_t Number, std::uint64_t Call, std::size_t Called,
                    const ServerEnd &End, ServerEndRecorder::Outcome Outcome) {
    Leaver &Server = this->Leavers[Number];
    if (Server.Call != Call || Server.Acknowledged)
      return;
    if (Outcome == ServerEndRecorder::Outcome::Unknown) {
      this->callNext(Number);
      return;
    }
    Server.Acknowledged = true;
    Server.NextLifetimeAt =
        this->Group.now() + this->Randomness.between(1000ms, 4000ms);
    this->Ended.push_back({End, this->Group.now()});
    ++this->Acknowledged;
    if (!this->Chaos || !this->Randomness.chance(0.6))
      return;
    // The daemon loses power before anything else happens, at times with all
    // others.
    this->kill(Called);
    if (this->Randomness.chance(0.2))
      for (std::size_t I = 0; I < this->Daemons.size(); ++I)
        this->kill(I);
  }

  void callNext(std::size_t Number) {
    Leaver &Server = this->Leavers[Number];
    Server.Called = (Server.Called + 1) % this->Daemons.size();
    this->callDaemon(Number);
  }

  void runServer(std::size_t Number) {
    Leaver &Server = this->Leavers[Number];
    const Common::TimePoint Now = this->Group.now();
    if (Server.Acknowledged) {
      if (Now >= Server.NextLifetimeAt)
        this->startLifetime(Server);
      else if (this->Randomness.chance(0.01))
        this->announce(Server);
    } else if (!Server.Leaving) {
      if (Now >= Server.LeavesAt) {
        Server.Leaving = true;
        Server.Called = this->Randomness.below(this->Daemons.size());
        this->callDaemon(Number);
      } else if (this->Randomness.chance(0.02)) {
        this->announce(Server);
      }
    } else if (Now - Server.CalledAt >= AnswerTime) {
      this->callNext(Number);
    }
  }

  void sendEnds(std::size_t Index) {
    this->Daemons[Index].Recorder->send(this->Group.now(),
                                        this->Group.leader() == Index);
  }

  void runDaemon(std::size_t Index) {
    Daemon &Self = this->Daemons[Index];
    if (!Self.Up || this->Group.isPaused(Index))
      return;
    this->applyPayloads(Index);
    const bool Changed = !Self.ToEntries.empty() || !Self.ToPeers.empty();
    if (Changed && this->Group.now() >= Self.FlushAt)
      this->flush(Index);
    if (this->Group.now() < Self.NextCheck)
      return;
    Self.NextCheck = this->Group.now() + CheckPeriod;
    Self.Recorder->expire(this->Group.now());
    this->sendEnds(Index);
  }

  void deliver() {
    std::vector<Frame> Due;
    std::vector<Frame> NotDue;
    for (Frame &Each : this->Frames) {
      const bool Arrives =
          Each.DeliverAt <= this->Group.now() && !this->Group.isPaused(Each.To);
      (Arrives ? Due : NotDue).push_back(std::move(Each));
    }
    this->Frames = std::move(NotDue);
    for (const Frame &Each : Due)
      Each.Deliver();
  }

  void run(Common::Duration Span) {
    const Common::TimePoint End = this->Group.now() + Span;
    while (this->Group.now() < End) {
      this->Group.run(Step);
      this->noticeStarts();
      this->deliver();
      for (std::size_t I = 0; I < this->Daemons.size(); ++I)
        this->runDaemon(I);
      const auto Arrived = std::exchange(this->Answers, {});
      for (const auto &Each : Arrived)
        Each();
      for (std::size_t I = 0; I < this->Leavers.size(); ++I)
        this->runServer(I);
      for (Entry &Each : this->Entries)
        this->runEntry(Each);
    }
  }

  void check() {
    const auto CheckRegistry = [this](const ServerRegistry &Registry,
                                      const std::string &Owner) {
      for (const auto &[Each, AcknowledgedAt] : this->Ended) {
        if (this->Group.now() - AcknowledgedAt <= DrainTime)
          continue;
        const auto *Known = Registry.find(Each.Id);
        if (Known &&
            !ServerEnd{Each.Id, Known->Record.StartedAt, Known->Record.Phase}
                 .covers(Each))
          this->Violation = Owner + " uses " + Each.Id.str() + ", lifetime " +
                            std::to_string(Each.StartedAt) +
                            ", after its end was acknowledged; it knows " +
                            std::to_string(Known->Record.StartedAt) + " as " +
                            Membership::nameOf(Known->Record.Phase);
      }
      for (const Leaver &Each : this->Leavers) {
        const auto *Known = Registry.find(Each.Id);
        if (Known && !Each.Leaving &&
            Known->Record.StartedAt == Each.StartedAt &&
            Known->Record.Phase != ServerPhase::Serving)
          this->Violation = Owner + " does not use " + Each.Id.str() +
                            ", which did not leave";
      }
    };
    for (std::size_t I = 0; I < this->Entries.size(); ++I)
      CheckRegistry(this->Entries[I].Registry,
                    "entry daemon " + std::to_string(I));
    for (std::size_t I = 0; I < this->Daemons.size(); ++I)
      CheckRegistry(this->Daemons[I].Registry,
                    "state daemon " + std::to_string(I));
    for (const Leaver &Each : this->Leavers)
      if (Each.Leaving && !Each.Acknowledged &&
          this->Group.now() - Each.LeavesAt > ContactTime)
        this->Violation = Each.Id.str() + " gets no acknowledgement";
  }

  Common::Random Randomness;
  SimulatedGroup Group;
  std::vector<Daemon> Daemons;
  std::vector<Entry> Entries;
  std::vector<Leaver> Leavers;
  std::vector<Frame> Frames;
  std::vector<std::function<void()>> Answers;
  std::vector<AcknowledgedEnd> Ended;
  std::uint64_t LastProposal = 0;
  bool Chaos = false;
  int Acknowledged = 0;
  std::string Violation;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ServerEndSimulation_)

// Guards against DRAIN: an acknowledged end of a server was lost with the
// daemons that failed, or a delayed heartbeat undid it.
// SYCAMORE_TEST_FIRST_SEED and SYCAMORE_TEST_LAST_SEED choose other seeds.
BOOST_AUTO_TEST_CASE(AcknowledgedEndsOutliveAnyDaemons) {
  const auto Seeds = TestSeeds::create(40);
  int Acknowledged = 0;
  for (std::uint64_t Seed = Seeds.First; Seed <= Seeds.Last; ++Seed) {
    BOOST_TEST_CONTEXT("seed " << Seed) {
      Simulation Play(3 + 2 * (Seed % 3), Seed);
      Play.runRound();
      Play.runRound();
      BOOST_TEST(Play.violation() == "");
      BOOST_TEST(Play.groupViolation() == "");
      Acknowledged += Play.acknowledged();
    }
  }
  BOOST_TEST(Acknowledged > 0);
  BOOST_TEST_MESSAGE(Acknowledged << " ends acknowledged");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
