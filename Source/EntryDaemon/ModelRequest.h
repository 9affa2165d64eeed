#ifndef SYCAMOREREACH_ENTRYDAEMON_MODELREQUEST_H
#define SYCAMOREREACH_ENTRYDAEMON_MODELREQUEST_H

#include "Common/Refusal.h"
#include "Configuration/Declaration.h"
#include "EntryDaemon/CallerGate.h"
#include "Routing/Dispatcher.h"

#include <string>
#include <variant>

namespace EntryDaemon {

/// The two OpenAI-style calls.
enum class ModelApi { ChatCompletions, Completions };

const char *modelApiPath(ModelApi Api);

/// A checked request for a model.
struct ModelRequest {
  ModelApi Api = ModelApi::ChatCompletions;
  Common::ServiceName Service;
  /// The model's name as the caller wrote it.
  std::string Model;
  bool Stream = false;
  /// The caller's JSON object.
  std::string Body;
  Routing::DispatchRequest Work;
};

/// Reads and checks the body of a call.
std::variant<ModelRequest, Common::Refusal>
parseModelRequest(ModelApi Api, const std::string &Body,
                  const CallerContext &Caller,
                  const Configuration::Declaration &Declared);

/// What was received of an answer; kept so that a broken or preempted stream
/// can go on elsewhere.
struct PartialAnswer {
  std::string Text;
  std::uint64_t Tokens = 0;
  std::uint64_t PromptTokens = 0;
  std::string Id;
  std::string FinishReason;
  bool Complete = false;
};

/// The body for a model engine: always streamed; with a 'resume' member when
/// a part of the answer is already there.
std::string engineBody(const ModelRequest &Request,
                       const PartialAnswer &Received);

/// Takes one event of the engine's stream in. Returns the event for the
/// caller; empty when there is nothing to pass on.
std::string takeEvent(const ModelRequest &Request, const std::string &Data,
                      bool Resumed, PartialAnswer &Received);

/// The whole answer for a caller that did not ask for a stream.
std::string wholeAnswer(const ModelRequest &Request,
                        const PartialAnswer &Received);

} // namespace EntryDaemon

#endif
