#include "Config/shard_split.h"

#include <algorithm>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <numeric>
#include <string>

#include "Config/service_codec.h"

namespace hemlockwick {

namespace {

constexpr int kIdBits = 64;

struct EncodedService {
  std::uint64_t id = 0;
  std::string text;
};

using Iterator = std::vector<EncodedService>::iterator;

auto BytesOf(Iterator begin, Iterator end) -> std::size_t {
  return std::accumulate(begin, end, std::size_t{0},
                         [](std::size_t sum, const EncodedService& service) {
                           return sum + service.text.size();
                         });
}

auto Join(Iterator begin, Iterator end) -> std::string {
  auto text = std::string("[");
  for (auto at = begin; at != end; ++at) {
    text += (at == begin ? "" : ",") + at->text;
  }
  return text + "]";
}

// Appends the shards of the services in [begin, end), whose ids agree in their
// first `depth` bits.
void Split(Iterator begin, Iterator end, int depth,
           std::vector<std::string>& shards) {
  if (begin == end) {
    return;
  }
  const auto is_small = BytesOf(begin, end) <= kTargetShardBytes;
  if (is_small || end - begin == 1 || depth == kIdBits) {
    shards.push_back(Join(begin, end));
    return;
  }
  const auto bit = std::uint64_t{1} << (kIdBits - 1 - depth);
  const auto middle = std::partition_point(
      begin, end,
      [bit](const EncodedService& service) { return (service.id & bit) == 0; });
  Split(begin, middle, depth + 1, shards);
  Split(middle, end, depth + 1, shards);
}

}  // namespace

auto SplitIntoShards(
    const std::vector<std::shared_ptr<const Service>>& services)
    -> std::vector<std::string> {
  auto encoded = std::vector<EncodedService>();
  encoded.reserve(services.size());
  for (const auto& service : services) {
    encoded.push_back(
        EncodedService{service->id.value(), ServiceToJson(*service).dump()});
  }
  auto shards = std::vector<std::string>();
  Split(encoded.begin(), encoded.end(), 0, shards);
  return shards;
}

}  // namespace hemlockwick
