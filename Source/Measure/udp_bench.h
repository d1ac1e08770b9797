#ifndef HEMLOCKWICK_MEASURE_UDP_BENCH_H_
#define HEMLOCKWICK_MEASURE_UDP_BENCH_H_

#include <cstddef>
#include <cstdint>

#include "Core/error.h"

namespace hemlockwick {

struct UdpBenchSettings {
  std::size_t rounds = 4000;  // Batches for each forwarder.
  std::uint64_t random_seed = 1;
  std::size_t flows = 100'000;
};

// Time of one thread's core for one packet, in nanoseconds, for two
// forwarders in turn.
struct ForwarderPair {
  double bare_ns = 0;  // recvmmsg and sendmmsg of the same batch.
  double ours_ns = 0;  // The packet path of a traffic thread.

  // Our packet rate as a share of the bare forwarder's.
  [[nodiscard]] auto rate() const -> double { return bare_ns / ours_ns; }
};

struct UdpBenchFigures {
  ForwarderPair settled;   // No bucket changes its owner.
  ForwarderPair changing;  // An endpoint drains.
  double decode_ns = 0;    // Decode and decide alone, settled.
};

// Sends batches over loopback in turn to a bare forwarder and to a traffic
// thread's packet path and takes the median time of a batch.
[[nodiscard]] auto RunUdpBench(const UdpBenchSettings& settings)
    -> Result<UdpBenchFigures>;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_UDP_BENCH_H_
