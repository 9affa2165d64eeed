#ifndef SYCAMOREREACH_ENTRYDAEMON_MODELCALL_H
#define SYCAMOREREACH_ENTRYDAEMON_MODELCALL_H

#include "EntryDaemon/EntryContext.h"
#include "EntryDaemon/Lanes.h"
#include "EntryDaemon/ModelRequest.h"
#include "Network/EventStream.h"
#include "Network/HttpServer.h"

#include <memory>
#include <optional>

namespace EntryDaemon {

/// One model request from admission to the last token. A stream that breaks
/// goes on at another server from the last token that arrived.
class ModelCall : public std::enable_shared_from_this<ModelCall> {
public:
  /// Answers the exchange in any case.
  static void start(EntryContext &Context, Lanes &Services,
                    const std::shared_ptr<Network::HttpExchange> &Exchange,
                    ModelRequest Request);

private:
  using ExchangePtr = std::shared_ptr<Network::HttpExchange>;

  ModelCall(EntryContext &Context, Lanes &Services, ExchangePtr Exchange,
            ModelRequest Request);
  void admit();
  void send(const Common::BackendServerId &Server);
  void answerStarts(const Network::HttpResponse &Head);
  void receive(const std::string &Bytes);
  void attemptEnds(Network::HttpCallResult Result,
                   const Network::HttpResponse &Answer);
  void passOn(const std::string &Event);
  void complete();
  void refuse(Common::RefusalReason Reason, const std::string &Particulars);
  void stop();

  EntryContext &Context;
  Lanes &Services;
  ExchangePtr Exchange;
  ModelRequest Request;
  Common::TimePoint ArrivedAt;
  std::optional<Network::HttpAttempt> Attempt;
  Common::BackendServerId Server;
  Network::EventStreamReader Reader;
  PartialAnswer Received;
  /// Status of the attempt's answer; 0 before it starts.
  int Status = 0;
  std::string ErrorBody;
  bool Resumed = false;
  bool Ended = false;
};

} // namespace EntryDaemon

#endif
