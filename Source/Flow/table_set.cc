#include "Flow/table_set.h"

#include <algorithm>
#include <utility>

#include "Flow/bucket_table.h"

namespace hemlockwick {

namespace {

auto AsPastSet(const ServiceTable& table) -> EndpointSet {
  auto set = EndpointSet();
  set.published = table.published_at();
  for (const auto& endpoint : table.service().endpoints) {
    if (endpoint.state != EndpointState::kDraining && endpoint.weight > 0) {
      set.endpoints.push_back({endpoint.id, endpoint.address,
                               endpoint.data_centre, endpoint.weight});
    }
  }
  return set;
}

auto IsListed(const std::vector<EndpointSet>& sets,
              const std::vector<BucketShare>& shares) -> bool {
  return std::any_of(
      sets.begin(), sets.end(),
      [&shares](const EndpointSet& set) { return SharesOf(set) == shares; });
}

// The publication time of the present endpoint set, from the endpoint history
// or the earlier table; `published` if neither has it. Removes the present set
// from the end of `past`.
auto PublicationTimeOf(const Service& service, const ServiceTable* before,
                       std::vector<EndpointSet>& past, TimePoint published)
    -> TimePoint {
  const auto shares = SharesOf(service);
  // The history may end with the present set itself.
  if (!past.empty() && SharesOf(past.back()) == shares) {
    const auto published_at = past.back().published;
    past.pop_back();
    return published_at;
  }
  if (before != nullptr && SharesOf(before->service()) == shares) {
    return before->published_at();
  }
  return published;
}

}  // namespace

auto MergePastSets(const Service& service, const ServiceTable* before)
    -> std::vector<EndpointSet> {
  auto sets = service.endpoint_history;
  if (before == nullptr) {
    return sets;
  }
  auto known = before->past();
  known.push_back(AsPastSet(*before));
  const auto present = SharesOf(service);
  const auto last_is_present = SharesOf(known.back()) == present;
  if (last_is_present) {
    known.pop_back();
  }
  for (auto& set : known) {
    if (!IsListed(sets, SharesOf(set))) {
      sets.push_back(std::move(set));
    }
  }
  std::stable_sort(sets.begin(), sets.end(),
                   [](const EndpointSet& a, const EndpointSet& b) {
                     return a.published < b.published;
                   });
  return sets;
}

void TableSet::Apply(const FleetConfig& config, TimePoint now) {
  DropMissing(config);
  for (const auto& service : config.services) {
    if (service->kind != ServiceKind::kFlow) {
      continue;
    }
    const auto found = by_id_.find(service->id);
    const auto* before = found == by_id_.end() ? nullptr : found->second.get();
    if (before != nullptr && before->shared_service() == service) {
      continue;
    }
    auto past = MergePastSets(*service, before);
    const auto published_at =
        PublicationTimeOf(*service, before, past, config.published);
    Replace(std::make_shared<const ServiceTable>(service, std::move(past),
                                                 published_at, now));
  }
  RebuildIndex();
}

auto TableSet::Advance(TimePoint now) -> bool {
  if (now < next_change_) {
    return false;
  }
  auto due = std::vector<TablePtr>();
  for (const auto& [id, table] : by_id_) {
    if (table->next_change() <= now) {
      due.push_back(table);
    }
  }
  for (const auto& table : due) {
    Replace(std::make_shared<const ServiceTable>(
        table->shared_service(), table->past(), table->published_at(), now));
  }
  RebuildIndex();
  return true;
}

void TableSet::Replace(TablePtr table) {
  const auto id = table->service().id;
  auto& present = by_id_[id];
  address_usage_.Replace(id, present.get(), table.get());
  present = std::move(table);
}

void TableSet::DropMissing(const FleetConfig& config) {
  std::erase_if(by_id_, [this, &config](const auto& entry) {
    if (FindService(config, entry.first) != nullptr) {
      return false;
    }
    address_usage_.Replace(entry.first, entry.second.get(), nullptr);
    return true;
  });
}

void TableSet::RebuildIndex() {
  auto index = std::make_shared<TablesByAddress>();
  index->reserve(by_id_.size());
  next_change_ = TimePoint::max();
  for (const auto& [id, table] : by_id_) {
    index->emplace(table->service().address, table);
    next_change_ = std::min(next_change_, table->next_change());
  }
  by_address_ = std::move(index);
  quarantined_ = address_usage_.quarantined();
}

auto TableSet::Find(ServiceId service) const -> const ServiceTable* {
  const auto found = by_id_.find(service);
  return found == by_id_.end() ? nullptr : found->second.get();
}

auto TableSet::unsettled_buckets() const -> std::size_t {
  auto total = std::size_t{0};
  for (const auto& [id, table] : by_id_) {
    total += table->unsettled_count();
  }
  return total;
}

auto TableSet::total_buckets() const -> std::size_t {
  auto total = std::size_t{0};
  for (const auto& [id, table] : by_id_) {
    total += table->bucket_count();
  }
  return total;
}

auto TableSet::bytes() const -> std::size_t {
  auto total = std::size_t{0};
  for (const auto& [id, table] : by_id_) {
    total += table->bytes() + sizeof(TablesByAddress::value_type) +
             sizeof(decltype(by_id_)::value_type);
  }
  return total;
}

}  // namespace hemlockwick
