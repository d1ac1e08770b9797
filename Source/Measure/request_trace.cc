#include "Measure/request_trace.h"

#include <array>
#include <chrono>
#include <sstream>
#include <utility>

namespace hemlockwick {

namespace {

// Unit of times in request lines.
constexpr Duration kTick = std::chrono::microseconds(100);

constexpr std::array<std::pair<std::string_view, EndpointFaultKind>, 6>
    kFaultNames = {{{"fail", EndpointFaultKind::kFail},
                    {"hang", EndpointFaultKind::kHang},
                    {"lie", EndpointFaultKind::kLie},
                    {"lag", EndpointFaultKind::kLag},
                    {"cold", EndpointFaultKind::kCold},
                    {"drain", EndpointFaultKind::kDrain}}};

auto Millis(Duration duration) -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

auto NameOf(EndpointFaultKind kind) -> std::string_view {
  for (const auto& [name, value] : kFaultNames) {
    if (value == kind) {
      return name;
    }
  }
  return "unknown";
}

// Letters of request lines: query, order, scan (long, idempotent), upload.
auto LetterOf(const TracedRequest& request) -> char {
  if (request.is_long) {
    return request.idempotent ? 's' : 'u';
  }
  return request.idempotent ? 'q' : 'o';
}

// Reads the lines of a trace one by one.
class TraceReader {
 public:
  auto ReadLine(const std::string& line) -> bool {
    if (line.empty() || line.front() == '#') {
      return true;
    }
    auto in = std::istringstream(line);
    auto word = std::string();
    if (std::string_view("qosu").find(line.front()) != std::string::npos &&
        line.size() > 1 && line[1] >= '0' && line[1] <= '9') {
      return ReadRequest(in);
    }
    in >> word;
    return ReadHeader(word, in);
  }

  auto Take() -> RequestTrace { return std::move(trace_); }

 private:
  auto ReadRequest(std::istringstream& in) -> bool {
    auto letter = char();
    auto delta = std::int64_t();
    auto service = std::int64_t();
    auto request = TracedRequest();
    if (!(in >> letter >> delta >> request.caller >> service) || delta < 0 ||
        service <= 0) {
      return false;
    }
    at_ += delta * kTick;
    request.at = at_;
    request.service_time = service * kTick;
    request.is_long = letter == 's' || letter == 'u';
    request.idempotent = letter == 'q' || letter == 's';
    trace_.requests.push_back(request);
    return true;
  }

  auto ReadHeader(const std::string& word, std::istringstream& in) -> bool {
    if (word == "name") {
      return static_cast<bool>(in >> trace_.name);
    }
    if (word == "endpoints") {
      return static_cast<bool>(in >> trace_.endpoints >> trace_.slots) &&
             trace_.endpoints > 0 && trace_.slots > 0;
    }
    if (word == "deadlines") {
      return ReadMillis(in, trace_.short_deadline, trace_.long_deadline);
    }
    if (word == "peak") {
      return ReadMillis(in, trace_.peak_from, trace_.peak_to);
    }
    if (word == "retries") {
      return static_cast<bool>(in >> trace_.caller_retries);
    }
    return word == "fault" && ReadFault(in);
  }

  auto ReadFault(std::istringstream& in) -> bool {
    auto name = std::string();
    auto fault = EndpointFault();
    if (!(in >> name >> fault.endpoint) ||
        !ReadMillis(in, fault.from, fault.to)) {
      return false;
    }
    for (const auto& [known, kind] : kFaultNames) {
      if (known == name) {
        fault.kind = kind;
        trace_.faults.push_back(fault);
        return true;
      }
    }
    return false;
  }

  static auto ReadMillis(std::istringstream& in, Duration& first,
                         Duration& second) -> bool {
    auto first_millis = std::int64_t();
    auto second_millis = std::int64_t();
    if (!(in >> first_millis >> second_millis)) {
      return false;
    }
    first = std::chrono::milliseconds(first_millis);
    second = std::chrono::milliseconds(second_millis);
    return true;
  }

  RequestTrace trace_;
  Duration at_{0};
};

}  // namespace

auto EncodeTrace(const RequestTrace& trace) -> std::string {
  auto out = std::ostringstream();
  out << "# hemlockwick request trace 1\nname " << trace.name << "\nendpoints "
      << trace.endpoints << " " << trace.slots << "\ndeadlines "
      << Millis(trace.short_deadline) << " " << Millis(trace.long_deadline)
      << "\npeak " << Millis(trace.peak_from) << " " << Millis(trace.peak_to)
      << "\nretries " << trace.caller_retries << "\n";
  for (const auto& fault : trace.faults) {
    out << "fault " << NameOf(fault.kind) << " " << fault.endpoint << " "
        << Millis(fault.from) << " " << Millis(fault.to) << "\n";
  }
  auto previous = std::int64_t{0};
  for (const auto& request : trace.requests) {
    const auto at = request.at / kTick;
    out << LetterOf(request) << at - previous << " " << request.caller << " "
        << request.service_time / kTick << "\n";
    previous = at;
  }
  return out.str();
}

auto DecodeTrace(std::string_view text) -> Result<RequestTrace> {
  auto reader = TraceReader();
  auto in = std::istringstream(std::string(text));
  auto line = std::string();
  for (auto number = 1; std::getline(in, line); ++number) {
    if (!reader.ReadLine(line)) {
      return Fail(ErrorCode::kInvalidArgument,
                  "line " + std::to_string(number) + " of the trace: '" + line +
                      "' is not understood",
                  "write the trace with 'hemlockwick-measure make-trace'");
    }
  }
  auto trace = reader.Take();
  BOOST_LEAF_CHECK(SetFaults(trace, trace.faults));
  return trace;
}

auto SetFaults(RequestTrace& trace, std::vector<EndpointFault> faults)
    -> Result<void> {
  for (const auto& fault : faults) {
    if (fault.endpoint >= trace.endpoints) {
      return Fail(ErrorCode::kInvalidArgument,
                  "a fault names endpoint " + std::to_string(fault.endpoint) +
                      " of " + std::to_string(trace.endpoints),
                  "count endpoints from 0");
    }
  }
  trace.faults = std::move(faults);
  return {};
}

auto DecodeFaults(std::string_view text) -> Result<std::vector<EndpointFault>> {
  BOOST_LEAF_AUTO(trace, DecodeTrace(text));
  return std::move(trace.faults);
}

}  // namespace hemlockwick
