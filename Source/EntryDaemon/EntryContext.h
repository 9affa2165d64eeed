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

/// State shared by the components of an entry daemon. It must outlive them.
struct EntryContext {
  Network::EventLoop &Loop;
  const EntrySettings &Settings;
  Journal::Owner Self;
  Telemetry::Metrics &Metrics;
  State::StateClient &State;
  Network::HttpClient &Http;
  Membership::BackendRegistry Registry;
  Configuration::Declaration Declared;
  std::uint64_t LastRequestId = 0;

  Common::RequestId newRequestId() {
    return Common::RequestId{++this->LastRequestId};
  }
  /// False until the first configuration arrives; its version is 0 until then.
  bool hasConfiguration() const { return this->Declared.version().Value > 0; }
};

} // namespace EntryDaemon

#endif
