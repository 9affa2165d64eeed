#ifndef SYCAMOREREACH_ENTRYDAEMON_MODELREQUEST_H
#define SYCAMOREREACH_ENTRYDAEMON_MODELREQUEST_H

#include "Common/Refusal.h"
#include "Configuration/Declaration.h"
#include "EntryDaemon/CallerGate.h"
#include "Routing/Dispatcher.h"

#include <string>
#include <variant>

namespace EntryDaemon {

/// The OpenAI-compatible calls.
enum class ModelApi { ChatCompletions, Completions };

/// The URL path of the call.
const char *modelApiPath(ModelApi Api);

/// A validated request to a model.
struct ModelRequest {
  ModelApi Api = ModelApi::ChatCompletions;
  Common::ServiceName Service;
  /// The model name as given by the caller.
  std::string Model;
  bool Stream = false;
  /// The JSON object sent by the caller.
  std::string Body;
  Routing::DispatchRequest Work;
};

/// Parses and validates the body of a call. Returns a refusal if a field is
/// missing or invalid, or the model is unknown.
std::variant<ModelRequest, Common::Refusal>
parseModelRequest(ModelApi Api, const std::string &Body,
                  const CallerContext &Caller,
                  const Configuration::Declaration &Declared);

/// The part of an answer received so far; kept so that a broken or preempted
/// stream can be resumed at another server.
struct PartialAnswer {
  std::string Text;
  std::uint64_t Tokens = 0;
  std::uint64_t PromptTokens = 0;
  std::string Id;
  std::string FinishReason;
  bool Complete = false;
};

/// Builds the request body for a model engine. It always asks for a stream, and
/// has a 'resume' member if a part of the answer was already received.
std::string buildEngineBody(const ModelRequest &Request,
                            const PartialAnswer &Received);

/// Adds one event of the engine's stream to Received. Returns the event for the
/// caller; empty if there is nothing to forward.
std::string processEvent(const ModelRequest &Request, const std::string &Data,
                         bool Resumed, PartialAnswer &Received);

/// Builds the complete answer for a caller that did not request a stream.
std::string buildAnswer(const ModelRequest &Request,
                        const PartialAnswer &Received);

} // namespace EntryDaemon

#endif
