#include "Measure/trace_generator.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>

#include "Core/random.h"

namespace hemlockwick {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kCallers = 40;
// Share of requests from caller 0.
constexpr double kHeavyCallerShare = 0.2;
constexpr double kLongShare = 0.03;
constexpr double kNonIdempotentShare = 0.5;
constexpr Duration kShortFloor = milliseconds(10);
constexpr Duration kShortMean = milliseconds(40);
constexpr Duration kLongFloor = milliseconds(300);
constexpr Duration kLongMean = milliseconds(1500);
constexpr Duration kMaxLong = seconds(12);
constexpr double kUploadTail = 1.3;  // Exponent of the Pareto distribution.

// Shape of a swing of demand.
struct Swing {
  std::string_view name;
  double base_load = 0.5;
  double peak_load = 1.5;
  Duration length = seconds(12);
  Duration peak_from = seconds(3);
  Duration peak_to = seconds(9);
  Duration ramp = milliseconds(500);
  double long_share = kLongShare;
  bool heavy_tail = false;
};

constexpr std::array<Swing, 6> kSwings = {{
    {"shift-change", 0.4, 1.8},
    {"morning-dispatch", 0.3, 1.3, seconds(14), seconds(3), seconds(11),
     seconds(2)},
    {"photo-uploads", 0.5, 1.1, seconds(14), seconds(3), seconds(11),
     seconds(1), 0.06, true},
    {"endpoint-failure", 0.5, 1.0},
    {"lying-reports", 0.5, 1.2},
    {"retry-storm", 0.4, 1.6},
}};

auto MeanSlotTime(double long_share) -> Duration {
  const auto mean = (1 - long_share) * static_cast<double>(kShortMean.count()) +
                    long_share * static_cast<double>(kLongMean.count());
  return Duration(static_cast<Duration::rep>(mean));
}

// Draws requests one after another.
class RequestSource {
 public:
  RequestSource(double long_share, bool heavy_tail, double heavy_caller_share,
                std::uint64_t seed)
      : long_share_(long_share),
        heavy_tail_(heavy_tail),
        heavy_caller_share_(heavy_caller_share),
        random_(seed) {}

  auto Draw(Duration at) -> TracedRequest {
    auto request = TracedRequest();
    request.at = at;
    request.caller =
        random_.Chance(heavy_caller_share_)
            ? 0
            : static_cast<std::uint32_t>(1 + random_.Below(kCallers - 1));
    request.is_long = random_.Chance(long_share_);
    request.idempotent = !random_.Chance(kNonIdempotentShare);
    request.service_time = request.is_long ? LongTime() : ShortTime();
    return request;
  }

  // Returns the time to the next arrival at `load` of `slots` slots.
  auto NextGap(double load, std::size_t slots) -> Duration {
    const auto mean = static_cast<double>(MeanSlotTime(long_share_).count()) /
                      (load * static_cast<double>(slots));
    return random_.Exponential(Duration(static_cast<Duration::rep>(mean)));
  }

 private:
  auto ShortTime() -> Duration {
    return kShortFloor + random_.Exponential(kShortMean - kShortFloor);
  }

  auto LongTime() -> Duration {
    if (!heavy_tail_) {
      return std::min<Duration>(
          kLongFloor + random_.Exponential(kLongMean - kLongFloor), kMaxLong);
    }
    const auto stretch = std::pow(1 - random_.Uniform01(), -1 / kUploadTail);
    const auto drawn = static_cast<double>(kLongFloor.count()) * stretch;
    return Duration(static_cast<Duration::rep>(
        std::min(drawn, static_cast<double>(kMaxLong.count()))));
  }

  double long_share_;
  bool heavy_tail_;
  double heavy_caller_share_;
  Random random_;
};

auto LoadAt(const Swing& swing, Duration at) -> double {
  const auto ramp = static_cast<double>(swing.ramp.count());
  const auto rise = static_cast<double>((at - swing.peak_from).count()) / ramp;
  const auto fall = static_cast<double>((swing.peak_to - at).count()) / ramp;
  const auto height = std::clamp(std::min(rise, fall), 0.0, 1.0);
  return swing.base_load + height * (swing.peak_load - swing.base_load);
}

void AddFaults(RequestTrace& trace) {
  if (trace.name == "endpoint-failure") {
    trace.faults = {
        {EndpointFaultKind::kFail, 2, seconds(4), seconds(9)},
        {EndpointFaultKind::kHang, 9, seconds(5), seconds(8)},
        {EndpointFaultKind::kCold, 2, seconds(9), seconds(11)},
    };
  }
  if (trace.name == "lying-reports") {
    trace.faults = {
        {EndpointFaultKind::kLie, 1, seconds(0), seconds(12)},
        {EndpointFaultKind::kLie, 8, seconds(0), seconds(12)},
        {EndpointFaultKind::kLag, 5, seconds(0), seconds(12)},
    };
  }
  if (trace.name == "retry-storm") {
    trace.caller_retries = 3;
  }
}

auto MakeSwing(const Swing& swing, std::uint64_t seed) -> RequestTrace {
  auto trace = RequestTrace();
  trace.name = swing.name;
  trace.peak_from = swing.peak_from;
  trace.peak_to = swing.peak_to;
  AddFaults(trace);
  auto source = RequestSource(swing.long_share, swing.heavy_tail,
                              kHeavyCallerShare, seed);
  const auto slots = trace.endpoints * trace.slots;
  auto at = source.NextGap(swing.base_load, slots);
  while (at < swing.length) {
    trace.requests.push_back(source.Draw(at));
    at += source.NextGap(LoadAt(swing, at), slots);
  }
  return trace;
}

auto MakeConstant(std::string_view name, double load, double heavy_caller_share,
                  Duration length, std::uint64_t seed) -> RequestTrace {
  auto trace = RequestTrace();
  trace.name = name;
  trace.peak_to = length;
  auto source = RequestSource(kLongShare, false, heavy_caller_share, seed);
  const auto slots = trace.endpoints * trace.slots;
  auto at = source.NextGap(load, slots);
  while (at < length) {
    trace.requests.push_back(source.Draw(at));
    at += source.NextGap(load, slots);
  }
  return trace;
}

}  // namespace

auto PeakTraceNames() -> std::vector<std::string> {
  auto names = std::vector<std::string>();
  for (const auto& swing : kSwings) {
    names.emplace_back(swing.name);
  }
  return names;
}

auto MakePeakTrace(std::string_view name, std::uint64_t seed)
    -> Result<RequestTrace> {
  for (const auto& swing : kSwings) {
    if (swing.name == name) {
      return MakeSwing(swing, seed);
    }
  }
  auto known = std::string();
  for (const auto& swing : kSwings) {
    known += (known.empty() ? "" : ", ") + std::string(swing.name);
  }
  return Fail(ErrorCode::kNotFound,
              "there is no trace '" + std::string(name) + "'",
              "choose one of " + known);
}

auto MakeSteadyTrace(double load, Duration length, std::uint64_t seed)
    -> RequestTrace {
  return MakeConstant("steady", load, 1.0 / kCallers, length, seed);
}

auto MakeOverloadTrace(double load, Duration length, std::uint64_t seed)
    -> RequestTrace {
  return MakeConstant("overload", load, kHeavyCallerShare, length, seed);
}

}  // namespace hemlockwick
