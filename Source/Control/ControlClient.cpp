#include "Control/ControlClient.h"

#include <nlohmann/json.hpp>

namespace Control {

namespace {

constexpr Common::Duration CallTimeout = std::chrono::seconds(6);
constexpr Common::Duration LoopPeriod = std::chrono::milliseconds(50);
constexpr int MaxRounds = 2;
constexpr int StatusOk = 200;
constexpr int StatusServiceUnavailable = 503;

/// The title and detail of a problem document (RFC 9457).
std::string formatProblem(const std::string &Body) {
  const auto Problem = nlohmann::json::parse(Body, nullptr, false);
  if (!Problem.is_object())
    return Body + "\n";
  return Problem.value("title", "refused") + ": " +
         Problem.value("detail", "") + "\n";
}

} // namespace

ControlClient::ControlClient(Network::EventLoop &Loop, Options ClientOptions)
    : Loop(Loop), ClientOptions(std::move(ClientOptions)), Http(Loop) {}

ControlResult ControlClient::run(const std::string &Statement,
                                 const std::string &CommandId) {
  ControlResult Result;
  Result.Text = "no daemon responded; check --daemons, then send the "
                "statement again with --command-id=" +
                CommandId + "\n";
  for (int Round = 0; Round < MaxRounds; ++Round)
    for (const Network::Address &Daemon : this->ClientOptions.Daemons) {
      Network::HttpCall Call;
      Call.To = Daemon;
      Call.Timeout = CallTimeout;
      Call.Request.Method = Network::HttpMethod::Post;
      Call.Request.Target = "/v1/operator";
      Call.Request.Headers = {
          {"Authorization", "Bearer " + this->ClientOptions.OperatorToken},
          {"Command-Id", CommandId},
          {"Accept",
           this->ClientOptions.Json ? "application/json" : "text/plain"}};
      Call.Request.Body = Statement;
      bool Done = false;
      Network::HttpResponse Response;
      Network::HttpCallHandlers Handlers;
      Handlers.OnDone = [&](Network::HttpCallResult,
                            Network::HttpResponse Received) {
        Done = true;
        Response = std::move(Received);
      };
      this->Http.start(std::move(Call), std::move(Handlers));
      while (!Done)
        this->Loop.runOnce(LoopPeriod);
      if (Response.Status == StatusOk)
        return {StatementStatus::Succeeded, Response.Body};
      const bool TryNextDaemon =
          Response.Status == 0 || Response.Status == StatusServiceUnavailable;
      if (!TryNextDaemon)
        return {StatementStatus::Refused, formatProblem(Response.Body)};
      if (Response.Status != 0)
        Result.Text = formatProblem(Response.Body);
    }
  return Result;
}

} // namespace Control
