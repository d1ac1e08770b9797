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

// Calls of edge processes to a relay, over HTTP.

// A call to a relay, as its path and query.
struct RelayQuery {
  std::optional<Revision> after;  // Nothing: everything.
  Version version;                // Of the routes that the caller holds.
  Duration wait{0};
  Watcher watcher;
};

[[nodiscard]] auto FormatQuery(const RelayQuery& query) -> std::string;

// Nothing when `target` is not such a call.
[[nodiscard]] auto ParseQuery(std::string_view target)
    -> std::optional<RelayQuery>;

// A call with reports about endpoints to a relay, as its path and query.
[[nodiscard]] auto FormatReports(const HealthReports& reports) -> std::string;

// Nothing when `target` is not such a call.
[[nodiscard]] auto ParseReports(std::string_view target)
    -> std::optional<HealthReports>;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_EDGE_RELAY_CALL_H_
