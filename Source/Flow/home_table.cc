#include "Flow/home_table.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "Core/hash.h"

namespace hemlockwick {

namespace {

constexpr std::size_t kHomeSlots = 1024;
constexpr std::uint64_t kSlotSeed = 0x686F6D65;
constexpr std::uint16_t kNoMember = 0xFFFF;

auto RegionOf(const FleetConfig& config, DataCentreId data_centre)
    -> std::optional<RegionId> {
  for (const auto& entry : config.data_centres) {
    if (entry.id == data_centre) {
      return entry.region;
    }
  }
  return std::nullopt;
}

auto IsUnreachable(const MemberView& view, DataCentreId data_centre) -> bool {
  return std::find(view.unreachable.begin(), view.unreachable.end(),
                   data_centre) != view.unreachable.end();
}

}  // namespace

HomeTable::HomeTable(std::vector<HomeMember> members)
    : members_(std::move(members)) {
  slots_.reserve(kHomeSlots);
  for (std::size_t number = 0; number < kHomeSlots; ++number) {
    slots_.push_back(MakeSlot(number));
  }
}

auto HomeTable::MakeSlot(std::uint64_t number) const -> Slot {
  auto slot = Slot{kNoMember, kNoMember, kNoMember};
  // Returns the member with the highest score for which `usable` holds.
  const auto best = [this, number](auto usable) {
    auto winner = kNoMember;
    auto best_score = std::uint64_t{0};
    for (std::size_t i = 0; i < members_.size(); ++i) {
      const auto score = MixWords(members_[i].id.value(), number);
      if (usable(static_cast<MemberIndex>(i)) && score >= best_score) {
        best_score = score;
        winner = static_cast<MemberIndex>(i);
      }
    }
    return winner;
  };
  const auto elsewhere = [this](MemberIndex left, MemberIndex right) {
    return members_[left].data_centre != members_[right].data_centre;
  };
  slot.first = best([](MemberIndex) { return true; });
  slot.second =
      best([&](MemberIndex index) { return elsewhere(index, slot.first); });
  if (slot.second == kNoMember) {
    slot.second = best([&](MemberIndex index) { return index != slot.first; });
  }
  if (slot.second == kNoMember) {
    return slot;
  }
  slot.third = best([&](MemberIndex index) {
    return elsewhere(index, slot.first) && elsewhere(index, slot.second);
  });
  return slot;
}

auto HomeTable::At(MemberIndex index) const -> const HomeMember* {
  return index == kNoMember ? nullptr : &members_[index];
}

auto HomeTable::HomesOf(FlowKey flow) const -> Homes {
  const auto& slot = slots_[MixWords(flow.value(), kSlotSeed) % kHomeSlots];
  return {At(slot.first), At(slot.second), At(slot.third)};
}

auto HomeTable::Find(const HomeMember& wanted) const -> const HomeMember* {
  for (const auto& member : members_) {
    if (member.id == wanted.id && member.started == wanted.started) {
      return &member;
    }
  }
  return nullptr;
}

auto RunningMembersOf(const MemberView& view, const FleetConfig& config)
    -> std::vector<HomeMember> {
  const auto own_region = RegionOf(config, view.data_centre);
  auto running = std::vector<HomeMember>();
  for (const auto& member : view.members) {
    const auto is_self = member.id == view.self;
    const auto reached = is_self || !IsUnreachable(view, member.data_centre);
    const auto near = RegionOf(config, member.data_centre) == own_region;
    if (member.state != MemberState::kDead && reached && near) {
      running.push_back({member.id, member.data_centre, member.packet_address,
                         member.http_address, member.started,
                         member.state == MemberState::kSuspect});
    }
  }
  return running;
}

auto HomeMembersOf(const MemberView& view, const FleetConfig& config,
                   bool self_leaves) -> std::vector<HomeMember> {
  auto homes = RunningMembersOf(view, config);
  std::erase_if(homes, [&view, self_leaves](const HomeMember& home) {
    const auto* member = FindMember(view, home.id);
    const auto leaves = self_leaves && home.id == view.self;
    return leaves || !IsServing(member->state);
  });
  return homes;
}

}  // namespace hemlockwick
