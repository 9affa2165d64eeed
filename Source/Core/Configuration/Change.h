#ifndef SYCAMOREREACH_CONFIGURATION_CHANGE_H
#define SYCAMOREREACH_CONFIGURATION_CHANGE_H

#include "Common/Ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Configuration {

/// What a change is about.
enum class Subject : std::uint8_t {
  Priority,
  Service,
  Caller,
  Budget,
  Host,
};

enum class Verb : std::uint8_t {
  /// Creates, or changes what exists.
  Declare,
  /// Changes what exists.
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

/// One operator's wish.
struct Change {
  Configuration::Verb Verb = Verb::Set;
  Configuration::Subject Subject = Subject::Service;
  /// Empty for the budget.
  std::string Name;
  std::vector<FieldSetting> Settings;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Verb, this->Subject, this->Name, this->Settings);
  }
};

/// A change as it stands in the replicated log.
struct ChangeCommand {
  /// Repeats of a command get the first answer.
  Common::CommandId Id;
  /// With a value, the change is refused at any other version.
  std::optional<Common::ConfigurationVersion> ExpectedVersion;
  Configuration::Change Change;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->ExpectedVersion, this->Change);
  }
};

enum class ChangeStatus : std::uint8_t { Applied, VersionConflict, Refused };

struct ChangeResult {
  ChangeStatus Status = ChangeStatus::Applied;
  /// The version that is current after the command.
  Common::ConfigurationVersion Version;
  /// Why it was refused and what to do.
  std::string Detail;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Status, this->Version, this->Detail);
  }
};

} // namespace Configuration

#endif
