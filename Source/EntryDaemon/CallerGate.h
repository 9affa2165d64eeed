#ifndef SYCAMOREREACH_ENTRYDAEMON_CALLERGATE_H
#define SYCAMOREREACH_ENTRYDAEMON_CALLERGATE_H

#include "Common/Refusal.h"
#include "Configuration/Declaration.h"
#include "Network/HttpMessage.h"

#include <variant>

namespace EntryDaemon {

/// Who asks, and with which priority.
struct CallerContext {
  Common::CallerId Caller;
  double Weight = 1;
  Common::PriorityName Priority;
};

/// Finds the caller by its key. The header Sycamore-Priority may ask for a
/// priority that is not more urgent than the caller's own.
std::variant<CallerContext, Common::Refusal>
identifyCaller(const Network::HttpRequest &Request,
               const Configuration::Declaration &Declared);

} // namespace EntryDaemon

#endif
