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
  const auto &Known = Declared.callers().at(*Caller);
  CallerContext Result{*Caller, Known.Weight, Known.Priority};
  const auto Asked = Network::findHeader(Request.Headers, "Sycamore-Priority");
  if (!Asked)
    return Result;
  const Common::PriorityName Wanted(*Asked);
  const auto &Priorities = Declared.priorities();
  const auto Found = Priorities.find(Wanted);
  if (Found == Priorities.end())
    return Refusal{RefusalReason::UnknownPriority,
                   "no priority '" + *Asked + "'"};
  if (Found->second.Rank < Priorities.at(Known.Priority).Rank)
    return Refusal{RefusalReason::PriorityNotAllowed,
                   "'" + *Asked + "' is more urgent than '" +
                       Known.Priority.str() + "'"};
  Result.Priority = Wanted;
  return Result;
}

} // namespace EntryDaemon
