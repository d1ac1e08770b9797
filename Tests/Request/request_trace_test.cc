#include "Measure/request_trace.h"

#include <criterion/criterion.h>

#include <fstream>
#include <iterator>
#include <string>

#include "Measure/trace_generator.h"

namespace hemlockwick {
namespace {

auto Decode(const std::string& text) -> std::string {
  return TryOr(
      [&text]() -> Result<std::string> {
        BOOST_LEAF_AUTO(trace, DecodeTrace(text));
        return EncodeTrace(trace);
      },
      [](const Error& error) { return "error: " + error.message; });
}

Test(request_trace, recorded_traces_are_those_of_the_generator) {
  for (const auto& name : PeakTraceNames()) {
    auto in =
        std::ifstream(std::string(HEMLOCKWICK_TRACES) + "/" + name + ".trace");
    const auto recorded = std::string(std::istreambuf_iterator<char>(in), {});
    cr_assert(Decode(recorded) == recorded, "%s", name.c_str());
    const auto made = TryOr(
        [&name]() -> Result<std::string> {
          BOOST_LEAF_AUTO(trace, MakePeakTrace(name, 1));
          return EncodeTrace(trace);
        },
        [](const Error&) { return std::string(); });
    cr_assert(made == recorded, "%s", name.c_str());
  }
}

Test(request_trace, names_the_line_that_it_does_not_understand) {
  cr_assert(Decode("name x\nq1 2 3\nq1 2\n").find("line 3") !=
            std::string::npos);
  for (const auto* text : {"fault burn 1 0 5\n", "endpoints 0 3\n", "q-1 2 3\n",
                           "nonsense\n", "fault fail 14 0 5\n"}) {
    cr_assert(Decode(text).rfind("error: ", 0) == 0, "accepted '%s'", text);
  }
}

}  // namespace
}  // namespace hemlockwick
