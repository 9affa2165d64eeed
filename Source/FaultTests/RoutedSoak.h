#ifndef SYCAMOREREACH_FAULTTESTS_ROUTEDSOAK_H
#define SYCAMOREREACH_FAULTTESTS_ROUTEDSOAK_H

#include "Common/Hash.h"
#include "Common/Random.h"
#include "FaultTests/RoutedRawServer.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace FaultTests {

enum class SoakRoute { Safe, Unsafe, Stream };

/// Timers that run once.
class SoakTimers {
public:
  explicit SoakTimers(Network::EventLoop &Loop) : Loop(Loop) {}
  void callAfter(Common::Duration Delay, std::function<void()> Run) {
    const std::uint64_t Number = ++this->Last;
    this->Open[Number] =
        this->Loop.callAfter(Delay, [this, Number, Run = std::move(Run)] {
          this->Open.erase(Number);
          Run();
        });
  }

private:
  Network::EventLoop &Loop;
  std::map<std::uint64_t, Network::EventHandle> Open;
  std::uint64_t Last = 0;
};

/// What callers and servers saw of each request, and which rules were broken.
class SoakRecord {
public:
  static constexpr double RetryRatio = 0.1;

  /// Number of a server and of its connection.
  using Place = std::pair<int, std::uint64_t>;
  /// Number of a server and start time of its process.
  using Process = std::pair<int, std::uint64_t>;

  SoakRecord(Network::EventLoop &Loop, int RetryExtra)
      : Loop(Loop), RetryExtra(RetryExtra) {}

  /// The parts of a server's answer: one, or the events of a stream.
  static std::vector<std::string> answerTo(const std::string &Id, bool Stream) {
    const std::uint64_t Hash = Common::hashBytes(Id);
    if (!Stream)
      return {absl::StrCat("for ", Id, std::string(Hash % 2000, '.'), " end")};
    std::vector<std::string> Events;
    for (std::uint64_t I = 1; I <= 2 + Hash % 6; ++I)
      Events.push_back(absl::StrCat("id: ", I, "\ndata: ", Id, " ", I, "\n\n"));
    return Events;
  }

  /// A caller wrote the request to a connection to an entry daemon.
  void recordCall(const std::string &Id, SoakRoute Route, int Entry) {
    this->Requests[Id].Route = Route;
    this->Requests[Id].Entry = Entry;
    this->Requests[Id].SentAt = this->Loop.now();
    this->Calls.push_back(this->Loop.now());
    this->note(Id, absl::StrCat("sent to entry daemon ", Entry));
  }

  /// Status is 0 if the caller got no response.
  void recordResponse(const std::string &Id, int Status, bool Complete,
                      const std::string &Body) {
    Request &Answered = this->Requests[Id];
    this->note(Id, absl::StrCat("caller got ", Status, Complete ? "" : "..."));
    Answered.Refused =
        Status == 429 || Status == 503 || Status == 408 || Status == 421;
    if (Status != 200)
      return;
    const std::string Expected =
        absl::StrJoin(answerTo(Id, Answered.Route == SoakRoute::Stream), "");
    if (Complete ? Body != Expected : !Expected.starts_with(Body))
      this->addViolation(Id, "its caller got another answer: " + Body);
    this->Served += Complete ? 1 : 0;
  }

  /// An entry daemon has passed on an answer that says that the process leaves.
  void recordLeaving(int Entry, const Process &Leaving) {
    this->LeavingSince[Entry].try_emplace(Leaving, this->Loop.now());
  }
  /// An entry daemon that restarts or pauses may forget what it was told.
  void forgetLeaving(int Entry) { this->LeavingSince.erase(Entry); }

  void recordArrival(const std::string &Id, const Place &At,
                     std::uint64_t ServerStartedAt) {
    const Request &Arrived = this->Requests[Id];
    const auto &Told = this->LeavingSince[Arrived.Entry];
    const auto Leaving = Told.find({At.first, ServerStartedAt});
    if (Leaving != Told.end() && Arrived.SentAt > Leaving->second + DrainTime)
      this->addViolation(Id, absl::StrCat("reached server ", At.first,
                                          ", which had said that it leaves"));
    if (++this->Requests[Id].Arrivals > 1)
      this->Repeats.push_back(this->Loop.now());
    this->note(Id, absl::StrCat("arrived at server ", At.first, ", connection ",
                                At.second));
  }

  void beginRun(const std::string &Id, const Place &At) {
    ++this->Requests[Id].Runs;
    this->OpenRuns[At] = {Id, std::nullopt};
    this->note(Id, absl::StrCat("begun at server ", At.first));
  }

