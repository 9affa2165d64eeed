#include "Common/Random.h"
#include "Network/Http1Client.h"
#include "Network/RawPeer.h"
#include "Network/SocketAddress.h"
#include "TestSeeds.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <netinet/tcp.h>
#include <optional>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

// A server may send an answer too many, late, on a connection where the next
// answer is due. A call gets its own answer, whole, or none, and the connection
// carries no further request.
namespace UnitTests {

namespace {

using namespace Network;
using namespace std::chrono_literals;

std::unique_ptr<EventLoop> createLoop() {
  auto Loop = EventLoop::create();
  BOOST_REQUIRE(Loop.ok());
  return std::move(*Loop);
}

/// Handles what is ready, without waiting.
void handleReady(EventLoop &Loop) {
  for (int I = 0; I < 4; ++I)
    Loop.runOnce(0ms);
}

struct Outcome {
  std::optional<Http1CallResult> CallResult;
  int Status = 0;
  std::string Body;
  Http1Client::CallPtr Call;
  std::uint64_t Connection = 0;

  bool isDone() const { return this->CallResult.has_value(); }
};

struct CallOptions {
  std::string Method = "GET";
  std::string Body;
  Common::Duration IdleTimeout = 5s;
  std::function<void()> OnBody;
  std::function<void()> OnDone;
};

/// Starts a call that skips answers whose Id header differs from Id.
std::shared_ptr<Outcome> call(Http1Client &Client, const Address &To,
                              const std::string &Id, CallOptions Options = {}) {
  auto Result = std::make_shared<Outcome>();
  Http1Call Request;
  Request.To = To;
  Request.Method = Options.Method;
  Request.Target = "/x";
  Request.Headers = {{"Host", "h"}, {"Id", Id}};
  Request.Body = std::move(Options.Body);
  Request.IdleTimeout = Options.IdleTimeout;
  Http1CallHandlers Handlers;
  Handlers.OnSent = [Result] {
    Result->Connection = Http1Client::connectionUse(Result->Call).Connection;
  };
  Handlers.OnHead = [Result, Id](const Http1Head &Head) {
    if (findHeader(Head.Headers, "Id").value_or(Id) != Id)
      return false;
    Result->Status = Head.Status;
    return true;
  };
  Handlers.OnBody =
      [Result, Run = std::move(Options.OnBody)](const std::string &Bytes) {
        Result->Body += Bytes;
        if (Run)
          Run();
      };
  Handlers.OnDone =
      [Result, Run = std::move(Options.OnDone)](Http1CallResult CallResult) {
        Result->CallResult = CallResult;
        Result->Call.reset();
        if (Run)
          Run();
      };
  Result->Call = Client.start(std::move(Request), std::move(Handlers));
  return Result;
}

/// Test server whose connections are written to at any time.
class ManualServer {
public:
  struct Request {
    std::string Method;
    std::string Id;
  };
  struct Connection {
    int Descriptor = -1;
    std::string Input;
    /// Noted when their heads arrive.
    std::vector<Request> Requests;
    /// Bytes of the body of the last request that have not arrived.
    std::size_t BodyLeft = 0;
    EventHandle ReadEvent;

    bool isOpen() const { return this->Descriptor >= 0; }
    void close() {
      this->ReadEvent.cancel();
      if (this->isOpen())
        ::close(this->Descriptor);
      this->Descriptor = -1;
    }
    /// Closes with a TCP reset.
    void reset() {
      const linger ResetOnClose{1, 0};
      if (this->isOpen())
        setsockopt(this->Descriptor, SOL_SOCKET, SO_LINGER, &ResetOnClose,
                   sizeof(ResetOnClose));
      this->close();
    }
    /// Whether the peer has acknowledged all bytes written.
    bool hasDeliveredAll() const {
      int Unacknowledged = 0;
      return this->isOpen() &&
             ioctl(this->Descriptor, TIOCOUTQ, &Unacknowledged) == 0 &&
             Unacknowledged == 0;
    }
    /// Returns the number of bytes written; 0 if the connection is closed.
    std::size_t write(std::string_view Bytes) const {
      const ssize_t Length =
          this->isOpen() ? send(this->Descriptor, Bytes.data(), Bytes.size(),
                                MSG_NOSIGNAL | MSG_DONTWAIT)
                         : 0;
      return Length > 0 ? static_cast<std::size_t>(Length) : 0;
    }
  };

