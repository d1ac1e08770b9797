#include "Flow/route_table.h"

#include <algorithm>
#include <utility>

namespace hemlockwick {

namespace {

// Longest lifetime of a flow; older flows may be discarded.
constexpr Duration kFlowLifetime = std::chrono::seconds(60);

}  // namespace

auto IsTarget(const Route& route, ServiceId service) -> bool {
  return std::ranges::find(route.targets, service, &RouteTarget::service) !=
         route.targets.end();
}

RouteTable::RouteTable(std::shared_ptr<const RouteSet> routes,
                       const RouteTable* previous, TimePoint now)
    : routes_(std::move(routes)),
      history_complete_at_(previous == nullptr
                               ? now + kFlowLifetime
                               : previous->history_complete_at_) {
  for (const auto& route : routes_->routes) {
    by_address_.emplace(route.address, &route);
  }
  for (const auto& limits : routes_->services) {
    cold_openings_per_second_.emplace(limits.service,
                                      limits.cold_openings_per_second);
  }
  if (previous != nullptr) {
    KeepFormerTargets(*previous, now);
  }
}

void RouteTable::KeepFormerTargets(const RouteTable& previous, TimePoint now) {
  for (const auto& [address, targets] : previous.former_) {
    for (const auto& target : targets) {
      if (now < target.until) {
        former_[address].push_back(target);
      }
    }
  }
  for (const auto& route : previous.routes_->routes) {
    const auto* const present = Find(route.address);
    for (const auto& target : route.targets) {
      if (present == nullptr || !IsTarget(*present, target.service)) {
        former_[route.address].push_back({target.service, now + kFlowLifetime});
      }
    }
  }
}

auto RouteTable::Find(const SocketAddress& address) const -> const Route* {
  const auto found = by_address_.find(address);
  return found == by_address_.end() ? nullptr : found->second;
}

auto RouteTable::ColdOpeningsPerSecond(ServiceId service) const -> double {
  const auto found = cold_openings_per_second_.find(service);
  return found == cold_openings_per_second_.end() ? 0 : found->second;
}

auto RouteTable::MayServe(const Route& route, ServiceId service,
                          TimePoint now) const -> bool {
  if (IsTarget(route, service) || now < history_complete_at_) {
    return true;
  }
  const auto found = former_.find(route.address);
  return found != former_.end() &&
         std::ranges::any_of(found->second, [&](const auto& target) {
           return target.service == service && now < target.until;
         });
}

}  // namespace hemlockwick
