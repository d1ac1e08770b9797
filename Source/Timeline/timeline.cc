#include "Timeline/timeline.h"

#include <algorithm>
#include <ctime>
#include <iomanip>
#include <map>
#include <sstream>
#include <tuple>
#include <utility>

namespace hemlockwick {

namespace {

// Dimensions of the SVG image in pixels.
constexpr int kLabelWidth = 160;
constexpr int kPlotWidth = 1200;
constexpr int kLaneHeight = 36;
constexpr int kAxisHeight = 40;
constexpr int kMarkerRadius = 5;
constexpr int kTicks = 8;

constexpr std::int64_t kMillisPerSecond = 1000;

auto KeyOf(const Event& event) {
  return std::tie(event.stamp, event.instance, event.kind, event.subject,
                  event.detail);
}

auto ColourOf(EventKind kind) -> std::string {
  switch (kind) {
    case EventKind::kVersionAccepted:
    case EventKind::kVersionInForce:
      return "#2a7f3e";
    case EventKind::kVersionRefused:
    case EventKind::kMemberDead:
    case EventKind::kPlatformLost:
    case EventKind::kPartitionBegun:
      return "#c0322b";
    case EventKind::kMemberSuspected:
    case EventKind::kProcessPaused:
    case EventKind::kLimitMoved:
    case EventKind::kRecordsEvicted:
      return "#d98e04";
    default:
      return "#33658a";
  }
}

// Escapes the characters that are reserved in XML and HTML.
auto Escape(const std::string& text) -> std::string {
  auto escaped = std::string();
  for (const auto character : text) {
    switch (character) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += character;
    }
  }
  return escaped;
}

auto Describe(const Event& event) -> std::string {
  auto text = std::string(ToString(event.kind));
  if (!event.subject.empty()) {
    text += " " + event.subject;
  }
  if (!event.detail.empty()) {
    text += " (" + event.detail + ")";
  }
  return text;
}

// Assigns a lane to each instance, in the order of names.
auto LanesOf(const std::vector<Event>& events) -> std::map<std::string, int> {
  auto lanes = std::map<std::string, int>();
  for (const auto& event : events) {
    lanes.emplace(event.instance, 0);
  }
  auto next = 0;
  for (auto& [instance, lane] : lanes) {
    lane = next++;
  }
  return lanes;
}

// The time axis: maps a time between the first and the last event to pixels.
struct Axis {
  std::int64_t first = 0;
  std::int64_t span = 1;

  [[nodiscard]] auto Position(std::int64_t millis) const -> int {
    return kLabelWidth + static_cast<int>((millis - first) * kPlotWidth / span);
  }
};

auto AxisOf(const std::vector<Event>& events) -> Axis {
  if (events.empty()) {
    return {};
  }
  const auto first = events.front().stamp.unix_millis;
  const auto last = events.back().stamp.unix_millis;
  return Axis{first, std::max<std::int64_t>(last - first, 1)};
}

void DrawAxis(const Axis& axis, int height, std::ostream& out) {
  for (auto tick = 0; tick <= kTicks; ++tick) {
    const auto millis = axis.first + axis.span * tick / kTicks;
    const auto x = axis.Position(millis);
    out << "<line x1=\"" << x << "\" y1=\"" << kAxisHeight << "\" x2=\"" << x
        << "\" y2=\"" << height << "\" stroke=\"#dddddd\"/>\n<text x=\"" << x
        << "\" y=\"" << kAxisHeight / 2 << "\" text-anchor=\"middle\">+"
        << millis - axis.first << " ms</text>\n";
  }
}

void DrawLane(const std::string& instance, int y, std::ostream& out) {
  out << "<text x=\"4\" y=\"" << y + kMarkerRadius << "\">" << Escape(instance)
      << "</text>\n<line x1=\"" << kLabelWidth << "\" y1=\"" << y << "\" x2=\""
      << kLabelWidth + kPlotWidth << "\" y2=\"" << y
      << "\" stroke=\"#999999\"/>\n";
}

}  // namespace

auto MergeEvents(std::vector<Event> events) -> std::vector<Event> {
  std::stable_sort(events.begin(), events.end(),
                   [](const Event& left, const Event& right) {
                     return KeyOf(left) < KeyOf(right);
                   });
  const auto same = [](const Event& left, const Event& right) {
    return KeyOf(left) == KeyOf(right);
  };
  events.erase(std::unique(events.begin(), events.end(), same), events.end());
  return events;
}

auto FormatUtc(std::int64_t unix_millis) -> std::string {
  const auto seconds = static_cast<std::time_t>(unix_millis / kMillisPerSecond);
  auto calendar = std::tm();
  gmtime_r(&seconds, &calendar);
  auto text = std::ostringstream();
  text << std::put_time(&calendar, "%Y-%m-%dT%H:%M:%S.") << std::setfill('0')
       << std::setw(3) << unix_millis % kMillisPerSecond << "Z";
  return text.str();
}

auto RenderText(const std::vector<Event>& events) -> std::string {
  std::size_t width = 0;
  for (const auto& event : events) {
    width = std::max(width, event.instance.size());
  }
  auto text = std::ostringstream();
  for (const auto& event : events) {
    text << FormatUtc(event.stamp.unix_millis) << "  " << std::left
         << std::setw(static_cast<int>(width)) << event.instance << "  "
         << Describe(event) << "\n";
  }
  return text.str();
}

auto RenderSvg(const std::vector<Event>& events) -> std::string {
  const auto lanes = LanesOf(events);
  const auto axis = AxisOf(events);
  const auto height =
      kAxisHeight + kLaneHeight * (static_cast<int>(lanes.size()) + 1);
  const auto width = kLabelWidth + kPlotWidth + kLabelWidth;
  auto out = std::ostringstream();
  out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width
      << "\" height=\"" << height
      << "\" font-family=\"sans-serif\" font-size=\"12\">\n";
  DrawAxis(axis, height, out);
  const auto y_of = [](int lane) {
    return kAxisHeight + kLaneHeight * (lane + 1);
  };
  for (const auto& [instance, lane] : lanes) {
    DrawLane(instance, y_of(lane), out);
  }
  for (const auto& event : events) {
    out << "<circle cx=\"" << axis.Position(event.stamp.unix_millis)
        << "\" cy=\"" << y_of(lanes.at(event.instance)) << "\" r=\""
        << kMarkerRadius << "\" fill=\"" << ColourOf(event.kind) << "\"><title>"
        << FormatUtc(event.stamp.unix_millis) << " "
        << Escape(event.instance + ": " + Describe(event))
        << "</title></circle>\n";
  }
  out << "</svg>\n";
  return out.str();
}

auto RenderHtml(const std::vector<Event>& events) -> std::string {
  auto out = std::ostringstream();
  out << "<!DOCTYPE html>\n<html>\n<head><meta charset=\"utf-8\">"
         "<title>hemlockwick time line</title></head>\n<body>\n"
      << RenderSvg(events)
      << "<table>\n<tr><th>time</th><th>instance</th><th>event</th></tr>\n";
  for (const auto& event : events) {
    out << "<tr><td>" << FormatUtc(event.stamp.unix_millis) << "</td><td>"
        << Escape(event.instance) << "</td><td>" << Escape(Describe(event))
        << "</td></tr>\n";
  }
  out << "</table>\n</body>\n</html>\n";
  return out.str();
}

}  // namespace hemlockwick
