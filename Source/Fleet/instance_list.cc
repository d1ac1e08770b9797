#include "Fleet/instance_list.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace hemlockwick {

namespace {

using nlohmann::json;

auto ToListedInstance(const json& value) -> Result<ListedInstance> {
  auto instance = ListedInstance();
  instance.name = value.at("name").get<std::string>();
  instance.data_centre = value.at("data_centre").get<std::string>();
  BOOST_LEAF_ASSIGN(
      instance.http_address,
      ParseSocketAddress(value.at("http").get_ref<const std::string&>()));
  BOOST_LEAF_ASSIGN(
      instance.packet_address,
      ParseSocketAddress(value.at("packet").get_ref<const std::string&>()));
  instance.leaving = value.value("leaving", false);
  return instance;
}

}  // namespace

auto EncodeInstanceList(const std::vector<ListedInstance>& instances)
    -> std::string {
  auto values = json::array();
  for (const auto& instance : instances) {
    values.push_back({{"name", instance.name},
                      {"data_centre", instance.data_centre},
                      {"http", ToString(instance.http_address)},
                      {"packet", ToString(instance.packet_address)},
                      {"leaving", instance.leaving}});
  }
  return values.dump();
}

auto DecodeInstanceList(std::string_view text)
    -> Result<std::vector<ListedInstance>> {
  try {
    auto instances = std::vector<ListedInstance>();
    for (const auto& value : json::parse(text)) {
      BOOST_LEAF_AUTO(instance, ToListedInstance(value));
      instances.push_back(std::move(instance));
    }
    return instances;
  } catch (const json::exception& error) {
    return Fail(ErrorCode::kInvalidArgument,
                std::string("malformed instance list: ") + error.what());
  }
}

}  // namespace hemlockwick
