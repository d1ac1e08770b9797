#include "Flow/endpoint_signs.h"

#include <criterion/criterion.h>

namespace hemlockwick {
namespace {

constexpr TimePoint kNow{std::chrono::hours(500'000)};
constexpr auto kMillisecond = std::chrono::milliseconds(1);

Test(endpoint_signs, one_lost_packet_is_no_suspicion) {
  auto signs = EndpointSigns(kNow);
  const auto now = kNow + 200 * kMillisecond;
  cr_assert(
      signs.NoteSilence(SilentPacket::kOpening, kNow + kMillisecond, now));
  cr_assert_not(signs.IsSuspect(now));
}

Test(endpoint_signs, two_flows_make_it_suspect_and_an_answer_clears_it) {
  auto signs = EndpointSigns(kNow);
  const auto now = kNow + 200 * kMillisecond;
  signs.NoteSilence(SilentPacket::kOpening, kNow + kMillisecond, now);
  signs.NoteSilence(SilentPacket::kRepeatedData, kNow + kMillisecond, now);
  cr_assert(signs.IsSuspect(now));
  signs.NoteAlive(now);
  cr_assert_not(signs.IsSuspect(now));
}

Test(endpoint_signs, packet_sent_before_the_last_answer_is_no_sign) {
  auto signs = EndpointSigns(kNow);
  signs.NoteAlive(kNow + 50 * kMillisecond);
  cr_assert_not(signs.NoteSilence(SilentPacket::kOpening, kNow,
                                  kNow + 200 * kMillisecond));
  cr_assert_eq(signs.signs(), 0U);
}

Test(endpoint_signs, suspicion_ends_without_new_signs) {
  auto signs = EndpointSigns(kNow);
  const auto now = kNow + 200 * kMillisecond;
  signs.NoteSilence(SilentPacket::kOpening, kNow + kMillisecond, now);
  signs.NoteSilence(SilentPacket::kOpening, kNow + kMillisecond, now);
  cr_assert(signs.IsSuspect(now));
  cr_assert_not(signs.IsSuspect(now + 3000 * kMillisecond));
}

// Rotation changes move flows to other instances, where their further packets
// are then seen.
Test(endpoint_signs, openings_that_only_timed_out_never_make_it_silent) {
  auto signs = EndpointSigns(kNow);
  const auto now = kNow + 2000 * kMillisecond;
  for (auto flow = 0; flow < 20; ++flow) {
    signs.NoteSilence(SilentPacket::kOpening, kNow + kMillisecond, now);
  }
  cr_assert_not(signs.IsSilent(now));
}

Test(endpoint_signs, repeated_packets_make_it_silent_after_some_time) {
  auto signs = EndpointSigns(kNow);
  const auto soon = kNow + 300 * kMillisecond;
  signs.NoteSilence(SilentPacket::kRepeatedOpening, kNow + kMillisecond, soon);
  signs.NoteSilence(SilentPacket::kRepeatedData, kNow + kMillisecond, soon);
  cr_assert_not(signs.IsSilent(soon));
  cr_assert(signs.IsSilent(kNow + 600 * kMillisecond));
}

// Work that is seven times as long as usual holds replies up.
Test(endpoint_signs, repeated_data_alone_waits_for_long_work) {
  auto signs = EndpointSigns(kNow);
  const auto soon = kNow + 300 * kMillisecond;
  signs.NoteSilence(SilentPacket::kRepeatedData, kNow + kMillisecond, soon);
  signs.NoteSilence(SilentPacket::kRepeatedData, kNow + kMillisecond, soon);
  cr_assert_not(signs.IsSilent(kNow + 1000 * kMillisecond));
  cr_assert(signs.IsSilent(kNow + 2100 * kMillisecond));
}

// No flow has tried the endpoint since; an idle flow's next request must not
// pay for it (kauri-roll-grown, own day cut-and-outage 403956537829).
Test(endpoint_signs, old_signs_make_nothing_silent) {
  auto signs = EndpointSigns(kNow);
  const auto soon = kNow + 300 * kMillisecond;
  signs.NoteSilence(SilentPacket::kRepeatedOpening, kNow, soon);
  signs.NoteSilence(SilentPacket::kRepeatedOpening, kNow, soon);
  cr_assert(signs.IsSilent(kNow + 600 * kMillisecond));
  cr_assert_not(signs.IsSilent(kNow + 5000 * kMillisecond));
}

Test(endpoint_signs, others_suspicion_moves_new_flows_at_once) {
  auto signs = EndpointSigns(kNow);
  const auto now = kNow + 100 * kMillisecond;
  signs.NoteShared(now, 0);
  cr_assert(signs.IsSuspect(now));
  signs.NoteAlive(now);
  cr_assert_not(signs.IsSuspect(now));
}

// Long requests on a living endpoint make it suspect to others, and a report
// that it is alive may be late or lost (grown deployments, FLOW broken in 7 of
// 24 trial days on which others' suspicion helped to reset flows).
Test(endpoint_signs, others_suspicion_resets_nothing) {
  auto signs = EndpointSigns(kNow);
  const auto sent = kNow + 3000 * kMillisecond;
  const auto now = sent + 300 * kMillisecond;
  signs.NoteSilence(SilentPacket::kRepeatedData, sent, now);
  signs.NoteShared(now, 0);
  cr_assert_not(signs.IsSilent(now));
  signs.NoteShared(now + 1300 * kMillisecond, 0);
  cr_assert_not(signs.IsSilent(now + 1300 * kMillisecond));
}

Test(endpoint_signs, suspicion_older_than_the_last_answer_is_ignored) {
  auto signs = EndpointSigns(kNow);
  const auto now = kNow + 500 * kMillisecond;
  signs.NoteAlive(now);
  signs.NoteShared(kNow + 400 * kMillisecond, 0);
  cr_assert_not(signs.IsSuspect(now));
}

}  // namespace
}  // namespace hemlockwick
