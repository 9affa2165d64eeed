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
/// Units; a word of this list is part of the value before it.
const std::set<std::string> UnitNames = {"ms", "s", "min", "h", "%"};

std::size_t editDistance(const std::string &Left, const std::string &Right) {
  std::vector<std::size_t> Row(Right.size() + 1);
  for (std::size_t J = 0; J <= Right.size(); ++J)
    Row[J] = J;
  for (std::size_t I = 1; I <= Left.size(); ++I) {
    std::size_t Diagonal = Row[0];
    Row[0] = I;
    for (std::size_t J = 1; J <= Right.size(); ++J) {
      const std::size_t Substitution = Left[I - 1] == Right[J - 1] ? 0 : 1;
      const std::size_t Next =
          std::min({Row[J] + 1, Row[J - 1] + 1, Diagonal + Substitution});
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

/// Reads the words of a statement one by one.
class WordReader {
public:
  explicit WordReader(const std::string &Text)
      : Words(absl::StrSplit(Text, absl::ByAnyChar(" \t\r\n"),
                             absl::SkipEmpty())) {}

  bool atEnd() const { return this->Position >= this->Words.size(); }
  /// The next word in its original case; empty at the end.
  std::string peek() const {
    return this->atEnd() ? "" : this->Words[this->Position];
  }
  std::string peekLower() const { return absl::AsciiStrToLower(this->peek()); }
  std::string next() {
    std::string Word = this->peek();
    ++this->Position;
    return Word;
  }
  std::string nextLower() { return absl::AsciiStrToLower(this->next()); }
  /// Skips the next word if it is Keyword, which is in lower case.
  bool skipIf(const std::string &Keyword) {
    if (this->peekLower() != Keyword)
      return false;
    ++this->Position;
    return true;
  }

private:
  std::vector<std::string> Words;
  std::size_t Position = 0;
};

absl::Status unexpectedWord(const WordReader &Words) {
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
  if (Words.atEnd())
    return absl::InvalidArgumentError(
        absl::StrCat("show needs a view: ", absl::StrJoin(viewNames(), ", ")));
  const auto ShownView = parseView(Words.nextLower());
  if (!ShownView.ok())
    return ShownView.status();
  Show.ShownView = *ShownView;
  if (Words.skipIf("where")) {
    Condition Filter;
    Filter.Column = Words.nextLower();
    const bool HasEquals = Words.skipIf("=");
    Filter.Value = Words.next();
    if (!HasEquals || Filter.Value.empty())
      return absl::InvalidArgumentError(
          "write where COLUMN = VALUE, with spaces around '='");
    Show.Filter = Filter;
  }
  if (Words.skipIf("by")) {
    if (Words.atEnd())
      return absl::InvalidArgumentError("by needs a column, as in 'show cost "
                                        "by datacentre'");
    Show.GroupBy = Words.nextLower();
  }
  if (!Words.atEnd())
    return unexpectedWord(Words);
  return Show;
}

absl::StatusOr<Common::ConfigurationVersion>
parseExpectedVersion(WordReader &Words) {
  Common::ConfigurationVersion Version;
  if (!Words.skipIf("version") ||
      !absl::SimpleAtoi(Words.next(), &Version.Value))
    return absl::InvalidArgumentError("write at version N, as in 'at version "
                                      "7'");
  return Version;
}

absl::Status parseSettings(WordReader &Words, ChangeStatement &Change) {
  while (!Words.atEnd()) {
    if (Words.peekLower() == "at") {
      Words.next();
      const auto Version = parseExpectedVersion(Words);
      if (!Version.ok())
        return Version.status();
      Change.ExpectedVersion = *Version;
      continue;
    }
    Configuration::FieldSetting Setting;
    Setting.Field = Words.nextLower();
    if (std::find(FieldNames.begin(), FieldNames.end(), Setting.Field) ==
        FieldNames.end())
      return unknownWord(Setting.Field, FieldNames);
    if (Words.atEnd())
      return absl::InvalidArgumentError(
          absl::StrCat("'", Setting.Field, "' needs a value after it"));
    Setting.Value = Words.next();
    if (UnitNames.count(Words.peekLower()) != 0)
      Setting.Value += Words.nextLower();
    Change.RequestedChange.Settings.push_back(std::move(Setting));
  }
  return absl::OkStatus();
}

absl::StatusOr<Statement> parseChange(Verb ChangeVerb, WordReader &Words) {
  ChangeStatement Change;
  Change.RequestedChange.Verb = ChangeVerb;
  const auto ChangeSubject = parseSubject(Words.nextLower());
  if (!ChangeSubject.ok())
    return ChangeSubject.status();
  Change.RequestedChange.Subject = *ChangeSubject;
  if (*ChangeSubject != Subject::Budget) {
    if (Words.atEnd())
      return absl::InvalidArgumentError("a name is missing; type 'help'");
    Change.RequestedChange.Name = Words.next();
  }
  if (absl::Status Parsed = parseSettings(Words, Change); !Parsed.ok())
    return Parsed;
  const bool NeedsFields =
      ChangeVerb == Verb::Declare || ChangeVerb == Verb::Set;
  const bool CanOmitFields =
      ChangeVerb == Verb::Declare && *ChangeSubject == Subject::Service;
  if (NeedsFields && !CanOmitFields && Change.RequestedChange.Settings.empty())
    return absl::InvalidArgumentError(
        "nothing to change; name a field and its value, as in 'set service "
        "assistant target 800 ms'");
  if (!NeedsFields && !Change.RequestedChange.Settings.empty())
    return absl::InvalidArgumentError("fields belong to declare and set");
  return Change;
}

absl::StatusOr<Statement> parseReplica(State::ReplicaChangeKind Kind,
                                       WordReader &Words) {
  Words.next();
  ReplicaStatement Result;
  Result.RequestedChange.Kind = Kind;
  if (Kind == State::ReplicaChangeKind::AddLearner) {
    auto Member = Consensus::Member::create(Words.next());
    if (!Member.ok())
      return Member.status();
    Result.RequestedChange.Member = *Member;
  } else {
    Result.RequestedChange.Member.Id = Consensus::ReplicaId(Words.next());
    if (Result.RequestedChange.Member.Id.empty())
      return absl::InvalidArgumentError("name a replica; see 'show replicas'");
  }
  if (!Words.atEnd())
    return unexpectedWord(Words);
  return Result;
}

} // namespace

const char *viewName(View ShownView) {
  return ViewNames[static_cast<std::size_t>(ShownView)];
}

absl::StatusOr<Statement> parseStatement(const std::string &Text) {
  if (Text.size() > MaxStatementBytes)
    return absl::InvalidArgumentError(absl::StrCat(
        "the statement is longer than ", MaxStatementBytes, " bytes"));
  WordReader Words(Text);
  if (Words.atEnd())
    return absl::InvalidArgumentError("the statement is empty; type 'help'");
  const std::string Keyword = Words.nextLower();
  const bool ChangesReplicas = Words.peekLower() == "replica";
  if (Keyword == "help")
    return HelpStatement{};
  if (Keyword == "show")
    return parseShow(Words);
  if (Keyword == "add" && ChangesReplicas)
    return parseReplica(State::ReplicaChangeKind::AddLearner, Words);
  if (Keyword == "promote" && ChangesReplicas)
    return parseReplica(State::ReplicaChangeKind::Promote, Words);
  if (Keyword == "remove" && ChangesReplicas)
    return parseReplica(State::ReplicaChangeKind::Remove, Words);
  if (Keyword == "declare")
    return parseChange(Verb::Declare, Words);
  if (Keyword == "set")
    return parseChange(Verb::Set, Words);
  if (Keyword == "remove")
    return parseChange(Verb::Remove, Words);
  if (Keyword == "drain")
    return parseChange(Verb::Drain, Words);
  if (Keyword == "undrain")
    return parseChange(Verb::Undrain, Words);
  return unknownWord(Keyword, VerbNames);
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
