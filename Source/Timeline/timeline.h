#ifndef HEMLOCKWICK_TIMELINE_TIMELINE_H_
#define HEMLOCKWICK_TIMELINE_TIMELINE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "Timeline/event.h"

namespace hemlockwick {

// Puts the events of several processes into one order in which an event stands
// after all those that it can have been caused by. Events that occur more than
// once are kept once.
[[nodiscard]] auto MergeEvents(std::vector<Event> events) -> std::vector<Event>;

// Renders events that are in order: one line of text each; an SVG picture with
// one lane per process; an HTML page with the picture and a table.
[[nodiscard]] auto RenderText(const std::vector<Event>& events) -> std::string;
[[nodiscard]] auto RenderSvg(const std::vector<Event>& events) -> std::string;
[[nodiscard]] auto RenderHtml(const std::vector<Event>& events) -> std::string;

// UTC time with milliseconds, for example "2026-03-01T08:00:00.125Z".
[[nodiscard]] auto FormatUtc(std::int64_t unix_millis) -> std::string;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_TIMELINE_TIMELINE_H_
