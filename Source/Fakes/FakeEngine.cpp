#include "Fakes/FakeEngine.h"

#include "Common/Hash.h"
#include "Network/EventStream.h"
#include "Network/Problem.h"

#include <nlohmann/json.hpp>

namespace Fakes {

namespace {

using Json = nlohmann::json;

constexpr std::uint64_t DefaultMaxTokens = 16;
constexpr std::size_t EventsPerAnnouncement = 512;
constexpr const char *CrashMarker = "CRASH-THE-ENGINE";
constexpr const char *RefuseResumeMarker = "REFUSE-TO-RESUME";

std::string extractPrompt(const Json &Body, bool Chat) {
  if (!Chat)
    return Body.value("prompt", "");
  std::string Prompt;
  for (const Json &Message : Body.value("messages", Json::array()))
    Prompt += Message.value("role", "") + "\n" +
              (Message.contains("content") && Message["content"].is_string()
                   ? Message["content"].get<std::string>()
                   : "") +
              "\n";
  return Prompt;
}

/// Returns the token at a position of the output for a prompt. It depends on
/// nothing else, so that any engine can resume the stream.
std::string generateToken(const std::string &Prompt, std::uint64_t Position) {
  constexpr std::uint64_t VocabularySize = 1000;
  return "w" +
         std::to_string(Common::hashBytes(Prompt, Position) % VocabularySize) +
         " ";
}

} // namespace

struct FakeEngine::GenerationRequest {
  ExchangePtr Exchange;
  bool Chat = true;
  std::string Prompt;
  std::string Model;
  std::string Id;
  std::uint64_t NextToken = 0;
  std::uint64_t EndToken = 0;
  std::uint64_t PromptTokens = 0;
  Network::EventHandle Timer;
};

FakeEngine::FakeEngine(Network::EventLoop &Loop, Network::HttpClient &Http,
                       FakeEngineOptions Options)
    : Loop(Loop), Options(std::move(Options)), Rest(Loop),
      BackendAnnouncer(Loop, Http, this->Options.Entries,
                       this->Options.BackendToken, this->Options.Announcement,
                       [this](Membership::Announcement &Announcement) {
                         this->updateAnnouncement(Announcement);
                       }) {}

absl::StatusOr<std::unique_ptr<FakeEngine>>
FakeEngine::create(Network::EventLoop &Loop, Network::HttpClient &Http,
                   FakeEngineOptions Options) {
  Options.Announcement.Address = Options.Listen;
  std::unique_ptr<FakeEngine> Engine(
      new FakeEngine(Loop, Http, std::move(Options)));
  FakeEngine *Self = Engine.get();
  auto Server = Network::HttpServer::create(
      Loop, Self->Options.Listen, {},
      [Self](const ExchangePtr &Exchange) { Self->handle(Exchange); });
  if (!Server.ok())
    return Server.status();
  Engine->Server = std::move(*Server);
  return Engine;
}

void FakeEngine::updateAnnouncement(Membership::Announcement &Announcement) {
  Announcement.Load.Running = this->RunningRequests.size();
  Announcement.Load.Queued = this->QueuedRequests.size();
  while (!this->PendingCacheEvents.empty() &&
         Announcement.CacheEvents.size() < EventsPerAnnouncement) {
    Announcement.CacheEvents.push_back(this->PendingCacheEvents.front());
    this->PendingCacheEvents.pop_front();
  }
}

void FakeEngine::announceLeaving() { this->BackendAnnouncer.announceLeaving(); }

void FakeEngine::handle(const ExchangePtr &Exchange) {
  const std::string Path = Exchange->request().path();
  if (Path != "/stats" && this->Rest.handle(Exchange))
    return;
  if (Path == "/v1/chat/completions") {
    this->handleGeneration(Exchange, true);
  } else if (Path == "/v1/completions") {
    this->handleGeneration(Exchange, false);
  } else if (Path == "/stats") {
    Exchange->reply(
        {200, {{"Content-Type", "application/json"}}, this->stats()});
  } else {
    Exchange->reply(
        Network::problemResponse({Common::RefusalReason::UnknownRoute, Path}));
  }
}

std::string FakeEngine::stats() const {
  return Json{{"requests", this->Requests},
              {"prefill_tokens", this->PrefillTokens},
              {"resumed", this->ResumedRequests},
              {"running", this->RunningRequests.size()}}
      .dump();
}

void FakeEngine::handleGeneration(const ExchangePtr &Exchange, bool Chat) {
  const Json Body = Json::parse(Exchange->request().Body, nullptr, false);
  if (!Body.is_object()) {
    Exchange->reply(
        Network::problemResponse({Common::RefusalReason::BadJson, ""}));
    return;
  }
  ++this->Requests;
  auto Request = std::make_shared<GenerationRequest>();
  Request->Exchange = Exchange;
  Request->Chat = Chat;
  Request->Prompt = extractPrompt(Body, Chat);
  Request->Model = Body.value("model", "");
  Request->Id = "gen-" + this->Options.Announcement.BackendServer.str() + "-" +
                std::to_string(this->Requests);
  Request->EndToken = Body.value("max_tokens", DefaultMaxTokens);
  if (Body.contains("resume")) {
    if (Request->Prompt.find(RefuseResumeMarker) != std::string::npos) {
      Exchange->reply(
          Network::problemResponse({Common::RefusalReason::BadField, ""}));
      return;
    }
    Request->NextToken = Body["resume"].value("tokens", std::uint64_t(0));
    ++this->ResumedRequests;
  }
  if (Request->Prompt.find(CrashMarker) != std::string::npos && this->OnCrash) {
    this->OnCrash();
    return;
  }
  const std::weak_ptr<GenerationRequest> Weak = Request;
  Exchange->onCallerDisconnected([this, Weak] {
    if (const auto Disconnected = Weak.lock()) {
      Disconnected->Timer.cancel();
      std::erase(this->QueuedRequests, Disconnected);
      this->RunningRequests.erase(Disconnected);
      this->startQueued();
    }
  });
  this->QueuedRequests.push_back(Request);
  this->startQueued();
}

void FakeEngine::startQueued() {
  while (!this->QueuedRequests.empty() &&
         this->RunningRequests.size() <
             this->Options.Announcement.Capacity.Slots) {
    const RequestPtr Request = this->QueuedRequests.front();
    this->QueuedRequests.pop_front();
    this->RunningRequests.insert(Request);
    this->startPrefill(Request);
  }
}

std::uint64_t FakeEngine::cachePrompt(const std::string &Prompt) {
  const auto Blocks = Routing::hashPrefixBlocks(Prompt);
  std::size_t CachedBlocks = 0;
  while (CachedBlocks < Blocks.size() &&
         this->Cache.count(Blocks[CachedBlocks]) != 0)
    ++CachedBlocks;
  for (std::size_t I = CachedBlocks; I < Blocks.size(); ++I) {
    this->Cache.insert(Blocks[I]);
    this->CacheOrder.push_back(Blocks[I]);
    this->PendingCacheEvents.push_back(
        {++this->EventSequence, true, Blocks[I]});
  }
  while (this->Cache.size() > this->Options.Announcement.Capacity.CacheBlocks) {
    const Routing::BlockHash Oldest = this->CacheOrder.front();
    this->CacheOrder.pop_front();
    this->Cache.erase(Oldest);
    this->PendingCacheEvents.push_back({++this->EventSequence, false, Oldest});
  }
  const std::uint64_t Tokens = Routing::estimateTokens(Prompt.size());
  return Tokens -
         std::min<std::uint64_t>(Tokens, CachedBlocks * Routing::BlockTokens);
}

void FakeEngine::startPrefill(const RequestPtr &Request) {
  Request->PromptTokens = Routing::estimateTokens(Request->Prompt.size());
  const std::uint64_t Uncached = this->cachePrompt(Request->Prompt);
  this->PrefillTokens += Uncached;
  const std::weak_ptr<GenerationRequest> Weak = Request;
  Request->Timer = this->Loop.callAfter(
      this->Options.PrefillPerToken * static_cast<std::int64_t>(Uncached) +
          this->Options.TokenDelay,
      [this, Weak] {
        const auto Active = Weak.lock();
        if (!Active)
          return;
        Active->Exchange->startStream(200,
                                      {{"Content-Type", "text/event-stream"}});
        Active->Timer =
            this->Loop.callEvery(this->Options.TokenDelay, [this, Weak] {
              if (const auto Current = Weak.lock())
                this->sendNextToken(Current);
            });
        this->sendNextToken(Active);
      });
}

void FakeEngine::sendNextToken(const RequestPtr &Request) {
  if (Request->NextToken >= Request->EndToken) {
    this->sendFinalEvent(Request);
    return;
  }
  const std::string Text = generateToken(Request->Prompt, Request->NextToken++);
  Json Choice = {{"index", 0}, {"finish_reason", nullptr}};
  if (Request->Chat)
    Choice["delta"] = {{"content", Text}};
  else
    Choice["text"] = Text;
  const Json Event = {
      {"id", Request->Id},
      {"object", Request->Chat ? "chat.completion.chunk" : "text_completion"},
      {"model", Request->Model},
      {"choices", Json::array({Choice})}};
  Request->Exchange->sendChunk(Network::formatEvent(Event.dump()));
}

void FakeEngine::sendFinalEvent(const RequestPtr &Request) {
  Request->Timer.cancel();
  Json Choice = {{"index", 0}, {"finish_reason", "stop"}};
  if (Request->Chat)
    Choice["delta"] = Json::object();
  else
    Choice["text"] = "";
  const Json Event = {
      {"id", Request->Id},
      {"object", Request->Chat ? "chat.completion.chunk" : "text_completion"},
      {"model", Request->Model},
      {"choices", Json::array({Choice})},
      {"usage",
       {{"prompt_tokens", Request->PromptTokens},
        {"completion_tokens", Request->EndToken},
        {"total_tokens", Request->PromptTokens + Request->EndToken}}}};
  Request->Exchange->sendChunk(Network::formatEvent(Event.dump()));
  Request->Exchange->sendChunk(Network::formatEvent("[DONE]"));
  Request->Exchange->endStream();
  this->RunningRequests.erase(Request);
  this->startQueued();
}

} // namespace Fakes
