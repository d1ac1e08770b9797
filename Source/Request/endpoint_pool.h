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

// Endpoints of one service that an instance works with: all of a small
// service, a bounded window of a large one.
class EndpointPool {
 public:
  // Rebuilds the candidates from what is published and who is alive. Endpoints
  // with work in progress stay known until it ends.
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

  // Fills and returns the indices of the endpoints that may take new work
  // now: not ejected, and as near as possible. When most endpoints are
  // ejected, ejection is ignored. Valid until the next call.
  [[nodiscard]] auto Usable(TimePoint now) const
      -> const std::vector<std::size_t>&;

  // Whether the service has any endpoint that may take new work.
  [[nodiscard]] auto HasCandidates() const -> bool {
    return !candidates_.empty();
  }

  // Slots that this instance owns on all endpoints, and how many of them are
  // for long work.
  [[nodiscard]] auto owned_slots() const -> std::size_t { return owned_slots_; }
  [[nodiscard]] auto owned_long_slots() const -> std::size_t {
    return owned_long_slots_;
  }

  // Records whether an attempt that could not rely on a recent observation
  // was accepted.
  void OnProbe(bool accepted);

  // Probability that such an attempt is accepted.
  [[nodiscard]] auto prior() const -> double { return prior_; }

 private:
  void AddWindow(const std::vector<const Endpoint*>& endpoints,
                 std::size_t first, std::size_t count, Locality locality);
  void AddRegional(const std::vector<const Endpoint*>& endpoints,
                   std::size_t rank, std::size_t member_count,
                   DataCentreId home);
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