  explicit ManualServer(EventLoop &Loop,
                        const Address &Listen = allocateAddress())
      : Loop(Loop), ServerAddress(Listen),
        Listener(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
    const int On = 1;
    setsockopt(this->Listener, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
    const sockaddr_in Endpoint = toSocketAddress(this->ServerAddress);
    BOOST_REQUIRE(bind(this->Listener,
                       reinterpret_cast<const sockaddr *>(&Endpoint),
                       sizeof(Endpoint)) == 0);
    BOOST_REQUIRE(listen(this->Listener, 64) == 0);
    this->AcceptEvent =
        Loop.onReadable(this->Listener, [this] { this->accept(); });
  }
  ~ManualServer() {
    for (const auto &Each : this->Connections)
      Each->close();
    ::close(this->Listener);
  }
  ManualServer(const ManualServer &) = delete;
  ManualServer &operator=(const ManualServer &) = delete;

  const Address &address() const { return this->ServerAddress; }
  std::size_t connections() const { return this->Connections.size(); }
  Connection &connection(std::size_t Index) {
    return *this->Connections[Index];
  }
  /// The connection that has carried the request, or null.
  Connection *find(std::string_view Id) {
    for (const auto &Each : this->Connections)
      for (const Request &EachRequest : Each->Requests)
        if (EachRequest.Id == Id)
          return Each.get();
    return nullptr;
  }
  /// Waits for a request.
  Connection &await(std::string_view Id) {
    BOOST_REQUIRE(
        runUntil(this->Loop, [&] { return this->find(Id) != nullptr; }));
    return *this->find(Id);
  }

private:
  void accept() {
    const int Descriptor =
        accept4(this->Listener, nullptr, nullptr, SOCK_NONBLOCK);
    if (Descriptor < 0)
      return;
    // Small parts of an answer are sent at once.
    const int On = 1;
    setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
    auto &Accepted =
        this->Connections.emplace_back(std::make_unique<Connection>());
    Accepted->Descriptor = Descriptor;
    Accepted->ReadEvent = this->Loop.onReadable(
        Descriptor, [Source = Accepted.get()] { read(*Source); });
  }

  static void read(Connection &Source) {
    char Buffer[65536];
    const ssize_t Length = ::read(Source.Descriptor, Buffer, sizeof(Buffer));
    if (Length <= 0) {
      Source.close();
      return;
    }
    Source.Input.append(Buffer, Length);
    while (takeRequest(Source)) {
    }
  }

  static std::string headerOf(const std::string &Head,
                              const std::string &Name) {
    const std::string Key = absl::StrCat("\r\n", Name, ": ");
    const std::size_t Start = Head.find(Key);
    if (Start == std::string::npos)
      return "";
    const std::string Value = Head.substr(Start + Key.size());
    return Value.substr(0, Value.find("\r\n"));
  }

  static bool takeRequest(Connection &Source) {
    const std::size_t Skipped = std::min(Source.BodyLeft, Source.Input.size());
    Source.Input.erase(0, Skipped);
    Source.BodyLeft -= Skipped;
    const std::size_t HeadEnd = Source.Input.find("\r\n\r\n");
    if (HeadEnd == std::string::npos)
      return false;
    const std::string Head = Source.Input.substr(0, HeadEnd + 2);
    static_cast<void>(
        absl::SimpleAtoi(headerOf(Head, "Content-Length"), &Source.BodyLeft));
    Source.Input.erase(0, HeadEnd + 4);
    Source.Requests.push_back(
        {Head.substr(0, Head.find(' ')), headerOf(Head, "Id")});
    return true;
  }

  EventLoop &Loop;
  Address ServerAddress;
  int Listener;
  EventHandle AcceptEvent;
  std::vector<std::unique_ptr<Connection>> Connections;
};

/// An answer with a length, whose body is the id of its request.
std::string answer(const std::string &Id) {
  return absl::StrCat("HTTP/1.1 200 OK\r\nId: ", Id,
                      "\r\nContent-Length: ", Id.size(), "\r\n\r\n", Id);
}

std::string chunkedAnswer(const std::string &Id) {
  return absl::StrCat("HTTP/1.1 200 OK\r\nId: ", Id,
                      "\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n",
                      Id.substr(0, 1), "\r\n", Id.size() - 1, "\r\n",
                      Id.substr(1), "\r\n0\r\n\r\n");
}

/// A client, and a server to which a first call with the id "one" has been
/// made, so that its connection is idle.
struct KeptConnection {
  explicit KeptConnection(const std::string &Method = "GET",
                          const std::string &FirstAnswer = answer("one")) {
    CallOptions Options;
    Options.Method = Method;
    const auto First =
        call(this->Client, this->Server.address(), "one", Options);
    this->Server.await("one").write(FirstAnswer);
    BOOST_REQUIRE(runUntil(*this->Loop, [&] { return First->isDone(); }));
    BOOST_REQUIRE(*First->CallResult == Http1CallResult::Complete);
  }
  ManualServer::Connection &connection() { return this->Server.connection(0); }
  std::shared_ptr<Outcome> start(const std::string &Id,
                                 CallOptions Options = {}) {
    return call(this->Client, this->Server.address(), Id, std::move(Options));
  }
  bool await(const std::shared_ptr<Outcome> &Result) {
    return runUntil(*this->Loop, [&] { return Result->isDone(); });
  }

  std::unique_ptr<EventLoop> Loop = createLoop();
  ManualServer Server{*this->Loop};
  Http1Client Client{*this->Loop};
};

constexpr std::uint64_t RandomOrderSeeds = 500;

/// Calls, answers, extra answers, lost connections and cancelled calls in a
/// random order, over a few servers. Some requests are sent again while, or
/// after, they were answered. All answers name their request, and the bytes on
/// a connection are whole answers in sequence until it ends.
class RandomOrders {
public:
  struct Totals {
    std::size_t Calls = 0;
    std::size_t Complete = 0;
    std::size_t Skipped = 0;
    std::size_t ExtraAnswers = 0;
    /// Connections on which the arrival of an extra answer is certain.
    std::size_t Tainted = 0;
  };

  RandomOrders(std::uint64_t Seed, const std::vector<Address> &Addresses)
      : Randomness(Seed) {
    for (const Address &Each : Addresses)
      this->Servers.push_back(
          std::make_unique<ManualServer>(*this->Loop, Each));
  }

  /// Returns the first violation, or an empty string.
  std::string play(Totals &Sum) {
    for (std::size_t I = 0; I < Steps && this->Violation.empty(); ++I)
      this->step();
    this->finish();
    this->checkConnections();
    this->Counts.Calls = this->Calls.size();
    Sum.Calls += this->Counts.Calls;
    Sum.Complete += this->Counts.Complete;
    Sum.Skipped += this->Counts.Skipped;
    Sum.ExtraAnswers += this->Counts.ExtraAnswers;
    Sum.Tainted += this->Counts.Tainted;
    return this->Violation;
  }

private:
  static constexpr std::size_t Steps = 400;
  static constexpr std::size_t MaxCalls = 12;

