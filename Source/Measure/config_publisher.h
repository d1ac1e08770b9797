#ifndef HEMLOCKWICK_MEASURE_CONFIG_PUBLISHER_H_
#define HEMLOCKWICK_MEASURE_CONFIG_PUBLISHER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "Config/published_value.h"
#include "Core/random.h"
#include "Core/time.h"

namespace hemlockwick {

// How many objects a generated configuration holds.
struct ConfigSize {
  std::size_t data_centres = 3;
  std::size_t services = 4;
  std::size_t endpoints_per_service = 9;
};

// Generates a configuration and successive changes of it, as an operator would
// publish them.
class ConfigPublisher {
 public:
  ConfigPublisher(const ConfigSize& size, std::uint64_t seed);

  // The values of the next version, in which one endpoint's weight differs.
  auto NextVersion(TimePoint now) -> std::vector<PublishedValue>;

  // The version that NextVersion returned last.
  [[nodiscard]] auto version() const -> Version { return version_; }

 private:
  void ChangeOne(TimePoint now);

  Random random_;
  Version version_;
  std::vector<DataCentre> data_centres_;
  std::vector<std::shared_ptr<const Service>> services_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_CONFIG_PUBLISHER_H_
