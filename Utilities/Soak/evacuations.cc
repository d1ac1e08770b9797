#include "Soak/evacuations.h"

namespace hemlockwick::soak {

namespace {

// An evacuation is in force everywhere this long after the store's
// acknowledgement.
constexpr Duration kEvacuationTime = std::chrono::seconds(4);

// Instances keep an evacuation that a restored store lacks for this long.
constexpr Duration kKeptTime = std::chrono::seconds(5);

// A data centre that the copy shows as evacuated is in use again this long
// after a restore: the operator writes within 3 s, and instances learn of the
// new era and then of the write.
constexpr Duration kRestoreTime = std::chrono::seconds(10);

auto KeyOf(const std::string& zone) -> std::string {
  return "op/evacuate/" + zone;
}

}  // namespace

void Evacuations::Start(const std::string& zone) {
  world_.Say("evacuate " + zone);
  world_.Count("evacuations");
  store_.Put(KeyOf(zone), "{}");
  requests_[zone] = {world_.Now(), world_.Now()};
}

void Evacuations::End(const std::string& zone) {
  if (requests_.erase(zone) > 0) {
    world_.Say("return " + zone + " to service");
    store_.Delete(KeyOf(zone));
    ended_[zone] = world_.Now();
  }
}

void Evacuations::EndAll() {
  while (!requests_.empty()) {
    End(std::string(requests_.begin()->first));
  }
}

// What an instance has known before lasts until kKeptTime.
void Evacuations::OnRestore() {
  restored_ = world_.Now();
  for (const auto& [key, knowledge] : known_) {
    if (IsEvacuated(key.first)) {
      world_.Count("evacuations that instances keep through a restore");
    }
  }
  world_.After(kKeptTime, [this, restored = restored_] {
    std::erase_if(known_, [restored](const auto& entry) {
      return entry.second.noted_at <= restored;
    });
  });
}

void Evacuations::WriteAgain() {
  for (const auto& [zone, ended] : ended_) {
    if (!IsEvacuated(zone)) {
      store_.Delete(KeyOf(zone));
    }
  }
  for (auto& [zone, request] : requests_) {
    store_.Put(KeyOf(zone), "{}");
    request.written_at = world_.Now();
  }
}

void Evacuations::NoteCalm(Ipv4Address instance, int life) {
  const auto now = world_.Now();
  for (const auto& [zone, request] : requests_) {
    if (now - request.written_at >= kEvacuationTime) {
      known_[{zone, instance}] = {life, request.since, now};
    }
  }
}

auto Evacuations::IsInForce(const std::string& zone, Ipv4Address instance,
                            int life) const -> bool {
  const auto found = known_.find({zone, instance});
  const auto request = requests_.find(zone);
  return found != known_.end() && request != requests_.end() &&
         found->second.life == life &&
         found->second.since == request->second.since;
}

auto Evacuations::IsInService(const std::string& zone) const -> bool {
  const auto now = world_.Now();
  const auto ended = ended_.find(zone);
  return !IsEvacuated(zone) && now - restored_ >= kRestoreTime &&
         (ended == ended_.end() || now - ended->second >= kEvacuationTime);
}

}  // namespace hemlockwick::soak
