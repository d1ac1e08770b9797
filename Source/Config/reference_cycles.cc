#include "Config/reference_cycles.h"

#include <algorithm>
#include <utility>

namespace hemlockwick {

namespace {

// Returns for each node whether a cycle can be reached from it: repeatedly
// removes nodes without edges to remaining nodes. The nodes left over reach a
// cycle.
auto ReachesCycle(const ReferenceGraph& graph) -> std::vector<bool> {
  auto referrers = ReferenceGraph(graph.size());
  auto remaining = std::vector<std::size_t>(graph.size());
  auto resolved = std::vector<std::size_t>();
  for (std::size_t at = 0; at < graph.size(); ++at) {
    remaining[at] = graph[at].size();
    for (const auto target : graph[at]) {
      referrers[target].push_back(at);
    }
    if (remaining[at] == 0) {
      resolved.push_back(at);
    }
  }
  auto reaches = std::vector<bool>(graph.size(), true);
  while (!resolved.empty()) {
    const auto at = resolved.back();
    resolved.pop_back();
    reaches[at] = false;
    for (const auto referrer : referrers[at]) {
      if (--remaining[referrer] == 0) {
        resolved.push_back(referrer);
      }
    }
  }
  return reaches;
}

}  // namespace

auto FindCycles(const ReferenceGraph& graph)
    -> std::vector<std::vector<std::size_t>> {
  const auto reaches = ReachesCycle(graph);
  auto cycles = std::vector<std::vector<std::size_t>>();
  auto visited = std::vector<bool>(graph.size(), false);
  for (std::size_t start = 0; start < graph.size(); ++start) {
    auto path = std::vector<std::size_t>();
    auto at = start;
    while (reaches[at] && !visited[at]) {
      visited[at] = true;
      path.push_back(at);
      at =
          *std::find_if(graph[at].begin(), graph[at].end(),
                        [&reaches](std::size_t next) { return reaches[next]; });
    }
    const auto entry = std::find(path.begin(), path.end(), at);
    if (entry == path.end()) {
      continue;
    }
    auto cycle = std::vector<std::size_t>(entry, path.end());
    std::rotate(cycle.begin(), std::min_element(cycle.begin(), cycle.end()),
                cycle.end());
    cycles.push_back(std::move(cycle));
  }
  return cycles;
}

}  // namespace hemlockwick