  /// A server has sent the first event of a stream.
  void recordOutput(const Place &At) {
    this->OpenRuns[At].OutputAt = this->Loop.now();
  }

  void endRun(const Place &At, const char *Reason) {
    const auto Ended = this->OpenRuns.extract(At);
    const std::string &Id = Ended.mapped().Id;
    this->checkOverlaps(At, Ended.mapped());
    this->note(Id, absl::StrCat("ended at server ", At.first, ": ", Reason));
  }

  /// Runs on several servers are not counted while an entry daemon is stopped.
  void setEntryStopped(int Entry, bool Stopped) {
    for (const auto &[At, Open] : this->OpenRuns)
      if (Stopped && this->Requests[Open.Id].Entry == Entry)
        this->checkOverlaps(At, Open);
    this->EntryRunsSince[Entry] =
        Stopped ? Common::TimePoint::max() : this->Loop.now();
  }

  void note(const std::string &Id, const std::string &What) {
    absl::StrAppend(&this->Requests[Id].Trace, "\n    ",
                    Common::toMilliseconds(this->Loop.now().time_since_epoch()),
                    " ", What);
  }

  /// What a caller got is no answer.
  void recordMalformed(const std::string &Id) {
    this->addViolation(Id, "its caller got what is no answer");
  }

  /// All broken rules, with the traces of their requests. To be called once, at
  /// the end.
  std::vector<std::string> findViolations() {
    for (const auto &[Id, Each] : this->Requests) {
      if (Each.Runs > (Each.Route == SoakRoute::Unsafe ? 1 : MaxAttempts))
        this->addViolation(Id, absl::StrCat("ran ", Each.Runs, " times"));
      if (Each.Route == SoakRoute::Unsafe && Each.Refused && Each.Runs > 0)
        this->addViolation(Id, "ran although its caller was refused");
    }
    // A window with the most repeats begins or ends at one of them.
    for (const Common::TimePoint Repeat : this->Repeats)
      if (this->exceedsBudget(Repeat) ||
          this->exceedsBudget(Repeat - RetryWindow))
        break;
    return this->Violations;
  }

  int Served = 0;
  int Copies = 0;
  /// What servers sent in place of answers.
  int BrokenAnswers = 0;
  /// Processes of servers that left, and said so in their answers only.
  int Left = 0;
  /// Requests written by callers.
  std::vector<Common::TimePoint> Calls;
  /// Arrivals at servers after the first of each request.
  std::vector<Common::TimePoint> Repeats;

private:
  /// The max-attempts of all routes.
  static constexpr int MaxAttempts = 2;
  /// Two servers may work on one stream for this long.
  static constexpr Common::Duration MaxOverlap = std::chrono::milliseconds(400);
  static constexpr Common::Duration RetryWindow = std::chrono::seconds(10);
  /// Requests that are sent later than this after an answer that says that the
  /// server leaves may not reach it.
  static constexpr Common::Duration DrainTime = std::chrono::seconds(2);

  struct Request {
    SoakRoute Route = SoakRoute::Safe;
    int Entry = 0;
    Common::TimePoint SentAt;
    int Arrivals = 0;
    int Runs = 0;
    /// The caller was told that the request was not executed.
    bool Refused = false;
    std::string Trace;
  };
  struct Run {
    std::string Id;
    /// Of streams, which run from their first event on.
    std::optional<Common::TimePoint> OutputAt;
  };

  void checkOverlaps(const Place &At, const Run &Checked) {
    const Common::TimePoint RunsSince =
        this->EntryRunsSince[this->Requests[Checked.Id].Entry];
    for (const auto &[Other, Beside] : this->OpenRuns) {
      if (Other == At || Beside.Id != Checked.Id || !Beside.OutputAt ||
          !Checked.OutputAt)
        continue;
      const auto Overlap =
          this->Loop.now() -
          std::max({*Beside.OutputAt, *Checked.OutputAt, RunsSince});
      if (Overlap > MaxOverlap)
        this->addViolation(
            Checked.Id, absl::StrCat("two servers worked on it for ",
                                     Common::toMilliseconds(Overlap), " ms"));
    }
  }

  static double countInWindow(const std::vector<Common::TimePoint> &Times,
                              Common::TimePoint From) {
    return static_cast<double>(
        std::upper_bound(Times.begin(), Times.end(), From + RetryWindow) -
        std::lower_bound(Times.begin(), Times.end(), From));
  }

