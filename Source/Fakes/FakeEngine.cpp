#include "Fakes/FakeEngine.h"

#include "Common/Hash.h"
#include "Network/EventStream.h"
#include "Network/Problem.h"

#include <nlohmann/json.hpp>

namespace Fakes {

namespace {

using Json = nlohmann::json;

constexpr std::uint64_t DefaultTokens = 16;
constexpr std::size_t EventsPerAnnouncement = 512;
constexpr const char *CrashWord = "CRASH-THE-ENGINE";

std::string promptOf(const Json &Body, bool Chat) {
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

/// The made-up token at a position of the answer to a prompt.
std::string tokenAt(const std::string &Prompt, std::uint64_t Position) {
  constexpr std::uint64_t Words = 1000;
  return "w" + std::to_string(Common::hashBytes(Prompt, Position) % Words) +
         " ";
}

} // namespace

struct FakeEngine::Stream {
  ExchangePtr Exchange;
  bool Chat = true;
  std::string Prompt;
  std::string Model;
  std::string Id;
  std::uint64_t Next = 0;
  std::uint64_t End = 0;
  std::uint64_t PromptTokens = 0;
  Network::EventHandle Timer;
};

FakeEngine::FakeEngine(Network::EventLoop &Loop, Network::HttpClient &Http,
                       FakeEngineOptions Given)
    : Loop(Loop), Options(std::move(Given)),
      Announcing(Loop, Http, this->Options.Entries, this->Options.BackendToken,
                 this->Options.About, [this](Membership::Announcement &About) {
                   this->describe(About);
                 }) {}

absl::StatusOr<std::unique_ptr<FakeEngine>>
FakeEngine::create(Network::EventLoop &Loop, Network::HttpClient &Http,
                   FakeEngineOptions Options) {
  Options.About.Address = Options.Listen;
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

void FakeEngine::describe(Membership::Announcement &About) {
  About.Load.Running = this->Running.size();
  About.Load.Queued = this->Queue.size();
  while (!this->Events.empty() &&
         About.CacheEvents.size() < EventsPerAnnouncement) {
    About.CacheEvents.push_back(this->Events.front());
    this->Events.pop_front();
  }
}

void FakeEngine::leave() { this->Announcing.leave(); }

void FakeEngine::handle(const ExchangePtr &Exchange) {
  const std::string Path = Exchange->request().path();
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
              {"running", this->Running.size()}}
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
  auto Each = std::make_shared<Stream>();
  Each->Exchange = Exchange;
  Each->Chat = Chat;
  Each->Prompt = promptOf(Body, Chat);
  Each->Model = Body.value("model", "");
  Each->Id = "gen-" + this->Options.About.BackendServer.str() + "-" +
             std::to_string(this->Requests);
  Each->End = Body.value("max_tokens", DefaultTokens);
  if (Body.contains("resume")) {
    Each->Next = Body["resume"].value("tokens", std::uint64_t(0));
    ++this->ResumedRequests;
  }
  if (Each->Prompt.find(CrashWord) != std::string::npos && this->Crash) {
    this->Crash();
    return;
  }
  const std::weak_ptr<Stream> Weak = Each;
  Exchange->onCallerDisconnected([this, Weak] {
    if (const auto Gone = Weak.lock()) {
      Gone->Timer.cancel();
      std::erase(this->Queue, Gone);
      this->Running.erase(Gone);
      this->startQueued();
    }
  });
  this->Queue.push_back(Each);
  this->startQueued();
}

void FakeEngine::startQueued() {
  while (!this->Queue.empty() &&
         this->Running.size() < this->Options.About.Capacity.Slots) {
    const StreamPtr Each = this->Queue.front();
    this->Queue.pop_front();
    this->Running.insert(Each);
    this->begin(Each);
  }
}

std::uint64_t FakeEngine::cachePrompt(const std::string &Prompt) {
  const auto Blocks = Routing::hashPrefixBlocks(Prompt);
  std::size_t Hit = 0;
  while (Hit < Blocks.size() && this->Cache.count(Blocks[Hit]) != 0)
    ++Hit;
  for (std::size_t I = Hit; I < Blocks.size(); ++I) {
    this->Cache.insert(Blocks[I]);
    this->CacheOrder.push_back(Blocks[I]);
    this->Events.push_back({++this->EventSequence, true, Blocks[I]});
  }
  while (this->Cache.size() > this->Options.About.Capacity.CacheBlocks) {
    const Routing::BlockHash Oldest = this->CacheOrder.front();
    this->CacheOrder.pop_front();
    this->Cache.erase(Oldest);
    this->Events.push_back({++this->EventSequence, false, Oldest});
  }
  const std::uint64_t Tokens = Routing::estimateTokens(Prompt.size());
  return Tokens - std::min<std::uint64_t>(Tokens, Hit * Routing::BlockTokens);
}

void FakeEngine::begin(const StreamPtr &Each) {
  Each->PromptTokens = Routing::estimateTokens(Each->Prompt.size());
  const std::uint64_t Uncached = this->cachePrompt(Each->Prompt);
  this->PrefillTokens += Uncached;
  const std::weak_ptr<Stream> Weak = Each;
  Each->Timer = this->Loop.callAfter(
      this->Options.PrefillPerToken * static_cast<std::int64_t>(Uncached) +
          this->Options.TokenDelay,
      [this, Weak] {
        const auto Live = Weak.lock();
        if (!Live)
          return;
        Live->Exchange->startStream(200,
                                    {{"Content-Type", "text/event-stream"}});
        Live->Timer =
            this->Loop.callEvery(this->Options.TokenDelay, [this, Weak] {
              if (const auto Next = Weak.lock())
                this->emit(Next);
            });
        this->emit(Live);
      });
}

void FakeEngine::emit(const StreamPtr &Each) {
  if (Each->Next >= Each->End) {
    this->finish(Each);
    return;
  }
  const std::string Text = tokenAt(Each->Prompt, Each->Next++);
  Json Choice = {{"index", 0}, {"finish_reason", nullptr}};
  if (Each->Chat)
    Choice["delta"] = {{"content", Text}};
  else
    Choice["text"] = Text;
  const Json Event = {
      {"id", Each->Id},
      {"object", Each->Chat ? "chat.completion.chunk" : "text_completion"},
      {"model", Each->Model},
      {"choices", Json::array({Choice})}};
  Each->Exchange->sendChunk(Network::formatEvent(Event.dump()));
}

void FakeEngine::finish(const StreamPtr &Each) {
  Each->Timer.cancel();
  Json Choice = {{"index", 0}, {"finish_reason", "stop"}};
  if (Each->Chat)
    Choice["delta"] = Json::object();
  else
    Choice["text"] = "";
  const Json Event = {
      {"id", Each->Id},
      {"object", Each->Chat ? "chat.completion.chunk" : "text_completion"},
      {"model", Each->Model},
      {"choices", Json::array({Choice})},
      {"usage",
       {{"prompt_tokens", Each->PromptTokens},
        {"completion_tokens", Each->End},
        {"total_tokens", Each->PromptTokens + Each->End}}}};
  Each->Exchange->sendChunk(Network::formatEvent(Event.dump()));
  Each->Exchange->sendChunk(Network::formatEvent("[DONE]"));
  Each->Exchange->endStream();
  this->Running.erase(Each);
  this->startQueued();
}

} // namespace Fakes
