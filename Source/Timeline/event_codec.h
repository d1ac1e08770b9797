#ifndef HEMLOCKWICK_TIMELINE_EVENT_CODEC_H_
#define HEMLOCKWICK_TIMELINE_EVENT_CODEC_H_

#include <string>
#include <string_view>
#include <vector>

#include "Core/error.h"
#include "Timeline/event.h"

namespace hemlockwick {

// Converts a stamp to "MILLIS.COUNTER", the form used in the query of GET
// /events, and back. Parsing fails with kInvalidArgument.
[[nodiscard]] auto ToString(const HlcStamp& stamp) -> std::string;
[[nodiscard]] auto ParseHlcStamp(std::string_view text) -> Result<HlcStamp>;

// Converts events to JSON, one per line and each line ended by a newline, and
// back. Empty lines are skipped. Decoding fails with kInvalidArgument; the
// error names the line.
[[nodiscard]] auto EncodeEvents(const std::vector<Event>& events)
    -> std::string;
[[nodiscard]] auto DecodeEvents(std::string_view text)
    -> Result<std::vector<Event>>;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_TIMELINE_EVENT_CODEC_H_
