#include "FaultTests/RoutedCluster.h"
#include "FaultTests/RoutedRawServer.h"

#include <algorithm>
#include <array>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>

namespace FaultTests {

namespace {

using namespace std::chrono_literals;

/// The max-attempts of all routes.
constexpr int MaxAttempts = 2;
constexpr int Requests = 4;
/// Two servers may work on one request for this long.
constexpr Common::Duration MaxOverlap = 400ms;
/// How long a server takes for a request.
constexpr Common::Duration ExecutionTime = 600ms;
constexpr const char *FirstEvent = "id: 1\ndata: a\n\n";
constexpr const char *SecondEvent = "id: 2\ndata: b\n\n";

/// A server that loses what it has begun with its connection, and two that
/// refuse each request at first. When that request arrives there again on the
/// connection on which it was refused, a copy of the refusal precedes the
/// answer.
class CopyingServers {
public:
  explicit CopyingServers(RoutedCluster &Cluster)
      : Cluster(Cluster),
        Losing(Cluster.loop(), RoutedCluster::serverAddress(LosingIp)) {
    this->Losing.OnRequest = [this](const RoutedRawServer::Arrival &Arrived) {
      this->lose(Arrived);
    };
    for (const char *Ip : CopyingIps)
      this->Copying.push_back(std::make_unique<CopyingServer>(
          *this, RoutedCluster::serverAddress(Ip)));
    Cluster.announce("draining");
    this->announceAll();
    this->AnnounceTimer =
        Cluster.loop().callEvery(1s, [this] { this->AnnounceDue = true; });
    // Until the daemon has heard of these servers and no longer uses the other.
    BOOST_REQUIRE(this->runUntil([&] {
      Cluster.request("/a/");
      return !this->Runs.empty() &&
             std::all_of(this->Copying.begin(), this->Copying.end(),
                         [](const auto &Each) { return Each->wasReached(); });
    }));
    this->Runs.clear();
    this->LongestOverlap = {};
    this->SecondSends = 0;
  }

  bool runUntil(const std::function<bool()> &Condition) {
    return this->Cluster.waitUntil([&] {
      if (std::exchange(this->AnnounceDue, false))
        this->announceAll();
      return Condition();
    });
  }

  /// Requests that arrived again at a server that had refused them.
  int SecondSends = 0;
  /// Runs begun, by request id, over all servers.
  std::map<std::string, int> Runs;
  /// The longest time for which two runs of one request went on together.
  Common::Duration LongestOverlap{};

private:
  static constexpr const char *LosingIp = "127.0.8.30";
  static constexpr std::array CopyingIps = {"127.0.8.31", "127.0.8.32"};

  /// Works on one request of a connection at a time.
  class CopyingServer {
  public:
    CopyingServer(CopyingServers &Owner, const Network::Address &Listen)
        : Owner(Owner), Socket(Owner.Cluster.loop(), Listen) {
      this->Socket.OnRequest = [this](const RoutedRawServer::Arrival &Arrived) {
        auto &Waiting = this->Queues[Arrived.Connection];
        Waiting.push_back(Arrived);
        if (Waiting.size() == 1)
          this->begin(Arrived);
      };
      this->Socket.OnPeerClosed =
          [this](RoutedRawServer::ConnectionNumber Closed) {
            this->Queues.erase(Closed);
            this->Owner.endRun({this, Closed});
          };
    }
    bool wasReached() const { return !this->RefusedOn.empty(); }

  private:
    void begin(const RoutedRawServer::Arrival &Arrived) {
      const auto Refused =
          this->RefusedOn.try_emplace(Arrived.RequestId, Arrived.Connection);
      if (Refused.second) {
        this->Socket.send(Arrived.Connection,
                          RawResponse::refusal(Arrived.RequestId));
        this->beginNext(Arrived.Connection);
        return;
      }
      ++this->Owner.SecondSends;
      if (Refused.first->second == Arrived.Connection)
        this->Socket.send(Arrived.Connection,
                          RawResponse::refusal(Arrived.RequestId));
      this->Owner.beginRun({this, Arrived.Connection}, Arrived.RequestId);
      this->Timers.push_back(this->Owner.Cluster.loop().callAfter(
          ExecutionTime, [this, Arrived] { this->complete(Arrived); }));
    }

