#ifndef SYCAMOREREACH_ENTRYDAEMON_ENTRYCONTEXT_H
#define SYCAMOREREACH_ENTRYDAEMON_ENTRYCONTEXT_H

#include "Configuration/Declaration.h"
#include "EntryDaemon/EntrySettings.h"
#include "Journal/JournalCommand.h"
#include "Membership/BackendRegistry.h"
#include "Network/EventLoop.h"
#include "Network/HttpClient.h"
#include "State/StateClient.h"
#include "Telemetry/Metrics.h"

namespace EntryDaemon {

/// What the parts of one entry daemon share. It outlives all of them.
struct EntryContext {
  Network::EventLoop &Loop;
  const EntrySettings &Settings;
  Journal::Owner Self;
  Telemetry::Metrics &Metrics;
  State::StateClient &State;
  Network::HttpClient &Http;
  Membership::BackendRegistry Registry;
  Configuration::Declaration Declared;
  std::uint64_t LastRequest = 0;

  Common::RequestId newRequestId() {
    return Common::RequestId{++this->LastRequest};
  }
  /// Version 0 is what a daemon holds before it has heard of any.
  bool hasConfiguration() const { return this->Declared.version().Value > 0; }
};

} // namespace EntryDaemon

#endif
