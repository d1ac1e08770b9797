#ifndef HEMLOCKWICK_EDGE_ROUTER_LOG_H_
#define HEMLOCKWICK_EDGE_ROUTER_LOG_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>

#include "Core/time.h"
#include "Flow/token_router.h"

namespace hemlockwick {

// An endpoint id or token as it appears in the log, in hexadecimal.
[[nodiscard]] auto HexOf(std::uint64_t number) -> std::string;

// Logs an event of a router. `directory` is the snapshot that the router uses;
// null when it has none.
void LogRouterEvent(const RouterEvent& event,
                    const DirectorySnapshot* directory, TimePoint now);

// Logs changes of the directory: one line each for the first kMaxEventLines,
// and one line with the counts by kind of the others.
void LogDirectoryEvents(std::span<const DirectoryEvent> events);
inline constexpr std::size_t kMaxEventLines = 64;

// Logs evacuations that have started or ended, in the same way.
void LogEvacuations(std::span<const EvacuationEvent> events);

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_EDGE_ROUTER_LOG_H_
