#include "EntryDaemon/CallerGate.h"

#include "Common/Hash.h"

namespace EntryDaemon {

using Common::Refusal;
using Common::RefusalReason;

std::variant<CallerContext, Refusal>
identifyCaller(const Network::HttpRequest &Request,
               const Configuration::Declaration &Declared) {
  if (Declared.version().Value == 0)
    return Refusal{RefusalReason::NoConfiguration, ""};
  const auto Key = Network::bearerToken(Request.Headers);
  if (!Key)
    return Refusal{RefusalReason::MissingCallerKey, ""};
  const auto Caller = Declared.findCallerByKeyHash(Common::sha256Hex(*Key));
  if (!Caller)
    return Refusal{RefusalReason::UnknownCallerKey, ""};
  const auto &Configured = Declared.callers().at(*Caller);
  CallerContext Result{*Caller, Configured.Weight, Configured.Priority};
  const auto PriorityHeader =
      Network::findHeader(Request.Headers, "Sycamore-Priority");
  if (!PriorityHeader)
    return Result;
  const Common::PriorityName Requested(*PriorityHeader);
  const auto &Priorities = Declared.priorities();
  const auto Found = Priorities.find(Requested);
  if (Found == Priorities.end())
    return Refusal{RefusalReason::UnknownPriority,
                   "no priority '" + *PriorityHeader + "'"};
  if (Found->second.Rank < Priorities.at(Configured.Priority).Rank)
    return Refusal{RefusalReason::PriorityNotAllowed,
                   "'" + *PriorityHeader + "' is more urgent than '" +
                       Configured.Priority.str() + "'"};
  Result.Priority = Requested;
  return Result;
}

} // namespace EntryDaemon
