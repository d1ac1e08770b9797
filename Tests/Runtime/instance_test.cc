#include "Runtime/instance.h"

#include <criterion/criterion.h>

#include <memory>
#include <string>
#include <thread>
#include <utility>

#include "Config/published_value.h"
#include "Fleet/fleet_node.h"
#include "Runtime/http_client.h"
#include "Runtime/request_headers.h"
#include "Runtime/socket.h"
#include "StandIn/await.h"
#include "StandIn/local_config.h"
#include "StandIn/loopback.h"
#include "StandIn/platform.h"
#include "StandIn/request_endpoint.h"

namespace hemlockwick {

namespace {

constexpr Duration kAwaitBound = std::chrono::minutes(2);

// Returns the value or ends the test.
template <typename T>
auto Require(Result<T> result) -> T {
  cr_assert(static_cast<bool>(result));
  return std::move(result.value());
}

auto FreeAddress() -> SocketAddress {
  return LocalAddress(Require(ListenTcp(AnyLoopbackPort())));
}

// One instance in this process with a platform and one HTTP endpoint.
struct World {
  RunLedger ledger;
  std::unique_ptr<PlatformStandIn> platform = Require(PlatformStandIn::Start());
  std::unique_ptr<RequestEndpoint> endpoint =
      Require(RequestEndpoint::Start(EndpointName(kRequestService, 0), ledger));
  ServeSettings settings;
  LocalObjects objects;
  std::shared_ptr<const FleetConfig> config;
  std::unique_ptr<Instance> instance;

  World() {
    settings.name = "instance";
    settings.data_centre = LocalDataCentres().front();
    settings.http = FreeAddress();
    settings.packet = settings.http;
    settings.platform = platform->address();
    settings.leave_grace = Duration{0};
    settings.first_start_until = SystemClock().Now() + std::chrono::hours(1);
    objects.data_centres = 1;
    objects.request_endpoints = {endpoint->address()};
    instance = Require(Instance::Start(settings));
  }

  void Publish() {
    config = NextLocalConfig(objects, config.get(), SystemClock().Now());
    for (auto& value : EncodeFleetConfig(*config)) {
      platform->Set(value.key, std::move(value.body));
    }
    cr_assert(
        Await([this] { return StatusOf("/readyz") == 200; }, kAwaitBound));
  }

  [[nodiscard]] auto Get(const std::string& path) const -> HttpResponse {
    auto request = HttpRequest();
    request.path = path;
    return Require(SendHttp(settings.http, request));
  }

  [[nodiscard]] auto StatusOf(const std::string& path) const -> int {
    return Get(path).status;
  }

  [[nodiscard]] auto Post(std::map<std::string, std::string> headers,
                          std::string body) const -> HttpResponse {
    auto request = HttpRequest();
    request.method = "POST";
    request.headers = std::move(headers);
    request.headers["Host"] = kRequestService;
    request.body = std::move(body);
    request.timeout = std::chrono::minutes(1);
    return Require(SendHttp(settings.http, request));
  }
};

Test(instance, is_ready_once_a_configuration_is_in_force) {
  auto world = World();
  cr_assert_eq(world.StatusOf("/healthz"), 200);
  cr_assert_eq(world.StatusOf("/readyz"), 503);
  world.Publish();
  cr_assert_eq(world.StatusOf("/readyz"), 200);
  const auto metrics = world.Get("/metrics").body;
  cr_assert_neq(metrics.find("hemlockwick_config_version 1"),
                std::string::npos);
}

Test(instance, carries_a_request_to_an_endpoint_and_back) {
  auto world = World();
  world.Publish();
  const auto response = world.Post({{kKeyHeader, "order-1"}}, "two bundles");
  cr_assert_eq(response.status, 200);
  cr_assert_eq(response.body, "order-1 two bundles");
  cr_assert(response.headers.contains(kLoadHeader));
  cr_assert_eq(world.ledger.RunsOf("order-1"), 1);
}

Test(instance, refuses_as_not_run_what_it_does_not_run) {
  auto world = World();
  world.Publish();
  const auto malformed =
      world.Post({{kKeyHeader, "a"}, {kDeadlineHeader, "soon"}}, {});
  cr_assert_eq(malformed.status, 400);
  cr_assert_neq(malformed.body.find("not_run"), std::string::npos);
  world.endpoint->SetDraining(true);
  const auto shed =
      world.Post({{kKeyHeader, "b"}, {kDeadlineHeader, "300"}}, {});
  cr_assert_eq(shed.status, 503);
  cr_assert_neq(shed.body.find("not_run"), std::string::npos);
  cr_assert(shed.headers.contains("retry-after"));
  cr_assert_eq(world.ledger.RunsOf("a") + world.ledger.RunsOf("b"), 0);
}

Test(instance, answers_404_for_a_service_that_it_does_not_know) {
  auto world = World();
  world.Publish();
  const auto response = world.Get("/orders");
  cr_assert_eq(response.status, 404);
  cr_assert_neq(response.body.find("not_run"), std::string::npos);
}

Test(instance, cuts_no_request_in_a_planned_stop) {
  auto world = World();
  world.Publish();
  auto response = HttpResponse();
  {
    auto caller = std::jthread([&] {
      response = world.Post({{kKeyHeader, "slow"}, {kWorkHeader, "500"}}, "x");
    });
    cr_assert(
        Await([&] { return world.ledger.RunsOf("slow") == 1; }, kAwaitBound));
    world.instance->BeginLeave();
    cr_assert(
        Await([&] { return world.StatusOf("/readyz") == 503; }, kAwaitBound));
    const auto refused = world.Post({{kKeyHeader, "late"}}, "x");
    cr_assert_eq(refused.status, 503);
    cr_assert_neq(refused.body.find("not_run"), std::string::npos);
    cr_assert(Await([&] { return world.instance->LeaveDone(); }, kAwaitBound));
  }
  world.instance.reset();
  cr_assert_eq(response.status, 200);
  cr_assert_eq(response.body, "slow x");
  cr_assert_eq(world.ledger.RunsOf("late"), 0);
}

Test(instance, ends_what_still_runs_as_unknown_when_it_stops_at_once) {
  auto world = World();
  world.Publish();
  auto response = HttpResponse();
  {
    auto caller = std::jthread([&] {
      response = world.Post({{kKeyHeader, "long"}, {kWorkHeader, "3000"}}, {});
    });
    cr_assert(
        Await([&] { return world.ledger.RunsOf("long") == 1; }, kAwaitBound));
    world.instance.reset();
  }
  cr_assert_eq(response.status, 504);
  cr_assert_neq(response.body.find("unknown"), std::string::npos);
}

Test(instance, reports_each_taken_address) {
  auto world = World();
  auto settings = world.settings;
  const auto code = [&settings] {
    return TryOr(
        [&]() -> Result<ErrorCode> {
          BOOST_LEAF_CHECK(Instance::Start(settings));
          return ErrorCode::kInternal;
        },
        [](const Error& error) { return error.code; });
  };
  cr_assert_eq(code(), ErrorCode::kAddressInUse);
  settings.http = FreeAddress();
  cr_assert_eq(code(), ErrorCode::kAddressInUse);
  settings.packet = settings.http;
  settings.http = world.settings.http;
  cr_assert_eq(code(), ErrorCode::kAddressInUse);
}

}  // namespace

}  // namespace hemlockwick
