#include "Routing/Dispatcher.h"

#include <iostream>

/// Embeds one part of the library: a dispatcher with two servers, driven by
/// the caller's own clock.
int main() {
  using namespace std::chrono_literals;
  const Common::PriorityName Urgent("urgent");
  Routing::Dispatcher Dispatcher{Routing::DispatchOptions{}};
  Dispatcher.configure({{Urgent, {0, 0.2, 1}}});
  for (const char *Name : {"left", "right"}) {
    Routing::ServerStatus Facts;
    Facts.Id = Common::BackendServerId(Name);
    Facts.Capacity = {2, 0};
    Dispatcher.pool().update(Facts);
  }
  Common::ManualClock Clock;
  Clock.advance(1s);
  for (std::uint64_t I = 1; I <= 5; ++I) {
    Routing::DispatchRequest Work;
    Work.Id = Common::RequestId{I};
    Work.Caller = Common::CallerId("yard");
    Work.Priority = Urgent;
    Work.Target = 1s;
    Work.Fingerprint = I;
    if (Dispatcher.submit(Work, Clock.now()))
      std::cout << "request " << I << " is refused\n";
  }
  for (const Routing::Action &Each : Dispatcher.poll(1, 0, Clock.now()))
    if (const auto *Start = std::get_if<Routing::StartAction>(&Each))
      std::cout << "request " << Start->Id.Value << " goes to "
                << Start->Server.str() << "\n";
  return Dispatcher.waiting() == 1 ? 0 : 1;
}
