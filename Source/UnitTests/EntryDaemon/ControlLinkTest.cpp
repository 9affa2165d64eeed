#include "EntryDaemon/ControlLink.h"

#include "Network/Codec.h"
#include "Network/Compression.h"
#include "Network/RawPeer.h"
#include "Network/SocketAddress.h"

#include <boost/test/unit_test.hpp>
#include <sys/socket.h>
#include <unistd.h>

namespace UnitTests {

namespace {

using namespace std::chrono_literals;
using EntryDaemon::ControlLink;

const Network::ClusterKey Key{"0123456789abcdef"};
/// Within this time of a failure an entry daemon is in touch again
/// (`contact-ms`).
constexpr Common::Duration ContactTime = 3s;

/// A state daemon through which the leader answers polls.
class LiveDaemon {
public:
  LiveDaemon(Network::EventLoop &Loop, const Network::Address &At,
             std::vector<State::StateEndpoint> Members)
      : Members(std::move(Members)) {
    Network::FrameServer::Handlers Handlers;
    Handlers.OnPayload = [this](Network::ConnectionId From,
                                const std::string &Payload) {
      this->handle(From, *Network::decode<State::ControlFrame>(Payload));
    };
    Handlers.OnClosed = [](Network::ConnectionId) {};
    Handlers.OnRefused = [](Common::RefusalReason) {};
    this->Server =
        *Network::FrameServer::create(Loop, At, Key, std::move(Handlers));
  }

  bool HasLeader = true;
  int Hellos = 0;
  /// Sent one after the other, each in response to a request.
  std::vector<State::RequestedDeclaration> Declarations;
  int DeclarationRequests = 0;
  /// Sent in response to the greeting.
  std::optional<State::RegistryDelta> Refreshes;
  std::vector<Common::BackendServerId> RequestedRecords;

private:
  void handle(Network::ConnectionId From, const State::ControlFrame &Frame) {
    if (std::get_if<State::EntryHello>(&Frame)) {
      ++this->Hellos;
      this->Server->send(From, Network::encode(State::ControlFrame(
                                   State::StateEndpoints{this->Members})));
      if (this->Refreshes)
        this->Server->send(
            From, Network::encode(State::ControlFrame(*this->Refreshes)));
    }
    if (const auto *Request = std::get_if<State::ServerRecordRequest>(&Frame))
      this->RequestedRecords = Request->Servers;
    if (std::get_if<State::DeclarationRequest>(&Frame) &&
        static_cast<std::size_t>(this->DeclarationRequests++) <
            this->Declarations.size())
      this->Server->send(
          From, Network::encode(State::ControlFrame(
                    this->Declarations[this->DeclarationRequests - 1])));
    const auto *Poll = std::get_if<State::EntryPoll>(&Frame);
    if (!Poll || !this->HasLeader)
      return;
    State::EntryPollResponse Answer;
    Answer.Entry = Poll->Entry;
    Answer.Incarnation = Poll->Incarnation;
    Answer.Sequence = Poll->Sequence;
    this->Server->send(From, Network::encode(State::ControlFrame(Answer)));
  }

  std::vector<State::StateEndpoint> Members;
  std::unique_ptr<Network::FrameServer> Server;
};

/// A suspended process: the kernel accepts connections, and nothing comes back.
class SilentDaemon {
public:
  explicit SilentDaemon(const Network::Address &At)
      : Descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const int On = 1;
    setsockopt(this->Descriptor, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
    const sockaddr_in SocketAddress = Network::toSocketAddress(At);
    BOOST_REQUIRE(bind(this->Descriptor,
                       reinterpret_cast<const sockaddr *>(&SocketAddress),
                       sizeof(SocketAddress)) == 0);
    BOOST_REQUIRE(listen(this->Descriptor, 16) == 0);
  }
  ~SilentDaemon() { close(this->Descriptor); }
  SilentDaemon(const SilentDaemon &) = delete;
  SilentDaemon &operator=(const SilentDaemon &) = delete;

private:
  int Descriptor;
};

struct Fixture {
  std::unique_ptr<Network::EventLoop> Loop = *Network::EventLoop::create();
  int Answers = 0;
  std::vector<std::string> Documents;

