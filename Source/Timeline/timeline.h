#ifndef HEMLOCKWICK_TIMELINE_TIMELINE_H_
#define HEMLOCKWICK_TIMELINE_TIMELINE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "Timeline/event.h"

namespace hemlockwick {

// Merges the events of several processes into one causal order: an event comes
// after every event that may have caused it. Duplicates are removed.
[[nodiscard]] auto MergeEvents(std::vector<Event> events) -> std::vector<Event>;

// Render ordered events: as one line of text each, as an SVG image with one
// lane per instance, or as an HTML page with that image and a table.
[[nodiscard]] auto RenderText(const std::vector<Event>& events) -> std::string;
[[nodiscard]] auto RenderSvg(const std::vector<Event>& events) -> std::string;
[[nodiscard]] auto RenderHtml(const std::vector<Event>& events) -> std::string;

// Returns the UTC time with milliseconds, for example
// "2026-03-01T08:00:00.125Z".
[[nodiscard]] auto FormatUtc(std::int64_t unix_millis) -> std::string;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_TIMELINE_TIMELINE_H_
