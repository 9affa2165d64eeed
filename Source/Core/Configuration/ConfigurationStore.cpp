#include "Configuration/ConfigurationStore.h"

#include <absl/strings/str_cat.h>

namespace Configuration {

ChangeResult ConfigurationStore::apply(const ChangeCommand &Command) {
  const auto Known = this->Results.find(Command.Id);
  if (Known != this->Results.end())
    return Known->second;
  ChangeResult Result = this->execute(Command);
  this->storeResult(Command.Id, Result);
  return Result;
}

ChangeResult ConfigurationStore::execute(const ChangeCommand &Command) {
  ChangeResult Result;
  Result.Version = this->Current.version();
  if (Command.ExpectedVersion &&
      *Command.ExpectedVersion != this->Current.version()) {
    Result.Status = ChangeStatus::VersionConflict;
    Result.Detail = absl::StrCat(
        "the configuration is at version ", this->Current.version().Value,
        ", not ", Command.ExpectedVersion->Value,
        "; review it and resend the change for that version");
    return Result;
  }
  auto Next = this->Current.with(Command.RequestedChange);
  if (!Next.ok()) {
    Result.Status = ChangeStatus::Refused;
    Result.Detail = std::string(Next.status().message());
    return Result;
  }
  this->Current = std::move(*Next);
  Result.Version = this->Current.version();
  return Result;
}

void ConfigurationStore::storeResult(const Common::CommandId &Id,
                                     const ChangeResult &Result) {
  this->Results[Id] = Result;
  this->CommandOrder.push_back(Id);
  // Evicts half of the entries at once for constant amortized cost per command.
  if (this->CommandOrder.size() < 2 * MinRetainedCommands)
    return;
  const auto FirstRetained = this->CommandOrder.begin() + MinRetainedCommands;
  for (auto Each = this->CommandOrder.begin(); Each != FirstRetained; ++Each)
    this->Results.erase(*Each);
  this->CommandOrder.erase(this->CommandOrder.begin(), FirstRetained);
}

} // namespace Configuration
