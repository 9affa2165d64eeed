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
  // Particulars may quote bytes of a caller that are no UTF-8.
  return Document.dump(-1, ' ', false,
                       nlohmann::json::error_handler_t::replace);
}

HttpAnswer problemAnswer(const Common::Refusal &Refusal) {
  const auto &Info = Common::refusalInfo(Refusal.Reason);
  HttpAnswer Answer;
  Answer.Status = Info.HttpStatus;
  Answer.Headers.push_back({"Content-Type", "application/problem+json"});
  if (Info.RetryAfter.count() > 0)
    Answer.Headers.push_back(
        {"Retry-After", std::to_string(Info.RetryAfter.count())});
  Answer.Body = problemJson(Refusal);
  return Answer;
}

} // namespace Network
