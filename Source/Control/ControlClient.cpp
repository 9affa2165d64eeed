#include "Control/ControlClient.h"

#include <nlohmann/json.hpp>

namespace Control {

namespace {

constexpr Common::Duration CallLimit = std::chrono::seconds(6);
constexpr Common::Duration Wait = std::chrono::milliseconds(50);
constexpr int Rounds = 2;
constexpr int StatusOk = 200;
constexpr int StatusUnavailable = 503;

/// The detail of a problem document.
std::string detailOf(const std::string &Body) {
  const auto Problem = nlohmann::json::parse(Body, nullptr, false);
  if (!Problem.is_object())
    return Body + "\n";
  return Problem.value("title", "refused") + ": " +
         Problem.value("detail", "") + "\n";
}

} // namespace

ControlClient::ControlClient(Network::EventLoop &Loop, Options Settings)
    : Loop(Loop), Settings(std::move(Settings)), Http(Loop) {}

ControlResult ControlClient::run(const std::string &Statement,
                                 const std::string &CommandId) {
  ControlResult Result;
  Result.Text = "no daemon answered; check --daemons, then send it again "
                "with --command-id=" +
                CommandId + "\n";
  for (int Round = 0; Round < Rounds; ++Round)
    for (const Network::Address &To : this->Settings.Daemons) {
      Network::HttpCall Call;
      Call.To = To;
      Call.Timeout = CallLimit;
      Call.Request.Method = Network::HttpMethod::Post;
      Call.Request.Target = "/v1/operator";
      Call.Request.Headers = {
          {"Authorization", "Bearer " + this->Settings.Token},
          {"Command-Id", CommandId},
          {"Accept", this->Settings.Json ? "application/json" : "text/plain"}};
      Call.Request.Body = Statement;
      bool Done = false;
      Network::HttpAnswer Answer;
      Network::HttpCallHandlers Handle;
      Handle.OnDone = [&](Network::CallResult, Network::HttpAnswer Given) {
        Done = true;
        Answer = std::move(Given);
      };
      this->Http.start(std::move(Call), std::move(Handle));
      while (!Done)
        this->Loop.runOnce(Wait);
      if (Answer.Status == StatusOk)
        return {Verdict::Done, Answer.Body};
      const bool TryOther =
          Answer.Status == 0 || Answer.Status == StatusUnavailable;
      if (!TryOther)
        return {Verdict::Refused, detailOf(Answer.Body)};
      if (Answer.Status != 0)
        Result.Text = detailOf(Answer.Body);
    }
  return Result;
}

} // namespace Control
