// Shared parts of the review's scripts: processes, settings files, HTTP over
// blocking sockets, and stand-ins for replicas, requesters and the operator.
#ifndef REVIEW_HARNESS_H
#define REVIEW_HARNESS_H

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace Review {

using Clock = std::chrono::steady_clock;

inline const Clock::time_point Begin = Clock::now();
/// Seconds since the start of the script.
inline double now() {
  return std::chrono::duration<double>(Clock::now() - Begin).count();
}
inline void sleepFor(double Seconds) {
  if (Seconds > 0)
    std::this_thread::sleep_for(std::chrono::duration<double>(Seconds));
}
inline std::uint64_t unixMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// record.txt: what was sent, answered and run.
class Record {
public:
  void open(const std::string &Path) { this->File = fopen(Path.c_str(), "w"); }
  void line(const char *Format, ...) __attribute__((format(printf, 2, 3))) {
    char Text[1024];
    va_list Arguments;
    va_start(Arguments, Format);
    vsnprintf(Text, sizeof(Text), Format, Arguments);
    va_end(Arguments);
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    if (!this->File)
      return;
    fprintf(this->File, "%9.4f %s\n", now(), Text);
    fflush(this->File);
  }

private:
  std::mutex Mutex;
  FILE *File = nullptr;
};
inline Record Log;

struct Address {
  std::string Ip;
  int Port = 0;
  std::string str() const { return Ip + ":" + std::to_string(Port); }
};

inline sockaddr_in toSocketAddress(const Address &To) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(static_cast<std::uint16_t>(To.Port));
  inet_pton(AF_INET, To.Ip.c_str(), &Result.sin_addr);
  return Result;
}

/// Ends the script because the case could not run.
[[noreturn]] inline void giveUp(const std::string &Why);

// ---------------------------------------------------------------- HTTP

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string findHeader(const Headers &In, const char *Name) {
  for (const auto &[Key, Value] : In)
    if (strcasecmp(Key.c_str(), Name) == 0)
      return Value;
  return {};
}

struct Message {
  /// Of a request "POST /x HTTP/1.1", of a response "HTTP/1.1 200 OK".
  std::string FirstLine;
  Headers Fields;
  std::string Body;
  bool Complete = false;
  std::string header(const char *Name) const {
    return findHeader(this->Fields, Name);
  }
  int status() const {
    return this->FirstLine.size() > 12 ? atoi(this->FirstLine.c_str() + 9) : 0;
  }
  std::string method() const {
    return this->FirstLine.substr(0, this->FirstLine.find(' '));
  }
  std::string target() const {
    const auto First = this->FirstLine.find(' ');
    const auto Second = this->FirstLine.find(' ', First + 1);
    return this->FirstLine.substr(First + 1, Second - First - 1);
  }
};

/// A connected TCP socket.
class Channel {
public:
  explicit Channel(int Descriptor = -1) : Descriptor(Descriptor) {
    if (Descriptor >= 0) {
      const int On = 1;
      setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
    }
  }
  ~Channel() { this->close(); }
  Channel(const Channel &) = delete;
  Channel &operator=(const Channel &) = delete;

  static std::unique_ptr<Channel> connect(const Address &To, double Timeout) {
    const int Descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (Descriptor < 0)
      return nullptr;
    fcntl(Descriptor, F_SETFL, O_NONBLOCK);
    const sockaddr_in Endpoint = toSocketAddress(To);
    if (::connect(Descriptor, reinterpret_cast<const sockaddr *>(&Endpoint),
                  sizeof(Endpoint)) != 0 &&
        errno != EINPROGRESS) {
      ::close(Descriptor);
      return nullptr;
    }
    pollfd Waiting{Descriptor, POLLOUT, 0};
    int Failure = 0;
    socklen_t Size = sizeof(Failure);
    if (poll(&Waiting, 1, static_cast<int>(Timeout * 1000)) != 1 ||
        getsockopt(Descriptor, SOL_SOCKET, SO_ERROR, &Failure, &Size) != 0 ||
        Failure != 0) {
      ::close(Descriptor);
      return nullptr;
    }
    fcntl(Descriptor, F_SETFL, 0);
    return std::make_unique<Channel>(Descriptor);
  }