  struct Answer {
    std::string Bytes;
    int Status = 0;
    std::string Body;
    /// Whether the connection ends with this answer.
    bool Ends = false;
    /// Whether the answer is valid and complete.
    bool Whole = true;
  };
  /// One send of a request.
  struct Call {
    std::string Id;
    /// What answers name; the same for further sends of a request.
    std::string CorrelationId;
    std::string Method;
    Http1Client::CallPtr Handle;
    std::optional<Http1CallResult> Result;
    bool Cancelled = false;
    /// Whether it ends after a short time.
    bool Expires = false;
    bool Arrived = false;
    /// The pass of the loop in which the request was sent; 0 before.
    std::uint64_t SentPass = 0;
    int Status = 0;
    std::string Body;
    std::optional<Answer> Own;
    bool OwnWritten = false;
  };
  struct Output {
    std::string Bytes;
    /// Null for an extra answer.
    Call *AnswerTo = nullptr;
    bool Ends = false;
    bool EndsWithoutLength = false;
    std::size_t Written = 0;
  };
  /// What the test knows of a server's connection.
  struct Line {
    std::deque<Output> Outputs;
    std::vector<Call *> Answered;
    std::size_t Seen = 0;
    std::deque<Call *> Waiting;
    bool Ending = false;
    bool Lost = false;
    bool ExtraWritten = false;
    /// The pass before which an extra answer had arrived; 0 for none.
    std::uint64_t TaintedPass = 0;
  };

  void fail(const Call &Of, const std::string &What) {
    if (this->Violation.empty())
      this->Violation = absl::StrCat("call ", Of.Id, ": ", What);
  }

  void step() {
    switch (this->Randomness.below(16)) {
    case 0:
    case 1:
    case 2:
      this->startCall();
      break;
    case 3:
    case 4:
    case 5:
      this->answerOne();
      break;
    case 6:
      this->sendExtra();
      break;
    case 7:
      if (this->Randomness.chance(0.15))
        this->loseConnection();
      break;
    case 8:
      if (Call *Chosen = this->chooseOpenCall();
          Chosen && this->Randomness.chance(0.2))
        this->cancel(*Chosen);
      break;
    case 9:
      if (Call *Chosen = this->chooseOpenCall())
        Http1Client::pauseReading(Chosen->Handle, this->Randomness.chance(0.4));
      break;
    case 10:
    case 11:
    case 12:
      this->writeSome();
      break;
    default:
      this->pass();
    }
  }

  static void cancel(Call &Of) {
    Of.Cancelled = true;
    Http1Client::cancel(Of.Handle);
  }

  /// One pass of the loop.
  void pass() {
    ++this->Pass;
    for (auto &[Connection, Each] : this->Lines)
      if (Each.ExtraWritten && Each.TaintedPass == 0 &&
          Connection->hasDeliveredAll()) {
        Each.TaintedPass = this->Pass;
        ++this->Counts.Tainted;
      }
    this->Loop->runOnce(0ms);
    for (const auto &Server : this->Servers)
      for (std::size_t I = 0; I < Server->connections(); ++I)
        this->noteRequests(Server->connection(I));
  }

  void noteRequests(ManualServer::Connection &Source) {
    Line &Known = this->Lines[&Source];
    for (; Known.Seen < Source.Requests.size(); ++Known.Seen) {
      Call &Of = *this->Calls.at(Source.Requests[Known.Seen].Id);
      if (Of.Arrived)
        this->fail(Of, "its request arrived twice");
      Of.Arrived = true;
      Known.Waiting.push_back(&Of);
    }
  }

  /// Checks that no connection with bytes of no request has carried another,
  /// and that no answer was lost on a connection that worked.
  void checkConnections() {
    for (const auto &[Connection, Each] : this->Lines)
      for (const auto &Request : Connection->Requests) {
        const Call &Of = *this->Calls.at(Request.Id);
        if (Each.TaintedPass != 0 && Of.SentPass >= Each.TaintedPass)
          this->fail(Of, "sent on a connection behind an extra answer");
        if (Of.OwnWritten && Of.Own->Whole && !Each.Lost && !Of.Cancelled &&
            !Of.Expires && Of.Result != Http1CallResult::Complete)
          this->fail(Of, "its whole answer was lost");
      }
  }

  Call *chooseOpenCall() {
    std::vector<Call *> Open;
    for (const auto &Each : this->Calls)
      if (!Each.second->Result && !Each.second->Cancelled)
        Open.push_back(Each.second.get());
    return Open.empty() ? nullptr : Open[this->Randomness.below(Open.size())];
  }

  const Call *chooseCall() {
    if (this->Calls.empty())
      return nullptr;
    auto Chosen = this->Calls.begin();
    std::advance(Chosen, this->Randomness.below(this->Calls.size()));
    return Chosen->second.get();
  }

  ManualServer::Connection *chooseConnection() {
    std::vector<ManualServer::Connection *> Open;
    for (const auto &Server : this->Servers)
      for (std::size_t I = 0; I < Server->connections(); ++I)
        if (Server->connection(I).isOpen())
          Open.push_back(&Server->connection(I));
    return Open.empty() ? nullptr : Open[this->Randomness.below(Open.size())];
  }

