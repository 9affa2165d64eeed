#ifndef SYCAMOREREACH_NETWORK_HTTP1CLIENT_H
#define SYCAMOREREACH_NETWORK_HTTP1CLIENT_H

#include "Network/Address.h"
#include "Network/EventLoop.h"
#include "Network/Http1Reader.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

struct bufferevent;

namespace Network {

/// How far a call came before it ended.
enum class CallEnd {
  /// A whole answer arrived.
  Complete,
  /// No byte of the request was given to a connection: it did not run.
  NotSent,
  /// The request was sent, in part or whole, and no answer began.
  Lost,
  /// The answer began and did not end.
  Broken,
};

struct Http1Call {
  Address To;
  std::string Method;
  std::string Target;
  HttpHeaders Headers;
  std::string Body;
  /// Longest time to open a connection.
  Common::Duration ConnectTime = std::chrono::milliseconds(250);
  /// Longest silence before the answer's head, and between parts of its body.
  Common::Duration Silence = std::chrono::seconds(30);
  /// A kept connection that was idle for longer is not used.
  Common::Duration ReuseIdle = std::chrono::seconds(3);
};

struct Http1CallHandlers {
  /// The request's first byte was given to a connection.
  std::function<void()> OnSent;
  /// The head of an answer; false when it belongs to another request and must
  /// be skipped.
  std::function<bool(const Http1Head &)> OnHead;
  std::function<void(std::string)> OnBody;
  std::function<void(CallEnd)> OnDone;
};

/// Calls backend servers over kept connections. A request is written once and
/// never sent again.
class Http1Client {
public:
  /// A call under way; destroying or cancelling it closes its connection
  /// without running a handler again.
  class Call;
  using CallPtr = std::shared_ptr<Call>;

  explicit Http1Client(EventLoop &Loop);
  ~Http1Client();
  Http1Client(const Http1Client &) = delete;
  Http1Client &operator=(const Http1Client &) = delete;

  CallPtr start(Http1Call Wanted, Http1CallHandlers Handle);
  static void cancel(const CallPtr &Which);
  /// Stops or resumes reading the answer, for a slow reader behind it.
  static void pauseReading(const CallPtr &Which, bool Pause);

private:
  struct Connection;
  static constexpr std::size_t MaxIdlePerAddress = 64;

  void finish(Call &Done, CallEnd End);
  std::unique_ptr<Connection> takeIdle(const Address &To,
                                       Common::Duration ReuseIdle);
  std::unique_ptr<Connection> open(const Address &To);
  void begin(const CallPtr &Started);
  void writeRequest(Call &Started);
  void read(Connection &From);
  void event(Connection &From, short Events);
  void checkIdle();

  EventLoop &Loop;
  std::map<Address, std::vector<std::unique_ptr<Connection>>> Idle;
  std::map<Call *, CallPtr> Active;
  EventHandle IdleCheck;
  bool Ending = false;
};

} // namespace Network

#endif
