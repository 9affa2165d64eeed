#ifndef REVIEW_HARNESS_3_H
#define REVIEW_HARNESS_3_H

// What the scripts of this review share: processes of the project, filled in
// templates, and stand-ins for clients, servers, the operator and a network
// that can be cut. Only POSIX calls and the standard library.

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace Harness {

using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

inline std::string folderOfRun() { return std::getenv("RUN_FOLDER"); }
inline std::string folderOfCase() { return std::getenv("CASE_FOLDER"); }
inline bool withTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return !Value || std::string(Value) != "0";
}

// ---------------------------------------------------------------- the record

/// record.txt: lines with the seconds since the start of the script.
class Record {
public:
  Record() : File(folderOfCase() + "/record.txt"), StartedAt(Clock::now()) {}
  void line(const char *Format, ...) __attribute__((format(printf, 2, 3))) {
    char Text[2000];
    va_list Arguments;
    va_start(Arguments, Format);
    vsnprintf(Text, sizeof(Text), Format, Arguments);
    va_end(Arguments);
    const double Seconds =
        std::chrono::duration<double>(Clock::now() - this->StartedAt).count();
    const std::lock_guard Lock(this->Mutex);
    char Stamp[32];
    snprintf(Stamp, sizeof(Stamp), "%8.3f  ", Seconds);
    this->File << Stamp << Text << std::endl;
  }

private:
  std::mutex Mutex;
  std::ofstream File;
  Clock::time_point StartedAt;
};

inline Record &record() {
  static Record Instance;
  return Instance;
}

/// The script cannot judge: exit status 2.
struct CannotRun {
  std::string Reason;
};

// ------------------------------------------------------------------- sockets

struct Endpoint {
  std::string Ip;
  int Port = 0;
  std::string str() const { return Ip + ":" + std::to_string(Port); }
};

inline sockaddr_in toAddress(const Endpoint &Of) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(static_cast<std::uint16_t>(Of.Port));
  inet_pton(AF_INET, Of.Ip.c_str(), &Result.sin_addr);
  return Result;
}

inline int listenOn(const Endpoint &At) {
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int On = 1;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  const sockaddr_in Address = toAddress(At);
  if (bind(Socket, reinterpret_cast<const sockaddr *>(&Address),
           sizeof(Address)) != 0 ||
      listen(Socket, 256) != 0) {
    close(Socket);
    return -1;
  }
  return Socket;
}

inline int connectTo(const Endpoint &To) {
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int On = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  const sockaddr_in Address = toAddress(To);
  if (connect(Socket, reinterpret_cast<const sockaddr *>(&Address),
              sizeof(Address)) != 0) {
    close(Socket);
    return -1;
  }
  return Socket;
}

/// Closes with a reset instead of an orderly end.
inline void resetSocket(int Socket) {
  const linger Discard{1, 0};
  setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Discard, sizeof(Discard));
  close(Socket);
}

inline bool sendAll(int Socket, const std::string &Bytes) {
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    const ssize_t Size =
        send(Socket, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Size <= 0)
      return false;
    Sent += static_cast<std::size_t>(Size);
  }
  return true;
}

/// Waits for input; false after the time limit.
inline bool waitForInput(int Socket, std::chrono::milliseconds Limit) {
  pollfd Polled{Socket, POLLIN, 0};
  return poll(&Polled, 1, static_cast<int>(Limit.count())) > 0;
}

// ---------------------------------------------------------------------- HTTP

struct Message {
  std::string StartLine;
  /// Names in lower case.
  std::map<std::string, std::string> Headers;
  std::string Body;
  std::string header(const std::string &Name) const {
    const auto Found = Headers.find(Name);
    return Found == Headers.end() ? "" : Found->second;
  }
  int status() const {
    return StartLine.size() > 12 ? atoi(StartLine.c_str() + 9) : 0;
  }
  std::string path() const {
    const auto From = StartLine.find(' ') + 1;
    return StartLine.substr(From, StartLine.find(' ', From) - From);
  }
};

/// Reads messages from one connection.
class Reader {
public:
  explicit Reader(int Socket) : Socket(Socket) {}

