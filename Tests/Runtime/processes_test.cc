// Runs seven instance processes on loopback with stand-ins for the platform and
// the endpoints. Guards against broken flows and lost or rolled-back versions
// when instances are drained, killed, stopped or paused, and when the platform
// fails. After each step the test waits until the other instances report it.
#include <criterion/criterion.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "Config/published_value.h"
#include "Fleet/platform_reader.h"
#include "Runtime/http_client.h"
#include "Runtime/request_headers.h"
#include "StandIn/await.h"
#include "StandIn/flow_caller.h"
#include "StandIn/flow_endpoint.h"
#include "StandIn/instance_process.h"
#include "StandIn/local_fleet.h"
#include "StandIn/request_endpoint.h"

namespace hemlockwick {

namespace {

constexpr std::size_t kInstances = 7;
constexpr std::size_t kStopped = 3;
constexpr std::size_t kKilled = 4;
constexpr std::size_t kPaused = 5;
constexpr std::uint32_t kEndpoints = 6;
constexpr std::size_t kFlows = 100;

// Far above the usual time, so that a busy machine does not fail the test.
constexpr Duration kAwaitBound = std::chrono::minutes(2);

// Returns the value or fails the test.
template <typename T>
auto Require(Result<T> result) -> T {
  cr_assert(static_cast<bool>(result));
  return std::move(result.value());
}

class FleetFixture {
 public:
  FleetFixture() {
    for (auto number = std::uint32_t{0}; number < kEndpoints; ++number) {
      endpoints_.push_back(Require(
          FlowEndpoint::Start(number, kFlowServiceAddress, flows_->address())));
      objects_.flow_endpoints.push_back(endpoints_.back()->address());
    }
  }

  // Publishes a version and waits until it is in force on every running
  // instance.
  void PublishAndAwait(const char* step) {
    AwaitVersion(fleet_->Publish(objects_), step);
  }

  void AwaitVersion(std::uint64_t version, const char* step) {
    Expect([&] { return fleet_->InForce(version, running_); }, step);
  }

  // Waits until all other running instances report one of `states` for a
  // member.
  void AwaitState(std::size_t member, const std::vector<std::string>& states,
                  const char* step) {
    Expect(
        [&] {
          return std::ranges::all_of(running_, [&](std::size_t index) {
            return index == member ||
                   std::ranges::count(states, fleet_->StateOf(member, index)) >
                       0;
          });
        },
        step);
  }

  // Waits for an event in the timeline of an instance.
  void AwaitEvent(std::size_t index, EventKind kind, const std::string& subject,
                  const char* step) {
    Expect([&] { return fleet_->HasEvent(index, kind, subject); }, step);
  }

  void AwaitEventAnywhere(EventKind kind, const std::string& subject,
                          const char* step) {
    Expect(
        [&] {
          return std::ranges::any_of(running_, [&](std::size_t index) {
            return fleet_->HasEvent(index, kind, subject);
          });
        },
        step);
  }

  void Drain(std::size_t number) {
    objects_.draining.insert(EndpointName(kFlowService, number));
  }

  void MarkStopped(std::size_t index) { std::erase(running_, index); }

  void OpenFlows() {
    flows_->OpenMore(kFlows);
    flows_->Begin(fabric_);
    Expect([&] { return flows_->totals().open == kFlows; }, "flows are open");
  }

  // Waits for answers to packets sent from now on.
  void AwaitAnswers(const char* step) {
    const auto before = flows_->totals().answers;
    Expect([&] { return flows_->totals().answers > before + kFlows; }, step);
  }

  template <typename Condition>
  void Expect(Condition&& condition, const char* step) {
    const auto reached = Await(condition, kAwaitBound);
    cr_assert(reached, "%s; log of the first instance:\n%s", step,
              fleet_->LogOf(0).c_str());
  }

  [[nodiscard]] auto fleet() -> LocalFleet& { return *fleet_; }
  [[nodiscard]] auto flows() -> FlowCaller& { return *flows_; }
  [[nodiscard]] auto objects() const -> const LocalObjects& { return objects_; }

