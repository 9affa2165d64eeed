#include "Network/Http1Client.h"

#include "Network/SocketAddress.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/tcp.h>

namespace Network {

namespace {

constexpr Common::Duration IdleCheckPeriod = std::chrono::seconds(1);
/// Kept connections are closed before the server's own limit by this much, so
/// that a request does not cross its close.
constexpr Common::Duration KeepAliveMargin = std::chrono::milliseconds(700);
/// Idle limit for servers that state none.
constexpr Common::Duration DefaultKeepAlive = std::chrono::seconds(4);
/// An answer's body is bounded by its reader, not by the client.
constexpr std::size_t MaxAnswerBytes = std::size_t{1} << 40;
constexpr std::size_t MaxAnswerHeaderBytes = 64u << 10;
/// Unacknowledged data ends the connection after this time: a network that
/// drops silently says nothing by itself.
constexpr unsigned UserTimeoutMilliseconds = 3000;

/// The timeout of 'Keep-Alive: timeout=5'.
Common::Duration keepAliveOf(const Http1Head &Head) {
  const auto Stated = findHeader(Head.Headers, "Keep-Alive");
  if (!Stated)
    return DefaultKeepAlive;
  constexpr std::string_view Key = "timeout=";
  const std::size_t At = Stated->find(Key);
  if (At == std::string::npos)
    return DefaultKeepAlive;
  const std::string Digits = Stated->substr(At + Key.size());
  int Seconds = 0;
  if (!absl::SimpleAtoi(
          Digits.substr(0, Digits.find_first_not_of("0123456789")), &Seconds))
    return DefaultKeepAlive;
  return std::chrono::seconds(Seconds);
}

} // namespace

struct Http1Client::Connection {
  Http1Client *Owner = nullptr;
  Address To;
  bufferevent *Socket = nullptr;
  Http1Reader Reader{Http1Reader::Kind::Answers,
                     {MaxAnswerHeaderBytes, MaxAnswerBytes}};
  /// Null while idle.
  Call *User = nullptr;
  bool Connected = false;
  bool Skipping = false;
  /// False after anything that makes the next answer's place uncertain.
  bool Reusable = true;
  Common::TimePoint IdleSince;
  Common::Duration KeepAlive = DefaultKeepAlive;

