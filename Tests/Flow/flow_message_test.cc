#include "Flow/flow_message.h"

#include <criterion/criterion.h>

namespace hemlockwick {
namespace {

auto Decoded(std::string_view text) -> FlowMessage {
  return TryOr(
      [text]() -> Result<FlowMessage> { return DecodeFlowMessage(text); },
      [](const Error&) -> FlowMessage { return HandOverAck{}; });
}

Test(flow_message, hand_over_round_trips) {
  constexpr auto kSecond = std::chrono::seconds(1);
  auto message = HandOver();
  message.sequence = 7;
  message.last = true;
  message.partition_effect_until = TimePoint(1'800'000'000 * kSecond);
  for (std::uint64_t i = 0; i < 5; ++i) {
    auto record = HandOverRecord();
    record.flow = FlowKey(~i);
    record.service = ServiceId(i % 2);
    record.endpoint = EndpointId(i % 3);
    record.opened = TimePoint(1'700'000'000 * kSecond);
    record.last_seen = record.opened + i * kSecond;
    message.records.push_back(record);
  }
  const auto decoded = Decoded(Encode(message));
  const auto& back = std::get<HandOver>(decoded);
  cr_assert_eq(back.sequence, 7U);
  cr_assert(back.last);
  cr_assert(back.partition_effect_until == message.partition_effect_until);
  cr_assert_eq(back.records.size(), message.records.size());
  for (const auto& record : back.records) {
    const auto& sent = message.records[~record.flow.value()];
    cr_assert(record.endpoint == sent.endpoint);
    cr_assert(record.service == sent.service);
    cr_assert(record.opened == sent.opened);
    cr_assert(record.last_seen == sent.last_seen);
  }
}

Test(flow_message, acknowledgement_round_trips) {
  const auto decoded = Decoded(Encode(HandOverAck{9}));
  cr_assert_eq(std::get<HandOverAck>(decoded).sequence, 9U);
}

Test(flow_message, malformed_text_is_refused) {
  for (const auto* text : {"", "{}", "[]", "{\"kind\":\"other\"}",
                           "{\"kind\":\"hand_over_ack\",\"sequence\":\"x\"}",
                           "{\"kind\":\"hand_over\",\"sequence\":1}"}) {
    const auto failed = TryOr(
        [text]() -> Result<bool> {
          BOOST_LEAF_CHECK(DecodeFlowMessage(text));
          return false;
        },
        [](const Error& error) {
          return error.code == ErrorCode::kInvalidArgument;
        });
    cr_assert(failed, "accepted '%s'", text);
  }
}

}  // namespace
}  // namespace hemlockwick