  bool exceedsBudget(Common::TimePoint From) {
    const double Requests =
        std::max({countInWindow(this->Calls, From),
                  countInWindow(this->Calls, From - RetryWindow / 2),
                  countInWindow(this->Calls, From - RetryWindow)});
    const double Allowed = RetryRatio * Requests + this->RetryExtra;
    const double Repeated = countInWindow(this->Repeats, From);
    if (Repeated <= Allowed)
      return false;
    this->Violations.push_back(
        absl::StrCat("retry budget: ", Repeated, " repeats in the 10 s from ",
                     Common::toMilliseconds(From.time_since_epoch()),
                     ", allowed ", Allowed));
    return true;
  }

  void addViolation(const std::string &Id, const std::string &What) {
    const Request &Broken = this->Requests[Id];
    const char *Route = Broken.Route == SoakRoute::Safe     ? "safe "
                        : Broken.Route == SoakRoute::Unsafe ? "unsafe "
                                                            : "stream ";
    this->Violations.push_back(
        absl::StrCat(Route, Id, ": ", What, Broken.Trace));
  }

  Network::EventLoop &Loop;
  int RetryExtra;
  std::map<std::string, Request> Requests;
  std::map<Place, Run> OpenRuns;
  /// Since when an entry daemon runs; the distant future while it is stopped.
  std::map<int, Common::TimePoint> EntryRunsSince;
  /// For each entry daemon, when it first passed on that a process leaves.
  std::map<int, std::map<Process, Common::TimePoint>> LeavingSince;
  std::vector<std::string> Violations;
};

/// A server that answers, refuses, loses or delays requests at random, and
/// sends copies of its answers later on the same connections.
class SoakServer {
public:
  /// NamesRefused tells whether refusals name their requests.
  SoakServer(Network::EventLoop &Loop, SoakRecord &Record, int Number,
             const Network::Address &Listen, bool NamesRefused,
             std::uint64_t Seed)
      : Loop(Loop), Record(Record), Number(Number), NamesRefused(NamesRefused),
        Random(Seed), BrokenRandom(Seed + 1),
        RefusalProbability(0.1 + 0.6 * this->Random.fraction()),
        LossProbability(0.05 + 0.3 * this->Random.fraction()), Timers(Loop),
        Socket(Loop, Listen) {
    this->Socket.OnRequest = [this](const RoutedRawServer::Arrival &Arrived) {
      const Peer On = Arrived.Connection;
      Connection &Reached = this->Connections[On];
      this->Record.recordArrival(Arrived.RequestId, {this->Number, On},
                                 this->StartedAt);
      Reached.Waiting.push_back(Arrived);
      if (!Reached.CopyOnArrival.empty()) {
        const std::string Copy = Reached.CopyOnArrival;
        if (this->Random.chance(0.5))
          Reached.CopyOnArrival.clear();
        this->sendCopy(On, Copy, this->Random.chance(0.5));
      }
      if (Reached.Waiting.size() == 1)
        this->callAfter(On, {}, [this, On] { this->begin(On); });
    };
    this->Socket.OnPeerClosed = [this](Peer Closed) {
      this->endRun(Closed, "connection closed");
      this->Connections.erase(Closed);
    };
  }

  /// From now on, all answers say that the server leaves.
  void leave() { this->Leaving = true; }
  /// Replaces the process by a new one, which does not leave.
  void restart() {
    while (!this->Connections.empty()) {
      const Peer Closed = this->Connections.begin()->first;
      this->endRun(Closed, "server exited");
      this->Connections.erase(Closed);
      this->Socket.close(Closed);
    }
    this->Leaving = false;
    ++this->StartedAt;
  }
  std::uint64_t startedAt() const { return this->StartedAt; }

  /// While it is false, the server answers each request properly.
  bool Faulty = false;

private:
  using Peer = RoutedRawServer::ConnectionNumber;
  using Parts = std::vector<std::string>;
  static constexpr int MaxRunning = 6;
  static constexpr double RestProbability = 0.1;
  static constexpr double BrokenProbability = 0.1;
  /// Of the whole server, and of one request.
  static constexpr double PauseProbability = 0.01;
  static constexpr double LongRunProbability = 0.04;
  static constexpr double RefusalCopyProbability = 0.8;
  static constexpr double AnswerCopyProbability = 0.15;

  struct Connection {
    /// Requests that have arrived and are not answered, oldest first.
    std::deque<RoutedRawServer::Arrival> Waiting;
    bool Running = false;
    /// What has been sent of the current answer.
    std::string Answer;
    /// Sent when the next request arrives, and may be sent again after that.
    std::string CopyOnArrival;
    /// The second part of a split write and what follows it.
    std::string Held;
  };

