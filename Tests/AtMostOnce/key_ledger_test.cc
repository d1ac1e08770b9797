#include "Request/key_ledger.h"

#include <criterion/criterion.h>

#include <chrono>
#include <string>

namespace hemlockwick {
namespace {

using std::chrono::seconds;

constexpr auto kNow = FromUnixMillis(1'800'000'000'000);
constexpr auto kOne = InstanceId(1);
constexpr auto kOther = InstanceId(2);

auto MakeClaim(std::uint64_t key, std::uint64_t request) -> KeyClaim {
  return KeyClaim{IdempotencyKey(key), RequestId(request), kNow + seconds(3),
                  seconds(20)};
}

auto MakeEnd(std::uint64_t key, std::uint64_t request, KeyState state)
    -> KeySettled {
  return KeySettled{IdempotencyKey(key), RequestId(request), state};
}

Test(key_ledger, tells_where_a_key_stands) {
  auto ledger = KeyLedger(10);
  cr_assert(ledger.Claim(kOne, MakeClaim(1, 1), true, kNow) == KeyState::kFree);
  cr_assert(ledger.Claim(kOne, MakeClaim(1, 1), true, kNow) == KeyState::kFree);
  cr_assert(ledger.Claim(kOther, MakeClaim(1, 1), true, kNow) ==
            KeyState::kRunning);
  cr_assert(ledger.Claim(kOther, MakeClaim(1, 1), true, kNow + seconds(3)) ==
            KeyState::kRunning);
  const auto late =
      KeyClaim{IdempotencyKey(1), RequestId(2), kNow + seconds(9), seconds(20)};
  cr_assert(ledger.Claim(kOther, late, true, kNow + seconds(4)) ==
            KeyState::kUnknown);
  ledger.Settle(kOther, MakeEnd(1, 1, KeyState::kNotRun), kNow);
  cr_assert(ledger.Claim(kOther, late, true, kNow) == KeyState::kRunning);
  ledger.Settle(kOne, MakeEnd(1, 1, KeyState::kAnswered), kNow);
  ledger.Settle(kOne, MakeEnd(1, 1, KeyState::kNotRun), kNow);
  cr_assert(ledger.Claim(kOther, late, true, kNow) == KeyState::kAnswered);
}

Test(key_ledger, a_key_that_was_not_run_is_granted_again) {
  auto ledger = KeyLedger(10);
  cr_assert(ledger.Claim(kOne, MakeClaim(1, 1), true, kNow).has_value());
  ledger.Settle(kOne, MakeEnd(1, 1, KeyState::kNotRun), kNow);
  cr_assert(!ledger.Claim(kOne, MakeClaim(1, 1), true, kNow), "late copy");
  cr_assert(ledger.Claim(kOther, MakeClaim(1, 2), true, kNow) ==
            KeyState::kNotRun);
  cr_assert(ledger.Claim(kOne, MakeClaim(1, 3), true, kNow) ==
            KeyState::kRunning);
}

Test(key_ledger, refuses_at_its_bound_and_forgets_nothing) {
  auto ledger = KeyLedger(2);
  cr_assert(ledger.Claim(kOne, MakeClaim(1, 1), true, kNow) == KeyState::kFree);
  cr_assert(ledger.Claim(kOne, MakeClaim(2, 2), false, kNow) ==
            KeyState::kAbstained);
  cr_assert(ledger.Claim(kOne, MakeClaim(3, 3), true, kNow) ==
            KeyState::kRefused);
  cr_assert(!ledger.Claim(kOne, MakeClaim(4, 4), false, kNow));
  cr_assert(ledger.refused() == 2);
  cr_assert(ledger.Claim(kOther, MakeClaim(1, 9), true, kNow) ==
            KeyState::kRunning);
  ledger.Expire(kNow + seconds(20));
  cr_assert(ledger.size() == 0);
}

Test(key_ledger, an_import_never_grants_more) {
  auto from = KeyLedger(10);
  auto to = KeyLedger(2);
  for (std::uint64_t key = 1; key <= 3; ++key) {
    cr_assert(from.Claim(kOne, MakeClaim(key, key), true, kNow).has_value());
  }
  cr_assert(to.Claim(kOther, MakeClaim(1, 1), true, kNow).has_value());
  to.Settle(kOther, MakeEnd(1, 1, KeyState::kNotRun), kNow);
  const auto all = [](IdempotencyKey) { return true; };
  cr_assert(!to.Import(from.Export(all), kNow), "no room for the third");
  cr_assert(to.Claim(kOther, MakeClaim(1, 5), true, kNow) ==
            KeyState::kRunning);
  from.Settle(kOne, MakeEnd(1, 1, KeyState::kNotRun), kNow);
  cr_assert(!to.Import(from.Export(all), kNow));
  cr_assert(to.Claim(kOther, MakeClaim(1, 5), true, kNow) ==
            KeyState::kRunning);
}

// Encodes again what decoding yields; empty when it is refused.
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
      KeyHandOver::Entry{IdempotencyKey(1), kOne, RequestId(2),
                         KeyState::kAnswered, kNow, kNow + seconds(9)});
  hand_over.knows_since = kNow;
  hand_over.parts = 3;
  auto demand = DemandReport();
  demand.entries.push_back(DemandReport::Entry{ServiceId(7), 1, 2, 3});
  const RequestMessage messages[] = {
      MakeClaim(1, 2),
      KeyVerdict{IdempotencyKey(1), RequestId(2), KeyState::kRefused},
      MakeEnd(1, 2, KeyState::kUnknown), hand_over, demand};
  for (const auto& message : messages) {
    const auto text = Encode(message);
    cr_assert(EncodeDecoded(text) == text, "%s", text.c_str());
  }
}

Test(request_message, refuses_what_is_malformed) {
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
