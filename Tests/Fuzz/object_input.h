#ifndef HEMLOCKWICK_TESTS_FUZZ_OBJECT_INPUT_H_
#define HEMLOCKWICK_TESTS_FUZZ_OBJECT_INPUT_H_

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "Config/config_check.h"
#include "Config/published_value.h"

namespace hemlockwick {

enum class ObjectInputResult {
  kRefused,       // The input was refused.
  kAccepted,      // It was accepted and its published values can be assembled.
  kInconsistent,  // It was accepted but its published values cannot be
                  // assembled.
};

// Reads and checks the objects in `text`, encodes them and assembles the
// decoded values.
inline auto RunObjectInput(const std::string& text) -> ObjectInputResult {
  auto reader = ObjectReader();
  reader.Read(text, "input.yaml");
  const auto outcome = CheckObjects(reader, PreviousConfig(), Version(1),
                                    FromUnixMillis(1'800'000'000'000));
  if (outcome.config == nullptr) {
    return ObjectInputResult::kRefused;
  }
  return TryOr(
      [&outcome]() -> Result<ObjectInputResult> {
        const auto values = EncodeFleetConfig(*outcome.config);
        BOOST_LEAF_AUTO(index, DecodeIndex(values.back().body));
        auto shards = std::vector<std::shared_ptr<const ConfigShard>>();
        for (std::size_t at = 0; at + 1 < values.size(); ++at) {
          BOOST_LEAF_AUTO(shard, DecodeShard(values[at].body));
          shards.push_back(shard);
        }
        BOOST_LEAF_AUTO(config, AssembleFleetConfig(index, shards));
        return config == nullptr ? ObjectInputResult::kInconsistent
                                 : ObjectInputResult::kAccepted;
      },
      [](const Error&) { return ObjectInputResult::kInconsistent; });
}

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_TESTS_FUZZ_OBJECT_INPUT_H_
