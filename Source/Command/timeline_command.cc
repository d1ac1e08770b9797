#include "Command/timeline_command.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <thread>
#include <utility>

#include "Command/instance_query.h"
#include "Command/options.h"
#include "Config/quantity.h"
#include "Runtime/system_clock.h"
#include "Timeline/event_codec.h"
#include "Timeline/timeline.h"

namespace hemlockwick {

namespace {

// Polling interval with --follow.
constexpr Duration kFollowInterval = std::chrono::seconds(1);

// An instance that events are fetched from, and the highest stamp fetched so
// far.
struct EventSource {
  SocketAddress address;
  HlcStamp last_stamp;
};

auto MakeOptions() -> cxxopts::Options {
  auto options =
      cxxopts::Options("hemlockwick timeline",
                       "Shows the events of many instances in causal order.");
  options.add_options()                                                 //
      ("from", "HTTP address of an instance; repeat it for each",       //
       cxxopts::value<std::vector<std::string>>(), "ADDRESS")           //
      ("files", "Files of events, one JSON object a line",              //
       cxxopts::value<std::vector<std::string>>(), "FILE")              //
      ("format", "text, json, svg or html",                             //
       cxxopts::value<std::string>()->default_value("text"), "FORMAT")  //
      ("out", "Write to a file instead of the standard output",         //
       cxxopts::value<std::string>(), "FILE")                           //
      ("follow", "Go on printing new events (text or json)")            //
      ("timeout", "Stop following after this time, for example 30s",    //
       cxxopts::value<std::string>(), "TIME")                           //
      ("h,help", "Show this help");
  options.parse_positional({"files"});
  options.positional_help("[FILE...]");
  return options;
}

auto Render(const std::vector<Event>& events, const std::string& format)
    -> Result<std::string> {
  if (format == "text") {
    return RenderText(events);
  }
  if (format == "json") {
    return EncodeEvents(events);
  }
  if (format == "svg") {
    return RenderSvg(events);
  }
  if (format == "html") {
    return RenderHtml(events);
  }
  return Fail(ErrorCode::kInvalidArgument, "unknown format '" + format + "'",
              "use text, json, svg or html");
}

auto ReadFile(const std::string& path) -> Result<std::vector<Event>> {
  auto file = std::ifstream(path);
  if (!file) {
    return Fail(ErrorCode::kNotFound, "cannot read '" + path + "'",
                "check the name");
  }
  const auto text = std::string(std::istreambuf_iterator<char>(file), {});
  auto failure = Error();
  auto events = TryOr(
      [&text]() -> Result<std::vector<Event>> { return DecodeEvents(text); },
      [&failure](const Error& error) {
        failure = error;
        return std::vector<Event>();
      });
  if (!failure.message.empty()) {
    return Fail(failure.code, path + ": " + failure.message, failure.remedy);
  }
  return events;
}

auto Fetch(EventSource& source) -> Result<std::vector<Event>> {
  BOOST_LEAF_AUTO(
      text, GetFromInstance(source.address,
                            "/events?after=" + ToString(source.last_stamp)));
  BOOST_LEAF_AUTO(events, DecodeEvents(text));
  for (const auto& event : events) {
    source.last_stamp = std::max(source.last_stamp, event.stamp);
  }
  return events;
}

// Fetches the new events of all sources and sets `answered` to the number of
// sources that answered. Others are reported on standard error and skipped.
auto FetchAll(std::vector<EventSource>& sources, std::size_t& answered)
    -> std::vector<Event> {
  auto all = std::vector<Event>();
  answered = 0;
  for (auto& source : sources) {
    TryOr(
        [&]() -> Result<void> {
          BOOST_LEAF_AUTO(events, Fetch(source));
          all.insert(all.end(), events.begin(), events.end());
          ++answered;
          return {};
        },
        [](const Error& error) {
          std::cerr << "hemlockwick timeline: " << error.message << "\n";
        });
  }
  return all;
}

// Writes to the file given by --out, or to standard output.
auto Write(const std::string& text, const cxxopts::ParseResult& parsed,
           std::ios::openmode mode) -> Result<void> {
  if (parsed.count("out") == 0) {
    std::cout << text << std::flush;
    return {};
  }
  const auto path = parsed["out"].as<std::string>();
  auto file = std::ofstream(path, mode);
  file << text << std::flush;
  if (!file) {
    return Fail(ErrorCode::kInternal, "cannot write '" + path + "'",
                "check the folder");
  }
  return {};
}

// Prints new events until the time given by --timeout, if any, has passed.
auto Follow(std::vector<EventSource>& sources,
            const cxxopts::ParseResult& parsed, const std::string& format)
    -> Result<ExitCode> {
  const auto clock = SystemClock();
  auto end = TimePoint::max();
  if (parsed.count("timeout") != 0) {
    BOOST_LEAF_AUTO(timeout,
                    ParseDuration(parsed["timeout"].as<std::string>()));
    end = clock.Now() + timeout;
  }
  while (clock.Now() < end) {
    std::this_thread::sleep_for(std::min(kFollowInterval, end - clock.Now()));
    std::size_t answered = 0;
    BOOST_LEAF_AUTO(text,
                    Render(MergeEvents(FetchAll(sources, answered)), format));
    BOOST_LEAF_CHECK(Write(text, parsed, std::ios::app));
  }
  return ExitCode::kSuccess;
}

auto ShowTimeline(const cxxopts::ParseResult& parsed) -> Result<ExitCode> {
  const auto format = parsed["format"].as<std::string>();
  const auto is_following = parsed.count("follow") != 0;
  BOOST_LEAF_CHECK(Render({}, format));
  if (parsed.count("from") == 0 && parsed.count("files") == 0) {
    return Fail(ErrorCode::kInvalidArgument, "no source given",
                "give --from ADDRESS or files");
  }
  if (is_following && (format == "svg" || format == "html")) {
    return Fail(ErrorCode::kInvalidArgument, "--follow cannot draw",
                "use --format text or json");
  }
  auto sources = std::vector<EventSource>();
  auto events = std::vector<Event>();
  if (parsed.count("from") != 0) {
    BOOST_LEAF_AUTO(
        addresses,
        ParseAddresses(parsed["from"].as<std::vector<std::string>>()));
    for (const auto& address : addresses) {
      sources.push_back(EventSource{address, {}});
    }
    std::size_t answered = 0;
    events = FetchAll(sources, answered);
    if (answered == 0) {
      return Fail(ErrorCode::kUnavailable, "no instance answers",
                  "check the addresses");
    }
  }
  if (parsed.count("files") != 0) {
    for (const auto& path : parsed["files"].as<std::vector<std::string>>()) {
      BOOST_LEAF_AUTO(file_events, ReadFile(path));
      events.insert(events.end(), file_events.begin(), file_events.end());
    }
  }
  BOOST_LEAF_AUTO(text, Render(MergeEvents(std::move(events)), format));
  BOOST_LEAF_CHECK(Write(text, parsed, std::ios::out));
  if (is_following) {
    return Follow(sources, parsed, format);
  }
  return ExitCode::kSuccess;
}

}  // namespace

auto TimelineCommand::Run(const std::vector<std::string>& arguments)
    -> ExitCode {
  return RunWithOptions(MakeOptions(), arguments, &ShowTimeline);
}

}  // namespace hemlockwick