  std::unique_ptr<ControlLink> openLink(std::vector<Network::Address> Seeds) {
    ControlLink::Options Options;
    Options.Self = Common::DaemonId("e1");
    Options.DataCentre = Common::DataCentreId("near");
    Options.Key = Key;
    Options.Seeds = std::move(Seeds);
    ControlLink::Handlers Handlers;
    Handlers.OnRegistryDelta = [](const State::RegistryDelta &Delta) {
      std::vector<Common::BackendServerId> Unknown;
      for (const State::ServerRefresh &Each : Delta.Refreshed)
        Unknown.push_back(Each.Id);
      return Unknown;
    };
    Handlers.OnDeclaration = [this](const State::DeclarationPush &Received,
                                    const char *) {
      this->Documents.push_back(Received.Document);
    };
    Handlers.HeldVersion = [] {
      return std::optional<Common::ConfigurationVersion>();
    };
    Handlers.FillPoll = [](State::EntryPoll &) {};
    Handlers.OnPollAnswer = [this](const State::EntryPollResponse &,
                                   Common::TimePoint) { ++this->Answers; };
    Handlers.OnTokenDecisions = [](const State::TokenDecisions &) {};
    Handlers.OnServerLoads = [](const State::ServerLoads &) {};
    Handlers.FillReport = [](State::EntryReport &) {};
    Handlers.OnDirectives = [](const State::EntryDirectives &,
                               std::optional<Common::TimePoint>) {};
    Handlers.OnServerSpeeds = [](const State::ServerSpeeds &) {};
    Handlers.OnServerVersions = [](const State::ServerVersions &) {};
    Handlers.OnConnected = [] {};
    return std::make_unique<ControlLink>(*this->Loop, std::move(Options),
                                         std::move(Handlers));
  }
  void runFor(Common::Duration Time) {
    const Common::TimePoint End = this->Loop->now() + Time;
    runUntil(*this->Loop, [&] { return this->Loop->now() >= End; });
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(ControlLink_)

// Guards against CONFIG: an entry daemon whose state daemon stood still tried
// the others one by one, each for over a second, and obeyed an older
// declaration meanwhile.
BOOST_FIXTURE_TEST_CASE(SilentDaemonsDoNotDelayTheWayToALiveOne, Fixture) {
  const Common::DataCentreId Near("near");
  const Network::Address First = allocateAddress();
  const Network::Address Last = allocateAddress();
  std::vector<State::StateEndpoint> Members = {{First, Near}};
  std::vector<std::unique_ptr<SilentDaemon>> Silent;
  for (int I = 0; I < 3; ++I) {
    const Network::Address At = allocateAddress();
    Silent.push_back(std::make_unique<SilentDaemon>(At));
    Members.push_back({At, Near});
  }
  Members.push_back({Last, Common::DataCentreId("far")});
  LiveDaemon Far(*this->Loop, Last, Members);
  auto Current = std::make_unique<LiveDaemon>(*this->Loop, First, Members);
  const auto Link = this->openLink({First});
  BOOST_REQUIRE(runUntil(*this->Loop, [&] { return this->Answers > 0; }));
  BOOST_TEST(Far.Hellos == 0);
  Current.reset();
  const SilentDaemon Frozen(First);
  const int AnswersBefore = this->Answers;
  const Common::TimePoint FrozenAt = this->Loop->now();
  runUntil(*this->Loop, [&] { return this->Answers > AnswersBefore; });
  BOOST_TEST(this->Answers > AnswersBefore);
  BOOST_TEST((this->Loop->now() - FrozenAt < ContactTime));
  BOOST_TEST(Far.Hellos == 1);
}

// Guards against entry daemons that all leave their sound state daemons while a
// new leader is elected.
BOOST_FIXTURE_TEST_CASE(AnElectionIsNoReasonToChangeTheDaemon, Fixture) {
  const Common::DataCentreId Near("near");
  const Network::Address First = allocateAddress();
  const Network::Address Second = allocateAddress();
  const std::vector<State::StateEndpoint> Members = {{First, Near},
                                                     {Second, Near}};
  LiveDaemon Current(*this->Loop, First, Members);
  LiveDaemon Other(*this->Loop, Second, Members);
  const auto Link = this->openLink({First});
  BOOST_REQUIRE(runUntil(*this->Loop, [&] { return this->Answers > 0; }));
  Current.HasLeader = false;
  this->runFor(1300ms);
  BOOST_TEST(Other.Hellos == 0);
  // It does leave one that stays without a leader.
  const int AnswersBefore = this->Answers;
  BOOST_TEST(
      runUntil(*this->Loop, [&] { return this->Answers > AnswersBefore; }));
  BOOST_TEST(Other.Hellos == 1);
  BOOST_TEST(Current.Hellos == 1);
}

// Guards against a damaged declaration that keeps the next one away.
BOOST_FIXTURE_TEST_CASE(EachDeclarationIsFollowedByARequest, Fixture) {
  const Network::Address At = allocateAddress();
  LiveDaemon StateDaemon(*this->Loop, At, {{At, Common::DataCentreId("near")}});
  StateDaemon.Declarations = {{{4}, *Network::compress("first")},
                              {{5}, "damaged"},
                              {{6}, *Network::compress("third")}};
  const auto Link = this->openLink({At});
  BOOST_TEST(runUntil(*this->Loop,
                      [&] { return StateDaemon.DeclarationRequests == 4; }));
  BOOST_TEST(this->Documents == std::vector<std::string>({"first", "third"}),
             boost::test_tools::per_element());
}

// Guards against STARVED: the refreshes of a server that is not known were
// dropped, and its record was never sent.
BOOST_FIXTURE_TEST_CASE(TheRecordsOfUnknownServersAreRequested, Fixture) {
  const Network::Address At = allocateAddress();
  LiveDaemon StateDaemon(*this->Loop, At, {{At, Common::DataCentreId("near")}});
  const Common::BackendServerId Server("a");
  StateDaemon.Refreshes = State::RegistryDelta{{}, {{Server, 1, 5}}};
  const auto Link = this->openLink({At});
  BOOST_REQUIRE(runUntil(
      *this->Loop, [&] { return !StateDaemon.RequestedRecords.empty(); }));
  BOOST_TEST((StateDaemon.RequestedRecords == std::vector{Server}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
