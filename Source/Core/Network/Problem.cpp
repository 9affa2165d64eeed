#include "Network/Problem.h"

#include <nlohmann/json.hpp>

namespace Network {

std::string problemJson(const Common::Refusal &Refusal) {
  const auto &Info = Common::refusalInfo(Refusal.Reason);
  nlohmann::ordered_json Document;
  Document["type"] = std::string("urn:sycamorereach:") + Info.Name;
  Document["title"] = Info.Name;
  Document["status"] = Info.HttpStatus;
  Document["detail"] = Refusal.detail();
  Document["outcome"] = Common::outcomeName(Info.Outcome);
  // The detail may quote bytes from a caller that are not valid UTF-8.
  return Document.dump(-1, ' ', false,
                       nlohmann::json::error_handler_t::replace);
}

HttpResponse problemResponse(const Common::Refusal &Refusal) {
  const auto &Info = Common::refusalInfo(Refusal.Reason);
  HttpResponse Response;
  Response.Status = Info.HttpStatus;
  Response.Headers.push_back({"Content-Type", "application/problem+json"});
  const auto RetryAfter =
      Refusal.RetryAfter
          ? std::chrono::ceil<std::chrono::seconds>(*Refusal.RetryAfter)
          : Info.RetryAfter;
  if (RetryAfter.count() > 0)
    Response.Headers.push_back(
        {"Retry-After", std::to_string(RetryAfter.count())});
  Response.Body = problemJson(Refusal);
  return Response;
}

} // namespace Network
