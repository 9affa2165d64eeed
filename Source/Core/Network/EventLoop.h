#ifndef SYCAMOREREACH_NETWORK_EVENTLOOP_H
#define SYCAMOREREACH_NETWORK_EVENTLOOP_H

#include "Common/Time.h"

#include "Network/ResourceGuard.h"

#include <absl/status/statusor.h>
#include <functional>
#include <memory>

struct event_base;
struct event;

namespace Network {

/// Owns a registered timer, signal or descriptor event; destroying the handle
/// cancels the event.
class EventHandle {
public:
  using Callback = std::function<void()>;

  EventHandle() = default;

  bool isActive() const { return this->Registration != nullptr; }
  void cancel() { this->Registration.reset(); }

private:
  friend class EventLoop;
  struct State;
  std::shared_ptr<State> Registration;
};

/// A single-threaded libevent loop, and the monotonic clock of its process.
class EventLoop {
public:
  using Callback = EventHandle::Callback;

  static absl::StatusOr<std::unique_ptr<EventLoop>> create();
  ~EventLoop();
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  /// Monotonic time, which includes the time that the host is suspended.
  Common::TimePoint now() const;
  Common::WallTime wallNow() const;

  [[nodiscard]] EventHandle callAfter(Common::Duration Delay, Callback Run);
  [[nodiscard]] EventHandle callEvery(Common::Duration Period, Callback Run);
  /// Runs the callback once, after the current event has been handled.
  void defer(Callback Run);
  [[nodiscard]] EventHandle onSignal(int Signal, Callback Run);
  [[nodiscard]] EventHandle onReadable(int Descriptor, Callback Run);
  /// Runs the callback when the remote end of the socket closes.
  [[nodiscard]] EventHandle onPeerClosed(int Descriptor, Callback Run);

  void run();
  /// Waits up to Timeout for events and handles those that are ready.
  void runOnce(Common::Duration Timeout);
  void stop();

  event_base *base() { return this->Base; }
  /// The limits on what this process holds for its peers.
  ResourceGuard &resources() { return *this->Resources; }

private:
  EventLoop() = default;
  EventHandle addEvent(int Descriptor, short Flags, Callback Run,
                       const Common::Duration *Delay);

  event_base *Base = nullptr;
  std::shared_ptr<ResourceGuard> Resources;
};

} // namespace Network

#endif
