#include "Operator/Statement.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <array>
#include <set>

namespace Operator {

namespace {

using Configuration::Subject;
using Configuration::Verb;

constexpr std::size_t MaxStatementBytes = 4096;

constexpr std::array ViewNames = {
    "services", "backends", "callers",      "priorities", "hosts",
    "cost",     "refusals", "retries",      "latency",    "daemons",
    "replicas", "leases",   "configuration"};

const std::vector<std::string> VerbNames = {"show",   "declare", "set",
                                            "remove", "drain",   "undrain",
                                            "add",    "promote", "help"};
const std::vector<std::string> SubjectNames = {"priority", "service", "caller",
                                               "budget", "host"};
const std::vector<std::string> FieldNames = {
    "rank",    "target",   "floor",      "worth",  "model",
    "version", "replicas", "idempotent", "keep",   "quarantine",
    "fencing", "keyhash",  "priority",   "weight", "per-hour"};
/// Words that belong to the value before them.
const std::set<std::string> UnitNames = {"ms", "s", "min", "h", "%"};

std::size_t editDistance(const std::string &Left, const std::string &Right) {
  std::vector<std::size_t> Row(Right.size() + 1);
  for (std::size_t J = 0; J <= Right.size(); ++J)
    Row[J] = J;
  for (std::size_t I = 1; I <= Left.size(); ++I) {
    std::size_t Diagonal = Row[0];
    Row[0] = I;
    for (std::size_t J = 1; J <= Right.size(); ++J) {
      const std::size_t Same = Left[I - 1] == Right[J - 1] ? 0 : 1;
      const std::size_t Next =
          std::min({Row[J] + 1, Row[J - 1] + 1, Diagonal + Same});
      Diagonal = Row[J];
      Row[J] = Next;
    }
  }
  return Row.back();
}

absl::Status unknownWord(const std::string &Word,
                         const std::vector<std::string> &Known) {
  const auto Nearest = std::min_element(
      Known.begin(), Known.end(),
      [&](const std::string &Left, const std::string &Right) {
        return editDistance(Word, Left) < editDistance(Word, Right);
      });
  return absl::InvalidArgumentError(
      absl::StrCat("'", Word, "' is not known here; did you mean '", *Nearest,
                   "'? Possible: ", absl::StrJoin(Known, ", ")));
}

std::vector<std::string> viewNames() {
  return {ViewNames.begin(), ViewNames.end()};
}

/// Walks over the words of a statement.
class WordReader {
public:
  explicit WordReader(const std::string &Text)
      : Words(absl::StrSplit(Text, absl::ByAnyChar(" \t\r\n"),
                             absl::SkipEmpty())) {}

