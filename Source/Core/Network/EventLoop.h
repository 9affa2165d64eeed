#ifndef SYCAMOREREACH_NETWORK_EVENTLOOP_H
#define SYCAMOREREACH_NETWORK_EVENTLOOP_H

#include "Common/Time.h"

#include <absl/status/statusor.h>
#include <functional>
#include <memory>

struct event_base;
struct event;

namespace Network {

/// A pending timer or watched event; destroying it cancels it.
class EventHandle {
public:
  using Callback = std::function<void()>;

  EventHandle() = default;

  bool active() const { return this->Held != nullptr; }
  void cancel() { this->Held.reset(); }

private:
  friend class EventLoop;
  struct State;
  std::shared_ptr<State> Held;
};

/// One libevent loop on one thread, and the monotonic clock of its daemon.
class EventLoop {
public:
  using Callback = EventHandle::Callback;

  static absl::StatusOr<std::unique_ptr<EventLoop>> create();
  ~EventLoop();
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  Common::TimePoint now() const;
  Common::WallTime wallNow() const;

  [[nodiscard]] EventHandle callAfter(Common::Duration Delay, Callback Run);
  [[nodiscard]] EventHandle callEvery(Common::Duration Period, Callback Run);
  /// Runs once, after the current event has been handled.
  void defer(Callback Run);
  [[nodiscard]] EventHandle onSignal(int Signal, Callback Run);
  [[nodiscard]] EventHandle onReadable(int Descriptor, Callback Run);
  /// Runs when the peer of the socket closes.
  [[nodiscard]] EventHandle onPeerClosed(int Descriptor, Callback Run);

  void run();
  /// Handles what is ready, waiting at most Limit for something.
  void runFor(Common::Duration Limit);
  void stop();

  event_base *base() { return this->Base; }

private:
  EventLoop() = default;
  EventHandle watch(int Descriptor, short Flags, Callback Run,
                    const Common::Duration *Delay);

  event_base *Base = nullptr;
};

} // namespace Network

#endif
