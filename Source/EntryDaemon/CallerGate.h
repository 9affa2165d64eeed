#ifndef SYCAMOREREACH_ENTRYDAEMON_CALLERGATE_H
#define SYCAMOREREACH_ENTRYDAEMON_CALLERGATE_H

#include "Common/Refusal.h"
#include "Configuration/Declaration.h"
#include "Network/HttpMessage.h"

#include <variant>

namespace EntryDaemon {

/// The authenticated caller of a request and the priority it runs with.
struct CallerContext {
  Common::CallerId Caller;
  double Weight = 1;
  Common::PriorityName Priority;
};

/// Authenticates the caller by the API key in the bearer token. The header
/// Sycamore-Priority may select a priority that is not more urgent than the
/// caller's own. Returns a refusal for a missing or unknown key, an unknown
/// priority, or one that the caller may not use.
std::variant<CallerContext, Common::Refusal>
identifyCaller(const Network::HttpRequest &Request,
               const Configuration::Declaration &Declared);

} // namespace EntryDaemon

#endif
