#ifndef SYCAMOREREACH_OPERATOR_OPERATORENDPOINT_H
#define SYCAMOREREACH_OPERATOR_OPERATORENDPOINT_H

#include "Network/HttpServer.h"
#include "Operator/Statement.h"
#include "Operator/Table.h"
#include "State/StateClient.h"
#include "Telemetry/Metrics.h"

#include <functional>
#include <memory>

namespace Operator {

/// POST /v1/operator: one statement in the body; the answer is a table or a
/// sentence, as text or, with 'Accept: application/json', as JSON.
class OperatorEndpoint {
public:
  /// A daemon's own view; nothing when it does not have it.
  using ViewSource = std::function<std::optional<Table>(View)>;

  OperatorEndpoint(std::string Token, State::StateClient &Client,
                   Telemetry::Metrics &Metrics, ViewSource Source)
      : Token(std::move(Token)), Client(Client), Metrics(Metrics),
        Source(std::move(Source)) {}

  void handle(const std::shared_ptr<Network::HttpExchange> &Exchange);
  /// Whether the request carries the operators' token.
  bool isAuthorized(const Network::HttpRequest &Request) const;

private:
  using ExchangePtr = std::shared_ptr<Network::HttpExchange>;

  void run(const ExchangePtr &Exchange, const ShowStatement &Show);
  void run(const ExchangePtr &Exchange, const ChangeStatement &Change);
  void run(const ExchangePtr &Exchange, const ReplicaStatement &Change);
  void run(const ExchangePtr &Exchange, const HelpStatement &);
  void replyTable(const ExchangePtr &Exchange, const ShowStatement &Show,
                  const Table &Whole);
  void replyText(const ExchangePtr &Exchange, const std::string &Text);
  void replyChange(const ExchangePtr &Exchange,
                   const Configuration::ChangeOutcome &Outcome);
  void refuse(const ExchangePtr &Exchange, Common::RefusalReason Reason,
              const std::string &Particulars);

  std::string Token;
  State::StateClient &Client;
  Telemetry::Metrics &Metrics;
  ViewSource Source;
};

/// Tables of what all daemons know.
Table priorityTable(const Configuration::Declaration &Declared);
Table callerTable(const Configuration::Declaration &Declared);
Table configurationTable(const Configuration::Declaration &Declared);
Table refusalTable(const Telemetry::Metrics &Metrics);
Table retryTable(const Telemetry::Metrics &Metrics);
Table latencyTable(const Telemetry::Metrics &Metrics);

} // namespace Operator

#endif
