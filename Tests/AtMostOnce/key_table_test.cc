#include "Request/key_table.h"

#include <criterion/criterion.h>

#include <chrono>
#include <string>

namespace hemlockwick {
namespace {

using std::chrono::seconds;

constexpr auto kNow = FromUnixMillis(1'800'000'000'000);
constexpr auto kClaimant = InstanceId(1);
constexpr auto kOtherClaimant = InstanceId(2);

auto MakeClaim(std::uint64_t key, std::uint64_t request) -> KeyClaim {
  return KeyClaim{IdempotencyKey(key), RequestId(request), kNow + seconds(3),
                  seconds(20)};
}

auto MakeSettled(std::uint64_t key, std::uint64_t request, KeyState state)
    -> KeySettled {
  return KeySettled{IdempotencyKey(key), RequestId(request), state};
}

Test(key_table, reports_the_state_of_a_key) {
  auto table = KeyTable(10);
  cr_assert(table.Claim(kClaimant, MakeClaim(1, 1), true, kNow) ==
            KeyState::kFree);
  cr_assert(table.Claim(kClaimant, MakeClaim(1, 1), true, kNow) ==
            KeyState::kFree);
  cr_assert(table.Claim(kOtherClaimant, MakeClaim(1, 1), true, kNow) ==
            KeyState::kRunning);
  cr_assert(table.Claim(kOtherClaimant, MakeClaim(1, 1), true,
                        kNow + seconds(3)) == KeyState::kRunning);
  const auto late =
      KeyClaim{IdempotencyKey(1), RequestId(2), kNow + seconds(9), seconds(20)};
  cr_assert(table.Claim(kOtherClaimant, late, true, kNow + seconds(4)) ==
            KeyState::kUnknown);
  table.Settle(kOtherClaimant, MakeSettled(1, 1, KeyState::kNotRun), kNow);
  cr_assert(table.Claim(kOtherClaimant, late, true, kNow) ==
            KeyState::kRunning);
  table.Settle(kClaimant, MakeSettled(1, 1, KeyState::kAnswered), kNow);
  table.Settle(kClaimant, MakeSettled(1, 1, KeyState::kNotRun), kNow);
  cr_assert(table.Claim(kOtherClaimant, late, true, kNow) ==
            KeyState::kAnswered);
}

Test(key_table, a_key_that_was_not_run_is_granted_again) {
  auto table = KeyTable(10);
  cr_assert(table.Claim(kClaimant, MakeClaim(1, 1), true, kNow).has_value());
  table.Settle(kClaimant, MakeSettled(1, 1, KeyState::kNotRun), kNow);
  cr_assert(!table.Claim(kClaimant, MakeClaim(1, 1), true, kNow), "late copy");
  cr_assert(table.Claim(kOtherClaimant, MakeClaim(1, 2), true, kNow) ==
            KeyState::kNotRun);
  cr_assert(table.Claim(kClaimant, MakeClaim(1, 3), true, kNow) ==
            KeyState::kRunning);
}

Test(key_table, refuses_claims_when_full_and_keeps_its_entries) {
  auto table = KeyTable(2);
  cr_assert(table.Claim(kClaimant, MakeClaim(1, 1), true, kNow) ==
            KeyState::kFree);
  cr_assert(table.Claim(kClaimant, MakeClaim(2, 2), false, kNow) ==
            KeyState::kAbstained);
  cr_assert(table.Claim(kClaimant, MakeClaim(3, 3), true, kNow) ==
            KeyState::kRefused);
  cr_assert(!table.Claim(kClaimant, MakeClaim(4, 4), false, kNow));
  cr_assert(table.refused() == 2);
  cr_assert(table.Claim(kOtherClaimant, MakeClaim(1, 9), true, kNow) ==
            KeyState::kRunning);
  table.Expire(kNow + seconds(20));
  cr_assert(table.size() == 0);
}

Test(key_table, an_import_keeps_the_stricter_entry) {
  auto from = KeyTable(10);
  auto to = KeyTable(2);
  for (std::uint64_t key = 1; key <= 3; ++key) {
    cr_assert(
        from.Claim(kClaimant, MakeClaim(key, key), true, kNow).has_value());
  }
  cr_assert(to.Claim(kOtherClaimant, MakeClaim(1, 1), true, kNow).has_value());
  to.Settle(kOtherClaimant, MakeSettled(1, 1, KeyState::kNotRun), kNow);
  const auto all = [](IdempotencyKey) { return true; };
  cr_assert(!to.Import(from.Export(all), kNow), "no room for the third");
  cr_assert(to.Claim(kOtherClaimant, MakeClaim(1, 5), true, kNow) ==
            KeyState::kRunning);
  from.Settle(kClaimant, MakeSettled(1, 1, KeyState::kNotRun), kNow);
  cr_assert(!to.Import(from.Export(all), kNow));
  cr_assert(to.Claim(kOtherClaimant, MakeClaim(1, 5), true, kNow) ==
            KeyState::kRunning);
}

// Decodes a message and encodes it again. Empty if the text is refused.
auto EncodeDecoded(const std::string& text) -> std::string {
  return TryOr(
      [&text]() -> Result<std::string> {
        BOOST_LEAF_AUTO(message, DecodeRequestMessage(text));
        return Encode(message);
      },
      [](const Error&) { return std::string(); });
}

Test(request_message, round_trips_every_kind) {
  auto hand_over = KeyHandOver();
  hand_over.entries.push_back(
      KeyHandOver::Entry{IdempotencyKey(1), kClaimant, RequestId(2),
                         KeyState::kAnswered, kNow, kNow + seconds(9)});
  hand_over.knows_since = kNow;
  hand_over.parts = 3;
  auto demand = DemandReport();
  demand.entries.push_back(DemandReport::Entry{ServiceId(7), 1, 2, 3});
  const RequestMessage messages[] = {
      MakeClaim(1, 2),
      KeyVerdict{IdempotencyKey(1), RequestId(2), KeyState::kRefused},
      MakeSettled(1, 2, KeyState::kUnknown), hand_over, demand};
  for (const auto& message : messages) {
    const auto text = Encode(message);
    cr_assert(EncodeDecoded(text) == text, "%s", text.c_str());
  }
}

Test(request_message, refuses_malformed_text) {
  for (
      const auto* text :
      {"", "{}", "[]", R"({"type":"none"})", R"({"type":"claim","key":1})",
       R"({"type":"verdict","key":1,"request":1,"state":99})",
       R"({"type":"claim","key":1,"request":1,"deadline":9223372036854775807,"memory":1})",
       R"({"type":"claim","key":1,"request":1,"deadline":1,"memory":-1})"}) {
    cr_assert(EncodeDecoded(text).empty(), "accepted '%s'", text);
  }
}

}  // namespace
}  // namespace hemlockwick