  /// Nothing if the connection ends or the time limit passes before the message
  /// is complete. Bodies have a length or are chunked.
  std::optional<Message> read(std::chrono::milliseconds Limit) {
    const auto Until = Clock::now() + Limit;
    std::size_t HeadEnd;
    while ((HeadEnd = this->Buffer.find("\r\n\r\n")) == std::string::npos)
      if (!this->fill(Until))
        return std::nullopt;
    Message Result;
    std::istringstream Lines(this->Buffer.substr(0, HeadEnd));
    this->Buffer.erase(0, HeadEnd + 4);
    std::string Line;
    std::getline(Lines, Line);
    if (!Line.empty() && Line.back() == '\r')
      Line.pop_back();
    Result.StartLine = Line;
    while (std::getline(Lines, Line)) {
      if (!Line.empty() && Line.back() == '\r')
        Line.pop_back();
      const auto Colon = Line.find(':');
      if (Colon == std::string::npos)
        continue;
      std::string Name = Line.substr(0, Colon);
      for (char &Each : Name)
        Each = static_cast<char>(tolower(Each));
      std::string Value = Line.substr(Colon + 1);
      Value.erase(0, Value.find_first_not_of(' '));
      Result.Headers[Name] = Value;
    }
    if (Result.header("transfer-encoding") == "chunked") {
      while (true) {
        std::size_t LineEnd;
        while ((LineEnd = this->Buffer.find("\r\n")) == std::string::npos)
          if (!this->fill(Until))
            return std::nullopt;
        const auto Size = static_cast<std::size_t>(
            strtoul(this->Buffer.c_str(), nullptr, 16));
        while (this->Buffer.size() < LineEnd + 2 + Size + 2)
          if (!this->fill(Until))
            return std::nullopt;
        Result.Body += this->Buffer.substr(LineEnd + 2, Size);
        this->Buffer.erase(0, LineEnd + 2 + Size + 2);
        if (Size == 0)
          return Result;
      }
    }
    const auto Length = static_cast<std::size_t>(
        atoll(Result.header("content-length").c_str()));
    while (this->Buffer.size() < Length)
      if (!this->fill(Until))
        return std::nullopt;
    Result.Body = this->Buffer.substr(0, Length);
    this->Buffer.erase(0, Length);
    return Result;
  }

private:
  bool fill(Clock::time_point Until) {
    const auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
        Until - Clock::now());
    if (Left.count() <= 0 || !waitForInput(this->Socket, Left))
      return false;
    char Bytes[16384];
    const ssize_t Size = recv(this->Socket, Bytes, sizeof(Bytes), 0);
    if (Size <= 0)
      return false;
    this->Buffer.append(Bytes, static_cast<std::size_t>(Size));
    return true;
  }

  int Socket;
  std::string Buffer;
};

using HeaderList = std::vector<std::pair<std::string, std::string>>;

inline std::string encodeRequest(const std::string &Method,
                                 const std::string &Path,
                                 const std::string &Host,
                                 const HeaderList &Headers,
                                 const std::string &Body) {
  std::string Result =
      Method + " " + Path + " HTTP/1.1\r\nHost: " + Host + "\r\n";
  for (const auto &[Name, Value] : Headers)
    Result += Name + ": " + Value + "\r\n";
  if (Method == "POST")
    Result += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  return Result + "\r\n" + Body;
}

/// A channel that a client keeps open for many requests.
class Channel {
public:
  explicit Channel(const Endpoint &To) : Socket(connectTo(To)), Input(Socket) {}
  ~Channel() {
    if (this->Socket >= 0)
      close(this->Socket);
  }
  Channel(const Channel &) = delete;
  Channel &operator=(const Channel &) = delete;
  bool isOpen() const { return this->Socket >= 0; }
  std::optional<Message> call(const std::string &Request,
                              std::chrono::milliseconds Limit) {
    return this->send(Request) ? this->receive(Limit) : std::nullopt;
  }
  bool send(const std::string &Request) {
    return this->Socket >= 0 && sendAll(this->Socket, Request);
  }
  std::optional<Message> receive(std::chrono::milliseconds Limit) {
    return this->Input.read(Limit);
  }

private:
  int Socket;
  Reader Input;
};

