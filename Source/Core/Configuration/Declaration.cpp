#include "Configuration/Declaration.h"

#include "Configuration/FieldValue.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <algorithm>

namespace Configuration {

namespace {

constexpr std::uint64_t MaxRank = 9;
constexpr std::uint64_t MaxReplicas = 10'000;
constexpr std::size_t KeyHashDigits = 64;
constexpr std::size_t MaxNameLength = 64;

absl::Status unknownFieldError(const std::string &Subject,
                               const std::string &Field,
                               const std::string &Known) {
  return absl::InvalidArgumentError(absl::StrCat(
      "a ", Subject, " has no field '", Field, "'; use one of ", Known));
}

/// Stores a parsed value or returns its error.
template <typename T, typename U>
absl::Status store(T &Target, const absl::StatusOr<U> &Parsed) {
  if (!Parsed.ok())
    return Parsed.status();
  Target = *Parsed;
  return absl::OkStatus();
}

absl::Status store(Milliseconds &Target,
                   const absl::StatusOr<std::chrono::milliseconds> &Parsed) {
  if (!Parsed.ok())
    return Parsed.status();
  Target.Value = static_cast<std::uint64_t>(Parsed->count());
  return absl::OkStatus();
}

bool isValidName(const std::string &Text) {
  return !Text.empty() && Text.size() <= MaxNameLength &&
         std::all_of(Text.begin(), Text.end(), [](char C) {
           return absl::ascii_isalnum(static_cast<unsigned char>(C)) ||
                  C == '-' || C == '_' || C == '.';
         });
}

bool isValidKeyHash(const std::string &Text) {
  return Text.size() == KeyHashDigits &&
         Text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

template <typename Map>
absl::Status change(Map &Items, const char *Subject, const Change &Requested) {
  const typename Map::key_type Name(Requested.Name);
  const bool Exists = Items.count(Name) != 0;
  if (Requested.Verb == Verb::Set && !Exists)
    return absl::NotFoundError(absl::StrCat(
        "no ", Subject, " '", Requested.Name, "'; declare it first"));
  auto Changed = Exists ? Items.at(Name) : typename Map::mapped_type();
  for (const FieldSetting &Setting : Requested.Settings)
    if (absl::Status Result = Changed.set(Setting); !Result.ok())
      return Result;
  Items[Name] = std::move(Changed);
  return absl::OkStatus();
}

template <typename Map>
absl::Status erase(Map &Items, const char *View, const Change &Requested) {
  if (Items.erase(typename Map::key_type(Requested.Name)) == 0)
    return absl::NotFoundError(absl::StrCat("nothing in ", View, " named '",
                                            Requested.Name, "'; see 'show ",
                                            View, "'"));
  return absl::OkStatus();
}

} // namespace

absl::Status PriorityDeclaration::set(const FieldSetting &Setting) {
  if (Setting.Field == "rank")
    return store(this->Rank, parseInteger(Setting.Value, 0, MaxRank));
  if (Setting.Field == "target")
    return store(this->Target, parseDuration(Setting.Value));
  if (Setting.Field == "floor")
    return store(this->Floor, parseShare(Setting.Value));
  if (Setting.Field == "worth")
    return store(this->DeficitWeight, parseAmount(Setting.Value));
  return unknownFieldError("priority", Setting.Field,
                           "rank, target, floor, worth");
}

absl::Status ServiceDeclaration::set(const FieldSetting &Setting) {
  if (Setting.Field == "model") {
    this->Kind = ServiceKind::Model;
    this->Model = Common::ModelName(Setting.Value);
    return absl::OkStatus();
  }
  if (Setting.Field == "version") {
    this->ModelVersion = Setting.Value;
    return absl::OkStatus();
  }
  if (Setting.Field == "replicas")
    return store(this->Replicas, parseInteger(Setting.Value, 0, MaxReplicas));
  if (Setting.Field == "target") {
    Milliseconds Value;
    absl::Status Result = store(Value, parseDuration(Setting.Value));
    if (Result.ok())
      this->Target = Value;
    return Result;
  }
  if (Setting.Field == "idempotent") {
    const std::string Upper = absl::AsciiStrToUpper(Setting.Value);
    this->IdempotentMethods =
        absl::StrSplit(Upper, absl::ByAnyChar(", "), absl::SkipEmpty());
    return absl::OkStatus();
  }
  if (Setting.Field == "keep")
    return store(this->ResponseRetention, parseDuration(Setting.Value));
  if (Setting.Field == "quarantine")
    return store(this->QuarantineDuration, parseDuration(Setting.Value));
  if (Setting.Field == "fencing")
    return store(this->ChecksFencing, parseYesNo(Setting.Value));
  return unknownFieldError(
      "service", Setting.Field,
      "model, version, replicas, target, idempotent, keep, "
      "quarantine, fencing");
}

absl::Status ServiceDeclaration::validate() const {
  static const std::set<std::string> AllowedMethods = {
      "GET", "HEAD", "OPTIONS", "PUT", "POST", "PATCH", "DELETE"};
  for (const std::string &Method : this->IdempotentMethods)
    if (AllowedMethods.count(Method) == 0)
      return absl::InvalidArgumentError(
          absl::StrCat("'", Method,
                       "' is not a method; use GET, HEAD, PUT, POST, PATCH, "
                       "DELETE or OPTIONS"));
  return absl::OkStatus();
}

absl::Status CallerDeclaration::set(const FieldSetting &Setting) {
  if (Setting.Field == "keyhash") {
    this->KeyHash = absl::AsciiStrToLower(Setting.Value);
    if (!isValidKeyHash(this->KeyHash))
      return absl::InvalidArgumentError(
          "keyhash is the SHA-256 of the key, 64 hexadecimal digits; get it "
          "from sycamorectl hash-key");
    return absl::OkStatus();
  }
  if (Setting.Field == "priority") {
    this->Priority = Common::PriorityName(Setting.Value);
    return absl::OkStatus();
  }
  if (Setting.Field == "weight")
    return store(this->Weight, parseAmount(Setting.Value));
  return unknownFieldError("caller", Setting.Field,
                           "keyhash, priority, weight");
}

absl::StatusOr<Declaration> Declaration::with(const Change &Requested) const {
  Declaration Next = *this;
  if (absl::Status Result = Next.apply(Requested); !Result.ok())
    return Result;
  if (absl::Status Result = Next.validate(); !Result.ok())
    return Result;
  ++Next.Version.Value;
  return Next;
}

absl::Status Declaration::apply(const Change &Requested) {
  if (Requested.Subject == Subject::Budget)
    return this->applyToBudget(Requested);
  if (!isValidName(Requested.Name))
    return absl::InvalidArgumentError(
        absl::StrCat("'", Requested.Name, "' is not a valid name; use up to ",
                     MaxNameLength, " letters, digits, '-', '_' and '.'"));
  if (Requested.Subject == Subject::Host)
    return this->applyToHost(Requested);
  if (Requested.Verb == Verb::Remove)
    return this->remove(Requested);
  if (Requested.Subject == Subject::Priority)
    return change(this->Priorities, "priority", Requested);
  if (Requested.Subject == Subject::Service)
    return change(this->Services, "service", Requested);
  return change(this->Callers, "caller", Requested);
}

absl::Status Declaration::applyToHost(const Change &Requested) {
  const Common::HostId Host(Requested.Name);
  if (Requested.Verb == Verb::Drain)
    this->DrainedHosts.insert(Host);
  else if (Requested.Verb == Verb::Undrain)
    this->DrainedHosts.erase(Host);
  else
    return absl::InvalidArgumentError(
        "hosts are not declared; write drain host NAME or undrain host NAME");
  return absl::OkStatus();
}

absl::Status Declaration::applyToBudget(const Change &Requested) {
  if (Requested.Verb == Verb::Remove) {
    this->Budget.reset();
    return absl::OkStatus();
  }
  for (const FieldSetting &Setting : Requested.Settings) {
    if (Setting.Field != "per-hour")
      return unknownFieldError("budget", Setting.Field, "per-hour");
    const auto Amount = parseAmount(Setting.Value);
    if (!Amount.ok())
      return Amount.status();
    this->Budget = *Amount;
  }
  return absl::OkStatus();
}

absl::Status Declaration::remove(const Change &Requested) {
  if (Requested.Subject == Subject::Priority)
    return erase(this->Priorities, "priorities", Requested);
  if (Requested.Subject == Subject::Service)
    return erase(this->Services, "services", Requested);
  return erase(this->Callers, "callers", Requested);
}

absl::Status Declaration::validate() const {
  double FloorSum = 0;
  for (const auto &[Name, Priority] : this->Priorities)
    FloorSum += Priority.Floor;
  if (FloorSum > 1)
    return absl::FailedPreconditionError(
        "the floors of all priorities sum to more than 100 %; lower one");
  std::set<std::string> Hashes;
  for (const auto &[Name, Caller] : this->Callers) {
    if (this->Priorities.count(Caller.Priority) == 0)
      return absl::FailedPreconditionError(absl::StrCat(
          "caller '", Name.str(), "' uses priority '", Caller.Priority.str(),
          "', which is not declared; declare it first"));
    if (!isValidKeyHash(Caller.KeyHash) ||
        !Hashes.insert(Caller.KeyHash).second)
      return absl::FailedPreconditionError(absl::StrCat(
          "caller '", Name.str(),
          "' needs a unique keyhash; get it from sycamorectl hash-key"));
  }
  for (const auto &[Name, Service] : this->Services)
    if (absl::Status Result = Service.validate(); !Result.ok())
      return Result;
  return absl::OkStatus();
}

std::optional<Common::CallerId>
Declaration::findCallerByKeyHash(const std::string &KeyHash) const {
  for (const auto &[Name, Caller] : this->Callers)
    if (Caller.KeyHash == KeyHash)
      return Name;
  return std::nullopt;
}

std::optional<Common::ServiceName>
Declaration::findServiceForModel(const std::string &Model) const {
  for (const auto &[Name, Service] : this->Services) {
    if (Service.Kind != ServiceKind::Model)
      continue;
    if (Name.str() == Model || Service.Model.str() == Model)
      return Name;
  }
  return std::nullopt;
}

std::chrono::milliseconds
Declaration::target(const Common::ServiceName &Service,
                    const Common::PriorityName &Priority) const {
  const auto Found = this->Services.find(Service);
  if (Found != this->Services.end() && Found->second.Target)
    return Found->second.Target->duration();
  const auto DeclaredPriority = this->Priorities.find(Priority);
  return DeclaredPriority == this->Priorities.end()
             ? PriorityDeclaration().Target.duration()
             : DeclaredPriority->second.Target.duration();
}

} // namespace Configuration
