#include "Runtime/instance.h"

#include <string>
#include <utility>

#include "Core/hash.h"
#include "Fleet/status_report.h"
#include "Runtime/control_loop.h"
#include "Runtime/http_server.h"
#include "Runtime/json_rpc.h"
#include "Runtime/log.h"
#include "Runtime/metrics.h"
#include "Runtime/operator_responses.h"
#include "Runtime/request_headers.h"
#include "Runtime/socket.h"
#include "Runtime/traffic_threads.h"

namespace hemlockwick {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;

auto ToFleetSettings(const ServeSettings& settings, std::uint64_t random_seed)
    -> FleetSettings {
  return {settings.name,   settings.data_centre, settings.http,
          settings.packet, settings.seeds,       random_seed};
}

auto ToRequestSettings(const ServeSettings& settings, std::uint64_t random_seed,
                       TimePoint now) -> RequestPlaneSettings {
  auto result = RequestPlaneSettings();
  result.random_seed = random_seed;
  result.is_first_start = now < settings.first_start_until;
  return result;
}

}  // namespace

class Instance::Impl {
 public:
  explicit Impl(const ServeSettings& settings)
      : settings_(settings),
        self_(IdFromName<InstanceId>(settings.name)),
        random_seed_(MixWords(self_.value(),
                              static_cast<std::uint64_t>(
                                  clock_.Now().time_since_epoch().count()))),
        events_(settings.name),
        router_({}, self_, events_, clock_.Now()),
        peers_(self_, events_, clock_,
               [this](const PeerMessage& message) { OnSendFailed(message); }),
        platform_(
            settings.platform,
            [this](PlatformAnswer answer) { inbox_.Push(std::move(answer)); }),
        gateway_(ToRequestSettings(settings_, random_seed_, clock_.Now()),
                 self_, events_, clock_,
                 [this](const SendRequestMessage& message) { Send(message); }),
        rpc_([this](const RpcEnvelope& envelope) {
          return OnEnvelope(envelope);
        }) {}

  ~Impl() {
    Abort();
    traffic_.reset();
    control_.reset();
  }
  Impl(const Impl&) = delete;
  auto operator=(const Impl&) -> Impl& = delete;

  auto Start() -> Result<void> {
    events_.Record(EventKind::kProcessStarted, settings_.name,
                   "in " + settings_.data_centre, clock_.Now());
    BOOST_LEAF_AUTO(listener, ListenTcp(settings_.http));
    BOOST_LEAF_ASSIGN(traffic_, TrafficThreads::Start(settings_.packet,
                                                      settings_.traffic_threads,
                                                      router_, clock_));
    control_ = std::make_unique<ControlLoop>(
        ToFleetSettings(settings_, random_seed_), events_, clock_, inbox_,
        platform_, peers_, router_, gateway_);
    BOOST_LEAF_ASSIGN(http_, HttpServer::Start(std::move(listener), {},
                                               [this](const HttpCall& call) {
                                                 return HandleRequest(call);
                                               }));
    return {};
  }

  void Abort() {
    gateway_.Abort();
    http_.reset();
  }

  void BeginLeave() {
    leave_begun_ = clock_.Now();
    events_.Record(EventKind::kProcessStopping, settings_.name, {},
                   leave_begun_);
    inbox_.Push(LeaveRequest{});
  }

  [[nodiscard]] auto LeaveDone() const -> bool {
    return control_->LeaveDone() &&
           clock_.Now() >= leave_begun_ + settings_.leave_grace;
  }

 private:
  auto HandleRequest(const HttpCall& call) -> HttpResponse {
    const auto view = control_->view();
    if (view->config != nullptr) {
      const auto service = FindServiceByHost(*view->config, call.request);
      if (service != nullptr && service->kind == ServiceKind::kRequest) {
        return gateway_.Serve(call, *service);
      }
    }
    return HandleOperatorRequest(call.request, *view);
  }

