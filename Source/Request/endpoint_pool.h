#ifndef HEMLOCKWICK_REQUEST_ENDPOINT_POOL_H_
#define HEMLOCKWICK_REQUEST_ENDPOINT_POOL_H_

#include <cstddef>
#include <unordered_map>
#include <vector>

#include "Config/fleet_config.h"
#include "Core/ids.h"
#include "Core/time.h"
#include "Fleet/member_view.h"
#include "Request/tracked_endpoint.h"

namespace hemlockwick {

// Endpoints of one service that an instance uses: all endpoints of a small
// service, a bounded subset for a large one.
class EndpointPool {
 public:
  // Rebuilds the candidates from the published configuration and the serving
  // members. Endpoints with work in progress are kept until the work ends.
  void Update(const Service& service, const FleetConfig& config,
              const MemberView& members);

  // Returns the tracked endpoint, or null.
  [[nodiscard]] auto Find(EndpointId id) -> TrackedEndpoint*;

  [[nodiscard]] auto at(std::size_t index) const -> const TrackedEndpoint& {
    return tracked_[index];
  }
  [[nodiscard]] auto at(std::size_t index) -> TrackedEndpoint& {
    return tracked_[index];
  }

  // Returns the indices of the endpoints that may take new work now: those that
  // are not ejected, without those of other regions while a nearer one is
  // usable. If most endpoints are ejected, ejections are ignored. The reference
  // is valid until the next call.
  [[nodiscard]] auto Usable(TimePoint now) const
      -> const std::vector<std::size_t>&;

  // Whether the service has any endpoint that may take new work.
  [[nodiscard]] auto HasCandidates() const -> bool {
    return !candidates_.empty();
  }

  // Slots that this instance owns across all endpoints, and how many of them
  // long work may use.
  [[nodiscard]] auto owned_slots() const -> std::size_t { return owned_slots_; }
  [[nodiscard]] auto owned_long_slots() const -> std::size_t {
    return owned_long_slots_;
  }

  // Records the result of a probe, an attempt at an endpoint without a recent
  // observation.
  void OnProbe(bool accepted);

  // Probability that a probe is accepted.
  [[nodiscard]] auto prior() const -> double { return prior_; }

 private:
  // Adds `count` endpoints of the list, starting at `first`.
  void AddWindow(const std::vector<const Endpoint*>& endpoints,
                 std::size_t first, std::size_t count, Locality locality);
  void AddRegional(const std::vector<const Endpoint*>& endpoints,
                   std::size_t rank, std::size_t member_count,
                   DataCentreId home);
  // Assigns each member an equal share of all slots, and of the slots for long
  // work: all but one of each endpoint.
  void AssignSlots(const std::vector<const Endpoint*>& endpoints,
                   std::size_t rank, std::size_t member_count);
  void AddOrUpdate(const Endpoint& endpoint, Locality locality);
  void RemoveIdle();

  std::vector<TrackedEndpoint> tracked_;
  std::unordered_map<EndpointId, std::size_t> index_;
  std::vector<std::size_t> candidates_;
  mutable std::vector<std::size_t> usable_;
  std::size_t owned_slots_ = 0;
  std::size_t owned_long_slots_ = 0;
  double prior_ = 0.8;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_REQUEST_ENDPOINT_POOL_H_
