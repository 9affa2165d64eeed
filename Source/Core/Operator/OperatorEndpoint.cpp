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

constexpr Common::Duration AskLimit = std::chrono::seconds(4);

bool wantsJson(const Network::HttpExchange &Exchange) {
  const auto Accept = Network::findHeader(Exchange.request().Headers, "Accept");
  return Accept && absl::StrContains(*Accept, "application/json");
}

Common::CommandId commandIdOf(const Network::HttpExchange &Exchange) {
  const auto Given =
      Network::findHeader(Exchange.request().Headers, "Command-Id");
  return Common::CommandId(Given ? *Given : Common::randomIdentity());
}

Table replicaTable(const State::ReplicasAnswer &Answer) {
  Table Result({"replica", "address", "datacentre", "role"});
  for (const Consensus::Member &Each : Answer.Group.members()) {
    const char *Role =
        Each.Role == Consensus::Role::Voter ? "voter" : "learner";
    const bool Leads = Each.Id == Answer.Leader;
    Result.add({Each.Id.str(), Each.Address.str(), Each.DataCentre.str(),
                Leads ? "leader" : Role});
  }
  return Result;
}

Table leaseTable(const State::LeasesAnswer &Answer) {
  Table Result({"lease", "holder", "fencing", "duration"});
  for (const auto &[Name, Lease] : Answer.Leases)
    Result.add({Name.str(), Lease.Holder.str(),
                absl::StrCat(Lease.Fencing.Value),
                absl::StrCat(Lease.DurationMilliseconds, " ms")});
  return Result;
}

} // namespace

bool OperatorEndpoint::isAuthorized(const Network::HttpRequest &Request) const {
  const auto Given = Network::bearerToken(Request.Headers);
  return Given && Common::equalInConstantTime(*Given, this->Token);
}

void OperatorEndpoint::handle(const ExchangePtr &Exchange) {
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
  std::visit([&](const auto &Each) { this->run(Exchange, Each); }, *Parsed);
}

void OperatorEndpoint::refuse(const ExchangePtr &Exchange, RefusalReason Reason,
                              const std::string &Particulars) {
  this->Metrics.recordRefusal(Reason);
  Exchange->reply(Network::problemAnswer({Reason, Particulars}));
}

void OperatorEndpoint::run(const ExchangePtr &Exchange, const HelpStatement &) {
  this->replyText(Exchange, helpText());
}

void OperatorEndpoint::run(const ExchangePtr &Exchange,
                           const ShowStatement &Show) {
  const bool FromState =
      Show.Shown == View::Replicas || Show.Shown == View::Leases;
  if (!FromState) {
    const auto Own = this->Source(Show.Shown);
    if (Own)
      this->replyTable(Exchange, Show, *Own);
    else
      this->refuse(Exchange, RefusalReason::BadStatement,
                   absl::StrCat("this daemon does not know ",
                                viewName(Show.Shown),
                                "; ask an entry "
                                "daemon"));
    return;
  }
  State::QuestionBody Question = State::FetchLeases{};
  if (Show.Shown == View::Replicas)
    Question = State::FetchReplicas{};
  this->Client.ask(
      Question, AskLimit, [this, Exchange, Show](State::AskResult Result) {
        const auto *Answer = std::get_if<State::AnswerBody>(&Result);
        const auto *Group =
            Answer ? std::get_if<State::ReplicasAnswer>(Answer) : nullptr;
        const auto *Leases =
            Answer ? std::get_if<State::LeasesAnswer>(Answer) : nullptr;
        if (Group)
          this->replyTable(Exchange, Show, replicaTable(*Group));
        else if (Leases)
          this->replyTable(Exchange, Show, leaseTable(*Leases));
        else
          this->refuse(Exchange, RefusalReason::NoLeader, "");
      });
}

void OperatorEndpoint::run(const ExchangePtr &Exchange,
                           const ChangeStatement &Change) {
  Configuration::ChangeCommand Command;
  Command.Id = commandIdOf(*Exchange);
  Command.Expected = Change.At;
  Command.Wanted = Change.Wanted;
  this->Client.ask(
      State::CommandBody(Command), AskLimit,
      [this, Exchange](State::AskResult Result) {
        const auto *Answer = std::get_if<State::AnswerBody>(&Result);
        const auto *Reply =
            Answer ? std::get_if<State::CommandResult>(Answer) : nullptr;
        const auto *Outcome =
            Reply ? std::get_if<Configuration::ChangeOutcome>(Reply) : nullptr;
        if (Outcome)
          this->replyChange(Exchange, *Outcome);
        else
          this->refuse(Exchange, RefusalReason::NoLeader, "");
      });
}

void OperatorEndpoint::run(const ExchangePtr &Exchange,
                           const ReplicaStatement &Change) {
  this->Client.ask(
      Change.Wanted, AskLimit, [this, Exchange](State::AskResult Result) {
        const auto *Answer = std::get_if<State::AnswerBody>(&Result);
        const auto *Changed =
            Answer ? std::get_if<State::ReplicasChanged>(Answer) : nullptr;
        if (!Changed)
          this->refuse(Exchange, RefusalReason::NoLeader, "");
        else if (!Changed->Done)
          this->refuse(Exchange, RefusalReason::ChangeRefused, Changed->Detail);
        else
          this->replyText(Exchange, "done\n");
      });
}