/// One call on a channel of its own.
inline std::optional<Message> callOnce(const Endpoint &To,
                                       const std::string &Request,
                                       std::chrono::milliseconds Limit) {
  Channel Used(To);
  return Used.call(Request, Limit);
}

// ------------------------------------------------------ operator and servers

/// A call to the operator's or the servers' interface: to one daemon after the
/// other, with two redirections, until the answer has one of these statuses.
inline std::optional<Message> callControl(const std::vector<Endpoint> &Daemons,
                                          const std::string &Method,
                                          const std::string &Path,
                                          const std::string &Body,
                                          std::chrono::milliseconds Limit,
                                          const std::set<int> &Wanted = {200}) {
  const auto Until = Clock::now() + Limit;
  for (std::size_t Next = 0; Clock::now() < Until; ++Next) {
    Endpoint To = Daemons[Next % Daemons.size()];
    for (int Hop = 0; Hop < 3; ++Hop) {
      auto Answer =
          callOnce(To,
                   encodeRequest(Method, Path, To.str(),
                                 {{"Content-Type", "application/json"}}, Body),
                   1000ms);
      if (!Answer)
        break;
      if (Wanted.count(Answer->status()))
        return Answer;
      if (Answer->status() != 307)
        break;
      const std::string Location = Answer->header("location").substr(7);
      const auto Colon = Location.find(':');
      To = {Location.substr(0, Colon), atoi(Location.c_str() + Colon + 1)};
    }
    std::this_thread::sleep_for(50ms);
  }
  return std::nullopt;
}

// ----------------------------------------------------- processes and settings

