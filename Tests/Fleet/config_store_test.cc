#include "Fleet/config_store.h"

#include <criterion/criterion.h>

#include <functional>

#include "Measure/config_publisher.h"

namespace hemlockwick {
namespace {

constexpr TimePoint kNow = FromUnixMillis(1'700'000'000'000);

auto IsOk(const std::function<Result<void>()>& attempt) -> bool {
  return TryOr(
      [&attempt]() -> Result<bool> {
        BOOST_LEAF_CHECK(attempt());
        return true;
      },
      [](const Error&) { return false; });
}

// Brings a published version into force from its full bodies.
auto Accept(ConfigStore& store, const std::vector<PublishedValue>& values)
    -> bool {
  return IsOk([&]() -> Result<void> {
    BOOST_LEAF_AUTO(index, DecodeIndex(values.back().body));
    store.BeginCandidate(values.back().body, std::move(index));
    for (const auto& value : values) {
      if (value.key != kIndexKey) {
        BOOST_LEAF_CHECK(store.AddShard(value.body));
      }
    }
    return store.AcceptCandidate();
  });
}

// Brings `to` to the version of `from` by a delta. Returns the size of the
// encoded offer in bytes.
auto CatchUp(ConfigStore& from, ConfigStore& to) -> std::size_t {
  auto fetch = ConfigFetch();
  fetch.have_version = to.version();
  fetch.have_digest = to.digest();
  const auto offer = from.MakeOffer(fetch, kMaxValueBytes);
  cr_assert(offer.delta.has_value());
  cr_assert(IsOk([&]() -> Result<void> {
    BOOST_LEAF_CHECK(to.BeginCandidate(*offer.delta));
    for (const auto& body : offer.shard_bodies) {
      BOOST_LEAF_CHECK(to.AddShard(body));
    }
    return {};
  }));
  cr_assert(to.MissingKeys().empty());
  cr_assert(IsOk([&] { return to.AcceptCandidate(); }));
  return Encode(FleetMessage(offer)).size();
}

Test(config_store, delta_reproduces_the_published_version) {
  auto publisher = ConfigPublisher(ConfigSize{3, 100, 9}, 1);
  auto source = ConfigStore();
  auto follower = ConfigStore();
  const auto first = publisher.NextVersion(kNow);
  cr_assert(Accept(source, first));
  cr_assert(Accept(follower, first));
  auto shards = first.size();
  for (auto step = 0; step < 12; ++step) {
    const auto values = publisher.NextVersion(kNow);
    cr_assert(Accept(source, values));
    // In some steps the follower falls several versions behind.
    if (step % 3 != 1) {
      const auto bytes = CatchUp(source, follower);
      // After a split, shards are sent in full: at most twice the size of one.
      const auto bound = values.size() == shards ? 2'000U : 40'000U;
      cr_assert(bytes < bound, "%zu bytes", bytes);
      shards = values.size();
      cr_assert(follower.digest() == source.digest());
    }
  }
}

Test(config_store, rejects_a_delta_that_does_not_match_its_base) {
  auto publisher = ConfigPublisher(ConfigSize{3, 100, 9}, 1);
  auto store = ConfigStore();
  cr_assert(Accept(store, publisher.NextVersion(kNow)));
  auto delta = ConfigDelta();
  delta.base_version = Version(77);
  cr_assert(!IsOk([&] { return store.BeginCandidate(delta); }));
  delta.base_version = store.version();
  delta.base_digest = store.digest();
  delta.splices = {ShardSplice{1'000'000, 1, {}}};
  cr_assert(!IsOk([&] { return store.BeginCandidate(delta); }));
  cr_assert(store.version() == Version(1));
}

Test(config_store, offers_the_full_index_for_an_unknown_base) {
  auto publisher = ConfigPublisher(ConfigSize{}, 1);
  auto store = ConfigStore();
  const auto values = publisher.NextVersion(kNow);
  cr_assert(Accept(store, values));
  const auto offer = store.MakeOffer(ConfigFetch{}, kMaxValueBytes);
  cr_assert(offer.index_body == values.back().body);
}

}  // namespace
}  // namespace hemlockwick
