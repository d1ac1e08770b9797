#include "Fleet/platform_reader.h"

#include <criterion/criterion.h>

#include <string>
#include <variant>
#include <vector>

#include "Config/published_value.h"

namespace hemlockwick {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kStart = TimePoint(std::chrono::hours(1'000));
constexpr Duration kStep = milliseconds(10);

auto SoleMember() -> Member {
  auto member = Member();
  member.id = InstanceId(1);
  member.name = "only";
  member.data_centre = IdFromName<DataCentreId>("nelson-a");
  return member;
}

// The platform reader of an instance that is alone in its data centre. Every
// read is answered at once with the status that is set.
class ReaderHarness {
 public:
  explicit ReaderHarness(std::uint64_t seed)
      : state_(SoleMember(), events_, seed, kStart), reader_(state_, kStart) {}

  void SetStatus(PlatformStatus status) { status_ = status; }

  void RunFor(Duration time) {
    for (const auto end = now_ + time; now_ < end; now_ += kStep) {
      reader_.OnTick(now_);
      const auto actions = state_.outbox.Take();
      for (const auto& action : actions) {
        if (const auto* const read = std::get_if<PlatformRead>(&action)) {
          reader_.OnAnswer({read->key, status_, 1, {}}, now_);
        }
      }
    }
  }

  [[nodiscard]] auto EventsOf(EventKind kind) -> std::vector<Event> {
    auto found = std::vector<Event>();
    for (const auto& event : events_.Since({})) {
      if (event.kind == kind) {
        found.push_back(event);
      }
    }
    return found;
  }

 private:
  EventLog events_{"only"};
  NodeState state_;
  PlatformReader reader_;
  PlatformStatus status_ = PlatformStatus::kUnchanged;
  TimePoint now_ = kStart;
};

// An outage is recorded as one event with the subject kPlatformSubject,
// whichever of the watched values fails first. Otherwise an operator would have
// to search for several subjects.
Test(platform_reader, records_each_outage_once_with_one_subject) {
  for (auto seed = std::uint64_t{1}; seed <= 64; ++seed) {
    auto reader = ReaderHarness(seed);
    reader.RunFor(seconds(5));
    reader.SetStatus(PlatformStatus::kUnreachable);
    reader.RunFor(seconds(10));
    const auto lost = reader.EventsOf(EventKind::kPlatformLost);
    cr_assert_eq(lost.size(), 1U);
    cr_assert_eq(lost.front().subject, std::string(kPlatformSubject));
    cr_assert(reader.EventsOf(EventKind::kPlatformBack).empty());

    reader.SetStatus(PlatformStatus::kUnchanged);
    reader.RunFor(seconds(20));
    const auto back = reader.EventsOf(EventKind::kPlatformBack);
    cr_assert_eq(back.size(), 1U);
    cr_assert_eq(back.front().subject, std::string(kPlatformSubject));
    cr_assert_eq(reader.EventsOf(EventKind::kPlatformLost).size(), 1U);
  }
}

}  // namespace

}  // namespace hemlockwick
