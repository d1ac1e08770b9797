#include "Request/caller_queue.h"

#include <criterion/criterion.h>

#include <chrono>
#include <map>

namespace hemlockwick {
namespace {

constexpr TimePoint kNow = TimePoint(std::chrono::hours(1));

auto Waiting(std::uint64_t request, std::uint64_t caller,
             Duration deadline = std::chrono::seconds(1), double cost = 1)
    -> WaitingRequest {
  return {RequestId(request), CallerId(caller), kNow + deadline, kNow, cost};
}

Test(caller_queue, serves_callers_in_turn) {
  auto queue = CallerQueue();
  for (auto request = std::uint64_t{1}; request <= 30; ++request) {
    queue.Push(Waiting(request, request <= 24 ? 1 : 2));
  }
  auto served = std::map<CallerId, int>();
  for (auto count = 0; count < 10; ++count) {
    ++served[queue.Next()->caller];
    queue.PopNext(kNow);
  }
  cr_assert_eq(served[CallerId(1)], 5);
  cr_assert_eq(served[CallerId(2)], 5);
}

Test(caller_queue, charges_large_requests_more_turns) {
  auto queue = CallerQueue();
  for (auto request = std::uint64_t{1}; request <= 40; ++request) {
    const auto is_large = request <= 20;
    queue.Push(Waiting(request, is_large ? 1 : 2, std::chrono::seconds(1),
                       is_large ? 3 : 1));
  }
  auto served = std::map<CallerId, int>();
  for (auto count = 0; count < 20; ++count) {
    ++served[queue.Next()->caller];
    queue.PopNext(kNow);
  }
  cr_assert_geq(served[CallerId(2)], 14);
  cr_assert_geq(served[CallerId(1)], 4);
}

Test(caller_queue, serves_the_earliest_deadline_of_a_caller_first) {
  auto queue = CallerQueue();
  queue.Push(Waiting(1, 1, std::chrono::seconds(5)));
  queue.Push(Waiting(2, 1, std::chrono::seconds(1)));
  cr_assert(queue.Next()->request == RequestId(2));
}

Test(caller_queue, gives_a_returned_request_the_next_turn) {
  auto queue = CallerQueue();
  queue.Push(Waiting(1, 1));
  queue.Push(Waiting(2, 2));
  queue.Push(Waiting(3, 3), true);
  cr_assert(queue.Next()->request == RequestId(3));
}

Test(caller_queue, selects_the_latest_request_of_the_largest_user_as_victim) {
  auto queue = CallerQueue();
  queue.Push(Waiting(1, 1));
  queue.Push(Waiting(2, 2));
  queue.Push(Waiting(3, 2, std::chrono::seconds(2)));
  cr_assert(queue.SelectVictim(kNow)->request == RequestId(3));
  cr_assert(queue.Remove(*queue.SelectVictim(kNow)));
  cr_assert_not(queue.Remove(Waiting(3, 2, std::chrono::seconds(2))));
  cr_assert_eq(queue.size(), 2);
}

}  // namespace
}  // namespace hemlockwick
