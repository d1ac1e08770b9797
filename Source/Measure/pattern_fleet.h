#ifndef HEMLOCKWICK_MEASURE_PATTERN_FLEET_H_
#define HEMLOCKWICK_MEASURE_PATTERN_FLEET_H_

#include <cstddef>
#include <memory>
#include <vector>

#include "Core/ids.h"
#include "Core/time.h"
#include "Flow/endpoint_directory.h"
#include "Measure/pattern_endpoint.h"
#include "Measure/token_pattern.h"

namespace hemlockwick {

// The service of every pattern and its address.
inline constexpr ServiceId kPatternService{7};
inline constexpr SocketAddress kPatternAddress{Ipv4Address(0xC6120001),
                                               Port(443)};

// The endpoints of a pattern, what the platform says of them, and which of
// them can be reached. The endpoint with id N is at position N - 1.
class PatternFleet {
 public:
  PatternFleet(const TokenPattern& pattern, TimePoint now);

  [[nodiscard]] auto endpoints() const -> const std::vector<PatternEndpoint>& {
    return endpoints_;
  }
  [[nodiscard]] auto at(EndpointId id) -> PatternEndpoint& {
    return endpoints_.at(PositionOf(id));
  }

  // Puts the pattern's fault on the first of its endpoints.
  void BeginFault();

  // Removes the entries of endpoints that have fallen dark.
  void EndListing(TimePoint now);

  // Drains the endpoint at `position`; a new one takes its place.
  void Replace(std::size_t position, TimePoint now);

  // Sets the speeds that endpoints have at `time` after the start.
  void SetSpeeds(Duration time);

  // The first data centre loses sight of the others, and finds them again.
  void BeginCut() { is_cut_ = true; }
  void EndCut() { is_cut_ = false; }
  [[nodiscard]] auto IsReachable(DataCentreId from, EndpointId to) -> bool;

  // Whether an endpoint other than `id` could begin work at once.
  [[nodiscard]] auto HasIdleSlotBeside(EndpointId id) const -> bool;

  [[nodiscard]] auto TakeSnapshot(TimePoint now)
      -> std::shared_ptr<const DirectorySnapshot>;

  // The endpoints that served all the time.
  [[nodiscard]] auto Served() const -> std::vector<EndpointId>;

 private:
  static auto PositionOf(EndpointId id) -> std::size_t {
    return id.value() - 1;
  }
  void Add(DataCentreId data_centre, TimePoint cold_until);
  void Report(EndpointId id);

  const TokenPattern pattern_;
  std::vector<PatternEndpoint> endpoints_;
  std::size_t first_count_ = 0;  // Endpoints at the start.
  EndpointDirectory directory_;
  bool is_cut_ = false;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_PATTERN_FLEET_H_
