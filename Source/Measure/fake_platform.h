#ifndef HEMLOCKWICK_MEASURE_FAKE_PLATFORM_H_
#define HEMLOCKWICK_MEASURE_FAKE_PLATFORM_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Config/published_value.h"
#include "Core/time.h"
#include "Fleet/fleet_node.h"

namespace hemlockwick {

// How the fake platform behaves towards readers.
enum class PlatformMode {
  kCurrent,
  kDown,    // Answers nothing.
  kFrozen,  // Goes on serving what it had when it was frozen.
};

// A stand-in for the platform's readable and watchable values. Counts calls,
// lags with the instance list, and can freeze, go down and be rolled back.
class FakePlatform {
 public:
  void Write(const std::vector<PublishedValue>& values);
  void Write(const std::string& key, std::string body);

  // Keeps the present values for a later RollBack.
  void Save() { saved_ = values_; }
  void RollBack() { values_ = saved_; }

  void SetMode(PlatformMode mode);
  [[nodiscard]] auto mode() const -> PlatformMode { return mode_; }

  // The answer at this moment: that of a read without wait, or of a watch that
  // ends now.
  [[nodiscard]] auto Answer(const PlatformRead& read) const -> PlatformAnswer;

  // Whether a watch for the read has an answer other than kUnchanged.
  [[nodiscard]] auto HasChanged(const PlatformRead& read) const -> bool;

  void CountCall() { ++calls_; }
  [[nodiscard]] auto calls() const -> std::uint64_t { return calls_; }

 private:
  struct Value {
    std::string body;
    std::uint64_t index = 0;
  };
  using Values = std::map<std::string, Value>;

  [[nodiscard]] auto visible() const -> const Values& {
    return mode_ == PlatformMode::kFrozen ? frozen_ : values_;
  }

  Values values_;
  Values frozen_;
  Values saved_;
  PlatformMode mode_ = PlatformMode::kCurrent;
  std::uint64_t next_index_ = 1;
  std::uint64_t calls_ = 0;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_FAKE_PLATFORM_H_