  Common::Duration between(int FromMilliseconds, int ToMilliseconds) {
    return this->Random.between(std::chrono::milliseconds(FromMilliseconds),
                                std::chrono::milliseconds(ToMilliseconds));
  }

  /// Adds the headers that name the process and say whether it leaves.
  std::string withProcess(std::string Response) const {
    const std::size_t StatusEnd = Response.find("\r\n") + 2;
    return Response.insert(
        StatusEnd, absl::StrCat("X-Process: ", this->StartedAt,
                                "\r\nX-Server: ", this->Number, "\r\n",
                                this->Leaving ? "Server-Leaving: 1\r\n" : ""));
  }

  void begin(Peer On) {
    if (!this->Faulty) {
      this->run(On, {}, false);
      return;
    }
    const std::string Id = this->Connections[On].Waiting.front().RequestId;
    const Common::Duration Pause = this->between(500, 3000);
    if (this->RunningCount >= MaxRunning ||
        this->Random.chance(this->RefusalProbability)) {
      const Common::Duration Rest = this->between(300, 2000);
      const std::string RetryAfter =
          this->Random.chance(RestProbability)
              ? std::to_string(Common::toSeconds(Rest))
              : "";
      this->Record.note(Id, absl::StrCat("refused by server ", this->Number,
                                         ", Retry-After ", RetryAfter));
      this->write(On, this->withProcess(RawResponse::refusal(
                          this->NamesRefused ? Id : "", RetryAfter)));
      this->completeAnswer(On, RefusalCopyProbability);
      return;
    }
    if (this->Random.chance(PauseProbability))
      this->PausedUntil = this->Loop.now() + Pause;
    const bool LongRun = this->Random.chance(LongRunProbability);
    this->run(On, LongRun ? Pause : this->between(0, 400),
              this->Random.chance(this->LossProbability));
  }

  void run(Peer On, Common::Duration Time, bool Lost) {
    Connection &Runner = this->Connections[On];
    const Network::Http1Head &Head = Runner.Waiting.front().Head;
    const std::string Id = Runner.Waiting.front().RequestId;
    Runner.Running = true;
    ++this->RunningCount;
    this->Record.beginRun(Id, {this->Number, On});
    const bool Stream = Head.Target.find("/flow/") != std::string::npos;
    Parts Answer = SoakRecord::answerTo(Id, Stream);
    if (Stream) {
      const auto Resumed = Network::findHeader(Head.Headers, "Last-Event-Id");
      Answer.erase(Answer.begin(),
                   Answer.begin() + std::stoi(Resumed.value_or("0")));
      for (std::string &Each : Answer)
        Each = absl::StrCat(absl::Hex(Each.size()), "\r\n", Each, "\r\n");
      std::string Start = this->withProcess(RawResponse::streamHead(Id));
      Start.insert(Start.size() - 2, "Transfer-Encoding: chunked\r\n");
      Answer.insert(Answer.begin(), Start);
      Answer.emplace_back("0\r\n\r\n");
    } else {
      Answer.front() =
          this->withProcess(RawResponse::success(Id, Answer.front()));
    }
    if (this->Faulty && this->BrokenRandom.chance(BrokenProbability)) {
      this->callAfter(On, Time, [this, On, Id] { this->sendBroken(On, Id); });
      return;
    }
    const std::size_t LostPart =
        Lost ? this->Random.below(Answer.size()) : Answer.size();
    this->callAfter(On, Time, [this, On, Answer, LostPart] {
      this->sendParts(On, Answer, 0, LostPart);
    });
  }

  /// Sends one part after another and breaks off in that numbered LostPart.
  void sendParts(Peer On, const Parts &Answer, std::size_t Next,
                 std::size_t LostPart) {
    const std::string &Part = Answer[Next];
    if (Next == LostPart) {
      this->write(On, Part.substr(0, this->Random.below(Part.size())));
      this->endRun(On, "connection lost");
      this->Connections.erase(On);
      if (this->Random.chance(0.5))
        this->Socket.reset(On);
      else
        this->Socket.close(On);
      return;
    }
    this->write(On, Part);
    if (Next == 1)
      this->Record.recordOutput({this->Number, On});
    if (Next + 1 == Answer.size())
      this->completeAnswer(On, AnswerCopyProbability);
    else
      this->callAfter(On, this->between(0, 60),
                      [this, On, Answer, Next, LostPart] {
                        this->sendParts(On, Answer, Next + 1, LostPart);
                      });
  }

