#include "Flow/endpoint_selection.h"

#include <criterion/criterion.h>

#include <map>

namespace hemlockwick {
namespace {

constexpr TimePoint kNow{std::chrono::hours(500'000)};
constexpr ServiceId kService{7};
constexpr DataCentreId kHere{1};
constexpr DataCentreId kThere{2};

// Four endpoints, 1 to 4; the last two are in the other data centre.
class SelectionFixture {
 public:
  SelectionFixture() {
    for (auto id = std::uint64_t{1}; id <= 4; ++id) {
      auto report = EndpointReport();
      report.id = EndpointId(id);
      report.service = kService;
      report.address = {Ipv4Address(static_cast<std::uint32_t>(id)), Port(80)};
      report.data_centre = id <= 2 ? kHere : kThere;
      report.slots = 3;
      reports_.emplace(id, report);
    }
  }

  auto report(std::uint64_t id) -> EndpointReport& { return reports_.at(id); }
  auto stats(std::uint64_t id) -> EndpointStats& {
    return endpoint_stats_.try_emplace(TokenOf(EndpointId(id)), kNow)
        .first->second;
  }
  void Suspect(std::uint64_t id) {
    const auto sent = kNow + std::chrono::milliseconds(1);
    stats(id).health.RecordUnanswered(UnansweredPacket::kOpening, sent, sent);
    stats(id).health.RecordUnanswered(UnansweredPacket::kOpening, sent, sent);
  }

  // Selects an endpoint for each of 200 flows. Returns the number of flows by
  // endpoint id, 0 for none.
  auto Count(std::uint64_t tried_endpoint = 0) -> std::map<std::uint64_t, int> {
    auto directory = EndpointDirectory();
    for (const auto& [id, report] : reports_) {
      directory.Report(report);
    }
    const auto snapshot = directory.TakeSnapshot(kNow);
    const auto route = Route{{}, {{kService, 1}}};
    auto counts = std::map<std::uint64_t, int>();
    for (auto flow = std::uint64_t{1}; flow <= 200; ++flow) {
      const auto token =
          tried_endpoint == 0 ? kNoToken : TokenOf(EndpointId(tried_endpoint));
      const auto* const chosen = SelectEndpoint(
          *snapshot, endpoint_stats_, {FlowKey(flow), route, kHere, token},
          kNow + std::chrono::milliseconds(2));
      ++counts[chosen == nullptr ? 0 : chosen->report.id.value()];
    }
    return counts;
  }

 private:
  std::map<std::uint64_t, EndpointReport> reports_;
  EndpointStatsMap endpoint_stats_;
};

Test(endpoint_selection, idle_local_endpoints_share_new_flows) {
  auto counts = SelectionFixture().Count();
  cr_assert_eq(counts.size(), 2U);
  cr_assert_gt(counts[1], 60);
  cr_assert_gt(counts[2], 60);
}

Test(endpoint_selection, prefers_the_endpoint_with_less_open_work) {
  auto fixture = SelectionFixture();
  fixture.stats(1).waiting_flows = 2;
  cr_assert_eq(fixture.Count()[2], 200);
}

// Many callers move to this data centre at once (kind shift).
Test(endpoint_selection, uses_another_data_centre_when_the_local_one_is_busy) {
  auto fixture = SelectionFixture();
  fixture.stats(1).waiting_flows = 12;
  fixture.stats(2).waiting_flows = 12;
  const auto counts = fixture.Count();
  cr_assert_eq(counts.count(1) + counts.count(2), 0U);
}

// An endpoint that died without draining still has its entry.
Test(endpoint_selection, avoids_a_suspect_endpoint) {
  auto fixture = SelectionFixture();
  fixture.Suspect(1);
  cr_assert_eq(fixture.Count()[2], 200);
}

Test(endpoint_selection,
     uses_another_data_centre_when_all_local_endpoints_are_suspect) {
  auto fixture = SelectionFixture();
  fixture.Suspect(1);
  fixture.Suspect(2);
  const auto counts = fixture.Count();
  cr_assert_eq(counts.count(1) + counts.count(2), 0U);
}

Test(endpoint_selection, uses_suspect_endpoints_when_no_other_is_left) {
  auto fixture = SelectionFixture();
  for (auto id = std::uint64_t{1}; id <= 4; ++id) {
    fixture.Suspect(id);
  }
  cr_assert_eq(fixture.Count().count(0), 0U);
}

// The endpoint has not answered the first copy of the opening.
Test(endpoint_selection, retransmitted_opening_goes_to_another_endpoint) {
  cr_assert_eq(SelectionFixture().Count(1)[2], 200);
}

// An endpoint that is five times slower than the others (kind srv_slow).
Test(endpoint_selection, slow_endpoint_gets_fewer_flows) {
  auto fixture = SelectionFixture();
  fixture.stats(1).reply_time = std::chrono::milliseconds(500);
  fixture.stats(1).waiting_flows = 1;
  fixture.stats(2).waiting_flows = 2;
  cr_assert_eq(fixture.Count()[2], 200);
}

Test(endpoint_selection, cold_endpoint_gets_fewer_flows) {
  auto fixture = SelectionFixture();
  fixture.report(1).cold_until = kNow + std::chrono::seconds(2);
  cr_assert_eq(fixture.Count()[2], 200);
}

Test(endpoint_selection, draining_endpoints_get_no_new_flows) {
  auto fixture = SelectionFixture();
  for (auto id = std::uint64_t{1}; id <= 4; ++id) {
    fixture.report(id).draining = true;
  }
  cr_assert_eq(fixture.Count()[0], 200);
}

}  // namespace
}  // namespace hemlockwick
