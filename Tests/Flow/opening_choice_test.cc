#include "Flow/opening_choice.h"

#include <criterion/criterion.h>

#include <map>

namespace hemlockwick {
namespace {

constexpr TimePoint kNow{std::chrono::hours(500'000)};
constexpr ServiceId kService{7};
constexpr DataCentreId kHere{1};
constexpr DataCentreId kThere{2};

// Endpoints 1 to 4; the last two are in the other data centre.
class Choice {
 public:
  Choice() {
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
  auto load(std::uint64_t id) -> EndpointLoad& {
    return loads_.try_emplace(TokenOf(EndpointId(id)), kNow).first->second;
  }
  void Suspect(std::uint64_t id) {
    const auto sent = kNow + std::chrono::milliseconds(1);
    load(id).signs.NoteSilence(SilentPacket::kOpening, sent, sent);
    load(id).signs.NoteSilence(SilentPacket::kOpening, sent, sent);
  }

  // The chosen endpoint of each of 200 flows, counted.
  auto Count(std::uint64_t tried = 0) -> std::map<std::uint64_t, int> {
    auto directory = EndpointDirectory();
    for (const auto& [id, report] : reports_) {
      directory.Report(report);
    }
    const auto snapshot = directory.TakeSnapshot(kNow);
    const auto route = Route{{}, {{kService, 1}}};
    auto counts = std::map<std::uint64_t, int>();
    for (auto flow = std::uint64_t{1}; flow <= 200; ++flow) {
      const auto token = tried == 0 ? kNoToken : TokenOf(EndpointId(tried));
      const auto* const chosen = ChooseEndpoint(
          *snapshot, loads_, {FlowKey(flow), route, kHere, token},
          kNow + std::chrono::milliseconds(2));
      ++counts[chosen == nullptr ? 0 : chosen->report.id.value()];
    }
    return counts;
  }

 private:
  std::map<std::uint64_t, EndpointReport> reports_;
  EndpointLoads loads_;
};

Test(opening_choice, idle_endpoints_of_the_own_data_centre_share) {
  auto counts = Choice().Count();
  cr_assert_eq(counts.size(), 2U);
  cr_assert_gt(counts[1], 60);
  cr_assert_gt(counts[2], 60);
}

Test(opening_choice, less_open_work_comes_first) {
  auto choice = Choice();
  choice.load(1).waiting_flows = 2;
  cr_assert_eq(choice.Count()[2], 200);
}

// A wave of callers moves into this data centre (kind shift).
Test(opening_choice, goes_elsewhere_when_the_own_data_centre_is_busy) {
  auto choice = Choice();
  choice.load(1).waiting_flows = 12;
  choice.load(2).waiting_flows = 12;
  const auto counts = choice.Count();
  cr_assert_eq(counts.count(1) + counts.count(2), 0U);
}

// An endpoint that died without a word still has its entry.
Test(opening_choice, avoids_a_suspect_endpoint) {
  auto choice = Choice();
  choice.Suspect(1);
  cr_assert_eq(choice.Count()[2], 200);
}

Test(opening_choice, leaves_the_data_centre_when_all_of_it_is_suspect) {
  auto choice = Choice();
  choice.Suspect(1);
  choice.Suspect(2);
  const auto counts = choice.Count();
  cr_assert_eq(counts.count(1) + counts.count(2), 0U);
}

Test(opening_choice, uses_suspects_when_nothing_else_is_left) {
  auto choice = Choice();
  for (auto id = std::uint64_t{1}; id <= 4; ++id) {
    choice.Suspect(id);
  }
  cr_assert_eq(choice.Count().count(0), 0U);
}

// The first copy of the opening got no answer.
Test(opening_choice, second_copy_goes_to_another_endpoint) {
  cr_assert_eq(Choice().Count(1)[2], 200);
}

// Endpoints that work five times slower than the others (kind srv_slow).
Test(opening_choice, slow_endpoint_gets_less) {
  auto choice = Choice();
  choice.load(1).reply_time = std::chrono::milliseconds(500);
  choice.load(1).waiting_flows = 1;
  choice.load(2).waiting_flows = 2;
  cr_assert_eq(choice.Count()[2], 200);
}

Test(opening_choice, cold_endpoint_gets_less) {
  auto choice = Choice();
  choice.report(1).cold_until = kNow + std::chrono::seconds(2);
  cr_assert_eq(choice.Count()[2], 200);
}

Test(opening_choice, draining_endpoints_get_nothing) {
  auto choice = Choice();
  for (auto id = std::uint64_t{1}; id <= 4; ++id) {
    choice.report(id).draining = true;
  }
  cr_assert_eq(choice.Count()[0], 200);
}

}  // namespace
}  // namespace hemlockwick