  auto HandleOperatorRequest(const HttpRequest& request,
                             const ControlView& view) -> HttpResponse {
    const auto path = request.path.substr(0, request.path.find('?'));
    if (path == "/rpc" && request.method == "POST") {
      return {kOk,
              {{"Content-Type", "application/json"}},
              rpc_.Handle(request.body)};
    }
    if (path == "/healthz") {
      return TextResponse(kOk, "ok\n");
    }
    if (path == "/readyz") {
      return ReadyResponse(view);
    }
    if (path == "/status") {
      return JsonResponse(EncodeStatus(MakeStatusReport(view)));
    }
    if (path == "/members") {
      return MembersResponse(view);
    }
    if (path == "/events") {
      return EventsResponse(events_, request.path);
    }
    if (path == "/metrics") {
      return TextResponse(kOk, FormatMetrics(CollectMetrics(view)));
    }
    return NotRunResponse(kNotFound, "unknown_service");
  }

  [[nodiscard]] auto CollectMetrics(const ControlView& view) const
      -> MetricsInput {
    return {traffic_->totals(),
            control_->flow_stats(),
            gateway_.stats(),
            peers_.stats(),
            view,
            events_.dropped()};
  }

  [[nodiscard]] auto MakeStatusReport(const ControlView& view) const
      -> StatusReport {
    auto report = StatusReport();
    report.instance = settings_.name;
    report.data_centre = settings_.data_centre;
    report.leaving = view.leaving;
    if (view.config != nullptr) {
      report.version = view.config->version;
      report.digest = view.config->digest;
      report.in_force_since = view.in_force_since;
      report.evacuated_data_centres = EvacuatedDataCentresOf(*view.config);
    }
    report.last_refusal = view.last_refusal;
    report.members = CountMembers(view.members);
    report.unreachable_data_centres =
        static_cast<std::uint32_t>(view.members.unreachable.size());
    report.flows = control_->flow_stats().records;
    report.requests = gateway_.stats().arrived;
    report.control_bytes = view.sent_bytes;
    return report;
  }

  void Send(const SendRequestMessage& message) {
    peers_.Send(
        {message.to, message.address, "request", Encode(message.message)});
  }

  void OnSendFailed(const PeerMessage& message) {
    Log(LogLevel::kDebug, "message not taken",
        {{"to", ToString(message.address)}, {"plane", message.plane}});
    inbox_.Push(SendFailure{message.to});
  }

  // Decodes a peer's message and passes it to its plane. Returns whether it was
  // accepted.
  auto OnEnvelope(const RpcEnvelope& envelope) -> bool {
    events_.Observe({envelope.stamp_millis, envelope.stamp_counter},
                    clock_.Now());
    const auto from = InstanceId(envelope.from);
    return TryOr(
        [&]() -> Result<bool> {
          if (envelope.plane == "fleet") {
            BOOST_LEAF_AUTO(message, DecodeFleetMessage(envelope.body));
            inbox_.Push(FleetDelivery{from, std::move(message)});
          } else if (envelope.plane == "flow") {
            BOOST_LEAF_AUTO(message, DecodeFlowMessage(envelope.body));
            inbox_.Push(FlowDelivery{from, std::move(message)});
          } else if (envelope.plane == "request") {
            BOOST_LEAF_AUTO(message, DecodeRequestMessage(envelope.body));
            gateway_.OnMessage(from, message);
          } else {
            return false;
          }
          return true;
        },
        [&envelope](const Error& error) {
          Log(LogLevel::kWarning, "message refused",
              {{"plane", envelope.plane}, {"error", error.message}});
          return false;
        });
  }

  const ServeSettings settings_;
  const SystemClock clock_;
  const InstanceId self_;
  const std::uint64_t random_seed_;
  EventLog events_;
  Inbox<ControlInput> inbox_;
  FlowRouter router_;
  PeerSender peers_;
  PlatformClient platform_;
  RequestGateway gateway_;
  RpcReceiver rpc_;
  TimePoint leave_begun_;
  std::unique_ptr<ControlLoop> control_;
  std::unique_ptr<TrafficThreads> traffic_;
  std::unique_ptr<HttpServer> http_;
};

auto Instance::Start(const ServeSettings& settings)
    -> Result<std::unique_ptr<Instance>> {
  auto impl = std::make_unique<Impl>(settings);
  BOOST_LEAF_CHECK(impl->Start());
  return std::unique_ptr<Instance>(new Instance(std::move(impl)));
}

Instance::Instance(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

Instance::~Instance() = default;

void Instance::BeginLeave() { impl_->BeginLeave(); }

void Instance::Abort() { impl_->Abort(); }

auto Instance::LeaveDone() const -> bool { return impl_->LeaveDone(); }

}  // namespace hemlockwick
