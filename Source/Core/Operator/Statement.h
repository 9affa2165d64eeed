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

/// A table that a show statement prints.
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

/// The name of a view in the statement language.
const char *viewName(View ShownView);

/// Selects the rows whose cell in Column equals Value.
struct Condition {
  std::string Column;
  std::string Value;
};

/// show VIEW [where COLUMN = VALUE] [by COLUMN]
struct ShowStatement {
  View ShownView = View::Services;
  std::optional<Condition> Filter;
  /// The column to group by.
  std::optional<std::string> GroupBy;
};

/// A declare, set, remove, drain or undrain statement, each with an optional
/// [at version N].
struct ChangeStatement {
  Configuration::Change RequestedChange;
  /// When set, the change is refused unless this is the current version.
  std::optional<Common::ConfigurationVersion> ExpectedVersion;
};

/// add replica MEMBER, promote replica ID, remove replica ID
struct ReplicaStatement {
  State::ChangeReplicas RequestedChange;
};

struct HelpStatement {};

using Statement = std::variant<ShowStatement, ChangeStatement, ReplicaStatement,
                               HelpStatement>;

/// Parses one statement. Keywords are case-insensitive. InvalidArgument when
/// the statement is invalid; for an unknown word the message suggests the most
/// similar known one.
absl::StatusOr<Statement> parseStatement(const std::string &Text);

/// Describes all statements, with examples.
std::string helpText();

} // namespace Operator

#endif
