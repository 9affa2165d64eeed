#include "Operator/OperatorEndpoint.h"

#include "Common/Hash.h"
#include "Configuration/FieldValue.h"
#include "Network/Problem.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <nlohmann/json.hpp>

namespace Operator {

namespace {

using Common::RefusalReason;

constexpr Common::Duration StateRequestTimeout = std::chrono::seconds(4);

bool wantsJson(const Network::HttpExchange &Exchange) {
  const auto Accept = Network::findHeader(Exchange.request().Headers, "Accept");
  return Accept && absl::StrContains(*Accept, "application/json");
}

/// Returns the caller's command id, or a new one when the request has none.
Common::CommandId commandIdOf(const Network::HttpExchange &Exchange) {
  const auto Value =
      Network::findHeader(Exchange.request().Headers, "Command-Id");
  return Common::CommandId(Value ? *Value : Common::randomHexId());
}

Table replicaTable(const State::ReplicasResponse &Response) {
  Table Result({"replica", "address", "datacentre", "role"});
  for (const Consensus::Member &Member : Response.Group.members()) {
    const char *Role =
        Member.Role == Consensus::Role::Voter ? "voter" : "learner";
    const bool IsLeader = Member.Id == Response.Leader;
    Result.add({Member.Id.str(), Member.Address.str(), Member.DataCentre.str(),
                IsLeader ? "leader" : Role});
  }
  return Result;
}

Table leaseTable(const State::LeasesResponse &Response) {
  Table Result({"lease", "holder", "fencing", "duration"});
  for (const auto &[Name, Lease] : Response.Leases)
    Result.add({Name.str(), Lease.Holder.str(),
                absl::StrCat(Lease.Fencing.Value),
                absl::StrCat(Lease.DurationMilliseconds, " ms")});
  return Result;
}

} // namespace

bool OperatorEndpoint::isAuthorized(const Network::HttpRequest &Request) const {
  const auto Value = Network::bearerToken(Request.Headers);
  return Value && Common::equalInConstantTime(*Value, this->Token);
}

void OperatorEndpoint::handle(const ExchangePtr &Exchange) {
  // A statement that was sent on to the leader may have been executed.
  Exchange->onInterrupted([this, Raw = Exchange.get()] {
    this->refuse(Raw->shared_from_this(), RefusalReason::NoLeader, "");
  });
  if (Exchange->request().Method != Network::HttpMethod::Post) {
    this->refuse(Exchange, RefusalReason::MethodNotAllowed,
                 "/v1/operator takes POST");
    return;
  }
  if (!this->isAuthorized(Exchange->request())) {
    this->refuse(Exchange, RefusalReason::WrongOperatorToken, "");
    return;
  }
  const auto Parsed = parseStatement(Exchange->request().Body);
  if (!Parsed.ok()) {
    this->refuse(Exchange, RefusalReason::BadStatement,
                 std::string(Parsed.status().message()));
    return;
  }
  std::visit([&](const auto &Statement) { this->execute(Exchange, Statement); },
             *Parsed);
}

void OperatorEndpoint::refuse(const ExchangePtr &Exchange, RefusalReason Reason,
                              const std::string &Particulars) {
  this->Metrics.recordRefusal(Reason);
  Exchange->reply(Network::problemResponse({Reason, Particulars}));
}

void OperatorEndpoint::execute(const ExchangePtr &Exchange,
                               const HelpStatement &) {
  this->replyText(Exchange, helpText());
}

void OperatorEndpoint::execute(const ExchangePtr &Exchange,
                               const ShowStatement &Statement) {
  const bool IsStateView = Statement.ShownView == View::Replicas ||
                           Statement.ShownView == View::Leases;
  if (!IsStateView) {
    const auto LocalView = this->Views(Statement.ShownView);
    if (LocalView)
      this->replyTable(Exchange, Statement, *LocalView);
    else
      this->refuse(Exchange, RefusalReason::BadStatement,
                   absl::StrCat("this daemon does not know ",
                                viewName(Statement.ShownView),
                                "; ask an entry "
                                "daemon"));
    return;
  }
  State::RequestBody Request = State::FetchLeases{};
  if (Statement.ShownView == View::Replicas)
    Request = State::FetchReplicas{};
  this->Client.sendToLeader(
      Request, StateRequestTimeout,
      [this, Exchange, Statement](State::RequestResult Result) {
        const auto *Response = std::get_if<State::ResponseBody>(&Result);
        const auto *Replicas =
            Response ? std::get_if<State::ReplicasResponse>(Response) : nullptr;
        const auto *Leases =
            Response ? std::get_if<State::LeasesResponse>(Response) : nullptr;
        if (Replicas)
          this->replyTable(Exchange, Statement, replicaTable(*Replicas));
        else if (Leases)
          this->replyTable(Exchange, Statement, leaseTable(*Leases));
        else
          this->refuse(Exchange, RefusalReason::NoLeader, "");
      });
}

void OperatorEndpoint::execute(const ExchangePtr &Exchange,
                               const ChangeStatement &Statement) {
  Configuration::ChangeCommand Command;
  Command.Id = commandIdOf(*Exchange);
  Command.ExpectedVersion = Statement.ExpectedVersion;
  Command.RequestedChange = Statement.RequestedChange;
  this->Client.sendToLeader(
      State::CommandBody(Command), StateRequestTimeout,
      [this, Exchange](State::RequestResult Result) {
        const auto *Response = std::get_if<State::ResponseBody>(&Result);
        const auto *CommandResult =
            Response ? std::get_if<State::CommandResult>(Response) : nullptr;
        const auto *Outcome =
            CommandResult
                ? std::get_if<Configuration::ChangeResult>(CommandResult)
                : nullptr;
        if (Outcome)
          this->replyChange(Exchange, *Outcome);
        else
          this->refuse(Exchange, RefusalReason::NoLeader, "");
      });
}

void OperatorEndpoint::execute(const ExchangePtr &Exchange,
                               const ReplicaStatement &Statement) {
  this->Client.sendToLeader(
      Statement.RequestedChange, StateRequestTimeout,
      [this, Exchange](State::RequestResult Result) {
        const auto *Response = std::get_if<State::ResponseBody>(&Result);
        const auto *Changed =
            Response ? std::get_if<State::ChangeReplicasResponse>(Response)
                     : nullptr;
        if (!Changed)
          this->refuse(Exchange, RefusalReason::NoLeader, "");
        else if (!Changed->Done)
          this->refuse(Exchange, RefusalReason::ChangeRefused, Changed->Detail);
        else
          this->replyText(Exchange, "done\n");
      });
}

void OperatorEndpoint::replyChange(const ExchangePtr &Exchange,
                                   const Configuration::ChangeResult &Outcome) {
  if (Outcome.Status == Configuration::ChangeStatus::VersionConflict) {
    this->refuse(Exchange, RefusalReason::VersionConflict, Outcome.Detail);
    return;
  }
  if (Outcome.Status == Configuration::ChangeStatus::Refused) {
    this->refuse(Exchange, RefusalReason::ChangeRefused, Outcome.Detail);
    return;
  }
  this->replyText(Exchange, absl::StrCat("accepted as version ",
                                         Outcome.Version.Value, "\n"));
}

void OperatorEndpoint::replyText(const ExchangePtr &Exchange,
                                 const std::string &Text) {
  Network::HttpResponse Response;
  Response.Status = 200;
  if (wantsJson(*Exchange)) {
    Response.Headers.push_back({"Content-Type", "application/json"});
    Response.Body = nlohmann::json{{"message", Text}}.dump() + "\n";
  } else {
    Response.Headers.push_back({"Content-Type", "text/plain"});
    Response.Body = Text;
  }
  Exchange->reply(Response);
}

void OperatorEndpoint::replyTable(const ExchangePtr &Exchange,
                                  const ShowStatement &Statement,
                                  const Table &View) {
  const auto RefuseMissingColumn = [&](const std::string &Column) {
    if (View.findColumn(Column) < View.columns().size())
      return false;
    this->refuse(Exchange, RefusalReason::BadStatement,
                 absl::StrCat(viewName(Statement.ShownView), " has no column '",
                              Column, "'; it has ",
                              absl::StrJoin(View.columns(), ", ")));
    return true;
  };
  Table Result = View;
  if (Statement.Filter) {
    if (RefuseMissingColumn(Statement.Filter->Column))
      return;
    Result = Result.filter(Statement.Filter->Column, Statement.Filter->Value);
  }
  if (Statement.GroupBy) {
    if (RefuseMissingColumn(*Statement.GroupBy))
      return;
    Result = Result.groupBy(*Statement.GroupBy);
  }
  Network::HttpResponse Response;
  Response.Status = 200;
  if (!wantsJson(*Exchange)) {
    Response.Headers.push_back({"Content-Type", "text/plain"});
    Response.Body = Result.format();
    Exchange->reply(Response);
    return;
  }
  nlohmann::ordered_json Rows = nlohmann::ordered_json::array();
  for (const auto &Row : Result.rows()) {
    nlohmann::ordered_json Object;
    for (std::size_t I = 0; I < Result.columns().size(); ++I)
      Object[Result.columns()[I]] = Row[I];
    Rows.push_back(Object);
  }
  Response.Headers.push_back({"Content-Type", "application/json"});
  Response.Body = Rows.dump() + "\n";
  Exchange->reply(Response);
}

Table priorityTable(const Configuration::Declaration &Declaration) {
  Table Result({"priority", "rank", "target", "floor", "worth"});
  for (const auto &[Name, Priority] : Declaration.priorities())
    Result.add({Name.str(), absl::StrCat(Priority.Rank),
                Configuration::formatDuration(Priority.Target.duration()),
                formatNumber(Priority.Floor * 100) + " %",
                formatNumber(Priority.DeficitWeight)});
  return Result;
}

Table callerTable(const Configuration::Declaration &Declaration) {
  constexpr std::size_t DisplayedHashDigits = 12;
  Table Result({"caller", "priority", "weight", "keyhash"});
  for (const auto &[Name, Caller] : Declaration.callers())
    Result.add({Name.str(), Caller.Priority.str(), formatNumber(Caller.Weight),
                Caller.KeyHash.substr(0, DisplayedHashDigits)});
  return Result;
}

Table configurationTable(const Configuration::Declaration &Declaration) {
  Table Result({"setting", "value"});
  Result.add({"version", absl::StrCat(Declaration.version().Value)});
  Result.add({"services", absl::StrCat(Declaration.services().size())});
  Result.add({"priorities", absl::StrCat(Declaration.priorities().size())});
  Result.add({"callers", absl::StrCat(Declaration.callers().size())});
  Result.add(
      {"drained hosts", absl::StrCat(Declaration.drainedHosts().size())});
  Result.add(
      {"budget per hour", Declaration.budgetPerHour()
                              ? formatNumber(*Declaration.budgetPerHour())
                              : "none"});
  return Result;
}

Table refusalTable(const Telemetry::Metrics &Metrics) {
  Table Result({"reason", "count", "outcome", "remedy"});
  for (std::size_t I = 0; I < Common::RefusalReasonCount; ++I) {
    const auto Reason = static_cast<RefusalReason>(I);
    if (Metrics.refusalCount(Reason) == 0)
      continue;
    const auto &Info = Common::refusalInfo(Reason);
    Result.add({Info.Name, absl::StrCat(Metrics.refusalCount(Reason)),
                Common::outcomeName(Info.Outcome), Info.Remedy});
  }
  return Result;
}

Table retryTable(const Telemetry::Metrics &Metrics) {
  Table Result({"reason", "count"});
  for (std::size_t I = 0; I < Common::RetryReasonCount; ++I) {
    const auto Reason = static_cast<Common::RetryReason>(I);
    Result.add({Common::retryReasonName(Reason),
                absl::StrCat(Metrics.retryCount(Reason))});
  }
  return Result;
}

Table latencyTable(const Telemetry::Metrics &Metrics) {
  constexpr double MillisecondsPerSecond = 1000;
  Table Result({"latency", "count", "p50 ms", "p95 ms", "p99 ms"});
  for (const auto &[Name, Summary] : Metrics.summaries())
    Result.add({Name, absl::StrCat(Summary.count()),
                formatNumber(Summary.median() * MillisecondsPerSecond),
                formatNumber(Summary.p95() * MillisecondsPerSecond),
                formatNumber(Summary.p99() * MillisecondsPerSecond)});
  return Result;
}

} // namespace Operator
