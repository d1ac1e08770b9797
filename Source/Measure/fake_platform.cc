#include "Measure/fake_platform.h"

#include <utility>

namespace hemlockwick {

void FakePlatform::Write(const std::vector<PublishedValue>& values) {
  for (const auto& value : values) {
    // Shard values never change, so they keep their index.
    if (value.key == kIndexKey || !values_.contains(value.key)) {
      Write(value.key, value.body);
    }
  }
}

void FakePlatform::Write(const std::string& key, std::string body) {
  values_[key] = Value{std::move(body), next_index_++};
}

void FakePlatform::SetMode(PlatformMode mode) {
  if (mode == PlatformMode::kFrozen && mode_ != PlatformMode::kFrozen) {
    frozen_ = values_;
  }
  mode_ = mode;
}

auto FakePlatform::HasChanged(const PlatformRead& read) const -> bool {
  const auto found = visible().find(read.key);
  return found != visible().end() && found->second.index > read.after;
}

auto FakePlatform::Answer(const PlatformRead& read) const -> PlatformAnswer {
  if (mode_ == PlatformMode::kDown) {
    return PlatformAnswer{read.key, PlatformStatus::kUnreachable, 0, ""};
  }
  const auto found = visible().find(read.key);
  if (found == visible().end()) {
    return PlatformAnswer{read.key, PlatformStatus::kMissing, 0, ""};
  }
  const auto& value = found->second;
  if (value.index <= read.after) {
    return PlatformAnswer{read.key, PlatformStatus::kUnchanged, value.index,
                          ""};
  }
  return PlatformAnswer{read.key, PlatformStatus::kValue, value.index,
                        value.body};
}

}  // namespace hemlockwick
