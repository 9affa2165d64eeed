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

/// A duration in whole milliseconds, as stored.
struct Milliseconds {
  std::uint64_t Value = 0;

  std::chrono::milliseconds duration() const {
    return std::chrono::milliseconds(this->Value);
  }
  template <class Archive> void serialize(Archive &Ar) { Ar(this->Value); }
};

/// A priority class with its latency target.
struct PriorityDeclaration {
  /// 0 is the most urgent.
  std::uint64_t Rank = 0;
  /// Target time to the first token or the response.
  Milliseconds Target{2000};
  /// Share of each service reserved for this priority under any load, 0 to 1.
  double Floor = 0;
  /// Among priorities that received less than their floor, the one with the
  /// largest deficit times this weight is served first.
  double DeficitWeight = 1;

  /// Sets one field. Returns InvalidArgument for unknown fields and values.
  absl::Status set(const FieldSetting &Setting);
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Rank, this->Target, this->Floor, this->DeficitWeight);
  }
};

enum class ServiceKind : std::uint8_t { Model, Plain };

struct ServiceDeclaration {
  ServiceKind Kind = ServiceKind::Plain;
  /// The model that the backend servers load; empty for a plain service.
  Common::ModelName Model;
  std::string ModelVersion;
  /// Target number of backend servers.
  std::uint64_t Replicas = 1;
  /// Overrides the targets of the priorities for this service.
  std::optional<Milliseconds> Target;
  /// Methods that are safe to retry; others require an idempotency key.
  std::set<std::string> IdempotentMethods = {"GET", "HEAD", "OPTIONS"};
  /// How long the responses of calls with an idempotency key are retained.
  Milliseconds ResponseRetention{24ULL * 3'600'000};
  /// How long a request that crashed several servers is refused.
  Milliseconds QuarantineDuration{600'000};
  /// Whether the backend servers reject stale fencing numbers.
  bool ChecksFencing = false;

  absl::Status set(const FieldSetting &Setting);
  absl::Status validate() const;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Kind, this->Model, this->ModelVersion, this->Replicas,
       this->Target, this->IdempotentMethods, this->ResponseRetention,
       this->QuarantineDuration, this->ChecksFencing);
  }
};

struct CallerDeclaration {
  /// SHA-256 of the caller's key, in lower-case hexadecimal.
  std::string KeyHash;
  /// Priority of requests that do not ask for a less urgent one.
  Common::PriorityName Priority;
  /// Weight among the callers of the same priority.
  double Weight = 1;

  absl::Status set(const FieldSetting &Setting);
  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->KeyHash, this->Priority, this->Weight);
  }
};

/// The configuration that operators change one command at a time; each change
/// increments its version. Independent of ServiceMap. Always consistent: a
/// change that violates a rule is rejected as a whole.
class Declaration {
public:
  /// Returns the declaration with Requested applied and the version
  /// incremented, or InvalidArgument, NotFound or FailedPrecondition with the
  /// remedy.
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
  /// Budget in money per hour, if declared.
  const std::optional<double> &budgetPerHour() const { return this->Budget; }

  /// Finds the caller whose key has this SHA-256 hash.
  std::optional<Common::CallerId>
  findCallerByKeyHash(const std::string &KeyHash) const;
  /// Finds the service of a model by the name of the service or the model.
  std::optional<Common::ServiceName>
  findServiceForModel(const std::string &Model) const;
  /// Latency target of requests of this priority at this service.
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
