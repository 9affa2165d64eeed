#include "Fakes/FakeService.h"

#include <fstream>
#include <nlohmann/json.hpp>

namespace Fakes {

namespace {

constexpr const char *LoseWord = "CLOSE-AFTER-RUN";

Network::HttpResponse jsonAnswer(const nlohmann::json &Body) {
  return {200, {{"Content-Type", "application/json"}}, Body.dump()};
}

} // namespace

FakeService::FakeService(Network::EventLoop &Loop, Network::HttpClient &Http,
                         FakeServiceOptions Given)
    : Loop(Loop), Options(std::move(Given)),
      Announcing(Loop, Http, this->Options.Entries, this->Options.BackendToken,
                 this->Options.About, [this](Membership::Announcement &About) {
                   About.Load.Running = this->Server->openExchanges();
                 }) {}

absl::StatusOr<std::unique_ptr<FakeService>>
FakeService::create(Network::EventLoop &Loop, Network::HttpClient &Http,
                    FakeServiceOptions Options) {
  Options.About.Address = Options.Listen;
  std::unique_ptr<FakeService> Service(
      new FakeService(Loop, Http, std::move(Options)));
  FakeService *Self = Service.get();
  auto Server = Network::HttpServer::create(
      Loop, Self->Options.Listen, {},
      [Self](const ExchangePtr &Exchange) { Self->handle(Exchange); });
  if (!Server.ok())
    return Server.status();
  Service->Server = std::move(*Server);
  return Service;
}

void FakeService::handle(const ExchangePtr &Exchange) {
  if (Exchange->request().path() == "/runs") {
    Exchange->reply(jsonAnswer(this->Runs));
    return;
  }
  if (this->Options.Delay.count() == 0) {
    this->run(Exchange);
    return;
  }
  this->Timers[Exchange.get()] =
      this->Loop.callAfter(this->Options.Delay, [this, Exchange] {
        this->run(Exchange);
        // Not at once: the timer's own callback runs.
        this->Loop.defer(
            [this, Exchange] { this->Timers.erase(Exchange.get()); });
      });
}

void FakeService::run(const ExchangePtr &Exchange) {
  const Network::HttpRequest &Request = Exchange->request();
  if (Request.Method == Network::HttpMethod::Get) {
    Exchange->reply(jsonAnswer({{"stock", 42}, {"path", Request.path()}}));
    return;
  }
  const std::string Caller =
      Network::findHeader(Request.Headers, "Sycamore-Caller").value_or("");
  const std::string Key =
      Network::findHeader(Request.Headers, "Idempotency-Key").value_or("");
  const std::uint64_t Run = ++this->Runs[Caller + "/" + Key];
  if (!this->Options.RunsFile.empty())
    std::ofstream(this->Options.RunsFile, std::ios::app)
        << Caller + "/" + Key + "\n";
  if (Request.Body.find(LoseWord) != std::string::npos && this->Crash) {
    this->Crash();
    return;
  }
  Exchange->reply(
      jsonAnswer({{"reserved", true},
                  {"key", Key},
                  {"run", Run},
                  {"by", this->Options.About.BackendServer.str()}}));
}

} // namespace Fakes
