#include "EntryDaemon/ModelRequest.h"

#include "Common/Hash.h"

#include <ctime>
#include <nlohmann/json.hpp>

namespace EntryDaemon {

namespace {

using Common::Refusal;
using Common::RefusalReason;
using Json = nlohmann::json;

constexpr std::uint64_t DefaultExpectedTokens = 128;
constexpr std::uint64_t MaxTokens = 1'000'000;
/// Length of the prompt's start that identifies a conversation for session
/// affinity when there are no messages.
constexpr std::size_t AffinityPrefixBytes = 1024;

Refusal badField(const std::string &Detail) {
  return Refusal{RefusalReason::BadField, Detail};
}

/// The text of a message's content, without parts of other types.
std::string contentText(const Json &Content) {
  if (Content.is_string())
    return Content.get<std::string>();
  std::string Text;
  if (Content.is_array())
    for (const Json &Part : Content)
      if (Part.is_object() && Part.contains("text") && Part["text"].is_string())
        Text += Part["text"].get<std::string>();
  return Text;
}

/// The prompt as one text, and the start of it that identifies the conversation
/// for session affinity.
struct PromptText {
  std::string Text;
  std::string AffinityPrefix;
  /// Each message, or the start of a prompt that is one text.
  std::vector<Common::CauseHash> Parts;
};

std::variant<PromptText, Refusal> readMessages(const Json &Object) {
  const auto Found = Object.find("messages");
  if (Found == Object.end() || !Found->is_array() || Found->empty())
    return badField("'messages' must be an array that is not empty");
  PromptText Prompt;
  bool UserSeen = false;
  for (const Json &Message : *Found) {
    if (!Message.is_object() || !Message.contains("role") ||
        !Message["role"].is_string())
      return badField("each message must be an object with a 'role'");
    const std::string Role = Message["role"].get<std::string>();
    const Json Content =
        Message.contains("content") ? Message["content"] : Json();
    const std::string MessageText = Role + "\n" + contentText(Content) + "\n";
    Prompt.Parts.push_back(Common::hashBytes(MessageText));
    Prompt.Text += MessageText;
    if (!UserSeen)
      Prompt.AffinityPrefix = Prompt.Text;
    UserSeen = UserSeen || Role == "user";
  }
  return Prompt;
}

std::variant<PromptText, Refusal> readPrompt(const Json &Object) {
  const auto Found = Object.find("prompt");
  if (Found == Object.end() || !Found->is_string())
    return badField("'prompt' must be a string");
  PromptText Prompt;
  Prompt.Text = Found->get<std::string>();
  Prompt.AffinityPrefix = Prompt.Text.substr(0, AffinityPrefixBytes);
  const std::string Rest = Prompt.Text.substr(Prompt.AffinityPrefix.size());
  Prompt.Parts = {Common::hashBytes(Prompt.AffinityPrefix),
                  Common::hashBytes(Rest)};
  return Prompt;
}

Routing::DispatchRequest
buildWorkRequest(const ModelRequest &Request, const PromptText &Prompt,
                 const CallerContext &Caller,
                 const Configuration::Declaration &Declared) {
  Routing::DispatchRequest Work;
  Work.Caller = Caller.Caller;
  Work.CallerWeight = Caller.Weight;
  Work.Priority = Caller.Priority;
  Work.Target = Declared.target(Request.Service, Caller.Priority);
  Work.Fingerprint =
      Common::hashBytes(Request.Service.str() + "\n" + Request.Body);
  Work.Blocks = Routing::hashPrefixBlocks(Prompt.Text);
  // The last part belongs to this request only.
  Work.Parts =
      Common::makeCauseSet({Prompt.Parts.begin(), Prompt.Parts.end() - 1});
  // The lowest bit is set because 0 means no affinity.
  Work.AffinityKey = Common::hashBytes(Prompt.AffinityPrefix) | 1;
  Work.PromptTokens = Routing::estimateTokens(Prompt.Text.size());
  Work.Resumable = true;
  return Work;
}

/// The text that one choice of a stream event adds to the answer.
std::string deltaText(ModelApi Api, const Json &Choice) {
  if (Api == ModelApi::Completions)
    return Choice.contains("text") && Choice["text"].is_string()
               ? Choice["text"].get<std::string>()
               : "";
  if (!Choice.contains("delta") || !Choice["delta"].is_object())
    return "";
  const Json &Delta = Choice["delta"];
  return Delta.contains("content") && Delta["content"].is_string()
             ? Delta["content"].get<std::string>()
             : "";
}

} // namespace

const char *modelApiPath(ModelApi Api) {
  return Api == ModelApi::ChatCompletions ? "/v1/chat/completions"
                                          : "/v1/completions";
}

std::variant<ModelRequest, Refusal>
parseModelRequest(ModelApi Api, const std::string &Body,
                  const CallerContext &Caller,
                  const Configuration::Declaration &Declared) {
  const Json Object = Json::parse(Body, nullptr, false);
  if (!Object.is_object())
    return Refusal{RefusalReason::BadJson, ""};
  const auto Model = Object.find("model");
  if (Model == Object.end() || !Model->is_string())
    return badField("'model' must be a string");
  ModelRequest Request;
  Request.Api = Api;
  Request.Model = Model->get<std::string>();
  const auto Service = Declared.findServiceForModel(Request.Model);
  if (!Service)
    return Refusal{RefusalReason::UnknownModel,
                   "no model '" + Request.Model + "'"};
  Request.Service = *Service;
  Request.Body = Body;
  if (Object.contains("stream")) {
    if (!Object["stream"].is_boolean())
      return badField("'stream' must be true or false");
    Request.Stream = Object["stream"].get<bool>();
  }
  if (Object.contains("n") && Object["n"] != 1)
    return badField("'n' must be 1; send several requests");
  std::uint64_t ExpectedTokens = DefaultExpectedTokens;
  for (const char *Field : {"max_tokens", "max_completion_tokens"}) {
    if (!Object.contains(Field))
      continue;
    if (!Object[Field].is_number_unsigned() || Object[Field] < 1 ||
        Object[Field] > MaxTokens)
      return badField(std::string("'") + Field + "' must be from 1 to " +
                      std::to_string(MaxTokens));
    ExpectedTokens = Object[Field].get<std::uint64_t>();
  }
  const auto Prompt = Api == ModelApi::ChatCompletions ? readMessages(Object)
                                                       : readPrompt(Object);
  if (const auto *Error = std::get_if<Refusal>(&Prompt))
    return *Error;
  Request.Work =
      buildWorkRequest(Request, std::get<PromptText>(Prompt), Caller, Declared);
  Request.Work.ExpectedTokens = ExpectedTokens;
  return Request;
}

std::string buildEngineBody(const ModelRequest &Request,
                            const PartialAnswer &Received) {
  Json Object = Json::parse(Request.Body);
  Object["stream"] = true;
  if (Received.Tokens > 0)
    Object["resume"] = {{"text", Received.Text}, {"tokens", Received.Tokens}};
  return Object.dump();
}

std::string processEvent(const ModelRequest &Request, const std::string &Data,
                         bool Resumed, PartialAnswer &Received) {
  if (Data == "[DONE]") {
    Received.Complete = true;
    return Data;
  }
  Json Event = Json::parse(Data, nullptr, false);
  if (!Event.is_object())
    return "";
  if (Received.Id.empty() && Event.contains("id") && Event["id"].is_string())
    Received.Id = Event["id"].get<std::string>();
  const auto Usage = Event.find("usage");
  if (Usage != Event.end() && Usage->is_object())
    Received.PromptTokens =
        Usage->value("prompt_tokens", Received.PromptTokens);
  const auto Choices = Event.find("choices");
  if (Choices != Event.end() && Choices->is_array() && !Choices->empty()) {
    const Json &Choice = Choices->front();
    const std::string Text = deltaText(Request.Api, Choice);
    if (!Text.empty()) {
      Received.Text += Text;
      ++Received.Tokens;
    }
    if (Choice.contains("finish_reason") && Choice["finish_reason"].is_string())
      Received.FinishReason = Choice["finish_reason"].get<std::string>();
  }
  if (!Resumed)
    return Data;
  // The caller sees one answer, so its id stays that of the first stream.
  Event["id"] = Received.Id;
  return Event.dump();
}

std::string buildAnswer(const ModelRequest &Request,
                        const PartialAnswer &Received) {
  const bool Chat = Request.Api == ModelApi::ChatCompletions;
  Json Choice;
  Choice["index"] = 0;
  Choice["finish_reason"] =
      Received.FinishReason.empty() ? "stop" : Received.FinishReason;
  if (Chat)
    Choice["message"] = {{"role", "assistant"}, {"content", Received.Text}};
  else
    Choice["text"] = Received.Text;
  const std::uint64_t Prompt = Received.PromptTokens != 0
                                   ? Received.PromptTokens
                                   : Request.Work.PromptTokens;
  Json Answer;
  Answer["id"] = Received.Id;
  Answer["object"] = Chat ? "chat.completion" : "text_completion";
  Answer["created"] = std::time(nullptr);
  Answer["model"] = Request.Model;
  Answer["choices"] = Json::array({Choice});
  Answer["usage"] = {{"prompt_tokens", Prompt},
                     {"completion_tokens", Received.Tokens},
                     {"total_tokens", Prompt + Received.Tokens}};
  return Answer.dump();
}

} // namespace EntryDaemon
