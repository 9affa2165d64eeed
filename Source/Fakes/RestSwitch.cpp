#include "Fakes/RestSwitch.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <nlohmann/json.hpp>

namespace Fakes {

namespace {

constexpr const char *RestPath = "/rest";
constexpr const char *RestPathPrefix = "/rest/";
/// Requests that were under way at the first rejection may arrive until then.
constexpr Common::Duration ArrivalAllowance = std::chrono::milliseconds(500);

} // namespace

bool RestSwitch::handle(
    const std::shared_ptr<Network::HttpExchange> &Exchange) {
  const Common::TimePoint Now = this->Loop.now();
  const std::string Path = Exchange->request().path();
  std::int64_t Milliseconds = 0;
  if (absl::StartsWith(Path, RestPathPrefix) &&
      absl::SimpleAtoi(Path.substr(std::string(RestPathPrefix).size()),
                       &Milliseconds)) {
    this->RestUntil = Now + std::chrono::milliseconds(Milliseconds);
    this->Rejected = 0;
    this->RejectedLate = 0;
    Exchange->reply({200, {}, ""});
    return true;
  }
  if (Path == RestPath) {
    Exchange->reply({200,
                     {{"Content-Type", "application/json"}},
                     nlohmann::json{{"rejected", this->Rejected},
                                    {"late", this->RejectedLate}}
                         .dump()});
    return true;
  }
  if (Now >= this->RestUntil)
    return false;
  if (this->Rejected++ == 0)
    this->FirstRejectionAt = Now;
  else if (Now > this->FirstRejectionAt + ArrivalAllowance)
    ++this->RejectedLate;
  const auto TimeLeft =
      std::chrono::duration_cast<Common::Duration>(this->RestUntil - Now);
  Exchange->reply(
      {503,
       {{"Retry-After", std::to_string(Common::toSeconds(TimeLeft))}},
       ""});
  return true;
}

} // namespace Fakes
