#include "Fakes/FakeService.h"

#include <fstream>
#include <nlohmann/json.hpp>

namespace Fakes {

namespace {

constexpr const char *CrashMarker = "CLOSE-AFTER-RUN";
constexpr const char *LargePath = "/large";
constexpr std::size_t LargeBytes = 32u << 20;

Network::HttpResponse jsonResponse(const nlohmann::json &Body) {
  return {200, {{"Content-Type", "application/json"}}, Body.dump()};
}

} // namespace

FakeService::FakeService(Network::EventLoop &Loop, Network::HttpClient &Http,
                         FakeServiceOptions Options)
    : Loop(Loop), Options(std::move(Options)), Rest(Loop),
      BackendAnnouncer(Loop, Http, this->Options.Entries,
                       this->Options.BackendToken, this->Options.Announcement,
                       [this](Membership::Announcement &Announcement) {
                         Announcement.Load.Running =
                             this->Server->openExchanges();
                       }) {}

absl::StatusOr<std::unique_ptr<FakeService>>
FakeService::create(Network::EventLoop &Loop, Network::HttpClient &Http,
                    FakeServiceOptions Options) {
  Options.Announcement.Address = Options.Listen;
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
    Exchange->reply(jsonResponse(this->Runs));
    return;
  }
  if (this->Rest.handle(Exchange))
    return;
  if (this->Options.Delay.count() == 0) {
    this->run(Exchange);
    return;
  }
  this->Timers[Exchange.get()] =
      this->Loop.callAfter(this->Options.Delay, [this, Exchange] {
        this->run(Exchange);
        // Deferred, because the timer must not be destroyed in its own
        // callback.
        this->Loop.defer(
            [this, Exchange] { this->Timers.erase(Exchange.get()); });
      });
}

void FakeService::run(const ExchangePtr &Exchange) {
  const Network::HttpRequest &Request = Exchange->request();
  if (Request.Method == Network::HttpMethod::Get &&
      Request.path() == LargePath) {
    Exchange->reply({200, {}, std::string(LargeBytes, 'x')});
    return;
  }
  if (Request.Method == Network::HttpMethod::Get) {
    Exchange->reply(jsonResponse({{"stock", 42}, {"path", Request.path()}}));
    return;
  }
  const std::string Caller =
      Network::findHeader(Request.Headers, "Sycamore-Caller").value_or("");
  const std::string Key =
      Network::findHeader(Request.Headers, "Idempotency-Key").value_or("");
  const std::uint64_t RunCount = ++this->Runs[Caller + "/" + Key];
  if (!this->Options.RunsFile.empty())
    std::ofstream(this->Options.RunsFile, std::ios::app)
        << Caller + "/" + Key + "\n";
  if (Request.Body.find(CrashMarker) != std::string::npos && this->OnCrash) {
    this->OnCrash();
    return;
  }
  Exchange->reply(
      jsonResponse({{"reserved", true},
                    {"key", Key},
                    {"run", RunCount},
                    {"by", this->Options.Announcement.BackendServer.str()}}));
}

} // namespace Fakes
