#ifndef HEMLOCKWICK_EDGE_ROUTER_LOG_H_
#define HEMLOCKWICK_EDGE_ROUTER_LOG_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>

#include "Core/time.h"
#include "Flow/token_router.h"

namespace hemlockwick {

// The name of an endpoint or token in the log: its number in hex.
[[nodiscard]] auto HexOf(std::uint64_t number) -> std::string;

// Writes a router's note to the log. `directory` is what the decision was
// based on; null when there was none.
void LogNote(const RouterEvent& note, const DirectorySnapshot* directory,
             TimePoint now);

// Writes changes of the directory to the log: one line each for the first
// kMaxEventLines, and one line with the numbers of the others.
void LogDirectoryEvents(std::span<const DirectoryEvent> events);
inline constexpr std::size_t kMaxEventLines = 64;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_EDGE_ROUTER_LOG_H_
