#include "Network/Http1Client.h"

#include "Network/CorrelationHistory.h"
#include "Network/SocketAddress.h"
#include "Network/UploadProgress.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/tcp.h>

namespace Network {

namespace {

/// How often idle connections are checked against their keep-alive timeouts.
constexpr Common::Duration ExpiryCheckInterval = std::chrono::seconds(1);
/// Idle connections are closed this long before the server's keep-alive
/// timeout, so that a request is not sent while the server closes the
/// connection.
constexpr Common::Duration KeepAliveMargin = std::chrono::milliseconds(700);
/// Assumed keep-alive timeout of servers that do not announce one.
constexpr Common::Duration DefaultKeepAliveTimeout = std::chrono::seconds(4);
/// Effectively unlimited: the consumer of the response limits its body.
constexpr std::size_t MaxResponseBytes = std::size_t{1} << 40;
constexpr std::size_t MaxResponseHeaderBytes = 64u << 10;
/// A server has no reason to send more of them ahead of a response.
constexpr std::size_t MaxInterimResponses = 100;
/// How often a request that is still under way is looked at when its response
/// has ended with the connection.
constexpr Common::Duration UploadCheckPeriod = std::chrono::milliseconds(5);
/// The timeout of 'Keep-Alive: timeout=5'.
Common::Duration parseKeepAliveTimeout(const Http1Head &Head) {
  const auto Header = findHeader(Head.Headers, "Keep-Alive");
  if (!Header)
    return DefaultKeepAliveTimeout;
  constexpr std::string_view Key = "timeout=";
  const std::size_t Position = Header->find(Key);
  if (Position == std::string::npos)
    return DefaultKeepAliveTimeout;
  const std::string Digits = Header->substr(Position + Key.size());
  int Seconds = 0;
  if (!absl::SimpleAtoi(
          Digits.substr(0, Digits.find_first_not_of("0123456789")), &Seconds))
    return DefaultKeepAliveTimeout;
  return std::chrono::seconds(Seconds);
}

/// Adds the bytes to a buffer without a copy; the buffer shares them.
void addSharedBytes(evbuffer *Output,
                    std::shared_ptr<const std::string> Bytes) {
  if (Bytes->empty())
    return;
  using Shared = std::shared_ptr<const std::string>;
  auto Reference = std::make_unique<Shared>(std::move(Bytes));
  const int Added = evbuffer_add_reference(
      Output, (*Reference)->data(), (*Reference)->size(),
      [](const void *, size_t, void *Owner) {
        delete static_cast<Shared *>(Owner);
      },
      Reference.get());
  if (Added == 0)
    // Deleted by the buffer.
    static_cast<void>(Reference.release());
}

void resetOnClose(bufferevent *Socket) {
  const linger Discard{1, 0};
  setsockopt(bufferevent_getfd(Socket), SOL_SOCKET, SO_LINGER, &Discard,
             sizeof(Discard));
}

/// Whether bytes that libevent has not read, or the end of the stream, have
/// arrived at the socket.
bool hasUnreadInput(bufferevent *Socket) {
  char Byte = 0;
  const ssize_t Length =
      recv(bufferevent_getfd(Socket), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Length >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

} // namespace

struct Http1Client::Connection {
  Http1Client *Client = nullptr;
  Address To;
  bufferevent *Socket = nullptr;
  Http1Reader Reader{Http1Reader::Kind::Responses,
                     {MaxResponseHeaderBytes, MaxResponseBytes}};
  ConnectionUse Used;
  CorrelationHistory Carried;
  /// Null while idle.
  ActiveCall *CurrentCall = nullptr;
  bool Connected = false;
  bool SkippingResponse = false;
  /// Since the request was written.
  std::size_t InterimResponses = 0;
  /// False once the start of the next response in the byte stream is uncertain.
  bool Reusable = true;
  /// Set when the server has ended a response that ends with the connection.
  std::optional<UploadProgress> Upload;
  Common::TimePoint IdleSince;
  Common::Duration KeepAliveTimeout = DefaultKeepAliveTimeout;

  ~Connection() {
    if (this->Socket)
      bufferevent_free(this->Socket);
  }
};

class Http1Client::ActiveCall {
public:
  Http1Call Request;
  Http1CallHandlers Handlers;
  std::unique_ptr<Connection> ActiveConnection;
  bool Sent = false;
  bool HeadReceived = false;
  /// Set when the call ends or is cancelled; only OnDone may run after that.
  bool Finished = false;
  EventHandle Timer;
  Http1Client *Client = nullptr;
};

Http1Client::Http1Client(EventLoop &Loop) : Loop(Loop) {
  this->ExpiryTimer = Loop.callEvery(
      ExpiryCheckInterval, [this] { this->closeExpiredConnections(); });
}

Http1Client::~Http1Client() {
  for (const auto &Each : this->ActiveCalls) {
    ActiveCall &Call = *Each.second;
    Call.Finished = true;
    Call.Timer.cancel();
    Call.ActiveConnection.reset();
  }
}

Http1Client::CallPtr Http1Client::start(Http1Call Request,
                                        Http1CallHandlers Handlers) {
  auto Call = std::make_shared<ActiveCall>();
  Call->Request = std::move(Request);
  Call->Handlers = std::move(Handlers);
  Call->Client = this;
  this->ActiveCalls[Call.get()] = Call;
  // Deferred, so that no handler runs before start() returns.
  this->Loop.defer([this, Call] {
    if (!Call->Finished)
      this->connect(Call);
  });
  return Call;
}

bool Http1Client::withhold(ActiveCall &Call) {
  if (!Call.Handlers.MayWrite || Call.Handlers.MayWrite())
    return false;
  this->finishCall(Call, Http1CallResult::Withheld);
  return true;
}

void Http1Client::connect(const CallPtr &Call) {
  if (this->withhold(*Call))
    return;
  // Whether an answer has a body depends on the method of its request, which a
  // late answer does not name. So a HEAD request shares no connection.
  const bool Shares =
      !Call->Request.OwnConnection && Call->Request.Method != "HEAD";
  if (Shares)
    Call->ActiveConnection = this->acquireIdle(Call->Request);
  if (Call->ActiveConnection) {
    Call->ActiveConnection->CurrentCall = Call.get();
    this->writeRequest(*Call);
    return;
  }
  Call->ActiveConnection = this->open(Call->Request.To);
  if (!Call->ActiveConnection) {
    this->finishCall(*Call, Http1CallResult::NotSent);
    return;
  }
  Call->ActiveConnection->CurrentCall = Call.get();
  Call->ActiveConnection->Reusable = Shares;
  Call->Timer =
      this->Loop.callAfter(Call->Request.ConnectTimeout, [this, Call] {
        if (!Call->Finished)
          this->finishCall(*Call, Http1CallResult::NotSent);
      });
}

std::unique_ptr<Http1Client::Connection>
Http1Client::acquireIdle(const Http1Call &Request) {
  const auto Found = this->IdleConnections.find(Request.To);
  if (Found == this->IdleConnections.end())
    return nullptr;
  auto &Pool = Found->second;
  // The server is least likely to close the connection that was used last.
  for (std::size_t I = Pool.size(); I-- > 0;) {
    const Connection &Idle = *Pool[I];
    const Common::Duration IdleTime = this->Loop.now() - Idle.IdleSince;
    const bool Usable =
        IdleTime < Idle.KeepAliveTimeout - KeepAliveMargin &&
        evbuffer_get_length(bufferevent_get_input(Idle.Socket)) == 0 &&
        !hasUnreadInput(Idle.Socket);
    // An unusable connection is closed. One that only this request may not use
    // stays for others.
    if (Usable && (IdleTime >= Request.MaxReuseIdleTime ||
                   (Request.CorrelationId &&
                    Idle.Carried.contains(*Request.CorrelationId))))
      continue;
    auto Taken = std::move(Pool[I]);
    Pool.erase(Pool.begin() + static_cast<std::ptrdiff_t>(I));
    if (Usable)
      return Taken;
  }
  return nullptr;
}

std::unique_ptr<Http1Client::Connection> Http1Client::open(const Address &To) {
  auto Opened = std::make_unique<Connection>();
  Opened->Client = this;
  Opened->To = To;
  Opened->Used.Connection = ++this->LastConnection;
  Opened->Socket =
      bufferevent_socket_new(this->Loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(
      Opened->Socket,
      [](bufferevent *, void *Argument) {
        auto *Self = static_cast<Connection *>(Argument);
        Self->Client->handleInput(*Self);
      },
      nullptr,
      [](bufferevent *, short Events, void *Argument) {
        auto *Self = static_cast<Connection *>(Argument);
        Self->Client->handleEvent(*Self, Events);
      },
      Opened.get());
  const sockaddr_in Endpoint = toSocketAddress(To);
  if (bufferevent_socket_connect(Opened->Socket,
                                 reinterpret_cast<const sockaddr *>(&Endpoint),
                                 sizeof(Endpoint)) != 0)
    return nullptr;
  bufferevent_enable(Opened->Socket, EV_READ | EV_WRITE);
  return Opened;
}

void Http1Client::writeRequest(ActiveCall &Call) {
  Http1Call &Request = Call.Request;
  auto Body =
      Request.SharedBody
          ? std::move(Request.SharedBody)
          : std::make_shared<const std::string>(std::move(Request.Body));
  Request.Body = std::string();
  std::string Head =
      absl::StrCat(Request.Method, " ", Request.Target, " HTTP/1.1\r\n");
  for (const HttpHeader &Header : Request.Headers)
    absl::StrAppend(&Head, Header.Name, ": ", Header.Value, "\r\n");
  const bool NeedsLength = !Body->empty() || Request.Method == "POST" ||
                           Request.Method == "PUT" || Request.Method == "PATCH";
  if (NeedsLength)
    absl::StrAppend(&Head, "Content-Length: ", Body->size(), "\r\n");
  Head += "\r\n";
  Call.Sent = true;
  ++Call.ActiveConnection->Used.Use;
  if (Request.CorrelationId)
    Call.ActiveConnection->Carried.add(*Request.CorrelationId);
  Call.ActiveConnection->InterimResponses = 0;
  Call.ActiveConnection->Reader.expectNoBody(Request.Method == "HEAD");
  evbuffer *Output = bufferevent_get_output(Call.ActiveConnection->Socket);
  evbuffer_add(Output, Head.data(), Head.size());
  addSharedBytes(Output, std::move(Body));
  const CallPtr SharedCall = this->ActiveCalls[&Call];
  Call.Timer = this->Loop.callAfter(Request.IdleTimeout, [this, SharedCall] {
    if (!SharedCall->Finished)
      this->finishCall(*SharedCall, SharedCall->HeadReceived
                                        ? Http1CallResult::Truncated
                                        : Http1CallResult::NoResponse);
  });
  if (Call.Handlers.OnSent)
    Call.Handlers.OnSent();
}

void Http1Client::handleInput(Connection &Source) {
  if (!Source.CurrentCall) {
    // Input without a request: a late response.
    this->closeIdle(Source);
    return;
  }
  const CallPtr SharedCall = this->ActiveCalls[Source.CurrentCall];
  evbuffer *Input = bufferevent_get_input(Source.Socket);
  while (!SharedCall->Finished && Source.CurrentCall &&
         evbuffer_get_length(Input) != 0) {
    evbuffer_iovec Segment{};
    evbuffer_peek(Input, -1, nullptr, &Segment, 1);
    const std::size_t Consumed = Source.Reader.feed(std::string_view(
        static_cast<const char *>(Segment.iov_base), Segment.iov_len));
    evbuffer_drain(Input, Consumed);
    const bool HeadDone =
        Source.Reader.isHeadComplete() && !Source.Reader.isHeadMalformed();
    if (HeadDone && !SharedCall->HeadReceived && !Source.SkippingResponse) {
      const int Status = Source.Reader.head().Status;
      const bool Interim = Status < 200;
      if (Interim && ++Source.InterimResponses > MaxInterimResponses) {
        this->finishCall(*SharedCall, Http1CallResult::Malformed);
        return;
      }
      if (Interim || !SharedCall->Handlers.OnHead(Source.Reader.head())) {
        Source.SkippingResponse = true;
        Source.Reusable = Source.Reusable && Interim;
      } else {
        SharedCall->HeadReceived = true;
        if (SharedCall->Request.ResetOnClose)
          resetOnClose(Source.Socket);
      }
      if (SharedCall->Finished)
        return;
      if (Source.SkippingResponse && !Interim &&
          SharedCall->Request.Method == "HEAD") {
        // Whether the skipped response has a body is unknown.
        this->finishCall(*SharedCall, Http1CallResult::NoResponse);
        return;
      }
    }
    std::string Body = Source.Reader.takeBody();
    if (!Source.SkippingResponse && !Body.empty() &&
        SharedCall->Handlers.OnBody) {
      SharedCall->Handlers.OnBody(std::move(Body));
      if (SharedCall->Finished)
        return;
    }
    const Http1Reader::State State = Source.Reader.state();
    if (State == Http1Reader::State::Complete) {
      if (Source.SkippingResponse) {
        Source.SkippingResponse = false;
        Source.Reader.reset();
        continue;
      }
      // Bytes after the response belong to no request.
      if (evbuffer_get_length(Input) != 0)
        Source.Reusable = false;
      this->finishCall(*SharedCall, Http1CallResult::Complete);
      return;
    }
    if (State != Http1Reader::State::NeedsMore || Consumed == 0) {
      this->finishCall(*SharedCall, Http1CallResult::Malformed);
      return;
    }
  }
  // Interim responses, responses to other requests and parts of a head are no
  // sign of the response that is due.
  if (!SharedCall->Finished && SharedCall->HeadReceived)
    SharedCall->Timer = this->Loop.callAfter(
        SharedCall->Request.IdleTimeout, [this, SharedCall] {
          if (!SharedCall->Finished)
            this->finishCall(*SharedCall, Http1CallResult::Truncated);
        });
}

void Http1Client::handleEvent(Connection &Source, short Events) {
  if ((Events & BEV_EVENT_CONNECTED) != 0) {
    const int Descriptor = bufferevent_getfd(Source.Socket);
    const int On = 1;
    setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
    if (Source.CurrentCall) {
      const auto Limit = static_cast<unsigned>(Common::toMilliseconds(
          Source.CurrentCall->Request.AcknowledgementTimeout));
      setsockopt(Descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &Limit,
                 sizeof(Limit));
    }
    Source.Connected = true;
    if (Source.CurrentCall && !this->withhold(*Source.CurrentCall))
      this->writeRequest(*Source.CurrentCall);
    return;
  }
  if (!Source.CurrentCall) {
    this->closeIdle(Source);
    return;
  }
  const CallPtr SharedCall = this->ActiveCalls[Source.CurrentCall];
  Source.Reusable = false;
  Http1CallResult Result = Http1CallResult::NotSent;
  if (SharedCall->HeadReceived) {
    const bool Orderly = (Events & BEV_EVENT_EOF) != 0;
    if (Orderly && Source.Reader.head().CloseDelimited) {
      // The end is reported again if reading was paused meanwhile.
      if (!Source.Upload) {
        Source.Upload.emplace(this->Loop.now());
        this->endWithConnection(SharedCall);
      }
      return;
    }
    Result = Http1CallResult::Truncated;
  } else if (SharedCall->Sent) {
    Result = Http1CallResult::NoResponse;
  }
  this->finishCall(*SharedCall, Result);
}

void Http1Client::endWithConnection(const CallPtr &Call) {
  Connection &Source = *Call->ActiveConnection;
  const auto Upload = Source.Upload->observe(Source.Socket, this->Loop.now());
  if (Upload == UploadProgress::State::Pending) {
    Call->Timer = this->Loop.callAfter(UploadCheckPeriod, [this, Call] {
      if (!Call->Finished)
        this->endWithConnection(Call);
    });
    return;
  }
  const bool Complete = Upload != UploadProgress::State::Failed &&
                        Source.Reader.handleConnectionEnd();
  this->finishCall(*Call, Complete ? Http1CallResult::Complete
                                   : Http1CallResult::Truncated);
}

void Http1Client::finishCall(ActiveCall &Call, Http1CallResult Result) {
  const CallPtr SharedCall = this->ActiveCalls[&Call];
  this->ActiveCalls.erase(&Call);
  SharedCall->Finished = true;
  SharedCall->Timer.cancel();
  std::unique_ptr<Connection> ActiveConnection =
      std::move(SharedCall->ActiveConnection);
  if (ActiveConnection) {
    ActiveConnection->CurrentCall = nullptr;
    const Http1Head &Head = ActiveConnection->Reader.head();
    const bool OutputFlushed =
        evbuffer_get_length(bufferevent_get_output(ActiveConnection->Socket)) ==
        0;
    const bool CanReuse = Result == Http1CallResult::Complete &&
                          ActiveConnection->Reusable && Head.KeepAlive &&
                          !Head.CloseDelimited && OutputFlushed &&
                          !ActiveConnection->Carried.isFull();
    auto &Pool = this->IdleConnections[ActiveConnection->To];
    if (CanReuse && Pool.size() < MaxIdlePerAddress) {
      ActiveConnection->KeepAliveTimeout = parseKeepAliveTimeout(Head);
      ActiveConnection->IdleSince = this->Loop.now();
      ActiveConnection->Reader.reset();
      bufferevent_enable(ActiveConnection->Socket, EV_READ);
      Pool.push_back(std::move(ActiveConnection));
    } else {
      // Deferred, since a callback of this connection may be running.
      this->Loop.defer([Retained = std::shared_ptr<Connection>(
                            std::move(ActiveConnection))] {});
    }
  }
  const auto Run = std::move(SharedCall->Handlers.OnDone);
  // Deferred: a handler may be running, and handlers may own the call.
  this->Loop.defer(
      [SharedCall] { SharedCall->Handlers = Http1CallHandlers(); });
  if (Run)
    Run(Result);
}

void Http1Client::cancel(const CallPtr &Call) {
  if (!Call || Call->Finished)
    return;
  Http1Client *Client = Call->Client;
  Call->Handlers.OnDone = nullptr;
  Client->finishCall(*Call, Http1CallResult::Truncated);
}

void Http1Client::pauseReading(const CallPtr &Call, bool Pause) {
  if (!Call || Call->Finished || !Call->ActiveConnection)
    return;
  if (Pause)
    bufferevent_disable(Call->ActiveConnection->Socket, EV_READ);
  else
    bufferevent_enable(Call->ActiveConnection->Socket, EV_READ);
}

ConnectionUse Http1Client::connectionUse(const CallPtr &Call) {
  return Call && Call->Sent && Call->ActiveConnection
             ? Call->ActiveConnection->Used
             : ConnectionUse();
}

void Http1Client::closeIdle(const Connection &Source) {
  const auto Found = this->IdleConnections.find(Source.To);
  if (Found == this->IdleConnections.end())
    return;
  std::erase_if(Found->second, [&](const std::unique_ptr<Connection> &Idle) {
    return Idle.get() == &Source;
  });
}

void Http1Client::closeExpiredConnections() {
  const Common::TimePoint Now = this->Loop.now();
  for (auto Each = this->IdleConnections.begin();
       Each != this->IdleConnections.end();) {
    auto &Pool = Each->second;
    std::erase_if(Pool, [Now](const std::unique_ptr<Connection> &Idle) {
      return Now - Idle->IdleSince > Idle->KeepAliveTimeout - KeepAliveMargin;
    });
    Each = Pool.empty() ? this->IdleConnections.erase(Each) : std::next(Each);
  }
}

} // namespace Network
