#include "StandIn/demo.h"

#include <csignal>
#include <iomanip>
#include <iostream>
#include <utility>

#include "StandIn/await.h"

namespace hemlockwick {

namespace {

constexpr std::size_t kInstances = 7;
constexpr std::size_t kFlowEndpoints = 14;
constexpr std::size_t kRequestEndpoints = 4;
constexpr std::size_t kFlows = 700;
constexpr std::size_t kLateFlows = 140;
constexpr std::size_t kRequestCallers = 8;

constexpr std::size_t kStopped = 3;
constexpr std::size_t kKilled = 4;

constexpr Duration kAwaitBound = std::chrono::seconds(15);
constexpr Duration kAnswerTimeout = std::chrono::seconds(10);
constexpr Duration kQuietTime = std::chrono::seconds(2);

// From this long after a drain was published no new flow may reach the
// endpoint.
constexpr Duration kDrainTime = std::chrono::seconds(4);

}  // namespace

auto Demo::Run() -> Result<bool> {
  BOOST_LEAF_CHECK(StartEndpoints());
  BOOST_LEAF_ASSIGN(fleet_, LocalFleet::Start(program_, kInstances));
  fabric_ = std::make_unique<Fabric>(fleet_->targets(), 1);
  Say(std::to_string(kInstances) + " instances started");
  if (!AwaitVersion(fleet_->Publish(objects_))) {
    return false;
  }
  OpenFlows();
  requests_ = std::make_unique<RequestCaller>(*fabric_, ledger_,
                                              kRequestService, kRequestCallers);
  Watch(kQuietTime);
  Drain();
  StopOne();
  KillOne();
  Watch(kQuietTime);
  requests_->Stop();
  return Summary();
}

auto Demo::StartEndpoints() -> Result<void> {
  BOOST_LEAF_ASSIGN(flows_,
                    FlowCaller::Start(kFlowServiceAddress, kAnswerTimeout));
  for (auto number = std::uint32_t{0}; number < kFlowEndpoints; ++number) {
    BOOST_LEAF_AUTO(endpoint, FlowEndpoint::Start(number, kFlowServiceAddress,
                                                  flows_->address()));
    objects_.flow_endpoints.push_back(endpoint->address());
    flow_endpoints_.push_back(std::move(endpoint));
  }
  for (auto number = std::size_t{0}; number < kRequestEndpoints; ++number) {
    BOOST_LEAF_AUTO(
        endpoint,
        RequestEndpoint::Start(EndpointName(kRequestService, number), ledger_));
    objects_.request_endpoints.push_back(endpoint->address());
    request_endpoints_.push_back(std::move(endpoint));
  }
  return {};
}

void Demo::Say(const std::string& text) const {
  const auto passed =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - begun_);
  std::cout << std::fixed << std::setprecision(1) << std::setw(5)
            << passed.count() << " s  " << text << std::endl;
}

auto Demo::AwaitVersion(std::uint64_t version) -> bool {
  auto running = std::vector<std::size_t>();
  for (auto index = std::size_t{0}; index < fleet_->size(); ++index) {
    if (!gone_.contains(index)) {
      running.push_back(index);
    }
  }
  const auto reached =
      Await([&] { return fleet_->InForce(version, running); }, kAwaitBound);
  Say("version " + std::to_string(version) +
      (reached ? " is in force on " : " is NOT in force on ") +
      std::to_string(running.size()) + " instances");
  failed_ = failed_ || !reached;
  return reached;
}

void Demo::OpenFlows() {
  flows_->OpenMore(kFlows);
  flows_->Begin(*fabric_);
  const auto opened =
      Await([this] { return flows_->totals().open == kFlows; }, kAwaitBound);
  Say(std::to_string(flows_->totals().open) + " flows are open");
  failed_ = failed_ || !opened;
}

void Demo::Drain() {
  objects_.draining = {EndpointName(kFlowService, 0),
                       EndpointName(kRequestService, 0)};
  const auto version = fleet_->Publish(objects_);
  Say("draining " + EndpointName(kFlowService, 0) + " and " +
      EndpointName(kRequestService, 0));
  static_cast<void>(AwaitVersion(version));
  Watch(kDrainTime);
  OpenLateFlows();
}

