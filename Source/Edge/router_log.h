#ifndef HEMLOCKWICK_EDGE_ROUTER_LOG_H_
#define HEMLOCKWICK_EDGE_ROUTER_LOG_H_

#include "Core/time.h"
#include "Flow/token_router.h"

namespace hemlockwick {

// The name of an endpoint or token in the log: its number in hex.
[[nodiscard]] auto HexOf(std::uint64_t number) -> std::string;

// Writes a router's note to the log. `directory` is what the decision was
// based on; null when there was none.
void LogNote(const RouterNote& note, const DirectorySnapshot* directory,
             TimePoint now);

// Writes a change of the directory to the log.
void LogDirectoryEvent(const DirectoryEvent& event);

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_EDGE_ROUTER_LOG_H_
