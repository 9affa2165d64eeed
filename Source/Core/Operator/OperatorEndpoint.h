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

/// Handles POST /v1/operator. The request body is one statement. The response
/// is a table or a message, as text or, with 'Accept: application/json', as
/// JSON.
class OperatorEndpoint {
public:
  /// Returns a view of this daemon, or nothing when the daemon does not have
  /// it.
  using ViewProvider = std::function<std::optional<Table>(View)>;

  OperatorEndpoint(std::string Token, State::StateClient &Client,
                   Telemetry::Metrics &Metrics, ViewProvider Views)
      : Token(std::move(Token)), Client(Client), Metrics(Metrics),
        Views(std::move(Views)) {}

  void handle(const std::shared_ptr<Network::HttpExchange> &Exchange);
  /// Whether the request carries the operators' token as its bearer token.
  bool isAuthorized(const Network::HttpRequest &Request) const;

private:
  using ExchangePtr = std::shared_ptr<Network::HttpExchange>;

  void execute(const ExchangePtr &Exchange, const ShowStatement &Statement);
  void execute(const ExchangePtr &Exchange, const ChangeStatement &Statement);
  void execute(const ExchangePtr &Exchange, const ReplicaStatement &Statement);
  void execute(const ExchangePtr &Exchange, const HelpStatement &);
  void replyTable(const ExchangePtr &Exchange, const ShowStatement &Statement,
                  const Table &View);
  void replyText(const ExchangePtr &Exchange, const std::string &Text);
  void replyChange(const ExchangePtr &Exchange,
                   const Configuration::ChangeResult &Outcome);
  /// Counts the refusal and replies with it.
  void refuse(const ExchangePtr &Exchange, Common::RefusalReason Reason,
              const std::string &Particulars);

  std::string Token;
  State::StateClient &Client;
  Telemetry::Metrics &Metrics;
  ViewProvider Views;
};

/// Tables that every kind of daemon can provide.
Table priorityTable(const Configuration::Declaration &Declaration);
Table callerTable(const Configuration::Declaration &Declaration);
Table configurationTable(const Configuration::Declaration &Declaration);
Table refusalTable(const Telemetry::Metrics &Metrics);
Table retryTable(const Telemetry::Metrics &Metrics);
Table latencyTable(const Telemetry::Metrics &Metrics);

} // namespace Operator

#endif
