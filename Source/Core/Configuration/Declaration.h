#ifndef SYCAMOREREACH_CONFIGURATION_DECLARATION_H
#define SYCAMOREREACH_CONFIGURATION_DECLARATION_H

#include "Common/Ids.h"
#include "Configuration/Change.h"

#include <absl/status/statusor.h>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Configuration {

/// Durations are kept as whole milliseconds.
struct Milliseconds {
  std::uint64_t Value = 0;

  std::chrono::milliseconds duration() const {
    return std::chrono::milliseconds(this->Value);
  }
  template <class Archive> void serialize(Archive &Ar) { Ar(this->Value); }
};

/// A class of work with its target.
struct PriorityDeclaration {
  /// 0 is the most urgent.
  std::uint64_t Rank = 0;
  /// Time to the first token or to the answer.
  Milliseconds Target{2000};
  /// Share of each service that this priority keeps under any load.
  double Floor = 0;
  /// Weight of one completed request.
  double Worth = 1;

  absl::Status set(const FieldSetting &Setting);
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Rank, this->Target, this->Floor, this->Worth);
  }
};

enum class ServiceKind : std::uint8_t { Model, Plain };

struct ServiceDeclaration {
  ServiceKind Kind = ServiceKind::Plain;
  /// The model that its backend servers load; empty for a plain service.
  Common::ModelName Model;
  std::string ModelVersion;
  /// Backend servers wanted.
  std::uint64_t Replicas = 1;
  /// Replaces the priorities' targets for this service.
  std::optional<Milliseconds> Target;
  /// Methods that may be repeated without harm; others need a key.
  std::set<std::string> IdempotentMethods = {"GET", "HEAD", "OPTIONS"};
  /// How long the answers of calls with a key are kept.
  Milliseconds ResponseRetention{24ULL * 3'600'000};
  /// How long a request that ended several servers stays refused.
  Milliseconds Quarantine{600'000};
  /// Whether the backend servers refuse old fencing numbers.
  bool ChecksFencing = false;

  absl::Status set(const FieldSetting &Setting);
  absl::Status validate() const;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Kind, this->Model, this->ModelVersion, this->Replicas,
       this->Target, this->IdempotentMethods, this->ResponseRetention,
       this->Quarantine, this->ChecksFencing);
  }
};

struct CallerDeclaration {
  /// SHA-256 of the caller's key, in lower-case hexadecimal.
  std::string KeyHash;
  /// What its requests get unless they ask for a less urgent one.
  Common::PriorityName Priority;
  /// Share against other callers of the same priority.
  double Weight = 1;

  absl::Status set(const FieldSetting &Setting);
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->KeyHash, this->Priority, this->Weight);
  }
};

/// All that operators declare. A value is always consistent: changes that
/// would break a rule are refused whole.
class Declaration {
public:
  /// The declaration after Requested, with the version raised by one.
  /// InvalidArgument, NotFound or FailedPrecondition names the remedy.
  absl::StatusOr<Declaration> with(const Change &Requested) const;

  Common::ConfigurationVersion version() const { return this->Version; }
  const std::map<Common::PriorityName, PriorityDeclaration> &
  priorities() const {
    return this->Priorities;
  }
  const std::map<Common::ServiceName, ServiceDeclaration> &services() const {
    return this->Services;
  }
  const std::map<Common::CallerId, CallerDeclaration> &callers() const {
    return this->Callers;
  }
  const std::set<Common::HostId> &drainedHosts() const {
    return this->DrainedHosts;
  }
  /// Money per hour; empty while none is declared.
  const std::optional<double> &budgetPerHour() const { return this->Budget; }

  /// The caller whose key has this hash.
  std::optional<Common::CallerId>
  findCallerByKeyHash(const std::string &KeyHash) const;
  /// The service that serves a model, by its own or the model's name.
  std::optional<Common::ServiceName>
  findServiceForModel(const std::string &Model) const;
  /// The target of work of this priority at this service.
  std::chrono::milliseconds target(const Common::ServiceName &Service,
                                   const Common::PriorityName &Priority) const;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Version, this->Priorities, this->Services, this->Callers,
       this->DrainedHosts, this->Budget);
  }

private:
  absl::Status apply(const Change &Requested);
  absl::Status applyToHost(const Change &Requested);
  absl::Status applyToBudget(const Change &Requested);
  absl::Status remove(const Change &Requested);
  absl::Status validate() const;

  Common::ConfigurationVersion Version;
  std::map<Common::PriorityName, PriorityDeclaration> Priorities;
  std::map<Common::ServiceName, ServiceDeclaration> Services;
  std::map<Common::CallerId, CallerDeclaration> Callers;
  std::set<Common::HostId> DrainedHosts;
  std::optional<double> Budget;
};

} // namespace Configuration

#endif
