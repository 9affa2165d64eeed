#include "Membership/Announcement.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace Membership {

namespace {

using Json = nlohmann::json;

constexpr std::size_t MaxCacheEvents = 4096;
constexpr std::size_t MaxTextBytes = 256;
constexpr std::uint64_t MaxSlots = 100'000;

/// Reads the fields of a JSON object and keeps the first error.
class FieldReader {
public:
  explicit FieldReader(const Json &Object) : Object(Object) {}

  std::string text(const char *Field, bool Required = true) {
    const Json *Value = this->value(Field, Required);
    if (!Value)
      return "";
    if (!Value->is_string() ||
        Value->get_ref<const std::string &>().size() > MaxTextBytes) {
      this->fail(absl::StrCat("'", Field, "' must be a string of at most ",
                              MaxTextBytes, " bytes"));
      return "";
    }
    return Value->get<std::string>();
  }

  std::uint64_t number(const char *Field, bool Required = true) {
    const Json *Value = this->value(Field, Required);
    if (!Value)
      return 0;
    if (!Value->is_number_unsigned()) {
      this->fail(absl::StrCat("'", Field,
                              "' must be a whole number of at "
                              "least 0"));
      return 0;
    }
    return Value->get<std::uint64_t>();
  }

  double amount(const char *Field) {
    const Json *Value = this->value(Field, false);
    if (!Value)
      return 0;
    if (!Value->is_number() || Value->get<double>() < 0) {
      this->fail(absl::StrCat("'", Field, "' must be a number of at least 0"));
      return 0;
    }
    return Value->get<double>();
  }

  bool flag(const char *Field) {
    const Json *Value = this->value(Field, false);
    if (!Value)
      return false;
    if (!Value->is_boolean()) {
      this->fail(absl::StrCat("'", Field, "' must be true or false"));
      return false;
    }
    return Value->get<bool>();
  }

  const Json *value(const char *Field, bool Required) {
    const auto Found = this->Object.find(Field);
    if (Found != this->Object.end())
      return &*Found;
    if (Required)
      this->fail(absl::StrCat("'", Field, "' is missing"));
    return nullptr;
  }

  void fail(const std::string &Message) {
    if (this->Error.ok())
      this->Error = absl::InvalidArgumentError(Message);
  }
  const absl::Status &error() const { return this->Error; }

private:
  const Json &Object;
  absl::Status Error;
};

void readCacheEvents(FieldReader &Fields, Announcement &Result) {
  const Json *Events = Fields.value("cache_events", false);
  if (!Events)
    return;
  if (!Events->is_array() || Events->size() > MaxCacheEvents) {
    Fields.fail(absl::StrCat(
        "'cache_events' must be an array; maximum length: ", MaxCacheEvents));
    return;
  }
  for (const Json &Each : *Events) {
    if (!Each.is_object()) {
      Fields.fail("each element of 'cache_events' must be an object");
      return;
    }
    FieldReader Event(Each);
    CacheEvent Parsed;
    Parsed.Sequence = Event.number("sequence");
    Parsed.Block = Event.number("block");
    Parsed.Stored = Event.flag("stored");
    if (!Event.error().ok())
      Fields.fail(std::string(Event.error().message()));
    Result.CacheEvents.push_back(Parsed);
  }
}

void readState(FieldReader &Fields, Announcement &Result) {
  const std::string State = Fields.text("state");
  if (State == "leaving")
    Result.State = ServerState::Leaving;
  else if (State != "serving")
    Fields.fail("'state' must be serving or leaving");
}

} // namespace

absl::StatusOr<Announcement> parseAnnouncement(const std::string &Text) {
  const Json Object = Json::parse(Text, nullptr, false);
  if (!Object.is_object())
    return absl::InvalidArgumentError("the body must be a JSON object");
  FieldReader Fields(Object);
  Announcement Result;
  Result.BackendServer = Common::BackendServerId(Fields.text("backend_server"));
  Result.Service = Common::ServiceName(Fields.text("service"));
  Result.Model = Common::ModelName(Fields.text("model", false));
  Result.ModelVersion = Fields.text("version", false);
  Result.Host = Common::HostId(Fields.text("host"));
  Result.DataCentre = Common::DataCentreId(Fields.text("datacentre"));
  Result.Incarnation = Common::Incarnation{Fields.number("incarnation")};
  Result.Sequence = Fields.number("sequence");
  Result.Capacity.Slots = Fields.number("slots");
  Result.Capacity.CacheBlocks = Fields.number("cache_blocks", false);
  Result.Load.Running = Fields.number("running", false);
  Result.Load.Queued = Fields.number("queued", false);
  Result.ChecksFencing = Fields.flag("checks_fencing");
  Result.PricePerHour = Fields.amount("price_per_hour");
  const std::string Address = Fields.text("address");
  readState(Fields, Result);
  readCacheEvents(Fields, Result);
  if (Result.Capacity.Slots == 0 || Result.Capacity.Slots > MaxSlots)
    Fields.fail(absl::StrCat("'slots' must be from 1 to ", MaxSlots));
  if (Result.BackendServer.empty() || Result.Service.empty() ||
      Result.DataCentre.empty())
    Fields.fail("'backend_server', 'service' and 'datacentre' must not be "
                "empty");
  if (!Fields.error().ok())
    return Fields.error();
  auto Parsed = Network::Address::create(Address);
  if (!Parsed.ok())
    return Parsed.status();
  Result.Address = *Parsed;
  return Result;
}

std::string formatAnnouncement(const Announcement &Input) {
  Json Object;
  Object["backend_server"] = Input.BackendServer.str();
  Object["service"] = Input.Service.str();
  Object["model"] = Input.Model.str();
  Object["version"] = Input.ModelVersion;
  Object["address"] = Input.Address.str();
  Object["host"] = Input.Host.str();
  Object["datacentre"] = Input.DataCentre.str();
  Object["incarnation"] = Input.Incarnation.Value;
  Object["sequence"] = Input.Sequence;
  Object["state"] = Input.State == ServerState::Serving ? "serving" : "leaving";
  Object["slots"] = Input.Capacity.Slots;
  Object["cache_blocks"] = Input.Capacity.CacheBlocks;
  Object["running"] = Input.Load.Running;
  Object["queued"] = Input.Load.Queued;
  Object["checks_fencing"] = Input.ChecksFencing;
  Object["price_per_hour"] = Input.PricePerHour;
  Object["cache_events"] = Json::array();
  for (const CacheEvent &Each : Input.CacheEvents)
    Object["cache_events"].push_back({{"sequence", Each.Sequence},
                                      {"stored", Each.Stored},
                                      {"block", Each.Block}});
  return Object.dump();
}

} // namespace Membership