 private:
  std::unique_ptr<LocalFleet> fleet_ =
      Require(LocalFleet::Start(HEMLOCKWICK_PROGRAM, kInstances));
  Fabric fabric_{fleet_->targets(), 1};
  std::unique_ptr<FlowCaller> flows_ =
      Require(FlowCaller::Start(kFlowServiceAddress, kAwaitBound));
  std::vector<std::unique_ptr<FlowEndpoint>> endpoints_;
  LocalObjects objects_;
  std::vector<std::size_t> running_ = {0, 1, 2, 3, 4, 5, 6};
};

Test(processes, keep_flows_and_versions_through_changes_and_failures,
     .timeout = 600) {
  auto fixture = FleetFixture();
  auto& fleet = fixture.fleet();
  fixture.PublishAndAwait("version 1 in force");
  fixture.OpenFlows();

  fixture.Drain(0);
  fixture.PublishAndAwait("version 2, with a drain, in force");
  fixture.AwaitEvent(0, EventKind::kEndpointDrainBegun,
                     EndpointName(kFlowService, 0), "the drain is recorded");

  fleet.process(kKilled).Signal(SIGKILL);
  fixture.MarkStopped(kKilled);
  fixture.AwaitState(kKilled, {"dead"}, "the killed instance is dead");

  fleet.process(kStopped).Signal(SIGTERM);
  fixture.Expect([&] { return fleet.process(kStopped).Ended(); },
                 "the stopped instance has ended");
  cr_assert_eq(fleet.process(kStopped).exit_code().value_or(-1), 0);
  fixture.MarkStopped(kStopped);
  fixture.AwaitState(kStopped, {"leaving", "dead"},
                     "the stopped instance has left");

  fleet.process(kPaused).Signal(SIGSTOP);
  fixture.MarkStopped(kPaused);
  fixture.Drain(1);
  fixture.PublishAndAwait("version 3 in force without the paused instance");
  fixture.AwaitState(kPaused, {"suspect", "dead"}, "the paused one is missed");
  fleet.process(kPaused).Signal(SIGCONT);
  fixture.Expect([&] { return fleet.InForce(3, {kPaused}); },
                 "the woken instance has version 3");
  fixture.AwaitEvent(kPaused, EventKind::kProcessPaused, fleet.name(kPaused),
                     "the woken instance noticed the pause");
  fixture.AwaitState(kPaused, {"alive"}, "the woken instance is back");
  fixture.AwaitAnswers("flows are answered");

  fleet.platform().SetAway(true);
  fixture.Drain(2);
  const auto latest = fleet.Publish(fixture.objects());
  fixture.AwaitEventAnywhere(EventKind::kPlatformLost,
                             std::string(kPlatformSubject),
                             "the loss of the platform is noticed");
  fixture.AwaitAnswers("flows are answered without the platform");
  fleet.platform().SetAway(false);
  fixture.AwaitVersion(latest, "version 4 in force once the platform is back");

  fleet.platform().RollBack(std::string(kIndexKey));
  fixture.AwaitAnswers("flows are answered after the platform rolled back");
  fixture.AwaitVersion(latest, "no version is taken back");

  cr_assert_eq(fixture.flows().totals().broken, 0);
  cr_assert_eq(fixture.flows().totals().open, kFlows);
}

// The platform may send the reload signal (SIGHUP) right after it has started a
// process, before the process has read its settings. The default action of the
// signal would end the process.
Test(processes, a_reload_during_startup_does_not_end_the_process) {
  const auto folder = std::filesystem::temp_directory_path() /
                      ("start-" + std::to_string(getpid()));
  std::filesystem::create_directory(folder);
  const auto settings = (folder / "settings.yaml").string();
  cr_assert_eq(mkfifo(settings.c_str(), 0600), 0);
  {
    const auto process = Require(InstanceProcess::Start(
        HEMLOCKWICK_PROGRAM, "edge", settings, folder / "log"));
    // Opening the FIFO blocks until the process opens it to read its settings,
    // which have not been written yet.
    auto file = std::ofstream(settings);
    process->Signal(SIGHUP);
    const auto ended =
        Await([&] { return process->Ended(); }, std::chrono::milliseconds(300));
    cr_assert_not(ended);
  }
  std::filesystem::remove_all(folder);
}

// A second stop signal must end a process that waits for a request in progress,
// with exit code 1; the caller gets "outcome unknown".
Test(processes, a_second_stop_signal_ends_the_process_at_once, .timeout = 600) {
  auto ledger = RunLedger();
  const auto endpoint =
      Require(RequestEndpoint::Start(EndpointName(kRequestService, 0), ledger));
  const auto fleet = Require(LocalFleet::Start(HEMLOCKWICK_PROGRAM, 1));
  auto objects = LocalObjects();
  objects.data_centres = 1;
  objects.request_endpoints = {endpoint->address()};
  const auto version = fleet->Publish(objects);
  cr_assert(Await([&] { return fleet->InForce(version, {0}); }, kAwaitBound));

  auto request = HttpRequest();
  request.method = "POST";
  request.headers = {{"Host", kRequestService},
                     {kKeyHeader, "long"},
                     {kDeadlineHeader, "60000"},
                     {kWorkHeader, "8000"}};
  request.timeout = kAwaitBound;
  auto response = HttpResponse();
  {
    const auto caller = std::jthread([&] {
      response = Require(SendHttp(fleet->targets()[0].http, request));
    });
    cr_assert(Await([&] { return ledger.RunsOf("long") == 1; }, kAwaitBound));
    auto& process = fleet->process(0);
    process.Signal(SIGTERM);
    cr_assert(Await(
        [&] {
          const auto status = fleet->Status(0);
          return status && status->leaving;
        },
        kAwaitBound));
    process.Signal(SIGTERM);
    cr_assert(Await([&] { return process.Ended(); }, kAwaitBound));
    cr_assert_eq(process.exit_code().value_or(-1), 1);
  }
  cr_assert_eq(response.status, 504);
  cr_assert_neq(response.body.find("unknown"), std::string::npos);
}

}  // namespace

}  // namespace hemlockwick