  bool done() const { return this->Position >= this->Words.size(); }
  /// The next word as written; empty at the end.
  std::string peek() const {
    return this->done() ? "" : this->Words[this->Position];
  }
  std::string peekLower() const { return absl::AsciiStrToLower(this->peek()); }
  std::string take() {
    std::string Word = this->peek();
    ++this->Position;
    return Word;
  }
  std::string takeLower() { return absl::AsciiStrToLower(this->take()); }
  bool takeIf(const std::string &Lower) {
    if (this->peekLower() != Lower)
      return false;
    ++this->Position;
    return true;
  }

private:
  std::vector<std::string> Words;
  std::size_t Position = 0;
};

absl::Status unexpected(const WordReader &Words) {
  return absl::InvalidArgumentError(
      absl::StrCat("'", Words.peek(), "' is not expected here; type 'help'"));
}

absl::StatusOr<View> parseView(const std::string &Word) {
  const std::vector<std::string> Names = viewNames();
  for (std::size_t I = 0; I < Names.size(); ++I)
    if (Names[I] == Word)
      return static_cast<View>(I);
  return unknownWord(Word, Names);
}

absl::StatusOr<Subject> parseSubject(const std::string &Word) {
  for (std::size_t I = 0; I < SubjectNames.size(); ++I)
    if (SubjectNames[I] == Word)
      return static_cast<Subject>(I);
  return unknownWord(Word, SubjectNames);
}

absl::StatusOr<Statement> parseShow(WordReader &Words) {
  ShowStatement Show;
  if (Words.done())
    return absl::InvalidArgumentError(
        absl::StrCat("show needs a view: ", absl::StrJoin(viewNames(), ", ")));
  const auto Shown = parseView(Words.takeLower());
  if (!Shown.ok())
    return Shown.status();
  Show.Shown = *Shown;
  if (Words.takeIf("where")) {
    Condition Where;
    Where.Column = Words.takeLower();
    const bool HasEquals = Words.takeIf("=");
    Where.Value = Words.take();
    if (!HasEquals || Where.Value.empty())
      return absl::InvalidArgumentError(
          "write where COLUMN = VALUE, with spaces around '='");
    Show.Where = Where;
  }
  if (Words.takeIf("by")) {
    if (Words.done())
      return absl::InvalidArgumentError("by needs a column, as in 'show cost "
                                        "by datacentre'");
    Show.By = Words.takeLower();
  }
  if (!Words.done())
    return unexpected(Words);
  return Show;
}

absl::StatusOr<Common::ConfigurationVersion> parseAt(WordReader &Words) {
  Common::ConfigurationVersion At;
  if (!Words.takeIf("version") || !absl::SimpleAtoi(Words.take(), &At.Value))
    return absl::InvalidArgumentError("write at version N, as in 'at version "
                                      "7'");
  return At;
}

absl::Status parseSettings(WordReader &Words, ChangeStatement &Change) {
  while (!Words.done()) {
    if (Words.peekLower() == "at") {
      Words.take();
      const auto At = parseAt(Words);
      if (!At.ok())
        return At.status();
      Change.At = *At;
      continue;
    }
    Configuration::FieldSetting Setting;
    Setting.Field = Words.takeLower();
    if (std::find(FieldNames.begin(), FieldNames.end(), Setting.Field) ==
        FieldNames.end())
      return unknownWord(Setting.Field, FieldNames);
    if (Words.done())
      return absl::InvalidArgumentError(
          absl::StrCat("'", Setting.Field, "' needs a value after it"));
    Setting.Value = Words.take();
    if (UnitNames.count(Words.peekLower()) != 0)
      Setting.Value += Words.takeLower();
    Change.Wanted.Settings.push_back(std::move(Setting));
  }
  return absl::OkStatus();
}

absl::StatusOr<Statement> parseChange(Verb Wanted, WordReader &Words) {
  ChangeStatement Change;
  Change.Wanted.Verb = Wanted;
  const auto About = parseSubject(Words.takeLower());
  if (!About.ok())
    return About.status();
  Change.Wanted.Subject = *About;
  if (*About != Subject::Budget) {
    if (Words.done())
      return absl::InvalidArgumentError("a name is missing; type 'help'");
    Change.Wanted.Name = Words.take();
  }
  if (absl::Status Read = parseSettings(Words, Change); !Read.ok())
    return Read;
  const bool NeedsFields = Wanted == Verb::Declare || Wanted == Verb::Set;
  const bool Plain = Wanted == Verb::Declare && *About == Subject::Service;
  if (NeedsFields && !Plain && Change.Wanted.Settings.empty())
    return absl::InvalidArgumentError(
        "nothing to change; name a field and its value, as in 'set service "
        "assistant target 800 ms'");
  if (!NeedsFields && !Change.Wanted.Settings.empty())
    return absl::InvalidArgumentError("fields belong to declare and set");
  return Change;
}

absl::StatusOr<Statement> parseReplica(State::ReplicaChangeKind Wanted,
                                       WordReader &Words) {
  Words.take();
  ReplicaStatement Result;
  Result.Wanted.Kind = Wanted;
  if (Wanted == State::ReplicaChangeKind::AddLearner) {
    auto Member = Consensus::Member::create(Words.take());
    if (!Member.ok())
      return Member.status();
    Result.Wanted.Member = *Member;
  } else {
    Result.Wanted.Member.Id = Consensus::ReplicaId(Words.take());
    if (Result.Wanted.Member.Id.empty())
      return absl::InvalidArgumentError("name a replica; see 'show replicas'");
  }
  if (!Words.done())
    return unexpected(Words);
  return Result;
}

} // namespace

const char *viewName(View Shown) {
  return ViewNames[static_cast<std::size_t>(Shown)];
}

absl::StatusOr<Statement> parseStatement(const std::string &Text) {
  if (Text.size() > MaxStatementBytes)
    return absl::InvalidArgumentError(absl::StrCat(
        "the statement is longer than ", MaxStatementBytes, " bytes"));
  WordReader Words(Text);
  if (Words.done())
    return absl::InvalidArgumentError("the statement is empty; type 'help'");
  const std::string First = Words.takeLower();
  const bool AboutReplica = Words.peekLower() == "replica";
  if (First == "help")
    return HelpStatement{};
  if (First == "show")
    return parseShow(Words);
  if (First == "add" && AboutReplica)
    return parseReplica(State::ReplicaChangeKind::AddLearner, Words);
  if (First == "promote" && AboutReplica)
    return parseReplica(State::ReplicaChangeKind::Promote, Words);
  if (First == "remove" && AboutReplica)
    return parseReplica(State::ReplicaChangeKind::Remove, Words);
  if (First == "declare")
    return parseChange(Verb::Declare, Words);
  if (First == "set")
    return parseChange(Verb::Set, Words);
  if (First == "remove")
    return parseChange(Verb::Remove, Words);
  if (First == "drain")
    return parseChange(Verb::Drain, Words);
  if (First == "undrain")
    return parseChange(Verb::Undrain, Words);
  return unknownWord(First, VerbNames);
}

std::string helpText() {
  return absl::StrCat(
      "show VIEW [where COLUMN = VALUE] [by COLUMN]\n"
      "    views: ",
      absl::StrJoin(viewNames(), " "),
      "\n"
      "    show backends where datacentre = east\n"
      "    show cost by datacentre\n"
      "declare priority NAME rank N target TIME floor SHARE worth N\n"
      "    declare priority urgent rank 0 target 800 ms floor 20 %\n"
      "declare service NAME [model M version V] [replicas N] [target TIME]\n"
      "    [idempotent GET,HEAD] [keep TIME] [quarantine TIME] [fencing "
      "yes]\n"
      "    declare service assistant model sleeper-7b version 1\n"
      "declare caller NAME keyhash HASH priority P [weight N]\n"
      "set SUBJECT NAME FIELD VALUE\n"
      "    set service assistant target 800 ms\n"
      "    set budget per-hour 40\n"
      "remove SUBJECT NAME\n"
      "drain host NAME, undrain host NAME\n"
      "add replica IDENTITY@IP:PORT@DATACENTRE\n"
      "promote replica IDENTITY, remove replica IDENTITY\n"
      "Changes take 'at version N' to refuse any other version.\n");
}

} // namespace Operator
