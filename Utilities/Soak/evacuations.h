#ifndef HEMLOCKWICK_SOAK_EVACUATIONS_H_
#define HEMLOCKWICK_SOAK_EVACUATIONS_H_

#include <map>
#include <string>
#include <utility>

#include "Core/net_address.h"
#include "Soak/store_stand_in.h"
#include "Soak/world.h"

namespace hemlockwick::soak {

// The data centres that the operator has evacuated, and which instances must
// know that.
class Evacuations {
 public:
  Evacuations(World& world, StoreStandIn& store)
      : world_(world), store_(store) {}

  void Start(const std::string& zone);
  void End(const std::string& zone);
  void EndAll();

  // The store has come back from an older copy.
  void OnRestore();

  // After a restore the operator writes its requests again.
  void WriteAgain();

  // Notes that the instance is calm. `life` counts its processes.
  void NoteCalm(Ipv4Address instance, int life);

  // Whether no new flow may reach the zone through the instance: it has had the
  // time to learn of the evacuation and runs since.
  [[nodiscard]] auto IsInForce(const std::string& zone, Ipv4Address instance,
                               int life) const -> bool;

  [[nodiscard]] auto IsEvacuated(const std::string& zone) const -> bool {
    return requests_.contains(zone);
  }

  // Whether calm instances must use the zone again.
  [[nodiscard]] auto IsInService(const std::string& zone) const -> bool;

 private:
  struct Request {
    TimePoint since;
    TimePoint written_at;  // Later after a restore.
  };
  struct Knowledge {
    int life = 0;
    TimePoint since;     // Of the evacuation that the instance knows.
    TimePoint noted_at;  // Latest time at which it was calm.
  };

  World& world_;
  StoreStandIn& store_;
  std::map<std::string, Request> requests_;  // Evacuated, by zone.
  std::map<std::string, TimePoint> ended_;
  std::map<std::pair<std::string, Ipv4Address>, Knowledge> known_;
  TimePoint restored_;
};

}  // namespace hemlockwick::soak

#endif  // HEMLOCKWICK_SOAK_EVACUATIONS_H_