/// To be started by the main thread only: the kernel ends the process when the
/// thread that started it ends.
class Process {
public:
  Process(const std::vector<std::string> &Command, const std::string &LogPath) {
    this->Id = fork();
    if (this->Id == 0) {
      // Ends with the script, however that ends.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int Log =
          open(LogPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(Log, 1);
      dup2(Log, 2);
      std::vector<char *> Arguments;
      for (const std::string &Each : Command)
        Arguments.push_back(const_cast<char *>(Each.c_str()));
      Arguments.push_back(nullptr);
      execv(Arguments[0], Arguments.data());
      _exit(127);
    }
  }
  ~Process() { this->kill(); }
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;
  void signal(int Number) {
    if (this->Id > 0)
      ::kill(this->Id, Number);
  }
  void kill() {
    if (this->Id <= 0)
      return;
    ::kill(this->Id, SIGCONT);
    ::kill(this->Id, SIGKILL);
    waitpid(this->Id, nullptr, 0);
    this->Id = 0;
  }
  /// The exit status as of waitpid, if the process has ended.
  std::optional<int> ended() {
    int Status = 0;
    if (this->Id > 0 && waitpid(this->Id, &Status, WNOHANG) == this->Id) {
      this->Id = 0;
      return Status;
    }
    return std::nullopt;
  }
  pid_t id() const { return this->Id; }

private:
  pid_t Id = 0;
};

/// The settings of a process as DEPLOY.md gives them: plain values by their
/// full names, such as "bounds.revoke-ms". Items of a list are "NAME.0" and so
/// on, and the list itself is joined by commas.
using Settings = std::map<std::string, std::string>;

inline std::string valueOf(const Settings &Values, const std::string &Name) {
  const auto Found = Values.find(Name);
  return Found == Values.end() ? "" : Found->second;
}

/// Fills a template in: {{a.b}}, {{#a}} .. {{/a}} and {{^a}} .. {{/a}} of
/// single values, which are all that the project's two templates use.
inline std::string render(const std::string &Template, const Settings &Values) {
  std::string Result;
  std::size_t At = 0;
  while (true) {
    const auto Open = Template.find("{{", At);
    if (Open == std::string::npos)
      return Result + Template.substr(At);
    Result += Template.substr(At, Open - At);
    const auto Close = Template.find("}}", Open);
    std::string Name = Template.substr(Open + 2, Close - Open - 2);
    At = Close + 2;
    if (Name[0] != '#' && Name[0] != '^') {
      Result += valueOf(Values, Name);
      continue;
    }
    const bool Inverted = Name[0] == '^';
    Name.erase(0, 1);
    const std::string EndMark = "{{/" + Name + "}}";
    const auto End = Template.find(EndMark, At);
    const std::string Value = valueOf(Values, Name);
    const bool Present = !Value.empty() && Value != "false";
    if (Present != Inverted)
      Result += render(Template.substr(At, End - At), Values);
    At = End + EndMark.size();
  }
}

inline std::string readFile(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    throw CannotRun{"cannot read " + Path};
  return {std::istreambuf_iterator<char>(File), {}};
}

/// The bounds of the small deployments, as their sheet gives them.
inline Settings smallDeployment() {
  return {{"region", "etela-suomi"},
          {"bootstrap", "false"},
          {"discovery", "registry"},
          {"entry", "vip"},
          {"heartbeat-ms", "1200"},
          {"config-mode", "highest"},
          {"limits.cpu-share", "0.25"},
          {"limits.cores", "1"},
          {"limits.link-mbps", "1000.0"},
          {"fault-tolerance.machines", "1"},
          {"fault-tolerance.zones", "1"},
          {"fault-tolerance.regions", "0"},
          {"bounds.seed-lag-s", "3"},
          {"bounds.reuse-after-s", "2"},
          {"bounds.contact-ms", "3000"},
          {"bounds.ack-ms", "4000"},
          {"bounds.catch-up-s", "4"},
          {"bounds.drain-ms", "2000"},
          {"bounds.grace-s", "8"},
          {"bounds.loss-slack-ms", "200"},
          {"bounds.config-apply-ms", "2000"},
          {"bounds.rollback-slack-ms", "250"},
          {"bounds.max-stretch-ms", "5000"},
          {"bounds.strict-revoke", "true"},
          {"bounds.revoke-ms", "5000"},
          {"bounds.retry-budget-ratio", "0.2"},
          {"bounds.budget-window-s", "10"},
          {"bounds.budget-extra", "56"},
          {"bounds.quota-window-s", "8"},
          {"bounds.quota-over", "0.1"},
          {"bounds.quota-slack", "140000"},
          {"bounds.require-fence", "true"},
          {"bounds.lease-ms", "3000"},
          {"bounds.thaw-slack-ms", "300"},
          {"bounds.report-window-s", "5"},
          {"bounds.usage-off", "0.05"},
          {"bounds.usage-late-s", "10"},
          {"bounds.recover-s", "12"},
          {"bounds.pass-ms", "120"},
          {"bounds.reuse-window-s", "10"}};
}

// ------------------------------------------------------------------ stand-ins

/// A backend server: answers each complete request as Answer says.
class Server {
public:
  /// Returns the bytes to send; an empty text closes the connection.
  using Handler = std::function<std::string(const Message &)>;

  Server(const Endpoint &At, Handler Answer)
      : Answer(std::move(Answer)), Listener(listenOn(At)) {
    if (this->Listener < 0)
      throw CannotRun{"cannot listen on " + At.str()};
    std::thread([this] { this->accept(); }).detach();
  }

private:
  void accept() {
    while (true) {
      const int Socket =
          ::accept4(this->Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Socket < 0)
        return;
      std::thread([this, Socket] {
        Reader Input(Socket);
        while (const auto Request = Input.read(60s)) {
          const std::string Bytes = this->Answer(*Request);
          if (Bytes.empty() || !sendAll(Socket, Bytes))
            break;
        }
        close(Socket);
      }).detach();
    }
  }