void Demo::OpenLateFlows() {
  first_late_flow_ = flows_->OpenMore(kLateFlows);
  const auto opened = Await(
      [this] { return flows_->totals(first_late_flow_).open == kLateFlows; },
      kAwaitBound);
  Say(std::to_string(flows_->totals(first_late_flow_).open) +
      " more flows are open");
  failed_ = failed_ || !opened;
}

void Demo::StopOne() {
  Say("stopping " + fleet_->name(kStopped) + " (SIGTERM)");
  gone_.insert(kStopped);
  auto& process = fleet_->process(kStopped);
  process.Signal(SIGTERM);
  const auto ended = Await([&process] { return process.Ended(); }, kAwaitBound);
  const auto clean = ended && process.exit_code() == 0;
  Say(fleet_->name(kStopped) +
      (clean ? " has ended by itself" : " did NOT end by itself"));
  failed_ = failed_ || !clean;
}

void Demo::KillOne() {
  Say("killing " + fleet_->name(kKilled) + " (SIGKILL)");
  unknown_before_kill_ = requests_->totals().unknown;
  gone_.insert(kKilled);
  fleet_->process(kKilled).Signal(SIGKILL);
  const auto noticed = Await(
      [this] { return fleet_->StateOf(kKilled, 0) == "dead"; }, kAwaitBound);
  Say(noticed ? "the others count it as dead"
              : "the others do NOT count it as dead");
  failed_ = failed_ || !noticed;
}

void Demo::Watch(Duration time) const {
  Await([] { return false; }, time);
  const auto flows = flows_->totals();
  const auto requests = requests_->totals();
  Say(std::to_string(flows.open) + " flows open, " +
      std::to_string(flows.broken) + " broken; " +
      std::to_string(requests.answered) + " requests answered");
}

auto Demo::Summary() -> bool {
  const auto flows = flows_->totals();
  const auto late = flows_->totals(first_late_flow_);
  const auto requests = requests_->totals();
  auto foreign = std::size_t{0};
  for (const auto& endpoint : flow_endpoints_) {
    foreign += endpoint->foreign();
  }
  const auto on_drained =
      late.by_endpoint.contains(0) ? late.by_endpoint.at(0) : 0;
  std::cout << "\nSummary\n";
  PrintFlows(flows);
  std::cout << "  new flows on the drained endpoint   " << on_drained << "\n"
            << "  packets of another service          " << foreign << "\n";
  PrintRequests(requests);
  PrintVersions();
  const auto whole = !failed_ && flows.broken == 0 && on_drained == 0 &&
                     foreign == 0 && unknown_before_kill_ == 0 &&
                     requests.wrong == 0 && requests.doubled == 0 &&
                     requests.false_not_run == 0 && requests.lost == 0 &&
                     requests.answered > 0;
  std::cout << (whole ? "PASS" : "FAIL") << "\n";
  return whole;
}

void Demo::PrintFlows(const FlowTotals& flows) const {
  std::cout << "  flows held                          " << flows.open << "\n"
            << "  flows broken                        " << flows.broken << "\n"
            << "  packets answered                    " << flows.answers << "\n"
            << "  flows per endpoint                 ";
  for (const auto& [endpoint, count] : flows.by_endpoint) {
    std::cout << " " << count;
  }
  std::cout << "\n";
}

void Demo::PrintRequests(const RequestTotals& requests) const {
  std::cout << "  requests sent                       " << requests.sent << "\n"
            << "  answered                            " << requests.answered
            << "\n  refused as not run                  " << requests.not_run
            << "\n  outcome unknown                     " << requests.unknown
            << "\n  of these before the kill            "
            << unknown_before_kill_
            << "\n  wrong answers                       " << requests.wrong
            << "\n  run twice                           " << requests.doubled
            << "\n  refused as not run, yet run         "
            << requests.false_not_run
            << "\n  answered, yet not run               " << requests.lost
            << "\n  runs (sheds) per endpoint          ";
  for (const auto& endpoint : request_endpoints_) {
    std::cout << " " << endpoint->runs() << " (" << endpoint->sheds() << ")";
  }
  std::cout << "\n";
}

void Demo::PrintVersions() const {
  for (auto index = std::size_t{0}; index < fleet_->size(); ++index) {
    const auto status = fleet_->Status(index);
    std::cout << "  version in force on " << fleet_->name(index) << "      "
              << (status ? std::to_string(status->version.value()) : "gone")
              << "\n";
  }
  std::cout << "  calls at the platform               "
            << fleet_->platform().calls() << "\n";
}

}  // namespace hemlockwick
