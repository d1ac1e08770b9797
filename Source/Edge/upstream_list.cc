#include "Edge/upstream_list.h"

#include <algorithm>

#include "Core/hash.h"
#include "Edge/packed_address.h"

namespace hemlockwick {

namespace {

auto OrderOf(const Upstream& upstream) -> std::uint64_t {
  return upstream.distance == Upstream::Distance::kNear ? upstream.near_order
                                                        : upstream.far_order;
}

auto IsBefore(const Upstream& left, const Upstream& right) -> bool {
  return left.distance != right.distance ? left.distance < right.distance
                                         : OrderOf(left) < OrderOf(right);
}

}  // namespace

UpstreamList::UpstreamList(const std::vector<SocketAddress>& seeds,
                           DataCentreId data_centre, Random& random,
                           TimePoint now) {
  platform_.retry_at = now;
  for (const auto& seed : seeds) {
    seeds_.push_back(
        {.relay = seed,
         .retry_at = now,
         .near_order = random.engine()(),
         .far_order = MixWords(data_centre.value(), PackAddress(seed))});
  }
  std::ranges::sort(seeds_, IsBefore);
}

auto UpstreamList::Choose(bool platform_first, TimePoint now) const
    -> const Upstream& {
  auto order = std::vector<const Upstream*>();
  if (platform_first) {
    order.push_back(&platform_);
  }
  for (const auto* const list : {&referred_, &seeds_}) {
    for (const auto& upstream : *list) {
      order.push_back(&upstream);
    }
  }
  if (!platform_first) {
    order.push_back(&platform_);
  }
  const auto ready = std::ranges::find_if(
      order, [now](const auto* upstream) { return upstream->retry_at <= now; });
  if (ready != order.end()) {
    return **ready;
  }
  return **std::ranges::min_element(
      order, {}, [](const auto* upstream) { return upstream->retry_at; });
}

auto UpstreamList::Find(const std::optional<SocketAddress>& relay)
    -> Upstream* {
  if (!relay) {
    return &platform_;
  }
  for (auto* const list : {&referred_, &seeds_}) {
    const auto found = std::ranges::find(*list, relay, &Upstream::relay);
    if (found != list->end()) {
      return &*found;
    }
  }
  return nullptr;
}

void UpstreamList::SetDistance(const SocketAddress& relay,
                               Upstream::Distance distance) {
  auto* const upstream = Find(relay);
  if (upstream != nullptr) {
    upstream->distance = distance;
    std::ranges::stable_sort(seeds_, IsBefore);
  }
}

void UpstreamList::SetReferred(const std::vector<SocketAddress>& relays,
                               TimePoint now) {
  referred_.clear();
  for (const auto& relay : relays) {
    if (Find(relay) == nullptr) {
      referred_.push_back({.relay = relay, .retry_at = now});
    }
  }
}

void UpstreamList::KeepOnlyReferred(const SocketAddress& relay) {
  std::erase_if(referred_, [&relay](const auto& upstream) {
    return *upstream.relay != relay;
  });
}

void UpstreamList::BackOff(const SocketAddress& relay, TimePoint retry_at) {
  auto* const upstream = Find(relay);
  if (upstream != nullptr) {
    upstream->retry_at = retry_at;
  }
}

void UpstreamList::RetryNow(const SocketAddress& relay, TimePoint now) {
  auto* const upstream = Find(relay);
  if (upstream == nullptr) {
    referred_.insert(referred_.begin(),
                     {.relay = relay,
                      .retry_at = now,
                      .distance = Upstream::Distance::kNear});
    return;
  }
  upstream->retry_at = now;
}

void UpstreamList::RetryAll(TimePoint now) {
  platform_.retry_at = std::min(platform_.retry_at, now);
  for (auto& seed : seeds_) {
    if (seed.failures == 0) {
      seed.retry_at = std::min(seed.retry_at, now);
    }
  }
}

auto UpstreamList::HasReady(bool referred_only, TimePoint now) const -> bool {
  const auto is_ready = [now](const Upstream& upstream) {
    return upstream.retry_at <= now;
  };
  return std::ranges::any_of(referred_, is_ready) ||
         (!referred_only &&
          (std::ranges::any_of(seeds_, is_ready) || is_ready(platform_)));
}

}  // namespace hemlockwick
