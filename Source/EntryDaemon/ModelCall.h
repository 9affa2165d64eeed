#ifndef SYCAMOREREACH_ENTRYDAEMON_MODELCALL_H
#define SYCAMOREREACH_ENTRYDAEMON_MODELCALL_H

#include "EntryDaemon/EntryContext.h"
#include "EntryDaemon/ModelRequest.h"
#include "EntryDaemon/ServiceDispatchers.h"
#include "Network/EventStream.h"
#include "Network/HttpServer.h"

#include <memory>
#include <optional>

namespace EntryDaemon {

/// A model request, from admission to the last token. If the stream breaks, it
/// is resumed at another server after the last token received.
class ModelCall : public std::enable_shared_from_this<ModelCall> {
public:
  /// Starts the request. The exchange always gets an answer.
  static void start(EntryContext &Context, ServiceDispatchers &Dispatchers,
                    const std::shared_ptr<Network::HttpExchange> &Exchange,
                    ModelRequest Request);

private:
  using ExchangePtr = std::shared_ptr<Network::HttpExchange>;

  ModelCall(EntryContext &Context, ServiceDispatchers &Dispatchers,
            ExchangePtr Exchange, ModelRequest Request);
  void admit();
  void send(const Common::BackendServerId &Server);
  void answerStarted(const Network::HttpResponse &Head);
  void receiveChunk(const std::string &Bytes);
  void attemptEnded(Network::HttpCallResult Result,
                    const Network::HttpResponse &Answer);
  void forwardEvent(const std::string &Event);
  void complete();
  void refuse(Common::RefusalReason Reason, const std::string &Detail);
  /// Answers the request at once, as the daemon stops.
  void interrupt();
  void stop();
  /// Cancels the attempt and leaves the dispatcher.
  void withdraw();

  EntryContext &Context;
  ServiceDispatchers &Dispatchers;
  ExchangePtr Exchange;
  ModelRequest Request;
  Common::TimePoint ArrivedAt;
  std::optional<Network::HttpAttempt> Attempt;
  Common::BackendServerId Server;
  Network::EventStreamReader Reader;
  PartialAnswer Received;
  /// HTTP status of the current attempt; 0 until the answer starts.
  int Status = 0;
  std::string ErrorBody;
  /// Whether an attempt that ended may have run the request.
  bool MayHaveRun = false;
  bool Resumed = false;
  bool Finished = false;
};

} // namespace EntryDaemon

#endif
