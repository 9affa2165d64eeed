#include "Routing/Dispatcher.h"

#include <iostream>

/// Example of embedding a part of the library: a dispatcher with two servers,
/// driven by a manual clock. Five requests use the four slots, and one waits.
int main() {
  using namespace std::chrono_literals;
  const Common::PriorityName Urgent("urgent");
  Routing::Dispatcher Dispatcher{Routing::DispatchOptions{}};
  Dispatcher.configure({{Urgent, {0, 0.2, 1}}});
  for (const char *Name : {"left", "right"}) {
    Routing::ServerStatus Status;
    Status.Id = Common::BackendServerId(Name);
    Status.Capacity = {2, 0};
    Dispatcher.pool().update(Status);
  }
  Common::ManualClock Clock;
  Clock.advance(1s);
  for (std::uint64_t I = 1; I <= 5; ++I) {
    Routing::DispatchRequest Request;
    Request.Id = Common::RequestId{I};
    Request.Caller = Common::CallerId("yard");
    Request.Priority = Urgent;
    Request.Target = 1s;
    Request.Fingerprint = I;
    if (Dispatcher.submit(Request, Clock.now()))
      std::cout << "request " << I << " was refused\n";
  }
  for (const Routing::Action &Action : Dispatcher.poll(1, 0, Clock.now()))
    if (const auto *Start = std::get_if<Routing::StartAction>(&Action))
      std::cout << "request " << Start->Id.Value << " was sent to "
                << Start->Server.str() << "\n";
  return Dispatcher.waiting() == 1 ? 0 : 1;
}