  void startCall() {
    std::size_t Open = 0;
    for (const auto &Each : this->Calls)
      Open += Each.second->Result || Each.second->Cancelled ? 0 : 1;
    if (Open == MaxCalls)
      return;
    auto Started = std::make_unique<Call>();
    Call *Self = Started.get();
    Self->Id = absl::StrCat("call", this->Calls.size());
    Self->CorrelationId = Self->Id;
    if (const Call *Earlier = this->chooseCall();
        Earlier && this->Randomness.chance(0.3))
      Self->CorrelationId = Earlier->CorrelationId;
    Self->Method = this->Randomness.chance(0.1)   ? "HEAD"
                   : this->Randomness.chance(0.5) ? "GET"
                                                  : "POST";
    Http1Call Request;
    Request.To =
        this->Servers[this->Randomness.below(this->Servers.size())]->address();
    Request.Method = Self->Method;
    Request.Target = "/x";
    Request.Headers = {{"Host", "h"}, {"Id", Self->Id}};
    Request.CorrelationId = Self->CorrelationId;
    if (Self->Method == "POST")
      Request.Body =
          std::string(this->Randomness.below(
                          this->Randomness.chance(0.1) ? 4'000'000 : 100),
                      'b');
    Self->Expires = this->Randomness.chance(0.03);
    if (Self->Expires)
      Request.IdleTimeout = 100us;
    Http1CallHandlers Handlers;
    Handlers.OnSent = [this, Self] { Self->SentPass = this->Pass; };
    Handlers.OnHead = [this, Self](const Http1Head &Head) {
      return this->acceptHead(*Self, Head);
    };
    Handlers.OnBody = [this, Self](const std::string &Bytes) {
      Self->Body += Bytes;
      if (Self->Cancelled || Self->Result || !Self->Own ||
          !absl::StartsWith(Self->Own->Body, Self->Body))
        this->fail(*Self, "it got bytes that are not of its answer");
      if (this->Randomness.chance(0.01))
        this->cancel(*Self);
      else if (this->Randomness.chance(0.05))
        Http1Client::pauseReading(Self->Handle, true);
    };
    Handlers.OnDone = [this, Self](Http1CallResult Result) {
      this->checkResult(*Self, Result);
    };
    Self->Handle = this->Client.start(std::move(Request), std::move(Handlers));
    this->Calls.emplace(Self->Id, std::move(Started));
  }

  bool acceptHead(Call &Self, const Http1Head &Head) {
    if (Self.Cancelled || Self.Result || Self.Status != 0)
      this->fail(Self, "a head arrived behind its end or its head");
    const auto Id = findHeader(Head.Headers, "Id");
    if (!Id)
      this->fail(Self, "a part of a body was taken for an answer");
    if (Id != Self.CorrelationId) {
      ++this->Counts.Skipped;
      return false;
    }
    Self.Status = Head.Status;
    if (!Self.Own || Self.Own->Status != Head.Status ||
        findHeader(Head.Headers, "Send") != Self.Id)
      this->fail(Self, "it got a head that is not of its answer");
    return true;
  }

  void checkResult(Call &Self, Http1CallResult Result) {
    if (Self.Cancelled || Self.Result)
      this->fail(Self, "it ended twice");
    Self.Result = Result;
    Self.Handle.reset();
    if (Result == Http1CallResult::Complete) {
      ++this->Counts.Complete;
      if (!Self.Own || !Self.Own->Whole || Self.Status != Self.Own->Status ||
          Self.Body != Self.Own->Body)
        this->fail(Self, "it is complete without its whole answer");
    } else if ((Result == Http1CallResult::Truncated) != (Self.Status != 0)) {
      this->fail(Self, "its result does not tell whether its answer started");
    } else if (Result == Http1CallResult::NotSent && Self.Arrived) {
      this->fail(Self, "it was sent and ended as not sent");
    }
    // Chooses a connection before the loop reads again.
    if (!this->Finishing && this->Randomness.chance(0.2))
      this->startCall();
  }

  Answer createAnswer(const Call &Of) {
    // A body may look like an answer without an id.
    const std::string Inner = "HTTP/1.1 200 OK\r\n\r\n";
    std::string Body =
        absl::StrCat(this->Randomness.chance(0.3) ? Inner : "", Of.Id);
    const std::size_t Parts =
        this->Randomness.below(this->Randomness.chance(0.05) ? 3000 : 6);
    for (std::size_t I = 0; I < Parts; ++I)
      Body += this->Randomness.chance(0.3) ? Inner : Of.Id;
    const std::string Name =
        absl::StrCat("Id: ", Of.CorrelationId, "\r\nSend: ", Of.Id, "\r\n");
    const std::string Length =
        absl::StrCat("Content-Length: ", Body.size(), "\r\n");
    const std::string Chunk =
        absl::StrCat(absl::Hex(Body.size()), "\r\n", Body, "\r\n");
    const std::string Chunked = "Transfer-Encoding: chunked\r\n";
    Answer Result;
    Result.Body = Body;
    std::string Head;
    std::string Content = Body;
    const auto Kind = this->Randomness.below(24);
    switch (Kind) {
    case 0:
      Result.Status = 204;
      break;
    case 1:
      Result.Status = 304;
      Head = Length;
      break;
    case 2:
    case 3:
      Result.Status = 500;
      Head = Length;
      break;
    case 4:
    case 5:
    case 6:
      Result.Status = 503;
      Head = "Retry-After: 1\r\n" + Length;
      break;
    case 7:
    case 8:
      Result.Status = 421;
      Head = "Not-Executed: true\r\n" + Length;
      break;
    case 9:
      Result.Status = 200;
      Result.Ends = true;
      break;
    case 10:
      Result.Status = 200;
      Head = Length + Length;
      Result.Ends = true;
      Result.Whole = false;
      break;
    case 11:
      Result.Status = 200;
      Head = Chunked;
      Content = Chunk;
      Result.Ends = true;
      Result.Whole = false;
      break;
    case 12:
    case 13:
    case 14:
    case 15:
      Result.Status = 200;
      Head = Chunked;
      Content = Chunk + "0\r\n\r\n";
      break;
    default:
      Result.Status = 200;
      Head = Length;
    }
    if (Of.Method == "HEAD" || hasNoBody(Result.Status)) {
      Result.Body.clear();
      Content.clear();
    }
    // Without a body nothing is missing.
    if (Of.Method == "HEAD" && Kind == 11)
      Result.Whole = true;
    Result.Bytes = absl::StrCat(
        this->Randomness.chance(0.1) ? "HTTP/1.1 103 Early\r\n\r\n" : "",
        "HTTP/1.1 ", Result.Status, " Reason\r\n", Name, Head, "\r\n", Content);
    return Result;
  }

