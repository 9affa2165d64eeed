#include "Network/EventLoop.h"

#include <csignal>
#include <ctime>
#include <event2/event.h>

namespace Network {

struct EventHandle::State {
  Callback Run;
  event *Event = nullptr;
  ~State() {
    if (this->Event)
      event_free(this->Event);
  }
};

namespace {

timeval toTimeval(Common::Duration Interval) {
  constexpr std::int64_t MicrosecondsPerSecond = 1'000'000;
  const std::int64_t Microseconds = std::max<std::int64_t>(Interval.count(), 0);
  timeval Value{};
  Value.tv_sec = Microseconds / MicrosecondsPerSecond;
  Value.tv_usec = Microseconds % MicrosecondsPerSecond;
  return Value;
}

void runDeferred(evutil_socket_t, short, void *Argument) {
  const std::unique_ptr<EventLoop::Callback> Run(
      static_cast<EventLoop::Callback *>(Argument));
  (*Run)();
}

} // namespace

absl::StatusOr<std::unique_ptr<EventLoop>> EventLoop::create() {
  // Writing to a closed connection must fail with EPIPE instead of ending the
  // process.
  std::signal(SIGPIPE, SIG_IGN);
  std::unique_ptr<EventLoop> Loop(new EventLoop());
  event_config *Config = event_config_new();
  event_config_set_flag(Config, EVENT_BASE_FLAG_PRECISE_TIMER);
  Loop->Base = event_base_new_with_config(Config);
  event_config_free(Config);
  if (!Loop->Base)
    return absl::ResourceExhaustedError(
        "cannot create the event loop; raise the limit on open files");
  Loop->Resources = std::make_shared<ResourceGuard>(
      [Self = Loop.get()] { return Self->now(); });
  return Loop;
}

EventLoop::~EventLoop() {
  if (this->Base)
    event_base_free(this->Base);
}

Common::TimePoint EventLoop::now() const {
  timespec Value{};
  // CLOCK_BOOTTIME keeps running while the host is suspended, so leases also
  // expire during a suspension.
  clock_gettime(CLOCK_BOOTTIME, &Value);
  return Common::TimePoint(std::chrono::duration_cast<Common::Duration>(
      std::chrono::seconds(Value.tv_sec) +
      std::chrono::nanoseconds(Value.tv_nsec)));
}

Common::WallTime EventLoop::wallNow() const {
  const auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  const auto Milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(SinceEpoch);
  return Common::WallTime{static_cast<std::uint64_t>(Milliseconds.count())};
}

EventHandle EventLoop::addEvent(int Descriptor, short Flags, Callback Run,
                                const Common::Duration *Delay) {
  auto State = std::make_shared<EventHandle::State>();
  State->Run = std::move(Run);
  State->Event = event_new(
      this->Base, Descriptor, Flags,
      [](evutil_socket_t, short, void *Argument) {
        // The callback may destroy its own handle, so run a copy.
        const Callback Copy = static_cast<EventHandle::State *>(Argument)->Run;
        Copy();
      },
      State.get());
  if (Delay) {
    const timeval Timeout = toTimeval(*Delay);
    event_add(State->Event, &Timeout);
  } else {
    event_add(State->Event, nullptr);
  }
  EventHandle Handle;
  Handle.Registration = std::move(State);
  return Handle;
}

EventHandle EventLoop::callAfter(Common::Duration Delay, Callback Run) {
  return this->addEvent(-1, 0, std::move(Run), &Delay);
}

EventHandle EventLoop::callEvery(Common::Duration Period, Callback Run) {
  return this->addEvent(-1, EV_PERSIST, std::move(Run), &Period);
}

void EventLoop::defer(Callback Run) {
  const timeval Immediately{};
  event_base_once(this->Base, -1, EV_TIMEOUT, runDeferred,
                  new Callback(std::move(Run)), &Immediately);
}

EventHandle EventLoop::onSignal(int Signal, Callback Run) {
  return this->addEvent(Signal, EV_SIGNAL | EV_PERSIST, std::move(Run),
                        nullptr);
}

EventHandle EventLoop::onReadable(int Descriptor, Callback Run) {
  return this->addEvent(Descriptor, EV_READ | EV_PERSIST, std::move(Run),
                        nullptr);
}

EventHandle EventLoop::onPeerClosed(int Descriptor, Callback Run) {
  return this->addEvent(Descriptor, EV_CLOSED, std::move(Run), nullptr);
}

void EventLoop::run() { event_base_dispatch(this->Base); }

void EventLoop::runOnce(Common::Duration Timeout) {
  const timeval TimeoutValue = toTimeval(Timeout);
  event_base_loopexit(this->Base, &TimeoutValue);
  event_base_loop(this->Base, EVLOOP_ONCE);
}

void EventLoop::stop() { event_base_loopbreak(this->Base); }

} // namespace Network
