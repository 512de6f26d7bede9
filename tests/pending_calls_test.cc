// The calls of a sender: found by handle, attempt and host, and nothing else.

#include "calls/pending_calls.h"

#include <gtest/gtest.h>

namespace parsleyyard {
namespace {

using handles = std::vector<std::uint64_t>;

TEST(PendingCalls, FindsACallByHandleAttemptAndHost) {
  pending_calls calls;
  pending_call& call = calls.Add(8);
  EXPECT_EQ(call.handle, 8U);
  EXPECT_EQ(calls.Find(8), &call);
  EXPECT_EQ(calls.Find(9), nullptr);
  EXPECT_EQ(calls.FindBySequence(0), nullptr) << "no attempt was sent";
  calls.SetTarget(call, "10.0.0.1");
  calls.AssignSequence(call);
  EXPECT_EQ(call.current.target_host, "10.0.0.1");
  EXPECT_EQ(calls.FindBySequence(call.current.sequence), &call);
  EXPECT_EQ(calls.HandlesAt("10.0.0.1"), handles{8});
  EXPECT_EQ(calls.HandlesAt("10.0.0.2"), handles{});
}

// Guards against an answer to an earlier attempt that ends the current one.
TEST(PendingCalls, ForgetsAReleasedAttempt) {
  pending_calls calls;
  pending_call& call = calls.Add(8);
  calls.SetTarget(call, "10.0.0.1");
  calls.AssignSequence(call);
  const std::uint64_t first = call.current.sequence;
  calls.ReleaseTarget(call, call.current);
  EXPECT_EQ(calls.FindBySequence(first), nullptr);
  EXPECT_EQ(calls.HandlesAt("10.0.0.1"), handles{});
  EXPECT_EQ(calls.Find(8), &call);
  calls.SetTarget(call, "10.0.0.2");
  calls.AssignSequence(call);
  EXPECT_NE(call.current.sequence, first);
  EXPECT_EQ(calls.FindBySequence(first), nullptr);
  EXPECT_EQ(calls.FindBySequence(call.current.sequence), &call);
  calls.ReleaseTarget(call, call.current);
  calls.Remove(8);
  EXPECT_EQ(calls.Find(8), nullptr);
  EXPECT_EQ(calls.size(), 0U);
}

TEST(PendingCalls, FindsBothAttemptsOfACall) {
  pending_calls calls;
  pending_call& call = calls.Add(8);
  calls.SetTarget(call, "10.0.0.1");
  calls.AssignSequence(call);
  const std::uint64_t first = call.current.sequence;
  call.other = std::exchange(call.current, call_attempt());
  calls.SetTarget(call, "10.0.0.2");
  calls.AssignSequence(call);
  EXPECT_EQ(calls.FindBySequence(first), &call);
  EXPECT_EQ(calls.HandlesAt("10.0.0.1"), handles{8});
  EXPECT_EQ(calls.HandlesAt("10.0.0.2"), handles{8});
  EXPECT_TRUE(SelectAttempt(call, first));
  EXPECT_EQ(call.current.target_host, "10.0.0.1");
  EXPECT_TRUE(SelectAttempt(call, "10.0.0.2"));
  EXPECT_EQ(call.other->sequence, first);
  EXPECT_FALSE(SelectAttempt(call, "10.0.0.3"));
  calls.ReleaseTarget(call, *call.other);
  EXPECT_EQ(calls.FindBySequence(first), nullptr);
  EXPECT_EQ(calls.HandlesAt("10.0.0.2"), handles{8});
}

// The order of the calls decides which gets a slot; it must not depend on a
// hash.
TEST(PendingCalls, ListsHandlesInAscendingOrder) {
  pending_calls calls;
  for (const std::uint64_t handle : {900, 3, 77, 41, 1000000}) {
    calls.SetTarget(calls.Add(handle), handle % 2 ? "10.0.0.1" : "10.0.0.2");
  }
  EXPECT_EQ(calls.Handles(), (handles{3, 41, 77, 900, 1000000}));
  EXPECT_EQ(calls.HandlesAt("10.0.0.1"), (handles{3, 41, 77}));
}

TEST(PendingCalls, AttemptCarriesThePlanAndTheTimeLeft) {
  const pending_call call{
      .plan = {.service = "s",
               .route = "r",
               .priority = 2,
               .never_repeat = false},
      .message = {.body = "text"},
      .deadline = instant(seconds(2)),
      .objective = instant(seconds(1)),
      .current = {.instance = "i", .target_incarnation = 5, .sequence = 6}};
  const call_request sent = BuildAttempt(call, 7, instant(milliseconds(1500)));
  EXPECT_EQ(sent.id, (call_id{.origin = 7, .sequence = 6}));
  EXPECT_EQ(sent.target_incarnation, 5U);
  EXPECT_EQ(sent.instance, "i");
  EXPECT_EQ(sent.service, "s");
  EXPECT_EQ(sent.route, "r");
  EXPECT_EQ(sent.priority, 2U);
  EXPECT_FALSE(sent.never_repeat);
  EXPECT_EQ(sent.body, "text");
  EXPECT_EQ(sent.deadline_ms, 500U);
  EXPECT_EQ(sent.objective_ms, 0U) << "the objective has passed";
}

}  // namespace
}  // namespace parsleyyard