  void enqueue(Line &To, const Answer &Sent, Call *AnswerTo) {
    To.Outputs.push_back(
        {Sent.Bytes, AnswerTo, Sent.Ends, Sent.Ends && Sent.Whole, 0});
    To.Ending = Sent.Ends;
  }

  void answerOne() {
    ManualServer::Connection *Chosen = this->chooseConnection();
    if (!Chosen)
      return;
    Line &Known = this->Lines[Chosen];
    if (Known.Ending || Known.Waiting.empty())
      return;
    Call *Of = Known.Waiting.front();
    Known.Waiting.pop_front();
    Of->Own = this->createAnswer(*Of);
    Known.Answered.push_back(Of);
    this->enqueue(Known, *Of->Own, Of);
  }

  /// Sends a copy of an answer given before on the same connection.
  void sendExtra() {
    ManualServer::Connection *Chosen = this->chooseConnection();
    if (!Chosen)
      return;
    Line &Known = this->Lines[Chosen];
    if (Known.Ending || Known.Answered.empty())
      return;
    const Call &Of =
        *Known.Answered[this->Randomness.below(Known.Answered.size())];
    ++this->Counts.ExtraAnswers;
    this->enqueue(Known, *Of.Own, nullptr);
  }

  void writeSome() {
    if (ManualServer::Connection *Chosen = this->chooseConnection())
      this->write(*Chosen, this->Randomness.chance(0.5)
                               ? 1 + this->Randomness.below(80)
                               : std::string::npos);
  }

  /// Writes up to Limit bytes, over the ends of answers.
  void write(ManualServer::Connection &To, std::size_t Limit) {
    Line &Known = this->Lines[&To];
    std::string Bytes;
    for (const Output &Each : Known.Outputs)
      Bytes += Each.Bytes.substr(Each.Written);
    std::size_t Left = To.write(std::string_view(Bytes).substr(0, Limit));
    while (Left != 0) {
      Output &Front = Known.Outputs.front();
      const std::size_t Part =
          std::min(Left, Front.Bytes.size() - Front.Written);
      Front.Written += Part;
      Left -= Part;
      Known.ExtraWritten = Known.ExtraWritten || !Front.AnswerTo;
      if (Front.Written < Front.Bytes.size())
        continue;
      const bool Ends = Front.Ends;
      if (Front.AnswerTo)
        Front.AnswerTo->OwnWritten = true;
      Known.Outputs.pop_front();
      if (!Ends)
        continue;
      // The end of a connection with unread input discards what was written.
      Known.Lost = Known.Lost || To.BodyLeft != 0;
      To.close();
    }
  }

  void loseConnection() {
    ManualServer::Connection *Chosen = this->chooseConnection();
    if (!Chosen)
      return;
    Line &Known = this->Lines[Chosen];
    Known.Lost = true;
    // An orderly end would complete an answer without length.
    const bool MustReset =
        !Known.Outputs.empty() && Known.Outputs.front().EndsWithoutLength;
    if (MustReset || this->Randomness.chance(0.5))
      Chosen->reset();
    else
      Chosen->close();
  }

  /// Answers what is open and waits until all calls have ended.
  void finish() {
    const Common::TimePoint Deadline = this->Loop->now() + 5s;
    this->Finishing = true;
    while (Call *Open = this->chooseOpenCall()) {
      if (this->Loop->now() > Deadline) {
        this->fail(*Open, "it did not end");
        return;
      }
      Http1Client::pauseReading(Open->Handle, false);
      this->answerOne();
      if (ManualServer::Connection *Chosen = this->chooseConnection()) {
        this->write(*Chosen, std::string::npos);
        // A lost answer is not repeated.
        const Line &Known = this->Lines[Chosen];
        if (Known.Outputs.empty() && Known.Waiting.empty() &&
            Chosen->BodyLeft == 0 && this->Randomness.chance(0.05))
          Chosen->close();
      }
      this->pass();
    }
  }

