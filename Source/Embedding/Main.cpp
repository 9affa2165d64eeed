#include "Routing/Dispatcher.h"

#include <iostream>

/// Embeds one part of the library: a dispatcher with two servers, driven by
/// the caller's own clock.
int main() {
  using namespace std::chrono_literals;
  const Common::PriorityName Urgent("urgent");
  Routing::Dispatcher Dispatcher{Routing::DispatchRules{}};
  Dispatcher.configure({{Urgent, {0, 0.2, 1}}});
  for (const char *Name : {"left", "right"}) {
    Routing::ServerFacts Facts;
    Facts.Id = Common::BackendServerId(Name);
    Facts.Capacity = {2, 0};
    Dispatcher.pool().learn(Facts);
  }
  Common::ManualClock Clock;
  Clock.advance(1s);
  for (std::uint64_t I = 1; I <= 5; ++I) {
    Routing::WorkRequest Work;
    Work.Id = Common::RequestId{I};
    Work.Caller = Common::CallerId("yard");
    Work.Priority = Urgent;
    Work.Target = 1s;
    Work.Fingerprint = I;
    if (Dispatcher.arrive(Work, Clock.now()))
      std::cout << "request " << I << " is refused\n";
  }
  for (const Routing::Order &Each : Dispatcher.poll(1, 0, Clock.now()))
    if (const auto *Start = std::get_if<Routing::StartOrder>(&Each))
      std::cout << "request " << Start->Id.Value << " goes to "
                << Start->Server.str() << "\n";
  return Dispatcher.waiting() == 1 ? 0 : 1;
}