  void close() {
    if (this->Descriptor >= 0)
      ::close(this->Descriptor);
    this->Descriptor = -1;
  }
  /// Wakes a thread that reads from the channel.
  void shutdown() { ::shutdown(this->Descriptor, SHUT_RDWR); }
  int descriptor() const { return this->Descriptor; }

  bool write(const std::string &Bytes, double Timeout = 10) {
    const double Deadline = now() + Timeout;
    std::size_t Done = 0;
    while (Done < Bytes.size()) {
      const ssize_t Size =
          send(this->Descriptor, Bytes.data() + Done, Bytes.size() - Done,
               MSG_NOSIGNAL | MSG_DONTWAIT);
      if (Size > 0) {
        Done += static_cast<std::size_t>(Size);
        continue;
      }
      if (Size < 0 && errno != EAGAIN && errno != EINTR)
        return false;
      pollfd Waiting{this->Descriptor, POLLOUT, 0};
      if (now() > Deadline || poll(&Waiting, 1, 100) < 0)
        return false;
    }
    return true;
  }

  /// Reads more into Buffer. False at the end, a reset or the deadline.
  bool fill(double Deadline) {
    const double Left = Deadline - now();
    pollfd Waiting{this->Descriptor, POLLIN, 0};
    if (Left <= 0 || poll(&Waiting, 1, static_cast<int>(Left * 1000) + 1) != 1)
      return false;
    char Bytes[16384];
    const ssize_t Size = recv(this->Descriptor, Bytes, sizeof(Bytes), 0);
    this->Ended = Size == 0;
    this->Failed = Size < 0;
    if (Size <= 0)
      return false;
    this->Buffer.append(Bytes, static_cast<std::size_t>(Size));
    return true;
  }

  /// Reads a line without its line break.
  bool readLine(std::string &Line, double Deadline) {
    std::size_t At = 0;
    while ((At = this->Buffer.find("\r\n")) == std::string::npos)
      if (!this->fill(Deadline))
        return false;
    Line = this->Buffer.substr(0, At);
    this->Buffer.erase(0, At + 2);
    return true;
  }

  bool readBytes(std::string &To, std::size_t Count, double Deadline) {
    while (this->Buffer.size() < Count)
      if (!this->fill(Deadline)) {
        To += this->Buffer;
        this->Buffer.clear();
        return false;
      }
    To.append(this->Buffer, 0, Count);
    this->Buffer.erase(0, Count);
    return true;
  }

  /// Reads a whole message; Complete tells whether it came to its end.
  Message read(double Deadline, bool IsResponse) {
    Message Result;
    if (!this->readLine(Result.FirstLine, Deadline))
      return Result;
    std::string Line;
    while (true) {
      if (!this->readLine(Line, Deadline))
        return Result;
      if (Line.empty())
        break;
      const auto Colon = Line.find(':');
      if (Colon == std::string::npos)
        return Result;
      std::size_t Value = Colon + 1;
      while (Value < Line.size() && Line[Value] == ' ')
        ++Value;
      Result.Fields.emplace_back(Line.substr(0, Colon), Line.substr(Value));
    }
    if (strcasecmp(Result.header("Transfer-Encoding").c_str(), "chunked") ==
        0) {
      while (true) {
        if (!this->readLine(Line, Deadline))
          return Result;
        const std::size_t Size = strtoul(Line.c_str(), nullptr, 16);
        if (!this->readBytes(Result.Body, Size, Deadline) ||
            !this->readLine(Line, Deadline))
          return Result;
        if (Size == 0)
          break;
      }
      Result.Complete = true;
      return Result;
    }
    const std::string Length = Result.header("Content-Length");
    if (!Length.empty()) {
      Result.Complete = this->readBytes(
          Result.Body, strtoul(Length.c_str(), nullptr, 10), Deadline);
      return Result;
    }
    if (IsResponse && Result.status() != 204) {
      while (this->fill(Deadline)) {
      }
      Result.Body = this->Buffer;
      this->Buffer.clear();
      Result.Complete = this->Ended;
      return Result;
    }
    Result.Complete = true;
    return Result;
  }

