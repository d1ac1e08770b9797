#ifndef HEMLOCKWICK_CONFIG_REFERENCE_CYCLES_H_
#define HEMLOCKWICK_CONFIG_REFERENCE_CYCLES_H_

#include <cstddef>
#include <vector>

namespace hemlockwick {

// A directed graph: for each node, the nodes that its edges lead to.
using ReferenceGraph = std::vector<std::vector<std::size_t>>;

// Returns the cycles of the graph, each once and starting at its smallest node.
// Cycles that share a node with an earlier one may be omitted; the result is
// empty only if the graph has no cycle.
[[nodiscard]] auto FindCycles(const ReferenceGraph& graph)
    -> std::vector<std::vector<std::size_t>>;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_CONFIG_REFERENCE_CYCLES_H_
