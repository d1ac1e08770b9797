#include "Flow/endpoint_selector.h"

#include <criterion/criterion.h>

#include <map>

namespace hemlockwick {
namespace {

constexpr TimePoint kNow{std::chrono::hours(500'000)};
constexpr ServiceId kService{7};
constexpr DataCentreId kHere{1};
constexpr DataCentreId kThere{2};

// Four endpoints, 1 to 4; the last two are in the other data centre.
class SelectorFixture {
 public:
  SelectorFixture() {
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
    return CountAt(kNow + std::chrono::milliseconds(2), tried_endpoint);
  }
  auto CountAt(TimePoint now, std::uint64_t tried_endpoint = 0)
      -> std::map<std::uint64_t, int> {
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
      const auto* const chosen =
          selector_.Select(*snapshot, endpoint_stats_,
                           {FlowKey(flow), route, kHere, token}, now);
      ++counts[chosen == nullptr ? 0 : chosen->report.id.value()];
    }
    return counts;
  }

  // Selects endpoints during the minute before kNow, so that the present load
  // becomes the usual one.
  void MakeLoadUsual() {
    for (auto age = std::chrono::seconds(60); age.count() > 0; --age) {
      CountAt(kNow - age);
    }
  }

  // Puts waiting flows on each endpoint of this data centre.
  void SetLocalLoad(std::uint32_t waiting_flows) {
    stats(1).waiting_flows = waiting_flows;
    stats(2).waiting_flows = waiting_flows;
  }

  // Makes an endpoint's replies take `slowness` of the usual time.
  void SetSlowness(std::uint64_t id, double slowness) {
    stats(id).slowness = slowness;
    stats(id).replies = EndpointStats::kMaxReplies;
  }

 private:
  EndpointSelector selector_;
  std::map<std::uint64_t, EndpointReport> reports_;
  EndpointStatsMap endpoint_stats_;
};

Test(endpoint_selector, idle_local_endpoints_share_new_flows) {
  auto counts = SelectorFixture().Count();
  cr_assert_eq(counts.size(), 2U);
  cr_assert_gt(counts[1], 60);
  cr_assert_gt(counts[2], 60);
}

Test(endpoint_selector, prefers_the_endpoint_with_less_open_work) {
  auto fixture = SelectorFixture();
  fixture.stats(1).waiting_flows = 2;
  cr_assert_eq(fixture.Count()[2], 200);
}

// Many callers move to this data centre at once (kind shift).
Test(endpoint_selector, uses_another_data_centre_when_the_local_one_is_busy) {
  auto fixture = SelectorFixture();
  fixture.stats(1).waiting_flows = 12;
  fixture.stats(2).waiting_flows = 12;
  const auto counts = fixture.Count();
  cr_assert_eq(counts.count(1) + counts.count(2), 0U);
}

auto LocalFlows(std::map<std::uint64_t, int> counts) -> int {
  return counts[1] + counts[2];
}

// The only instance of a data centre sees all of its load, and none of the load
// that other instances put on their endpoints. It sent 42% of its requests to
// endpoints that were busier than its own (ricamo-lb scale-2, siracusa-d).
Test(endpoint_selector, usual_load_stays_in_the_data_centre) {
  auto fixture = SelectorFixture();
  fixture.SetLocalLoad(4);
  fixture.MakeLoadUsual();
  cr_assert_eq(LocalFlows(fixture.Count()), 200);
}

// Endpoints here were lost, or callers came from another data centre: the
// others need not have more load than before.
Test(endpoint_selector, unusual_load_goes_to_another_data_centre) {
  auto fixture = SelectorFixture();
  fixture.SetLocalLoad(4);
  fixture.MakeLoadUsual();
  fixture.SetLocalLoad(12);
  cr_assert_eq(LocalFlows(fixture.Count()), 0);
}

// A data centre with many callers for its endpoints (ricamo-lb, messina-c): the
// time of replies shows load that other instances cause.
Test(endpoint_selector, faster_replies_draw_flows_to_another_data_centre) {
  auto fixture = SelectorFixture();
  fixture.SetLocalLoad(4);
  fixture.MakeLoadUsual();
  fixture.SetSlowness(1, 1.4);
  fixture.SetSlowness(2, 1.4);
  fixture.SetSlowness(3, 0.9);
  const auto counts = fixture.Count();
  cr_assert_eq(LocalFlows(counts), 0);
}

Test(endpoint_selector, slower_replies_keep_flows_here) {
  auto fixture = SelectorFixture();
  fixture.SetLocalLoad(4);
  for (const auto id : {3, 4}) {
    fixture.SetSlowness(id, 1.4);
  }
  cr_assert_eq(LocalFlows(fixture.Count()), 200);
}

// Replies that are long past say nothing of the present load.
Test(endpoint_selector, old_replies_do_not_count) {
  auto fixture = SelectorFixture();
  fixture.SetLocalLoad(4);
  for (const auto id : {3, 4}) {
    fixture.SetSlowness(id, 1.4);
  }
  const auto counts = fixture.CountAt(kNow + std::chrono::seconds(11));
  cr_assert_eq(LocalFlows(counts), 0);
}

// An endpoint that died without draining still has its entry.
Test(endpoint_selector, avoids_a_suspect_endpoint) {
  auto fixture = SelectorFixture();
  fixture.Suspect(1);
  cr_assert_eq(fixture.Count()[2], 200);
}

Test(endpoint_selector,
     uses_another_data_centre_when_all_local_endpoints_are_suspect) {
  auto fixture = SelectorFixture();
  fixture.Suspect(1);
  fixture.Suspect(2);
  const auto counts = fixture.Count();
  cr_assert_eq(counts.count(1) + counts.count(2), 0U);
}

Test(endpoint_selector, uses_suspect_endpoints_when_no_other_is_left) {
  auto fixture = SelectorFixture();
  for (auto id = std::uint64_t{1}; id <= 4; ++id) {
    fixture.Suspect(id);
  }
  cr_assert_eq(fixture.Count().count(0), 0U);
}

// The endpoint has not answered the first copy of the opening.
Test(endpoint_selector, retransmitted_opening_goes_to_another_endpoint) {
  cr_assert_eq(SelectorFixture().Count(1)[2], 200);
}

// An endpoint that is five times slower than the others (kind srv_slow).
Test(endpoint_selector, slow_endpoint_gets_fewer_flows) {
  auto fixture = SelectorFixture();
  fixture.SetSlowness(1, 4.0);
  fixture.stats(1).waiting_flows = 1;
  fixture.stats(2).waiting_flows = 2;
  cr_assert_eq(fixture.Count()[2], 200);
}

Test(endpoint_selector, cold_endpoint_gets_fewer_flows) {
  auto fixture = SelectorFixture();
  fixture.report(1).cold_until = kNow + std::chrono::seconds(2);
  cr_assert_eq(fixture.Count()[2], 200);
}

Test(endpoint_selector, draining_endpoints_get_no_new_flows) {
  auto fixture = SelectorFixture();
  for (auto id = std::uint64_t{1}; id <= 4; ++id) {
    fixture.report(id).draining = true;
  }
  cr_assert_eq(fixture.Count()[0], 200);
}

}  // namespace
}  // namespace hemlockwick
