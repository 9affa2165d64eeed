#ifndef SYCAMOREREACH_OPERATOR_STATEMENT_H
#define SYCAMOREREACH_OPERATOR_STATEMENT_H

#include "Configuration/Change.h"
#include "State/Protocol.h"

#include <absl/status/statusor.h>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Operator {

/// What can be shown.
enum class View {
  Services,
  Backends,
  Callers,
  Priorities,
  Hosts,
  Cost,
  Refusals,
  Retries,
  Latency,
  Daemons,
  Replicas,
  Leases,
  Configuration,
};

const char *viewName(View Shown);

struct Condition {
  std::string Column;
  std::string Value;
};

/// show VIEW [where COLUMN = VALUE] [by COLUMN]
struct ShowStatement {
  View Shown = View::Services;
  std::optional<Condition> Where;
  std::optional<std::string> By;
};

/// declare, set, remove, drain and undrain, each with [at version N]
struct ChangeStatement {
  Configuration::Change Wanted;
  std::optional<Common::ConfigurationVersion> At;
};

/// add replica MEMBER, promote replica ID, remove replica ID
struct ReplicaStatement {
  State::ChangeReplicas Wanted;
};

struct HelpStatement {};

using Statement = std::variant<ShowStatement, ChangeStatement, ReplicaStatement,
                               HelpStatement>;

/// Reads one statement. Case does not matter in the language's own words; a
/// word that is unknown gets the nearest known one suggested
/// (InvalidArgument).
absl::StatusOr<Statement> parseStatement(const std::string &Text);

/// The statements with an example each.
std::string helpText();

} // namespace Operator

#endif
