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

// How far an endpoint is from this instance.
enum class Locality : std::uint8_t { kSameDataCentre, kSameRegion, kElsewhere };

// What an instance knows about one endpoint: what is published, what it has
// there itself, and what it saw last.
class TrackedEndpoint {
 public:
  TrackedEndpoint(const Endpoint& endpoint, Locality locality);

  // Takes over newly published properties.
  void Update(const Endpoint& endpoint, Locality locality);

  void OnDispatch(WorkClass work, TimePoint now);

  // An attempt ended; `counted_class` is the class it was last counted under.
  void OnResult(WorkClass counted_class, AttemptOutcome outcome,
                const EndpointLoad* load, TimePoint now);

  // An attempt of which no byte had left was taken back.
  void OnWithdrawn(WorkClass counted_class);

  // No answer came by the deadline.
  void OnTimeout(TimePoint now);

  // A running attempt passed the short bound: it counts as long from now on.
  void OnReclassifiedAsLong();

  // An endpoint's own report; counts only without a recent own observation.
  void OnReport(const EndpointLoad& load, TimePoint now);

  // Probability that at least `needed` slots are free, given the probability
  // `prior` that a slot-seeking attempt at an unknown endpoint is accepted.
  [[nodiscard]] auto FreeProbability(std::uint32_t needed, double prior,
                                     TimePoint now) const -> double;

  // Whether own observation keeps the endpoint out for now.
  [[nodiscard]] auto IsEjected(TimePoint now) const -> bool {
    return now < ejected_until_ || (failures_ > 0 && in_flight_ > 0);
  }

  // Whether the last observation is recent enough to decide alone.
  [[nodiscard]] auto IsFresh(TimePoint now) const -> bool;

  // Share of full use that slow start allows, in (0, 1].
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

  // Slots that this instance owns there when slots are shared out, and how
  // many of them long work may use.
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

  // Whether new work may go there at all.
  void set_candidate(bool candidate) { candidate_ = candidate; }

 private:
  void OnFailure(TimePoint now);
  void Observe(std::uint32_t free, TimePoint now);
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
  // Whether the attempt sent last relied on a recent claim of free slots.
  bool predicted_free_ = false;
  double prediction_weight_ = 0;
  std::uint32_t failures_ = 0;
  TimePoint ejected_until_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_REQUEST_TRACKED_ENDPOINT_H_