    void complete(const RoutedRawServer::Arrival &Arrived) {
      if (!this->Socket.isOpen(Arrived.Connection))
        return;
      this->Owner.endRun({this, Arrived.Connection});
      if (!isStream(Arrived)) {
        this->Socket.send(Arrived.Connection,
                          RawResponse::success(Arrived.RequestId, "done"));
        this->beginNext(Arrived.Connection);
        return;
      }
      this->Socket.send(Arrived.Connection,
                        RawResponse::streamHead(Arrived.RequestId) +
                            SecondEvent);
      this->Socket.close(Arrived.Connection);
      this->Queues.erase(Arrived.Connection);
    }

    void beginNext(RoutedRawServer::ConnectionNumber Connection) {
      auto &Waiting = this->Queues[Connection];
      Waiting.pop_front();
      if (!Waiting.empty())
        this->begin(RoutedRawServer::Arrival(Waiting.front()));
    }

    CopyingServers &Owner;
    RoutedRawServer Socket;
    /// The connection on which a request was refused.
    std::map<std::string, RoutedRawServer::ConnectionNumber> RefusedOn;
    /// What has arrived on a connection and is not answered, oldest first.
    std::map<RoutedRawServer::ConnectionNumber,
             std::deque<RoutedRawServer::Arrival>>
        Queues;
    std::vector<Network::EventHandle> Timers;
  };

  /// Where a run goes on.
  using Place = std::pair<CopyingServer *, RoutedRawServer::ConnectionNumber>;
  struct Run {
    std::string RequestId;
    Common::TimePoint BegunAt;
  };

  static bool isStream(const RoutedRawServer::Arrival &Arrived) {
    return Arrived.Head.Target.find("/flow/") != std::string::npos;
  }

  void announceAll() {
    this->Cluster.announceAt("losing", LosingIp);
    for (std::size_t I = 0; I < CopyingIps.size(); ++I)
      this->Cluster.announceAt("copying-" + std::to_string(I), CopyingIps[I]);
  }

  void lose(const RoutedRawServer::Arrival &Arrived) {
    ++this->Runs[Arrived.RequestId];
    if (isStream(Arrived))
      this->Losing.send(Arrived.Connection,
                        RawResponse::streamHead(Arrived.RequestId) +
                            FirstEvent + "id: 2\nda");
    this->Cluster.loop().defer([this, Connection = Arrived.Connection] {
      this->Losing.close(Connection);
    });
  }

  void beginRun(const Place &At, const std::string &RequestId) {
    ++this->Runs[RequestId];
    this->OpenRuns[At] = {RequestId, this->Cluster.loop().now()};
  }

  void endRun(const Place &At) {
    const auto Ended = this->OpenRuns.find(At);
    if (Ended == this->OpenRuns.end())
      return;
    const Common::TimePoint Now = this->Cluster.loop().now();
    for (const auto &[Other, Beside] : this->OpenRuns)
      if (Other != At && Beside.RequestId == Ended->second.RequestId)
        this->LongestOverlap = std::max(
            this->LongestOverlap,
            std::chrono::duration_cast<Common::Duration>(
                Now - std::max(Beside.BegunAt, Ended->second.BegunAt)));
    this->OpenRuns.erase(Ended);
  }

