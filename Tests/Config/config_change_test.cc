#include <criterion/criterion.h>

#include <chrono>
#include <memory>
#include <string>

#include "Config/config_check.h"
#include "Config/endpoint_set.h"
#include "Config/published_value.h"
#include "Config/service_builder.h"

namespace hemlockwick {
namespace {

using std::chrono::hours;

constexpr auto kStart = FromUnixMillis(1'800'000'000'000);

// A service with a flow lifetime of 24 h and the given endpoints.
auto ServiceText(const std::string& endpoints) -> std::string {
  return "kind: data_centre\nname: nelson-a\nregion: nelson\n"
         "---\nkind: service\nname: rollfloor\nmode: flow\n"
         "address: 10.0.0.1:6080\nflow_lifetime: 24h\n"
         "---\nkind: placement\nname: rollfloor\nservice: rollfloor\n"
         "group: line\ndata_centres: [nelson-a]\n"
         "---\nkind: endpoint_group\nname: line\nendpoints:\n" +
         endpoints;
}

auto EndpointText(int number, const std::string& state) -> std::string {
  const auto digits = std::to_string(number);
  return "  - {name: \"" + digits +
         "\", data_centre: nelson-a, address: " + "\"10.0.1." + digits +
         ":7100\", state: " + state + "}\n";
}

// Publishes successive versions, each checked against the last accepted one.
class Publisher {
 public:
  auto Publish(const std::string& text, TimePoint published) -> Findings {
    auto reader = ObjectReader();
    reader.Read(text, "objects.yaml");
    ++version_;
    auto outcome = CheckObjects(reader, PreviousConfig{current_, "previous"},
                                Version(version_), published);
    if (outcome.config != nullptr) {
      current_ = outcome.config;
    }
    return outcome.findings;
  }

  [[nodiscard]] auto service() const -> const Service& {
    return *current_->services.at(0);
  }
  [[nodiscard]] auto config() const -> const FleetConfig& { return *current_; }