  /// Whether the peer has closed or reset the channel.
  bool isClosed() const {
    char Byte = 0;
    const ssize_t Size =
        recv(this->Descriptor, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return Size == 0 || (Size < 0 && errno != EAGAIN && errno != EINTR);
  }

  bool Ended = false;
  bool Failed = false;

private:
  int Descriptor;
  std::string Buffer;
};

inline std::string formatRequest(const std::string &Method,
                                 const std::string &Target,
                                 const Headers &Fields,
                                 const std::string &Body) {
  std::string Text = Method + " " + Target + " HTTP/1.1\r\n";
  for (const auto &[Name, Value] : Fields)
    Text += Name + ": " + Value + "\r\n";
  if (!Body.empty() || Method == "POST")
    Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  return Text + "\r\n" + Body;
}

inline std::string formatResponse(int Status, const Headers &Fields,
                                  const std::string &Body) {
  std::string Text = "HTTP/1.1 " + std::to_string(Status) + " Status\r\n";
  for (const auto &[Name, Value] : Fields)
    Text += Name + ": " + Value + "\r\n";
  return Text + "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

/// One call on a new channel.
inline Message call(const Address &To, const std::string &Method,
                    const std::string &Target, const std::string &Body,
                    Headers Fields = {}, double Timeout = 1.0) {
  auto Opened = Channel::connect(To, Timeout);
  if (!Opened)
    return {};
  if (findHeader(Fields, "Host").empty())
    Fields.emplace_back("Host", To.str());
  if (!Body.empty())
    Fields.emplace_back("Content-Type", "application/json");
  if (!Opened->write(formatRequest(Method, Target, Fields, Body), Timeout))
    return {};
  return Opened->read(now() + Timeout, true);
}

/// Accepts channels and runs a handler for each in a thread of its own.
class Server {
public:
  using Handler = std::function<void(Channel &)>;
  Server(const Address &Listen, Handler Run) : Run(std::move(Run)) {
    this->Descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int On = 1;
    setsockopt(this->Descriptor, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
    const sockaddr_in Endpoint = toSocketAddress(Listen);
    if (bind(this->Descriptor, reinterpret_cast<const sockaddr *>(&Endpoint),
             sizeof(Endpoint)) != 0 ||
        listen(this->Descriptor, 512) != 0)
      giveUp("cannot listen on " + Listen.str());
    this->Acceptor = std::thread([this] {
      while (!this->Stopping) {
        pollfd Waiting{this->Descriptor, POLLIN, 0};
        if (poll(&Waiting, 1, 100) != 1)
          continue;
        const int Accepted =
            accept4(this->Descriptor, nullptr, nullptr, SOCK_CLOEXEC);
        if (Accepted < 0)
          continue;
        std::thread([this, Accepted] {
          Channel Opened(Accepted);
          this->Run(Opened);
        }).detach();
      }
    });
  }
  ~Server() { this->stop(); }
  void stop() {
    this->Stopping = true;
    if (this->Acceptor.joinable())
      this->Acceptor.join();
    if (this->Descriptor >= 0)
      close(this->Descriptor);
    this->Descriptor = -1;
  }
  std::atomic<bool> Stopping{false};

private:
  Handler Run;
  int Descriptor = -1;
  std::thread Acceptor;
};

// ----------------------------------------------------------- processes

class Process {
public:
  Process(const std::vector<std::string> &Command, const std::string &LogPath,
          const std::string &Folder) {
    std::vector<char *> Words;
    for (const std::string &Each : Command)
      Words.push_back(const_cast<char *>(Each.c_str()));
    Words.push_back(nullptr);
    this->Pid = fork();
    if (this->Pid == 0) {
      // The daemons end with the script, however it ends.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int Output = open(LogPath.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                              0600);
      dup2(Output, STDOUT_FILENO);
      dup2(Output, STDERR_FILENO);
      if (chdir(Folder.c_str()) != 0)
        _exit(127);
      execv(Words[0], Words.data());
      _exit(127);
    }
  }
  ~Process() { this->kill(SIGKILL); }
  pid_t pid() const { return this->Pid; }
  void signal(int Number) const {
    if (this->Pid > 0)
      ::kill(this->Pid, Number);
  }
  void kill(int Number) {
    if (this->Pid <= 0)
      return;
    ::kill(this->Pid, Number);
    int Status = 0;
    waitpid(this->Pid, &Status, 0);
    this->Pid = -1;
  }
  /// Whether the process has ended by itself.
  bool hasEnded() {
    int Status = 0;
    if (this->Pid > 0 && waitpid(this->Pid, &Status, WNOHANG) == this->Pid) {
      Log.line("process %d ended, wait status %d", this->Pid, Status);
      this->Pid = -1;
    }
    return this->Pid <= 0;
  }
  /// Resident memory in MB.
  double residentMegabytes() const {
    std::ifstream File("/proc/" + std::to_string(this->Pid) + "/status");
    std::string Line;
    while (std::getline(File, Line))
      if (Line.compare(0, 6, "VmRSS:") == 0)
        return atof(Line.c_str() + 6) / 1024;
    return 0;
  }

private:
  pid_t Pid = -1;
};

// ---------------------------------------------------------- deployment

struct ReplicaId {
  std::string Id;
  std::string Service;
  Address At;
  std::string Zone;
  int Slots = 64;
  std::uint64_t Born = 0;
};

/// State and entry daemons with the settings of a small deployment.
class Deployment {
public:
  static constexpr int StateDaemons = 4;
  /// Numbers of the state daemons that run, and of those in new settings files'
  /// list of seeds.
  std::vector<int> Live{1, 2, 3, 4};
  std::mutex LiveMutex;
  /// What the operator's list of daemons shows.
  std::vector<int> live() {
    const std::lock_guard<std::mutex> Lock(this->LiveMutex);
    return this->Live;
  }
  std::vector<int> Seeds{1, 2, 3};
  int EntryDaemons = 2;
  double MemoryLimitMegabytes = 260;
  std::string Root;
  std::string Folder;
  std::string Prefix;
  int Port = 0;
  std::map<std::string, std::unique_ptr<Process>> Processes;
  std::unique_ptr<Server> Cloud;
  std::mutex Mutex;

  Deployment() {
    std::random_device Random;
    this->Root = std::filesystem::current_path();
    this->Folder = std::filesystem::temp_directory_path() /
                   ("review-" + std::to_string(getpid()));
    std::filesystem::create_directories(this->Folder);
    this->Prefix = "127." + std::to_string(20 + Random() % 200) + "." +
                   std::to_string(1 + Random() % 250) + ".";
    for (int Try = 0; Try < 50 && this->Port == 0; ++Try) {
      const int Candidate = 20000 + static_cast<int>(Random() % 9000);
      if (this->isFree(Candidate))
        this->Port = Candidate;
    }
    if (this->Port == 0)
      giveUp("no free ports");
  }
  ~Deployment() { this->end(); }
  void end() {
    this->Processes.clear();
    if (!getenv("KEEP_LOGS"))
      std::filesystem::remove_all(this->Folder);
  }

  Address control(int Number) const {
    return {this->Prefix + std::to_string(Number), this->Port};
  }
  Address front(int Number) const {
    return {this->Prefix + std::to_string(10 + Number), this->Port + 1};
  }
  Address ready(int Number) const {
    return {this->Prefix + std::to_string(10 + Number), this->Port + 2};
  }
  Address replica(int Number) const {
    return {this->Prefix + std::to_string(50 + Number), this->Port + 3};
  }
  Address cloud() const {
    return {this->Prefix + "40", this->Port + 4};
  }

  void startCloud() {
    this->Cloud = std::make_unique<Server>(this->cloud(), [](Channel &Caller) {
      while (true) {
        const Message Call = Caller.read(now() + 60, false);
        if (!Call.Complete)
          return;
        Log.line("cloud accepts %s holder %s token %s %s",
                 Call.target().c_str(),
                 Call.header("X-Sycamorereach-Duty-Holder").c_str(),
                 Call.header("X-Sycamorereach-Fencing-Token").c_str(),
                 Call.Body.substr(0, 200).c_str());
        Caller.write(formatResponse(200, {}, "{}"));
      }
    });
  }

  void startState(int Number, bool FirstStart) {
    const std::string Name = "state-" + std::to_string(Number);
    std::filesystem::create_directories(this->Folder + "/" + Name);
    const std::string File =
        this->render("deploy/state.settings", Name, Number,
                     {{"data-dir", this->Folder + "/" + Name},
                      {"bootstrap", FirstStart ? "true" : "false"},
                      {"listen.control", this->control(Number).str()}});
    this->start(Name, {"target/Source/StateDaemon/sycamore-state", "control",
                       "--settings-file=" + File});
  }
  void startEntry(int Number) {
    const std::string Name = "entry-" + std::to_string(Number);
    const std::string File = this->render(
        "deploy/entry.settings", Name, Number,
        {{"listen.front", this->front(Number).str()},
         {"listen.ready", this->ready(Number).str()}});
    this->start(Name, {"target/Source/EntryDaemon/sycamore-entry", "gateway",
                       "--settings-file=" + File});
  }
  Process &process(const std::string &Name) { return *this->Processes.at(Name); }

  void startAll() {
    this->startCloud();
    for (int I = 1; I <= StateDaemons; ++I)
      this->startState(I, true);
    for (int I = 1; I <= this->EntryDaemons; ++I)
      this->startEntry(I);
  }

  /// Sends a configuration as the operator does; false without a 200.
  bool configure(const std::string &Document, double Timeout = 20) {
    const double Deadline = now() + Timeout;
    int Number = 0;
    while (now() < Deadline) {
      Address To = this->control(
          this->Live[static_cast<std::size_t>(Number++) % this->Live.size()]);
      std::string Path = "/sycamorereach/config/replace";
      for (int Hop = 0; Hop < 3; ++Hop) {
        const Message Answer = call(To, "POST", Path, Document);
        if (Answer.status() == 200) {
          Log.line("operator: %s acknowledges the configuration",
                   To.str().c_str());
          return true;
        }
        const std::string Location = Answer.header("Location");
        if (Answer.status() != 307 || Location.compare(0, 7, "http://") != 0)
          break;
        const auto Slash = Location.find('/', 7);
        const auto Colon = Location.find(':', 7);
        To = {Location.substr(7, Colon - 7),
              atoi(Location.c_str() + Colon + 1)};
        Path = Location.substr(Slash);
      }
      sleepFor(0.1);
    }
    return false;
  }

  /// The address of the leader: the daemon that answers a read itself.
  int leader() const {
    for (int I : this->Live)
      if (call(this->control(I), "GET", "/sycamorereach/config/read", "")
              .status() == 200)
        return I;
    return 0;
  }

  bool waitUntilReady(double Timeout = 20) {
    const double Deadline = now() + Timeout;
    for (int I = 1; I <= this->EntryDaemons; ++I)
      while (call(this->ready(I), "GET", "/sycamorereach/ready", "").status() !=
             200) {
        if (now() > Deadline)
          return false;
        sleepFor(0.1);
      }
    return true;
  }

private:
  bool isFree(int Candidate) const {
    for (int I : {1, 2, 3, 4, 5, 6, 7, 11, 12, 13, 14, 15, 16, 17, 18, 40})
      for (int Offset = 0; Offset <= 12; ++Offset) {
        const int Descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in Endpoint = toSocketAddress(
            {this->Prefix + std::to_string(I), Candidate + Offset});
        const bool Bound =
            bind(Descriptor, reinterpret_cast<const sockaddr *>(&Endpoint),
                 sizeof(Endpoint)) == 0;
        close(Descriptor);
        if (!Bound)
          return false;
      }
    return true;
  }

  void start(const std::string &Name, std::vector<std::string> Command) {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Processes[Name] = std::make_unique<Process>(
        Command, this->Folder + "/" + Name + ".log", this->Root);
    Log.line("start %s, process %d", Name.c_str(),
             this->Processes[Name]->pid());
  }

  /// Fills in a template of the deploy folder.
  std::string render(const std::string &Template, const std::string &Name,
                     int Number, std::map<std::string, std::string> Values) {
    Values["node-name"] = Name;
    Values["zone"] = "zone-" + std::to_string(1 + (Number <= 4 ? Number - 1 : Number - 5) % 4);
    Values["port-range.0"] = std::to_string(this->Port + 10);
    for (int Each : this->Seeds)
      Values["seeds"] += (Values["seeds"].empty() ? "" : ",") +
                         this->control(Each).str();
    Values["fault-tolerance.machines"] = "1";
    Values["bounds.catch-up-s"] = "4";
    Values["bounds.revoke-ms"] = "5000";
    Values["bounds.grace-s"] = "8";
    Values["bounds.retry-budget-ratio"] = "0.2";
    Values["bounds.budget-extra"] = "56";
    Values["bounds.budget-window-s"] = "10";
    Values["bounds.report-window-s"] = "5";
    Values["bounds.quota-slack"] = "140000";
    Values["bounds.quota-over"] = "0.1";
    Values["bounds.quota-window-s"] = "8";
    Values["bounds.lease-ms"] = "3000";
    Values["cloud-api.address"] = this->cloud().str();
    Values["cloud-api.duty-per-s"] = "50.0";
    Values["cloud-api.duties"] = "usage_report,scale";
    std::ifstream Source(this->Root + "/" + Template);
    std::string Text{std::istreambuf_iterator<char>(Source), {}};
    std::size_t At = 0;
    while ((At = Text.find("{{", At)) != std::string::npos) {
      const std::size_t End = Text.find("}}", At);
      const std::string Key = Text.substr(At + 2, End - At - 2);
      if (Values.count(Key) == 0)
        giveUp("no value for the setting " + Key);
      Text.replace(At, End + 2 - At, Values[Key]);
    }
    const std::string Path = this->Folder + "/" + Name + ".settings";
    std::ofstream(Path) << Text;
    return Path;
  }
};

inline Deployment *Current = nullptr;

inline void giveUp(const std::string &Why) {
  fprintf(stderr, "the case could not run: %s\n", Why.c_str());
  Log.line("the case could not run: %s", Why.c_str());
  if (Current)
    Current->end();
  _exit(2);
}

/// Ends all processes and the script. Threads of stand-ins may still run.
[[noreturn]] inline void conclude(bool Broken, const std::string &Text) {
  Log.line("%s: %s", Broken ? "BROKEN" : "held", Text.c_str());
  printf("%s: %s\n", Broken ? "BROKEN" : "held", Text.c_str());
  fflush(stdout);
  if (Current)
    Current->end();
  _exit(Broken ? 1 : 0);
}

inline bool hasTrouble() {
  const char *Value = getenv("TROUBLE");
  return !Value || strcmp(Value, "0") != 0;
}

/// Sends a replica's heartbeats as PROTOCOL.md says.
class Heart {
public:
  Heart(Deployment &At, ReplicaId Self) : At(At), Self(std::move(Self)) {
    this->Beater = std::thread([this] { this->beat(); });
  }
  ~Heart() { this->stop(); }
  void stop() {
    this->Stopping = true;
    if (this->Beater.joinable())
      this->Beater.join();
  }
  std::string body(const char *State) {
    const int Number = ++this->Sequence;
    return "{\"service\":\"" + this->Self.Service + "\",\"address\":\"" +
           this->Self.At.str() + "\",\"zone\":\"" + this->Self.Zone +
           "\",\"version\":\"v1\",\"slots\":" +
           std::to_string(this->Self.Slots) + ",\"state\":\"" + State +
           "\",\"cold-left-ms\":0,\"stage\":\"both\",\"models\":[{\"name\":"
           "\"m\",\"version\":1,\"adapters\":[]}],\"sequence\":" +
           std::to_string(Number) +
           ",\"born\":" + std::to_string(this->Self.Born) + "}";
  }
  /// Sends one heartbeat; calls the next daemon after a failure.
  bool sendBeat(const char *State) {
    const std::string Text = this->body(State);
    const std::vector<int> Listed = this->At.live();
    for (std::size_t Try = 0; Try < Listed.size(); ++Try) {
      const int Number = Listed[this->Next++ % Listed.size()];
      const Message Answer =
          call(this->At.control(Number), "POST",
               "/sycamorereach/replicas/" + this->Self.Id + "/heartbeat", Text);
      if (Answer.status() / 100 == 2) {
        Log.line("replica %s: heartbeat %s acknowledged by state-%d",
                 this->Self.Id.c_str(), State, Number);
        return true;
      }
    }
    return false;
  }
  const ReplicaId &self() const { return this->Self; }

private:
  void beat() {
    while (!this->Stopping) {
      this->sendBeat("ready");
      for (int I = 0; I < 12 && !this->Stopping; ++I)
        sleepFor(0.1);
    }
  }
  Deployment &At;
  ReplicaId Self;
  std::atomic<int> Sequence{0};
  std::atomic<unsigned> Next{static_cast<unsigned>(std::random_device()())};
  std::atomic<bool> Stopping{false};
  std::thread Beater;
};

} // namespace Review

#endif
