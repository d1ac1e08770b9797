#ifndef HEMLOCKWICK_MEASURE_ENDPOINT_FAKE_H_
#define HEMLOCKWICK_MEASURE_ENDPOINT_FAKE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "Core/ids.h"
#include "Core/time.h"
#include "Request/request_types.h"

namespace hemlockwick {

// An attempt at an endpoint.
struct EndpointWork {
  std::size_t instance = 0;
  std::uint64_t epoch = 0;  // Of the instance that sent it.
  RequestId request;
  std::uint32_t attempt = 0;
  Duration service_time{0};
  TimePoint started{};

  [[nodiscard]] auto IsSame(RequestId id, std::uint32_t number) const -> bool {
    return request == id && attempt == number;
  }
};

enum class OfferResult : std::uint8_t { kStarted, kQueued, kShed, kRefused };

// A small endpoint with work slots and, optionally, a waiting queue.
class EndpointFake {
 public:
  EndpointFake(EndpointId id, std::size_t slots, std::size_t queue_limit)
      : id_(id), slots_(slots), queue_limit_(queue_limit) {}

  auto Offer(EndpointWork work, TimePoint now) -> OfferResult;

  // Ends a running attempt; nothing when it runs no more.
  auto Finish(RequestId request, std::uint32_t attempt, TimePoint now)
      -> std::optional<EndpointWork>;

  // Starts the next queued attempt when a slot is free.
  auto StartNext(TimePoint now) -> std::optional<EndpointWork>;

  // Removes a queued attempt; false when it is not queued.
  auto CancelQueued(RequestId request, std::uint32_t attempt) -> bool;

  // Loses all work and refuses connections until it is brought back.
  auto Crash(TimePoint now) -> std::vector<EndpointWork>;
  void Restart() { is_up_ = true; }

  // The load that it tells, true or not.
  [[nodiscard]] auto Load(TimePoint now) const -> EndpointLoad;

  [[nodiscard]] auto id() const -> EndpointId { return id_; }
  [[nodiscard]] auto busy_time() const -> Duration { return busy_time_; }
  [[nodiscard]] auto is_up() const -> bool { return is_up_; }
  [[nodiscard]] auto hangs() const -> bool { return hangs_; }
  [[nodiscard]] auto slowness() const -> int { return slowness_; }
  void set_hangs(bool hangs) { hangs_ = hangs; }
  void set_lies(bool lies) { lies_ = lies; }
  void set_slowness(int slowness) { slowness_ = slowness; }

 private:
  EndpointId id_;
  std::size_t slots_;
  std::size_t queue_limit_;
  bool is_up_ = true;
  bool hangs_ = false;
  bool lies_ = false;
  int slowness_ = 1;
  std::vector<EndpointWork> running_;
  std::deque<EndpointWork> queue_;
  Duration busy_time_{0};
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_ENDPOINT_FAKE_H_
