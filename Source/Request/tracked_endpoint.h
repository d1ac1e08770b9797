#ifndef HEMLOCKWICK_REQUEST_TRACKED_ENDPOINT_H_
#define HEMLOCKWICK_REQUEST_TRACKED_ENDPOINT_H_

#include <cstdint>

#include "Config/fleet_config.h"
#include "Core/ids.h"
#include "Core/net_address.h"
#include "Core/time.h"
#include "Request/request_types.h"
#include "Request/work_class.h"

namespace hemlockwick {

// Distance of an endpoint from this instance.
enum class Locality : std::uint8_t { kSameDataCentre, kSameRegion, kElsewhere };

// State of one endpoint at one instance: its published properties, the attempts
// of this instance there, and the last observation of its free slots.
class TrackedEndpoint {
 public:
  TrackedEndpoint(const Endpoint& endpoint, Locality locality);

  // Applies newly published properties.
  void Update(const Endpoint& endpoint, Locality locality);

  // Records that an attempt was dispatched to the endpoint.
  void OnDispatch(WorkClass work, TimePoint now);

  // Records the result of an attempt. `counted_class` is the class under which
  // the attempt was last counted; `load` may be null.
  void OnResult(WorkClass counted_class, AttemptOutcome outcome,
                const EndpointLoad* load, TimePoint now);

  // Releases the slot of an attempt that has no result, such as one that was
  // withdrawn before any byte was sent.
  void OnWithdrawn(WorkClass counted_class);

  // Records that no answer arrived by the deadline.
  void OnTimeout(TimePoint now);

  // Counts a running attempt as long, because it has passed the short bound of
  // the contract.
  void OnReclassifiedAsLong();

  // Applies a load report of the endpoint. The reported free slots are used
  // only if this instance has made no recent observation.
  void OnReport(const EndpointLoad& load, TimePoint now);

  // Probability that at least `needed` slots are free. `prior` is the
  // probability that a probe is accepted (EndpointPool::prior).
  [[nodiscard]] auto FreeProbability(std::uint32_t needed, double prior,
                                     TimePoint now) const -> double;

  // Whether the endpoint is ejected because attempts of this instance failed.
  [[nodiscard]] auto IsEjected(TimePoint now) const -> bool {
    return now < ejected_until_ || (failures_ > 0 && in_flight_ > 0);
  }

  // Whether the last observation is recent enough that an attempt is not a
  // probe.
  [[nodiscard]] auto IsFresh(TimePoint now) const -> bool;

  // Fraction of full use that slow start allows, in (0, 1].
  [[nodiscard]] auto SlowStartFactor(TimePoint now) const -> double;

  [[nodiscard]] auto id() const -> EndpointId { return id_; }
  [[nodiscard]] auto address() const -> const SocketAddress& {
    return address_;
  }
  [[nodiscard]] auto locality() const -> Locality { return locality_; }
  [[nodiscard]] auto slots() const -> std::uint32_t { return slots_; }
  [[nodiscard]] auto in_flight() const -> std::uint32_t { return in_flight_; }
  [[nodiscard]] auto long_in_flight() const -> std::uint32_t {
    return long_in_flight_;
  }
  [[nodiscard]] auto observed_free() const -> std::uint32_t {
    return observed_free_;
  }
  [[nodiscard]] auto reported_load() const -> double { return reported_load_; }
  [[nodiscard]] auto shed_at() const -> TimePoint { return shed_at_; }
  [[nodiscard]] auto observed_at() const -> TimePoint { return observed_at_; }
  [[nodiscard]] auto IsCandidate() const -> bool { return candidate_; }

  // Slots of the endpoint that EndpointPool assigned to this instance when it
  // divided all slots among the members, and how many of them long work may
  // use.
  [[nodiscard]] auto owned_slots() const -> std::uint32_t {
    return owned_slots_;
  }
  [[nodiscard]] auto owned_long_slots() const -> std::uint32_t {
    return owned_long_slots_;
  }
  void set_owned(std::uint32_t slots, std::uint32_t long_slots) {
    owned_slots_ = slots;
    owned_long_slots_ = long_slots;
  }

  // Whether the endpoint may take new work.
  void set_candidate(bool candidate) { candidate_ = candidate; }

 private:
  void OnFailure(TimePoint now);
  void Observe(std::uint32_t free, TimePoint now);
  // Adjusts the trust in observations of this endpoint by the result of the
  // last attempt.
  void ScorePrediction(bool accepted);
  [[nodiscard]] auto PredictionWeight(TimePoint now) const -> double;

  EndpointId id_;
  SocketAddress address_;
  Locality locality_;
  EndpointState state_;
  TimePoint state_since_;
  std::uint32_t slots_ = 1;
  std::uint32_t owned_slots_ = 0;
  std::uint32_t owned_long_slots_ = 0;
  bool candidate_ = true;
  std::uint32_t in_flight_ = 0;
  std::uint32_t long_in_flight_ = 0;
  std::uint32_t observed_free_ = 0;
  TimePoint observed_at_;
  TimePoint shed_at_;
  double reported_load_ = 0;
  double trust_;
  // Whether the last attempt was sent in the expectation of a free slot, and
  // the weight of that expectation.
  bool predicted_free_ = false;
  double prediction_weight_ = 0;
  std::uint32_t failures_ = 0;
  TimePoint ejected_until_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_REQUEST_TRACKED_ENDPOINT_H_
