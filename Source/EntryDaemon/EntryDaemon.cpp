#include "EntryDaemon/EntryDaemon.h"

#include "Common/Hash.h"
#include "EntryDaemon/ModelCall.h"
#include "EntryDaemon/PlainCall.h"
#include "Network/Problem.h"
#include "Telemetry/LogEvents.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <array>
#include <csignal>
#include <nlohmann/json.hpp>

namespace EntryDaemon {

namespace {

using Common::RefusalReason;
using Network::HttpMethod;
namespace Events = Telemetry::Events;

/// Time before the end of the shutdown in which the callers whose requests
/// cannot end are told so.
constexpr Common::Duration InterruptedReplyTime = std::chrono::seconds(1);
constexpr Common::Duration RefreshPeriod = std::chrono::milliseconds(100);
constexpr Common::Duration TakeOverTimeout = std::chrono::seconds(5);
constexpr Common::Duration TakeOverRetryDelay = std::chrono::milliseconds(500);
constexpr std::array<Common::Duration, 4> TakeOverRepeatDelays = {
    std::chrono::seconds(1), std::chrono::seconds(3), std::chrono::seconds(10),
    std::chrono::seconds(60)};
constexpr Common::Duration FindRequestTimeout = std::chrono::seconds(3);
constexpr std::size_t MaxIdempotencyKeyBytes = 128;
/// A journaled request is replicated as a single log entry.
constexpr std::size_t MaxJournaledBodyBytes = 64u << 10;
constexpr int StatusOk = 200;
constexpr std::string_view ServicesPrefix = "/services/";
constexpr std::string_view RequestsPrefix = "/v1/requests/";

bool startsWith(const std::string &Text, std::string_view Prefix) {
  return Text.compare(0, Prefix.size(), Prefix) == 0;
}

Network::HttpResponse textAnswer(int Status, const std::string &Body,
                                 const char *Type = "text/plain") {
  return {Status, {{"Content-Type", Type}}, Body};
}

bool isVisibleAscii(const std::string &Text) {
  return std::all_of(Text.begin(), Text.end(),
                     [](char C) { return C > ' ' && C < '\x7f'; });
}

} // namespace

absl::StatusOr<std::unique_ptr<EntryDaemon>>
EntryDaemon::create(Network::EventLoop &Loop, EntrySettings Settings) {
  Settings.Host.apply(Loop);
  std::unique_ptr<EntryDaemon> Daemon(
      new EntryDaemon(Loop, std::move(Settings)));
  if (absl::Status Created = Daemon->createComponents(); !Created.ok())
    return Created;
  return Daemon;
}

EntryDaemon::EntryDaemon(Network::EventLoop &Loop, EntrySettings Settings)
    : Loop(Loop), Settings(std::move(Settings)), HttpClient(Loop) {}

absl::Status EntryDaemon::createComponents() {
  State::StateClient::Options ClientOptions;
  ClientOptions.Daemons = this->Settings.State;
  ClientOptions.Key = this->Settings.Key;
  const Common::Incarnation Incarnation{this->Loop.wallNow().Milliseconds};
  this->StateClient = std::make_unique<State::StateClient>(
      this->Loop, ClientOptions, this->Metrics);
  this->Context.reset(new EntryContext{this->Loop,
                                       this->Settings,
                                       {this->Settings.Name, Incarnation},
                                       this->Metrics,
                                       *this->StateClient,
                                       this->HttpClient,
                                       {},
                                       {},
                                       0});
  this->Peers = std::make_unique<Membership::PeerTable>(
      this->Settings.Name, this->Settings.Peers, this->Loop.now());
  this->Dispatchers =
      std::make_unique<ServiceDispatchers>(*this->Context, *this->Peers);
  Gossip::Handlers GossipHandlers;
  GossipHandlers.OnNewerConfiguration = [this](const Common::DaemonId &Peer) {
    this->ConfigSync->fetchFrom(Peer);
  };
  GossipHandlers.OnPeerFailed =
      [this](const Membership::DaemonIncarnation &Failed) {
        this->takeOverRepeatedly(Failed.Daemon, Failed.Incarnation);
      };
  auto PeerGossip =
      Gossip::create(*this->Context, *this->Peers, *this->Dispatchers,
                     std::move(GossipHandlers));
  if (!PeerGossip.ok())
    return PeerGossip.status();
  this->PeerGossip = std::move(*PeerGossip);
  this->Dispatchers->setCrashHandler(
      [this](const Membership::CrashNotice &Notice) {
        this->PeerGossip->sendCrashNotice(Notice);
      });
  this->Dispatchers->setSurvivalHandler(
      [this](const Membership::SurvivalNotice &Notice) {
        this->PeerGossip->sendSurvivalNotice(Notice);
      });
  auto ConfigSync = ConfigurationSync::create(
      *this->Context, *this->Peers, [this] { this->configurationChanged(); });
  if (!ConfigSync.ok())
    return ConfigSync.status();
  this->ConfigSync = std::move(*ConfigSync);
  this->Endpoint = std::make_unique<Operator::OperatorEndpoint>(
      this->Settings.OperatorToken, *this->StateClient, this->Context->Metrics,
      [this](Operator::View Requested) {
        return entryView(Requested, *this->Context, *this->Peers,
                         *this->Dispatchers);
      });
  auto Server = Network::HttpServer::create(
      this->Loop, this->Settings.Http, {},
      [this](const ExchangePtr &Exchange) { this->handle(Exchange); });
  if (!Server.ok())
    return Server.status();
  this->Server = std::move(*Server);
  return absl::OkStatus();
}

int EntryDaemon::run() {
  const auto Stop = [this] { this->shutDown(); };
  this->EventHandles.push_back(this->Loop.onSignal(SIGTERM, Stop));
  this->EventHandles.push_back(this->Loop.onSignal(SIGINT, Stop));
  // All settings are read at the start only, so SIGHUP reloads nothing.
  this->EventHandles.push_back(this->Loop.onSignal(
      SIGHUP, [] { Telemetry::log(Events::Reload, "nothing"); }));
  this->EventHandles.push_back(this->Loop.callEvery(
      RefreshPeriod, [this] { this->Dispatchers->refresh(); }));
  Telemetry::log(Events::EntryDaemonStarted, this->Settings.Http.str(),
                 this->Settings.Peer.str());
  // Requests that an earlier incarnation of this daemon left unfinished.
  const std::uint64_t Incarnation = this->Context->Self.Incarnation.Value;
  this->takeOverRepeatedly(this->Settings.Name,
                           Common::Incarnation{Incarnation - 1});
  this->Loop.run();
  return 0;
}

void EntryDaemon::configurationChanged() {
  this->Dispatchers->configure();
  this->PeerGossip->sendConfigurationNotice();
}

void EntryDaemon::handle(const ExchangePtr &Exchange) {
  struct FixedRoute {
    const char *Path;
    HttpMethod Method;
    void (EntryDaemon::*Run)(const ExchangePtr &);
  };
  static constexpr std::array Routes = {
      FixedRoute{"/healthz", HttpMethod::Get, &EntryDaemon::handleHealth},
      FixedRoute{"/readyz", HttpMethod::Get, &EntryDaemon::handleReady},
      FixedRoute{"/metrics", HttpMethod::Get, &EntryDaemon::handleMetrics},
      FixedRoute{"/v1/operator", HttpMethod::Post,
                 &EntryDaemon::handleOperator},
      FixedRoute{"/v1/announce", HttpMethod::Post,
                 &EntryDaemon::handleAnnounce},
      FixedRoute{"/v1/reclaims", HttpMethod::Post, &EntryDaemon::handleReclaim},
      FixedRoute{"/v1/backends", HttpMethod::Get, &EntryDaemon::handleBackends},
      FixedRoute{"/v1/models", HttpMethod::Get, &EntryDaemon::handleModels},
      FixedRoute{"/v1/chat/completions", HttpMethod::Post,
                 &EntryDaemon::handleChat},
      FixedRoute{"/v1/completions", HttpMethod::Post,
                 &EntryDaemon::handleCompletions},
  };
  const std::string Path = Exchange->request().path();
  const bool IsProbe =
      Path == "/healthz" || Path == "/readyz" || Path == "/metrics";
  if (this->ListenerClosed && !IsProbe) {
    // It came on a connection that was opened before, too late to end in time.
    this->refuse(Exchange, RefusalReason::ShuttingDown);
    return;
  }
  for (const FixedRoute &Each : Routes) {
    if (Path != Each.Path)
      continue;
    if (Exchange->request().Method != Each.Method)
      this->refuse(
          Exchange, RefusalReason::MethodNotAllowed,
          absl::StrCat(Path, " takes ", Network::httpMethodName(Each.Method)));
    else
      (this->*Each.Run)(Exchange);
    return;
  }
  if (startsWith(Path, ServicesPrefix))
    this->handleService(Exchange);
  else if (startsWith(Path, RequestsPrefix))
    this->handleRequestState(Exchange);
  else
    this->refuse(Exchange, RefusalReason::UnknownRoute, "no route " + Path);
}

void EntryDaemon::refuse(const ExchangePtr &Exchange, RefusalReason Reason,
                         const std::string &Detail) {
  this->refuse(Exchange, Common::Refusal{Reason, Detail});
}

void EntryDaemon::refuse(const ExchangePtr &Exchange,
                         const Common::Refusal &Refusal) {
  this->Context->Metrics.recordRefusal(Refusal.Reason);
  Exchange->reply(Network::problemResponse(Refusal));
}

void EntryDaemon::handleHealth(const ExchangePtr &Exchange) {
  Exchange->reply(textAnswer(StatusOk, "ok\n"));
}

void EntryDaemon::handleReady(const ExchangePtr &Exchange) {
  constexpr int NotReady = 503;
  if (this->ShuttingDown)
    Exchange->reply(textAnswer(NotReady, "shutting down\n"));
  else if (!this->Context->hasConfiguration())
    Exchange->reply(textAnswer(NotReady, "no configuration yet\n"));
  else
    Exchange->reply(textAnswer(StatusOk, "ready\n"));
}

void EntryDaemon::handleMetrics(const ExchangePtr &Exchange) {
  auto &Metrics = this->Context->Metrics;
  Metrics.setGauge("configuration_version",
                   double(this->Context->Declared.version().Value));
  Metrics.setGauge("journaled_calls_open", double(this->OpenJournaledCalls));
  Metrics.setGauge("backends_known",
                   double(this->Context->Registry.entries().size()));
  Exchange->reply(textAnswer(StatusOk, Metrics.render()));
}

void EntryDaemon::handleOperator(const ExchangePtr &Exchange) {
  this->Endpoint->handle(Exchange);
}

void EntryDaemon::handleAnnounce(const ExchangePtr &Exchange) {
  const auto Token = Network::bearerToken(Exchange->request().Headers);
  if (!Token ||
      !Common::equalInConstantTime(*Token, this->Settings.BackendToken)) {
    this->refuse(Exchange, RefusalReason::WrongBackendToken);
    return;
  }
  const auto Announced =
      Membership::parseAnnouncement(Exchange->request().Body);
  if (!Announced.ok()) {
    this->refuse(Exchange, RefusalReason::BadAnnouncement,
                 std::string(Announced.status().message()));
    return;
  }
  using Change = Membership::BackendRegistry::Change;
  const Change Result =
      this->Context->Registry.update(*Announced, this->Loop.now(), true);
  if (Result == Change::None) {
    this->refuse(Exchange, RefusalReason::StaleAnnouncement,
                 "the announcement of " + Announced->BackendServer.str() +
                     " is not newer than the last one received");
    return;
  }
  this->PeerGossip->serverAnnounced(*Announced);
  this->Dispatchers->applyCacheEvents(*Announced);
  if (Result == Change::BecameLeaving)
    this->PeerGossip->sendLeavingNotice({Announced->BackendServer});
  if (Result != Change::Refreshed)
    this->Dispatchers->refresh();
  Exchange->reply(textAnswer(StatusOk, "{}", "application/json"));
}

void EntryDaemon::handleReclaim(const ExchangePtr &Exchange) {
  if (!this->Endpoint->isAuthorized(Exchange->request())) {
    this->refuse(Exchange, RefusalReason::WrongOperatorToken);
    return;
  }
  const auto Object =
      nlohmann::json::parse(Exchange->request().Body, nullptr, false);
  if (!Object.is_object() || !Object.contains("host") ||
      !Object["host"].is_string()) {
    this->refuse(Exchange, RefusalReason::BadField, "'host' must be a string");
    return;
  }
  const Common::HostId Host(Object["host"].get<std::string>());
  const auto LeavingServers =
      this->Context->Registry.markHostLeaving(Host, this->Loop.now());
  this->PeerGossip->sendReclaimNotice(Host);
  this->Dispatchers->refresh();
  this->Context->Metrics.incrementCounter("reclaim_notices_total");
  Telemetry::log(Events::ReclaimNotice, Host.str(), LeavingServers.size());
  Exchange->reply(textAnswer(
      StatusOk, nlohmann::json{{"servers", LeavingServers.size()}}.dump(),
      "application/json"));
}

void EntryDaemon::handleBackends(const ExchangePtr &Exchange) {
  if (!this->Endpoint->isAuthorized(Exchange->request()))
    this->refuse(Exchange, RefusalReason::WrongOperatorToken);
  else
    Exchange->reply(
        textAnswer(StatusOk, backendsJson(*this->Context), "application/json"));
}

void EntryDaemon::handleModels(const ExchangePtr &Exchange) {
  const auto Caller =
      identifyCaller(Exchange->request(), this->Context->Declared);
  if (const auto *Error = std::get_if<Common::Refusal>(&Caller)) {
    this->refuse(Exchange, *Error);
    return;
  }
  nlohmann::json Models = nlohmann::json::array();
  for (const auto &[Name, Each] : this->Context->Declared.services())
    if (Each.Kind == Configuration::ServiceKind::Model)
      Models.push_back({{"id", Each.Model.str()},
                        {"object", "model"},
                        {"owned_by", Name.str()}});
  const nlohmann::json Answer = {{"object", "list"}, {"data", Models}};
  Exchange->reply(textAnswer(StatusOk, Answer.dump(), "application/json"));
}

void EntryDaemon::handleChat(const ExchangePtr &Exchange) {
  this->handleModel(Exchange, ModelApi::ChatCompletions);
}

void EntryDaemon::handleCompletions(const ExchangePtr &Exchange) {
  this->handleModel(Exchange, ModelApi::Completions);
}

void EntryDaemon::handleModel(const ExchangePtr &Exchange, ModelApi Api) {
  const auto Caller =
      identifyCaller(Exchange->request(), this->Context->Declared);
  if (const auto *Error = std::get_if<Common::Refusal>(&Caller)) {
    this->refuse(Exchange, *Error);
    return;
  }
  auto Parsed = parseModelRequest(Api, Exchange->request().Body,
                                  std::get<CallerContext>(Caller),
                                  this->Context->Declared);
  if (const auto *Error = std::get_if<Common::Refusal>(&Parsed)) {
    this->refuse(Exchange, *Error);
    return;
  }
  ModelCall::start(*this->Context, *this->Dispatchers, Exchange,
                   std::move(std::get<ModelRequest>(Parsed)));
}

void EntryDaemon::handleService(const ExchangePtr &Exchange) {
  const auto &Request = Exchange->request();
  const auto Caller = identifyCaller(Request, this->Context->Declared);
  if (const auto *Error = std::get_if<Common::Refusal>(&Caller)) {
    this->refuse(Exchange, *Error);
    return;
  }
  auto Parsed = parsePlainRequest(Request, std::get<CallerContext>(Caller),
                                  this->Context->Declared);
  if (const auto *Error = std::get_if<Common::Refusal>(&Parsed)) {
    this->refuse(Exchange, *Error);
    return;
  }
  PlainRequest Plain = std::move(std::get<PlainRequest>(Parsed));
  const auto &Service = this->Context->Declared.services().at(Plain.Service);
  const bool Idempotent = Service.IdempotentMethods.count(
                              Network::httpMethodName(Request.Method)) != 0;
  if (Idempotent)
    PlainCall::start(*this->Context, *this->Dispatchers, Exchange,
                     std::move(Plain));
  else
    this->startJournaled(Exchange, std::move(Plain));
}

void EntryDaemon::startJournaled(const ExchangePtr &Exchange,
                                 PlainRequest Request) {
  const auto Key =
      Network::findHeader(Exchange->request().Headers, "Idempotency-Key");
  if (!Key) {
    this->refuse(Exchange, RefusalReason::MissingIdempotencyKey);
    return;
  }
  if (Key->empty() || Key->size() > MaxIdempotencyKeyBytes ||
      !isVisibleAscii(*Key)) {
    this->refuse(Exchange, RefusalReason::BadIdempotencyKey);
    return;
  }
  if (Request.Content.Body.size() > MaxJournaledBodyBytes) {
    this->refuse(
        Exchange, RefusalReason::BodyTooLarge,
        absl::StrCat("calls with an idempotency key can carry at most ",
                     MaxJournaledBodyBytes, " bytes"));
    return;
  }
  ++this->OpenJournaledCalls;
  JournaledCall::start(
      *this->Context, *this->Dispatchers, Exchange,
      Common::IdempotencyKey(*Key), std::move(Request),
      [this](const Journal::RequestKey &) { --this->OpenJournaledCalls; });
}

void EntryDaemon::handleRequestState(const ExchangePtr &Exchange) {
  const auto Caller =
      identifyCaller(Exchange->request(), this->Context->Declared);
  if (const auto *Error = std::get_if<Common::Refusal>(&Caller)) {
    this->refuse(Exchange, *Error);
    return;
  }
  const std::string Key =
      Exchange->request().path().substr(RequestsPrefix.size());
  const Journal::RequestKey RequestKey{std::get<CallerContext>(Caller).Caller,
                                       Common::IdempotencyKey(Key)};
  Exchange->onInterrupted([this, Raw = Exchange.get()] {
    this->refuse(Raw->shared_from_this(), RefusalReason::NoLeader);
  });
  this->StateClient->sendToLeader(
      State::FindJournaledRequest{RequestKey}, FindRequestTimeout,
      [this, Exchange](const State::RequestResult &Result) {
        const auto *Answer = std::get_if<State::ResponseBody>(&Result);
        const auto *Reply =
            Answer ? std::get_if<State::CommandResult>(Answer) : nullptr;
        const auto *Found =
            Reply ? std::get_if<Journal::JournalResult>(Reply) : nullptr;
        if (!Found)
          this->refuse(Exchange, RefusalReason::NoLeader);
        else if (!Found->View)
          this->refuse(Exchange, RefusalReason::RequestNotFound);
        else
          this->replyRequestState(Exchange, *Found->View);
      });
}

void EntryDaemon::replyRequestState(const ExchangePtr &Exchange,
                                    const Journal::RequestView &View) {
  nlohmann::json Object;
  Object["state"] = Journal::requestStateName(View.State);
  if (View.Response)
    Object["answer"] = {{"status", View.Response->Status},
                        {"body", View.Response->Body}};
  const std::string Body =
      Object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  Exchange->reply(textAnswer(StatusOk, Body, "application/json"));
}

void EntryDaemon::takeOverRepeatedly(const Common::DaemonId &From,
                                     Common::Incarnation LastIncarnation) {
  this->takeOver(From, LastIncarnation);
  for (const Common::Duration Delay : TakeOverRepeatDelays)
    this->ScheduledTakeOverTimers.push_back(
        this->Loop.callAfter(Delay, [this, From, LastIncarnation] {
          this->takeOver(From, LastIncarnation);
        }));
}

void EntryDaemon::takeOver(const Common::DaemonId &From,
                           Common::Incarnation LastIncarnation) {
  const Journal::TakeOverCommand Command{From, LastIncarnation,
                                         this->Context->Self};
  this->StateClient->sendToLeader(
      State::CommandBody(Command), TakeOverTimeout,
      [this, From, LastIncarnation](const State::RequestResult &Result) {
        const auto *Answer = std::get_if<State::ResponseBody>(&Result);
        const auto *Reply =
            Answer ? std::get_if<State::CommandResult>(Answer) : nullptr;
        const auto *TakeOver =
            Reply ? std::get_if<Journal::TakeOverResult>(Reply) : nullptr;
        if (!TakeOver) {
          // No usable response, for example because the state daemons have no
          // quorum. The requests stay in the journal, so this is retried until
          // it succeeds.
          this->FailedTakeOverTimers[From] = this->Loop.callAfter(
              TakeOverRetryDelay, [this, From, LastIncarnation] {
                this->takeOver(From, LastIncarnation);
              });
          return;
        }
        for (const Journal::TakenOverRequest &Each : TakeOver->Requests)
          this->resume(Each);
        if (TakeOver->HasMore)
          this->takeOver(From, LastIncarnation);
      });
}

void EntryDaemon::resume(const Journal::TakenOverRequest &TakenOver) {
  ++this->OpenJournaledCalls;
  this->Context->Metrics.incrementCounter("requests_taken_over_total");
  JournaledCall::resume(
      *this->Context, *this->Dispatchers, TakenOver,
      [this](const Journal::RequestKey &) { --this->OpenJournaledCalls; });
}

bool EntryDaemon::drained() const {
  return this->Server->openExchanges() == 0 && this->OpenJournaledCalls == 0;
}

void EntryDaemon::shutDown() {
  if (this->ShuttingDown)
    return;
  this->ShuttingDown = true;
  this->ShutdownStartedAt = this->Loop.now();
  this->PeerGossip->startLeaving();
  this->Server->startShutdown();
  Telemetry::log(Events::ShuttingDown);
  constexpr Common::Duration CheckPeriod = std::chrono::milliseconds(20);
  this->ShutdownTimer =
      this->Loop.callEvery(CheckPeriod, [this] { this->checkShutdown(); });
}

void EntryDaemon::checkShutdown() {
  const Common::Duration Elapsed = std::chrono::duration_cast<Common::Duration>(
      this->Loop.now() - this->ShutdownStartedAt);
  const Common::Duration InterruptAfter =
      this->Settings.ShutdownTime - InterruptedReplyTime;
  // The load balancer must see /readyz fail before the listener closes.
  if (!this->ListenerClosed &&
      Elapsed >= std::min(this->Settings.DrainGrace, InterruptAfter)) {
    this->ListenerClosed = true;
    this->Server->stopAccepting();
    // What has arrived by now is read before the next check.
    return;
  }
  if (!this->Interrupted && Elapsed >= InterruptAfter) {
    this->Interrupted = true;
    this->Server->interruptExchanges();
  }
  // The journal keeps the calls that are still open after an interruption.
  const bool Idle = this->ListenerClosed && this->drained();
  const bool Answered = this->Interrupted && this->Server->openExchanges() == 0;
  if (!Idle && !Answered && Elapsed < this->Settings.ShutdownTime)
    return;
  Telemetry::log(Events::Stopped, this->Server->openExchanges(),
                 Idle       ? "idle"
                 : Answered ? "ended_requests"
                            : "timed_out",
                 Common::toMilliseconds(Elapsed));
  this->Loop.stop();
}

} // namespace EntryDaemon
