#include "Measure/pattern_fleet.h"

#include <utility>

namespace hemlockwick {

PatternFleet::PatternFleet(const TokenPattern& pattern, TimePoint now)
    : pattern_(pattern) {
  for (const auto data_centre :
       SpreadOver(pattern_.data_centres, &PatternDataCentre::endpoints)) {
    Add(data_centre, TimePoint());
  }
  first_count_ = endpoints_.size();
  SetSpeeds(Duration(0));
  auto routes = std::make_shared<RouteSet>();
  routes->version = Version(1);
  routes->routes.push_back({kPatternAddress, {{kPatternService, 1}}, true});
  directory_.Publish(std::move(routes), now);
}

void PatternFleet::SetSpeeds(Duration time) {
  for (std::size_t i = 0; i < first_count_; ++i) {
    endpoints_[i].set_speed(SpeedAt(pattern_, i, time));
  }
}

void PatternFleet::Add(DataCentreId data_centre, TimePoint cold_until) {
  auto& endpoint = endpoints_.emplace_back(data_centre, pattern_.slots);
  endpoint.set_knee(pattern_.knee);
  endpoint.set_cold_until(cold_until);
  Report(EndpointId(endpoints_.size()));
}

void PatternFleet::Report(EndpointId id) {
  const auto& endpoint = at(id);
  auto report = EndpointReport();
  report.id = id;
  report.service = kPatternService;
  report.data_centre = endpoint.data_centre();
  report.slots = pattern_.slots;
  report.draining = endpoint.is_draining();
  report.cold_until = endpoint.cold_until();
  directory_.Report(report);
}

void PatternFleet::BeginFault() {
  for (std::size_t i = 0; i < pattern_.faulty_endpoints; ++i) {
    endpoints_[i].Begin(pattern_.fault);
  }
}

void PatternFleet::EndListing(TimePoint now) {
  for (std::size_t i = 0; i < pattern_.faulty_endpoints; ++i) {
    directory_.Remove(EndpointId(i + 1), now);
  }
}

void PatternFleet::Replace(std::size_t position, TimePoint now) {
  endpoints_.at(position).Drain();
  Report(EndpointId(position + 1));
  const auto is_cold = pattern_.cold_time > Duration(0);
  Add(endpoints_.at(position).data_centre(),
      is_cold ? now + pattern_.cold_time : TimePoint());
}

auto PatternFleet::IsReachable(DataCentreId from, EndpointId to) -> bool {
  const auto first = DataCentreAt(0);
  const auto crosses = (from == first) != (at(to).data_centre() == first);
  return !(is_cut_ && crosses);
}

auto PatternFleet::HasIdleSlotBeside(EndpointId id) const -> bool {
  for (std::size_t i = 0; i < endpoints_.size(); ++i) {
    const auto& endpoint = endpoints_[i];
    if (i != PositionOf(id) && endpoint.has_idle_slot() &&
        endpoint.fault() == PatternFault::kNone && !endpoint.is_draining()) {
      return true;
    }
  }
  return false;
}

auto PatternFleet::TakeSnapshot(TimePoint now)
    -> std::shared_ptr<const DirectorySnapshot> {
  directory_.OnTick(now);
  return directory_.TakeSnapshot(now);
}

auto PatternFleet::Served() const -> std::vector<EndpointId> {
  auto served = std::vector<EndpointId>();
  for (std::size_t i = 0; i < first_count_; ++i) {
    const auto& endpoint = endpoints_[i];
    if (endpoint.fault() == PatternFault::kNone && !endpoint.is_draining()) {
      served.push_back(EndpointId(i + 1));
    }
  }
  return served;
}

}  // namespace hemlockwick