  std::unique_ptr<EventLoop> Loop = createLoop();
  Common::Random Randomness;
  std::vector<std::unique_ptr<ManualServer>> Servers;
  std::map<std::string, std::unique_ptr<Call>> Calls;
  std::map<ManualServer::Connection *, Line> Lines;
  std::string Violation;
  Totals Counts;
  std::uint64_t Pass = 0;
  bool Finishing = false;
  Http1Client Client{*this->Loop};
};

} // namespace

BOOST_AUTO_TEST_SUITE(Http1ExtraAnswer)

// Guards against an extra answer that is framed as if it answered the request
// that is under way: its body would be parsed as the next answer, or it would
// swallow the next answer as its body.
BOOST_AUTO_TEST_CASE(TheAnswerToAHeadRequestSharesNoConnection) {
  const std::string Inner = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong";
  const std::string GetAnswer = absl::StrCat(
      "HTTP/1.1 200 OK\r\nId: one\r\nContent-Length: ", Inner.size(),
      "\r\n\r\n", Inner);
  const std::string HeadAnswer =
      "HTTP/1.1 200 OK\r\nId: one\r\nContent-Length: 7\r\n\r\n";
  for (const bool HeadFirst : {false, true}) {
    BOOST_TEST_CONTEXT("HEAD " << (HeadFirst ? "first" : "second")) {
      const std::string First = HeadFirst ? HeadAnswer : GetAnswer;
      KeptConnection Kept(HeadFirst ? "HEAD" : "GET", First);
      CallOptions Options;
      Options.Method = HeadFirst ? "GET" : "HEAD";
      Options.IdleTimeout = 300ms;
      const auto Second = Kept.start("two", Options);
      auto &Carrier = Kept.Server.await("two");
      Kept.connection().write(First);
      handleReady(*Kept.Loop);
      Carrier.write(HeadFirst ? answer("two")
                              : "HTTP/1.1 204 OK\r\nId: two\r\n\r\n");
      BOOST_REQUIRE(Kept.await(Second));
      BOOST_CHECK(*Second->CallResult == Http1CallResult::Complete);
      BOOST_TEST(Second->Status == (HeadFirst ? 200 : 204));
      BOOST_TEST(Second->Body == (HeadFirst ? "two" : ""));
      BOOST_TEST(Kept.Server.connections() == 2u);
    }
  }
}

// Guards against the same on the connection of a HEAD request itself: what a
// foreign answer there answers, and so whether it has a body, is unknown.
BOOST_AUTO_TEST_CASE(AForeignAnswerEndsAHeadRequest) {
  const auto Loop = createLoop();
  ManualServer Server(*Loop);
  Http1Client Client(*Loop);
  CallOptions Options;
  Options.Method = "HEAD";
  const auto Result = call(Client, Server.address(), "two", Options);
  const std::string Inner = "HTTP/1.1 200 OK\r\n\r\n";
  Server.await("two").write(absl::StrCat(
      "HTTP/1.1 200 OK\r\nId: one\r\nContent-Length: ", Inner.size(),
      "\r\n\r\n", Inner));
  BOOST_REQUIRE(runUntil(*Loop, [&] { return Result->isDone(); }));
  BOOST_CHECK(*Result->CallResult == Http1CallResult::NoResponse);
  BOOST_TEST(Result->Status == 0);
}

// Guards against an answer that has no body whatever its headers say, but that
// takes the bytes of the next answer for its body.
BOOST_AUTO_TEST_CASE(AnswersWithoutBodyTakeNoOtherBytes) {
  for (const char *Status : {"100", "103", "204", "304"}) {
    const std::string Empty = absl::StrCat(
        "HTTP/1.1 ", Status, " None\r\nId: one\r\nContent-Length: 9\r\n\r\n");
    BOOST_TEST_CONTEXT("extra answer " << Status) {
      KeptConnection Kept;
      CallOptions Options;
      Options.IdleTimeout = 300ms;
      const auto Second = Kept.start("two", Options);
      Kept.Server.await("two").write(Empty + answer("two"));
      BOOST_REQUIRE(Kept.await(Second));
      BOOST_CHECK(*Second->CallResult == Http1CallResult::Complete);
      BOOST_TEST(Second->Body == "two");
    }
    if (Status[0] == '1')
      continue;
    BOOST_TEST_CONTEXT("own answer " << Status) {
      KeptConnection Kept("GET", answer("one"));
      CallOptions Options;
      Options.IdleTimeout = 300ms;
      const auto Second = Kept.start("two", Options);
      Kept.Server.await("two").write(
          absl::StrCat("HTTP/1.1 ", Status,
                       " None\r\nId: two\r\nContent-Length: 9\r\n\r\n") +
          answer("one"));
      BOOST_REQUIRE(Kept.await(Second));
      BOOST_CHECK(*Second->CallResult == Http1CallResult::Complete);
      BOOST_TEST(Second->Body == "");
    }
  }
}

// Guards against the loss of an answer, or of its end, to an extra answer
// before or behind it, in any division into reads.
BOOST_AUTO_TEST_CASE(ExtraAnswersAreSkippedAtAnySplit) {
  const std::string Interim = "HTTP/1.1 100 Continue\r\n\r\n";
  const std::string Refusal =
      "HTTP/1.1 503 Busy\r\nId: one\r\nContent-Length: 4\r\n\r\nbusy";
  struct Case {
    const char *Description;
    std::string Before;
    std::string Answer;
    std::string Behind;
  };
  const std::vector<Case> Cases = {
      {"length, before", answer("one"), answer("two"), ""},
      {"refusal, before", Refusal, answer("two"), ""},
      {"chunks, before", chunkedAnswer("one"), chunkedAnswer("two"), ""},
      {"two extra answers", Refusal + chunkedAnswer("one"), answer("two"), ""},
      {"interim before the extra answer", Interim + Refusal, answer("two"), ""},
      {"interim behind the extra answer", Refusal + Interim, answer("two"), ""},
      {"204", "HTTP/1.1 204 None\r\nId: one\r\n\r\n", answer("two"), ""},
      {"304", "HTTP/1.1 304 Same\r\nId: one\r\n\r\n", answer("two"), ""},
      {"connection to be closed",
       "HTTP/1.1 200 OK\r\nId: one\r\nConnection: close\r\n"
       "Content-Length: 3\r\n\r\none",
       answer("two"), ""},
      {"length, behind", "", answer("two"), answer("one")},
      {"behind the last chunk", "", chunkedAnswer("two"), chunkedAnswer("one")},
      {"interim behind", "", chunkedAnswer("two"), Interim}};
  for (const Case &Each : Cases) {
    const std::string All = Each.Before + Each.Answer + Each.Behind;
    // The parts of a division into two reads, and 0 for single bytes.
    for (std::size_t Split = 0; Split <= All.size(); ++Split) {
      KeptConnection Kept;
      const auto Second = Kept.start("two");
      auto &Carrier = Kept.Server.await("two");
      for (std::size_t Start = 0; Start < All.size();) {
        const std::size_t End = Split == 0      ? Start + 1
                                : Start < Split ? Split
                                                : All.size();
        Carrier.write(All.substr(Start, End - Start));
        handleReady(*Kept.Loop);
        Start = End;
      }
      BOOST_TEST_CONTEXT(Each.Description << ", split at " << Split) {
        BOOST_REQUIRE(Kept.await(Second));
        BOOST_CHECK(*Second->CallResult == Http1CallResult::Complete);
        BOOST_TEST(Second->Body == "two");
        // The connection is not used again.
        const auto Third = Kept.start("three");
        Kept.Server.await("three").write(answer("three"));
        BOOST_REQUIRE(Kept.await(Third));
        BOOST_TEST(Third->Body == "three");
        BOOST_TEST(Kept.Server.connections() == 2u);
      }
    }
  }
}

// Guards against an answer made of the bytes of an extra answer whose end is
// missing or uncertain.
BOOST_AUTO_TEST_CASE(AnExtraAnswerWithoutEndEndsTheCall) {
  struct Case {
    const char *Description;
    std::string Extra;
    bool Close;
    Http1CallResult Expected;
  };
  const std::string Head = "HTTP/1.1 200 OK\r\nId: one\r\n";
  const std::vector<Case> Cases = {
      {"ends with the connection", Head + "\r\n" + answer("two"), true,
       Http1CallResult::NoResponse},
      {"ends with the connection, which stays open",
       Head + "\r\n" + answer("two"), false, Http1CallResult::NoResponse},
      {"chunks without end",
       Head + "Transfer-Encoding: chunked\r\n\r\n3\r\none\r\n", true,
       Http1CallResult::NoResponse},
      {"chunks without end, then the answer",
       Head + "Transfer-Encoding: chunked\r\n\r\n3\r\none\r\n" + answer("two"),
       false, Http1CallResult::Malformed},
      {"malformed chunk size",
       Head + "Transfer-Encoding: chunked\r\n\r\nx\r\n" + answer("two"), false,
       Http1CallResult::Malformed},
      {"two lengths",
       Head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\none" +
           answer("two"),
       false, Http1CallResult::Malformed},
      {"length and chunks",
       Head +
           "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n"
           "one\r\n0\r\n\r\n" +
           answer("two"),
       false, Http1CallResult::Malformed},
      {"no start line", "one" + answer("two"), false,
       Http1CallResult::Malformed},
      {"half a head, then the answer", Head + answer("two"), false,
       Http1CallResult::Malformed},
      {"body shorter than its length",
       Head + "Content-Length: 900\r\n\r\none" + answer("two"), true,
       Http1CallResult::NoResponse},
      {"upgrade",
       "HTTP/1.1 101 Switching\r\nId: one\r\nConnection: upgrade\r\n"
       "Upgrade: x\r\n\r\n" +
           answer("two"),
       false, Http1CallResult::Malformed}};
  for (const Case &Each : Cases) {
    KeptConnection Kept;
    CallOptions Options;
    Options.IdleTimeout = 50ms;
    const auto Second = Kept.start("two", Options);
    auto &Carrier = Kept.Server.await("two");
    Carrier.write(Each.Extra);
    if (Each.Close)
      Carrier.close();
    BOOST_TEST_CONTEXT(Each.Description) {
      BOOST_REQUIRE(Kept.await(Second));
      BOOST_CHECK(*Second->CallResult == Each.Expected);
      BOOST_TEST(Second->Status == 0);
      BOOST_TEST(Second->Body == "");
    }
  }
}

// Guards against a call that never ends: the bytes of an extra answer are no
// sign of the answer that is due.
BOOST_AUTO_TEST_CASE(AnEndlessExtraAnswerDoesNotProlongTheCall) {
  KeptConnection Kept;
  CallOptions Options;
  Options.IdleTimeout = 300ms;
  const auto Second = Kept.start("two", Options);
  auto &Carrier = Kept.Server.await("two");
  Carrier.write("HTTP/1.1 200 OK\r\nId: one\r\n"
                "Transfer-Encoding: chunked\r\n\r\n");
  const EventHandle Drip =
      Kept.Loop->callEvery(20ms, [&] { Carrier.write("3\r\none\r\n"); });
  BOOST_REQUIRE(Kept.await(Second));
  BOOST_CHECK(*Second->CallResult == Http1CallResult::NoResponse);
}

// Guards against a request on a connection that holds bytes which no request
// has asked for, whole answers and parts of one.
BOOST_AUTO_TEST_CASE(AnExtraAnswerInIdleTimeEndsTheConnection) {
  const std::string Extra = answer("one");
  for (std::size_t Length = 1; Length <= Extra.size(); ++Length)
    for (const bool Read : {false, true}) {
      KeptConnection Kept;
      Kept.connection().write(Extra.substr(0, Length));
      // Otherwise the bytes are still in the socket when a connection is
      // chosen.
      if (Read)
        handleReady(*Kept.Loop);
      const auto Second = Kept.start("two");
      auto &Carrier = Kept.Server.await("two");
      BOOST_TEST_CONTEXT(Length << " bytes, " << (Read ? "read" : "unread")) {
        BOOST_TEST(Kept.connection().Requests.size() == 1u);
        Carrier.write(answer("two"));
        BOOST_REQUIRE(Kept.await(Second));
        BOOST_TEST(Second->Body == "two");
      }
    }
}

// Guards against a process that stores what a server sends to an idle
// connection.
BOOST_AUTO_TEST_CASE(AnIdleConnectionStoresNoEndlessAnswer) {
  KeptConnection Kept;
  const std::string Bytes(64u << 10, 'x');
  std::size_t Written = 0;
  constexpr std::size_t Limit = 32u << 20;
  BOOST_TEST(runUntil(*Kept.Loop, [&] {
    Written += Kept.connection().write(Bytes);
    return !Kept.connection().isOpen() || Written > Limit;
  }));
  BOOST_TEST(Written < Limit);
}

// Guards against an extra answer that is still in the socket when the answer
// before it, which fills a whole read, completes.
BOOST_AUTO_TEST_CASE(AnExtraAnswerBehindAFullReadEndsTheConnection) {
  KeptConnection Kept;
  std::shared_ptr<Outcome> Third;
  CallOptions Options;
  Options.OnDone = [&] { Third = Kept.start("three"); };
  const auto Second = Kept.start("two", Options);
  auto &Carrier = Kept.Server.await("two");
  // The most that libevent reads at once.
  constexpr std::size_t ReadSize = 16384;
  std::string Large = "HTTP/1.1 200 OK\r\nId: two\r\nContent-Length: 16300"
                      "\r\nFill: ";
  const std::size_t Fill = ReadSize - 16300 - 4 - Large.size();
  Large += std::string(Fill, 'f') + "\r\n\r\n" + std::string(16300, 'b');
  BOOST_REQUIRE(Large.size() == ReadSize);
  Large += answer("two");
  BOOST_REQUIRE(Carrier.write(Large) == Large.size());
  BOOST_REQUIRE(Kept.await(Second));
  auto &Next = Kept.Server.await("three");
  BOOST_TEST(Kept.connection().Requests.size() == 2u);
  Next.write(answer("three"));
  BOOST_REQUIRE(Kept.await(Third));
  BOOST_TEST(Third->Body == "three");
}

// Guards against an extra answer that arrives while reading is paused.
BOOST_AUTO_TEST_CASE(AnExtraAnswerDuringAPauseEndsTheConnection) {
  for (const bool Split : {false, true}) {
    KeptConnection Kept;
    std::shared_ptr<Outcome> Second;
    std::shared_ptr<Outcome> Third;
    CallOptions Options;
    bool Paused = false;
    Options.OnBody = [&] {
      if (!Paused)
        Http1Client::pauseReading(Second->Call, true);
      Paused = true;
    };
    Options.OnDone = [&] { Third = Kept.start("three"); };
    Second = Kept.start("two", Options);
    auto &Carrier = Kept.Server.await("two");
    const std::string Whole = answer("two");
    // The pause begins within the body, or with its last byte.
    const std::size_t First = Whole.size() - (Split ? 1 : 0);
    Carrier.write(Whole.substr(0, First));
    BOOST_REQUIRE(runUntil(*Kept.Loop, [&] { return Paused; }));
    Carrier.write(Whole.substr(First) + answer("one"));
    handleReady(*Kept.Loop);
    Http1Client::pauseReading(Second->Call, false);
    BOOST_REQUIRE(Kept.await(Second));
    BOOST_CHECK(*Second->CallResult == Http1CallResult::Complete);
    BOOST_TEST(Second->Body == "two");
    auto &Next = Kept.Server.await("three");
    Next.write(answer("three"));
    BOOST_REQUIRE(Kept.await(Third));
    BOOST_TEST(Third->Body == "three");
    if (Split)
      BOOST_TEST(Kept.connection().Requests.size() == 2u);
  }
}

// Guards against the second answer to a request that was answered before its
// body was read: when it arrives, the connection may carry the next request.
BOOST_AUTO_TEST_CASE(AnEarlyAnswerIsFollowedByAnother) {
  for (const std::size_t BodySize : {1000u, 16u << 20}) {
    KeptConnection Kept;
    CallOptions Options;
    Options.Method = "POST";
    Options.Body = std::string(BodySize, 'b');
    const auto Second = Kept.start("two", Options);
    Kept.Server.await("two").write(answer("two"));
    BOOST_REQUIRE(Kept.await(Second));
    BOOST_TEST(Second->Body == "two");
    const auto Third = Kept.start("three");
    auto &Carrier = Kept.Server.await("three");
    Kept.connection().write(answer("two"));
    handleReady(*Kept.Loop);
    Carrier.write(answer("three"));
    BOOST_REQUIRE(Kept.await(Third));
    BOOST_TEST(Third->Body == "three");
    BOOST_TEST(Kept.Server.connections() == (BodySize > 1000 ? 2u : 1u));
  }
}

// Guards against orders of answers, extra answers and losses in which a call
// gets bytes of another answer, or a connection with such bytes is reused.
BOOST_AUTO_TEST_CASE(CallsGetTheirOwnAnswersInRandomOrders) {
  const TestSeeds Seeds = TestSeeds::create(RandomOrderSeeds);
  constexpr std::uint64_t SeedsPerAddress = 100;
  constexpr std::size_t ServerCount = 3;
  std::vector<Address> Addresses(ServerCount);
  RandomOrders::Totals Sum;
  for (std::uint64_t Seed = Seeds.First; Seed <= Seeds.Last; ++Seed) {
    // Ports of closed connections stay taken for a time.
    if ((Seed - Seeds.First) % SeedsPerAddress == 0)
      std::generate(Addresses.begin(), Addresses.end(), allocateAddress);
    const std::string Violation = RandomOrders(Seed, Addresses).play(Sum);
    BOOST_CHECK_MESSAGE(Violation.empty(),
                        "seed " << Seed << ", " << Violation);
  }
  BOOST_TEST_MESSAGE(Sum.Calls << " calls, " << Sum.Complete << " complete, "
                               << Sum.ExtraAnswers << " extra answers, "
                               << Sum.Skipped << " skipped, " << Sum.Tainted
                               << " connections tainted");
  // Otherwise the orders show little.
  BOOST_TEST(Sum.Complete > Sum.Calls / 3);
  BOOST_TEST(Sum.Skipped > 0u);
  BOOST_TEST(Sum.Tainted > 0u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace UnitTests
