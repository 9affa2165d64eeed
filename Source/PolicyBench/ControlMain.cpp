#include "Network/Codec.h"
#include "Network/EventLoop.h"
#include "Network/Frame.h"
#include "Routing/ServerTable.h"
#include "StateDaemon/EntryDaemonTracker.h"
#include "StateDaemon/TokenPool.h"

#include <absl/strings/str_format.h>
#include <cmath>
#include <iostream>

namespace {

using namespace std::chrono_literals;

constexpr std::size_t StateDaemons = 6;
constexpr std::size_t Teams = 40;
/// Requests a second that reach one entry daemon, and those of them whose
/// tokens are requested.
constexpr double RequestsPerSecond = 3.6;
constexpr double PollsPerSecond = 2.5;
constexpr double LoadMessagesPerSecond = 4;
constexpr int Rounds = 4;

/// Processing time and bytes sent of one role, summed up.
class Meter {
public:
  explicit Meter(const Network::EventLoop &Loop) : Loop(Loop) {}
  template <typename Callable> void measure(Callable Run) {
    const Common::TimePoint Start = this->Loop.now();
    Run();
    this->Busy +=
        std::chrono::duration_cast<Common::Duration>(this->Loop.now() - Start);
  }
  void countSent(std::size_t Size) { this->Bytes += Size; }
  double coresOver(double Seconds) const {
    return Common::toSeconds(this->Busy) / Seconds;
  }
  double bytesPerSecond(double Seconds) const {
    return static_cast<double>(this->Bytes) / Seconds;
  }

private:
  const Network::EventLoop &Loop;
  Common::Duration Busy{};
  std::size_t Bytes = 0;
};

Common::BackendServerId serverId(std::size_t Number) {
  return Common::BackendServerId("i-" + std::to_string(1'000'000 + Number));
}

std::shared_ptr<const Configuration::ServiceMap> declareTeams() {
  Configuration::ServiceMapParts Parts;
  for (std::size_t I = 0; I < Teams; ++I) {
    Configuration::Team Each;
    Each.Name = Configuration::TeamName("team" + std::to_string(I));
    Each.TokenRate = 300'000;
    Each.TokenBurst = 300'000;
    Parts.Teams.push_back(Each);
  }
  return std::make_shared<const Configuration::ServiceMap>(
      *Configuration::ServiceMap::create(Parts));
}

State::EntryPoll makePoll(std::size_t Entry, std::size_t Servers, int Round) {
  State::EntryPoll Poll;
  Poll.Entry = Common::DaemonId("edge-" + std::to_string(Entry));
  Poll.Incarnation = {1};
  Poll.Sequence = static_cast<std::uint64_t>(Round) + 1;
  Poll.Wall = Common::WallTime{1'000'000};
  for (std::size_t I = 0; I < 4; ++I)
    Poll.Loads.push_back({serverId((Entry * 7 + I * 13) % Servers), 1, 2'000});
  Poll.Services.push_back({Common::ServiceName("models"), 0.2});
  for (std::uint64_t Window = 1; Window <= 4; ++Window)
    for (std::size_t Team = 0; Team < 12; ++Team)
      Poll.Usage.push_back(
          {State::UsageWindow{Window},
           Configuration::TeamName("team" +
                                   std::to_string((Entry + Team) % Teams)),
           3});
  for (std::size_t Team = 0; Team < 12; ++Team)
    Poll.RecentGrants.push_back(
        {Configuration::TeamName("team" +
                                 std::to_string((Entry + Team) % Teams)),
         std::vector<double>(8, 3'000)});
  return Poll;
}

/// The control messages of one second, through the trackers, pools, tables and
/// codecs of the daemons and without a network.
void measure(std::size_t Entries) {
  const auto Loop = *Network::EventLoop::create();
  const std::size_t Servers = std::max<std::size_t>(20, Entries / 2);
  const Network::FrameCodec Codec(Network::ClusterKey{"0123456789abcdef"});
  Meter Leader(*Loop);
  Meter Relay(*Loop);
  Meter Entry(*Loop);
  const auto Decode = [&Codec](std::string Bytes) {
    const auto Frame = Codec.decodeFrame(Bytes);
    return *Network::decode<State::ControlFrame>(
        std::get<Network::FrameCodec::Payload>(Frame).Bytes);
  };
  const auto Send = [&Codec](Meter &Sender, const State::ControlFrame &Frame) {
    std::string Bytes;
    Sender.measure([&] { Bytes = Codec.encodeFrame(Network::encode(Frame)); });
    Sender.countSent(Bytes.size());
    return Bytes;
  };
  const auto Declaration = declareTeams();
  const State::ControlState State;
  const Admission::AllowanceTolerance Tolerance{140'000, 0.1, 8s};
  Common::TimePoint Now(1000s);
  StateDaemon::EntryDaemonTracker Tracker(Tolerance, Now);
  std::vector<StateDaemon::TokenPool> Pools;
  for (std::size_t I = 0; I < StateDaemons; ++I) {
    Pools.emplace_back(Tolerance);
    Pools.back().setHolders(StateDaemons);
    Pools.back().setDeclaration(Declaration);
  }
  Routing::ServerTable Table({});
  Now += 10s;

  const auto Poll = [&](std::size_t I, int Round) {
    std::string Bytes = Send(Entry, makePoll(I, Servers, Round));
    State::ControlFrame Frame;
    Relay.measure([&] { Frame = Decode(Bytes); });
    Bytes = Send(Relay, Frame);
    State::ControlFrame Answer;
    Leader.measure([&] {
      Answer = Tracker.handlePoll(std::get<State::EntryPoll>(Decode(Bytes)),
                                  Declaration.get(), State, Now);
    });
    Bytes = Send(Leader, Answer);
    Relay.measure([&] { Frame = Decode(Bytes); });
    Bytes = Send(Relay, Frame);
    Entry.measure([&] { Decode(Bytes); });
  };
  std::uint64_t LastNeed = 0;
  const auto RequestTokens = [&](std::size_t I) {
    StateDaemon::TokenPool &Pool = Pools[I % StateDaemons];
    State::TokenRequest Request;
    Request.Entry = Common::DaemonId("edge-" + std::to_string(I));
    Request.Incarnation = {1};
    Request.Needs = {
        {++LastNeed,
         Configuration::TeamName("team" + std::to_string(LastNeed % Teams)),
         3'000, 300}};
    std::string Bytes = Send(Entry, Request);
    std::optional<State::TokenPoolRequest> Demand;
    Relay.measure([&] {
      Pool.handleRequest(std::get<State::TokenRequest>(Decode(Bytes)), Now);
      if (Pool.hasWaiting())
        Demand = Pool.takeDemand(Now);
    });
    if (Demand) {
      Bytes = Send(Relay, *Demand);
      State::ControlFrame Grant;
      Leader.measure([&] {
        Grant = Tracker.grantTokens(
            std::get<State::TokenPoolRequest>(Decode(Bytes)), Declaration.get(),
            Now);
      });
      Bytes = Send(Leader, Grant);
      Relay.measure([&] {
        Pool.handleGrant(std::get<State::TokenPoolGrant>(Decode(Bytes)), Now);
      });
    }
    std::vector<State::TokenDecisions> Decided;
    Relay.measure([&] { Decided = Pool.takeDecisions(); });
    for (const State::TokenDecisions &Each : Decided) {
      Bytes = Send(Relay, Each);
      Entry.measure([&] { Decode(Bytes); });
    }
  };
  const auto PublishLoads = [&] {
    State::ControlFrame Totals;
    Leader.measure([&] {
      Tracker.expire(Now);
      Totals = Tracker.totalLoads();
    });
    const std::string Bytes = Send(Leader, Totals);
    Leader.countSent(Bytes.size() * (StateDaemons - 2));
    // State daemons pass the frame on as it is.
    Relay.countSent(Bytes.size() * Entries);
    Entry.measure([&] {
      const State::ControlFrame Frame = Decode(Bytes);
      std::vector<Routing::ServerTable::Load> Loads;
      for (const State::ServerLoad &Each :
           std::get<State::ServerLoads>(Frame).Loads)
        Loads.push_back({Each.Id, Each.Requests, Each.PromptTokens});
      Table.setTotalLoads(Loads);
    });
  };

  for (int Round = 0; Round < Rounds; ++Round) {
    for (std::size_t I = 0; I < Entries; ++I)
      Poll(I, Round);
    const auto Requests = static_cast<std::size_t>(
        static_cast<double>(Entries) * RequestsPerSecond / PollsPerSecond);
    for (std::size_t I = 0; I < Requests; ++I) {
      Now += Common::fromSeconds(1 / PollsPerSecond /
                                 static_cast<double>(Requests));
      RequestTokens(I % Entries);
    }
    const auto Publications =
        static_cast<int>(std::lround(LoadMessagesPerSecond / PollsPerSecond));
    for (int I = 0; I < Publications; ++I)
      PublishLoads();
  }
  const double Seconds = Rounds / PollsPerSecond;
  const auto PerEntry = static_cast<double>(Entries);
  std::cout << absl::StrFormat(
      "  %5d  %5d  %8.4f %9.0f  %8.4f %9.0f  %8.5f %9.0f\n", Entries, Servers,
      Leader.coresOver(Seconds), Leader.bytesPerSecond(Seconds),
      Relay.coresOver(Seconds) / StateDaemons,
      Relay.bytesPerSecond(Seconds) / StateDaemons,
      Entry.coresOver(Seconds) / PerEntry,
      Entry.bytesPerSecond(Seconds) / PerEntry);
}

} // namespace

/// Measures how the control work of routed serving grows with the number of
/// entry daemons, for docs/CAPACITY.md: cores and bytes sent a second of the
/// leader, of each state daemon, and of each entry daemon.
int main() {
  std::cout << "entries servers    leader   bytes/s     state   bytes/s    "
               " entry   bytes/s\n";
  for (const std::size_t Entries : {30, 100, 300, 1000})
    measure(Entries);
  return 0;
}