  Handler Answer;
  int Listener;
};

/// A signed success of a server.
inline std::string success(const Message &Request, const std::string &Body) {
  return "HTTP/1.1 200 OK\r\nX-Sycamorereach-Request-Id: " +
         Request.header("x-sycamorereach-request-id") +
         "\r\nX-Sycamorereach-Replica-Signature: signed\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

/// A link that can be cut: connections to Listen go on to Target. While it is
/// cut, they are reset and new ones refused.
class Link {
public:
  Link(const Endpoint &Listen, const Endpoint &Target, bool StartsCut = false)
      : At(Listen), Target(Target), IsCut(StartsCut) {
    if (!StartsCut)
      this->open();
  }

  void cut() {
    if (this->IsCut.exchange(true))
      return;
    const std::lock_guard Lock(this->Mutex);
    shutdown(this->Listener, SHUT_RDWR);
    close(this->Listener);
    this->Listener = -1;
    for (const int Each : this->Sockets)
      shutdown(Each, SHUT_RDWR);
  }
  void heal() {
    if (this->IsCut.exchange(false))
      this->open();
  }

private:
  void open() {
    const std::lock_guard Lock(this->Mutex);
    this->Listener = listenOn(this->At);
    if (this->Listener < 0)
      throw CannotRun{"cannot listen on " + this->At.str()};
    std::thread([this, Socket = this->Listener] {
      while (true) {
        const int Near = ::accept4(Socket, nullptr, nullptr, SOCK_CLOEXEC);
        if (Near < 0)
          return;
        std::thread([this, Near] { this->forward(Near); }).detach();
      }
    }).detach();
  }
  void forward(int Near) {
    const int Far = this->IsCut ? -1 : connectTo(this->Target);
    if (Far < 0) {
      resetSocket(Near);
      return;
    }
    {
      const std::lock_guard Lock(this->Mutex);
      this->Sockets.insert({Near, Far});
    }
    const auto Pass = [this](int From, int To) {
      char Bytes[65536];
      while (!this->IsCut) {
        const ssize_t Size = recv(From, Bytes, sizeof(Bytes), 0);
        if (Size <= 0 || this->IsCut ||
            !sendAll(To, std::string(Bytes, static_cast<std::size_t>(Size))))
          break;
      }
      shutdown(From, SHUT_RDWR);
      shutdown(To, SHUT_RDWR);
    };
    std::thread Back([&] { Pass(Far, Near); });
    Pass(Near, Far);
    Back.join();
    const std::lock_guard Lock(this->Mutex);
    this->Sockets.erase(Near);
    this->Sockets.erase(Far);
    close(Near);
    close(Far);
  }

  Endpoint At, Target;
  std::atomic<bool> IsCut{false};
  std::mutex Mutex;
  int Listener = -1;
  std::set<int> Sockets;
};

// -------------------------------------------------------------------- a
// network

/// Loopback addresses and ports that are free at the start of the script.
class Network {
public:
  Network() {
    for (int Try = 0; Try < 200; ++Try) {
      const int Number = (getpid() * 7 + Try * 13) % 60000;
      this->Prefix = "127." + std::to_string(1 + Number / 250 % 250) + "." +
                     std::to_string(1 + Number % 250) + ".";
      const int Probe = listenOn({this->ip(1), 9464});
      if (Probe < 0)
        continue;
      close(Probe);
      return;
    }
    throw CannotRun{"no free loopback address"};
  }
  std::string ip(int Last) const { return this->Prefix + std::to_string(Last); }

private:
  std::string Prefix;
};

inline std::int64_t wallMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// The project's daemons, started with the commands of the deploy file. Core
/// machines have the addresses 1, 2 and so on, the first three of them the
/// seeds.
class Deployment {
public:
  static constexpr int FrontPort = 23601;
  static constexpr int ControlPort = 23602;
  static constexpr int ReadyPort = 23603;
  static constexpr int LinkPort = 23604;

  const Network &network() const { return this->Net; }
  Endpoint control(int Core) const { return {this->Net.ip(Core), ControlPort}; }
  Endpoint front(int Last) const { return {this->Net.ip(Last), FrontPort}; }

  void startCore(int Number, const std::string &Zone, bool Bootstrap,
                 int Links = LinkPort) {
    const std::string Name = "core-" + Zone + "-" + std::to_string(Number);
    Settings Values = this->common(Name, Zone, this->Net.ip(Number), Links);
    Values["bootstrap"] = Bootstrap ? "true" : "false";
    Values["limits.memory-mb"] = "256";
    Values["limits.max-fds"] = "4096";
    Values["data-dir"] =
        folderOfRun() + "/" + Name + "-data" + std::to_string(this->Generation);
    Values["listen.control"] = this->control(Number).str();
    if (!this->DutyAddress.empty()) {
      Values["cloud-api.address"] = this->DutyAddress;
      Values["cloud-api.rate-per-s"] = "50.0";
      Values["cloud-api.duty-per-s"] = "50.0";
      Values["cloud-api.duties"] = "usage_report,scale";
    }
    this->start(Name, Values, "deploy/state.settings",
                {"target/Source/StateDaemon/sycamore-state", "control"});
  }
  void startEdge(int Last, const std::string &Zone, int Links = LinkPort) {
    const std::string Name = "edge-" + Zone + "-" + std::to_string(Last);
    Settings Values = this->common(Name, Zone, this->Net.ip(Last), Links);
    Values["limits.memory-mb"] = "260";
    Values["limits.max-fds"] = "4100";
    Values["listen.front"] = this->front(Last).str();
    Values["listen.ready"] = Endpoint{this->Net.ip(Last), ReadyPort}.str();
    this->start(Name, Values, "deploy/entry.settings",
                {"target/Source/EntryDaemon/sycamore-entry", "gateway"});
  }
  Process &process(const std::string &Name) {
    return *this->Processes.at(Name);
  }
  /// SIGKILL to all daemons at once; their disks stay.
  void killAll() {
    for (const auto &Each : this->Processes)
      Each.second->signal(SIGKILL);
    this->Processes.clear();
  }
  /// Ends all daemons; the next core machines have empty disks.
  void endAll() {
    this->Processes.clear();
    ++this->Generation;
  }
  /// Whether the state daemon leads, as only that one answers a read.
  bool leads(int Core) const {
    const auto Answer =
        callOnce(this->control(Core),
                 encodeRequest("GET", "/sycamorereach/config/read",
                               this->control(Core).str(), {}, ""),
                 1000ms);
    return Answer && Answer->status() == 200;
  }
  /// The address of the platform's interface for duties; none if empty.
  std::string DutyAddress;
  /// Bounds of another deployment, which replace those of the small ones.
  Settings OtherBounds;

private:
  Settings common(const std::string &Name, const std::string &Zone,
                  const std::string &Ip, int Links) const {
    Settings Values = smallDeployment();
    for (const auto &[Bound, Value] : this->OtherBounds)
      Values[Bound] = Value;
    Values["node-name"] = Name;
    Values["zone"] = Zone;
    Values["ip"] = Ip;
    Values["port-range.0"] = std::to_string(Links);
    Values["port-range.1"] = std::to_string(Links);
    Values["seeds"] = this->control(1).str() + "," + this->control(2).str() +
                      "," + this->control(3).str();
    return Values;
  }
  void start(const std::string &Name, const Settings &Values,
             const std::string &Template, std::vector<std::string> Command) {
    const std::string File = folderOfRun() + "/" + Name + ".toml";
    std::ofstream(File) << render(readFile(Template), Values);
    Command.push_back("--settings-file=" + File);
    this->Processes.erase(Name);
    this->Processes[Name] =
        std::make_unique<Process>(Command, folderOfRun() + "/" + Name + ".log");
    record().line("started %s in zone %s", Name.c_str(),
                  valueOf(Values, "zone").c_str());
  }

  Network Net;
  int Generation = 1;
  std::map<std::string, std::unique_ptr<Process>> Processes;
};

/// Runs the scenario and turns its outcome into the exit status.
inline int runScenario(const std::function<bool()> &Broken) {
  std::signal(SIGPIPE, SIG_IGN);
  int Status = 2;
  try {
    Status = Broken() ? 1 : 0;
    record().line(Status == 1 ? "verdict: the rule was broken"
                              : "verdict: the rule held");
  } catch (const CannotRun &Failure) {
    record().line("cannot run: %s", Failure.Reason.c_str());
  }
  return Status;
}

} // namespace Harness

#endif