  RoutedCluster &Cluster;
  RoutedRawServer Losing;
  std::vector<std::unique_ptr<CopyingServer>> Copying;
  std::map<Place, Run> OpenRuns;
  Network::EventHandle AnnounceTimer;
  bool AnnounceDue = false;
};

/// Sends one request after another, and returns how many were served.
int sendRequests(RoutedCluster &Cluster, CopyingServers &Servers,
                 const std::string &Path) {
  int Served = 0;
  for (int I = 0; I < Requests; ++I) {
    const auto Response =
        Cluster.startRequest(Path + std::to_string(I), "key-1");
    BOOST_REQUIRE(Servers.runUntil([&] { return Response->Done; }));
    if (Response->Status == 200 &&
        Response->Result == Network::Http1CallResult::Complete)
      ++Served;
  }
  // Runs that the daemon has abandoned end at the servers.
  BOOST_REQUIRE(
      Servers.runUntil([End = Cluster.loop().now() + ExecutionTime, &Cluster] {
        return Cluster.loop().now() >= End;
      }));
  return Served;
}

int mostRuns(const CopyingServers &Servers) {
  int Result = 0;
  for (const auto &Each : Servers.Runs)
    Result = std::max(Result, Each.second);
  return Result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RoutedCopy)

// Guards against BUDGET and TWICE: a request goes back, on the same connection,
// to the server that refused it, and a late copy of that refusal is taken for
// the answer while the server runs it.
BOOST_DATA_TEST_CASE(ACopiedRefusalEndsNoSecondSend,
                     boost::unit_test::data::make({"/a/", "/a/flow/"}), Path) {
  RoutedCluster Fixture;
  Fixture.RetryRatio = 100;
  Fixture.startAll();
  CopyingServers Servers(Fixture);
  const int Served = sendRequests(Fixture, Servers, Path);
  BOOST_TEST(Served == Requests);
  BOOST_TEST(Servers.SecondSends > 0);
  BOOST_TEST(mostRuns(Servers) <= MaxAttempts);
  BOOST_TEST(Common::toMilliseconds(Servers.LongestOverlap) <=
             Common::toMilliseconds(MaxOverlap));
}

// Guards against TWICE: a copied refusal arrives where the answer to another
// request is due, which may run once only. A copy that names no request may not
// be taken for that request's answer.
BOOST_DATA_TEST_CASE(ACopiedRefusalEndsNoOtherRequest,
                     boost::unit_test::data::make({true, false}), Named) {
  RoutedCluster Fixture;
  Fixture.RetryRatio = 100;
  Fixture.startAll();
  std::map<std::string, int> Runs;
  int CopiesSent = 0;
  std::vector<std::unique_ptr<RoutedRawServer>> Servers;
  std::vector<Network::EventHandle> Timers;
  const std::vector<std::string> Ips = {"127.0.8.30", "127.0.8.31"};
  for (const std::string &Ip : Ips) {
    Servers.push_back(std::make_unique<RoutedRawServer>(
        Fixture.loop(), RoutedCluster::serverAddress(Ip)));
    RoutedRawServer *const Server = Servers.back().get();
    Server->OnRequest =
        [&, Server,
         Refused = std::map<RoutedRawServer::ConnectionNumber, std::string>()](
            const RoutedRawServer::Arrival &Arrived) mutable {
          const std::string &Id = Arrived.RequestId;
          if (Arrived.Head.Target.find("/full") != std::string::npos) {
            Refused[Arrived.Connection] = RawResponse::refusal(Named ? Id : "");
            Server->send(Arrived.Connection, RawResponse::refusal(Id));
            return;
          }
          ++Runs[Id];
          if (const auto Found = Refused.find(Arrived.Connection);
              Found != Refused.end()) {
            ++CopiesSent;
            Server->send(Arrived.Connection, Found->second);
          }
          Timers.push_back(Fixture.loop().callAfter(100ms, [Server, Arrived] {
            Server->send(Arrived.Connection,
                         RawResponse::success(Arrived.RequestId, "done"));
          }));
        };
  }
  Fixture.announce("draining");
  BOOST_REQUIRE(Fixture.waitUntil([&] {
    Fixture.announceAt("first", Ips[0]);
    Fixture.announceAt("second", Ips[1]);
    Fixture.request("/a/once/full");
    Fixture.request("/a/once/");
    return CopiesSent >= Requests;
  }));
  for (const auto &[Id, Count] : Runs)
    BOOST_TEST(Count == 1, "request " << Id << " ran " << Count << " times");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace FaultTests