void OperatorEndpoint::replyChange(
    const ExchangePtr &Exchange, const Configuration::ChangeOutcome &Outcome) {
  if (Outcome.Verdict == Configuration::ChangeVerdict::VersionConflict) {
    this->refuse(Exchange, RefusalReason::VersionConflict, Outcome.Detail);
    return;
  }
  if (Outcome.Verdict == Configuration::ChangeVerdict::Refused) {
    this->refuse(Exchange, RefusalReason::ChangeRefused, Outcome.Detail);
    return;
  }
  this->replyText(Exchange, absl::StrCat("accepted as version ",
                                         Outcome.Version.Value, "\n"));
}

void OperatorEndpoint::replyText(const ExchangePtr &Exchange,
                                 const std::string &Text) {
  Network::HttpAnswer Answer;
  Answer.Status = 200;
  if (wantsJson(*Exchange)) {
    Answer.Headers.push_back({"Content-Type", "application/json"});
    Answer.Body = nlohmann::json{{"message", Text}}.dump() + "\n";
  } else {
    Answer.Headers.push_back({"Content-Type", "text/plain"});
    Answer.Body = Text;
  }
  Exchange->reply(Answer);
}

void OperatorEndpoint::replyTable(const ExchangePtr &Exchange,
                                  const ShowStatement &Show,
                                  const Table &Whole) {
  const auto Missing = [&](const std::string &Column) {
    if (Whole.find(Column) < Whole.columns().size())
      return false;
    this->refuse(Exchange, RefusalReason::BadStatement,
                 absl::StrCat(viewName(Show.Shown), " has no column '", Column,
                              "'; it has ",
                              absl::StrJoin(Whole.columns(), ", ")));
    return true;
  };
  Table Result = Whole;
  if (Show.Where) {
    if (Missing(Show.Where->Column))
      return;
    Result = Result.where(Show.Where->Column, Show.Where->Value);
  }
  if (Show.By) {
    if (Missing(*Show.By))
      return;
    Result = Result.by(*Show.By);
  }
  Network::HttpAnswer Answer;
  Answer.Status = 200;
  if (!wantsJson(*Exchange)) {
    Answer.Headers.push_back({"Content-Type", "text/plain"});
    Answer.Body = Result.text();
    Exchange->reply(Answer);
    return;
  }
  nlohmann::ordered_json Rows = nlohmann::ordered_json::array();
  for (const auto &Row : Result.rows()) {
    nlohmann::ordered_json Object;
    for (std::size_t I = 0; I < Result.columns().size(); ++I)
      Object[Result.columns()[I]] = Row[I];
    Rows.push_back(Object);
  }
  Answer.Headers.push_back({"Content-Type", "application/json"});
  Answer.Body = Rows.dump() + "\n";
  Exchange->reply(Answer);
}

Table priorityTable(const Configuration::Declaration &Declared) {
  Table Result({"priority", "rank", "target", "floor", "worth"});
  for (const auto &[Name, Each] : Declared.priorities())
    Result.add({Name.str(), absl::StrCat(Each.Rank),
                Configuration::formatDuration(Each.Target.span()),
                formatNumber(Each.Floor * 100) + " %",
                formatNumber(Each.Worth)});
  return Result;
}

Table callerTable(const Configuration::Declaration &Declared) {
  constexpr std::size_t ShownDigits = 12;
  Table Result({"caller", "priority", "weight", "keyhash"});
  for (const auto &[Name, Each] : Declared.callers())
    Result.add({Name.str(), Each.Priority.str(), formatNumber(Each.Weight),
                Each.KeyHash.substr(0, ShownDigits)});
  return Result;
}

Table configurationTable(const Configuration::Declaration &Declared) {
  Table Result({"setting", "value"});
  Result.add({"version", absl::StrCat(Declared.version().Value)});
  Result.add({"services", absl::StrCat(Declared.services().size())});
  Result.add({"priorities", absl::StrCat(Declared.priorities().size())});
  Result.add({"callers", absl::StrCat(Declared.callers().size())});
  Result.add({"drained hosts", absl::StrCat(Declared.drainedHosts().size())});
  Result.add({"budget per hour", Declared.budgetPerHour()
                                     ? formatNumber(*Declared.budgetPerHour())
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
  constexpr double MillisPerSecond = 1000;
  Table Result({"latency", "count", "p50 ms", "p95 ms", "p99 ms"});
  for (const auto &[Name, Each] : Metrics.summaries())
    Result.add({Name, absl::StrCat(Each.count()),
                formatNumber(Each.median() * MillisPerSecond),
                formatNumber(Each.p95() * MillisPerSecond),
                formatNumber(Each.p99() * MillisPerSecond)});
  return Result;
}

} // namespace Operator
