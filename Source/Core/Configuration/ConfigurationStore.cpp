#include "Configuration/ConfigurationStore.h"

#include <absl/strings/str_cat.h>

namespace Configuration {

ChangeOutcome ConfigurationStore::apply(const ChangeCommand &Command) {
  const auto Known = this->Answers.find(Command.Id);
  if (Known != this->Answers.end())
    return Known->second;
  ChangeOutcome Answer = this->decide(Command);
  this->remember(Command.Id, Answer);
  return Answer;
}

ChangeOutcome ConfigurationStore::decide(const ChangeCommand &Command) {
  ChangeOutcome Answer;
  Answer.Version = this->Current.version();
  if (Command.Expected && *Command.Expected != this->Current.version()) {
    Answer.Verdict = ChangeVerdict::VersionConflict;
    Answer.Detail = absl::StrCat(
        "the configuration is at version ", this->Current.version().Value,
        ", not ", Command.Expected->Value,
        "; look at it and send the change for that version");
    return Answer;
  }
  auto Next = this->Current.with(Command.Wanted);
  if (!Next.ok()) {
    Answer.Verdict = ChangeVerdict::Refused;
    Answer.Detail = std::string(Next.status().message());
    return Answer;
  }
  this->Current = std::move(*Next);
  Answer.Version = this->Current.version();
  return Answer;
}

void ConfigurationStore::remember(const Common::CommandId &Id,
                                  const ChangeOutcome &Answer) {
  this->Answers[Id] = Answer;
  this->Order.push_back(Id);
  // Trimmed in halves, so that the cost for each command stays constant.
  if (this->Order.size() < 2 * RememberedCommands)
    return;
  const auto Keep = this->Order.begin() + RememberedCommands;
  for (auto Each = this->Order.begin(); Each != Keep; ++Each)
    this->Answers.erase(*Each);
  this->Order.erase(this->Order.begin(), Keep);
}

} // namespace Configuration
