#include "Config/contract_codec.h"

#include <nlohmann/json.hpp>

namespace hemlockwick {

namespace {

using Json = nlohmann::json;

// Calls `visit` with the JSON key and the member pointer of each field.
template <typename Visitor>
void VisitFields(const Visitor& visit) {
  visit("default_deadline", &Contract::default_deadline);
  visit("max_deadline", &Contract::max_deadline);
  visit("short_bound", &Contract::short_bound);
  visit("long_body", &Contract::long_body_bytes);
  visit("max_body", &Contract::max_body_bytes);
  visit("max_rate", &Contract::max_requests_per_second);
  visit("max_queue", &Contract::max_queue);
  visit("retry_ratio", &Contract::retry_ratio);
  visit("key_memory", &Contract::key_memory);
  visit("may_spill", &Contract::may_spill);
}

auto ToJson(Duration duration) -> Json { return duration.count(); }

template <typename T>
auto ToJson(const T& value) -> Json {
  return value;
}

void Read(const Json& json, Duration& duration) {
  duration = Duration(json.get<Duration::rep>());
}

template <typename T>
void Read(const Json& json, T& value) {
  json.get_to(value);
}

}  // namespace

auto ContractToJson(const Contract& contract) -> Json {
  const auto defaults = Contract();
  auto json = Json{{"name", contract.name}};
  VisitFields([&](const char* key, auto field) {
    if (contract.*field != defaults.*field) {
      json[key] = ToJson(contract.*field);
    }
  });
  return json;
}

auto ContractFromJson(const Json& json) -> Contract {
  auto contract = Contract();
  json.at("name").get_to(contract.name);
  VisitFields([&](const char* key, auto field) {
    if (json.contains(key)) {
      Read(json.at(key), contract.*field);
    }
  });
  return contract;
}

}  // namespace hemlockwick
