#include "Telemetry/ResourceReport.h"

#include "Telemetry/LogEvents.h"

namespace Telemetry {

void ResourceReport::update() {
  const Network::MemoryBudget &Budget = this->Guard.budget();
  this->To.setGauge("held_bytes", static_cast<double>(Budget.usedBytes()));
  this->To.setGauge("held_bytes_limit",
                    static_cast<double>(Budget.limits().MaxBytes));
  this->To.setGauge("connections_accepted",
                    static_cast<double>(Budget.connections()));
  this->To.setGauge("connections_accepted_limit",
                    static_cast<double>(Budget.limits().MaxConnections));
  const Network::ResourceGuard::Counts Now = this->Guard.counts();
  const Network::ResourceGuard::Counts Before = this->Reported;
  if (Now.total() == Before.total())
    return;
  this->Reported = Now;
  const auto Count = [this](const char *Reason, std::uint64_t Ended) {
    if (Ended != 0)
      this->To.incrementLabelledCounter("shed_total", "reason", Reason, Ended);
  };
  Count("stalled", Now.Stalled - Before.Stalled);
  Count("largest", Now.Largest - Before.Largest);
  Count("slow_reader", Now.SlowReaders - Before.SlowReaders);
  Count("response", Now.Responses - Before.Responses);
  Count("connections", Now.Connections - Before.Connections);
  log(Events::LoadShed, Now.Stalled - Before.Stalled,
      Now.Largest - Before.Largest, Now.SlowReaders - Before.SlowReaders,
      Now.Responses - Before.Responses, Now.Connections - Before.Connections,
      Budget.usedBytes(), Budget.connections());
}

} // namespace Telemetry