  ~Connection() {
    if (this->Socket)
      bufferevent_free(this->Socket);
  }
};

class Http1Client::Call {
public:
  Http1Call Wanted;
  Http1CallHandlers Handle;
  std::unique_ptr<Connection> Used;
  bool Sent = false;
  bool HeadSeen = false;
  bool Cancelled = false;
  EventHandle Timer;
  Http1Client *Owner = nullptr;
};

Http1Client::Http1Client(EventLoop &Loop) : Loop(Loop) {
  this->IdleCheck =
      Loop.callEvery(IdleCheckPeriod, [this] { this->checkIdle(); });
}

Http1Client::~Http1Client() {
  this->Ending = true;
  this->Active.clear();
}

Http1Client::CallPtr Http1Client::start(Http1Call Wanted,
                                        Http1CallHandlers Handle) {
  auto Started = std::make_shared<Call>();
  Started->Wanted = std::move(Wanted);
  Started->Handle = std::move(Handle);
  Started->Owner = this;
  this->Active[Started.get()] = Started;
  // Deferred, so that no handler runs inside this call.
  this->Loop.defer([this, Started] {
    if (!Started->Cancelled)
      this->begin(Started);
  });
  return Started;
}

void Http1Client::begin(const CallPtr &Started) {
  Started->Used = this->takeIdle(Started->Wanted.To, Started->Wanted.ReuseIdle);
  if (Started->Used) {
    Started->Used->User = Started.get();
    this->writeRequest(*Started);
    return;
  }
  Started->Used = this->open(Started->Wanted.To);
  if (!Started->Used) {
    this->finish(*Started, CallEnd::NotSent);
    return;
  }
  Started->Used->User = Started.get();
  Started->Timer =
      this->Loop.callAfter(Started->Wanted.ConnectTime, [this, Started] {
        if (!Started->Cancelled)
          this->finish(*Started, CallEnd::NotSent);
      });
}

std::unique_ptr<Http1Client::Connection>
Http1Client::takeIdle(const Address &To, Common::Duration ReuseIdle) {
  const auto Found = this->Idle.find(To);
  if (Found == this->Idle.end())
    return nullptr;
  const Common::TimePoint Now = this->Loop.now();
  while (!Found->second.empty()) {
    // The one used last is the least likely to be closed by its server.
    auto Taken = std::move(Found->second.back());
    Found->second.pop_back();
    const Common::Duration Limit =
        std::min(ReuseIdle, Taken->KeepAlive - KeepAliveMargin);
    if (Now - Taken->IdleSince < Limit &&
        evbuffer_get_length(bufferevent_get_input(Taken->Socket)) == 0)
      return Taken;
  }
  return nullptr;
}

std::unique_ptr<Http1Client::Connection> Http1Client::open(const Address &To) {
  auto Fresh = std::make_unique<Connection>();
  Fresh->Owner = this;
  Fresh->To = To;
  Fresh->Socket =
      bufferevent_socket_new(this->Loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(
      Fresh->Socket,
      [](bufferevent *, void *Argument) {
        auto *Self = static_cast<Connection *>(Argument);
        Self->Owner->read(*Self);
      },
      nullptr,
      [](bufferevent *, short Events, void *Argument) {
        auto *Self = static_cast<Connection *>(Argument);
        Self->Owner->event(*Self, Events);
      },
      Fresh.get());
  const sockaddr_in Where = toSocketAddress(To);
  if (bufferevent_socket_connect(Fresh->Socket,
                                 reinterpret_cast<const sockaddr *>(&Where),
                                 sizeof(Where)) != 0)
    return nullptr;
  bufferevent_enable(Fresh->Socket, EV_READ | EV_WRITE);
  return Fresh;
}

void Http1Client::writeRequest(Call &Started) {
  const Http1Call &Wanted = Started.Wanted;
  std::string Head =
      absl::StrCat(Wanted.Method, " ", Wanted.Target, " HTTP/1.1\r\n");
  for (const HttpHeader &Each : Wanted.Headers)
    absl::StrAppend(&Head, Each.Name, ": ", Each.Value, "\r\n");
  const bool NeedsLength = !Wanted.Body.empty() || Wanted.Method == "POST" ||
                           Wanted.Method == "PUT" || Wanted.Method == "PATCH";
  if (NeedsLength)
    absl::StrAppend(&Head, "Content-Length: ", Wanted.Body.size(), "\r\n");
  Head += "\r\n";
  Started.Sent = true;
  Started.Used->Reader.expectNoBody(Wanted.Method == "HEAD");
  evbuffer *Output = bufferevent_get_output(Started.Used->Socket);
  evbuffer_add(Output, Head.data(), Head.size());
  evbuffer_add(Output, Wanted.Body.data(), Wanted.Body.size());
  Started.Wanted.Body.clear();
  const CallPtr Held = this->Active[&Started];
  Started.Timer = this->Loop.callAfter(Wanted.Silence, [this, Held] {
    if (!Held->Cancelled)
      this->finish(*Held, Held->HeadSeen ? CallEnd::Broken : CallEnd::Lost);
  });
  if (Started.Handle.OnSent)
    Started.Handle.OnSent();
}

void Http1Client::read(Connection &From) {
  if (!From.User) {
    // Nothing was asked: a late answer or a close.
    From.Reusable = false;
    return;
  }
  const CallPtr Held = this->Active[From.User];
  evbuffer *Input = bufferevent_get_input(From.Socket);
  while (!Held->Cancelled && From.User && evbuffer_get_length(Input) != 0) {
    evbuffer_iovec Piece{};
    evbuffer_peek(Input, -1, nullptr, &Piece, 1);
    const std::size_t Taken = From.Reader.feed(std::string_view(
        static_cast<const char *>(Piece.iov_base), Piece.iov_len));
    evbuffer_drain(Input, Taken);
    const bool HeadDone = From.Reader.headComplete();
    if (HeadDone && !Held->HeadSeen && !From.Skipping) {
      const int Status = From.Reader.head().Status;
      const bool Interim = Status >= 100 && Status < 200;
      if (Interim || !Held->Handle.OnHead(From.Reader.head())) {
        From.Skipping = true;
        From.Reusable = From.Reusable && Interim;
      } else {
        Held->HeadSeen = true;
      }
      if (Held->Cancelled)
        return;
    }
    std::string Body = From.Reader.takeBody();
    if (!From.Skipping && !Body.empty() && Held->Handle.OnBody) {
      Held->Handle.OnBody(std::move(Body));
      if (Held->Cancelled)
        return;
    }
    const Http1Reader::State State = From.Reader.state();
    if (State == Http1Reader::State::Complete) {
      if (From.Skipping) {
        From.Skipping = false;
        From.Reader.reset();
        continue;
      }
      // Bytes behind the answer belong to no request.
      if (evbuffer_get_length(Input) != 0)
        From.Reusable = false;
      this->finish(*Held, CallEnd::Complete);
      return;
    }
    if (State != Http1Reader::State::NeedsMore || Taken == 0) {
      this->finish(*Held, Held->HeadSeen ? CallEnd::Broken : CallEnd::Lost);
      return;
    }
  }
  if (!Held->Cancelled && Held->Sent)
    Held->Timer = this->Loop.callAfter(Held->Wanted.Silence, [this, Held] {
      if (!Held->Cancelled)
        this->finish(*Held, Held->HeadSeen ? CallEnd::Broken : CallEnd::Lost);
    });
}

void Http1Client::event(Connection &From, short Events) {
  if ((Events & BEV_EVENT_CONNECTED) != 0) {
    const int Descriptor = bufferevent_getfd(From.Socket);
    const int On = 1;
    const unsigned Limit = UserTimeoutMilliseconds;
    setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
    setsockopt(Descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &Limit,
               sizeof(Limit));
    From.Connected = true;
    if (From.User)
      this->writeRequest(*From.User);
    return;
  }
  if (!From.User) {
    const auto Found = this->Idle.find(From.To);
    if (Found == this->Idle.end())
      return;
    auto &List = Found->second;
    for (auto Each = List.begin(); Each != List.end(); ++Each)
      if (Each->get() == &From) {
        List.erase(Each);
        return;
      }
    return;
  }
  const CallPtr Held = this->Active[From.User];
  From.Reusable = false;
  CallEnd End = CallEnd::NotSent;
  if (Held->HeadSeen) {
    const bool Orderly = (Events & BEV_EVENT_EOF) != 0;
    End = Orderly && From.Reader.endOfConnection() ? CallEnd::Complete
                                                   : CallEnd::Broken;
  } else if (Held->Sent) {
    End = CallEnd::Lost;
  }
  this->finish(*Held, End);
}

void Http1Client::finish(Call &Done, CallEnd End) {
  const CallPtr Held = this->Active[&Done];
  this->Active.erase(&Done);
  Held->Cancelled = true;
  Held->Timer.cancel();
  std::unique_ptr<Connection> Used = std::move(Held->Used);
  if (Used) {
    Used->User = nullptr;
    const Http1Head &Head = Used->Reader.head();
    const bool Drained =
        evbuffer_get_length(bufferevent_get_output(Used->Socket)) == 0;
    const bool Keep = End == CallEnd::Complete && Used->Reusable &&
                      Head.KeepAlive && !Head.EndsWithConnection && Drained;
    auto &List = this->Idle[Used->To];
    if (Keep && List.size() < MaxIdlePerAddress) {
      Used->KeepAlive = keepAliveOf(Head);
      Used->IdleSince = this->Loop.now();
      Used->Reader.reset();
      bufferevent_enable(Used->Socket, EV_READ);
      List.push_back(std::move(Used));
    } else {
      // It may be this connection's own callback that ends the call.
      this->Loop.defer([Old = std::shared_ptr<Connection>(std::move(Used))] {});
    }
  }
  const auto Run = std::move(Held->Handle.OnDone);
  // The handlers may hold this call, and one of them may be running.
  this->Loop.defer([Held] { Held->Handle = Http1CallHandlers(); });
  if (Run)
    Run(End);
}

void Http1Client::cancel(const CallPtr &Which) {
  if (!Which || Which->Cancelled)
    return;
  Http1Client *Owner = Which->Owner;
  Which->Handle.OnDone = nullptr;
  Owner->finish(*Which, CallEnd::Broken);
}

void Http1Client::pauseReading(const CallPtr &Which, bool Pause) {
  if (!Which || Which->Cancelled || !Which->Used)
    return;
  if (Pause)
    bufferevent_disable(Which->Used->Socket, EV_READ);
  else
    bufferevent_enable(Which->Used->Socket, EV_READ);
}

void Http1Client::checkIdle() {
  const Common::TimePoint Now = this->Loop.now();
  for (auto Each = this->Idle.begin(); Each != this->Idle.end();) {
    auto &List = Each->second;
    std::erase_if(List, [Now](const std::unique_ptr<Connection> &Held) {
      return !Held->Reusable ||
             Now - Held->IdleSince > Held->KeepAlive - KeepAliveMargin;
    });
    Each = List.empty() ? this->Idle.erase(Each) : std::next(Each);
  }
}

} // namespace Network
