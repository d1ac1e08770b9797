#ifndef HEMLOCKWICK_RUNTIME_SETTINGS_H_
#define HEMLOCKWICK_RUNTIME_SETTINGS_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "Core/error.h"
#include "Core/finding.h"
#include "Core/net_address.h"
#include "Core/time.h"
#include "Runtime/log.h"

namespace hemlockwick {

// Settings of one instance, read from a YAML file; docs/help/serve.md lists
// the keys.
struct ServeSettings {
  std::string name;
  std::string data_centre;
  SocketAddress http;
  SocketAddress packet;
  SocketAddress platform;
  // Additional address that serves metrics. Port 0: only `http` serves them.
  SocketAddress metrics;
  std::vector<SocketAddress> seeds;
  // Address at which an edge process relays its directory of endpoints, in the
  // form in which the seeds list it.
  SocketAddress relay;
  // Processor cores and link speed (Mbit/s) available to the instance. 0:
  // unknown.
  double processor_cores = 0;
  double link_mbps = 0;
  // Names of what the operator and the system have agreed on, in any order;
  // docs/help/edge.md lists those that have an effect.
  std::vector<std::string> terms;
  // Bound on the openings that reach a cold endpoint within a second: the rate
  // that its service is published to bear, times `cold_overage`, and
  // `cold_slack` openings. 0: not set; both are needed for a bound.
  double cold_overage = 0;
  double cold_slack = 0;
  std::size_t traffic_threads = 1;
  LogLevel log_level = LogLevel::kInfo;
  // After a stop signal: minimum time for which packets are still forwarded, so
  // that the fabric notices the stop, and maximum time until the process ends.
  Duration leave_grace = std::chrono::seconds(2);
  Duration drain_deadline = std::chrono::seconds(30);
  // An instance that starts before this time is part of the first start of a
  // deployment: no Idempotency-Key can have been used before.
  TimePoint first_start_until;

  friend auto operator==(const ServeSettings&, const ServeSettings&)
      -> bool = default;
};

struct SettingsResult {
  ServeSettings settings;  // Complete only if there are no findings.
  Findings findings;
};

// Parses settings from YAML text and reports all errors as findings. `file` is
// the name of the text in findings.
[[nodiscard]] auto ParseSettings(std::string_view text, const std::string& file)
    -> SettingsResult;

// Reads a whole file. Fails with kNotFound if it cannot be read or is empty.
[[nodiscard]] auto ReadTextFile(const std::string& path) -> Result<std::string>;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_RUNTIME_SETTINGS_H_
