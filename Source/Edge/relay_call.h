#ifndef HEMLOCKWICK_EDGE_RELAY_CALL_H_
#define HEMLOCKWICK_EDGE_RELAY_CALL_H_

#include <optional>
#include <string>
#include <string_view>

#include "Core/time.h"
#include "Edge/directory_update.h"
#include "Edge/health_report.h"
#include "Edge/relay_tree.h"

namespace hemlockwick {

// Requests of edge processes to a relay, sent over HTTP.

// A call that reads or watches the directory at a relay.
struct RelayQuery {
  // nullopt: the complete directory. Earlier versions do not send the era.
  std::optional<Position> after;
  Version version;  // Of the routes that the caller holds.
  Duration wait{0};
  Watcher watcher;
};

// The path and query of the call.
[[nodiscard]] auto FormatQuery(const RelayQuery& query) -> std::string;

// Returns nullopt when `target` is not such a call.
[[nodiscard]] auto ParseQuery(std::string_view target)
    -> std::optional<RelayQuery>;

// The path and query of a call that sends health reports to a relay.
[[nodiscard]] auto FormatReports(const HealthReports& reports) -> std::string;

// Returns nullopt when `target` is not such a call.
[[nodiscard]] auto ParseReports(std::string_view target)
    -> std::optional<HealthReports>;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_EDGE_RELAY_CALL_H_