 private:
  std::uint64_t version_ = 0;
  std::shared_ptr<const FleetConfig> current_;
};

const auto kOne = ServiceText(EndpointText(1, "active"));
const auto kBoth =
    ServiceText(EndpointText(1, "active") + EndpointText(2, "active"));
const auto kDraining =
    ServiceText(EndpointText(1, "draining") + EndpointText(2, "active"));

Test(endpoint_history, starts_with_the_current_set) {
  auto publisher = Publisher();
  cr_assert(publisher.Publish(kOne, kStart).empty());
  cr_assert(publisher.Publish(kOne, kStart + hours(1)).empty());
  const auto& endpoint_history = publisher.service().endpoint_history;
  cr_assert(endpoint_history.size() == 1);
  cr_assert(endpoint_history[0].published == kStart);
  cr_assert(endpoint_history[0].version == Version(1));
}

Test(endpoint_history, keeps_a_replaced_set_for_the_flow_lifetime) {
  auto publisher = Publisher();
  cr_assert(publisher.Publish(kOne, kStart).empty());
  cr_assert(publisher.Publish(kBoth, kStart + hours(1)).empty());
  cr_assert(publisher.service().endpoint_history.size() == 2);
  const auto end = kStart + hours(25) + kEndpointHistoryMargin;
  cr_assert(publisher.Publish(kBoth, end - hours(1)).empty());
  cr_assert(publisher.service().endpoint_history.size() == 2);
  cr_assert(publisher.Publish(kBoth, end).empty());
  const auto& endpoint_history = publisher.service().endpoint_history;
  cr_assert(endpoint_history.size() == 1);
  cr_assert(endpoint_history[0].published == kStart + hours(1));
  cr_assert(SameEndpoints(endpoint_history[0].endpoints,
                          NewFlowEndpoints(publisher.service())));
}

Test(endpoint_history, a_draining_endpoint_starts_a_new_set) {
  auto publisher = Publisher();
  cr_assert(publisher.Publish(kBoth, kStart).empty());
  cr_assert(publisher.Publish(kDraining, kStart + hours(1)).empty());
  const auto& service = publisher.service();
  cr_assert(service.endpoint_history.size() == 2);
  cr_assert(service.endpoint_history[1].endpoints.size() == 1);
  for (const auto& endpoint : service.endpoints) {
    const auto is_draining = endpoint.state == EndpointState::kDraining;
    cr_assert(endpoint.state_since ==
              (is_draining ? kStart + hours(1) : kStart));
  }
}

Test(endpoint_history, a_restored_set_is_listed_again) {
  auto publisher = Publisher();
  cr_assert(publisher.Publish(kOne, kStart).empty());
  cr_assert(publisher.Publish(kBoth, kStart + hours(1)).empty());
  cr_assert(publisher.Publish(kOne, kStart + hours(2)).empty());
  const auto& endpoint_history = publisher.service().endpoint_history;
  cr_assert(endpoint_history.size() == 3);
  cr_assert(SameEndpoints(endpoint_history[0].endpoints,
                          endpoint_history[2].endpoints));
}

Test(endpoint_history, keeps_the_number_of_buckets_when_endpoints_are_added) {
  auto publisher = Publisher();
  cr_assert(publisher.Publish(kOne, kStart).empty());
  const auto buckets = publisher.service().bucket_count;
  cr_assert(buckets == kMinBuckets);
  cr_assert(publisher.Publish(kBoth, kStart + hours(1)).empty());
  cr_assert(publisher.service().bucket_count == buckets);
}

Test(endpoint_history, has_a_maximum_length) {
  auto publisher = Publisher();
  auto accepted = std::size_t{0};
  auto time = kStart;
  while (accepted <= kMaxEndpointHistory) {
    const auto weight = std::to_string(accepted + 1);
    auto text = kOne;
    text.insert(text.rfind('}'), ", weight: " + weight);
    time += std::chrono::minutes(1);
    if (HasErrors(publisher.Publish(text, time))) {
      break;
    }
    ++accepted;
  }
  cr_assert(accepted == kMaxEndpointHistory);
  const auto values = EncodeFleetConfig(publisher.config());
  cr_assert(values.size() == 2);
  cr_assert(values[0].body.size() < kMaxValueBytes);
}

Test(change, a_drained_endpoint_frees_its_address) {
  const auto other = std::string(
      "---\nkind: service\nname: blendroom\nmode: flow\n"
      "address: 10.0.0.2:6080\n"
      "---\nkind: placement\nname: blendroom\nservice: blendroom\n"
      "group: mixers\ndata_centres: [nelson-a]\n"
      "---\nkind: endpoint_group\nname: mixers\nendpoints:\n");
  const auto two = ServiceText(EndpointText(2, "active"));
  const auto reused = two + other + EndpointText(1, "active");
  auto publisher = Publisher();
  cr_assert(publisher.Publish(kBoth, kStart).empty());
  cr_assert(HasErrors(publisher.Publish(reused, kStart + hours(1))));
  cr_assert(publisher.Publish(kDraining, kStart + hours(2)).empty());
  cr_assert(HasErrors(publisher.Publish(reused, kStart + hours(25))));
  cr_assert(publisher.Publish(two, kStart + hours(25)).empty());
  cr_assert(HasErrors(publisher.Publish(reused, kStart + hours(25))));
  cr_assert(publisher.Publish(reused, kStart + hours(26)).empty());
}

Test(change, a_drained_service_can_be_removed) {
  const auto empty =
      std::string("kind: data_centre\nname: nelson-a\nregion: nelson\n");
  const auto ending = ServiceText(EndpointText(1, "draining"));
  auto publisher = Publisher();
  cr_assert(publisher.Publish(kOne, kStart).empty());
  cr_assert(HasErrors(publisher.Publish(empty, kStart + hours(1))));
  const auto warnings = publisher.Publish(ending, kStart + hours(1));
  cr_assert(warnings.size() == 1);
  cr_assert(!HasErrors(warnings));
  cr_assert(HasErrors(publisher.Publish(empty, kStart + hours(24))));
  cr_assert(publisher.Publish(empty, kStart + hours(25)).empty());
}

Test(change, versions_increase_and_times_do_not_decrease) {
  auto reader = ObjectReader();
  reader.Read(kOne, "objects.yaml");
  const auto first =
      CheckObjects(reader, PreviousConfig(), Version(5), kStart).config;
  const auto check = [&](std::uint64_t version, TimePoint published) {
    return CheckObjects(reader, PreviousConfig{first, "previous"},
                        Version(version), published)
               .config != nullptr;
  };
  cr_assert(!check(5, kStart));
  cr_assert(!check(6, kStart - hours(1)));
  cr_assert(check(6, kStart));
}

}  // namespace
}  // namespace hemlockwick
