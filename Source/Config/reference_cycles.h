#ifndef HEMLOCKWICK_CONFIG_REFERENCE_CYCLES_H_
#define HEMLOCKWICK_CONFIG_REFERENCE_CYCLES_H_

#include <cstddef>
#include <vector>

namespace hemlockwick {

// Edges of a directed graph: the positions that each position refers to.
using ReferenceGraph = std::vector<std::vector<std::size_t>>;

// Returns the cycles of the graph, each once and starting at its smallest
// position. Cycles that share a position with an earlier one may be left out;
// the result is empty only when the graph has no cycle.
[[nodiscard]] auto FindCycles(const ReferenceGraph& graph)
    -> std::vector<std::vector<std::size_t>>;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_CONFIG_REFERENCE_CYCLES_H_
