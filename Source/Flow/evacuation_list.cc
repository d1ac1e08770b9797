#include "Flow/evacuation_list.h"

#include <unordered_set>
#include <utility>

namespace hemlockwick {

void EvacuationList::Apply(const Evacuation& evacuation, TimePoint now) {
  if (evacuation.is_evacuated) {
    Start(evacuation, now);
  } else {
    End(evacuation.data_centre, evacuation.revision, now);
  }
}

void EvacuationList::Start(const Evacuation& evacuation, TimePoint now) {
  const auto [entry, is_new] = entries_.try_emplace(
      evacuation.data_centre, Entry{now, true, std::nullopt});
  entry->second.is_confirmed = true;
  entry->second.ended_by.reset();
  if (is_new) {
    events_.push_back({evacuation});
    UpdateCurrent();
  }
}

void EvacuationList::End(const std::string& data_centre, Revision revision,
                         TimePoint now) {
  const auto found = entries_.find(data_centre);
  if (found == entries_.end()) {
    return;
  }
  if (defers_until_ && now < *defers_until_ && !found->second.is_confirmed) {
    found->second.ended_by = revision;
    return;
  }
  events_.push_back(
      {{data_centre, false, revision}, now - found->second.since});
  entries_.erase(found);
  UpdateCurrent();
}

void EvacuationList::EndOthers(const std::vector<Evacuation>& present,
                               Revision revision, TimePoint now) {
  auto kept = std::unordered_set<std::string>();
  for (const auto& evacuation : present) {
    if (evacuation.is_evacuated) {
      kept.insert(evacuation.data_centre);
    }
  }
  for (const auto& name : Names()) {
    if (!kept.contains(name)) {
      End(name, revision, now);
    }
  }
}

void EvacuationList::DeferEndsUntil(TimePoint until) {
  defers_until_ = until;
  for (auto& [name, entry] : entries_) {
    entry.is_confirmed = false;
  }
}

void EvacuationList::OnTick(TimePoint now) {
  if (!defers_until_ || now < *defers_until_) {
    return;
  }
  defers_until_.reset();
  for (const auto& name : Names()) {
    if (const auto ended_by = entries_.at(name).ended_by) {
      End(name, *ended_by, now);
    }
  }
}

auto EvacuationList::Names() const -> std::vector<std::string> {
  auto names = std::vector<std::string>();
  names.reserve(entries_.size());
  for (const auto& [name, entry] : entries_) {
    names.push_back(name);
  }
  return names;
}

auto EvacuationList::TakeEvents() -> std::vector<EvacuationEvent> {
  return std::exchange(events_, {});
}

// Snapshots share the current set, so a change replaces it.
void EvacuationList::UpdateCurrent() {
  auto current = std::make_shared<EvacuatedDataCentres>();
  for (const auto& [name, entry] : entries_) {
    current->emplace(IdFromName<DataCentreId>(name), entry.since);
  }
  current_ = std::move(current);
}

}  // namespace hemlockwick
