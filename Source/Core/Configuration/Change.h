#ifndef SYCAMOREREACH_CONFIGURATION_CHANGE_H
#define SYCAMOREREACH_CONFIGURATION_CHANGE_H

#include "Common/Ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Configuration {

/// Kind of object that a change applies to.
enum class Subject : std::uint8_t {
  Priority,
  Service,
  Caller,
  Budget,
  Host,
};

enum class Verb : std::uint8_t {
  /// Creates the object or updates an existing one.
  Declare,
  /// Updates an existing object.
  Set,
  Remove,
  Drain,
  Undrain,
};

struct FieldSetting {
  /// In lower case.
  std::string Field;
  std::string Value;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Field, this->Value);
  }
};

/// A change of the declaration, requested by an operator.
struct Change {
  Configuration::Verb Verb = Verb::Set;
  Configuration::Subject Subject = Subject::Service;
  /// Name of the object; empty for the budget.
  std::string Name;
  std::vector<FieldSetting> Settings;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Verb, this->Subject, this->Name, this->Settings);
  }
};

/// A change as recorded in the replicated log.
struct ChangeCommand {
  /// A repeated command receives the result of its first execution.
  Common::CommandId Id;
  /// If set, the change is refused at any other version.
  std::optional<Common::ConfigurationVersion> ExpectedVersion;
  Change RequestedChange;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->ExpectedVersion, this->RequestedChange);
  }
};

enum class ChangeStatus : std::uint8_t { Applied, VersionConflict, Refused };

struct ChangeResult {
  ChangeStatus Status = ChangeStatus::Applied;
  /// The current version after the command.
  Common::ConfigurationVersion Version;
  /// Reason for the refusal and its remedy.
  std::string Detail;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Status, this->Version, this->Detail);
  }
};

} // namespace Configuration

#endif
