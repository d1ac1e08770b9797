#ifndef HEMLOCKWICK_MEASURE_TOKEN_PATTERN_H_
#define HEMLOCKWICK_MEASURE_TOKEN_PATTERN_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "Core/ids.h"
#include "Core/time.h"

namespace hemlockwick {

// A kind of request in a load pattern.
struct PatternKind {
  double per_second = 0;
  Duration mean_work{0};  // Of usual requests; see TokenWorld.
  Duration aim{0};        // A later answer counts as late.
  Duration deadline{0};   // The caller then gives up.
  // Requests that a flow carries one after the other, and the mean pause
  // between them.
  std::uint32_t requests_per_flow = 1;
  Duration pause{0};
  // Whether a request that may have run is tried again.
  bool idempotent = true;
  // Share of the answers that fit into one packet. The caller acknowledges
  // these with its next packet or after the delay of a lone acknowledgement.
  double one_packet_share = 0;
};

// A data centre of a load pattern.
struct PatternDataCentre {
  std::size_t instances = 0;
  std::size_t endpoints = 0;
  double callers = 1;  // In proportion to those of the other data centres.
};

// Data centres with equal shares of the load.
[[nodiscard]] auto EvenDataCentres(std::size_t count, std::size_t instances,
                                   std::size_t endpoints)
    -> std::vector<PatternDataCentre>;

// The id of the data centre at a position of a pattern.
[[nodiscard]] constexpr auto DataCentreAt(std::size_t position)
    -> DataCentreId {
  return DataCentreId(1 + position);
}

// The data centre of each instance or endpoint, taking one of each data centre
// in turn as long as it has more.
[[nodiscard]] auto SpreadOver(
    const std::vector<PatternDataCentre>& data_centres,
    std::size_t PatternDataCentre::*number) -> std::vector<DataCentreId>;

// What befalls endpoints in a load pattern, from `at` on.
enum class PatternFault : std::uint8_t {
  kNone,
  kDark,  // They answer nothing; the platform still lists them for a while.
  kSlow,  // Their work takes five times as long.
  kMute,  // They leave most requests unanswered, and answer the others.
  kResetting,  // They reset most flows at their first request.
  // Not of endpoints: the first data centre loses sight of the others.
  kCut,
  kRelease,  // They are replaced one after the other by new ones.
};

// Whether requests fail at endpoints that have the fault.
[[nodiscard]] constexpr auto MakesFail(PatternFault fault) -> bool {
  return fault == PatternFault::kDark || fault == PatternFault::kMute ||
         fault == PatternFault::kResetting;
}

// Speed of some endpoints of a pattern from `at` on.
struct PatternSpeed {
  Duration at{0};
  double speed = 1;
  // Endpoints come in rounds of one of each data centre; of each `rounds` in a
  // row, those from `first` on, `count` of them, have the speed.
  std::size_t rounds = 1;
  std::size_t first = 0;
  std::size_t count = 1;

  // Whether the endpoint at `position` has the speed.
  [[nodiscard]] auto Covers(std::size_t position,
                            std::size_t data_centres) const -> bool {
    const auto round = position / data_centres % rounds;
    return round >= first && round < first + count;
  }
};

// A load and a fault, as recorded on a day that was played.
struct TokenPattern {
  std::string name;
  std::vector<PatternDataCentre> data_centres;
  std::uint32_t slots = 1;
  std::vector<PatternKind> kinds;
  Duration length{0};
  PatternFault fault = PatternFault::kNone;
  std::size_t faulty_endpoints = 0;
  Duration fault_at{0};
  Duration fault_time{0};  // Of a cut; between two replacements of a release.
  // Flows come so many times as often for some time from `crowd_at` on; at the
  // start no instance knows anything.
  double crowd_factor = 1;
  Duration crowd_at{0};
  Duration crowd_time{0};
  // Whether flows of many requests are open at the start, opened within a
  // second, as many as carry the load.
  bool has_standing_flows = false;
  // Later ones replace earlier ones.
  std::vector<PatternSpeed> speeds{};
  // Share of its slots from which on an endpoint takes longer; see
  // PatternEndpoint.
  double knee = 1;
  // Time for which endpoints that a release starts are cold: slower, and
  // reported as cold.
  Duration cold_time{0};
  // From here on openings and runs of endpoints are counted.
  Duration counts_from{0};

  // Whether it is one of CapacityPatterns.
  [[nodiscard]] auto IsForCapacity() const -> bool {
    return counts_from > Duration(0);
  }
};

// Speed of the endpoint at a position of the pattern.
[[nodiscard]] auto SpeedAt(const TokenPattern& pattern, std::size_t position,
                           Duration time) -> double;

// The pattern with one endpoint that has all slots of the endpoints without a
// fault: a queue that sees every slot at every moment, which no placement of
// flows can pass.
[[nodiscard]] auto WithCentralQueue(TokenPattern pattern) -> TokenPattern;

// Patterns of endpoints that differ in speed, for learned capacity.
[[nodiscard]] auto CapacityPatterns() -> std::vector<TokenPattern>;

// The patterns that the product is measured by.
[[nodiscard]] auto TokenPatterns() -> std::vector<TokenPattern>;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_TOKEN_PATTERN_H_
