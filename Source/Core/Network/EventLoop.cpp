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

timeval toTimeval(Common::Duration Span) {
  constexpr std::int64_t MicrosPerSecond = 1'000'000;
  const std::int64_t Micros = std::max<std::int64_t>(Span.count(), 0);
  timeval Value{};
  Value.tv_sec = Micros / MicrosPerSecond;
  Value.tv_usec = Micros % MicrosPerSecond;
  return Value;
}

void runDeferred(evutil_socket_t, short, void *Argument) {
  const std::unique_ptr<EventLoop::Callback> Run(
      static_cast<EventLoop::Callback *>(Argument));
  (*Run)();
}

} // namespace

absl::StatusOr<std::unique_ptr<EventLoop>> EventLoop::create() {
  // A peer that closes must show as an error of the write, not end us.
  std::signal(SIGPIPE, SIG_IGN);
  std::unique_ptr<EventLoop> Loop(new EventLoop());
  event_config *Config = event_config_new();
  event_config_set_flag(Config, EVENT_BASE_FLAG_PRECISE_TIMER);
  Loop->Base = event_base_new_with_config(Config);
  event_config_free(Config);
  if (!Loop->Base)
    return absl::ResourceExhaustedError(
        "no event base; raise the limit on open files");
  return Loop;
}

EventLoop::~EventLoop() {
  if (this->Base)
    event_base_free(this->Base);
}

Common::TimePoint EventLoop::now() const {
  timespec Value{};
  // This clock goes on while the host is suspended, so that leases end then.
  clock_gettime(CLOCK_BOOTTIME, &Value);
  return Common::TimePoint(std::chrono::duration_cast<Common::Duration>(
      std::chrono::seconds(Value.tv_sec) +
      std::chrono::nanoseconds(Value.tv_nsec)));
}

Common::WallTime EventLoop::wallNow() const {
  const auto Since = std::chrono::system_clock::now().time_since_epoch();
  const auto Millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(Since);
  return Common::WallTime{static_cast<std::uint64_t>(Millis.count())};
}

EventHandle EventLoop::watch(int Descriptor, short Flags, Callback Run,
                             const Common::Duration *Delay) {
  auto State = std::make_shared<EventHandle::State>();
  State->Run = std::move(Run);
  State->Event = event_new(
      this->Base, Descriptor, Flags,
      [](evutil_socket_t, short, void *Argument) {
        // The callback may destroy its own handle.
        const Callback Copy = static_cast<EventHandle::State *>(Argument)->Run;
        Copy();
      },
      State.get());
  if (Delay) {
    const timeval Wait = toTimeval(*Delay);
    event_add(State->Event, &Wait);
  } else {
    event_add(State->Event, nullptr);
  }
  EventHandle Handle;
  Handle.Held = std::move(State);
  return Handle;
}

EventHandle EventLoop::callAfter(Common::Duration Delay, Callback Run) {
  return this->watch(-1, 0, std::move(Run), &Delay);
}

EventHandle EventLoop::callEvery(Common::Duration Period, Callback Run) {
  return this->watch(-1, EV_PERSIST, std::move(Run), &Period);
}

void EventLoop::defer(Callback Run) {
  const timeval Immediately{};
  event_base_once(this->Base, -1, EV_TIMEOUT, runDeferred,
                  new Callback(std::move(Run)), &Immediately);
}

EventHandle EventLoop::onSignal(int Signal, Callback Run) {
  return this->watch(Signal, EV_SIGNAL | EV_PERSIST, std::move(Run), nullptr);
}

EventHandle EventLoop::onReadable(int Descriptor, Callback Run) {
  return this->watch(Descriptor, EV_READ | EV_PERSIST, std::move(Run), nullptr);
}

EventHandle EventLoop::onPeerClosed(int Descriptor, Callback Run) {
  return this->watch(Descriptor, EV_CLOSED, std::move(Run), nullptr);
}

void EventLoop::run() { event_base_dispatch(this->Base); }

void EventLoop::runFor(Common::Duration Limit) {
  const timeval Wait = toTimeval(Limit);
  event_base_loopexit(this->Base, &Wait);
  event_base_loop(this->Base, EVLOOP_ONCE);
}

void EventLoop::stop() { event_base_loopbreak(this->Base); }

} // namespace Network