  /// Ends a run with what is no answer, upon which the daemon closes the
  /// connection.
  void sendBroken(Peer On, const std::string &Id) {
    static const std::array<std::string, 7> StatusLines = {
        "HTTP/1.1 000 OK",
        "HTTP/1.1 20 OK",
        "HTTP/1.1 0503 Busy",
        "HTTP/1.1 600 OK",
        "HTTP/2.0 200 OK",
        "HTTP/1.1 200 OK\r\nX Odd: 1",
        "HTTP/1.1 503 Busy\r\nContent-Length: 9"};
    const std::string &Start =
        StatusLines[this->BrokenRandom.below(StatusLines.size())];
    std::string Response = RawResponse::success(Id, "broken");
    Response.replace(0, Response.find("\r\n"), Start);
    if (this->BrokenRandom.chance(0.5))
      Response.insert(Response.find("\r\n") + 2,
                      "X-Sycamorereach-Not-Executed: full\r\n");
    ++this->Record.BrokenAnswers;
    this->Record.note(Id, "sent what is no answer: " + Start);
    this->write(On, this->withProcess(Response));
    this->endRun(On, "answered with what is none");
  }

  void completeAnswer(Peer On, double CopyProbability) {
    this->endRun(On, "answered");
    Connection &Answering = this->Connections[On];
    const std::string Answer = std::exchange(Answering.Answer, "");
    Answering.Waiting.pop_front();
    if (this->Random.chance(CopyProbability)) {
      const std::uint64_t When = this->Random.below(4);
      if (When == 0)
        this->sendCopy(On, Answer, false);
      else if (When == 1)
        this->callAfter(On, this->between(1, 600), [this, On, Answer] {
          this->sendCopy(On, Answer, this->Random.chance(0.5));
        });
      else
        Answering.CopyOnArrival = Answer;
    }
    if (!Answering.Waiting.empty())
      this->callAfter(On, {}, [this, On] { this->begin(On); });
  }

  void sendCopy(Peer On, const std::string &Answer, bool Split) {
    Connection &Written = this->Connections[On];
    // A copy goes between two answers, never into one.
    if (!this->Faulty || !Written.Answer.empty() || !Written.Held.empty())
      return;
    ++this->Record.Copies;
    if (!Written.Waiting.empty())
      this->Record.note(Written.Waiting.front().RequestId,
                        "copy before its answer: " +
                            Answer.substr(0, Answer.find("\r\n\r\n")));
    const std::size_t First =
        Split ? 1 + this->Random.below(Answer.size() - 1) : Answer.size();
    this->Socket.send(On, Answer.substr(0, First));
    Written.Held = Answer.substr(First);
    if (Split)
      this->callAfter(On, this->between(1, 50), [this, On] {
        this->Socket.send(On, std::exchange(this->Connections[On].Held, ""));
      });
  }

  void write(Peer On, const std::string &Bytes) {
    Connection &Written = this->Connections[On];
    Written.Answer += Bytes;
    if (!Written.Held.empty())
      Written.Held += Bytes;
    else
      this->Socket.send(On, Bytes);
  }

  /// Runs the callback unless the connection is closed by then, and not while
  /// the server pauses.
  void callAfter(Peer On, Common::Duration Delay, std::function<void()> Run) {
    this->Timers.callAfter(Delay, [this, On, Run = std::move(Run)] {
      const Common::TimePoint Now = this->Loop.now();
      if (this->Connections.count(On) == 0)
        return;
      if (Now < this->PausedUntil)
        this->callAfter(On, this->PausedUntil - Now, Run);
      else
        Run();
    });
  }

  void endRun(Peer On, const char *Reason) {
    if (!std::exchange(this->Connections[On].Running, false))
      return;
    --this->RunningCount;
    this->Record.endRun({this->Number, On}, Reason);
  }

  Network::EventLoop &Loop;
  SoakRecord &Record;
  int Number;
  bool NamesRefused;
  Common::Random Random;
  /// Apart, so that the other decisions of a seed stay as they are.
  Common::Random BrokenRandom;
  double RefusalProbability;
  double LossProbability;
  int RunningCount = 0;
  bool Leaving = false;
  std::uint64_t StartedAt = 1000;
  Common::TimePoint PausedUntil;
  std::map<Peer, Connection> Connections;
  SoakTimers Timers;
  RoutedRawServer Socket;
};

} // namespace FaultTests

#endif
